"""Which servers each table gets: a partition has its zone's up to its share, and borrows from the rest."""

from collections import defaultdict

from ambershift.policy.cold import usable_fractions
from ambershift.policy.parts import choose_partition_count, update_traffic_shares
from ambershift.policy.state import TRIAL_FRACTION, State

# Bonuses, in servers, for a borrowed server to stay where it is, and to stay within its zone.
KEEP_BONUS = 0.3
OWN_ZONE_BONUS = 0.1


def assign_servers(
    state: State, capacity: dict[int, float], shares: dict[int, float]
) -> dict[int, list[int]]:
    """Split the servers among partitions, each to its share.

    Args:
        state: The instance.
        capacity: What each server can take, as a fraction of its weight.
        shares: The traffic share of each partition.

    Returns:
        The servers of each partition.
    """
    settings, partition_zones = state.settings, state.partition_zones
    due = {
        partition: share * sum(capacity.values()) / sum(shares.values())
        for partition, share in shares.items()
    }
    assigned = dict.fromkeys(shares, 0.0)
    servers = {partition: list[int]() for partition in shares}
    spare = sorted(capacity, key=lambda index: (-capacity[index], index))
    limit = settings.overload_calm if state.uses_shared_table else settings.overload_limit
    regions = dict(enumerate(settings.regions))
    # A server goes to its own zone first, then to its region, where regions are known.
    for area_of in ({}, regions)[: 1 + bool(regions)]:
        partitions_of, left, spare = defaultdict[int, list[int]](list), spare, list[int]()
        for partition in due:
            zone = partition_zones[partition]
            partitions_of[area_of.get(zone, zone)].append(partition)
        for index in left:
            zone, size = state.servers[index].entry.zone, capacity[index]
            fitting = [
                partition
                for partition in partitions_of[area_of.get(zone, zone)]
                if assigned[partition] + size / 2 <= due[partition]
            ]
            if fitting:
                # Partitions of a zone are alike: a server stays in its own, else goes where most is lacking.
                partition = max(
                    fitting,
                    key=lambda partition: (
                        index in state.table_weights.get(partition, ()),
                        due[partition] - assigned[partition],
                    ),
                )
                servers[partition].append(index)
                assigned[partition] += size
            else:
                spare.append(index)
    for index in spare if due else ():
        # The partition that lacks most borrows first, from another region only if it is over the limit; a
        # server stays where it is, if it can.
        zone = state.servers[index].entry.zone
        partition = max(
            due,
            key=lambda partition: (
                bool(regions) and due[partition] - assigned[partition] > limit * assigned[partition],
                regions.get(partition_zones[partition], -1) == regions.get(zone),
                due[partition]
                - assigned[partition]
                + KEEP_BONUS * (index in state.table_weights.get(partition, ()))
                + OWN_ZONE_BONUS * (partition_zones[partition] == zone),
                -partition,
            ),
        )
        servers[partition].append(index)
        assigned[partition] += capacity[index]
    overloads = (
        (due[partition] - assigned[partition]) / assigned[partition] if assigned[partition] else 1.0
        for partition in due
    )
    state.uses_shared_table = max(overloads, default=0.0) > limit
    state.partition_capacity = assigned
    return servers


def plan_tables(state: State) -> dict[int, dict[int, float]]:
    """Return the weights that each table should have; partitions without one use a shared table."""
    capacity = usable_fractions(state)
    if capacity and not state.partitions_per_zone:
        choose_partition_count(state, len(capacity))
    if not capacity or not (shares := update_traffic_shares(state)):
        return {}
    weights = {index: state.servers[index].entry.weight * fraction for index, fraction in capacity.items()}
    tables = dict[int, dict[int, float]]()
    min_capacity = state.settings.min_partition_capacity
    # With less, one failing server is much of a zone, and cold servers would take a traffic not yet seen.
    for partition in shares:
        zone = state.partition_zones[partition]
        if any(proxy_zone == zone for proxy_zone, _ in state.failed_paths):
            reachable = reachable_weights(state, zone, weights)
            own = {
                index: weight
                for index, weight in reachable.items()
                if (index - partition) % state.partitions_per_zone == 0
            }
            for candidate in (reachable, own):
                if sum(capacity[index] for index in candidate) >= min_capacity:
                    tables[partition] = candidate
    connected = {partition: share for partition, share in shares.items() if partition not in tables}
    servers = assign_servers(state, capacity, connected)
    while too_small := sorted(
        (size, partition) for partition, size in state.partition_capacity.items() if size < min_capacity
    ):
        del connected[too_small[0][1]]
        servers = assign_servers(state, capacity, connected)
    all_zones_known = -1 not in connected and all(state.servers[index].entry.zone >= 0 for index in capacity)
    if not state.uses_shared_table and all_zones_known and len(capacity) >= state.settings.zones:
        tables |= {
            partition: {index: weights[index] for index in servers[partition]} for partition in connected
        }
    if tables.keys() >= shares.keys():
        return tables
    return tables | {state.settings.zones * state.partitions_per_zone: weights}


def reachable_weights(state: State, zone: int, weights: dict[int, float]) -> dict[int, float]:
    """Return the weights of servers that a zone reaches; a fraction where a failed path is on trial."""
    ejections = {index: state.failed_paths.get((zone, state.servers[index].entry.zone)) for index in weights}
    return {
        index: weights[index] * (TRIAL_FRACTION if ejection else 1.0)
        for index, ejection in ejections.items()
        if ejection is None or ejection.on_trial
    }
