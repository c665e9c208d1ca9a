"""Opens connections, each with a timeout."""

from __future__ import annotations

import asyncio

from ambershift.coordinator.transport.buffers import BufferPool
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason, from_os_error
from ambershift.coordinator.transport.link import Link

MAX_PORT = (1 << 16) - 1


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`.

    Raises:
        ValueError: The text has another form.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"'{address}' is no address of the form host:port")
    return host, int(port)


class Dialler:
    """Opens TCP connections whose incomplete lines use buffers of a common pool."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool

    async def dial(self, address: str, timeout_s: float) -> Link:
        """Connect to an address.

        Raises:
            DisconnectedError: There is no connection in time.
        """
        try:
            host, port = split_address(address)
        except ValueError as error:
            raise DisconnectedError(DisconnectReason.UNREACHABLE, str(error)) from None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, port, limit=self.pool.buffer_size)
        except TimeoutError:
            raise DisconnectedError(DisconnectReason.NEVER_UP) from None
        except OSError as error:
            raise from_os_error(error) from None
        return Link(reader, writer, self.pool, address)
