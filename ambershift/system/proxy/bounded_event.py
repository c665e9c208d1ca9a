"""An event that happens once, with a limit on how many may wait for it."""

from __future__ import annotations

import asyncio

MAX_WAITERS = 200  # Any others don't wait.


class BoundedEvent:
    """An `asyncio.Event` that is set once, and that at most `MAX_WAITERS` wait for at a time."""

    def __init__(self) -> None:
        """Start unset."""
        self._event = asyncio.Event()
        self._waiters = 0

    def set(self) -> None:
        """The event has happened."""
        self._event.set()

    async def wait(self, timeout_s: float) -> bool:
        """Return whether the event happens within that time; False at once where too many wait already."""
        if self._waiters >= MAX_WAITERS:
            return False
        self._waiters += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return False
        finally:
            self._waiters -= 1
        return True
