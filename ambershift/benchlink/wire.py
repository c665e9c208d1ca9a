"""The codec of the bench's wire: frames to records in our words, and orders to bytes."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from typing import Any, NamedTuple

from ambershift import interface as api
from ambershift.policy_settings import NS_PER_MS, PolicySettingsError, read_policy_settings, to_ns

ALL_PEERS = 0xFFFF
TEXT_MOST = 0xFFFF


class WireError(Exception):
    """Input that is not of this wire; the message says what and where."""


class Instance(NamedTuple):
    number: int


class Stopped(NamedTuple):
    pass


class RawEntry(NamedTuple):
    server: int
    zone: int
    phase: int
    weight: float
    since: int


class RawList(NamedTuple):
    kind: int
    entries: tuple[RawEntry, ...]


Record = Instance | Stopped | RawList | api.Event

HEADER = struct.Struct("<Id")
U32 = struct.Struct("<I")
ENTRY = struct.Struct("<IBBHBfd")
PLAIN = {
    17: struct.Struct("<BQI"),
    18: struct.Struct("<I"),
    19: struct.Struct("<HBfB"),
    24: struct.Struct("<"),
    25: struct.Struct("<dBIHI"),
    26: struct.Struct("<Q"),
    27: struct.Struct("<HIf"),
    28: struct.Struct("<H"),
    29: struct.Struct("<HBIId"),
    30: struct.Struct("<HB"),
    31: struct.Struct("<QdH"),
}
MAIL = struct.Struct("<IH")
BORN = struct.Struct("<QI")
ROUNDUP = struct.Struct("<BIIIddB")
HEALTH = struct.Struct("<IHdB")
INVENTORY = struct.Struct("<II")


def read_settings(text: bytes) -> api.PolicySettings:
    try:
        return read_policy_settings(json.loads(text))
    except ValueError as error:
        raise WireError(f"settings: not JSON ({error})") from None
    except PolicySettingsError as error:
        raise WireError(str(error)) from None


class Reader:
    """Reads batches. List numbers outlive a batch, so they are kept here, not in an instance."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[RawEntry, ...]] = {}

    def batch(self, frame: bytes) -> tuple[int, list[Record]]:
        length, clock = HEADER.unpack_from(frame)
        at, records = HEADER.size, list[Record]()
        while at < length:
            record, at = self.record(frame, at)
            if record is not None:
                records.append(record)
        return to_ns(clock), records

    def record(self, frame: bytes, start: int) -> tuple[Record | None, int]:
        fields: tuple[Any, ...]
        code, at = frame[start], start + 1
        plain = PLAIN.get(code)
        if plain is not None:
            fields = take(plain, frame, at, start)
            return self.plain(code, fields, start), at + plain.size
        if code == 22:
            zone, server, tries, bad, took, span, count = take(ROUNDUP, frame, at, start)
            loads, at = floats(frame, at + ROUNDUP.size, count, start)
            return api.ServerReport(zone, server, tries, bad, to_ns(took), to_ns(span), loads), at
        if code == 20:
            table, count = take(INVENTORY, frame, at, start)
            body, at = run(frame, at + INVENTORY.size, count * ENTRY.size, start)
            entries = tuple(
                RawEntry(server, zone, phase, weight, to_ns(since))
                for server, zone, _, _, phase, weight, since in ENTRY.iter_unpack(body)
            )
            for place, entry in enumerate(entries):
                if entry.phase > 2:
                    raise WireError(f"byte {start}: entry {place} has an unknown phase {entry.phase}")
            self.lists[table] = entries
            return None, at
        if code == 23:
            server, verdict, took, count = take(HEALTH, frame, at, start)
            loads, at = floats(frame, at + HEALTH.size, count, start)
            return api.Probed(server, verdict == 100, to_ns(took), loads), at
        if code == 16:
            sender, count = take(MAIL, frame, at, start)
            body, at = run(frame, at + MAIL.size, count, start)
            return api.PeerMessage(sender, body), at
        if code == 21:
            seed, count = take(BORN, frame, at, start)
            body, at = run(frame, at + BORN.size, count, start)
            return api.Started(seed, read_settings(body)), at
        raise WireError(f"byte {start}: unknown code {code}")

    def plain(self, code: int, fields: tuple[Any, ...], start: int) -> Record:
        match code:
            case 17:
                kind, _, table = fields
                if kind > 3:
                    raise WireError(f"byte {start}: unknown kind of list {kind}")
                if kind == 3:
                    return api.ListFailed()
                if table not in self.lists:
                    raise WireError(f"byte {start}: unknown list number {table}")
                return RawList(kind, self.lists[table])
            case 18:
                return Instance(fields[0])
            case 19:
                proxy, zone, rate, standing = fields
                return api.Joined(proxy, zone, rate, bool(standing))
            case 24:
                return Stopped()
            case 25:
                span, group, bad, proxy, came = fields
                return api.DemandReport(proxy, group, came, bad, to_ns(span))
            case 26:
                return api.TimerFired(fields[0])
            case 27:
                return api.SliceRestored(*fields)
            case 28:
                return api.Left(fields[0])
            case 29:
                slice_, group, came, bad, span = fields
                return api.SliceLoad(slice_, group, came, bad, to_ns(span))
            case 30:
                return api.SliceAssigned(fields[0]) if fields[1] else api.SliceRevoked(fields[0])
            case _:
                mark, took, proxy = fields
                return api.Applied(mark, to_ns(took), proxy)


