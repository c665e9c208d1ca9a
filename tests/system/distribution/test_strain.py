"""The threshold of expected overload follows what a pool has to spare."""

from __future__ import annotations

from ambershift.system.distribution.strain import LEAST, MOST, Strain
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND


def strained(rate: int, slots: int = 72) -> float:
    strain = Strain(0.6)
    for _ in range(20):
        for proxy in ("one", "two"):
            strain.came(proxy, rate // 2, NS_PER_SECOND)
        strain.took(120 * NS_PER_MS)
    return strain.overload(slots)


def test_a_pool_at_rest_bears_rounding_and_a_full_one_none() -> None:
    assert strained(2) == MOST
    third = strained(200)  # 24 of 72 slots at work: a zone may expect 140 % more than its part.
    assert 1.3 < third < 1.5
    assert strained(560) == LEAST and strained(5600) == LEAST


def test_a_small_move_leaves_the_threshold_and_a_lost_proxy_counts_no_more() -> None:
    strain = Strain(1.4)
    strain.came("one", 201, NS_PER_SECOND)
    strain.took(120 * NS_PER_MS)
    assert strain.overload(72) == 1.4  # A little less: within a step of what it was.
    strain.came("two", 300, NS_PER_SECOND)
    assert strain.overload(72) == LEAST
    strain.leave("two")
    assert strain.overload(72) > 1.3
    assert Strain(0.6).overload(0) == 0.6
