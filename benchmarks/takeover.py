"""Measures the first ten seconds after a take-over: `python -m benchmarks.takeover [--quick]`, from the root.

Two coordinators over the same servers in virtual time. One steers for half a minute; some
servers fail every try, others start anew shortly before it ends; two seconds later its proxies join the
other, whose list tells of the starts only later. With heard state, and in the same run without.
"""

from __future__ import annotations

import argparse
import random
import statistics
from multiprocessing import Pool
from typing import NamedTuple

from ambershift import interface as api
from ambershift.coordinator.group.observation_exchange import ObservationExchange
from ambershift.coordinator.replication.gossip.messages import Message, decode, encode
from ambershift.coordinator.replication.gossip.store import GossipStore
from tests.support.operator_model import OperatedModel
from tests.support.policy_model import S, entry, make_terms

RATE = 10.0  # Flows a second of each proxy.
DELAY = S // 5  # Of a word between members.
SLACK = 1.25  # What a server gets over its part of all is no push, as zones differ and ill ones are out.


class Numbered:
    """Names by number; `shift` parts the indices of two coordinators."""

    def __init__(self, zones: int, shift: int = 0) -> None:
        self.zones, self.shift = zones, shift

    def server(self, index: int) -> str | None:
        return f"s{index - self.shift}"

    def index(self, server: str) -> int | None:
        return int(server[1:]) + self.shift

    def zone(self, index: int) -> str | None:
        return f"z{index}" if 0 <= index < self.zones else None

    def zone_index(self, zone: str) -> int | None:
        return int(zone[1:])


class Side(OperatedModel):
    def __init__(
        self, terms: api.PolicySettings, servers: list[api.Entry], store: GossipStore, use: bool, now: int
    ) -> None:
        self.learned = ObservationExchange(store, Numbered(terms.zones), terms.cold, now)
        self.store, self.use = store, use
        super().__init__(terms, servers, now)

    def tell(self, *events: api.Event) -> list[api.Order]:
        if not self.use:
            return super().tell(*events)
        own = self.learned.process_events(self.now, events)
        given = [event for event in events if not any(event is one for one in own)]
        told = [
            self.learned.process_list(self.now, event) if isinstance(event, api.Listed) else event
            for event in own
        ]
        return super().tell(*told, *given)


class Outcome(NamedTuple):
    """Over ten seconds: flows that failed, those beyond what cold servers stand, and all."""

    failed: int
    pushed: float
    flows: int


