"""Counting: how many voters are a majority, which are near, who watches whom, which to choose as voters."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from hashlib import blake2b

from ambershift.system.messages.replication import Voter

FULL_MESH_MAX_NODES = 9  # In a cluster of at most so many nodes, everyone watches everyone.
WATCHERS_PER_NODE = 5
MAX_VOTERS = 9  # More make every write dearer, and tolerate no more of the losses that must be tolerated.


def majority(count: int) -> int:
    """Return how many of `count` voters are a majority.

    It is enough even when disks are lost: a voter that has lost its disk never votes again in that epoch, as
    it comes back as another voter. So any two majorities have a voter in common, with one disk.
    """
    return count // 2 + 1


def rendezvous_weight(first: str, second: str) -> bytes:
    """Return the weight of `second` for `first` (rendezvous hashing: Thaler, Ravishankar 1998)."""
    return blake2b(f"{first} {second}".encode(), digest_size=8).digest()


def choose_watchers(ip: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return who of the other nodes watches `ip`: all in a small cluster, else the five of highest weight."""
    others = sorted(set(nodes) - {ip})
    if len(others) < FULL_MESH_MAX_NODES:
        return tuple(others)
    return tuple(sorted(others, key=lambda other: rendezvous_weight(ip, other))[-WATCHERS_PER_NODE:])


def sort_by_proximity(ip: str, zone: str, region: str, voters: Sequence[Voter]) -> tuple[Voter, ...]:
    """Return voters by their proximity to a node: itself, its zone, its region, the rest.

    Among equally near ones each node has an order of its own, so that load is spread.
    """

    def distance(voter: Voter) -> tuple[bool, bool, bool, bytes]:
        return voter.ip != ip, voter.zone != zone, voter.region != region, rendezvous_weight(ip, voter.ip)

    return tuple(sorted(voters, key=distance))


def _largest_loss(places: Counter[str], lost: int) -> int:
    """Return how many voters the loss of the `lost` most crowded places would take."""
    return sum(count for _, count in places.most_common(lost))


def balance_voters(voters: Sequence[Voter], nodes: int, zones: int, regions: int) -> tuple[Voter, ...]:
    """Return the voters without those that spoil the balance, or are more than needed.

    A set is balanced if the loss of so many zones or regions leaves a majority. Where there are too few
    places to tolerate that loss at all, nobody is removed.

    Args:
        voters: The set.
        nodes: How many nodes may be lost at once.
        zones: How many zones may be lost at once.
        regions: How many regions may be lost at once.
    """
    size_limit = max(MAX_VOTERS, 2 * nodes + 1)
    chosen = list(voters)
    while len(chosen) > 1:
        dispensable = len(chosen) - majority(len(chosen))
        by_region = Counter(voter.region for voter in chosen)
        by_zone = Counter(voter.zone for voter in chosen)
        spoils_regions = len(by_region) > 2 * regions and _largest_loss(by_region, regions) > dispensable
        spoils_zones = len(by_zone) > 2 * zones and _largest_loss(by_zone, zones) > dispensable
        if spoils_regions or (not spoils_zones and len(chosen) > size_limit):
            crowded_region = by_region.most_common(1)[0][0]
            surplus = [voter for voter in chosen if voter.region == crowded_region]
        elif spoils_zones:
            crowded_zone = by_zone.most_common(1)[0][0]
            surplus = [voter for voter in chosen if voter.zone == crowded_zone]
        else:
            break
        chosen.remove(max(surplus, key=lambda voter: (by_zone[voter.zone], voter.ip)))
    return tuple(chosen)
