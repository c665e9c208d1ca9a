"""Which ends of lives may be forgotten: known here for long, of lives that nobody has heard of since."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ambershift.system.state_machine import NS_PER_SECOND

# No beat of before the end comes so much later: on its way TCP gives it up within 15 minutes, and who stood
# still for longer than `STALE` takes none that waited for it.
MAX_HEARTBEAT_DELAY_NS = 900 * NS_PER_SECOND
TOMBSTONE_RETENTION_NS = 2 * MAX_HEARTBEAT_DELAY_NS
COLLECTION_INTERVAL_NS = 60 * NS_PER_SECOND
COLLECTION_BATCH = 400  # At once; more wait for the next turn.
MAX_COLLECTED_IDS = (
    1000  # So many ids, the last cleared, are told to all, who drop them and take nothing of them.
)


class TombstoneExpiry:
    """Grows with the ends of `KEPT` and a turn: some hundred at thousands of restarts a day."""

    def __init__(self) -> None:
        self.recorded_at: dict[str, int] = {}
        self._next_collection_at = 0

    def record(self, now: int, id: str) -> None:
        self.recorded_at[id] = now

    def remove(self, ids: Iterable[str]) -> None:
        for id in ids:
            self.recorded_at.pop(id, None)

    def expired(self, now: int, known: Callable[[str], bool]) -> list[str]:
        """Whose ends may be forgotten, oldest first. `known`: whether anybody still tells of that life."""
        if now < self._next_collection_at:
            return []
        self._next_collection_at = now + COLLECTION_INTERVAL_NS
        old = sorted((at, id) for id, at in self.recorded_at.items() if now >= at + TOMBSTONE_RETENTION_NS)[
            :COLLECTION_BATCH
        ]
        for _, id in old:
            if known(id):
                self.recorded_at[id] = now
        return [id for at, id in old if self.recorded_at[id] == at]
