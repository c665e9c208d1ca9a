"""Picks a backend for one attempt: two weighted choices inside the bound table, and what to do beyond it."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Collection, Mapping
from random import Random

from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.backend_view import Pool, Tier

# Of a pool, at most this share is passed over after failures: when all seem to fail, none is avoided.
RESTING_MOST = 1 / 3

ColdMay = Callable[[Life, int], bool]


def pick(
    pool: Pool, now: int, tried: Collection[Life], chance: Random, cold: ColdMay, left: int
) -> Life | None:
    """The backend for the next attempt of a request that was sent to `tried`, if one may be used
    and isn't overloaded. `cold` says whether a cold backend may get one request now; `left` is how long,
    ns, the answer may take if all have queues.
    """
    listed = pool.listed
    if listed.lives:
        one, other = _draw(listed, chance), _draw(listed, chance)
        if _good(one, now, tried) and _good(other, now, tried):
            return _lighter(one, other, listed)
    return _search(pool, now, tried, chance, cold, left)


def _good(life: Life, now: int, tried: Collection[Life]) -> bool:
    return (
        life.open(now)
        and now >= life.cold_until
        and not life.full(now)
        and not life.resting(now)
        and life not in tried
    )


def _draw(tier: Tier, chance: Random) -> Life:
    at = bisect_right(tier.sums, chance.random() * tier.sums[-1])
    return tier.lives[min(at, len(tier.lives) - 1)]


def _lighter(one: Life, other: Life, tier: Tier) -> Life:
    """Drawn by weight already, so what is compared is requests in flight for each part of the weight."""
    if one.flying == other.flying == 0:
        return one
    weights = tier.weights
    return other if other.flying * weights[one] < one.flying * weights[other] else one


def _search(
    pool: Pool, now: int, tried: Collection[Life], chance: Random, cold: ColdMay, left: int
) -> Life | None:
    """The slow way, over all: the table, then the region, then the whole pool; those with a slot before those
    with a queue, and these before those that rest.
    """
    here = [life for life in pool.all.lives if life.open(now)]
    usable = [life for life in here if life not in tried]
    warm = {life for life in usable if now >= life.cold_until}
    resting = {life for life in warm if life.resting(now)}
    if len(resting) > RESTING_MOST * len(pool.all.lives):
        worst = sorted(resting, key=lambda life: (-life.pause, -life.paused_until, life.id))
        resting = set(worst[: int(RESTING_MOST * len(pool.all.lives))])
    sound = {life for life in warm - resting if not life.choked()}
    free = {life for life in sound if not life.full(now)}
    waits = {life: life.wait(now) for life in sound}
    # Another region's bytes are dear: a short queue at home is better than a free slot there.
    brief = {life for life in sound if 2 * (waits[life] + life.work) <= left}
    bearing = {life for life in sound if waits[life] <= max(left - life.work, life.work // 2)}
    home = (pool.listed, pool.near)
    found = (
        _best(home, free, chance) or _shortest(home, brief, waits, chance) or _best((pool.all,), free, chance)
    )
    if found is None and 2 * _slots(here, now) < sum(life.slots for life in here):
        found = next(
            (life for life in usable if life not in warm and not life.choked() and cold(life, now)), None
        )
    return (
        found
        or _shortest((pool.all,), bearing, waits, chance)
        or _best((pool.near, pool.all), {life for life in resting if not life.choked()}, chance)
    )


def _shortest(
    tiers: tuple[Tier, ...], allowed: Collection[Life], waits: Mapping[Life, int], chance: Random
) -> Life | None:
    """Of two drawn from the first tier that has some of the allowed, the one with the shorter queue: all
    proxies see the same queues, and would storm the shortest together.
    """
    for tier in tiers if allowed else ():
        there = [life for life in tier.lives if life in allowed]
        if there:
            return min(chance.choices(there, k=2), key=waits.__getitem__)
    return None


def _slots(lives: list[Life], now: int) -> int:
    """Of the warm ones among them."""
    return sum(life.slots for life in lives if now >= life.cold_until)


def _best(tiers: tuple[Tier, ...], allowed: Collection[Life], chance: Random) -> Life | None:
    """Of the first tier that has some of the allowed."""
    for tier in tiers if allowed else ():
        narrowed = Tier((life, weight) for life, weight in tier.weights.items() if life in allowed)
        if narrowed.lives:
            return _lighter(_draw(narrowed, chance), _draw(narrowed, chance), narrowed)
    return None
