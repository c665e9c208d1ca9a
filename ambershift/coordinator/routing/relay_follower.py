"""Keeps two connections to the relay open, on which it sends proxy events, and reads them."""

from __future__ import annotations

import asyncio

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.decoding import decoding
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.proxy_event_feed import ProxyEventFeed
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link

DIAL_TIMEOUT_S = 0.3
WRITE_TIMEOUT_S = 0.5
# The relay sends a keep-alive each second; one may be late, and when a second one is missing the stream is
# broken.
KEEP_ALIVE_TIMEOUT_S = 2.2
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.2


class RelayFollower:
    """Follows the relay on the connections 0 and 1; `run` serves one of them."""

    def __init__(self, dialler: Dialler, address: str, feed: ProxyEventFeed, event_log: EventLog) -> None:
        self.dialler, self.address, self.feed, self.event_log = dialler, address, feed, event_log
        # Only one connection at a time receives its snapshot, or each would take the other's for new events.
        self.snapshot_lock = asyncio.Lock()
        self.links: list[Link | None] = [None, None]

    async def run(self, index: int) -> None:
        """Keep one connection up, with a growing delay between attempts that never synced."""
        delay = MIN_RETRY_DELAY_S
        while True:
            try:
                await self.connect(index)
            except DisconnectedError as error:
                self.event_log.record_disconnect("news", error, place=index)
            finally:
                was_synced = self.feed.on_disconnected(index)
                delay = MIN_RETRY_DELAY_S if was_synced else min(MAX_RETRY_DELAY_S, 2 * delay)
            await asyncio.sleep(delay)

    def move(self, address: str) -> None:
        """Follow the relay at another address.

        One connection moves at once, and the other once the first has its snapshot, so that no event is
        missed on either side of the move.
        """
        if address != self.address:
            self.address = address
            first, second = (stream.synced for stream in self.feed.streams)
            for index in (1,) if first else (0,) if second else (0, 1):
                self.disconnect_if_moved(index)

    def disconnect_if_moved(self, index: int) -> None:
        """End a connection to an address that is no longer the relay's."""
        link = self.links[index]
        if link and link.address != self.address:
            link.disconnect(DisconnectReason.MOVED)

    async def connect(self, index: int) -> None:
        """Connect and follow until the connection ends.

        Raises:
            DisconnectedError: It has ended.
        """
        self.links[index] = link = await self.dialler.dial(self.address, DIAL_TIMEOUT_S)
        try:
            if link.address != self.address:
                raise DisconnectedError(DisconnectReason.MOVED)
            await self.follow(link, index)
        finally:
            self.links[index] = None
            link.close()

    async def follow(self, link: Link, index: int) -> None:
        """Subscribe on a new connection, read the snapshot and then the events.

        Raises:
            DisconnectedError: The connection has ended.
        """
        async with self.snapshot_lock:
            self.feed.on_connected(index)
            await link.write(codec.FOLLOW, WRITE_TIMEOUT_S)
            remaining_lines = await self.read_acceptance(link)
            self.process_lines(remaining_lines, index)
            while not self.feed.streams[index].synced:
                self.process_lines(await link.read_lines(KEEP_ALIVE_TIMEOUT_S), index)
        self.disconnect_if_moved(1 - index)
        while True:
            self.process_lines(await link.read_lines(KEEP_ALIVE_TIMEOUT_S), index)

    async def read_acceptance(self, link: Link) -> list[bytes]:
        """Wait for `OK` and return the lines that arrived with it.

        Raises:
            DisconnectedError: The relay answers something else, or not in time.
        """
        while not (lines := await link.read_lines(KEEP_ALIVE_TIMEOUT_S)):
            pass
        with decoding():
            first = codec.parse_event(lines[0])
        if not isinstance(first, codec.FollowAccepted):
            raise DisconnectedError(DisconnectReason.TURNED_AWAY, repr(first))
        return lines[1:]

    def process_lines(self, lines: list[bytes], index: int) -> None:
        """Pass the events in some lines on.

        Raises:
            DisconnectedError: A line is no event.
        """
        for line in lines:
            with decoding():
                event = codec.parse_event(line)
            if isinstance(event, codec.Busy | codec.Misread | codec.FollowAccepted):
                raise DisconnectedError(DisconnectReason.UNREADABLE, repr(event))
            self.feed.on_event(index, event)
