"""The decision module's terms for pools of this system: small tables, our own channel, no cold servers."""

from __future__ import annotations

from collections.abc import Mapping

from ambershift import interface as api
from ambershift.system.distribution.pools import Pool
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# A service has about two backends a zone, and answers from other regions are the dearest price: a zone may
# live on one backend, and on one of its two while the other is replaced. A proxy whose table is full goes on
# to its region by itself. Under 1, so that a zone that got none counts as over. This is where the threshold
# begins; `strain` moves it once rates and times are known.
WORTH_LEAST, OVERLOAD_LIMIT, OVERLOAD_CALM = 0.9, 0.95, 0.85
LINES_PER_S, WAITING_MOST, MESSAGE_COST = 3000.0, 6000.0, 1.0


def zones_of(zones: Mapping[str, str]) -> tuple[str, ...]:
    """Zones in the order that all control nodes number them by."""
    return tuple(sorted(zones))


def terms_for(pool: Pool, zones: Mapping[str, str]) -> api.PolicySettings:
    """`zones`: the region of each zone. Cold backends are kept out before the module sees them."""
    names, regions = zones_of(zones), sorted(set(zones.values()))
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
        lines_per_s=LINES_PER_S,
        message_overhead=MESSAGE_COST,
        queue_limit=WAITING_MOST,
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
        # Of a zone one part only: another control node would part the same proxies another way.
        expected_proxies=1.0,
        min_partition_capacity=WORTH_LEAST,
        overload_limit=OVERLOAD_LIMIT,
        overload_calm=OVERLOAD_CALM,
        regions=tuple(regions.index(zones[name]) for name in names),
    )
