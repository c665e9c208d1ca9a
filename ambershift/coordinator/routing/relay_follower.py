"""Follow: keeps the connections up on which the relay's news come, and reads them."""

from __future__ import annotations

import asyncio

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.decoding import reading
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.proxy_event_feed import ProxyEventFeed
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link

DIAL_LIMIT, WRITE_LIMIT = 0.3, 0.5
# The relay gives a sign of life each second; one may come late, a second one missing is a broken stream.
SILENCE = 2.2
PAUSE_LEAST, PAUSE_MOST = 0.05, 0.2


class RelayFollower:
    def __init__(self, dialler: Dialler, address: str, news: ProxyEventFeed, event_log: EventLog) -> None:
        self.dialler, self.address, self.news, self.event_log = dialler, address, news, event_log
        self.turn = asyncio.Lock()  # One at a time is told what stands, or each would take it for news.
        self.links: list[Link | None] = [None, None]

    async def run(self, place: int) -> None:
        pause = PAUSE_LEAST
        while True:
            try:
                await self.connect(place)
            except DisconnectedError as end:
                self.event_log.record_disconnect("news", end, place=place)
            finally:
                pause = PAUSE_LEAST if self.news.on_disconnected(place) else min(PAUSE_MOST, 2 * pause)
            await asyncio.sleep(pause)

    def move(self, address: str) -> None:
        """Follow at another address: one connection goes there at once, the other once that one has been told
        all that stands, so that news are missed on neither side of the move.
        """
        if address != self.address:
            self.address = address
            first, second = (stream.synced for stream in self.news.streams)
            for place in (1,) if first else (0,) if second else (0, 1):
                self.leave_old(place)

    def leave_old(self, place: int) -> None:
        link = self.links[place]
        if link and link.address != self.address:
            link.disconnect(DisconnectReason.MOVED)

    async def connect(self, place: int) -> None:
        self.links[place] = link = await self.dialler.dial(self.address, DIAL_LIMIT)
        try:
            if link.address != self.address:
                raise DisconnectedError(DisconnectReason.MOVED)
            await self.follow(link, place)
        finally:
            self.links[place] = None
            link.close()

    async def follow(self, link: Link, place: int) -> None:
        async with self.turn:
            self.news.on_connected(place)
            await link.write(codec.FOLLOW, WRITE_LIMIT)
            rest = await self.answered(link)
            self.pass_on(rest, place)
            while not self.news.streams[place].synced:
                self.pass_on(await link.read_lines(SILENCE), place)
        self.leave_old(1 - place)
        while True:
            self.pass_on(await link.read_lines(SILENCE), place)

    async def answered(self, link: Link) -> list[bytes]:
        """Wait for `OK` and give the lines that came along with it."""
        while not (lines := await link.read_lines(SILENCE)):
            pass
        with reading():
            first = codec.parse_event(lines[0])
        if not isinstance(first, codec.FollowAccepted):
            raise DisconnectedError(DisconnectReason.TURNED_AWAY, repr(first))
        return lines[1:]

    def pass_on(self, lines: list[bytes], place: int) -> None:
        for line in lines:
            with reading():
                news = codec.parse_event(line)
            if isinstance(news, codec.Busy | codec.Misread | codec.FollowAccepted):
                raise DisconnectedError(DisconnectReason.UNREADABLE, repr(news))
            self.news.on_event(place, news)
