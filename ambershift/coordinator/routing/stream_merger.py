"""Merges two redundant streams of proxy events into one, without input or output of its own.

`ProxyEventFeed` drives it with what the relay sends; the model checker drives the same state machine. On each
connection the relay first sends a snapshot of the joined proxies and then the events as they happen. Both
connections carry the same events, each at its own pace, and either may break at any point.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ambershift.coordinator.protocol import relay as codec

MAX_UNMATCHED = 4096  # Events that one connection may be ahead of the other; older ones are dropped.


class EventStream:
    """How far one connection has come.

    Attributes:
        view: The joined proxies by all that this connection has sent.
        synced: Whether the snapshot is complete.
        unmatched: Events that this connection sent first and the other has not sent yet, in order.
        from_snapshot: Events emitted because of the snapshot, by proxy: they have no order among themselves.
        stale_count: How many of the other's unmatched events were there at this connection's last keep-alive.
        stale_proxies: The proxies of the other's `from_snapshot` at that time.
    """

    def __init__(self) -> None:
        self.view = dict[int, codec.Hello]()
        self.synced = False
        self.unmatched = deque[codec.ProxyEvent](maxlen=MAX_UNMATCHED)
        self.from_snapshot = dict[int, codec.ProxyEvent]()
        self.stale_count = 0
        self.stale_proxies = set[int]()


class StreamState(NamedTuple):
    """The state of an `EventStream` as values."""

    view: tuple[codec.Hello, ...]
    synced: bool
    unmatched: tuple[codec.ProxyEvent, ...]
    from_snapshot: tuple[codec.ProxyEvent, ...]
    stale_count: int
    stale_proxies: tuple[int, ...]


class MergerState(NamedTuple):
    """The state of a `StreamMerger` as values."""

    joined: tuple[codec.Hello, ...]
    streams: tuple[StreamState, StreamState]


def proxy_of(event: codec.ProxyEvent) -> int:
    """Return the proxy of an event, -1 for a keep-alive."""
    return -1 if isinstance(event, codec.KeepAlive) else event.proxy


def equivalent(one: codec.ProxyEvent, other: codec.ProxyEvent) -> bool:
    """Tell whether both report the same event.

    A join in a snapshot may carry newer figures than the join had when it happened.
    """
    if isinstance(one, codec.Hello) and isinstance(other, codec.Hello):
        return (one.proxy, one.zone) == (other.proxy, other.zone)
    return one == other


class StreamMerger:
    """Keeps the set of joined proxies and emits each join, leave and acknowledgement once.

    While one connection breaks, the other goes on and nothing is missed. After both were broken, the new
    snapshot is compared with what was known.
    """

    def __init__(self, handler: Callable[[codec.ProxyEvent], bool]) -> None:
        """Start with no connection.

        Args:
            handler: Receives each event once; it returns False if it rejects one, which then counts as not
                emitted.
        """
        self.handler = handler
        self.joined = dict[int, codec.Hello]()
        self.streams = EventStream(), EventStream()

    def on_connected(self, index: int) -> None:
        """Start the stream of a new connection, with its snapshot still to come."""
        # What the other sent ahead of this one's last connection is part of the snapshot. What that
        # connection sent ahead of the other stays: the other may still send it, and it must not be emitted
        # twice.
        stream, other = self.streams[index], self.streams[1 - index]
        other.unmatched.clear()
        other.from_snapshot.clear()
        stream.stale_proxies.clear()
        stream.stale_count, stream.view, stream.synced = 0, {}, False

    def on_disconnected(self, index: int) -> bool:
        """The connection has broken, or was never established.

        Returns:
            Whether its snapshot was complete.
        """
        stream, other = self.streams[index], self.streams[1 - index]
        was_synced, stream.synced = stream.synced, False
        if was_synced and other.synced:
            # The other may know joins and leaves that it left to this one to report, as this one was synced.
            self.reconcile(other, stream)
        return was_synced

    def on_event(self, index: int, event: codec.ProxyEvent) -> None:
        """Take one event of a connection; the first that is no new join ends its snapshot."""
        stream, other = self.streams[index], self.streams[1 - index]
        if not stream.synced:
            if isinstance(event, codec.Hello) and event.proxy not in stream.view:
                stream.view[event.proxy] = event
                if not other.synced and event.proxy not in self.pending(other):
                    self.emit_snapshot_join(event)  # At once: the end of the snapshot may be long in coming.
                return
            stream.synced = True
            self.reconcile(stream, other, None, True)
        self.update_view(stream, event)
        self.match_event(stream, other, event)
        if other.synced:
            self.apply_agreement(stream, other, None if isinstance(event, codec.KeepAlive) else {event.proxy})

    def apply_agreement(self, stream: EventStream, other: EventStream, only: set[int] | None) -> None:
        """Emit what both views agree on and `joined` lacks.

        Two identical events of different times may have been matched wrongly; the views are right all the
        same.
        """
        present = (stream.view.keys() & other.view.keys()) - self.joined.keys()
        absent = self.joined.keys() - stream.view.keys() - other.view.keys()
        for proxy in sorted(present if only is None else present & only):
            self.emit(stream.view[proxy])
        for proxy in sorted(absent if only is None else absent & only):
            self.emit(codec.Bye(proxy))

    def match_event(self, stream: EventStream, other: EventStream, event: codec.ProxyEvent) -> None:
        """Emit an event that this connection sends first, and skip one that the other sent before."""
        if isinstance(event, codec.KeepAlive):
            # What this connection has not sent since its last keep-alive it never will; a later event that
            # looks the same must not be matched with it.
            self.discard(stream, other, stream.stale_count, stream.stale_proxies)
            stream.stale_count, stream.stale_proxies = len(other.unmatched), set(other.from_snapshot)
            return
        emitted = other.from_snapshot.get(proxy_of(event))
        if emitted is not None and equivalent(emitted, event):
            self.discard(stream, other, 0, {proxy_of(event)})
            return
        if emitted is not None and not isinstance(event, codec.Ack):
            return  # Older than the other's snapshot: the event behind the emitted one is still to come here.
        for position, candidate in enumerate(other.unmatched):
            if equivalent(candidate, event):
                # Only this one: those before it may still come, if this was an older event that looks alike.
                del other.unmatched[position]
                stream.stale_count -= position < stream.stale_count
                if self.is_stale(other, position, event):
                    break
                self.reconcile_if_alone(stream, other, {proxy_of(event)})
                return
        stream.unmatched.append(event)
        self.emit(event)

    def is_stale(self, other: EventStream, position: int, event: codec.ProxyEvent) -> bool:
        """Tell whether a match was an older event that this connection never sent.

        It is one if it does not hold now and no later unmatched event took it back.
        """
        proxy = proxy_of(event)
        later = list(other.unmatched)[position:]
        if any(proxy_of(one) == proxy and not isinstance(one, codec.Ack) for one in later):
            return False
        match event:
            case codec.Hello():
                return proxy not in self.joined
            case codec.Bye():
                return proxy in self.joined
        return False

    def update_view(self, stream: EventStream, event: codec.ProxyEvent) -> None:
        """Apply an event to the view of its connection."""
        match event:
            case codec.Hello():
                stream.view[event.proxy] = event
            case codec.Bye():
                stream.view.pop(event.proxy, None)
            case codec.Ack() if event.proxy in stream.view:
                stream.view[event.proxy] = stream.view[event.proxy]._replace(fresh=False)

    def pending(self, other: EventStream) -> set[int]:
        """Return the proxies of which a stream has sent events that its peer may still send."""
        return set(map(proxy_of, other.unmatched)) | other.from_snapshot.keys()

    def discard(self, stream: EventStream, other: EventStream, count: int, from_snapshot: set[int]) -> None:
        """Drop the other's oldest unmatched events and some of its snapshot: this stream won't send them."""
        dropped = {proxy_of(other.unmatched.popleft()) for _ in range(min(count, len(other.unmatched)))}
        dropped |= from_snapshot
        for proxy in from_snapshot:
            other.from_snapshot.pop(proxy, None)
        stream.stale_count = max(0, stream.stale_count - count)
        stream.stale_proxies -= from_snapshot
        self.reconcile_if_alone(stream, other, dropped)

    def reconcile_if_alone(self, stream: EventStream, other: EventStream, proxies: set[int]) -> None:
        """Compare proxies of which the other has nothing unmatched any more, if the other is broken."""
        if not other.synced and stream.synced:
            self.reconcile(stream, other, proxies)

    def reconcile(
        self,
        stream: EventStream,
        other: EventStream,
        only: Iterable[int] | None = None,
        snapshot_ended: bool = False,
    ) -> None:
        """Emit the differences between `joined` and the view of a stream, which is synced.

        Proxies of which the other sent events that this stream may still send are left out: to take these
        events for missed ones would emit false joins and leaves, and skip the true ones when they come. If
        the other is synced too and only slow, it finds what is emitted here in `from_snapshot`. That a proxy
        has lost its tables is seen only in a snapshot that has just ended: later the other may know better.
        """
        pending = self.pending(other)
        candidates = (self.joined.keys() | stream.view.keys()) if only is None else set(only)
        present = [hello for proxy, hello in stream.view.items() if proxy in candidates - pending]
        for hello in present:
            if (snapshot_ended or hello.proxy not in self.joined) and self.emit_snapshot_join(hello):
                stream.from_snapshot[hello.proxy] = hello
        for proxy in sorted((candidates & self.joined.keys()) - pending - stream.view.keys()):
            self.emit(codec.Bye(proxy))
            stream.from_snapshot[proxy] = codec.Bye(proxy)

    def emit_snapshot_join(self, hello: codec.Hello) -> bool:
        """Emit a join that a snapshot contains, unless the proxy is known and still holds its tables."""
        known = self.joined.get(hello.proxy)
        if known is None or known.zone != hello.zone or (hello.fresh and not known.fresh):
            self.emit(hello)
            return True
        self.joined[hello.proxy] = hello
        return False

    def emit(self, event: codec.ProxyEvent) -> None:
        """Pass an event to the handler and update `joined`."""
        match event:
            case codec.Hello():
                if self.handler(event):
                    self.joined[event.proxy] = event
            case codec.Bye():
                if self.joined.pop(event.proxy, None):
                    self.handler(event)
            case codec.Ack():
                if self.handler(event) and (known := self.joined.get(event.proxy)):
                    self.joined[event.proxy] = known._replace(fresh=False)

    def snapshot(self) -> MergerState:
        """Return the whole state as values, for the model checker."""
        first, second = (
            StreamState(
                tuple(hello for _, hello in sorted(one.view.items())),
                one.synced,
                tuple(one.unmatched),
                tuple(one.from_snapshot[proxy] for proxy in sorted(one.from_snapshot)),
                one.stale_count,
                tuple(sorted(one.stale_proxies)),
            )
            for one in self.streams
        )
        return MergerState(tuple(hello for _, hello in sorted(self.joined.items())), (first, second))

    def restore(self, state: MergerState) -> None:
        """Take over a state that `snapshot` returned."""
        self.joined = {hello.proxy: hello for hello in state.joined}
        for stream, saved in zip(self.streams, state.streams, strict=True):
            stream.view = {hello.proxy: hello for hello in saved.view}
            stream.synced = saved.synced
            stream.stale_count = saved.stale_count
            stream.stale_proxies = set(saved.stale_proxies)
            stream.from_snapshot = {proxy_of(event): event for event in saved.from_snapshot}
            stream.unmatched = deque(saved.unmatched, maxlen=MAX_UNMATCHED)
