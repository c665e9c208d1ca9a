"""Counting: how many voters are enough, which voters are near, who watches whom, whom to choose as voters."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from hashlib import blake2b

from ambershift.system.messages.replication import Voter

FULL_MESH_MAX_NODES = 9  # Up to so many machines everyone watches everyone.
WATCHERS_PER_NODE = 5
MAX_VOTERS = 9  # More make every write dearer and bear no more of what is to be borne.


def majority(count: int) -> int:
    """Enough for everything: a voter whose disk was lost never votes again in that epoch, as it comes back
    as another member. So of any two majorities one voter has been in both with one disk."""
    return count // 2 + 1


def rendezvous_weight(one: str, other: str) -> bytes:
    return blake2b(f"{one} {other}".encode(), digest_size=8).digest()


def choose_watchers(ip: str, others: Iterable[str]) -> tuple[str, ...]:
    """Who of the others watches `ip` (rendezvous hashing): all where they are few."""
    known = sorted(set(others) - {ip})
    if len(known) < FULL_MESH_MAX_NODES:
        return tuple(known)
    return tuple(sorted(known, key=lambda one: rendezvous_weight(ip, one))[-WATCHERS_PER_NODE:])


def sort_by_proximity(ip: str, zone: str, region: str, voters: Sequence[Voter]) -> tuple[Voter, ...]:
    """Members by nearness: itself, its zone, its region, the rest in an order of its own."""
    return tuple(
        sorted(
            voters,
            key=lambda one: (
                one.ip != ip,
                one.zone != zone,
                one.region != region,
                rendezvous_weight(ip, one.ip),
            ),
        )
    )


def _largest_loss(groups: Iterable[str], lost: int) -> int:
    return sum(count for _, count in Counter(groups).most_common(lost))


def balance_voters(voters: Sequence[Voter], machines: int, zones: int, regions: int) -> tuple[Voter, ...]:
    """The members without those that would make the loss of so many zones or regions the loss of a majority,
    and without the surplus over what bears the loss of so many machines well.

    Where there are too few places to bear that loss at all, nobody is left out.
    """
    most = max(MAX_VOTERS, 2 * machines + 1)
    chosen = list(voters)
    while len(chosen) > 1:
        spare = len(chosen) - majority(len(chosen))
        by_region, by_zone = Counter(one.region for one in chosen), Counter(one.zone for one in chosen)
        if len(by_region) > 2 * regions and _largest_loss((one.region for one in chosen), regions) > spare:
            crowd = by_region.most_common(1)[0][0]
            surplus = [one for one in chosen if one.region == crowd]
        elif len(by_zone) > 2 * zones and _largest_loss((one.zone for one in chosen), zones) > spare:
            crowd = by_zone.most_common(1)[0][0]
            surplus = [one for one in chosen if one.zone == crowd]
        elif len(chosen) > most:
            crowd = by_region.most_common(1)[0][0]
            surplus = [one for one in chosen if one.region == crowd]
        else:
            break
        chosen.remove(max(surplus, key=lambda one: (by_zone[one.zone], one.ip)))
    return tuple(chosen)
