"""Picks a backend for one attempt: the better of two drawn from the bound table, or a search beyond it."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Collection, Mapping
from random import Random

from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.backend_view import BackendPool, Tier

# At most this share of a pool is avoided for failures: when all seem to fail, none is avoided.
MAX_AVOIDED_SHARE = 1 / 3

# Whether a cold backend may get a request at that time.
MaySendCold = Callable[[BackendInstance, int], bool]


def pick(
    pool: BackendPool,
    now: int,
    tried: Collection[BackendInstance],
    random: Random,
    may_send_cold: MaySendCold,
    time_left_ns: int,
) -> BackendInstance | None:
    """Pick the backend for the next attempt of a request.

    Args:
        pool: The backends to choose among.
        now: The monotonic time, in ns.
        tried: Those that the request was sent to already.
        random: The source of random numbers.
        may_send_cold: Whether a cold backend may get a request now.
        time_left_ns: How long the response may take if all backends have queues.

    Returns:
        None where no backend may be used, or all are overloaded.
    """
    table_tier = pool.table_tier
    if table_tier.instances:
        first, second = _draw(table_tier, random), _draw(table_tier, random)
        if _is_good(first, now, tried) and _is_good(second, now, tried):
            return _less_loaded(first, second, table_tier)
    return _search(pool, now, tried, random, may_send_cold, time_left_ns)


def _is_good(instance: BackendInstance, now: int, tried: Collection[BackendInstance]) -> bool:
    return (
        instance.is_eligible(now)
        and now >= instance.cold_until
        and not instance.is_full(now)
        and not instance.is_avoided(now)
        and instance not in tried
    )


def _draw(tier: Tier, random: Random) -> BackendInstance:
    """Draw an instance by weight."""
    index = bisect_right(tier.cumulative_weights, random.random() * tier.cumulative_weights[-1])
    return tier.instances[min(index, len(tier.instances) - 1)]


def _less_loaded(first: BackendInstance, second: BackendInstance, tier: Tier) -> BackendInstance:
    """Return the one with fewer requests in flight for each unit of weight."""
    if first.in_flight == second.in_flight == 0:
        return first
    weights = tier.weights
    return second if second.in_flight * weights[first] < first.in_flight * weights[second] else first


def _search(
    pool: BackendPool,
    now: int,
    tried: Collection[BackendInstance],
    random: Random,
    may_send_cold: MaySendCold,
    time_left_ns: int,
) -> BackendInstance | None:
    """Look at all instances, which takes longer.

    The table comes before the region, and the region before the whole pool; instances with a free slot come
    before those with a queue, and these before avoided ones.
    """
    eligible = [instance for instance in pool.all_tier.instances if instance.is_eligible(now)]
    untried = [instance for instance in eligible if instance not in tried]
    warm = {instance for instance in untried if now >= instance.cold_until}
    avoided = _limit_avoided(pool, {instance for instance in warm if instance.is_avoided(now)})
    usable = {instance for instance in warm - avoided if not instance.is_overloaded()}
    free = {instance for instance in usable if not instance.is_full(now)}
    waits = {instance: instance.expected_wait_ns(now) for instance in usable}
    # Traffic to another region is expensive: a short queue at home is better than a free slot there.
    with_short_queue = {
        instance
        for instance in usable
        if 2 * (waits[instance] + instance.unqueued_response_ns) <= time_left_ns
    }
    in_time = {
        instance
        for instance in usable
        if waits[instance]
        <= max(time_left_ns - instance.unqueued_response_ns, instance.unqueued_response_ns // 2)
    }
    home_tiers = (pool.table_tier, pool.region_tier)
    picked = (
        _pick_less_loaded(home_tiers, free, random)
        or _pick_shorter_wait(home_tiers, with_short_queue, waits, random)
        or _pick_less_loaded((pool.all_tier,), free, random)
    )
    # Cold instances are used only while less than half of the slots are warm.
    if picked is None and 2 * _warm_slots(eligible, now) < sum(instance.slots for instance in eligible):
        cold = (instance for instance in untried if instance not in warm and not instance.is_overloaded())
        picked = next((instance for instance in cold if may_send_cold(instance, now)), None)
    return (
        picked
        or _pick_shorter_wait((pool.all_tier,), in_time, waits, random)
        or _pick_less_loaded(
            (pool.region_tier, pool.all_tier),
            {instance for instance in avoided if not instance.is_overloaded()},
            random,
        )
    )


def _limit_avoided(pool: BackendPool, avoided: set[BackendInstance]) -> set[BackendInstance]:
    """Return the worst of them, at most `MAX_AVOIDED_SHARE` of the pool."""
    limit = MAX_AVOIDED_SHARE * len(pool.all_tier.instances)
    if len(avoided) <= limit:
        return avoided
    worst_first = sorted(
        avoided, key=lambda instance: (-instance.backoff_ns, -instance.backoff_until, instance.id)
    )
    return set(worst_first[: int(limit)])


def _pick_shorter_wait(
    tiers: tuple[Tier, ...],
    allowed: Collection[BackendInstance],
    waits: Mapping[BackendInstance, int],
    random: Random,
) -> BackendInstance | None:
    """Return the one with the shorter wait of two drawn from the first tier that has some of the allowed.

    All proxies see the same queues: if each took the shortest, all would send there at the same time.
    """
    for tier in tiers if allowed else ():
        candidates = [instance for instance in tier.instances if instance in allowed]
        if candidates:
            return min(random.choices(candidates, k=2), key=waits.__getitem__)
    return None


def _warm_slots(instances: list[BackendInstance], now: int) -> int:
    return sum(instance.slots for instance in instances if now >= instance.cold_until)


def _pick_less_loaded(
    tiers: tuple[Tier, ...], allowed: Collection[BackendInstance], random: Random
) -> BackendInstance | None:
    """Return the less loaded of two drawn from the first tier that has some of the allowed."""
    for tier in tiers if allowed else ():
        narrowed = Tier(
            (instance, weight) for instance, weight in tier.weights.items() if instance in allowed
        )
        if narrowed.instances:
            return _less_loaded(_draw(narrowed, random), _draw(narrowed, random), narrowed)
    return None