def take(shape: struct.Struct, frame: bytes, at: int, start: int) -> tuple[Any, ...]:
    try:
        return shape.unpack_from(frame, at)
    except struct.error:
        raise WireError(f"byte {start}: record of code {frame[start]} is cut short") from None


def run(frame: bytes, at: int, count: int, start: int) -> tuple[bytes, int]:
    if at + count > len(frame):
        raise WireError(f"byte {start}: count of code {frame[start]} runs past the frame's end")
    return frame[at : at + count], at + count


def floats(frame: bytes, at: int, count: int, start: int) -> tuple[tuple[float, ...], int]:
    body, end = run(frame, at, 4 * count, start)
    return struct.unpack(f"<{count}f", body), end


def text(code: int, words: str) -> bytes:
    body = words.encode()[:TEXT_MOST]
    return struct.pack("<BH", code, len(body)) + body


WRITERS: dict[type, Callable[[Any], bytes]] = {
    api.SetWeight: lambda o: struct.pack("<BHIf", 18, o.table, o.server, o.weight),
    api.ClearTable: lambda o: struct.pack("<BH", 23, o.table),
    api.Withdraw: lambda o: struct.pack("<BBI", 28, o.out, o.server),
    api.Level: lambda o: struct.pack("<BHBHf", 21, o.mask, o.retry, o.table, o.allowance),
    api.Bind: lambda o: struct.pack("<BHHH", 22, o.proxy, o.table, o.mask),
    api.Mark: lambda o: struct.pack("<BQB", 24, o.mark, o.everyone),
    api.Probe: lambda o: struct.pack("<BI", 20, o.server),
    api.Watch: lambda o: struct.pack("<BB", 26, o.on),
    api.Fetch: lambda o: b"\x13",
    api.SendToPeer: lambda o: (
        struct.pack("<BHH", 16, ALL_PEERS if o.peer < 0 else o.peer, len(o.body)) + o.body
    ),
    api.Note: lambda o: text(17, o.text),
    api.StartTimer: lambda o: struct.pack("<BdQ", 29, o.after / NS_PER_MS, o.token),
}


def write_order(order: api.Order) -> bytes:
    return WRITERS[type(order)](order)


def on_behalf(instance: int) -> bytes:
    return struct.pack("<BI", 27, instance)


def failure(cause: str) -> bytes:
    return text(25, cause)


def reply(body: bytes) -> bytes:
    return U32.pack(U32.size + len(body)) + body
