"""All links of a member: one that it dials to each other member, and those that it accepts."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Iterable

import aiohttp

from ambershift.coordinator.group.links.incoming import IncomingLinks, Note
from ambershift.coordinator.group.links.interfaces import LinkListener, LinkStatistics, Peer
from ambershift.coordinator.group.links.outgoing import OutgoingLink
from ambershift.coordinator.group.links.wire import FrameKind


class LinkManager:
    """Sends only on what it dialled and reads only what it accepted, so that a cut may be one-way."""

    def __init__(
        self, listen: tuple[str, int], peers: Iterable[Peer], above: LinkListener, note: Note, seed: int
    ) -> None:
        self.listen, self.tally, self.run = listen, LinkStatistics(), secrets.token_hex(8)
        self.acceptor = IncomingLinks(above, self.tally, note)
        self.dialled = {
            peer.name: OutgoingLink(peer, self.run, above, self.tally, note, seed + at)
            for at, peer in enumerate(peers)
        }
        self.tasks = list[asyncio.Task[None]]()
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """An OSError where the address can't be had."""
        await self.acceptor.listen(*self.listen)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False))
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(one.run(self.current)) for one in self.dialled.values()]

    def current(self) -> aiohttp.ClientSession:
        assert self.session is not None
        return self.session

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(one.close() for one in self.dialled.values()))
        await self.acceptor.close()
        if self.session:
            await self.session.close()

    def send(self, to: str, kind: FrameKind, payload: bytes) -> bool:
        return self.dialled[to].send(kind, payload) if to in self.dialled else False
