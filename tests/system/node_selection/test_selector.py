"""A proxy's selection of the control node that it is attached to, without sockets."""

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

CONTROL_NODES = (
    ControlNodeAddress("c1", "z1", "r1"),
    ControlNodeAddress("c2", "z2", "r1"),
    ControlNodeAddress("c3", "z3", "r2"),
    ControlNodeAddress("c4", "z4", "r2"),
)


def new_selector(name: str = "proxy", seeds: tuple[str, ...] = ("c3",)) -> ControlNodeSelector:
    return ControlNodeSelector(name, "z1", "r1", seeds)


def heartbeat(
    staleness_ms: int = 0,
    control_nodes: tuple[ControlNodeAddress, ...] = CONTROL_NODES,
    has_quorum_contact: bool = True,
) -> ControlNodeHeartbeat:
    return ControlNodeHeartbeat(control_nodes, has_quorum_contact, 1, staleness_ms)


def test_nearest_node_is_first_and_equally_near_nodes_are_spread_over_proxies() -> None:
    selector = new_selector(seeds=("c9", "c3"))
    assert set(selector.candidates(0)) == {"c9", "c3"}  # Only the seeds are known at a start.
    selector.record_link_up(0, "c3")
    selector.record_heartbeat(0, heartbeat())
    assert selector.candidates(0)[:2] == ["c1", "c2"] and selector.candidates(0)[-1] == "c9"
    proxies = [new_selector(f"proxy-{at}") for at in range(30)]
    for proxy in proxies:
        proxy.record_heartbeat(0, heartbeat())
    assert {proxy.candidates(0)[2] for proxy in proxies} == {"c3", "c4"}


def test_silent_node_is_abandoned_and_tried_last_until_its_penalty_ends() -> None:
    selector = new_selector()
    selector.record_heartbeat(0, heartbeat())
    selector.record_link_up(0, "c1")
    selector.record_message(LINK_TIMEOUT_NS)  # Any message resets the time-out.
    assert not selector.is_link_silent(2 * LINK_TIMEOUT_NS) and selector.is_link_silent(
        2 * LINK_TIMEOUT_NS + 1
    )
    selector.record_failure(2 * LINK_TIMEOUT_NS + 1, "c1")
    assert selector.linked_ip is None and not selector.is_link_silent(10 * NS_PER_SECOND)
    failed_at = 2 * LINK_TIMEOUT_NS + 1
    assert selector.candidates(failed_at)[0] == "c2" and selector.candidates(failed_at)[-1] == "c1"
    assert selector.candidates(failed_at + FAILURE_PENALTY_NS)[0] == "c1"


