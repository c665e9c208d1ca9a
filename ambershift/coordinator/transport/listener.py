"""Accepts connections at one address, a bounded number at once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ambershift.coordinator.transport.buffers import Pool
from ambershift.coordinator.transport.dialler import split_address
from ambershift.coordinator.transport.endings import EndedError, Ending
from ambershift.coordinator.transport.link import Link

Handle = Callable[[Link], Awaitable[None]]
Ends = Callable[[EndedError], None]


class Listener:
    """Runs `handle` for each connection and tells `ends` how it ended, whatever happened in between.

    Where there are as many as may be, the one that has said nothing for longest makes room: strangers who
    connect and keep silent must not keep a collector out.
    """

    def __init__(self, pool: Pool, most: int, handle: Handle, ends: Ends) -> None:
        self.pool, self.most, self.handle, self.ends = pool, most, handle, ends
        self.held: dict[Link, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        host, port = split_address(address)
        self.server = await asyncio.start_server(self.accept, host, port, limit=self.pool.size, backlog=256)

    def heard(self, link: Link) -> None:
        """Move a connection that has spoken to the end of the row."""
        if link in self.held:
            self.held[link] = self.held.pop(link)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link, task = Link(reader, writer, self.pool), asyncio.current_task()
        assert task is not None
        if len(self.held) >= self.most:
            self.held.pop(next(iter(self.held))).cancel()
        self.held[link] = task
        end = EndedError(Ending.DONE)
        try:
            await self.handle(link)
        except EndedError as error:
            end = error
        except asyncio.CancelledError:
            end = EndedError(Ending.NO_ROOM if self.server and self.server.is_serving() else Ending.STOPPED)
        finally:
            self.held.pop(link, None)
            link.close()
        self.ends(end)

    def close(self) -> None:
        if self.server:
            self.server.close()
        for task in self.held.values():
            task.cancel()
