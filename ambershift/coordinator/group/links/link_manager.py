"""All links of a member: an outgoing one to each other member, and the incoming ones."""

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
    """Sends on outgoing links only and reads from incoming ones only: a link may fail in one direction."""

    def __init__(
        self, listen: tuple[str, int], peers: Iterable[Peer], listener: LinkListener, note: Note, seed: int
    ) -> None:
        """Prepare the links; `open` connects them.

        Args:
            listen: The host and port to accept links at.
            peers: The other members.
            listener: Takes what arrives.
            note: Writes a log event.
            seed: Of the random part of reconnect delays.
        """
        self.listen = listen
        self.statistics = LinkStatistics()
        self.run_id = secrets.token_hex(8)
        self.incoming = IncomingLinks(listener, self.statistics, note)
        self.outgoing = {
            peer.name: OutgoingLink(peer, self.run_id, listener, self.statistics, note, seed + index)
            for index, peer in enumerate(peers)
        }
        self._tasks = list[asyncio.Task[None]]()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Listen, and start to connect to all other members.

        Raises:
            OSError: The address can't be listened at.
        """
        await self.incoming.listen(*self.listen)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False))
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(link.run(self._current_session)) for link in self.outgoing.values()]

    def _current_session(self) -> aiohttp.ClientSession:
        assert self._session is not None
        return self._session

    async def close(self) -> None:
        """Close all links, and stop listening."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(link.close() for link in self.outgoing.values()))
        await self.incoming.close()
        if self._session:
            await self._session.close()

    def send(self, to: str, kind: FrameKind, payload: bytes) -> bool:
        """Queue a frame for that member; False where it is lost at once."""
        return self.outgoing[to].send(kind, payload) if to in self.outgoing else False
