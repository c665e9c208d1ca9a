"""Plays planted worlds to engines, and tells what they found and when."""

from typing import NamedTuple

from ambershift.coordinator.counters.worlds import EPOCH, SLOT_NS, Plan, World
from ambershift.coordinator.interference.engine import Engine
from ambershift.coordinator.interference.records import Put
from ambershift.coordinator.replication.gossip import Record

SECOND = 1_000_000_000


class Played(NamedTuple):
    wanted: set[tuple[str, str]]
    found: dict[tuple[str, str], int]  # The slot in which each planted pair was accused first.
    false: dict[tuple[str, str], int]
    engines: list[Engine]
    world: World


def due(engine: Engine, now: int) -> list[Put]:
    made = engine.due(now)
    while engine.next_at - now < SECOND:
        made += engine.due(now)
    return made


def record(origin: str, put: Put, version: int = 1) -> Record:
    return Record(origin, 1, version, put.kind, put.key, put.body, 0)


def play(seed: int, plan: Plan, members: int = 1) -> Played:
    """Nodes are dealt to members; each hears all of the others' records."""
    world = World(seed, plan)
    engines = [Engine(f"n{at}") for at in range(members)]
    wanted, found, false = world.expected(), dict[tuple[str, str], int](), dict[tuple[str, str], int]()
    for slot in range(plan.slots):
        now, samples = (EPOCH + slot + 1) * SLOT_NS + SECOND, world.slot(slot)
        for at, engine in enumerate(engines):
            engine.samples(now, [one for one in samples if int(one.node.split("-")[1]) % members == at])
        if slot % 3 == 0:
            for engine in engines:
                for put in due(engine, now):
                    for other in engines:
                        other.heard(record(engine.me, put))
        for score in engines[0].scores():
            if score.accused:
                pair = score.victim, score.suspect
                (found if pair in wanted else false).setdefault(pair, slot)
    return Played(wanted, found, false, engines, world)
