"""Histories generated from a seed: all kinds of faults; at most a minority of voters lacks its state."""

from __future__ import annotations

from random import Random

from ambershift.coordinator.replication.tuning import DEFAULT_TUNING, MS
from tests.support.simulated_replicas import Simulation

SMALL_TUNING = DEFAULT_TUNING._replace(
    snapshot_interval_entries=24, max_chunk_bytes=200, max_batch_bytes=300, max_batches_in_flight=2
)


def run_history(seed: int, acts: int = 60) -> Simulation:
    """Run a group through so many acts, then without faults until it has settled."""
    random = Random(seed)
    voters = random.choice((1, 3, 3, 3, 5, 5, 7))
    sim = Simulation(
        seed,
        voters,
        random.choice((0, 0, 1, 2)),
        disk=random.random() < 0.5,
        tuning=random.choice((DEFAULT_TUNING, SMALL_TUNING)),
        loss_rate=random.choice((0, 0, 0.02, 0.2)),
        repeat_rate=random.choice((0, 0.1)),
        late_rate=random.choice((0, 0, 0.05)),
        slow_sync_rate=random.choice((0, 0.3)),
    )
    for name in sim.hosts:
        sim.schedule(random.randint(0, 300) * MS, lambda name=name: sim.start_if_down(name))  # type: ignore[misc]
    sim.run(random.randint(0, 1500) * MS)
    for number in range(acts):
        act(sim, random, f"t{number}")
        sim.run(random.choice((0, 5, 50, 300, 1200)) * MS)
    sim.settle()
    return sim


def may_lose_state(sim: Simulation, name: str) -> bool:
    """Whether a member may lose its state: a majority of the voters must keep theirs."""
    lost = {voter for voter in sim.voters if sim.has_lost_state(voter)}
    return name not in sim.voters or len(lost | {name}) <= len(sim.voters) // 2


def detects_old_folder(sim: Simulation) -> bool:
    """Whether all voters are up and reachable, so that they know what an old folder has acknowledged."""
    cores = [host.replica.core for name, host in sim.hosts.items() if host.replica and name in sim.voters]
    return (
        len(cores) == len(sim.voters)
        and not sim.cuts
        and not any(host.paused or host.disk_hangs for host in sim.hosts.values())
        and len({(core.status, core.view, core.committed) for core in cores}) == 1
        and not any(sim.has_lost_state(name) for name in sim.voters)
        and sim.loss_rate < 0.1
    )


def act(sim: Simulation, random: Random, token: str) -> None:
    """One request or fault; only requests while a member with an old folder has not been found out."""
    name = random.choice(list(sim.hosts))
    host = sim.hosts[name]
    if any(other.has_old_folder and sim.has_lost_state(other.name) for other in sim.hosts.values()):
        sim.submit(name, f"{token}.0", b"x0")
        return
    match random.randint(0, 14):
        case 0 | 1 | 2 | 3:
            for index in range(random.choice((1, 1, 10))):
                sim.submit(random.choice(list(sim.hosts)), f"{token}.{index}", b"x%d" % index)
        case 4:
            if sim.acked:  # A repeated command, at any member.
                repeated = random.choice(list(sim.acked))
                sim.submit(name, repeated, b"x" + repeated.split(".")[1].encode())
        case 5 | 6:
            sim.read(name)
        case 7:
            some = {(sender, to) for sender in sim.hosts for to in sim.hosts if random.random() < 0.3}
            out, back = {(name, other) for other in sim.hosts}, {(other, name) for other in sim.hosts}
            sim.cuts = random.choice((some, out, back, out | back))
        case 8:
            sim.cuts = set()
        case 9:
            if not host.has_empty_folder or may_lose_state(sim, name):
                sim.crash(name)
        case 10 | 11:
            for other in sim.hosts:
                if sim.hosts[other].replica is None:
                    sim.start(other)
        case 12:
            if host.paused:
                sim.resume(name)
            elif host.replica is not None:
                sim.pause(name)
        case 14:
            host.disk_hangs = sim.disk and random.random() < 0.5
        case 13:
            if sim.disk and may_lose_state(sim, name):
                old = detects_old_folder(sim) and random.random() < 0.5
                sim.crash(name)
                (sim.restore_old_folder if old else sim.lose_folder)(name)
                if old or random.random() < 0.8:
                    sim.start(name)
