"""Hosts the instances of one process: each has a module and a door of its own, and they share nothing."""

from __future__ import annotations

from typing import Any, BinaryIO, cast

from ambershift import interface as api
from ambershift import policy
from ambershift.benchlink import wire
from ambershift.id_index import IdIndex


class WireDoor(IdIndex[int]):
    """Turns records with the wire's numbers into events with an instance's indices, and orders back."""

    def __init__(self, zones: int) -> None:
        super().__init__()
        self.zones = zones

    def zone(self, zone: int) -> int:
        return zone if zone < self.zones else -1

    def event(self, record: Any) -> api.Event:
        if isinstance(record, wire.RawList):
            return api.Listed(
                record.kind != 0,
                record.kind == 2,
                tuple(
                    api.Entry(
                        self.index(one.server),
                        self.zone(one.zone),
                        api.Phase(one.phase),
                        one.weight,
                        one.since,
                    )
                    for one in record.entries
                ),
            )
        match record:
            case api.ServerReport():
                return record._replace(server=self.index(record.server), zone=self.zone(record.zone))
            case api.Probed() | api.SliceRestored():
                return record._replace(server=self.index(record.server))
            case api.Joined():
                return record._replace(zone=self.zone(record.zone))
        return cast(api.Event, record)

    def order(self, order: api.Order) -> api.Order:
        if isinstance(order, (api.SetWeight, api.Withdraw, api.Probe)):
            return order._replace(server=self.ids[order.server])
        return order


class Host:
    """Runs batches: gathers each instance's events and asks its module once."""

    def __init__(self) -> None:
        self.reader = wire.Reader()
        self.doors: dict[int, WireDoor] = {}
        self.modules: dict[int, policy.TableManager] = {}

    def answer(self, frame: bytes) -> bytes:
        now, records = self.reader.batch(frame)
        gathered: dict[int, list[api.Event]] = {}
        instance = None
        for record in records:
            if isinstance(record, wire.Instance):
                instance = record.number
                continue
            if instance is None:
                raise wire.WireError("byte 12: a record comes before any instance is named")
            if isinstance(record, wire.Stopped):
                self.doors.pop(instance, None)
                self.modules.pop(instance, None)
                gathered.pop(instance, None)
            elif isinstance(record, api.Started):
                self.doors[instance] = WireDoor(record.settings.zones)
                self.modules[instance] = policy.TableManager()
                gathered[instance] = [record]
            elif instance in self.modules:
                gathered.setdefault(instance, []).append(self.doors[instance].event(record))
        body = b""
        for instance, events in gathered.items():
            body += self.ask(instance, now, events)
        return wire.reply(body)

    def ask(self, instance: int, now: int, events: list[api.Event]) -> bytes:
        door = self.doors[instance]
        try:
            orders = self.modules[instance].step(now, events)
            body = b"".join(
                [wire.write_order(door.order(order)) for order in orders if not isinstance(order, api.Forget)]
            )
            for order in orders:
                if isinstance(order, api.Forget):
                    door.forget(order.server)
        except Exception as error:  # the wire wants any failure of the decisions told, then the day ends
            cause = " ".join(f"{type(error).__name__}: {error}".split())
            body = wire.failure(cause)
        return wire.on_behalf(instance) + body if body else b""


def read_frame(stream: BinaryIO) -> bytes | None:
    head = stream.read(wire.U32.size)
    if not head:
        return None
    if len(head) < wire.U32.size:
        raise wire.WireError(f"byte {len(head)}: input ends inside a frame's length")
    length = wire.U32.unpack(head)[0]
    if length < wire.HEADER.size:
        raise wire.WireError(f"byte 0: a frame of {length} bytes is shorter than its header")
    rest = stream.read(length - len(head))
    if len(rest) < length - len(head):
        raise wire.WireError(f"byte {len(head) + len(rest)}: input ends inside a frame of {length} bytes")
    return head + rest


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()
