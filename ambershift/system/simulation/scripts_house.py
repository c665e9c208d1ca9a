"""Scripted worlds of whole control nodes, each for one guard. See `scripts_voters`."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from ambershift.system.messages.copies import Merge, Share
from ambershift.system.simulation.calling import Streets
from ambershift.system.simulation.house import House
from ambershift.system.simulation.judging import Judge
from ambershift.system.simulation.operator_history import OperatorHistory, Order
from ambershift.system.simulation.operators import Operator
from ambershift.system.simulation.readers import Reader
from ambershift.system.steps import MS, SECOND
from ambershift.system.testbed.histories import Hold

FAST = 1.009  # By 45 ms in the hold below, within the margin.
HOLD = 5.0


class OneRegion(House):
    """Clocks run ahead of callers'; machines are near each other, or the time between them would hide it."""

    def steady(self, ip: str) -> int:
        return 1000 * SECOND + int(self.now * FAST)

    def trip(self, sender: str, to: str) -> int:
        return MS // 10


def _until_done(house: House, streets: Streets, work: Coroutine[Any, Any, Any], most: float = 20) -> Any:
    with streets.loop.current():
        task = streets.loop.create_task(work)
    end = house.now + int(most * SECOND)
    while house.now < end and not task.done():
        house.run(0.05)
    return task.result()


def fast_clock() -> list[str]:
    """Machines' clocks run ahead of a holder's as far as they may; another asks all the time."""
    house = OneRegion(21, loss=0, count=3)
    house.run(2.5)
    streets, judge = Streets(house, 21), Judge()
    at = min(house.boxes)

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

    assert _until_done(house, streets, both())
    return judge.judge()


def stale_copy() -> list[str]:
    """A machine that lags behind two orders of a zone gets the third."""
    house = House(22, loss=0, count=3)
    house.run(2.5)
    streets, history = Streets(house, 22), OperatorHistory()
    operator, reader = Operator(streets, history), Reader(streets, history)
    first, behind, _ = sorted(house.boxes)
    streets.addresses = lambda: [first]  # type: ignore[method-assign]
    house.late = lambda sender, to, message: to == behind and isinstance(message, (Merge, Share))
    for _ in range(2):
        _until_done(house, streets, operator.evacuate("z1"))
    house.caught.clear()
    house.late = lambda sender, to, message: False
    streets.addresses = lambda: [behind]  # type: ignore[method-assign]
    _until_done(house, streets, operator.evacuate("z1"))
    assert [one.at is not None for one in history.orders["z1"]] == [True] * 3
    house.run(3)
    for ip in sorted(house.boxes):
        assert _until_done(house, streets, reader.look(ip))
    return history.judge()


def late_order(stopped: bool = False) -> list[str]:
    """An order is held up on its way (or the process that it came to is `stopped`) with the end of its
    connection, and another one is given meanwhile."""
    house = House(23, loss=0, count=3)
    house.run(2.5)
    streets, history = Streets(house, 23), OperatorHistory()
    reader, orders = Reader(streets, history), history.orders.setdefault("z1", [])
    slow, other, _ = sorted(house.boxes)

    def order(ip: str, out: bool) -> bool:
        streets.addresses = lambda: [ip]  # type: ignore[method-assign]
        orders.append(Order(out, streets.now()))
        found = _until_done(
            house,
            streets,
            streets.rpc("evacuation.initiate" if out else "evacuation.terminate", "z1", None, 0.3),
        )
        orders[-1].at = streets.now() if found.status == 200 else None
        return bool(found.status == 200)

    if stopped:
        house.freeze(slow)
    else:
        house.boxes[slow].held_up = house.now + 3 * SECOND
    assert not order(slow, True) and order(other, False)
    if stopped:
        house.thaw(slow)
    house.run(4)
    for ip in sorted(house.boxes):
        assert _until_done(house, streets, reader.look(ip))
    return history.judge()


def woken() -> list[str]:
    """A machine that stood still reads a call whose caller has had the lock at another, and gave it back."""
    house = House(24, loss=0, count=3)
    house.run(2.5)
    streets = Streets(house, 24)
    still, other, _ = sorted(house.boxes)

    def ask(ip: str, name: str, body: dict[str, Any]) -> int:
        streets.addresses = lambda: [ip]  # type: ignore[method-assign]
        return int(_until_done(house, streets, streets.rpc(f"locks.{name}", "l", body, 0.3)).status)

    house.freeze(still)
    assert ask(still, "initiate", {"Holder": "a", "HoldMs": 60_000}) == 0
    assert ask(other, "initiate", {"Holder": "a", "HoldMs": 60_000}) == 200
    assert ask(other, "terminate", {"Holder": "a", "fence": 1}) == 200
    house.thaw(still)
    house.run(2)
    last = ask(other, "initiate", {"Holder": "b", "HoldMs": 1000})
    return [] if last == 200 else [f"a lock that was given back is kept from others: {last}"]
