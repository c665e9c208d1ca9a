"""The link of a process beside a coordinator that sends it samples of counters, on loopback only."""

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
    """A link to one member, kept up within `async with`.

    Attributes:
        last_refusal: The last refusal by the member, if any.
        is_up: Set while the link is up.
    """

    def __init__(self, name: str, group_name: str, to: Peer, note: Callable[..., None]) -> None:
        """Prepare the link.

        Args:
            name: The name of this process.
            group_name: The group's name in the settings.
            to: The member.
            note: Writes a log event.
        """
        self.name = name
        self.group_name = group_name
        self.members = frozenset((to.name,))
        self.last_refusal: Refusal | None = None
        self.is_up = asyncio.Event()
        self._link = OutgoingLink(
            to, secrets.token_hex(8), self, LinkStatistics(), note, time.time_ns(), Role.COUNTERS
        )
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> CounterSource:
        """Start to connect."""
        session = aiohttp.ClientSession()
        self._session = session
        self._task = asyncio.create_task(self._link.run(lambda: session))
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close the link."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._link.close()
        await self._session.close()

    def send(self, payload: bytes) -> bool:
        """Send a msgpack list of samples; False where the link is down, and then it is lost."""
        return self._link.send(FrameKind.COUNTERS, payload)

    # LinkListener.

    def local_identity(self) -> LocalIdentity:
        """Return what this process says of itself in the handshake."""
        return LocalIdentity(self.name, self.group_name, (), self.members, 0, "")

    def on_frame(self, sender: str, kind: FrameKind, payload: bytes) -> None:
        """Nothing arrives here: this process accepts no links."""

    def on_counters(self, name: str, payload: bytes) -> None:
        """Nothing arrives here: this process accepts no links."""

    def on_link_lost(self, member: str) -> None:
        """Record that the link is down."""
        self.is_up.clear()

    def on_link_up(self, member: str) -> None:
        """Record that the link is up."""
        self.is_up.set()

    def on_refused(self, member: str, refused: Refusal) -> None:
        """Record the refusal."""
        self.last_refusal = refused
