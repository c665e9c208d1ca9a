"""Scripted worlds of whole control nodes, each for one guard. See `scripts_voters`."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from ambershift.system.control_api.evacuations import DISCONNECT_WAIT_S
from ambershift.system.messages.replication import MergeItems, SyncResponse
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.cluster import Cluster
from ambershift.system.simulation.judging import Judge
from ambershift.system.simulation.operator_history import OperatorHistory, Order
from ambershift.system.simulation.operators import Operator
from ambershift.system.simulation.readers import Reader
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from ambershift.system.testbed.histories import Hold

FAST = 1.009  # By 45 ms in the hold below, within the margin.
HOLD = 5.0


class OneRegion(Cluster):
    """Clocks run ahead of callers'; machines are near each other, or the time between them would hide it."""

    def steady(self, ip: str) -> int:
        return 1000 * NS_PER_SECOND + int(self.now * FAST)

    def trip(self, sender: str, to: str) -> int:
        return NS_PER_MS // 10


def _until_done(cluster: Cluster, streets: Streets, work: Coroutine[Any, Any, Any], most: float = 20) -> Any:
    with streets.loop.current():
        task = streets.loop.create_task(work)
    end = cluster.now + int(most * NS_PER_SECOND)
    while cluster.now < end and not task.done():
        cluster.run(0.05)
    return task.result()


def fast_clock() -> list[str]:
    """Machines' clocks run ahead of a holder's as far as they may; another asks all the time."""
    cluster = OneRegion(21, loss=0, count=3)
    cluster.run(2.5)
    streets, judge = Streets(cluster, 21), Judge()
    at = min(cluster.boxes)

    async def take(holder: str, hold: float) -> bool:
        wish = {"Holder": holder, "HoldMs": round(hold * 1000)}
        found = await streets.rpc("locks.initiate", "l", wish, at=at)
        if found.status == 200:
            judge.holds["l"].append(
                Hold(holder, int(found.body["fence"]), found.sent, streets.now(), found.sent + hold)
            )
        return found.status == 200

    async def both() -> bool:
        got = await take("a", HOLD)
        await asyncio.sleep(HOLD - 0.2)
        for _ in range(400):
            if await take("b", 1.0):
                return got
        return False

    assert _until_done(cluster, streets, both())
    return judge.judge()


def stale_copy() -> list[str]:
    """A machine that lags behind two orders of a zone gets the third."""
    cluster = Cluster(22, loss=0, count=3)
    cluster.run(2.5)
    streets, history = Streets(cluster, 22), OperatorHistory()
    operator, reader = Operator(streets, history), Reader(streets, history)
    first, behind, _ = sorted(cluster.boxes)
    streets.addresses = lambda: [first]  # type: ignore[method-assign]
    cluster.late = lambda sender, to, message: (
        to == behind and isinstance(message, (MergeItems, SyncResponse))
    )
    for _ in range(2):
        _until_done(cluster, streets, operator.evacuate("z1"))
    cluster.caught.clear()

    def reach_again() -> None:
        cluster.late = lambda sender, to, message: False

    # As the third order is executed; it would not lag behind for long.
    cluster.at(cluster.now + int(DISCONNECT_WAIT_S * NS_PER_SECOND), reach_again)
    streets.addresses = lambda: [behind]  # type: ignore[method-assign]
    _until_done(cluster, streets, operator.evacuate("z1"))
    assert [one.at is not None for one in history.orders["z1"]] == [True] * 3
    cluster.run(3)
    for ip in sorted(cluster.boxes):
        assert _until_done(cluster, streets, reader.look(ip))
    return history.judge()


def late_order_of_a_far_operator() -> list[str]:
    """The end of the connection comes a round trip late, and the machines are near each other."""
    return late_order(world=OneRegion)


def late_order(stopped: bool = False, world: type[Cluster] = Cluster) -> list[str]:
    """An order is held up on its way (or the process that it came to is `stopped`) with the end of its
    connection, and another one is given meanwhile.
    """
    cluster = world(23, loss=0, count=3)
    cluster.run(2.5)
    streets, history = Streets(cluster, 23), OperatorHistory()
    reader, orders = Reader(streets, history), history.orders.setdefault("z1", [])
    slow, other, _ = sorted(cluster.boxes)

    def order(ip: str, out: bool) -> bool:
        streets.addresses = lambda: [ip]  # type: ignore[method-assign]
        orders.append(Order(out, streets.now()))
        found = _until_done(
            cluster,
            streets,
            streets.rpc("evacuation.initiate" if out else "evacuation.terminate", "z1", None, 0.3),
        )
        orders[-1].at = streets.now() if found.status == 200 else None
        return bool(found.status == 200)

    if stopped:
        cluster.freeze(slow)
    else:
        cluster.boxes[slow].held_up = cluster.now + 3 * NS_PER_SECOND
    assert not order(slow, True)
    assert order(other, False)
    if stopped:
        cluster.thaw(slow)
    cluster.run(4)
    for ip in sorted(cluster.boxes):
        assert _until_done(cluster, streets, reader.look(ip))
    return history.judge()


def woken() -> list[str]:
    """A machine that stood still reads a call whose caller has had the lock at another, and gave it back."""
    cluster = Cluster(24, loss=0, count=3)
    cluster.run(2.5)
    streets = Streets(cluster, 24)
    still, other, _ = sorted(cluster.boxes)

    def ask(ip: str, name: str, body: dict[str, Any]) -> int:
        streets.addresses = lambda: [ip]  # type: ignore[method-assign]
        return int(_until_done(cluster, streets, streets.rpc(f"locks.{name}", "l", body, 0.3)).status)

    cluster.freeze(still)
    assert ask(still, "initiate", {"Holder": "a", "HoldMs": 60_000}) == 0
    assert ask(other, "initiate", {"Holder": "a", "HoldMs": 60_000}) == 200
    assert ask(other, "terminate", {"Holder": "a", "fence": 1}) == 200
    cluster.thaw(still)
    cluster.run(2)
    last = ask(other, "initiate", {"Holder": "b", "HoldMs": 1000})
    return [] if last == 200 else [f"a lock that was given back is kept from others: {last}"]
