"""Planted worlds: nodes, jobs, neighbours and who interferes with whom, as samples slot by slot. Seeded.

What is planted is known, so that scores can be told right or wrong. Each world has what misleads: load that
rises and falls for all, CPI that grows with a job's own load, deploys that change what is normal, schedules
that two neighbours share, strays, and where asked for slow machines, liars and faulty counters.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from ambershift.coordinator.interference.words import Sample

SLOT_NS = 10_000_000_000
EPOCH = 1_700_000_000 * 1_000_000_000 // SLOT_NS // 30 * 30  # Slot in which worlds begin.
KINDS = {"m1": 1.0, "m2": 0.8}
TENANTS = ("games", "chat", "maps", "mail")
NEIGHBOURS = ("batch", "index", "backup", "encode", "crawl", "sort", "lint", "train")
FAULTS = ("wrapped", "reset", "repeated", "missing", "multiplexed", "skewed", "contradicting", "invented")

Floats = npt.NDArray[np.float64]


class Plant(NamedTuple):
    """`culprit` slows `victim` by this logarithm of CPI for each core it uses."""

    culprit: str
    victim: str
    slope: float


class Plan(NamedTuple):
    """What a world has. Parts are of nodes, of samples where `faulty` says so."""

    nodes: int = 10
    plants: tuple[Plant, ...] = ()
    servers: int = 3  # On a node.
    neighbours: int = 4
    noise: float = 0.05
    load: float = 0.12  # Log of how far CPI rises with a job's own load.
    twins: bool = True  # The second neighbour of each node keeps mostly the schedule of the first.
    deploys: float = 0.3  # Of the jobs, in the time of the world.
    slow: float = 0.0  # Of the nodes have a phase in which all jobs are slow.
    liars: float = 0.0
    faulty: float = 0.0  # Of the samples; each fault as often as the others.
    comers: float = 0.2  # Of the neighbours come late and go early.
    slots: int = 720


class World:
    """Samples of `plan.slots` slots of 10 s. The same seed and plan make the same world."""

    def __init__(self, seed: int, plan: Plan) -> None:
        self.plan, self.chance = plan, np.random.default_rng(seed)
        self.faults = Counter[str]()
        chance, count = self.chance, plan.nodes
        kinds = sorted(KINDS)
        base = {
            (kind, group): KINDS[kind] * chance.uniform(0.7, 2.5)
            for kind in kinds
            for group in (*TENANTS, *NEIGHBOURS)
        }
        self.node, self.kind, self.name = list[str](), list[str](), list[str]()
        self.group, self.tenant = list[str](), list[str]()
        serial = 0
        for node in range(count):
            kind = kinds[node % len(kinds)]
            servers = [TENANTS[at] for at in chance.choice(len(TENANTS), plan.servers)]
            others = [NEIGHBOURS[at] for at in chance.choice(len(NEIGHBOURS), plan.neighbours, replace=False)]
            for group in (*servers, *others):
                served = group in TENANTS
                self.node.append(f"node-{node}")
                self.kind.append(kind)
                self.name.append(f"s-{serial}" if served else group)
                self.tenant.append(group if served else "")
                self.group.append(group)
                serial += served
        self.jobs = len(self.name)
        self.first = np.arange(count) * (plan.servers + plan.neighbours)
        self.log_base = np.log([base[pair] for pair in zip(self.kind, self.group, strict=True)])
        self.per_node = plan.servers + plan.neighbours
        self.uses = self._uses()
        self.log_cpi = self._log_cpi()
        self.lying = {f"node-{at}" for at in chance.choice(count, round(plan.liars * count), replace=False)}
        self._lie()

    def _schedule(self) -> Floats:
        """Busy and calm by turns, for 2 to 20 minutes each; a neighbour's cores."""
        chance, slots = self.chance, self.plan.slots
        turns = chance.integers(12, 120, slots // 12 + 2)
        busy = np.repeat(np.arange(len(turns)) % 2, turns)[:slots]
        calm, high = chance.uniform(0.0, 0.3), chance.uniform(1.5, 4.0)
        return np.asarray(np.where(busy, high, calm))

    def _uses(self) -> Floats:
        plan, chance = self.plan, self.chance
        time = np.arange(plan.slots)
        uses = np.zeros((self.jobs, plan.slots))
        for node in range(plan.nodes):
            at, before = node * self.per_node, np.zeros(0)
            for place in range(self.per_node):
                if place < plan.servers:
                    turn = time / chance.uniform(500, 9_000) + chance.uniform()
                    day = 1.0 + 0.4 * np.sin(2 * np.pi * turn)
                    made = chance.uniform(0.6, 2.0) * day
                else:
                    made = self._schedule()
                    if plan.twins and place == plan.servers + 1:
                        same = chance.random(plan.slots) < 0.7
                        made = np.where(same, before * chance.uniform(0.7, 1.3), made)
                    if place > plan.servers + 1 and chance.random() < plan.comers:
                        start, end = sorted(chance.integers(0, plan.slots, 2))
                        made[:start] = made[end:] = np.nan
                    before = made
                uses[at + place] = made * np.exp(0.1 * chance.standard_normal(plan.slots))
        return uses

    def _log_cpi(self) -> Floats:
        plan, chance, shape = self.plan, self.chance, self.uses.shape
        noise = plan.noise * chance.standard_normal(shape)
        for at in range(1, plan.slots):  # What a job does now hangs on what it did before.
            noise[:, at] = 0.5 * noise[:, at - 1] + 0.87 * noise[:, at]
        strays = (chance.random(shape) < 0.01) * chance.exponential(0.5, shape)
        used = np.nan_to_num(self.uses)
        own = plan.load * (used / (used.sum(1) / np.maximum(1, (used > 0).sum(1)) + 1e-9)[:, None] - 1.0)
        cpi = self.log_base[:, None] + noise + strays + own
        for job in np.flatnonzero(chance.random(self.jobs) < plan.deploys):
            cpi[job, int(chance.integers(plan.slots)) :] += chance.uniform(-0.15, 0.15)
        for node in range(plan.nodes):
            rows = range(node * self.per_node, (node + 1) * self.per_node)
            for plant in plan.plants:
                for culprit in (row for row in rows if self.group[row] == plant.culprit):
                    for victim in (row for row in rows if self.group[row] == plant.victim and row != culprit):
                        cpi[victim] += plant.slope * np.nan_to_num(self.uses[culprit])
        for node in chance.choice(plan.nodes, round(plan.slow * plan.nodes), replace=False):
            start, first = int(chance.integers(plan.slots)), node * self.per_node
            cpi[first : first + self.per_node, start : start + int(chance.integers(60, 180))] += 0.4
        return np.asarray(cpi)

    def _lie(self) -> None:
        """Half of the liars tell figures far off, the others that one neighbour slows all the rest."""
        for at, name in enumerate(sorted(self.lying)):
            node = int(name.split("-")[1])
            rows = slice(node * self.per_node, (node + 1) * self.per_node)
            if at % 2:
                self.log_cpi[rows] += 1.1
            else:
                blamed = node * self.per_node + self.plan.servers
                self.log_cpi[node * self.per_node : blamed] += 0.3 * np.nan_to_num(self.uses[blamed])

    def expected(self) -> set[tuple[str, str]]:
        """Pairs that are planted and meet on two honest nodes: one node's word is never enough."""
        meet = Counter[tuple[str, str]]()
        for node in range(self.plan.nodes):
            if f"node-{node}" not in self.lying:
                rows = range(node * self.per_node, (node + 1) * self.per_node)
                groups = [self.group[row] for row in rows if np.nan_to_num(self.uses[row]).max() > 0]
                meet.update(
                    {
                        (plant.victim, plant.culprit)
                        for plant in self.plan.plants
                        if plant.victim in groups and plant.culprit in groups
                    }
                )
        return {pair for pair, count in meet.items() if count >= 2}

    def slot(self, at: int) -> list[Sample]:
        """The samples of slot `at`, counted from 0; their interval ends with it."""
        made, end = list[Sample](), (EPOCH + at + 1) * SLOT_NS
        task = self.uses[:, at] * SLOT_NS
        cycles = task * 2.5 * np.exp(0.02 * self.chance.standard_normal(self.jobs))
        instructions = cycles / np.exp(self.log_cpi[:, at])
        misses = instructions * 0.002
        fault = self.chance.random(self.jobs) < self.plan.faulty
        which = self.chance.integers(len(FAULTS), size=self.jobs)
        for job in np.flatnonzero(~np.isnan(task)):
            sample = Sample(
                self.node[job],
                self.kind[job],
                self.name[job],
                self.tenant[job],
                end,
                SLOT_NS,
                float(np.rint(cycles[job])),
                float(np.rint(instructions[job])),
                float(np.rint(misses[job])),
                float(np.rint(task[job])),
                1.0,
            )
            if fault[job]:
                self.faults[FAULTS[which[job]]] += 1
                made += faulty(sample, FAULTS[which[job]])
            else:
                made.append(sample)
        return made


def faulty(sample: Sample, fault: str) -> list[Sample]:
    """What a reader hands on where a counter has this fault."""

    def but(
        at: int = sample.at,
        cycles: float = sample.cycles,
        instructions: float = sample.instructions,
        task: float = sample.task_ns,
        counted: float = 1.0,
    ) -> Sample:
        return Sample(
            sample.node,
            sample.kind,
            sample.job,
            sample.tenant,
            at,
            sample.span_ns,
            cycles,
            instructions,
            sample.cache_misses,
            task,
            counted,
        )

    match fault:
        case "wrapped":
            return [but(cycles=sample.cycles - 2.0**48)]
        case "reset":
            return [but(cycles=sample.cycles * 1e-4)]
        case "repeated":
            return [sample, sample]
        case "missing":
            return []
        case "multiplexed":
            return [but(instructions=sample.instructions * 0.3, counted=0.2)]
        case "skewed":
            return [but(at=sample.at + 3_600 * 1_000_000_000)]
        case "contradicting":
            return [but(instructions=0.0)]
    return [but(instructions=sample.cycles * 50.0)]
