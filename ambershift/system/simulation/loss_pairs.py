"""Two losses, one at a chosen moment after the other: each pair of kinds, moment by moment.

Within what is to be borne (`Tolerance`: one machine at a time) writes go on through each of them. Beyond that
they may wait for machines to return, but nothing that was acknowledged is lost and no two answers differ.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.simulation.lists import LISTS, Lists, Op
from ambershift.system.simulation.troubles import heal
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

FOUNDED_S = 2.5
REPAIR_S = 3.0  # What a loss takes at the most until copies are complete again.
CATCH_UP_S = 4.0
WRITE_S = 3.0  # Within so long a write must be done at one machine at least.
SHORTLY_S = 0.3

# Of a moment: seconds from the first loss to the second.
MOMENTS = {"during": SHORTLY_S, "right after": REPAIR_S, "later": REPAIR_S + CATCH_UP_S}


@dataclass(frozen=True, slots=True)
class Pair:
    """Of `count` machines; `between`: a region loses power in between and is back."""

    first: str
    second: str
    moment: str
    count: int
    between: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """`wrote`: whether a write was done right after the second loss. False where that was not brought about,
    as too few complete copies would have been left: that is beyond what is to be borne.
    """

    broken: list[str]
    wrote: bool


def _disk_lost(world: Lists, ip: str) -> None:
    world.wipe(ip)
    world.at(world.now + 400 * NS_PER_MS, lambda: world.start(ip))


def _replaced(world: Lists, ip: str) -> None:
    fresh = world.replace(ip)
    world.at(world.now + 400 * NS_PER_MS, lambda: world.start(fresh))


def _replaced_as_planned(world: Lists, ip: str) -> None:
    world.retire(ip)
    world.at(world.now + 1500 * NS_PER_MS, lambda: _replaced(world, ip))


def _power(world: Lists, ip: str) -> None:
    world.kill(ip)
    world.at(world.now + NS_PER_SECOND, lambda: world.start(ip))


def _cut(world: Lists, ip: str) -> None:
    links = {pair for other in world.boxes for pair in ((ip, other), (other, ip)) if other != ip}
    world.cut |= links
    world.at(world.now + 2 * NS_PER_SECOND, lambda: world.cut.difference_update(links))


def _leaves(world: Lists, ip: str) -> None:
    world.retire(ip)
    world.at(world.now + 1500 * NS_PER_MS, lambda: world.remove(ip))


def _removed(world: Lists, ip: str) -> None:
    world.remove(ip)


LOSSES: dict[str, Callable[[Lists, str], None]] = {
    "disk lost": _disk_lost,
    "replaced as planned": _replaced_as_planned,
    "replaced": _replaced,
    "power": _power,
    "cut": _cut,
    "leaves": _leaves,
    "removed": _removed,
}


def play_pair(pair: Pair) -> Outcome:
    world = Lists(len(pair.first) + 7 * len(pair.second), loss=0, count=pair.count)
    world.run(FOUNDED_S)
    ips = sorted(world.boxes)
    _write_all(world, 1.0)
    LOSSES[pair.first](world, ips[1])
    world.run(MOMENTS[pair.moment])
    if pair.between:
        _lose_region(world, ips[2])
    _write_all(world, 0.1)
    second = ips[2]
    if _disks_left(world, second) < _enough(world):
        return Outcome(world.judge(), False)
    LOSSES[pair.second](world, second)
    done = _write_all(world, WRITE_S)
    world.run(2)
    heal(world)
    world.run(REPAIR_S + CATCH_UP_S)
    last = _write_all(world, 2.0)
    stands_still = _disks_left(world) < _enough(world)  # Two machines that are gone for good, of three.
    wrote_all = all(isinstance(op.told, CallSucceeded) for op in last)
    broken = [] if wrote_all or stands_still else ["no write though all is well"]
    wrote = any(isinstance(op.told, CallSucceeded) for op in done)
    return Outcome(broken + world.judge(), wrote)


def _write_all(world: Lists, seconds: float) -> list[Op]:
    """A write at each machine that runs, and what became of it after so long."""
    found = [
        world.change("append", ip, f"list/{at % LISTS}", within=max(seconds, 1.5))
        for at, (ip, box) in enumerate(sorted(world.boxes.items()))
        if box.replica is not None
    ]
    world.run(seconds)
    return found


def _lose_region(world: Lists, spared: str) -> None:
    lost = [
        ip
        for ip, box in world.boxes.items()
        if box.replica is not None and world.settings(box).region == "r0" and ip != spared
    ]
    for ip in lost:
        world.kill(ip)
    world.run(2)
    for ip in lost:
        world.start(ip)
    world.run(REPAIR_S + CATCH_UP_S)


def _newest(world: Lists) -> tuple[int, list[str]]:
    """The newest epoch that a machine knows, and its voters."""
    voters = max(
        (box.replica.voters for box in world.boxes.values() if box.replica is not None),
        key=lambda one: one.epoch,
    )
    return voters.epoch, [one.ip for one in voters.configuration.voters] if voters.configuration else []


def _disks_left(world: Lists, without: str = "") -> int:
    """How many of the newest voters have, with the disk that they vote with, all that was held before."""
    epoch, members = _newest(world)
    births = {
        one.ip: str(one.disk_id).encode()
        for box in world.boxes.values()
        if box.replica is not None and (decision := box.replica.voters.configuration) is not None
        if decision.epoch == epoch
        for one in decision.voters
    }
    metas = {ip: world.boxes[ip].disk.get("meta", {}) for ip in members if not world.boxes[ip].gone}
    return sum(
        ip != without and meta.get("birth") == births[ip] and int(meta.get("whole", b"0")) >= epoch
        for ip, meta in metas.items()
    )


def _enough(world: Lists) -> int:
    return len(_newest(world)[1]) // 2 + 1
