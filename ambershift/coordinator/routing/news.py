"""News: follows the relay and tells the module which proxies join, leave and have applied what."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.protocol.words import UnreadableError
from ambershift.coordinator.routing.admit import Admit, RefusedError
from ambershift.coordinator.routing.book import Book
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.endings import EndedError, Ending
from ambershift.coordinator.transport.link import Link

DIAL_LIMIT, WRITE_LIMIT = 0.5, 0.5
# The relay gives a sign of life each second; one may come late, a second one missing is a broken stream.
SILENCE = 2.2
PAUSE_LEAST, PAUSE_MOST = 0.05, 0.5


class News:
    def __init__(self, dialler: Dialler, address: str, admit: Admit, put: Callable[[api.Event], None],
                 book: Book) -> None:
        self.dialler, self.address, self.admit, self.put, self.book = dialler, address, admit, put, book
        self.joined = set[int]()
        self.missing: set[int] | None = None  # While what stands is told: had before, not named yet.

    async def run(self) -> None:
        pause = 0.0
        while True:
            try:
                link = await self.dialler.dial(self.address, DIAL_LIMIT)
            except EndedError as end:
                self.book.ended("news", end)
            else:
                try:
                    await self.follow(link)
                except EndedError as end:
                    self.book.ended("news", end)
                    if self.missing is None:
                        pause = 0.0
                finally:
                    link.close()
            await asyncio.sleep(pause)
            pause = min(PAUSE_MOST, max(PAUSE_LEAST, 2 * pause))

    async def follow(self, link: Link) -> None:
        self.missing = set(self.joined)
        await link.write(codec.FOLLOW, WRITE_LIMIT)
        following = False
        while True:
            for line in await link.lines(SILENCE):
                try:
                    news = codec.read_news(line)
                    if isinstance(news, codec.Busy | codec.Misread):
                        raise EndedError(Ending.TURNED_AWAY)
                    if following == isinstance(news, codec.Following):
                        raise UnreadableError("'OK' comes once, and first")
                    following = True
                    self.take(news)
                except UnreadableError as error:
                    raise EndedError(Ending.UNREADABLE, str(error)) from None
                except RefusedError as error:
                    self.book.note("refused", why=str(error))

    def take(self, news: codec.News) -> None:
        match news:
            case codec.Hello():
                self.hello(news)
                return
            case codec.Following():
                return
        self.compared()
        match news:
            case codec.Bye():
                if news.proxy in self.joined:
                    self.leave(news.proxy)
            case codec.Ack():
                self.book.count("acks")
                self.put(self.admit.applied(news))

    def hello(self, hello: codec.Hello) -> None:
        event = self.admit.joined(hello)
        if self.missing and hello.proxy in self.missing:
            # It was here before the news broke. One that holds no ordered table has started anew.
            self.missing.discard(hello.proxy)
            if not hello.fresh:
                return
        self.joined.add(hello.proxy)
        self.book.note("joined", proxy=hello.proxy, zone=hello.zone, fresh=hello.fresh)
        self.put(event)

    def compared(self) -> None:
        """What stands has been told: who was here before and is not named has left meanwhile."""
        for proxy in sorted(self.missing or ()):
            self.leave(proxy)
        self.missing = None

    def leave(self, proxy: int) -> None:
        self.joined.discard(proxy)
        self.book.note("left", proxy=proxy)
        self.put(api.Left(proxy))
