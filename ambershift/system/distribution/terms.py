"""The decision module's terms for pools of this system.

Their tables are small, each control node has links of its own to proxies, and cold backends are left out.
"""

from __future__ import annotations

from collections.abc import Mapping

from ambershift import interface as api
from ambershift.system.distribution.pools import Pool
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# A service has about two backends a zone, and responses from other regions cost the most: a zone may live on
# one backend, and on one of its two while the other is replaced. A proxy whose table is full sends requests
# on to its region by itself.
MIN_TABLE_BACKENDS = 0.9  # Of a zone's own table, in warm backends.
# The overload that a zone may expect, as a part of its capacity; `overload_threshold.py` changes it once
# rates and service times are known. It is under 1, so that a zone without any backend (1.0) is overloaded.
INITIAL_OVERLOAD_LIMIT = 0.95
INITIAL_OVERLOAD_CLEAR = 0.85  # Overload ends under it (hysteresis).
# The channel to the proxies, in table entries.
ENTRIES_PER_S = 3000.0
MAX_PENDING_ENTRIES = 6000.0
MESSAGE_COST = 1.0


def zone_order(zones: Mapping[str, str]) -> tuple[str, ...]:
    """Zones in the order by which all control nodes number them."""
    return tuple(sorted(zones))


def terms_for(pool: Pool, zones: Mapping[str, str]) -> api.PolicySettings:
    """The terms of one pool.

    Backends that are cold reach the decision module with weight 0, so its own handling of them is off.

    Args:
        pool: The pool.
        zones: The region of each zone.
    """
    names = zone_order(zones)
    regions = sorted(set(zones.values()))
    group = api.Group(
        budget=pool.target_ms * NS_PER_MS,
        expiry=4 * pool.target_ms * NS_PER_MS,
        utility=1.0,
        idempotency=api.Idempotency.RETRIABLE,
        dedup_everywhere=True,
        dedup_window=0,
    )
    return api.PolicySettings(
        zones=len(names),
        groups=(group,),
        must_watch=False,
        notification_deadline=10 * NS_PER_SECOND,
        grace=NS_PER_SECOND // 5,
        only_draining_binds=False,
        cold=0,
        cold_share=1.0,
        collapse_multiple=4.0,
        blackhole_limit=4 * NS_PER_SECOND,
        lines_per_s=ENTRIES_PER_S,
        message_overhead=MESSAGE_COST,
        queue_limit=MAX_PENDING_ENTRIES,
        message_limit=0,
        message_window=10 * NS_PER_SECOND,
        propagation_delay=NS_PER_SECOND // 20,
        max_propagation_delay=NS_PER_SECOND // 5,
        report_period=NS_PER_SECOND,
        admission_mode="silent",
        slices=0,
        single_owner=False,
        in_flight_time=NS_PER_SECOND,
        lease=NS_PER_SECOND,
        avoidance_failures=5,
        # A zone isn't split into parts, since other control nodes would split the same proxies differently.
        expected_proxies=1.0,
        min_partition_capacity=MIN_TABLE_BACKENDS,
        overload_limit=INITIAL_OVERLOAD_LIMIT,
        overload_calm=INITIAL_OVERLOAD_CLEAR,
        regions=tuple(regions.index(zones[name]) for name in names),
    )
