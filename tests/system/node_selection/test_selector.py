"""A proxy's choice of the control node that it is attached to, without sockets."""

import itertools

import pytest

from ambershift.system.messages.proxy_link import ControlNodeAddress, ControlNodeHeartbeat
from ambershift.system.node_selection.selector import (
    FAILURE_PENALTY_NS,
    LINK_TIMEOUT_NS,
    MAX_SEARCH_BACKOFF_NS,
    MIN_LINK_AGE_NS,
    MIN_PROOF_GAIN_NS,
    MIN_SEARCH_BACKOFF_NS,
    ControlNodeSelector,
    max_configuration_age_ns,
)
from ambershift.system.settings.process_settings import TimerBounds
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

CORES = (
    ControlNodeAddress("c1", "z1", "r1"),
    ControlNodeAddress("c2", "z2", "r1"),
    ControlNodeAddress("c3", "z3", "r2"),
    ControlNodeAddress("c4", "z4", "r2"),
)


def choice(name: str = "proxy", seeds: tuple[str, ...] = ("c3",)) -> ControlNodeSelector:
    return ControlNodeSelector(name, "z1", "r1", seeds)


def sign(
    age_ms: int = 0, cores: tuple[ControlNodeAddress, ...] = CORES, in_touch: bool = True
) -> ControlNodeHeartbeat:
    return ControlNodeHeartbeat(cores, in_touch, 1, age_ms)


def test_nearest_node_is_first_and_equally_near_nodes_are_spread_over_proxies() -> None:
    one = choice(seeds=("c9", "c3"))
    assert set(one.candidates(0)) == {"c9", "c3"}  # Only the seeds are known at a start.
    one.record_link_up(0, "c3")
    one.record_heartbeat(0, sign())
    assert one.candidates(0)[:2] == ["c1", "c2"] and one.candidates(0)[-1] == "c9"
    proxies = [choice(f"proxy-{at}") for at in range(30)]
    for proxy in proxies:
        proxy.record_heartbeat(0, sign())
    assert {proxy.candidates(0)[2] for proxy in proxies} == {"c3", "c4"}


def test_silent_node_is_given_up_and_tried_last_until_its_penalty_ends() -> None:
    one = choice()
    one.record_heartbeat(0, sign())
    one.record_link_up(0, "c1")
    one.record_message(LINK_TIMEOUT_NS)  # Any message resets the time-out.
    assert not one.is_link_silent(2 * LINK_TIMEOUT_NS) and one.is_link_silent(2 * LINK_TIMEOUT_NS + 1)
    one.record_failure(2 * LINK_TIMEOUT_NS + 1, "c1")
    assert one.linked_ip is None and not one.is_link_silent(10 * NS_PER_SECOND)
    assert (
        one.candidates(2 * LINK_TIMEOUT_NS + 1)[0] == "c2"
        and one.candidates(2 * LINK_TIMEOUT_NS + 1)[-1] == "c1"
    )
    assert one.candidates(2 * LINK_TIMEOUT_NS + 1 + FAILURE_PENALTY_NS)[0] == "c1"


