"""Tuned values of the replica, and the figures that follow from them. Whole nanoseconds and bytes."""

from __future__ import annotations

from typing import NamedTuple

MS = 1_000_000


class Tuning(NamedTuple):
    """`silence` is what a leader may keep quiet before it is suspected; all of it is for local links."""

    heartbeat_ns: int = 50 * MS
    leader_timeout_ns: int = 400 * MS
    leader_timeout_jitter_ns: int = 150 * MS  # Added to the silence by chance, so that not all ask at once.
    request_interval_ns: int = 100 * MS  # Between two calls of a blank member, and of one that changes views.
    view_change_timeout_ns: int = (
        500 * MS
    )  # A view that has not begun by then is suspected like one gone quiet.
    first_entry_timeout_ns: int = (
        2000 * MS
    )  # One that was born and has heard of no first entry by then is blank again.
    transfer_retry_ns: int = 200 * MS  # After that a piece that was asked for is asked for again.
    request_retry_ns: int = 300 * MS  # A forwarded command without an answer is sent again.
    client_retry_ns: int = 1000 * MS  # Told to clients that are refused for want of a majority.
    commit_notice_delay_ns: int = (
        5 * MS
    )  # How soon what is committed is told when no other message carries it.
    max_batches_in_flight: int = 4  # Batches under way; what comes meanwhile makes the next batch.
    max_batch_bytes: int = 256 << 10
    max_chunk_bytes: int = 256 << 10
    max_command_bytes: int = 128 << 10
    max_pending_requests: int = 1024  # Commands and reads of clients that wait at one member.
    max_uncommitted_entries: int = 4096  # Entries of the leader that are not committed.
    snapshot_interval_entries: int = 4096  # Applied since the last snapshot, before the next.
    max_log_bytes: int = 8 << 20
    max_tokens: int = 4096
    max_writes_in_flight: int = 4  # Under way to the disk; what comes meanwhile makes the next.
    max_snapshot_bytes: int = 256 << 20  # A snapshot that claims more is not taken.

    @property
    def suspicion_delay_ns(self) -> int:
        """Who has not heard the leader for so long agrees with one whose patience has ended."""
        return max(0, self.leader_timeout_ns // 2)


DEFAULT_TUNING = Tuning()
# For models: with `now` always 0, every call of `due` does all that could be due.
MODEL_TUNING = Tuning(
    heartbeat_ns=0,
    leader_timeout_ns=0,
    leader_timeout_jitter_ns=0,
    request_interval_ns=0,
    view_change_timeout_ns=0,
    first_entry_timeout_ns=1,
    transfer_retry_ns=0,
    request_retry_ns=0,
    client_retry_ns=0,
    commit_notice_delay_ns=0,
)
