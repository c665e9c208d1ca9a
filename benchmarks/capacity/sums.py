"""The size asked for, summed from what was measured: what each role would bear, and its bound."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping, Sequence

from benchmarks.capacity.meter import shown

Measured = Mapping[str, Mapping[str, Sequence[float]]]  # Part, "name|unit": a median a size.
DAY, PROXIES, BACKENDS, SERVICES, CONTROL_NODES = 86_400, 5_600, 27_000, 740, 6
LINKS, LINKS_ONE_LOST, ZONES = PROXIES / CONTROL_NODES, PROXIES / (CONTROL_NODES - 1), 111
REQUESTS, BEATS, CHANGES, RESTARTS = 530_000 / PROXIES, BACKENDS / 1.5, 14_000 / DAY, 5_400 / DAY
POOLS_TIMES_PROXIES = (448, 4_488, 41_440)
Row = tuple[str, str, float, float | None]  # What, unit, value, bound.


def moved_share(rate: float, turns: int = 4_000) -> float:
    """The part of flows that a turn of two seconds tells anew, where `rate` requests a second come."""
    chance = random.Random(1)
    window, told, moved = deque[float](maxlen=7), 0.0, 0
    for turn in range(turns):
        window.append(max(0.0, chance.gauss(2 * rate, (2 * rate) ** 0.5)))
        now = sum(window) * 100 / (2 * len(window))
        if abs(now - told) > max(20, 0.1 * told):
            told = now
            moved += turn > 50
    return moved / (turns - 50)


class Sums:
    def __init__(self, found: Measured) -> None:
        self.found = found

    def at(self, part: str, key: str, size: int = -1) -> float:
        return self.found[part][key][size]

    def sent(self, key: str, size: int = -1) -> float:
        return self.at("messages", f"{key}|B", size)

    def slope(self, part: str, key: str, sizes: Sequence[float], goal: float) -> float:
        """Onward in a straight line from the last two sizes."""
        values = self.found[part][key]
        each = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
        return values[-1] + each * (goal - sizes[-1])

    def changes(self) -> float:
        """Bytes a second that changes make on a link: of the configuration, and of backends that restart."""
        restart = (
            2 * self.sent("cm Merge, an ending")
            + 2 * self.sent("fb Backends, one new")
            + self.sent("fb Backends, one gone")
            + 2 * (self.sent("fl Line") + self.sent("fm Mark"))
        )
        return CHANGES * self.sent("fi Items, one route") + RESTARTS * restart

    def first(self) -> float:
        """Bytes of the first words of a link, tables too."""
        return (
            self.sent("fi Items, whole") + self.sent("fb Backends, whole") + SERVICES * self.sent("fd Bind")
        )

    def proxy(self) -> list[Row]:
        at, first = self.at, self.first()
        signs, reports = 2 * self.sent("fc Cores"), self.sent("fr Report, 95 requests")
        merging = at("proxy", "hear items, whole|ms") + at("proxy", "hear backends, whole|ms")
        binding = SERVICES * at("proxy", "hear a bind|µs") / 1e3
        steady = (at("proxy", "a report of 95 requests|µs") + 2 * at("proxy", "hear a sign of life|µs")) / 1e3
        gap = BACKENDS / REQUESTS
        each = at("requests", "request on end: processor of the proxy|µs") / 1e3
        return [
            ("link, steady: signs of life", "B/s", signs, None),
            ("link, steady: reports", "B/s", reports, None),
            ("link, steady: changes of a mean day", "B/s", self.changes(), None),
            ("link, steady: sum", "B/s", signs + reports + self.changes(), 9_000),
            ("link: first words with tables", "B", first, None),
            ("link: these at 9 KB/s", "s", first / 9_000, 10),
            ("link: a zone's backends back", "B", self.sent("fb Backends, a zone new"), 90_000),
            ("processor, steady, of a core", "%", steady / 10, 3.6),
            ("processor: first words, in one go", "ms", merging + binding, 360),
            ("memory of the whole process", "MB", at("proxy", "memory: peak|MB"), 64),
            (
                "memory without interpreter and libraries",
                "MB",
                at("proxy", "memory: all|MB") - at("proxy", "memory: before|MB"),
                64,
            ),
            ("tenants as items, besides", "MB", at("tenants", "as items: memory|MB"), None),
            ("processor of a request", "ms", each, None),
            ("of a core, by requests", "%", each * REQUESTS / 10, None),
            ("added at rest, median", "ms", at("requests", "request on end: added, median|ms"), None),
            (
                "processor of a request at 95 a second",
                "ms",
                at("requests", "95 a second: processor of the proxy|µs") / 1e3,
                None,
            ),
            ("added at rest, 99 in 100", "ms", at("requests", "request on end: added, of 99 in 100|ms"), 1.4),
            # One of so many waits for another, up to a whole one: the wait that 1 in 100 exceeds.
            (
                "added at the rate asked, 99 in 100, computed",
                "ms",
                each + each * max(0.0, 1 - 0.01 / (each * REQUESTS / 1e3)),
                1.4,
            ),
            ("requests of a service at a proxy in 10 s", "number", 10 * REQUESTS / SERVICES, None),
            ("further tries these allow (0.18 of them)", "number", 1.8 * REQUESTS / SERVICES, 1),
            ("seconds between requests to one backend", "s", gap, 4),
            ("requests that need a new connection", "%", 100 * math.exp(-4 / gap), None),
            ("connections of all proxies at one backend", "number", 2 * PROXIES, 550),
        ]

    def control_node(self) -> list[Row]:
        at = self.at
        beats, ticks = BEATS / CONTROL_NODES, at("registry", "ticks of a second|ms") / 1e3
        kept, fresh = (at("requests", f"beat on a {one} connection|µs") / 1e6 for one in ("kept", "new"))
        links = self.slope("links", "processor a second, all|ms", (50, 150, 400), LINKS) / 1e3
        report = self.slope("controller", "hear a report|µs", (8, 24, 74), SERVICES) / 1e6
        pool = at("assigner", "one seat a proxy: a second of a pool|ms") / 1e3
        records = at("registry", "memory: records|MB")
        items = at("copies", "memory of all items, one of six|MB")
        pools = SERVICES * at("assigner", "one seat a proxy: memory of a pool|MB")
        plugs = self.slope("links", "memory over that without links|MB", (50, 150, 400), LINKS)
        reports = LINKS * at("registry", "15 s of a proxy's reports|KB") / 1e3
        flows = (
            self.sent("rd Delta, flows of one control node")
            * moved_share(REQUESTS * PROXIES / SERVICES / ZONES)
            / 2
            * 5
        )
        burst = LINKS_ONE_LOST - LINKS
        return [
            ("processor: beats on kept connections", "s/s", beats * kept, 1),
            ("processor: beats on new connections", "s/s", beats * fresh, 1),
            ("processor: list and directory, ticks", "s/s", ticks, 1),
            ("processor: links, signs of life, reports read", "s/s", links, 1),
            ("processor: reports to pools", "s/s", LINKS * report, 1),
            ("processor: tables of all pools", "s/s", SERVICES * pool, 1),
            ("processor: a resolution", "ms", at("requests", "a resolution|µs") / 1e3, None),
            (
                "clients that six carry at 2 s each, half a core",
                "number",
                CONTROL_NODES / at("requests", "a resolution|µs") * 1e6,
                None,
            ),
            ("memory: records of lives, proxies, flows", "MB", records, None),
            ("memory: items, registers aside", "MB", items, None),
            ("memory: links", "MB", plugs, None),
            ("memory: 15 s of reports", "MB", reports, None),
            ("memory: tables of all pools", "MB", pools, 296),
            ("bytes to the five: flows that moved", "B/s", flows, None),
            ("a change to all links, bytes", "B", LINKS * self.sent("fi Items, one route"), None),
            ("first configuration to all links", "MB", LINKS * self.sent("fi Items, whole") / 1e6, None),
            ("that at 1,000 Mbit/s", "s", LINKS * self.sent("fi Items, whole") / 125e6, 10),
            ("one lost: links that come at once", "number", burst, None),
            ("one lost: first words to these", "MB", burst * self.first() / 1e6, None),
            ("one lost: these at 1,000 Mbit/s", "s", burst * self.first() / 125e6, 10),
            (
                "one lost: made and coded",
                "s",
                burst * at("registry", "first words of each other, coded|ms") / 1e3,
                1.6,
            ),
            (
                "routes looked at again after each change",
                "s/s",
                CHANGES * at("registry", "routes looked at again|ms") / 1e3,
                1,
            ),
            ("put of a route, all six", "µs", at("copies", "put of one route, all six|µs"), None),
            (
                "changes of the configuration, all six",
                "s/s",
                CHANGES * at("copies", "put of one route, all six|µs") / 1e6,
                1,
            ),
        ]

    def instead(self) -> list[Row]:
        """Other ways: a tenth of the services a proxy, its own region in full, others in sums."""
        tenth, services = self.sent("fi Items, whole", 1), SERVICES // 10
        sums, own = services * 28 * 14, services * 36.5 / 29 * self.sent("fb Backends, whole") / BACKENDS
        region = self.at("assigner", "a proxy a region: a second of a pool|ms") / 1e3
        lines, kept = (
            services * self.sent("fd Bind") * 1.26 / 36.5,
            self.at("requests", "beat on a kept connection|µs"),
        )
        near = services * 1.26 / REQUESTS
        moved = services * 14 + 20
        return [
            ("proxy: items of a tenth of the services", "B", tenth, None),
            ("proxy: the same deflated", "B", self.sent("fi Items, whole, deflated", 1), None),
            ("proxy: own region's backends of these", "B", own, None),
            ("proxy: sums of 28 regions, 14 B each", "B", sums, None),
            ("proxy: tables of these", "B", lines, None),
            (
                "proxy: first words, deflated items",
                "B",
                self.sent("fi Items, whole, deflated", 1) + own + sums + lines,
                90_000,
            ),
            ("proxy: first words after another control node, by digests", "B", 512 + 4 * 256, 90_000),
            ("proxy: report of these pools, bad tries only, each 2 s", "B/s", moved / 2, 9_000),
            (
                "proxy: memory of items and backends of these",
                "MB",
                self.at("proxy", "memory: items|MB", 1) + self.at("proxy", "memory: backends|MB", 1),
                None,
            ),
            (
                "proxy: tenants packed, all",
                "MB",
                self.at("tenants", "packed: to be sent, and memory|MB"),
                None,
            ),
            ("proxy: further tries allowed", "number", 18 * REQUESTS / SERVICES, 1),
            ("proxy: seconds between requests to one backend", "s", near, 4),
            ("requests that need a new connection", "%", 100 * math.exp(-4 / near), None),
            ("connections of all proxies at one backend", "number", 2 * PROXIES / 29 / 10, 110),
            (
                "proxy: beats of its zone's backends, processor",
                "%",
                BACKENDS / ZONES / 1.5 / (PROXIES / ZONES) * kept / 1e4,
                3.6,
            ),
            ("node: all pools by regions, each pool at one", "s/s", SERVICES / CONTROL_NODES * region, 1),
            (
                "control node: the same with one seat a proxy",
                "s/s",
                SERVICES
                / CONTROL_NODES
                * self.at("assigner", "regions for zones, one seat a proxy: a second of a pool|ms")
                / 1e3,
                1,
            ),
            (
                "control node: memory of these",
                "MB",
                SERVICES / CONTROL_NODES * self.at("assigner", "a proxy a region: memory of a pool|MB"),
                296,
            ),
            ("control node: links of a tree, one proxy a zone, one lost", "number", ZONES / 5, None),
            ("control node: first words to these, one lost", "MB", ZONES / 30 * self.first() / 1e6, None),
            ("relay of a zone: changes to its 50 proxies", "B/s", PROXIES / ZONES * self.changes(), 9_000),
        ]


def table(title: str, rows: Sequence[Row]) -> None:
    print(f"\n## {title}\n\n| what | value | bound | over the bound by |\n| --- | --- | --- | --- |")
    for what, unit, value, bound in rows:
        least = what.startswith(("further", "proxy: further"))
        ratio = 0.0 if bound is None else bound / value if least else value / bound
        over = "" if bound is None else f"**{shown(ratio)}**" if ratio > 1 else "held"
        print(f"| {what} | {shown(value)} {unit} | {'' if bound is None else shown(bound)} | {over} |")


def tell(found: Measured) -> None:
    sums = Sums(found)
    table("Sums: a proxy", sums.proxy())
    table("Sums: a control node, one of six", sums.control_node())
    table("Sums: other ways", sums.instead())
