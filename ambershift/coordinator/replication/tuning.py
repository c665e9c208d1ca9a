"""Tuned values of the replica, and the figures that follow from them. Whole nanoseconds and bytes."""

from __future__ import annotations

from typing import NamedTuple

MS = 1_000_000


class Timing(NamedTuple):
    """`silence` is what a leader may keep quiet before it is suspected; all of it is for local links."""

    beat: int = 50 * MS
    silence: int = 400 * MS
    jitter: int = 150 * MS  # Added to the silence by chance, so that not all ask at once.
    ask: int = 100 * MS  # Between two calls of a blank member, and of one that changes views.
    change: int = 500 * MS  # A view that has not begun by then is suspected like one gone quiet.
    unborn: int = 2000 * MS  # One that was born and has heard of no first entry by then is blank again.
    fetch: int = 200 * MS  # After that a piece that was asked for is asked for again.
    retry: int = 300 * MS  # A forwarded command without an answer is sent again.
    come_back: int = 1000 * MS  # Told to clients that are refused for want of a majority.
    tell: int = 5 * MS  # How soon what is committed is told when no other message carries it.
    depth: int = 4  # Batches under way; what comes meanwhile makes the next batch.
    batch_bytes: int = 256 << 10
    chunk_bytes: int = 256 << 10
    command_bytes: int = 128 << 10
    waiting: int = 1024  # Commands and reads of clients that wait at one member.
    ahead: int = 4096  # Entries of the leader that are not committed.
    snapshot_entries: int = 4096  # Applied since the last snapshot, before the next.
    snapshot_bytes: int = 8 << 20
    tokens: int = 4096
    writes: int = 4  # Under way to the disk; what comes meanwhile makes the next.
    state_bytes: int = 256 << 20  # A snapshot that claims more is not taken.

    @property
    def agree(self) -> int:
        """Who has not heard the leader for so long agrees with one whose patience has ended."""
        return max(0, self.silence // 2)


PLAIN = Timing()
# For models: with `now` always 0, every call of `due` does all that could be due.
STILL = Timing(beat=0, silence=0, jitter=0, ask=0, change=0, unborn=1, fetch=0, retry=0, come_back=0, tell=0)
