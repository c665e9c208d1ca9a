"""Rows on their way to the disk: one write at a time, all rows waiting in one transaction, failed ones again.

Whoever owes an answer hands it in by `synced`; it is called once all rows put before are on disk.
"""

from __future__ import annotations

from collections.abc import Callable

from ambershift.system.consensus.effect_buffer import Outbox
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

AGAIN = 200 * NS_PER_MS  # After a failed write.
STALLED = NS_PER_SECOND  # A write that takes longer is a disk in trouble.
EVENT_FAULT, EVENT_WELL = 201, 202


class Journal:
    def __init__(self, out: Outbox) -> None:
        self._out = out
        self._rows: dict[tuple[str, str], bytes | None] = {}
        self._waiting: list[Callable[[], None]] = []
        self._flying: dict[tuple[str, str], bytes | None] = {}
        self._flying_waiting: list[Callable[[], None]] = []
        self._token = 0
        self._since: int | None = None  # When the write that is out was begun.
        self._again = 0
        self.fault: str | None = None

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self._rows[(table, key)] = value

    def synced(self, then: Callable[[], None]) -> None:
        """Call `then` when all rows put so far are on disk; at once where they are."""
        if self._rows:
            self._waiting.append(then)
        elif self._since is not None:
            self._flying_waiting.append(then)
        else:
            then()

    @property
    def bad(self) -> bool:
        """Whether the disk is in trouble: it refused the last write, or has one out for too long."""
        return self.fault is not None or (self._since is not None and self._out.now - self._since > STALLED)

    def flush(self) -> None:
        """Begin the next write, if none is out."""
        if self._since is not None or not self._rows or self._out.now < self._again:
            return
        self._token += 1
        self._flying, self._rows = self._rows, {}
        self._flying_waiting, self._waiting = self._waiting, []
        self._since = self._out.now
        self._out.write(
            self._token, tuple((table, key, value) for (table, key), value in self._flying.items())
        )

    def written(self, token: int, fault: str | None) -> None:
        if token != self._token or self._since is None:
            return
        waiting, self._flying_waiting = self._flying_waiting, []
        rows, self._flying = self._flying, {}
        self._since = None
        if fault is None:
            if self.fault is not None:
                self._out.log(EVENT_WELL)
            self.fault = None
            for then in waiting:
                then()
            return
        if self.fault is None:
            self._out.log(EVENT_FAULT, fault=fault)
        self.fault = fault
        self._again = self._out.now + AGAIN
        # Rows put since are newer. Nobody is answered before the failed ones are on disk with them.
        self._rows = {**rows, **self._rows}
        self._waiting = waiting + self._waiting
