"""Timeouts, intervals and bounds of a replica, in whole nanoseconds and bytes."""

from __future__ import annotations

from typing import NamedTuple

MS = 1_000_000


class Tuning(NamedTuple):
    """Values for members that are connected by a local network."""

    heartbeat_ns: int = 50 * MS
    leader_timeout_ns: int = 400 * MS  # A leader that was silent for so long is suspected.
    leader_timeout_jitter_ns: int = 150 * MS  # At most; random, so that not all members ask at once.
    request_interval_ns: int = 100 * MS  # Between requests of a blank member, and during a view change.
    view_change_timeout_ns: int = 500 * MS  # A view that has not begun by then is suspected too.
    first_entry_timeout_ns: int = 2000 * MS  # A new group without a first entry by then is abandoned.
    transfer_retry_ns: int = 200 * MS  # A chunk that has not come by then is requested again.
    request_retry_ns: int = 300 * MS  # A forwarded request without an answer by then is sent again.
    client_retry_ns: int = 1000 * MS  # Told to clients that are refused for want of a majority.
    commit_notice_delay_ns: int = 5 * MS  # Until a heartbeat announces a commit that no entries carry.
    max_batches_in_flight: int = 4  # Commands that come meanwhile make up the next batch.
    max_batch_bytes: int = 256 << 10
    max_chunk_bytes: int = 256 << 10
    max_command_bytes: int = 128 << 10
    max_pending_requests: int = 1024  # Commands and reads of clients that wait at one member.
    max_uncommitted_entries: int = 4096  # In the leader's log.
    snapshot_interval_entries: int = 4096  # Applied since the last snapshot, before the next.
    max_log_bytes: int = 8 << 20  # A longer log is snapshotted before the interval is over.
    max_tokens: int = 4096
    max_writes_in_flight: int = 4  # What is to be written meanwhile makes up the next write.
    max_snapshot_bytes: int = 256 << 20  # A snapshot that claims more is refused.

    @property
    def suspicion_delay_ns(self) -> int:
        """A member that has not heard the leader for so long agrees with one that suspects it."""
        return max(0, self.leader_timeout_ns // 2)


DEFAULT_TUNING = Tuning()
# For the model checker: with `now` always 0, every call of `tick` does all that could be due.
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
