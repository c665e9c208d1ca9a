"""The codec of the test bench's protocol: frames to records, and orders to bytes."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any, NamedTuple

from ambershift import interface as api
from ambershift.policy_settings import NS_PER_MS, PolicySettingsError, read_policy_settings, to_ns

ALL_PEERS = 0xFFFF
MAX_TEXT_BYTES = 0xFFFF


class WireError(Exception):
    """Input that breaks the protocol; the message says what and where."""


class Instance(NamedTuple):
    """The records that follow are for this instance."""

    number: int


class Stopped(NamedTuple):
    """The instance has ended."""


class RawEntry(NamedTuple):
    """An entry of a list, with the protocol's numbers; `since` in ns."""

    server: int
    zone: int
    phase: int
    weight: float
    since: int


class RawList(NamedTuple):
    """A list of servers; `kind` says whether it is whole, and whether it may be old."""

    kind: int
    entries: tuple[RawEntry, ...]


Record = Instance | Stopped | RawList | api.Event


class RecordCode(IntEnum):
    """The first byte of each record that is read."""

    PEER_MESSAGE = 16
    LIST = 17
    INSTANCE = 18
    JOINED = 19
    INVENTORY = 20
    STARTED = 21
    SERVER_REPORT = 22
    PROBED = 23
    STOPPED = 24
    DEMAND_REPORT = 25
    TIMER_FIRED = 26
    SLICE_RESTORED = 27
    LEFT = 28
    SLICE_LOAD = 29
    SLICE_CHANGED = 30
    APPLIED = 31


class OrderCode(IntEnum):
    """The first byte of each record that is written."""

    SEND_TO_PEER = 16
    NOTE = 17
    SET_WEIGHT = 18
    FETCH = 19
    PROBE = 20
    LEVEL = 21
    BIND = 22
    CLEAR_TABLE = 23
    MARK = 24
    FAILURE = 25
    WATCH = 26
    INSTANCE = 27
    WITHDRAW = 28
    START_TIMER = 29


HEADER = struct.Struct("<Id")
U32 = struct.Struct("<I")
ENTRY = struct.Struct("<IBBHBfd")
FIXED_RECORDS: dict[int, struct.Struct] = {  # Records of a fixed size.
    RecordCode.LIST: struct.Struct("<BQI"),
    RecordCode.INSTANCE: struct.Struct("<I"),
    RecordCode.JOINED: struct.Struct("<HBfB"),
    RecordCode.STOPPED: struct.Struct("<"),
    RecordCode.DEMAND_REPORT: struct.Struct("<dBIHI"),
    RecordCode.TIMER_FIRED: struct.Struct("<Q"),
    RecordCode.SLICE_RESTORED: struct.Struct("<HIf"),
    RecordCode.LEFT: struct.Struct("<H"),
    RecordCode.SLICE_LOAD: struct.Struct("<HBIId"),
    RecordCode.SLICE_CHANGED: struct.Struct("<HB"),
    RecordCode.APPLIED: struct.Struct("<QdH"),
}
# The fixed parts of the others, whose last field counts what follows.
PEER_MESSAGE = struct.Struct("<IH")
STARTED = struct.Struct("<QI")
SERVER_REPORT = struct.Struct("<BIIIddB")
PROBED = struct.Struct("<IHdB")
INVENTORY = struct.Struct("<II")

LIST_FAILED = 3  # The kind of a list that could not be had; the other kinds are smaller.
PROBE_OK = 100
MAX_PHASE = 2


def read_settings(text: bytes) -> api.PolicySettings:
    """Return the settings of the decision module, from JSON.

    Raises:
        WireError: They can't be used.
    """
    try:
        return read_policy_settings(json.loads(text))
    except ValueError as error:
        raise WireError(f"settings: not JSON ({error})") from None
    except PolicySettingsError as error:
        raise WireError(str(error)) from None


