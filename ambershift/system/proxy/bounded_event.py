"""Something that comes once, and that several wait for, each for a while."""

from __future__ import annotations

import asyncio

MOST = 200  # Requests that wait at once; more are told at once to come back.


class Awaited:
    def __init__(self) -> None:
        self._event, self._waiting = asyncio.Event(), 0

    def come(self) -> None:
        self._event.set()

    async def within(self, seconds: float) -> bool:
        """Whether it comes within that time."""
        if self._waiting >= MOST:
            return False
        self._waiting += 1
        try:
            async with asyncio.timeout(seconds):
                await self._event.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True
