"""Accepts connections at one address, a bounded number at once."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from ambershift.coordinator.transport.buffers import BufferPool
from ambershift.coordinator.transport.dialler import split_address
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link

Handle = Callable[[Link], Awaitable[None]]
Ends = Callable[[DisconnectedError], None]
# A crowd waits in the system's queue and is let in by so many a turn of the loop, so that between two turns
# room is made, whoever is here is read, and there are never more descriptors than may be.
QUEUE, A_TURN = 1024, 4


class Listener:
    """Runs `handle` for each connection and tells `ends` how it ended, whatever happened in between.

    Where there are as many as may be, the one that came first makes room, but for those that are to be kept:
    strangers who connect by the hundreds must keep no collector out, and push out none.
    """

    def __init__(self, pool: BufferPool, most: int, handle: Handle, ends: Ends) -> None:
        self.pool, self.most, self.handle, self.ends = pool, most, handle, ends
        self.passing: dict[Link, asyncio.Task[None]] = {}
        self.kept: dict[Link, asyncio.Task[None]] = {}
        self.servers = list[asyncio.Server]()

    async def open(self, address: str) -> None:
        await self.listen(socket.create_server(split_address(address)))

    async def listen(self, place: socket.socket) -> None:
        """Accept at one more socket, already bound; all of them share the bound."""
        self.servers.append(
            await asyncio.start_server(self.accept, sock=place, limit=self.pool.size, backlog=A_TURN)
        )
        place.listen(QUEUE)  # asyncio has taken the number above for this too.

    def protect(self, link: Link) -> None:
        """This one makes no room for others any more."""
        if link in self.passing:
            self.kept[link] = self.passing.pop(link)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link, task = Link(reader, writer, self.pool), asyncio.current_task()
        assert task is not None
        self.passing[link] = task
        end = DisconnectedError(DisconnectReason.DONE)
        try:
            if len(self.passing) + len(self.kept) > self.most:
                oldest = next(iter(self.passing))
                if oldest is link:
                    raise DisconnectedError(DisconnectReason.NO_ROOM)
                self.passing.pop(oldest).cancel()
            await self.handle(link)
        except DisconnectedError as error:
            end = error
        except asyncio.CancelledError:
            serving = any(server.is_serving() for server in self.servers)
            end = DisconnectedError(DisconnectReason.NO_ROOM if serving else DisconnectReason.STOPPED)
        finally:
            self.passing.pop(link, None)
            self.kept.pop(link, None)
            link.close()
        self.ends(end)

    def stop_accepting(self) -> None:
        """Take no more connections; those that are here go on."""
        for server in self.servers:
            server.close()

    def close(self) -> None:
        self.stop_accepting()
        for task in (*self.passing.values(), *self.kept.values()):
            task.cancel()
