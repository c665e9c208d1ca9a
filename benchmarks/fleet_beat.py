"""Measures what a tick costs and orders in large fleets: `python -m benchmarks.fleet_beat [--quick]`.

Run it from the root. An older version of the decision module (`--old`, a commit of this repository) runs in
the same process on events drawn alike. A simple model of the channel carries the orders out: a coordinator's
proxies join in one turn, servers and proxies are reported on, and after half of the time a tenth of the
servers is replaced.
"""

from __future__ import annotations

import argparse
import importlib
import io
import json
import random
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
OLD = "1c4e2ca"
SECOND = 1_000_000_000  # Times are ns.
TICK = 100_000_000
LINES_PER_S = 1200.0
MESSAGE_OVERHEAD = 3.0  # Lines.
# Names that types of the interface had at older commits.
FORMER_NAMES = {
    "Started": "Born",
    "ServerReport": "Met",
    "DemandReport": "Usage",
    "TimerFired": "Due",
    "SetWeight": "Share",
    "PolicySettings": "Terms",
    "Idempotency": "Repeat",
}


def unpack(revision: str, place: str) -> None:
    """Put the package as it was at a commit into a folder.

    Raises:
        SystemExit: This checkout has no such commit.
    """
    command = ["git", "archive", revision, "ambershift"]
    try:
        done = subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
    except (subprocess.CalledProcessError, FileNotFoundError):
        raise SystemExit(f"{revision}: this checkout holds no such commit") from None
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as file:
        file.extractall(place, filter="data")


def module_at(revision: str | None) -> tuple[Any, Any]:
    """Return the decision module and its interface, as they are here or as they were at a commit."""
    for name in [name for name in sys.modules if name.split(".")[0] == "ambershift"]:
        del sys.modules[name]
    place = str(ROOT)
    if revision:
        place = tempfile.mkdtemp()
        unpack(revision, place)
    sys.path.insert(0, place)
    try:
        policy = importlib.import_module("ambershift.policy")
        interface = importlib.import_module("ambershift.interface")
    finally:
        sys.path.remove(place)
    for name, former in FORMER_NAMES.items():
        if not hasattr(interface, name):
            setattr(interface, name, getattr(interface, former))
    return policy, interface


class Channel:
    """Counts lines as the platform does, and answers marks once the lines before them are sent."""

    def __init__(self, api: Any) -> None:
        self.api = api
        self.tables, self.bound = dict[int, set[int]](), dict[int, int]()
        self.lines, self.lines_sent = 0.0, 0.0
        self.waiting = list[tuple[float, Any]]()

    def carry(self, orders: list[Any]) -> None:
        """Carry out the orders of a step."""
        api, cost, marks = self.api, dict[int, int](), list[int]()
        users = dict[int, list[int]]()
        for proxy, table in self.bound.items():
            users.setdefault(table, []).append(proxy)
        for order in orders:
            if isinstance(order, api.SetWeight):
                held = self.tables.setdefault(order.table, set())
                (held.add if order.weight else held.discard)(order.server)
                receivers = users.get(order.table, [])
            elif isinstance(order, api.Level):
                receivers = users.get(order.table, [])
            elif isinstance(order, api.Withdraw):
                receivers = [
                    proxy for proxy, table in self.bound.items() if order.server in self.tables[table]
                ]
            elif isinstance(order, api.Bind):
                self.bound[order.proxy] = order.table
                cost[order.proxy] = cost.get(order.proxy, 0) + 3 + len(self.tables.get(order.table, ()))
                continue
            else:
                if isinstance(order, api.Mark):
                    marks.append(order.mark)
                continue
            for proxy in receivers:
                cost[proxy] = cost.get(proxy, 0) + 1
        for proxy, count in cost.items():
            self.lines += MESSAGE_OVERHEAD + count + len(marks)
            self.waiting += [(self.lines, api.Applied(mark, 0, proxy)) for mark in marks]

    def answers(self) -> list[Any]:
        """Let a tick pass; returns the answers to marks that come in it."""
        self.lines_sent = min(self.lines, self.lines_sent + LINES_PER_S * TICK / SECOND)
        done = [one for at, one in self.waiting if at <= self.lines_sent]
        self.waiting = self.waiting[len(done) :]
        return done


