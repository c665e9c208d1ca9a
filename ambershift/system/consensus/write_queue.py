"""Rows on their way to the disk: one write at a time, all rows waiting in one transaction, failed ones again.

Whoever owes an answer hands it in by `synced`; it is called once all rows put before are on disk.
"""

from __future__ import annotations

from collections.abc import Callable

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

RETRY_DELAY_NS = 200 * NS_PER_MS  # After a failed write.
STALL_TIMEOUT_NS = NS_PER_SECOND  # A write that takes longer is a disk in trouble.
EVENT_DISK_FAULT, EVENT_DISK_RECOVERED = 201, 202


class WriteQueue:
    def __init__(self, out: EffectBuffer) -> None:
        self._out = out
        self._pending_rows: dict[tuple[str, str], bytes | None] = {}
        self._pending_callbacks: list[Callable[[], None]] = []
        self._in_flight_rows: dict[tuple[str, str], bytes | None] = {}
        self._in_flight_callbacks: list[Callable[[], None]] = []
        self._token = 0
        self._write_started_at: int | None = None  # When the write that is out was begun.
        self._retry_at = 0
        self.fault: str | None = None

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self._pending_rows[(table, key)] = value

    def on_durable(self, callback: Callable[[], None]) -> None:
        """Call `then` when all rows put so far are on disk; at once where they are."""
        if self._pending_rows:
            self._pending_callbacks.append(callback)
        elif self._write_started_at is not None:
            self._in_flight_callbacks.append(callback)
        else:
            callback()

    @property
    def is_unhealthy(self) -> bool:
        """Whether the disk is in trouble: it refused the last write, or has one out for too long."""
        return self.fault is not None or (
            self._write_started_at is not None and self._out.now - self._write_started_at > STALL_TIMEOUT_NS
        )

    def flush(self) -> None:
        """Begin the next write, if none is out."""
        if self._write_started_at is not None or not self._pending_rows or self._out.now < self._retry_at:
            return
        self._token += 1
        self._in_flight_rows, self._pending_rows = self._pending_rows, {}
        self._in_flight_callbacks, self._pending_callbacks = self._pending_callbacks, []
        self._write_started_at = self._out.now
        self._out.write(
            self._token, tuple((table, key, value) for (table, key), value in self._in_flight_rows.items())
        )

    def handle_write_completed(self, token: int, fault: str | None) -> None:
        if token != self._token or self._write_started_at is None:
            return
        waiting, self._in_flight_callbacks = self._in_flight_callbacks, []
        rows, self._in_flight_rows = self._in_flight_rows, {}
        self._write_started_at = None
        if fault is None:
            if self.fault is not None:
                self._out.log(EVENT_DISK_RECOVERED)
            self.fault = None
            for then in waiting:
                then()
            return
        if self.fault is None:
            self._out.log(EVENT_DISK_FAULT, fault=fault)
        self.fault = fault
        self._retry_at = self._out.now + RETRY_DELAY_NS
        # Rows put since are newer. Nobody is answered before the failed ones are on disk with them.
        self._pending_rows = {**rows, **self._pending_rows}
        self._pending_callbacks = waiting + self._pending_callbacks
