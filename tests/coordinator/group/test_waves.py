"""Waves of drains over processes: agreements hold throughout, and each server is drained exactly once."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from ambershift.coordinator.standins.keeping import Keeper
from ambershift.coordinator.standins.rig import Rig
from tests.coordinator.group.test_processes import await_wish, run_group, server_name

pytestmark = pytest.mark.timeout(150)
WORK = tuple(f"s-{at}" for at in range(6))
CAPACITY, MAX_SERVERS_OUT = 5.0, 2


def maintenance_settings(revision: int = 1) -> str:
    now = datetime.now(UTC)
    start, before = now - timedelta(hours=1), now + timedelta(hours=20)
    names = ", ".join(f'"{name}"' for name in WORK)
    return f"""
tenant "games" {{
  agreement {{
    capacity    = {CAPACITY}
    servers_out = {MAX_SERVERS_OUT}
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


async def run_waves(rig: Rig, meanwhile: Callable[[Rig, Keeper], Awaitable[None]]) -> Keeper:
    keeper = Keeper(rig.fleet, CAPACITY, MAX_SERVERS_OUT)
    work = asyncio.create_task(rig.work(WORK, 0.8))
    await meanwhile(rig, keeper)

    async def done() -> bool:
        return set(keeper.drains) >= set(WORK) and not rig.fleet.out()

    await rig.eventually(done, 80, "all servers maintained and back in service")
    await asyncio.wait_for(work, 1)
    assert not keeper.breaches, keeper.breaches
    assert not keeper.twice() and set(keeper.drains) == set(WORK), keeper.drains
    assert keeper.most_out == MAX_SERVERS_OUT  # The agreement was used to its limit.
    return keeper


async def await_drains(rig: Rig, keeper: Keeper, count: int) -> None:
    async def ask() -> bool:
        return len(keeper.drains) >= count

    await rig.eventually(ask, 40, f"{count} drains started")


@pytest.mark.parametrize("wipe", [True, False])
def test_a_wave_goes_on_through_three_changes_of_leader_and_drains_no_server_twice(
    tmp_path: Path, wipe: bool
) -> None:
    async def scenario(rig: Rig) -> None:
        async def changes(rig: Rig, keeper: Keeper) -> None:
            for turn in range(3):
                await await_drains(rig, keeper, 1 + turn * 2)
                leader = await rig.leader()
                await rig.kill(leader, wipe=wipe)
                assert await rig.leader() != leader
                await rig.start(leader)
                await rig.settled()
                rig.spread()

        await run_waves(rig, changes)

    run_group(tmp_path, scenario, extra=maintenance_settings())


@pytest.mark.parametrize("leads", [True, False])
def test_a_member_killed_after_it_let_servers_in_does_not_shut_them_out_again(
    tmp_path: Path, leads: bool
) -> None:
    """The state that it restarts with doesn't have the return of their permits as committed yet."""

    async def scenario(rig: Rig) -> None:
        async def restart(rig: Rig, keeper: Keeper) -> None:
            await await_drains(rig, keeper, 1)

            async def back() -> bool:
                return not rig.fleet.out()

            await rig.eventually(back, 40, "the first servers let in again")
            leader = await rig.leader()
            name = leader if leads else next(one for one in rig.names if one != leader)
            await rig.kill(name)
            await rig.start(name)
            await rig.settled()
            rig.spread()

        await run_waves(rig, restart)

    run_group(tmp_path, scenario, extra=maintenance_settings())


def test_a_wave_goes_on_after_all_members_are_restarted(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        async def restarts(rig: Rig, keeper: Keeper) -> None:
            await await_drains(rig, keeper, 1)
            for name in rig.names:
                await rig.kill(name)
            await asyncio.gather(*(rig.start(name) for name in rig.names))
            await rig.settled()
            rig.spread()

        await run_waves(rig, restarts)

    run_group(tmp_path, scenario, extra=maintenance_settings())


def test_a_partitioned_leader_and_skewed_clocks_break_no_agreement(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        async def cuts(rig: Rig, keeper: Keeper) -> None:
            await await_drains(rig, keeper, 1)
            leader = await rig.leader()
            rest = [name for name in rig.names if name != leader]
            rig.net.split([leader], rest)
            assert await rig.leader(rest) in rest
            await await_drains(rig, keeper, 2)
            rig.net.heal()
            await rig.settled()

        await run_waves(rig, cuts)

    run_group(tmp_path, scenario, extra=maintenance_settings(), ahead=("400ms", "0s", "-300ms"))


def test_a_clock_far_off_loses_no_command_and_breaks_no_agreement(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        keeper = Keeper(rig.fleet, CAPACITY, MAX_SERVERS_OUT)
        for at, name in enumerate(rig.names):
            await rig.tell(name, f"set weight {server_name(rig, 7)} {at + 2}")
        leader = await rig.leader()
        await rig.kill(leader)
        await rig.start(leader)
        await rig.settled()
        await await_wish(rig, rig.names, server_name(rig, 7), f"weight={len(rig.names) + 1}")
        assert not keeper.breaches, keeper.breaches

    run_group(tmp_path, scenario, extra=maintenance_settings(), ahead=("30s", "0s", "0s"))
