"""Opens connections, with a time limit each."""

from __future__ import annotations

import asyncio

from ambershift.coordinator.transport.buffers import BufferPool
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason, disconnected
from ambershift.coordinator.transport.link import Link


def split_address(address: str) -> tuple[str, int]:
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 1 << 16:
        raise ValueError(f"'{address}' is no address of the form host:port")
    return host, int(port)


class Dialler:
    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool

    async def dial(self, address: str, limit: float) -> Link:
        try:
            host, port = split_address(address)
        except ValueError as error:
            raise DisconnectedError(DisconnectReason.UNREACHABLE, str(error)) from None
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(host, port, limit=self.pool.size)
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.NEVER_UP) from None
        except OSError as error:
            raise disconnected(error) from None
        return Link(reader, writer, self.pool, address)
