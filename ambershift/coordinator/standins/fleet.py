"""Stand-in proxies and servers: proxies apply orders and send flows; servers count what they get and when."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from ambershift.coordinator.standins.relay import Relay

TICK = 0.05
EVERY = "*"


class Flow(NamedTuple):
    at: float
    proxy: int
    group: str
    cold: bool


class Server:
    """Keeps what came to it, from whom and when."""

    def __init__(self, name: str, zone: str, cold_for: float) -> None:
        self.name, self.zone, self.cold_for = name, zone, cold_for
        self.flows = list[Flow]()
        self.started = -1e9

    @property
    def warm_at(self) -> float:
        return self.started + self.cold_for

    def take(self, at: float, proxy: int, group: str) -> None:
        self.flows.append(Flow(at, proxy, group, at < self.warm_at))

    def since(self, at: float) -> list[Flow]:
        return [flow for flow in self.flows if flow.at >= at]


class Shut(NamedTuple):
    """A proxy shut a server out, or let it in again."""

    at: float
    proxy: int
    server: str
    out: bool


class Proxy:
    """What one proxy holds. It goes on with that, whatever becomes of the coordinator that told it."""

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.member = ""  # Whose relay it is joined to; "" while it is joined to none.
        self.fresh = True
        self.bound = dict[str, tuple[str, str]]()  # Whose table, as each coordinator numbers its own.
        self.lines = defaultdict[str, dict[str, float]](dict)
        self.shut = set[str]()

    @property
    def steered(self) -> bool:
        """The coordinator that it is joined to has bound it."""
        return bool(self.bound) and all(of == self.member for of, _ in self.bound.values())

    def has(self, server: str) -> bool:
        return any(lines.get(server) for lines in self.lines.values())

    def uses(self, server: str) -> bool:
        return server not in self.shut and self.has(server)

    def pick(self, group: str, chance: random.Random) -> str | None:
        lines = {
            name: weight for name, weight in self.lines[group].items() if name not in self.shut and weight > 0
        }
        return chance.choices(list(lines), list(lines.values()))[0] if lines else None


class Fleet:
    """All proxies and servers of the rig, and which coordinator steers which proxy."""

    def __init__(
        self,
        zones: Iterable[str],
        groups: Iterable[str],
        servers: Iterable[dict[str, Any]],
        proxies: int,
        cold_for: float,
        rate: float,
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self.zones, self.groups, self.now = list(zones), list(groups), now
        self.proxies = [Proxy(at, self.zones[at % len(self.zones)]) for at in range(proxies)]
        self.servers = {one["id"]: Server(one["id"], one["zone"], cold_for) for one in servers}
        self.relays = dict[str, Relay]()
        self.tables = defaultdict[tuple[str, str], dict[str, float]](dict)
        self.withdrawn = defaultdict[str, set[str]](set)  # By member: its word to all proxies that it binds.
        self.shuts, self.orders = list[Shut](), list[tuple[float, str, str]]()
        self.chance, self.rate = random.Random(seed), rate
        self.bare = 0
        self.tried = Counter[tuple[str, str]]()  # By zone and server, for the collectors; by proxy beside it.
        self.watchers = list[Callable[[], None]]()  # Told after each shut or let in.

    def add(self, member: str, relay: Relay) -> None:
        self.relays[member] = relay

        def carried(orders: list[str], joined: list[int], after: float) -> None:
            self.orders += [(self.now(), member, order) for order in orders]
            asyncio.get_running_loop().call_later(after, self.apply, member, orders, joined)

        relay.watchers.append(carried)

    def apply(self, member: str, orders: list[str], joined: list[int]) -> None:
        """What was ordered reaches those who were joined then and still are."""
        users = [proxy for proxy in self.proxies if proxy.member == member and proxy.number in joined]
        for order in orders:
            kind, *words = order.split(",")
            match kind:
                case "put" | "wipe":
                    self.line(member, words, users)
                case "attach":
                    for proxy in users:
                        if proxy.number == int(words[0]):
                            for group in self.groups if words[2] == EVERY else words[2].split("+"):
                                proxy.bound[group] = member, words[1]
                                proxy.lines[group] = dict(self.tables[member, words[1]])
                            # From here on it follows this coordinator's withdrawals alone.
                            # Who was shut out and is in none of its lines is as far away as before.
                            for server in proxy.shut | self.withdrawn[member]:
                                self.shut(
                                    proxy, server, server in self.withdrawn[member] or not proxy.has(server)
                                )
                            proxy.fresh = False
                case "eject" | "uneject":
                    held = self.withdrawn[member]
                    (held.add if kind == "eject" else held.discard)(words[0])
                    for proxy in users:
                        self.shut(proxy, words[0], kind == "eject")

    def line(self, member: str, words: list[str], users: list[Proxy]) -> None:
        tables = [words[0]] if words[0] != EVERY else [at for of, at in self.tables if of == member]
        for table in tables:
            key = member, table
            held = [
                self.tables[key],
                *(proxy.lines[group] for proxy in users for group, at in proxy.bound.items() if at == key),
            ]
            for lines in held:
                if len(words) == 1:
                    lines.clear()
                else:
                    lines[words[1]] = float(words[2])
        for proxy in users if len(words) > 1 and float(words[2]) else ():
            if words[1] in proxy.shut - self.withdrawn[member] and proxy.has(words[1]):
                self.shut(proxy, words[1], False)

    def shut(self, proxy: Proxy, server: str, out: bool) -> None:
        if out != (server in proxy.shut):
            (proxy.shut.add if out else proxy.shut.discard)(server)
            self.shuts.append(Shut(self.now(), proxy.number, server, out))
            for watcher in self.watchers:
                watcher()

    def move(self, proxy: Proxy, member: str) -> None:
        """Its stream breaks where it is, and comes up at another coordinator; "" for nowhere yet."""
        if proxy.member:
            self.relays[proxy.member].news(f"bye {proxy.number}")
        proxy.member = member
        if member:
            self.relays[member].news(f"hello {proxy.number} {proxy.zone} 10 {int(proxy.fresh)}")

    def died(self, member: str) -> None:
        """Its tables and withdrawals are lost; proxies go on with what they hold."""
        self.withdrawn.pop(member, None)
        for key in [key for key in self.tables if key[0] == member]:
            del self.tables[key]
        for proxy in self.proxies:
            if proxy.member == member:
                self.relays[member].news(f"bye {proxy.number}")

    def take_over(self, gone: str, living: list[str]) -> None:
        """The proxies of a coordinator that died go to the others in turn."""
        for at, proxy in enumerate(one for one in self.proxies if one.member == gone):
            self.move(proxy, living[at % len(living)] if living else "")

    def out(self) -> set[str]:
        """The servers that any proxy shuts out now."""
        return {server for proxy in self.proxies for server in proxy.shut}

    def unused(self, server: str) -> bool:
        """No proxy can send there: shut out, or in none of the tables that it was given."""
        return not any(proxy.uses(server) for proxy in self.proxies)

    def tick(self, span: float) -> None:
        for proxy in self.proxies:
            for group in self.groups:
                if self.chance.random() >= self.rate * span:
                    continue
                server = proxy.pick(group, self.chance)
                if server is None or server not in self.servers:
                    self.bare += bool(proxy.bound)
                    continue
                self.servers[server].take(self.now(), proxy.number, group)
                self.tried[proxy.zone, server] += 1

    async def send(self) -> None:
        """Flows, until cancelled. What a busy machine makes late is made up for."""
        last = self.now()
        while True:
            await asyncio.sleep(TICK)
            now = self.now()
            self.tick(min(1.0, now - last))
            last = now

    def let_in(self, server: str, since: float) -> list[Shut]:
        """Proxies that let it in again after that: a drain that stands must not end so, nor come twice."""
        return [one for one in self.shuts if one.server == server and not one.out and one.at >= since]