class Reader:
    """Reads batches. Lists are used beyond the batch that brought them, so they are kept here, by number."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[RawEntry, ...]] = {}

    def batch(self, frame: bytes) -> tuple[int, list[Record]]:
        """Return a batch's time in ns and its records.

        Raises:
            WireError: The frame breaks the protocol.
        """
        length, clock = HEADER.unpack_from(frame)
        at, records = HEADER.size, list[Record]()
        while at < length:
            record, at = self.record(frame, at)
            if record is not None:
                records.append(record)
        return to_ns(clock), records

    def record(self, frame: bytes, start: int) -> tuple[Record | None, int]:
        """Return the record at a place, None for a list that later records refer to, and where it ends."""
        fields: tuple[Any, ...]
        code, at = frame[start], start + 1
        fixed = FIXED_RECORDS.get(code)
        if fixed is not None:
            fields = unpack(fixed, frame, at, start)
            return self.fixed_record(code, fields, start), at + fixed.size
        if code == RecordCode.SERVER_REPORT:
            zone, server, attempts, failures, latency, span, count = unpack(SERVER_REPORT, frame, at, start)
            loads, at = floats(frame, at + SERVER_REPORT.size, count, start)
            return api.ServerReport(zone, server, attempts, failures, to_ns(latency), to_ns(span), loads), at
        if code == RecordCode.INVENTORY:
            number, count = unpack(INVENTORY, frame, at, start)
            body, at = slice_of(frame, at + INVENTORY.size, count * ENTRY.size, start)
            entries = tuple(
                RawEntry(server, zone, phase, weight, to_ns(since))
                for server, zone, _, _, phase, weight, since in ENTRY.iter_unpack(body)
            )
            for position, entry in enumerate(entries):
                if entry.phase > MAX_PHASE:
                    raise WireError(f"byte {start}: entry {position} has an unknown phase {entry.phase}")
            self.lists[number] = entries
            return None, at
        if code == RecordCode.PROBED:
            server, verdict, took, count = unpack(PROBED, frame, at, start)
            loads, at = floats(frame, at + PROBED.size, count, start)
            return api.Probed(server, verdict == PROBE_OK, to_ns(took), loads), at
        if code == RecordCode.PEER_MESSAGE:
            sender, count = unpack(PEER_MESSAGE, frame, at, start)
            body, at = slice_of(frame, at + PEER_MESSAGE.size, count, start)
            return api.PeerMessage(sender, body), at
        if code == RecordCode.STARTED:
            seed, count = unpack(STARTED, frame, at, start)
            body, at = slice_of(frame, at + STARTED.size, count, start)
            return api.Started(seed, read_settings(body)), at
        raise WireError(f"byte {start}: unknown code {code}")

    def fixed_record(self, code: int, fields: tuple[Any, ...], start: int) -> Record:
        """Return a record of a fixed size, from its fields."""
        match code:
            case RecordCode.LIST:
                kind, _, number = fields
                if kind > LIST_FAILED:
                    raise WireError(f"byte {start}: unknown kind of list {kind}")
                if kind == LIST_FAILED:
                    return api.ListFailed()
                if number not in self.lists:
                    raise WireError(f"byte {start}: unknown list number {number}")
                return RawList(kind, self.lists[number])
            case RecordCode.INSTANCE:
                return Instance(fields[0])
            case RecordCode.JOINED:
                proxy, zone, rate, standing = fields
                return api.Joined(proxy, zone, rate, bool(standing))
            case RecordCode.STOPPED:
                return Stopped()
            case RecordCode.DEMAND_REPORT:
                span, group, unanswered, proxy, requests = fields
                return api.DemandReport(proxy, group, requests, unanswered, to_ns(span))
            case RecordCode.TIMER_FIRED:
                return api.TimerFired(fields[0])
            case RecordCode.SLICE_RESTORED:
                return api.SliceRestored(*fields)
            case RecordCode.LEFT:
                return api.Left(fields[0])
            case RecordCode.SLICE_LOAD:
                slice_, group, requests, unanswered, span = fields
                return api.SliceLoad(slice_, group, requests, unanswered, to_ns(span))
            case RecordCode.SLICE_CHANGED:
                return api.SliceAssigned(fields[0]) if fields[1] else api.SliceRevoked(fields[0])
            case _:
                mark, took, proxy = fields
                return api.Applied(mark, to_ns(took), proxy)


def unpack(layout: struct.Struct, frame: bytes, at: int, start: int) -> tuple[Any, ...]:
    """Return the fields at a place of the record that begins at `start`.

    Raises:
        WireError: The frame ends within them.
    """
    try:
        return layout.unpack_from(frame, at)
    except struct.error:
        raise WireError(f"byte {start}: record of code {frame[start]} is cut short") from None


def slice_of(frame: bytes, at: int, count: int, start: int) -> tuple[bytes, int]:
    """Return so many bytes of a frame and where they end; their record begins at `start`.

    Raises:
        WireError: The frame ends before.
    """
    if at + count > len(frame):
        raise WireError(f"byte {start}: count of code {frame[start]} runs past the frame's end")
    return frame[at : at + count], at + count


def floats(frame: bytes, at: int, count: int, start: int) -> tuple[tuple[float, ...], int]:
    """Return so many 32-bit floats and where they end; their record begins at `start`."""
    body, end = slice_of(frame, at, 4 * count, start)
    return struct.unpack(f"<{count}f", body), end


def text_record(code: int, text: str) -> bytes:
    """Return a record that holds a text, cut to the most that its length can tell."""
    body = text.encode()[:MAX_TEXT_BYTES]
    return struct.pack("<BH", code, len(body)) + body


WRITERS: dict[type, Callable[[Any], bytes]] = {
    api.SetWeight: lambda order: struct.pack(
        "<BHIf", OrderCode.SET_WEIGHT, order.table, order.server, order.weight
    ),
    api.ClearTable: lambda order: struct.pack("<BH", OrderCode.CLEAR_TABLE, order.table),
    api.Withdraw: lambda order: struct.pack("<BBI", OrderCode.WITHDRAW, order.out, order.server),
    api.Level: lambda order: struct.pack(
        "<BHBHf", OrderCode.LEVEL, order.mask, order.retry, order.table, order.allowance
    ),
    api.Bind: lambda order: struct.pack("<BHHH", OrderCode.BIND, order.proxy, order.table, order.mask),
    api.Mark: lambda order: struct.pack("<BQB", OrderCode.MARK, order.mark, order.everyone),
    api.Probe: lambda order: struct.pack("<BI", OrderCode.PROBE, order.server),
    api.Watch: lambda order: struct.pack("<BB", OrderCode.WATCH, order.on),
    api.Fetch: lambda order: struct.pack("<B", OrderCode.FETCH),
    api.SendToPeer: lambda order: (
        struct.pack(
            "<BHH", OrderCode.SEND_TO_PEER, ALL_PEERS if order.peer < 0 else order.peer, len(order.body)
        )
        + order.body
    ),
    api.Note: lambda order: text_record(OrderCode.NOTE, order.text),
    api.StartTimer: lambda order: struct.pack(
        "<BdQ", OrderCode.START_TIMER, order.after / NS_PER_MS, order.token
    ),
}


def write_order(order: api.Order) -> bytes:
    """Return an order encoded."""
    return WRITERS[type(order)](order)


def on_behalf(instance: int) -> bytes:
    """Return the record which says that those behind it are of this instance."""
    return struct.pack("<BI", OrderCode.INSTANCE, instance)


def failure(cause: str) -> bytes:
    """Return the record which says that an instance has failed."""
    return text_record(OrderCode.FAILURE, cause)


def reply(body: bytes) -> bytes:
    """Return the frame of a reply."""
    return U32.pack(U32.size + len(body)) + body
