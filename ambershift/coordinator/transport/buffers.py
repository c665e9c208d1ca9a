"""A pool of buffers of one size, held only while a message is incomplete."""

from __future__ import annotations

from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason


class BufferPool:
    """Hands out up to `max_buffers`; a connection that needs one more is closed."""

    def __init__(self, buffer_size: int, max_buffers: int) -> None:
        self.buffer_size, self.max_buffers, self.in_use = buffer_size, max_buffers, 0
        self.free = list[bytearray]()

    def acquire(self) -> bytearray:
        """Take a buffer.

        Raises:
            DisconnectedError: All are in use.
        """
        if self.in_use >= self.max_buffers:
            raise DisconnectedError(DisconnectReason.NO_ROOM, "all buffers are in use")
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(self.buffer_size)

    def release(self, buffers: list[bytearray]) -> None:
        """Give buffers back."""
        self.in_use -= len(buffers)
        self.free.extend(buffers)


class PartialMessage:
    """The bytes of one incomplete message, in buffers of the pool."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool, self.buffers, self.length = pool, list[bytearray](), 0

    def append(self, data: memoryview) -> None:
        """Append bytes.

        Raises:
            DisconnectedError: All buffers are in use.
        """
        while data:
            offset = self.length % self.pool.buffer_size
            if not offset:
                self.buffers.append(self.pool.acquire())
            count = min(len(data), self.pool.buffer_size - offset)
            self.buffers[-1][offset : offset + count] = data[:count]
            self.length += count
            data = data[count:]

    def take(self) -> bytes:
        """Return all bytes, and release the buffers."""
        content = b"".join(self.buffers)[: self.length]
        self.pool.release(self.buffers)
        self.buffers, self.length = [], 0
        return content