def play(revision: str | None, proxies: int, servers: int, seconds: int) -> dict[str, float]:
    """Run one version with a fleet for some virtual time; returns the measurements."""
    policy, api = module_at(revision)
    rng, module, channel = random.Random(5), policy.TableManager(), Channel(api)
    group = api.Group(600_000_000, 2 * SECOND, 1.0, api.Idempotency.RETRIABLE, True, 0)
    terms = {
        "zones": 4,
        "groups": (group,),
        "must_watch": False,
        "notification_deadline": 10 * SECOND,
        "grace": 30 * SECOND,
        "only_draining_binds": False,
        "cold": 17 * SECOND,
        "cold_share": 0.22,
        "collapse_multiple": 4.0,
        "blackhole_limit": 45 * SECOND,
        "lines_per_s": LINES_PER_S,
        "message_overhead": MESSAGE_OVERHEAD,
        "queue_limit": 30_000.0,
        "message_limit": 0,
        "message_window": 10 * SECOND,
        "propagation_delay": 300_000_000,
        "max_propagation_delay": 800_000_000,
        "report_period": SECOND,
        "admission_mode": "fraction",
        "slices": 0,
        "single_owner": False,
        "in_flight_time": SECOND,
        "lease": SECOND,
        "avoidance_failures": 5,
        "expected_proxies": proxies,
    }
    now, costs = 100 * SECOND, list[float]()

    def step(*events: Any) -> None:
        started = time.process_time()
        orders = module.step(now, events)
        costs.append(time.process_time() - started)
        channel.carry(orders)

    def entry(index: int, phase: Any, since: int = 0) -> Any:
        return api.Entry(index, index % 4, phase, 1.0, since)

    step(
        api.Started(7, api.PolicySettings(*list(terms.values())[: len(api.PolicySettings._fields)])),
        api.Listed(True, True, tuple(entry(index, api.Phase.READY) for index in range(servers))),
    )
    step(*[api.Joined(proxy, proxy % 4, 1.0 + proxy % 7, True) for proxy in range(proxies)])
    first = costs.pop()
    live, bound_at = list(range(servers)), 0.0
    for tick in range(seconds * 10):
        now += TICK
        events = channel.answers()
        events += [
            api.ServerReport(
                rng.randrange(4),
                rng.choice(live),
                4,
                rng.random() < 0.02,
                110_000_000,
                2 * SECOND,
                (),
            )
            for _ in range(20)
        ]
        events += [
            api.DemandReport(rng.randrange(proxies), 0, rng.randrange(6), 0, SECOND) for _ in range(10)
        ]
        if tick == seconds * 5:
            gone, new = live[: servers // 10], range(servers, servers + servers // 10)
            live = [*live[servers // 10 :], *new]
            events.append(
                api.Listed(
                    False,
                    False,
                    (
                        *[entry(one, api.Phase.DRAINING) for one in gone],
                        *[entry(one, api.Phase.READY, now) for one in new],
                    ),
                )
            )
        step(*events, api.TimerFired(module.token))
        if not bound_at and len(channel.bound) == proxies:
            bound_at = (tick + 1) / 10
    costs.sort()
    return {
        "proxies": proxies,
        "servers": servers,
        "joining_ms": first * 1e3,
        "beat_ms": statistics.median(costs) * 1e3,
        "p99_ms": costs[int(len(costs) * 0.99)] * 1e3,
        "bound": len(channel.bound) / proxies,
        "bound_s": bound_at,
        "lines_a_proxy": channel.lines / proxies,
    }


def main() -> int:
    """Run the measurement; returns the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, epilog="example: python -m benchmarks.fleet_beat --quick"
    )
    parser.add_argument("--old", default=OLD, help="the commit to compare with")
    parser.add_argument("--quick", action="store_true", help="100 and 1,000 proxies, 10 s of virtual time")
    parser.add_argument("--json", action="store_true", help="one JSON object a row")
    asked = parser.parse_args()
    sizes = [(100, 25), (1000, 125)] + [(10_000, 1250)] * (not asked.quick)
    seconds = 10 if asked.quick else 30
    if not asked.json:
        print("form  proxies servers  joining ms  beat ms  p99 ms  bound  all bound after s  lines a proxy")
    for proxies, servers in sizes:
        for form, revision in (("old", asked.old), ("new", None)):
            row = play(revision, proxies, servers, seconds)
            if asked.json:
                print(json.dumps({"form": form, **row}), flush=True)
            else:
                print(
                    f"{form:5} {proxies:7} {servers:7} {row['joining_ms']:11.1f} {row['beat_ms']:8.2f} "
                    f"{row['p99_ms']:7.1f} {row['bound']:6.2f} {row['bound_s'] or float('nan'):18.1f} "
                    f"{row['lines_a_proxy']:14.1f}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
