"""What two connections tell of the same proxies, told once: the comparing, without input or output.

`News` drives it with what the relay says; the model checker drives the same machine. Each connection tells
first what stands and then what happens; both tell the same, each at its own pace, and either may break at
any point.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ambershift.coordinator.protocol import relay as codec

MAX_UNMATCHED = 4096


class EventStream:
    """How far one connection has come: who is joined by all that it told, and the news that it brought first.

    What was told because of what stood has no order among itself, and so a place of its own, by proxy.
    """

    def __init__(self) -> None:
        self.view = dict[int, codec.Hello]()
        self.synced = False  # Whether all that stands has been told.
        self.unmatched = deque[codec.ProxyEvent](maxlen=MAX_UNMATCHED)
        self.from_snapshot = dict[int, codec.ProxyEvent]()
        # So much of what the other had ahead and stated was there at this one's last sign of life.
        self.stale_count, self.stale_proxies = 0, set[int]()


class StreamState(NamedTuple):
    view: tuple[codec.Hello, ...]
    synced: bool
    unmatched: tuple[codec.ProxyEvent, ...]
    from_snapshot: tuple[codec.ProxyEvent, ...]
    stale_count: int
    stale_proxies: tuple[int, ...]


class MergerState(NamedTuple):
    joined: tuple[codec.Hello, ...]
    streams: tuple[StreamState, StreamState]


def proxy_of(news: codec.ProxyEvent) -> int:
    return -1 if isinstance(news, codec.KeepAlive) else news.proxy


def equivalent(one: codec.ProxyEvent, other: codec.ProxyEvent) -> bool:
    """Whether both tell of the same. A join that stands may have other figures by now than when it
    happened.
    """
    if isinstance(one, codec.Hello) and isinstance(other, codec.Hello):
        return (one.proxy, one.zone) == (other.proxy, other.zone)
    return one == other


class StreamMerger:
    """Keeps the set of joined proxies. Where one connection breaks the other goes on, and nothing is missed;
    where both were broken, what stands is compared with what was known.

    `tell` hears each join, leave and answer once; it gives False for what it refuses, which counts as not
    told.
    """

    def __init__(self, tell: Callable[[codec.ProxyEvent], bool]) -> None:
        self.report = tell
        self.joined = dict[int, codec.Hello]()
        self.streams = EventStream(), EventStream()

    def on_connected(self, place: int) -> None:
        # What the other had ahead of this one's last connection stands by now. What that connection had ahead
        # of the other stays: the other may still bring it, and it must not be told twice for that.
        stream, other = self.streams[place], self.streams[1 - place]
        other.unmatched.clear()
        other.from_snapshot.clear()
        stream.stale_proxies.clear()
        stream.stale_count, stream.view, stream.synced = 0, {}, False

    def on_disconnected(self, place: int) -> bool:
        """The connection has broken, or never came up; tells whether it had told all that stands."""
        stream, other = self.streams[place], self.streams[1 - place]
        was, stream.synced = stream.synced, False
        if was and other.synced:
            # The other may know of joins and leaves that it left to this one to tell, as that one was level
            # too.
            self.reconcile(other, stream)
        return was

    def on_event(self, place: int, news: codec.ProxyEvent) -> None:
        stream, other = self.streams[place], self.streams[1 - place]
        if not stream.synced:
            if isinstance(news, codec.Hello) and news.proxy not in stream.view:
                stream.view[news.proxy] = news
                if not other.synced and news.proxy not in self.pending(other):
                    self.stands(news)  # At once, as the last to stand may be long in coming.
                return
            stream.synced = True
            self.reconcile(stream, other, None, True)
        self.see(stream, news)
        self.match(stream, other, news)
        if other.synced:
            self.agree(stream, other, None if isinstance(news, codec.KeepAlive) else {news.proxy})

    def agree(self, stream: EventStream, other: EventStream, only: set[int] | None) -> None:
        """Words that stand for two things may have been matched wrongly: what both have is true all the
        same.
        """
        here = (stream.view.keys() & other.view.keys()) - self.joined.keys()
        gone = self.joined.keys() - stream.view.keys() - other.view.keys()
        for proxy in sorted(here if only is None else here & only):
            self.tell(stream.view[proxy])
        for proxy in sorted(gone if only is None else gone & only):
            self.tell(codec.Bye(proxy))

    def match(self, stream: EventStream, other: EventStream, news: codec.ProxyEvent) -> None:
        """Tell what this one brings first, and pass over what the other brought before."""
        if isinstance(news, codec.KeepAlive):
            # What it has not brought since its last sign of life it never will; later news in the same words
            # must not be taken for that.
            self.drop(stream, other, stream.stale_count, stream.stale_proxies)
            stream.stale_count, stream.stale_proxies = len(other.unmatched), set(other.from_snapshot)
            return
        stated = other.from_snapshot.get(proxy_of(news))
        if stated is not None and equivalent(stated, news):
            self.drop(stream, other, 0, {proxy_of(news)})
            return
        if stated is not None and not isinstance(news, codec.Ack):
            return  # From before what the other was told to stand: the word for that is still to come here.
        for at, one in enumerate(other.unmatched):
            if equivalent(one, news):
                # This one alone: what lies before it may still come, if this was an older one in the same
                # words.
                del other.unmatched[at]
                stream.stale_count -= at < stream.stale_count
                if self.stale(other, at, news):
                    break
                self.settle(stream, other, {proxy_of(news)})
                return
        stream.unmatched.append(news)
        self.tell(news)

    def stale(self, other: EventStream, at: int, news: codec.ProxyEvent) -> bool:
        """Whether what was found ahead is an older word that this one never brought: it does not hold now,
        and nothing behind it took it back.
        """
        proxy = proxy_of(news)
        if any(
            proxy_of(one) == proxy and not isinstance(one, codec.Ack) for one in list(other.unmatched)[at:]
        ):
            return False
        match news:
            case codec.Hello():
                return proxy not in self.joined
            case codec.Bye():
                return proxy in self.joined
        return False

    def see(self, stream: EventStream, news: codec.ProxyEvent) -> None:
        match news:
            case codec.Hello():
                stream.view[news.proxy] = news
            case codec.Bye():
                stream.view.pop(news.proxy, None)
            case codec.Ack() if news.proxy in stream.view:
                stream.view[news.proxy] = stream.view[news.proxy]._replace(fresh=False)

    def pending(self, other: EventStream) -> set[int]:
        return set(map(proxy_of, other.unmatched)) | other.from_snapshot.keys()

    def drop(self, stream: EventStream, other: EventStream, count: int, stated: set[int]) -> None:
        """The stream has brought these, the last ones of their kind, or will bring none of them any more."""
        gone = {proxy_of(other.unmatched.popleft()) for _ in range(min(count, len(other.unmatched)))} | stated
        for proxy in stated:
            other.from_snapshot.pop(proxy, None)
        stream.stale_count = max(0, stream.stale_count - count)
        stream.stale_proxies -= stated
        self.settle(stream, other, gone)

    def settle(self, stream: EventStream, other: EventStream, proxies: set[int]) -> None:
        """Of these the other has nothing ahead any more; where it is broken, this one alone tells the
        truth.
        """
        if not other.synced and stream.synced:
            self.reconcile(stream, other, proxies)

    def reconcile(
        self,
        stream: EventStream,
        other: EventStream,
        only: Iterable[int] | None = None,
        just_told: bool = False,
    ) -> None:
        """Tell what is known otherwise than this connection has it, which is level.

        But for proxies of which the other brought news that this one may still bring: to take these for
        missed ones would tell joins and leaves falsely, and pass over the true ones when they come. Where
        the other is level too and only slow, it finds ahead of it what is told here. That a proxy has lost
        its tables is seen only in what was just told to stand: later the other may have known better.
        """
        pending = self.pending(other)
        known = (self.joined.keys() | stream.view.keys()) if only is None else set(only)
        here = [hello for proxy, hello in stream.view.items() if proxy in known - pending]
        for hello in here:
            if (just_told or hello.proxy not in self.joined) and self.stands(hello):
                stream.from_snapshot[hello.proxy] = hello
        for proxy in sorted((known & self.joined.keys()) - pending - stream.view.keys()):
            self.tell(codec.Bye(proxy))
            stream.from_snapshot[proxy] = codec.Bye(proxy)

    def stands(self, hello: codec.Hello) -> bool:
        """A proxy known before is the same stream still, unless it has lost the tables it had from us."""
        known = self.joined.get(hello.proxy)
        if known is None or known.zone != hello.zone or (hello.fresh and not known.fresh):
            self.tell(hello)
            return True
        self.joined[hello.proxy] = hello
        return False

    def tell(self, news: codec.ProxyEvent) -> None:
        match news:
            case codec.Hello():
                if self.report(news):
                    self.joined[news.proxy] = news
            case codec.Bye():
                if self.joined.pop(news.proxy, None):
                    self.report(news)
            case codec.Ack():
                if self.report(news) and (known := self.joined.get(news.proxy)):
                    self.joined[news.proxy] = known._replace(fresh=False)

    def snapshot(self) -> MergerState:
        """The whole state as values, for the checker."""
        first, second = (
            StreamState(
                tuple(hello for _, hello in sorted(one.view.items())),
                one.synced,
                tuple(one.unmatched),
                tuple(one.from_snapshot[at] for at in sorted(one.from_snapshot)),
                one.stale_count,
                tuple(sorted(one.stale_proxies)),
            )
            for one in self.streams
        )
        return MergerState(tuple(hello for _, hello in sorted(self.joined.items())), (first, second))

    def restore(self, state: MergerState) -> None:
        self.joined = {hello.proxy: hello for hello in state.joined}
        for stream, held in zip(self.streams, state.streams, strict=True):
            stream.view = {hello.proxy: hello for hello in held.view}
            stream.synced, stream.stale_count, stream.stale_proxies = (
                held.synced,
                held.stale_count,
                set(held.stale_proxies),
            )
            stream.from_snapshot = {proxy_of(news): news for news in held.from_snapshot}
            stream.unmatched = deque(held.unmatched, maxlen=MAX_UNMATCHED)
