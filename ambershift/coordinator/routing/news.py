"""News: what the relay tells of the proxies on two connections alike, told to the module once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.admit import Admit, RefusedError
from ambershift.coordinator.routing.book import Book

AHEAD_MOST = 4096


class Stream:
    """How far one connection has come: what stood at its beginning, and the news that it brought first."""

    def __init__(self) -> None:
        self.stood = dict[int, codec.Hello]()
        self.level = False  # Whether all that stands has been told.
        self.ahead = deque[codec.News](maxlen=AHEAD_MOST)
        self.old = 0  # So much of what the other had ahead stood there at this one's last sign of life.


class News:
    """Keeps the set of joined proxies. Where one connection breaks the other goes on, and nothing is missed;
    where both were broken, what stands is compared with what was known."""

    def __init__(self, admit: Admit, put: Callable[[api.Event], None], book: Book) -> None:
        self.admit, self.put, self.book = admit, put, book
        self.joined = dict[int, codec.Hello]()
        self.streams = Stream(), Stream()

    def begin(self, place: int) -> None:
        for stream in self.streams:
            stream.ahead.clear()
            stream.old = 0
        self.streams[place].stood, self.streams[place].level = {}, False

    def end(self, place: int) -> bool:
        """The connection has broken, or never came up; tells whether it had told all that stands."""
        was, self.streams[place].level = self.streams[place].level, False
        return was

    def take(self, place: int, news: codec.News) -> None:
        stream, other = self.streams[place], self.streams[1 - place]
        if not stream.level:
            if isinstance(news, codec.Hello) and news.proxy not in stream.stood:
                stream.stood[news.proxy] = news
                if not other.level:
                    self.stands(news)
                return
            self.levelled(stream, other)
        if isinstance(news, codec.Sign):
            # What it has not brought since its last sign of life it never will; later news in the same words
            # must not be taken for that.
            self.drop(stream, other, stream.old)
            stream.old = len(other.ahead)
        elif news in other.ahead:
            # What the other brought before this and this one never will was told before this one began.
            self.drop(stream, other, other.ahead.index(news) + 1)
        else:
            stream.ahead.append(news)
            self.tell(news)

    def drop(self, stream: Stream, other: Stream, count: int) -> None:
        for _ in range(min(count, len(other.ahead))):
            other.ahead.popleft()
        stream.old = max(0, stream.old - count)

    def levelled(self, stream: Stream, other: Stream) -> None:
        """What stands has been told whole: who was here before and is not named has left meanwhile."""
        stream.level = True
        if not other.level:
            for hello in stream.stood.values():
                self.stands(hello)
            for proxy in sorted(self.joined.keys() - stream.stood.keys()):
                self.tell(codec.Bye(proxy))

    def stands(self, hello: codec.Hello) -> None:
        """A proxy known before is the same stream still, unless it has lost the tables it had from us."""
        known = self.joined.get(hello.proxy)
        if known is None or known.zone != hello.zone or hello.fresh and not known.fresh:
            self.tell(hello)
        else:
            self.joined[hello.proxy] = hello

    def tell(self, news: codec.News) -> None:
        try:
            match news:
                case codec.Hello():
                    self.put(self.admit.joined(news))
                    self.joined[news.proxy] = news
                    self.book.note("joined", proxy=news.proxy, zone=news.zone, fresh=news.fresh)
                case codec.Bye():
                    if self.joined.pop(news.proxy, None):
                        self.put(api.Left(news.proxy))
                        self.book.note("left", proxy=news.proxy)
                case codec.Ack():
                    self.put(self.admit.applied(news))
                    self.book.count("acks")
                    if known := self.joined.get(news.proxy):
                        self.joined[news.proxy] = known._replace(fresh=False)
        except RefusedError as error:
            self.book.note("refused", why=str(error))
