"""The write-behind queue: rows on their way to the disk, with group commit.

There is one write at a time. All rows put meanwhile go into the next transaction; the rows of a failed write
are written again with it. Callbacks given to `on_durable` are called once all rows put before are on disk.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

RETRY_DELAY_NS = 200 * NS_PER_MS  # After a failed write.
STALL_TIMEOUT_NS = NS_PER_SECOND  # A disk that takes longer for a write is unhealthy.
EVENT_DISK_FAULT = 201
EVENT_DISK_RECOVERED = 202


@dataclass(slots=True)
class _Batch:
    """The rows of one transaction, and what waits for it.

    Attributes:
        rows: The value of each (table, key); None deletes it.
        callbacks: To be called once all rows are on disk.
    """

    rows: dict[tuple[str, str], bytes | None] = field(default_factory=dict)
    callbacks: list[Callable[[], None]] = field(default_factory=list)


class WriteQueue:
    """Collects rows, and writes them batch by batch.

    Attributes:
        fault: Why the last write failed; None if it didn't.
    """

    def __init__(self, effects: EffectBuffer) -> None:
        """Start with nothing to write."""
        self._effects = effects
        self._pending = _Batch()
        self._in_flight = _Batch()
        self._token = 0
        self._write_started_at: int | None = None  # Of the write in flight; None without one.
        self._retry_at = 0
        self.fault: str | None = None

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Add a row to the next write; None deletes it."""
        self._pending.rows[(table, key)] = value

    def on_durable(self, callback: Callable[[], None]) -> None:
        """Call `callback` when all rows put so far are on disk; at once if they are."""
        if self._pending.rows:
            self._pending.callbacks.append(callback)
        elif self._write_started_at is not None:
            self._in_flight.callbacks.append(callback)
        else:
            callback()

    @property
    def is_unhealthy(self) -> bool:
        """Whether the last write failed, or the present one takes longer than `STALL_TIMEOUT_NS`."""
        if self.fault is not None:
            return True
        started_at = self._write_started_at
        return started_at is not None and self._effects.now - started_at > STALL_TIMEOUT_NS

    def flush(self) -> None:
        """Start the next write, if there is something to write and no write is in flight."""
        if self._write_started_at is not None or not self._pending.rows or self._effects.now < self._retry_at:
            return
        self._token += 1
        self._in_flight = self._pending
        self._pending = _Batch()
        self._write_started_at = self._effects.now
        rows = tuple((table, key, value) for (table, key), value in self._in_flight.rows.items())
        self._effects.write(self._token, rows)

    def handle_write_completed(self, token: int, fault: str | None) -> None:
        """Take the result of a write.

        Args:
            token: The token that it was started with.
            fault: Why it failed; None if it is on disk.
        """
        if token != self._token or self._write_started_at is None:
            return
        completed = self._in_flight
        self._in_flight = _Batch()
        self._write_started_at = None
        if fault is None:
            if self.fault is not None:
                self._effects.log(EVENT_DISK_RECOVERED)
            self.fault = None
            for callback in completed.callbacks:
                callback()
            return
        if self.fault is None:
            self._effects.log(EVENT_DISK_FAULT, fault=fault)
        self.fault = fault
        self._retry_at = self._effects.now + RETRY_DELAY_NS
        # Rows put since are newer. No callback is called before the failed rows are on disk with them.
        self._pending = _Batch(
            {**completed.rows, **self._pending.rows}, completed.callbacks + self._pending.callbacks
        )
