"""Buffers of one size, used again: held only while a message waits for its end."""

from __future__ import annotations

from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason


class BufferPool:
    """Hands out up to `most` buffers; who needs one more than that loses the connection, not the program."""

    def __init__(self, size: int, most: int) -> None:
        self.size, self.most, self.out = size, most, 0
        self.free = list[bytearray]()

    def take(self) -> bytearray:
        if self.out >= self.most:
            raise DisconnectedError(DisconnectReason.NO_ROOM, "all buffers are in use")
        self.out += 1
        return self.free.pop() if self.free else bytearray(self.size)

    def give(self, buffers: list[bytearray]) -> None:
        self.out -= len(buffers)
        self.free.extend(buffers)


class PartialMessage:
    """The bytes of one unfinished message, in buffers of the pool."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool, self.buffers, self.length = pool, list[bytearray](), 0

    def add(self, piece: memoryview) -> None:
        while piece:
            at = self.length % self.pool.size
            if not at:
                self.buffers.append(self.pool.take())
            count = min(len(piece), self.pool.size - at)
            self.buffers[-1][at : at + count] = piece[:count]
            self.length += count
            piece = piece[count:]

    def end(self) -> bytes:
        """Give all that waits, and the buffers back to the pool."""
        whole = b"".join(self.buffers)[: self.length]
        self.pool.give(self.buffers)
        self.buffers, self.length = [], 0
        return whole
