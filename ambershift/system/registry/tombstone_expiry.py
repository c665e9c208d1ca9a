"""Which tombstones of instances may be collected: old ones, of instances that no control node reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ambershift.system.state_machine import NS_PER_SECOND

# No heartbeat from before the end of an instance arrives later than this. TCP gives up within 15 minutes, and
# a process that stood still for longer accepts none that waited for it.
MAX_HEARTBEAT_DELAY_NS = 900 * NS_PER_SECOND
TOMBSTONE_RETENTION_NS = 2 * MAX_HEARTBEAT_DELAY_NS
COLLECTION_INTERVAL_NS = 60 * NS_PER_SECOND
COLLECTION_BATCH = 400  # Tombstones collected at once; the others wait for the next time.
# So many ids, the last collected, are replicated to all control nodes, which drop their tombstones and accept
# none for them.
MAX_COLLECTED_IDS = 1000


class TombstoneExpiry:
    """Ages of the tombstones here.

    It grows with the tombstones of the retention time: some hundred at thousands of restarts a day.

    Attributes:
        recorded_at: When the newest version of each tombstone arrived, by instance id (ns, steady clock).
    """

    def __init__(self) -> None:
        self.recorded_at: dict[str, int] = {}
        self._next_collection_at = 0

    def record(self, now: int, id: str) -> None:
        """Note that a tombstone has arrived or become newer."""
        self.recorded_at[id] = now

    def remove(self, ids: Iterable[str]) -> None:
        """Forget tombstones that have been collected."""
        for id in ids:
            self.recorded_at.pop(id, None)

    def expired(self, now: int, is_reported: Callable[[str], bool]) -> list[str]:
        """Return ids of tombstones that may be collected, oldest first.

        Args:
            now: Time (ns, steady clock).
            is_reported: Whether any control node still reports the instance with this id. The retention
                time of its tombstone begins anew.
        """
        if now < self._next_collection_at:
            return []
        self._next_collection_at = now + COLLECTION_INTERVAL_NS
        old = sorted((at, id) for id, at in self.recorded_at.items() if now >= at + TOMBSTONE_RETENTION_NS)
        batch = old[:COLLECTION_BATCH]
        for _, id in batch:
            if is_reported(id):
                self.recorded_at[id] = now
        return [id for at, id in batch if self.recorded_at[id] == at]
