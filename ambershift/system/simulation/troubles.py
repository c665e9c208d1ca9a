"""What befalls simulated control nodes: machines, links and disks that fail within what is tolerated.

Each trouble draws from a source of its own, so that a history can be played again without some of them.
"""

from __future__ import annotations

import random
from collections.abc import Collection

from ambershift.system.simulation.world import Box, World
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND


def whole(box: Box) -> bool:
    return box.replica is not None and box.replica.voters.can_vote


def may_lose_a_disk(world: World, ip: str) -> bool:
    """Whether no other disk is lost, and enough complete ones of the newest voters are left."""
    boxes = [box for box in world.boxes.values() if not box.gone]
    if any(box.disk.get("meta", {}).get("whole") is None for box in boxes):
        return False
    newest = max(
        (box.replica.voters for box in boxes if box.replica is not None),
        key=lambda voters: voters.epoch,
        default=None,
    )
    if newest is None or newest.configuration is None:
        return False
    left = [
        one
        for one in newest.configuration.voters
        if one.ip != ip
        and not world.boxes[one.ip].gone
        and world.boxes[one.ip].disk.get("meta", {}).get("birth") == str(one.disk_id).encode()
        and int(world.boxes[one.ip].disk["meta"].get("whole", b"0")) >= newest.epoch
    ]
    return len(left) >= newest.quorum_size


MIXED = (
    "kill",
    "kill",
    "all",
    "freeze",
    "freeze",
    "cut",
    "one way",
    "alone",
    "region",
    "wipe",
    "replace",
    "disk",
    "disk",
    "clock",
    "clock",
    "minority",
    "held up",
)
MOVING = ("wipe", "wipe", "wipe", "replace", "replace", "kill", "freeze", "cut", "one way", "region", "disk")
SPANS = (50 * NS_PER_MS, 400 * NS_PER_MS, 1500 * NS_PER_MS, 3500 * NS_PER_MS)
LEAVING = ("remove", "remove", "leave", "leave", "roll", "wipe", "replace", "kill", "freeze", "cut", "region")
ENDS = (
    100 * NS_PER_MS,
    600 * NS_PER_MS,
    1500 * NS_PER_MS,
)  # How long a process goes on after it was told to end.
AFTER_SUCCESS = 0.03  # How often trouble comes right after a caller was told of success.


class Troubles:
    """Those of one history by their names, without those in `skip`. `happened` tells of each in a line."""

    def __init__(self, world: World, seed: int, kinds: tuple[str, ...], skip: Collection[str] = ()) -> None:
        self.world, self.seed, self.kinds, self.skip = world, seed, kinds, skip
        self.happened: dict[str, str] = {}
        self._successes = 0

    def befall(self, name: str, chance: random.Random, kinds: tuple[str, ...]) -> None:
        if name not in self.skip:
            when = self.world.now / 1e9
            self.happened[name] = f"{when:7.3f} s  {name:6} {trouble(self.world, kinds, chance)}"

    def plan(self, end: int, most: int) -> None:
        """From now to `end`, with pauses of `most` ns at the most."""
        number = 0
        at = self.world.now
        while at < end:
            chance = random.Random(f"{self.seed} {number}")
            at += chance.randrange(50 * NS_PER_MS, most)
            self.world.at(
                at,
                lambda name=f"t{number}", chance=chance: self.befall(  # type: ignore[misc]
                    name, chance, self.kinds
                ),
            )
            number += 1

    def success(self) -> None:
        """A caller has just been told of one: what was acknowledged must be there still."""
        self._successes += 1
        chance = random.Random(f"{self.seed} after {self._successes}")
        if chance.random() < AFTER_SUCCESS:
            self.befall(f"a{self._successes}", chance, ("all", "kill", "minority", "minority", *self.kinds))


def trouble(world: World, kinds: tuple[str, ...], chance: random.Random) -> str:
    """Bring about one trouble, and its end; says which."""
    ips = [ip for ip, box in world.boxes.items() if not box.gone]
    ip = chance.choice(ips)
    kind = chance.choice(kinds)
    span = chance.choice(SPANS)
    later = world.now + span
    if kind in ("kill", "all", "minority"):
        some = ips if kind == "all" else [ip]
        if kind == "minority":
            some = chance.sample(ips, max(1, (len(ips) - 1) // 2))
        apart = kind == "all" and chance.random() < 0.5
        for one in some:
            world.kill(one)
            world.at(world.now + chance.choice(SPANS) if apart else later, lambda one=one: world.start(one))  # type: ignore[misc]
    elif kind == "freeze":
        world.freeze(ip)
        world.at(later, lambda: world.thaw(ip))
    elif kind in ("cut", "one way", "alone", "region") and len(ips) > 1:
        others = [one for one in ips if one != ip]
        if kind != "alone":
            others = chance.sample(others, chance.randrange(1, max(2, len(others))))
        links = {(ip, one) for one in others}
        if kind != "one way":
            links |= {(one, ip) for one in others}
        if kind == "region":
            pair = {ip, others[0]}
            links = {(a, b) for a in ips for b in ips if (a in pair) != (b in pair)}
        world.cut |= links
        world.at(later, lambda: world.cut.difference_update(links))
    elif kind == "held up":
        world.boxes[ip].held_up = later
    elif kind == "clock":
        world.boxes[ip].wall += chance.choice((-1, 1)) * chance.choice((2, 30, 4000)) * NS_PER_SECOND
    elif kind in ("leave", "roll"):
        world.retire(ip)
        after = chance.choice(ENDS)
        world.at(world.now + after, lambda: end(world, ip, kind == "leave", span))
    elif kind == "remove":
        if may_lose_a_disk(world, ip):
            world.remove(ip)
    elif kind in ("wipe", "replace"):
        if may_lose_a_disk(world, ip):
            if kind == "wipe":
                world.wipe(ip)
                world.at(later, lambda: world.start(ip))
            else:
                fresh = world.replace(ip)
                world.at(later, lambda: world.start(fresh))
    elif kind == "disk":
        box = world.boxes[ip]
        box.fault = chance.choice(("full", "failed", "stalled"))

        def well() -> None:
            box.fault = None

        world.at(later, well)
    return f"{kind} {ip} for {span / NS_PER_SECOND:.2f} s"


def end(world: World, ip: str, for_good: bool, span: int) -> None:
    """A process that was told to end ends; its machine stays away where that may be borne."""
    if world.boxes[ip].gone:
        return
    if for_good and may_lose_a_disk(world, ip):
        world.remove(ip)
        return
    world.kill(ip)
    world.at(world.now + span, lambda: world.start(ip))


def heal(world: World) -> None:
    world.cut.clear()
    world.loss = 0
    for box in world.boxes.values():
        box.fault, box.held_up = None, 0
        if box.frozen is not None:
            world.thaw(box.ip)
        if not box.gone:
            world.start(box.ip)
