"""Waves of drains over processes: agreements hold at each moment; nothing is drained twice or forgotten."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from ambershift.coordinator.standins.keeping import Keeper
from ambershift.coordinator.standins.rig import Rig
from tests.coordinator.group.test_processes import group, holds, title

pytestmark = pytest.mark.timeout(150)
WORK = tuple(f"s-{at}" for at in range(6))
CAPACITY, OUT_MOST = 5.0, 2


def declared(revision: int = 1) -> str:
    now = datetime.now(UTC)
    start, before = now - timedelta(hours=1), now + timedelta(hours=20)
    names = ", ".join(f'"{name}"' for name in WORK)
    return f"""
tenant "games" {{
  agreement {{
    capacity    = {CAPACITY}
    servers_out = {OUT_MOST}
  }}
}}
window "now" {{
  tenants = ["games"]
  rrule   = "FREQ=DAILY"
  start   = "{start:%Y-%m-%dT%H:%M:%S}"
  length  = "12h"
  zone    = "UTC"
}}
work "kernel" {{
  servers = [{names}]
  takes   = "1s"
  before  = "{before:%Y-%m-%dT%H:%M:%SZ}"
  at_once = 2
}}
maintenance {{
  revision = {revision}
  drain    = "20s"
}}
"""


async def waves(rig: Rig, meanwhile: Callable[[Rig, Keeper], Awaitable[None]]) -> Keeper:
    keeper = Keeper(rig.fleet, CAPACITY, OUT_MOST)
    work = asyncio.create_task(rig.work(WORK, 0.8))
    await meanwhile(rig, keeper)

    async def done() -> bool:
        return set(keeper.drains) >= set(WORK) and not rig.fleet.out()

    await rig.eventually(done, 80, "all worked at and back")
    await asyncio.wait_for(work, 1)
    assert not keeper.breaches, keeper.breaches
    assert not keeper.twice() and set(keeper.drains) == set(WORK), keeper.drains
    assert keeper.most_out == OUT_MOST  # The agreement was used, not only kept.
    return keeper


async def begun(rig: Rig, keeper: Keeper, count: int) -> None:
    async def ask() -> bool:
        return len(keeper.drains) >= count

    await rig.eventually(ask, 40, f"{count} drains begun")


@pytest.mark.parametrize("wipe", [True, False])
def test_a_wave_goes_on_through_three_changes_of_leader_and_drains_nothing_twice(
    tmp_path: Path, wipe: bool
) -> None:
    async def act(rig: Rig) -> None:
        async def changes(rig: Rig, keeper: Keeper) -> None:
            for turn in range(3):
                await begun(rig, keeper, 1 + turn * 2)
                leader = await rig.leader()
                await rig.kill(leader, wipe=wipe)
                assert await rig.leader() != leader
                await rig.start(leader)
                await rig.settled()
                rig.spread()

        await waves(rig, changes)

    group(tmp_path, act, extra=declared())


@pytest.mark.parametrize("leads", [True, False])
def test_a_member_killed_just_after_it_let_servers_in_does_not_shut_them_out_again(
    tmp_path: Path, leads: bool
) -> None:
    """What it restarts with doesn't tell yet that their permits were given back for good."""

    async def act(rig: Rig) -> None:
        async def restart(rig: Rig, keeper: Keeper) -> None:
            await begun(rig, keeper, 1)

            async def back() -> bool:
                return not rig.fleet.out()

            await rig.eventually(back, 40, "the first are let in again")
            leader = await rig.leader()
            name = leader if leads else next(one for one in rig.names if one != leader)
            await rig.kill(name)
            await rig.start(name)
            await rig.settled()
            rig.spread()

        await waves(rig, restart)

    group(tmp_path, act, extra=declared())


def test_a_wave_goes_on_after_all_members_were_restarted_in_its_middle(tmp_path: Path) -> None:
    async def act(rig: Rig) -> None:
        async def restarts(rig: Rig, keeper: Keeper) -> None:
            await begun(rig, keeper, 1)
            for name in rig.names:
                await rig.kill(name)
            await asyncio.gather(*(rig.start(name) for name in rig.names))
            await rig.settled()
            rig.spread()

        await waves(rig, restarts)

    group(tmp_path, act, extra=declared())


def test_a_leader_cut_off_in_a_wave_and_clocks_apart_break_no_agreement(tmp_path: Path) -> None:
    async def act(rig: Rig) -> None:
        async def cuts(rig: Rig, keeper: Keeper) -> None:
            await begun(rig, keeper, 1)
            leader = await rig.leader()
            rest = [name for name in rig.names if name != leader]
            rig.net.split([leader], rest)
            assert await rig.leader(rest) in rest
            await begun(rig, keeper, 2)
            rig.net.heal()
            await rig.settled()

        await waves(rig, cuts)

    group(tmp_path, act, extra=declared(), ahead=("400ms", "0s", "-300ms"))


def test_a_clock_far_apart_loses_no_promise_and_breaks_no_agreement(tmp_path: Path) -> None:
    async def act(rig: Rig) -> None:
        keeper = Keeper(rig.fleet, CAPACITY, OUT_MOST)
        for at, name in enumerate(rig.names):
            await rig.tell(name, f"set weight {title(rig, 7)} {at + 2}")
        leader = await rig.leader()
        await rig.kill(leader)
        await rig.start(leader)
        await rig.settled()
        await holds(rig, rig.names, title(rig, 7), f"weight={len(rig.names) + 1}")
        assert not keeper.breaches, keeper.breaches

    group(tmp_path, act, extra=declared(), ahead=("30s", "0s", "0s"))