def test_link_turns_stale_at_the_limit_and_fresh_with_a_newer_proof() -> None:
    one = choice()
    one.record_link_up(0, "c1")
    one.record_heartbeat(0, sign(200))
    end = one.max_configuration_age_ns - 200 * NS_PER_MS
    assert not one.is_stale(end) and one.is_stale(end + 1)
    assert not one.begin_search_if_due(end)
    one.record_heartbeat(
        end, sign(one.max_configuration_age_ns // NS_PER_MS + 400)
    )  # A stale node's heartbeat doesn't lower what was proved before.
    assert one.proven_as_of == -200 * NS_PER_MS and one.is_stale(end + 1)
    assert one.begin_search_if_due(end + 1)
    now = end + 1
    assert not one.has_newer_proof(
        now, sign((now + 200 * NS_PER_MS - MIN_PROOF_GAIN_NS) // NS_PER_MS + 1)
    )  # Newer by too little to change nodes.
    assert one.has_newer_proof(now, sign((now + 200 * NS_PER_MS - MIN_PROOF_GAIN_NS) // NS_PER_MS - 1))
    one.record_heartbeat(now, sign(0))  # The node is fresh again before another one was found.
    assert not one.is_stale(now) and not one.begin_search_if_due(now)


def test_searches_back_off_until_the_configuration_is_fresh() -> None:
    one = choice()
    one.record_link_up(0, "c1")
    times = [now * NS_PER_MS for now in range(0, 30_000, 10) if one.begin_search_if_due(now * NS_PER_MS)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert gaps[0] == MIN_SEARCH_BACKOFF_NS and gaps[-1] == MAX_SEARCH_BACKOFF_NS and gaps == sorted(gaps)
    one.record_heartbeat(30 * NS_PER_SECOND, sign(0))
    later = 30 * NS_PER_SECOND + one.max_configuration_age_ns + MAX_SEARCH_BACKOFF_NS
    assert one.begin_search_if_due(later) and one.begin_search_if_due(later + MIN_SEARCH_BACKOFF_NS)


def test_search_alternates_between_own_and_other_regions() -> None:
    one = choice(seeds=("c9",))
    one.record_link_up(0, "c1")
    one.record_heartbeat(0, sign(cores=(*CORES, ControlNodeAddress("c5", "z5", "r1"))))
    order = one.search_order(0)
    assert sorted(order) == ["c2", "c3", "c4", "c5", "c9"]
    assert [ip in ("c2", "c5") for ip in order] == [True, False, True, False, False]


@pytest.mark.parametrize("apply", [2.0, 2.5, 3.0, 5.0])
def test_time_to_another_node_is_within_the_bound_on_changes(apply: float) -> None:
    """The sum of the budget of `node_selection/selector.py`, with the times of a slow network."""
    look, dial, told, items = 0.1, 4 * 0.05, 2 * 0.05, 0.4
    bounds = TimerBounds(config_apply=apply, drain=9, evacuation=9)
    spread = {max_configuration_age_ns(f"front-{at}", bounds) for at in range(99)}
    assert len(spread) > 20 or apply == 2.0  # Proxies don't search all at once, if the bound allows.
    assert max(spread) / NS_PER_SECOND + look + dial + told + items < apply
    assert min(spread) >= NS_PER_SECOND  # Proofs are 0.7 s old without load, 0.9 s during many changes.
    assert (
        max_configuration_age_ns("a", TimerBounds(config_apply=9, drain=apply, evacuation=9))
        <= apply * NS_PER_SECOND / 2
    )


def test_closer_node_is_dialled_once_the_link_has_been_up_long_enough() -> None:
    one = choice()
    one.record_link_up(0, "c3")
    one.record_heartbeat(0, sign())
    assert one.nearer_candidate(MIN_LINK_AGE_NS - 1) is None and one.nearer_candidate(MIN_LINK_AGE_NS) == "c1"
    one.record_link_up(MIN_LINK_AGE_NS, "c1")
    assert one.nearer_candidate(3 * MIN_LINK_AGE_NS) is None
    far = choice()
    far.record_heartbeat(0, sign(cores=CORES[2:]))
    far.record_link_up(0, "c3")
    assert far.nearer_candidate(2 * MIN_LINK_AGE_NS) is None  # c4 isn't nearer: no changing back and forth.


def test_new_seeds_replace_old_ones_but_listed_nodes_stay() -> None:
    one = choice(seeds=("old",))
    one.record_heartbeat(0, sign())
    one.set_seeds(["new"])
    assert set(one.candidates(0)) == {"c1", "c2", "c3", "c4", "new"}
    one.record_heartbeat(1, sign(cores=()))  # An unchanged list is sent empty.
    assert len(one.candidates(1)) == 5
