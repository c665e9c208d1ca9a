"""A proxy's choice of the control node that it is attached to, without sockets."""

import itertools

import pytest

from ambershift.system.messages.proxy_link import ControlNodeAddress, ControlNodeHeartbeat
from ambershift.system.node_selection.selector import (
    NEARER,
    NEWER,
    PENALTY,
    SEARCH_LEAST,
    SEARCH_MOST,
    SILENT,
    Choice,
    current_for,
)
from ambershift.system.settings.process_settings import TimerBounds
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

CORES = (
    ControlNodeAddress("c1", "z1", "r1"),
    ControlNodeAddress("c2", "z2", "r1"),
    ControlNodeAddress("c3", "z3", "r2"),
    ControlNodeAddress("c4", "z4", "r2"),
)


def choice(name: str = "proxy", seeds: tuple[str, ...] = ("c3",)) -> Choice:
    return Choice(name, "z1", "r1", seeds)


def sign(
    age_ms: int = 0, cores: tuple[ControlNodeAddress, ...] = CORES, in_touch: bool = True
) -> ControlNodeHeartbeat:
    return ControlNodeHeartbeat(cores, in_touch, 1, age_ms)


def test_nearest_node_is_first_and_equally_near_nodes_are_spread_over_proxies() -> None:
    one = choice(seeds=("c9", "c3"))
    assert set(one.candidates(0)) == {"c9", "c3"}  # Only the seeds are known at a start.
    one.up(0, "c3")
    one.hear(0, sign())
    assert one.candidates(0)[:2] == ["c1", "c2"] and one.candidates(0)[-1] == "c9"
    proxies = [choice(f"proxy-{at}") for at in range(30)]
    for proxy in proxies:
        proxy.hear(0, sign())
    assert {proxy.candidates(0)[2] for proxy in proxies} == {"c3", "c4"}


def test_silent_node_is_given_up_and_tried_last_until_its_penalty_ends() -> None:
    one = choice()
    one.hear(0, sign())
    one.up(0, "c1")
    one.alive(SILENT)  # Any message resets the time-out.
    assert not one.silent(2 * SILENT) and one.silent(2 * SILENT + 1)
    one.fail(2 * SILENT + 1, "c1")
    assert one.linked is None and not one.silent(10 * NS_PER_SECOND)
    assert one.candidates(2 * SILENT + 1)[0] == "c2" and one.candidates(2 * SILENT + 1)[-1] == "c1"
    assert one.candidates(2 * SILENT + 1 + PENALTY)[0] == "c1"


def test_link_turns_stale_at_the_limit_and_fresh_with_a_newer_proof() -> None:
    one = choice()
    one.up(0, "c1")
    one.hear(0, sign(200))
    end = one.current_for - 200 * NS_PER_MS
    assert not one.stale(end) and one.stale(end + 1)
    assert not one.search(end)
    one.hear(
        end, sign(one.current_for // NS_PER_MS + 400)
    )  # A stale node's heartbeat doesn't lower what was proved before.
    assert one.proved == -200 * NS_PER_MS and one.stale(end + 1)
    assert one.search(end + 1)
    now = end + 1
    assert not one.newer(
        now, sign((now + 200 * NS_PER_MS - NEWER) // NS_PER_MS + 1)
    )  # Newer by too little to change nodes.
    assert one.newer(now, sign((now + 200 * NS_PER_MS - NEWER) // NS_PER_MS - 1))
    one.hear(now, sign(0))  # The node is fresh again before another one was found.
    assert not one.stale(now) and not one.search(now)


def test_searches_back_off_until_the_configuration_is_fresh() -> None:
    one = choice()
    one.up(0, "c1")
    times = [now * NS_PER_MS for now in range(0, 30_000, 10) if one.search(now * NS_PER_MS)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert gaps[0] == SEARCH_LEAST and gaps[-1] == SEARCH_MOST and gaps == sorted(gaps)
    one.hear(30 * NS_PER_SECOND, sign(0))
    later = 30 * NS_PER_SECOND + one.current_for + SEARCH_MOST
    assert one.search(later) and one.search(later + SEARCH_LEAST)


def test_search_alternates_between_own_and_other_regions() -> None:
    one = choice(seeds=("c9",))
    one.up(0, "c1")
    one.hear(0, sign(cores=(*CORES, ControlNodeAddress("c5", "z5", "r1"))))
    order = one.search_order(0)
    assert sorted(order) == ["c2", "c3", "c4", "c5", "c9"]
    assert [ip in ("c2", "c5") for ip in order] == [True, False, True, False, False]


@pytest.mark.parametrize("apply", [2.0, 2.5, 3.0, 5.0])
def test_time_to_another_node_is_within_the_bound_on_changes(apply: float) -> None:
    """The sum of the budget of `node_selection/selector.py`, with the times of a slow network."""
    look, dial, told, items = 0.1, 4 * 0.05, 2 * 0.05, 0.4
    bounds = TimerBounds(config_apply=apply, drain=9, evacuation=9)
    spread = {current_for(f"front-{at}", bounds) for at in range(99)}
    assert len(spread) > 20 or apply == 2.0  # Proxies don't search all at once, if the bound allows.
    assert max(spread) / NS_PER_SECOND + look + dial + told + items < apply
    assert min(spread) >= NS_PER_SECOND  # Proofs are 0.7 s old without load, 0.9 s during many changes.
    assert (
        current_for("a", TimerBounds(config_apply=9, drain=apply, evacuation=9)) <= apply * NS_PER_SECOND / 2
    )


def test_closer_node_is_dialled_once_the_link_has_been_up_long_enough() -> None:
    one = choice()
    one.up(0, "c3")
    one.hear(0, sign())
    assert one.nearer(NEARER - 1) is None and one.nearer(NEARER) == "c1"
    one.up(NEARER, "c1")
    assert one.nearer(3 * NEARER) is None
    far = choice()
    far.hear(0, sign(cores=CORES[2:]))
    far.up(0, "c3")
    assert far.nearer(2 * NEARER) is None  # c4 isn't nearer: no changing back and forth.


def test_new_seeds_replace_old_ones_but_listed_nodes_stay() -> None:
    one = choice(seeds=("old",))
    one.hear(0, sign())
    one.reseed(["new"])
    assert set(one.candidates(0)) == {"c1", "c2", "c3", "c4", "new"}
    one.hear(1, sign(cores=()))  # An unchanged list is sent empty.
    assert len(one.candidates(1)) == 5
