"""A member's part in interference: samples of its own nodes and heard records in, records and scores out.

Scores come from the records alone, its own as it has given them out: members that hold the same records give
the same scores, to the byte. A single thread at a time may use it.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ambershift.coordinator.interference import records
from ambershift.coordinator.interference.held import Held
from ambershift.coordinator.interference.node import SLOT_NS, Node
from ambershift.coordinator.interference.normal import liars
from ambershift.coordinator.interference.pooled import NODES_LEAST, lost, pairs, scores
from ambershift.coordinator.interference.records import Baseline, Evidence, Put, UnreadableError
from ambershift.coordinator.interference.sift import judge
from ambershift.coordinator.interference.words import Sample, Score, Unusable
from ambershift.coordinator.replication.gossip import Record, RecordKind

BEAT_NS = 1_000_000_000
SLICE = 4  # Nodes that are looked at in one call of `due`: some 10 ms each.
OLD = 180  # Slots. Evidence that is older, by the middle of the members' newest, no longer counts.
SCORE_AFTER = 3  # Scores are worked out so often at most.
LATELY = 66  # Nor does what a server suffers.
FORGET = 720  # A job that is silent for so long is forgotten.


class Bounds(NamedTuple):
    nodes: int = 1_024  # Of one member.
    jobs: int = 32  # Of one node.
    heard: int = 65_536  # Records of either kind, of all members.
    rows: int = 10_000  # Pairs that are told.


class Row(NamedTuple):
    """One pair for `show interference`; the victim alone, with a reason, where nobody can be told."""

    victim: str
    suspect: str
    effect: float
    low: float
    high: float
    p: float
    nodes: int
    suffering: int  # Jobs of the victim that suffer now.
    accused: bool
    reason: str


class Engine:
    def __init__(
        self,
        me: str,
        ease: bool = False,
        ease_most: float = 0.2,
        slot_ns: int = SLOT_NS,
        bounds: Bounds | None = None,
    ) -> None:
        """`slot_ns` is the interval of perf, the same at all members."""
        self.me, self.ease, self.ease_most, self.slot_ns = me, ease, ease_most, slot_ns
        self.bounds = bounds or Bounds()
        self.unusable = Counter[str]()  # By words.Unusable, and `too-many`, `unreadable-record`, `too-late`.
        self.taken = 0
        self.next_at = 0
        self._nodes = dict[str, Node]()
        self._held = Held(self.bounds.heard, slot_ns, self.unusable)
        self._given = dict[tuple[RecordKind, str], bytes]()
        self._scored_at = 0
        self._scores = list[Score]()
        self._liars = frozenset[str]()
        self._accused = frozenset[tuple[str, str]]()
        self._current = dict[str, Evidence]()  # By job, the newest of nodes that don't lie.

    def samples(self, now: int, given: Iterable[Sample]) -> int:
        """How many were of use. `now`: Unix ns of this member."""
        used = 0
        for sample in given:
            reason = self._take(now, sample)
            if reason is None:
                used += 1
            else:
                self.unusable[reason] += 1
        self.taken += used
        return used

    def _take(self, now: int, sample: Sample) -> str | None:
        node = self._nodes.get(sample.node)
        if node is None:
            if len(self._nodes) >= self.bounds.nodes:
                return "too-many"
            node = Node(sample.node, self.slot_ns)
        job = node.job(sample, self.bounds.jobs)
        if job is None:
            return "too-many"
        why = judge(sample, now, job.told, self.slot_ns)
        if why is not None:
            if not job.last:
                node.forget(sample.job)  # What never told anything of use takes no place.
            return why.value
        self._nodes[sample.node] = node
        return None if node.add(job, sample) else "too-late"

    def heard(self, record: Record) -> None:
        """A record of another member, newer than what was heard of it; an empty body takes it back."""
        if (
            record.kind not in (RecordKind.INTERFERENCE_EVIDENCE, RecordKind.INTERFERENCE_BASELINE)
            or record.origin == self.me
        ):
            return
        try:
            self._held.hold(record.origin, RecordKind(record.kind), record.key, record.body)
        except UnreadableError:
            self.unusable["unreadable-record"] += 1
            self._held.hold(record.origin, RecordKind(record.kind), record.key, b"")

    def due(self, now: int) -> list[Put]:
        """What changed and should be given out. Call it again at `next_at`; each call is short."""
        made = list[Put]()
        ripe = [node for node in self._nodes.values() if node.ripe(now)]
        for node in ripe[:SLICE]:
            block = node.look(now, self._held.normal, self._accused)
            self.unusable[Unusable.ALL_SLOW.value] += block.all_slow
            made += self._give(node, block.evidence)
        if not ripe:
            made += self._forget(now)
            if now - self._scored_at >= SCORE_AFTER * self.slot_ns:
                self._scored_at = now
                self.refresh()
        self.next_at = now + (BEAT_NS // 20 if len(ripe) > SLICE else BEAT_NS)
        return made

    def _give(self, node: Node, evidence: Iterable[Evidence]) -> list[Put]:
        bodies = {
            (RecordKind.INTERFERENCE_EVIDENCE, records.met_key(one.node, one.job)): records.encode(one)
            for one in evidence
        }
        for (kind, group), gathered in node.gathered.items():
            if gathered.total:
                body = records.encode(Baseline(records.VERSION, kind, group, node.name, gathered.sketch()))
                bodies[RecordKind.INTERFERENCE_BASELINE, records.baseline_key(kind, group, node.name)] = body
        made = [
            Put(kind, key, body)
            for (kind, key), body in bodies.items()
            if self._given.get((kind, key)) != body
        ]
        for put in made:
            self._own(put)
        return made

    def _own(self, put: Put) -> None:
        if put.body:
            self._given[put.kind, put.key] = put.body
        else:
            self._given.pop((put.kind, put.key), None)
        self._held.hold(self.me, put.kind, put.key, put.body)

    def _forget(self, now: int) -> list[Put]:
        """Jobs and nodes that are silent for long are taken back."""
        made = list[Put]()
        for name, node in list(self._nodes.items()):
            for job in [job for job, one in node.jobs.items() if now - one.last > FORGET * self.slot_ns]:
                made.append(Put(RecordKind.INTERFERENCE_EVIDENCE, records.met_key(name, job), b""))
                kind, group = node.jobs[job].kind, node.jobs[job].group
                node.forget(job)
                if not any((one.kind, one.group) == (kind, group) for one in node.jobs.values()):
                    made.append(
                        Put(RecordKind.INTERFERENCE_BASELINE, records.baseline_key(kind, group, name), b"")
                    )
            if not node.jobs:
                del self._nodes[name]
        made = [put for put in made if (put.kind, put.key) in self._given]
        for put in made:
            self._own(put)
        return made

    def refresh(self) -> None:
        """Work the scores out of all that is held. `due` does it by itself; what reads never waits for it."""
        if not self._held.changed:
            return
        self._held.changed = False
        now = self._held.now()
        self._liars = found = liars(self._held.pools)
        self._held.leave_out(found)
        newest = dict[tuple[str, str], Evidence]()
        for _, one in sorted(self._held.evidence.items(), key=lambda item: item[0]):
            place = one.node, one.job
            if now - one.at <= OLD * self.slot_ns and (place not in newest or one.at > newest[place].at):
                newest[place] = one
        self._scores = scores(pairs(newest.values(), found))
        self._accused = frozenset((one.victim, one.suspect) for one in self._scores if one.accused)
        self._current = {}
        for _, one in sorted(newest.items(), key=lambda item: item[0]):
            before = self._current.get(one.job)
            fresh = now - one.at <= LATELY * self.slot_ns and (before is None or one.at > before.at)
            if fresh and one.node not in found:
                self._current[one.job] = one

    def scores(self) -> list[Score]:
        return self._scores

    def liars(self) -> frozenset[str]:
        return self._liars

    def interfered(self, server: str) -> float:
        """The part of its capacity that neighbours take now, 0 to 1; 0 while nobody is accused of it."""
        one = self._current.get(server)
        if one is None or not one.suffers or one.level <= 0:
            return 0.0
        here = {met.suspect for met in one.met}
        blamed = math.fsum(
            score.effect
            for score in self._scores
            if score.accused and score.victim == one.group and score.suspect in here
        )
        return round(min(lost(one.level / records.LEVEL), blamed, 1.0), 6)

    def eases(self, now: int) -> Mapping[str, float]:
        """By server the part of its weight that it should keep; nothing where easing is off or over."""
        if not self.ease:
            return {}
        found = dict[str, float]()
        for server, one in self._current.items():
            part = min(self.ease_most, self.interfered(server))
            if part > 0.0 and now - one.at <= 2 * LATELY * self.slot_ns:
                found[server] = round(1.0 - part, 6)
        return found

    def rows(self) -> list[Row]:
        """The accused first, then by victim and suspect; victims with nobody to blame at the end."""
        suffering = Counter(one.group for one in self._current.values() if one.suffers)
        made = [
            Row(
                *score_fields(one),
                suffering[one.victim],
                one.accused,
                "" if one.nodes >= NODES_LEAST else Unusable.TOO_LITTLE.value,
            )
            for one in self._scores
        ]
        made.sort(key=lambda row: (not row.accused, row.victim, row.suspect))
        scored = {row.victim for row in made}
        reasons = {(one.group, one.reason) for one in self._current.values() if one.reason}
        reasons |= {
            (one.group, Unusable.NODE_LIES.value)
            for one in self._held.evidence.values()
            if one.node in self._liars
        }
        made += [
            Row(group, "-", 0.0, 0.0, 0.0, 1.0, 0, suffering[group], False, reason)
            for group, reason in sorted(reasons)
            if group not in scored or reason in (Unusable.ALL_SLOW.value, Unusable.NODE_LIES.value)
        ]
        return made[: self.bounds.rows]


def score_fields(one: Score) -> tuple[str, str, float, float, float, float, int]:
    return one.victim, one.suspect, one.effect, one.low, one.high, one.p, one.nodes
