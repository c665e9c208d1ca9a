"""Hosts the instances of one process: each has a module and indices of its own, and they share nothing."""

from __future__ import annotations

from typing import Any, BinaryIO, cast

from ambershift import interface as api
from ambershift import policy
from ambershift.benchlink import wire
from ambershift.id_index import IdIndex

# Kinds of lists; all but updates are whole.
UPDATED_LIST = 0
CACHED_LIST = 2


class ServerIndex(IdIndex[int]):
    """Turns records with the bench's server numbers into events with an instance's indices; orders back."""

    def __init__(self, zones: int) -> None:
        """Start without servers.

        Args:
            zones: Number of zones; those from there on are unknown.
        """
        super().__init__()
        self.zones = zones

    def zone(self, zone: int) -> int:
        """Return a zone, -1 if it is unknown."""
        return zone if zone < self.zones else -1

    def event(self, record: Any) -> api.Event:
        """Return a record as an event."""
        if isinstance(record, wire.RawList):
            return api.Listed(
                record.kind != UPDATED_LIST,
                record.kind == CACHED_LIST,
                tuple(
                    api.Entry(
                        self.index(entry.server),
                        self.zone(entry.zone),
                        api.Phase(entry.phase),
                        entry.weight,
                        entry.since,
                    )
                    for entry in record.entries
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
        """Return an order with the bench's server number."""
        if isinstance(order, (api.SetWeight, api.Withdraw, api.Probe)):
            return order._replace(server=self.ids[order.server])
        return order


class Host:
    """Runs batches: gathers each instance's events and steps its module once."""

    def __init__(self) -> None:
        self.reader = wire.Reader()
        self.server_indices: dict[int, ServerIndex] = {}
        self.modules: dict[int, policy.TableManager] = {}

    def answer(self, frame: bytes) -> bytes:
        """Return the reply to a batch.

        Raises:
            WireError: The batch breaks the protocol.
        """
        now, records = self.reader.batch(frame)
        events_of: dict[int, list[api.Event]] = {}
        instance = None
        for record in records:
            if isinstance(record, wire.Instance):
                instance = record.number
                continue
            if instance is None:
                raise wire.WireError("byte 12: a record comes before any instance is named")
            if isinstance(record, wire.Stopped):
                self.server_indices.pop(instance, None)
                self.modules.pop(instance, None)
                events_of.pop(instance, None)
            elif isinstance(record, api.Started):
                self.server_indices[instance] = ServerIndex(record.settings.zones)
                self.modules[instance] = policy.TableManager()
                events_of[instance] = [record]
            elif instance in self.modules:
                events_of.setdefault(instance, []).append(self.server_indices[instance].event(record))
        body = b""
        for instance, events in events_of.items():
            body += self.step(instance, now, events)
        return wire.reply(body)

    def step(self, instance: int, now: int, events: list[api.Event]) -> bytes:
        """Step an instance; returns its orders, or its failure, encoded."""
        server_index = self.server_indices[instance]
        try:
            orders = self.modules[instance].step(now, events)
            body = b"".join(
                [
                    wire.write_order(server_index.order(order))
                    for order in orders
                    if not isinstance(order, api.Forget)
                ]
            )
            for order in orders:
                if isinstance(order, api.Forget):
                    server_index.forget(order.server)
        except (
            Exception
        ) as error:  # The protocol wants any failure of the module reported; then the run ends.
            cause = " ".join(f"{type(error).__name__}: {error}".split())
            body = wire.failure(cause)
        return wire.on_behalf(instance) + body if body else b""


def read_frame(stream: BinaryIO) -> bytes | None:
    """Return the next frame, None at the end of the input.

    Raises:
        WireError: The input ends inside a frame, or a frame is too short.
    """
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
    """Answer each frame until the input ends.

    Raises:
        WireError: The input breaks the protocol.
    """
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()
