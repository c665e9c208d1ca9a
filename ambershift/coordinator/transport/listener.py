"""Accepts connections, up to a maximum at once."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from ambershift.coordinator.transport.buffers import BufferPool
from ambershift.coordinator.transport.dialler import split_address
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link

Handler = Callable[[Link], Awaitable[None]]
DisconnectHandler = Callable[[DisconnectedError], None]
LISTEN_BACKLOG = 1024
# Many new connections wait in the backlog, and only so many are accepted in each turn of the event loop. So
# connections are evicted and read between two turns, and there are never more descriptors than allowed.
ACCEPTS_PER_TURN = 4


class Listener:
    """Runs `handler` for each connection and then tells `on_disconnect` how it ended, whatever happened.

    At the maximum, the oldest connection is evicted unless it is protected: strangers that connect by the
    hundreds must neither keep a collector out nor evict one.
    """

    def __init__(
        self, pool: BufferPool, max_links: int, handler: Handler, on_disconnect: DisconnectHandler
    ) -> None:
        self.pool, self.max_links = pool, max_links
        self.handler, self.on_disconnect = handler, on_disconnect
        self.evictable: dict[Link, asyncio.Task[None]] = {}
        self.protected: dict[Link, asyncio.Task[None]] = {}
        self.servers = list[asyncio.Server]()

    async def open(self, address: str) -> None:
        """Accept at an address.

        Raises:
            OSError: The address can't be bound.
        """
        await self.listen(socket.create_server(split_address(address)))

    async def listen(self, bound_socket: socket.socket) -> None:
        """Accept at one more socket, already bound; all sockets share the maximum."""
        self.servers.append(
            await asyncio.start_server(
                self.accept, sock=bound_socket, limit=self.pool.buffer_size, backlog=ACCEPTS_PER_TURN
            )
        )
        bound_socket.listen(LISTEN_BACKLOG)  # asyncio has set the socket's backlog to the number above.

    def protect(self, link: Link) -> None:
        """Never evict this connection."""
        if link in self.evictable:
            self.protected[link] = self.evictable.pop(link)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one new connection until it ends."""
        link, task = Link(reader, writer, self.pool), asyncio.current_task()
        assert task is not None
        self.evictable[link] = task
        disconnected = DisconnectedError(DisconnectReason.DONE)
        try:
            if len(self.evictable) + len(self.protected) > self.max_links:
                oldest = next(iter(self.evictable))
                if oldest is link:
                    raise DisconnectedError(DisconnectReason.NO_ROOM)
                self.evictable.pop(oldest).cancel()
            await self.handler(link)
        except DisconnectedError as error:
            disconnected = error
        except asyncio.CancelledError:
            serving = any(server.is_serving() for server in self.servers)
            disconnected = DisconnectedError(
                DisconnectReason.NO_ROOM if serving else DisconnectReason.STOPPED
            )
        finally:
            self.evictable.pop(link, None)
            self.protected.pop(link, None)
            link.close()
        self.on_disconnect(disconnected)

    def stop_accepting(self) -> None:
        """Accept no more connections; the open ones go on."""
        for server in self.servers:
            server.close()

    def close(self) -> None:
        """Accept no more connections and close the open ones."""
        self.stop_accepting()
        for task in (*self.evictable.values(), *self.protected.values()):
            task.cancel()
