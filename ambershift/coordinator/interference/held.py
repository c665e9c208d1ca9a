"""What one member holds of all members' records: evidence, and the newest sketch of each node. Bounded."""

from __future__ import annotations

from collections import Counter

from ambershift.coordinator.interference import records
from ambershift.coordinator.interference.normal import Normal, Sketch, normal
from ambershift.coordinator.interference.pooled import median
from ambershift.coordinator.interference.records import Baseline, Evidence
from ambershift.coordinator.replication.gossip import RecordKind


class Held:
    def __init__(self, most: int, slot_ns: int, refused: Counter[str]) -> None:
        """`most`: records of either kind; more are counted in `refused` as `too-many`."""
        self.most, self.slot_ns, self.refused = most, slot_ns, refused
        self.evidence = dict[tuple[str, str], Evidence]()  # By origin and key.
        self.baselines = dict[str, dict[str, Baseline]]()  # By key and origin.
        self.pools = dict[tuple[str, str], dict[str, Sketch]]()  # By kind of machine and group.
        self.changed = True
        self._count = 0  # Baselines, of all origins.
        self._normals = dict[tuple[str, str], Normal | None]()
        self._without = frozenset[str]()

    def hold(self, origin: str, kind: RecordKind, key: str, body: bytes) -> None:
        """An empty body takes the record back. UnreadableError: nothing changed."""
        self.changed = True
        if kind is RecordKind.INTERFERENCE_EVIDENCE:
            place = origin, key
            if not body:
                self.evidence.pop(place, None)
            elif place in self.evidence or len(self.evidence) < self.most:
                self.evidence[place] = records.read_evidence(key, body)
            else:
                self.refused["too-many"] += 1
            return
        found = records.read_baseline(key, body) if body else None
        told = self.baselines.setdefault(key, {})
        one = told.pop(origin, None)
        self._count -= one is not None
        if found is not None and self._count >= self.most:
            self.refused["too-many"] += 1
        elif found is not None:
            one = told[origin] = found
            self._count += 1
        if not told:
            del self.baselines[key]
        if one is not None:
            place = one.kind, one.group
            pool = self.pools.setdefault(place, {})
            self._normals.pop(place, None)
            if told:
                pool[one.node] = max(each.sketch for each in told.values())
            else:
                pool.pop(one.node, None)
            if not pool:
                del self.pools[place]

    def now(self) -> int:
        """The middle of the members' newest evidence: what counts as old is the same for all."""
        newest = dict[str, int]()
        for (origin, _), one in self.evidence.items():
            newest[origin] = max(newest.get(origin, 0), one.at)
        return int(median(newest.values())) if newest else 0

    def leave_out(self, nodes: frozenset[str]) -> None:
        if nodes != self._without:
            self._without = nodes
            self._normals.clear()

    def normal(self, kind: str, group: str) -> Normal | None:
        place = kind, group
        if place not in self._normals:
            pool = self.pools.get(place, {})
            newest = max((one.at for one in pool.values()), default=0)
            self._normals[place] = normal(pool, newest, self._without, self.slot_ns)
        return self._normals[place]