class Takeover:
    """`ill` of the servers fail every try; `cold` of them start anew within the last seconds, and the list
    that tells of it reaches the one that takes over only `lag` after the take-over.
    """

    def __init__(
        self,
        seed: int,
        use: bool,
        servers: int = 40,
        proxies: int = 16,
        ill: int = 4,
        cold: int = 6,
        lag: int = 8 * S,
    ) -> None:
        self.rng, self.lag = random.Random(seed), lag
        lines = max(1000.0, proxies * servers / 4)  # A channel that binds all within seconds.
        self.terms = make_terms(
            zones=2, cold=20 * S, cold_share=0.2, message_limit=0, lines_per_s=lines, queue_limit=5 * lines
        )
        entries = [entry(i, i % 2) for i in range(servers)]
        chosen = self.rng.sample(range(servers), ill + cold)
        self.ill, self.cold = set(chosen[:ill]), dict.fromkeys(chosen[ill:], 0)
        self.now = 100 * S
        self.sides = [Side(self.terms, entries, GossipStore(name, 1), use, self.now) for name in ("a", "b")]
        self.proxies, self.way = proxies, list[tuple[int, int, bytes]]()
        self.outcome = Outcome(0, 0.0, 0)

    def send(self, to: int, messages: list[Message]) -> None:
        self.way += [(self.now + DELAY, to, encode(message)) for message in messages]

    def exchange(self, alive: list[Side]) -> None:
        for at, side in enumerate(self.sides):
            if side in alive:
                self.send(1 - at, [side.store.digest()])
        for _ in range(4):
            due = [one for one in self.way if one[0] <= self.now]
            self.way = [one for one in self.way if one[0] > self.now]
            for _, to, data in due:
                if self.sides[to] in alive:
                    answers, news = self.sides[to].store.receive(self.now, decode(data))
                    self.sides[to].learned.process_records(self.now, news)
                    self.send(1 - to, answers)

    def reports(self, side: Side, count: bool) -> list[api.Event]:
        """A second of flows by the tables that the proxies hold."""
        events, met = list[api.Event](), dict[tuple[int, int], int]()
        expected = dict[int, float]()
        for proxy, tables in side.proxies.items():
            lines = {one: side.tables[tables[0]][one] for one in side.reached(tables[0])} if tables else {}
            came, total = int(RATE), sum(lines.values())
            for server in self.rng.choices(list(lines), list(lines.values()), k=came) if lines else ():
                met[proxy % 2, server] = met.get((proxy % 2, server), 0) + 1
            for server, weight in lines.items():
                expected[server] = expected.get(server, 0.0) + came * weight / total
            events.append(api.DemandReport(proxy, 0, came, 0, S))
        for (zone, server), tries in met.items():
            bad = tries if server in self.ill else 0
            events.append(api.ServerReport(zone, server, tries, bad, 50_000_000, S, ()))
        if count:
            self.count(side, met, expected)
        return events

    def count(self, side: Side, met: dict[tuple[int, int], int], expected: dict[int, float]) -> None:
        failed, pushed, flows = self.outcome
        each = self.proxies * RATE / sum(one.weight for one in side.listed.values())
        for server, at in self.cold.items():
            part = min(1.0, 0.2 + 0.8 * (side.now - at) / self.terms.cold)
            stands = SLACK * part * each * side.listed[server].weight
            pushed += max(0.0, expected.get(server, 0.0) - stands)
        failed += sum(tries for (_, server), tries in met.items() if server in self.ill)
        self.outcome = Outcome(failed, pushed, flows + sum(met.values()))

    def second(self, alive: list[Side], count: bool = False, extra: tuple[api.Event, ...] = ()) -> None:
        self.now += S
        self.exchange(alive)
        for side in alive:
            heard = (
                side.learned.exchange(side.now, side.controller.view(side.now).data_plane) if side.use else []
            )
            side.run(S, *self.reports(side, count), *heard, *extra)
            side.now = self.now

    def play(self) -> Outcome:
        a, b = self.sides
        a.tell(*[api.Joined(proxy, proxy % 2, RATE, True) for proxy in range(self.proxies)])
        for at in range(30):
            if at >= 24:  # They start anew one after the other; only the one that steers hears of it in time.
                for server in list(self.cold)[(at - 24) :: 6]:
                    self.cold[server] = a.now
                    a.tell(api.Listed(False, False, (entry(server, server % 2, since=a.now),)))
            self.second([a, b])
        for _ in range(2):  # Nobody steers until the first is found to be gone.
            self.second([b])
        joined = tuple(api.Joined(proxy, proxy % 2, RATE, False) for proxy in range(self.proxies))
        b.tell(*joined)
        for at in range(10):
            late = tuple(entry(server, server % 2, since=since) for server, since in self.cold.items())
            fresh = (api.Listed(False, False, late),) if at * S == self.lag else ()
            self.second([b], True, fresh)
        return self.outcome


# Servers, proxies, ill ones, those that start anew, and how late the list is.
SCENES = {
    "40 servers, 4 ill, 6 cold": (40, 16, 4, 6, 8 * S),
    "nothing wrong": (40, 16, 0, 0, 8 * S),
    "ill only": (40, 16, 6, 0, 8 * S),
    "cold only": (40, 16, 0, 10, 8 * S),
    "cold, the list in time": (40, 16, 0, 10, 0),
    "120 servers, 12 ill, 18 cold": (120, 40, 12, 18, 8 * S),
    "400 servers, 40 ill, 60 cold": (400, 120, 40, 60, 8 * S),
}


def play(given: tuple[str, int, bool]) -> Outcome:
    name, seed, use = given
    return Takeover(seed, use, *SCENES[name]).play()


def shown(found: list[float]) -> str:
    return f"{statistics.fmean(found):.1f} ({min(found):.0f} to {max(found):.0f})"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="two seeds, small scenes")
    parser.add_argument("--seeds", type=int, default=12)
    parser.add_argument("--workers", type=int, default=4)
    given = parser.parse_args()
    seeds = range(2 if given.quick else given.seeds)
    print(
        "| scene | flows | failed tries without | with | beyond what cold servers stand, without | with |\n"
        + "| --- " * 6
        + "|"
    )
    with Pool(given.workers) as pool:
        for name, scene in SCENES.items():
            if given.quick and scene[0] > 40:
                continue
            found = [pool.map(play, [(name, seed, use) for seed in seeds]) for use in (False, True)]
            cells = [
                shown([getattr(one, field) for one in arm]) for field in ("failed", "pushed") for arm in found
            ]
            print(f"| {name} | {found[0][0].flows} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
