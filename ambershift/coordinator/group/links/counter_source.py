"""Source: the link of a process beside a coordinator that hands it counters, on loopback alone."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

import aiohttp

from ambershift.coordinator.group.links.handshake import LocalIdentity
from ambershift.coordinator.group.links.interfaces import LinkStatistics, Peer
from ambershift.coordinator.group.links.outgoing import OutgoingLink
from ambershift.coordinator.group.links.wire import FrameKind, Refusal, Role


class CounterSource:
    """`name` is this process's own, `title` the group's, `to` the member's. Use within `async with`."""

    def __init__(self, name: str, title: str, to: Peer, note: Callable[..., None]) -> None:
        self.name, self.title, self.members = name, title, frozenset((to.name,))
        self.last: Refusal | None = None
        self.stands = asyncio.Event()
        self.link = OutgoingLink(
            to, secrets.token_hex(8), self, LinkStatistics(), note, time.time_ns(), Role.COUNTERS
        )
        self.task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> CounterSource:
        session = aiohttp.ClientSession()
        self.session = session
        self.task = asyncio.create_task(self.link.run(lambda: session))
        return self

    async def __aexit__(self, *error: object) -> None:
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.link.close()
        await self.session.close()

    def send(self, payload: bytes) -> bool:
        """A msgpack list of samples; False while the link is down, and then it is lost."""
        return self.link.send(FrameKind.COUNTERS, payload)

    # What the link tells

    def mine(self) -> LocalIdentity:
        return LocalIdentity(self.name, self.title, (), self.members, 0, "")

    def heard(self, sender: str, kind: FrameKind, payload: bytes) -> None: ...

    def counters(self, name: str, payload: bytes) -> None: ...

    def gone(self, member: str) -> None:
        self.stands.clear()

    def came(self, member: str) -> None:
        self.stands.set()

    def refused(self, member: str, refused: Refusal) -> None:
        self.last = refused
