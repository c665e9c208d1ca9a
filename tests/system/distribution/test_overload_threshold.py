"""The threshold of expected overload follows what a pool has to spare."""

from __future__ import annotations

from ambershift.system.distribution.overload_threshold import MAX_THRESHOLD, MIN_THRESHOLD, OverloadThreshold
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND


def strained(rate: int, slots: int = 72) -> float:
    strain = OverloadThreshold(0.6)
    for _ in range(20):
        for proxy in ("one", "two"):
            strain.record_requests(proxy, rate // 2, NS_PER_SECOND)
        strain.record_mean_latency(120 * NS_PER_MS)
    return strain.update(slots)


def test_a_pool_at_rest_bears_rounding_and_a_full_one_none() -> None:
    assert strained(2) == MAX_THRESHOLD
    third = strained(200)  # 24 of 72 slots at work: a zone may expect 140 % more than its part.
    assert 1.3 < third < 1.5
    assert strained(560) == MIN_THRESHOLD and strained(5600) == MIN_THRESHOLD


def test_a_small_move_leaves_the_threshold_and_a_lost_proxy_counts_no_more() -> None:
    strain = OverloadThreshold(1.4)
    strain.record_requests("one", 201, NS_PER_SECOND)
    strain.record_mean_latency(120 * NS_PER_MS)
    assert strain.update(72) == 1.4  # A little less: within a step of what it was.
    strain.record_requests("two", 300, NS_PER_SECOND)
    assert strain.update(72) == MIN_THRESHOLD
    strain.remove_proxy("two")
    assert strain.update(72) > 1.3
    assert OverloadThreshold(0.6).update(0) == 0.6
