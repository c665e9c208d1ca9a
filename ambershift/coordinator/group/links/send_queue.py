"""The send queue of a link, bounded by frames and by bytes. No I/O."""

from __future__ import annotations

from collections import deque

from ambershift.coordinator.group.links.wire import FrameKind

MAX_FRAMES = 4_096
MAX_BYTES = 16 << 20
# Gossip gets one part in so many of the queue and is dropped beyond it: it is sent again anyhow, while frames
# of the replica can't be left out.
GOSSIP_DIVISOR = 4


class QueueFullError(Exception):
    """The other side reads too slowly, or not at all."""


class SendQueue:
    """Frames that wait to be sent, first in, first out."""

    def __init__(self, max_frames: int = MAX_FRAMES, max_bytes: int = MAX_BYTES) -> None:
        """Start empty."""
        self.max_frames = max_frames
        self.max_bytes = max_bytes
        self.queued_bytes = 0
        self.frames = deque[bytes]()

    def put(self, kind: FrameKind, data: bytes) -> bool:
        """Append a frame.

        Returns:
            Whether it was queued; False for gossip that was dropped.

        Raises:
            QueueFullError: There is no room for a frame that must not be dropped.
        """
        divisor = GOSSIP_DIVISOR if kind is FrameKind.HEARD else 1
        has_room = (
            len(self.frames) < self.max_frames // divisor
            and self.queued_bytes + len(data) <= self.max_bytes // divisor
        )
        if not has_room:
            if kind is FrameKind.HEARD:
                return False
            raise QueueFullError
        self.frames.append(data)
        self.queued_bytes += len(data)
        return True

    def take(self) -> bytes:
        """Remove and return the oldest frame."""
        data = self.frames.popleft()
        self.queued_bytes -= len(data)
        return data

    def clear(self) -> None:
        """Drop all frames."""
        self.frames.clear()
        self.queued_bytes = 0
