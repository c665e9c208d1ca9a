"""Plays one seed: a simulated fleet in a storm of changes, with troubles at the control nodes and between."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.fleet import Fleet
from ambershift.system.simulation.fleet_history import Judge, Storm
from ambershift.system.state_machine import NS_PER_SECOND

BEGIN_S, CALM_S = 4.0, 8.0
TROUBLES_MOST = 3
GAP_S = 0.27
NODES, PROXIES = 9, 9


@dataclass
class Played:
    """What became of one seed: what broke, the troubles, the longest that a proxy lacked something (s)."""

    broken: list[str]
    troubles: list[str] = field(default_factory=list)
    acknowledged: int = 0
    longest: float = 0.0


class Troubles:
    """Each trouble begins now; `judge` is told of begin and end."""

    def __init__(self, fleet: Fleet, judge: Judge, chance: random.Random) -> None:
        self.fleet, self.judge, self.chance = fleet, judge, chance
        self.said: list[str] = []

    def one(self) -> float:
        """Bring about any, and return how long (s) it lasts."""
        lasts = self.chance.choice((1.0, 3.0, 6.0, 9.0))
        kinds: list[Callable[[float], None]] = [
            self.halves,
            self.halves,
            self.region_cut,
            self.node_cut,
            self.node_cut_one_way,
            self.pair_cut,
            self.node_killed,
            self.node_wiped,
            self.node_frozen,
            self.disk_stalled,
            self.proxy_cut,
            self.proxy_frozen,
        ]
        self.chance.choice(kinds)(lasts)
        return lasts

    def halves(self, lasts: float) -> None:
        nodes = self._nodes()
        small = set(self.chance.sample(nodes, len(nodes) // 2))
        self._cut(small, set(nodes) - small, lasts, f"halves {sorted(small)}")

    def region_cut(self, lasts: float) -> None:
        nodes = self._nodes()
        region = self.chance.randrange(3)
        small = {ip for ip in nodes if (int(ip.rpartition(".")[2]) - 1) % 3 == region}
        self._cut(small, set(nodes) - small, lasts, f"region {region} cut")

    def node_cut(self, lasts: float) -> None:
        ip, nodes = self._any(), self._nodes()
        self._cut({ip}, set(nodes) - {ip}, lasts, f"{ip} cut")

    def node_cut_one_way(self, lasts: float) -> None:
        ip = self._any()
        outwards = self.chance.random() < 0.5
        links = {(ip, one) if outwards else (one, ip) for one in self._nodes() if one != ip}
        self._links(links, set(self._nodes()), lasts, f"{ip} cut one way, {'out' if outwards else 'in'}")

    def pair_cut(self, lasts: float) -> None:
        one, other = self.chance.sample(self._nodes(), 2)
        self._links({(one, other), (other, one)}, {one, other}, lasts, f"{one} cut from {other}")

    def node_killed(self, lasts: float) -> None:
        ip = self._any()
        self.fleet.kill(ip)
        self._note(lasts, f"{ip} killed", {ip}, lambda: self.fleet.start(ip))

    def node_wiped(self, lasts: float) -> None:
        ip = self._any()
        self.fleet.wipe(ip)
        self._note(lasts, f"{ip} wiped", {ip}, lambda: self.fleet.start(ip))

    def node_frozen(self, lasts: float) -> None:
        ip = self._any()
        self.fleet.freeze(ip)
        self._note(lasts, f"{ip} frozen", {ip}, lambda: self.fleet.thaw(ip))

    def disk_stalled(self, lasts: float) -> None:
        ip = self._any()
        box = self.fleet.boxes[ip]
        box.fault = "stalled"
        self._note(lasts, f"disk of {ip} stalled", {ip}, lambda: setattr(box, "fault", None))

    def proxy_cut(self, lasts: float) -> None:
        name, ip = self.chance.choice(sorted(self.fleet.fronts)), self._any()
        self._links({(name, ip), (ip, name)}, {name}, lasts, f"{name} cut from {ip}")

    def proxy_frozen(self, lasts: float) -> None:
        name = self.chance.choice(sorted(self.fleet.fronts))
        self.fleet.freeze_proxy(name)
        self._note(lasts, f"{name} frozen", {name}, lambda: self.fleet.thaw_proxy(name))

    def _nodes(self) -> list[str]:
        return sorted(ip for ip, box in self.fleet.boxes.items() if not box.gone)

    def _any(self) -> str:
        return self.chance.choice(self._nodes())

    def _cut(self, some: set[str], others: set[str], lasts: float, words: str) -> None:
        links = {(a, b) for a in some for b in others} | {(b, a) for a in some for b in others}
        self._links(links, some | others, lasts, words)

    def _links(self, links: set[tuple[str, str]], machines: set[str], lasts: float, words: str) -> None:
        self.fleet.cut |= links
        self._note(lasts, words, machines, lambda: self.fleet.cut.difference_update(links))

    def _note(self, lasts: float, words: str, machines: set[str], end: Callable[[], None]) -> None:
        self.said.append(f"{self.fleet.now / NS_PER_SECOND:.2f} s: {words} for {lasts} s")
        self.judge.disturb(*machines)

        def ended() -> None:
            end()
            self.judge.disturb(*machines)

        self.fleet.at(self.fleet.now + int(lasts * NS_PER_SECOND), ended)


def play(seed: int) -> Played:
    """One seed is one history; what is `broken` is what the rule calls so."""
    fleet = Fleet(seed, NODES, PROXIES)
    streets, chance = Streets(fleet, seed), random.Random(f"{seed} troubles")
    storm = Storm(fleet, streets, GAP_S)
    judge = Judge(fleet, storm)
    troubles = Troubles(fleet, judge, chance)
    ending = False
    with streets.loop.current():
        streets.loop.create_task(storm.begin())
    fleet.run(BEGIN_S)
    with streets.loop.current():
        streets.loop.create_task(storm.run(lambda: ending))
    fleet.run(chance.uniform(1, 3))
    lasts = 0.0
    for _ in range(chance.randrange(1, TROUBLES_MOST + 1)):
        lasts = max(lasts, troubles.one())
        pause = chance.choice((0.3, 2.0, 5.0, 8.0))
        fleet.run(pause)
        lasts -= pause
    fleet.run(max(lasts, 0.0) + CALM_S)
    ending = True
    fleet.run(1.0)
    broken = judge.broken() + fleet.failed + unready(fleet)
    longest = max(judge.longest.values(), default=0) / NS_PER_SECOND
    return Played(broken, troubles.said, len(storm.acknowledged), longest)


def unready(fleet: Fleet) -> list[str]:
    return [f"{name} is not ready" for name, front in fleet.fronts.items() if not front.server.ready]


def storm_while_cut(seed: int, apart: tuple[int, ...], lasts: float = 8.0, alone: bool = False) -> Judge:
    """These of nine control nodes (by number) are cut from the others while changes come; with `alone` from
    each other too.
    """
    fleet = Fleet(seed, NODES, PROXIES)
    streets = Streets(fleet, seed)
    storm = Storm(fleet, streets, GAP_S)
    judge = Judge(fleet, storm)
    with streets.loop.current():
        streets.loop.create_task(storm.begin())
    fleet.run(BEGIN_S)
    end = fleet.now + int((BEGIN_S + lasts + CALM_S) * NS_PER_SECOND)
    with streets.loop.current():
        streets.loop.create_task(storm.run(lambda: fleet.now > end))
    fleet.run(BEGIN_S)
    nodes = sorted(fleet.boxes)
    small = {nodes[number - 1] for number in apart}
    judge.disturb(*nodes)
    links = {
        (a, b)
        for a in nodes
        for b in nodes
        if a != b and ((a in small) != (b in small) or (alone and a in small))
    }
    fleet.cut |= links
    fleet.run(lasts)
    fleet.cut -= links
    judge.disturb(*nodes)
    fleet.run(CALM_S)
    assert not fleet.failed, fleet.failed
    return judge
