"""The threshold of expected overload follows a pool's spare capacity."""

from __future__ import annotations

from ambershift.system.distribution.overload_threshold import MAX_THRESHOLD, MIN_THRESHOLD, OverloadThreshold
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND


def threshold_at(rate: int, slots: int = 72) -> float:
    threshold = OverloadThreshold(0.6)
    for _ in range(20):
        for proxy in ("one", "two"):
            threshold.record_requests(proxy, rate // 2, NS_PER_SECOND)
        threshold.record_mean_latency(120 * NS_PER_MS)
    return threshold.update(slots)


def test_threshold_is_high_with_spare_capacity_and_lowest_in_a_full_pool() -> None:
    assert threshold_at(2) == MAX_THRESHOLD
    third = threshold_at(200)  # 24 of 72 slots in use: a zone may expect 140 % more than its share.
    assert 1.3 < third < 1.5
    assert threshold_at(560) == MIN_THRESHOLD and threshold_at(5600) == MIN_THRESHOLD


def test_a_small_change_leaves_the_threshold_and_a_removed_proxy_no_longer_counts() -> None:
    threshold = OverloadThreshold(1.4)
    threshold.record_requests("one", 201, NS_PER_SECOND)
    threshold.record_mean_latency(120 * NS_PER_MS)
    assert threshold.update(72) == 1.4  # A little less than before, by under `MIN_RELATIVE_CHANGE`.
    threshold.record_requests("two", 300, NS_PER_SECOND)
    assert threshold.update(72) == MIN_THRESHOLD
    threshold.remove_proxy("two")
    assert threshold.update(72) > 1.3
    assert OverloadThreshold(0.6).update(0) == 0.6
