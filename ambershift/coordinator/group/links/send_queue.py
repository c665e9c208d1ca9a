"""The queue of a link: bounded by frames and bytes, and what is heard gives way to what is promised. No
I/O.
"""

from __future__ import annotations

from collections import deque

from ambershift.coordinator.group.links.wire import FrameKind

FRAMES_MOST, BYTES_MOST = 4_096, 16 << 20
# Heard state comes again by itself, so it leaves most of the room to the replica.
HEARD_PART = 4


class FullError(Exception):
    """The other side reads too slowly, or not at all."""


class SendQueue:
    def __init__(self, frames: int = FRAMES_MOST, size: int = BYTES_MOST) -> None:
        self.frames, self.size, self.held = frames, size, 0
        self.waiting = deque[bytes]()

    def put(self, kind: FrameKind, data: bytes) -> bool:
        """Whether it waits now; a FullError where a frame that can't be left out has no room."""
        part = HEARD_PART if kind is FrameKind.HEARD else 1
        if len(self.waiting) >= self.frames // part or self.held + len(data) > self.size // part:
            if kind is FrameKind.HEARD:
                return False
            raise FullError
        self.waiting.append(data)
        self.held += len(data)
        return True

    def take(self) -> bytes:
        data = self.waiting.popleft()
        self.held -= len(data)
        return data

    def clear(self) -> None:
        self.waiting.clear()
        self.held = 0
