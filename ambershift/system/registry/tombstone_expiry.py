"""Which ends of lives may be forgotten: known here for long, of lives that nobody has heard of since."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ambershift.system.state_machine import NS_PER_SECOND

# No beat of before the end comes so much later: on its way TCP gives it up within 15 minutes, and who stood
# still for longer than `STALE` takes none that waited for it.
STALE = 900 * NS_PER_SECOND
KEPT = 2 * STALE
EVERY = 60 * NS_PER_SECOND
PORTION = 400  # At once; more wait for the next turn.
REFUSED = 1000  # So many ids, the last cleared, are told to all, who drop them and take nothing of them.


class Clearing:
    """Grows with the ends of `KEPT` and a turn: some hundred at thousands of restarts a day."""

    def __init__(self) -> None:
        self.since: dict[str, int] = {}
        self._next = 0

    def ended(self, now: int, id: str) -> None:
        self.since[id] = now

    def forget(self, ids: Iterable[str]) -> None:
        for id in ids:
            self.since.pop(id, None)

    def due(self, now: int, known: Callable[[str], bool]) -> list[str]:
        """Whose ends may be forgotten, oldest first. `known`: whether anybody still tells of that life."""
        if now < self._next:
            return []
        self._next = now + EVERY
        old = sorted((at, id) for id, at in self.since.items() if now >= at + KEPT)[:PORTION]
        for _, id in old:
            if known(id):
                self.since[id] = now
        return [id for at, id in old if self.since[id] == at]
