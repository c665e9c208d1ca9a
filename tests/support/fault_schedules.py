"""Histories made from a seed: faults of all kinds, of which at most a minority of memories at one time."""

from __future__ import annotations

from random import Random

from ambershift.coordinator.replication.tuning import DEFAULT_TUNING, MS
from tests.support.simulated_replicas import Simulation

SMALL_TUNING = DEFAULT_TUNING._replace(
    snapshot_interval_entries=24, max_chunk_bytes=200, max_batch_bytes=300, max_batches_in_flight=2
)


def run_history(seed: int, acts: int = 60) -> Simulation:
    random = Random(seed)
    voters = random.choice((1, 3, 3, 3, 5, 5, 7))
    sim = Simulation(
        seed,
        voters,
        random.choice((0, 0, 1, 2)),
        disk=random.random() < 0.5,
        tuning=random.choice((DEFAULT_TUNING, SMALL_TUNING)),
        lose=random.choice((0, 0, 0.02, 0.2)),
        repeat=random.choice((0, 0.1)),
        late=random.choice((0, 0, 0.05)),
        slow=random.choice((0, 0.3)),
    )
    for name in sim.hosts:
        sim.at(random.randint(0, 300) * MS, lambda name=name: sim.start_if_down(name))  # type: ignore[misc]
    sim.run(random.randint(0, 1500) * MS)
    for number in range(acts):
        act(sim, random, f"t{number}")
        sim.run(random.choice((0, 5, 50, 300, 1200)) * MS)
    sim.settle()
    return sim


def may_lose(sim: Simulation, name: str) -> bool:
    lost = {one for one in sim.voters if sim.is_lost(one)}
    return name not in sim.voters or len(lost | {name}) <= len(sim.voters) // 2


def sound(sim: Simulation) -> bool:
    """An old folder is found out by those that know what it has vouched for: they are up, and heard."""
    cores = [host.replica.core for name, host in sim.hosts.items() if host.replica and name in sim.voters]
    return (
        len(cores) == len(sim.voters)
        and not sim.cuts
        and not any(host.paused or host.stuck for host in sim.hosts.values())
        and len({(core.status, core.view, core.committed) for core in cores}) == 1
        and not any(sim.is_lost(name) for name in sim.voters)
        and sim.lose < 0.1
    )


def act(sim: Simulation, random: Random, token: str) -> None:
    name = random.choice(list(sim.hosts))
    host = sim.hosts[name]
    if any(one.old and sim.is_lost(one.name) for one in sim.hosts.values()):
        sim.submit(name, f"{token}.0", b"x0")
        return
    match random.randint(0, 14):
        case 0 | 1 | 2 | 3:
            for index in range(random.choice((1, 1, 10))):
                sim.submit(random.choice(list(sim.hosts)), f"{token}.{index}", b"x%d" % index)
        case 4:
            if sim.acked:  # Again, at another member.
                again = random.choice(list(sim.acked))
                sim.submit(name, again, b"x" + again.split(".")[1].encode())
        case 5 | 6:
            sim.read(name)
        case 7:
            cut = {(one, other) for one in sim.hosts for other in sim.hosts if random.random() < 0.3}
            out, back = {(name, other) for other in sim.hosts}, {(other, name) for other in sim.hosts}
            sim.cuts = random.choice((cut, out, back, out | back))
        case 8:
            sim.cuts = set()
        case 9:
            if not host.bare or may_lose(sim, name):
                sim.crash(name)
        case 10 | 11:
            for one in sim.hosts:
                if sim.hosts[one].replica is None:
                    sim.start(one)
        case 12:
            if host.paused:
                sim.resume(name)
            elif host.replica is not None:
                sim.pause(name)
        case 14:
            host.stuck = sim.disk and random.random() < 0.5
        case 13:
            if sim.disk and may_lose(sim, name):
                old = sound(sim) and random.random() < 0.5
                sim.crash(name)
                (sim.old_disk if old else sim.lose_disk)(name)
                if old or random.random() < 0.8:
                    sim.start(name)