def test_link_turns_stale_at_the_limit_and_fresh_with_a_newer_proof() -> None:
    selector = new_selector()
    selector.record_link_up(0, "c1")
    selector.record_heartbeat(0, heartbeat(200))
    fresh_until = selector.max_configuration_age_ns - 200 * NS_PER_MS
    assert not selector.is_stale(fresh_until) and selector.is_stale(fresh_until + 1)
    assert not selector.begin_search_if_due(fresh_until)
    # A stale node's heartbeat doesn't take back what was proven before.
    selector.record_heartbeat(fresh_until, heartbeat(selector.max_configuration_age_ns // NS_PER_MS + 400))
    assert selector.proven_as_of == -200 * NS_PER_MS and selector.is_stale(fresh_until + 1)
    assert selector.begin_search_if_due(fresh_until + 1)
    now = fresh_until + 1
    sufficient_ms = (now + 200 * NS_PER_MS - MIN_PROOF_GAIN_NS) // NS_PER_MS
    assert not selector.has_newer_proof(now, heartbeat(sufficient_ms + 1))  # Newer by too little.
    assert selector.has_newer_proof(now, heartbeat(sufficient_ms - 1))
    selector.record_heartbeat(now, heartbeat(0))  # The node is fresh again before another one was found.
    assert not selector.is_stale(now) and not selector.begin_search_if_due(now)


def test_searches_back_off_until_the_configuration_is_fresh() -> None:
    selector = new_selector()
    selector.record_link_up(0, "c1")
    times = [now * NS_PER_MS for now in range(0, 30_000, 10) if selector.begin_search_if_due(now * NS_PER_MS)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert gaps[0] == MIN_SEARCH_BACKOFF_NS and gaps[-1] == MAX_SEARCH_BACKOFF_NS and gaps == sorted(gaps)
    selector.record_heartbeat(30 * NS_PER_SECOND, heartbeat(0))
    later = 30 * NS_PER_SECOND + selector.max_configuration_age_ns + MAX_SEARCH_BACKOFF_NS
    assert selector.begin_search_if_due(later) and selector.begin_search_if_due(later + MIN_SEARCH_BACKOFF_NS)


def test_search_alternates_between_own_and_other_regions() -> None:
    selector = new_selector(seeds=("c9",))
    selector.record_link_up(0, "c1")
    selector.record_heartbeat(
        0, heartbeat(control_nodes=(*CONTROL_NODES, ControlNodeAddress("c5", "z5", "r1")))
    )
    order = selector.search_order(0)
    assert sorted(order) == ["c2", "c3", "c4", "c5", "c9"]
    assert [ip in ("c2", "c5") for ip in order] == [True, False, True, False, False]


@pytest.mark.parametrize("apply", [2.0, 2.5, 3.0, 5.0])
def test_time_to_another_node_is_within_the_bound_on_changes(apply: float) -> None:
    """The sum of the budget of `node_selection/selector.py`, with the times of a slow network."""
    check, dial, hello, items = 0.1, 4 * 0.05, 2 * 0.05, 0.4  # Seconds.
    bounds = TimerBounds(config_apply=apply, drain=9, evacuation=9)
    age_limits = {max_configuration_age_ns(f"front-{at}", bounds) for at in range(99)}
    assert len(age_limits) > 20 or apply == 2.0  # Proxies search at different times, if the bound allows.
    assert max(age_limits) / NS_PER_SECOND + check + dial + hello + items < apply
    assert min(age_limits) >= NS_PER_SECOND  # Proofs are 0.7 s old without load, 0.9 s during many changes.
    assert (
        max_configuration_age_ns("a", TimerBounds(config_apply=9, drain=apply, evacuation=9))
        <= apply * NS_PER_SECOND / 2
    )


def test_nearer_node_is_dialled_once_the_link_has_been_up_long_enough() -> None:
    selector = new_selector()
    selector.record_link_up(0, "c3")
    selector.record_heartbeat(0, heartbeat())
    assert (
        selector.nearer_candidate(MIN_LINK_AGE_NS - 1) is None
        and selector.nearer_candidate(MIN_LINK_AGE_NS) == "c1"
    )
    selector.record_link_up(MIN_LINK_AGE_NS, "c1")
    assert selector.nearer_candidate(3 * MIN_LINK_AGE_NS) is None
    linked_to_c3 = new_selector()
    linked_to_c3.record_heartbeat(0, heartbeat(control_nodes=CONTROL_NODES[2:]))
    linked_to_c3.record_link_up(0, "c3")
    assert linked_to_c3.nearer_candidate(2 * MIN_LINK_AGE_NS) is None  # c4 isn't nearer than c3.


def test_new_seeds_replace_old_ones_but_listed_nodes_stay() -> None:
    selector = new_selector(seeds=("old",))
    selector.record_heartbeat(0, heartbeat())
    selector.set_seeds(["new"])
    assert set(selector.candidates(0)) == {"c1", "c2", "c3", "c4", "new"}
    selector.record_heartbeat(1, heartbeat(control_nodes=()))  # An unchanged list is sent empty.
    assert len(selector.candidates(1)) == 5
