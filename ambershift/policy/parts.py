"""Partitions of zones, which in a large fleet have a table each, and the traffic share of each partition."""

from collections import defaultdict
from statistics import fmean

from ambershift.policy.state import QUEUE_TIME, SECOND, State
from ambershift.proxy_state import NO_PARTITION, ProxyState

TRAFFIC_WINDOW = 30 * SECOND
MIN_SHARE_CHANGE = 0.1  # Relative; smaller changes of shares are ignored.
MIN_PARTITION_SERVERS = 8
BINDING_LINES = 4  # Lines of a binding besides the table's entries: the order, two levels and the mark.
MIN_RELATIVE_RATE = 1e-3  # Added to the announced rate over the mean, as no proxy counts as quite silent.


def choose_partition_count(state: State, servers: int) -> None:
    """Partition zones so that tables are small enough for the queue to hold a binding of each proxy."""
    settings = state.settings
    queue_lines = settings.lines_per_s * QUEUE_TIME / SECOND
    most_entries = queue_lines / max(1, settings.expected_proxies) - settings.message_overhead - BINDING_LINES
    partition_size = max(MIN_PARTITION_SERVERS, min(most_entries, servers))
    state.partitions_per_zone = max(1, int(servers / (partition_size * settings.zones)))


def assign_partitions(state: State) -> None:
    """Assign each proxy that has no partition to the one of its zone with the least announced traffic."""
    loads = defaultdict[int, float](float)
    for proxy in state.joined.values():
        loads[proxy.partition] += proxy.rate
    for proxy in state.joined.values():
        if proxy.partition == NO_PARTITION and proxy.zone >= 0:
            first = proxy.zone * state.partitions_per_zone
            candidates = range(first, first + state.partitions_per_zone)
            proxy.partition = min(candidates, key=lambda partition: loads[partition])
            loads[proxy.partition] += proxy.rate


def update_traffic_shares(state: State) -> dict[int, float]:
    """Return each partition's share of the traffic of all joined proxies, kept until one moves by a tenth."""
    assign_partitions(state)
    # Rates are requests by the time that reports cover: where reports are cut short, some cover more time. No
    # proxy counts as quite silent.
    members = defaultdict[int, list[ProxyState]](list)
    reported = defaultdict[int, list[float]](list)  # Rates of the proxies with reports, by zone.
    for proxy in state.joined.values():
        proxy.drop_reports(state.now - TRAFFIC_WINDOW)
        members[proxy.zone].append(proxy)
        if proxy.span:
            reported[proxy.zone].append((1 + proxy.requests) / proxy.span)
    all_rates = [rate for zone in sorted(reported) for rate in reported[zone]] or [1.0]
    traffic = defaultdict[int, float](float)
    state.partition_zones = {}
    for zone, proxies in sorted(members.items()):
        mean = fmean(reported[zone] or all_rates)
        mean_announced = fmean(proxy.rate for proxy in proxies) or 1.0
        # A zone's traffic is the mean of its proxies times their number; its partitions divide it by rates.
        rates = [
            (1 + proxy.requests) / proxy.span
            if proxy.span
            else mean * (MIN_RELATIVE_RATE + proxy.rate / mean_announced)
            for proxy in proxies
        ]
        scale = mean * len(rates) / sum(rates)
        for proxy, rate in zip(proxies, rates, strict=True):
            traffic[proxy.partition] += rate * scale
            state.partition_zones[proxy.partition] = zone
    shares = {partition: traffic[partition] / sum(traffic.values()) for partition in sorted(traffic)}
    if shares.keys() != state.traffic_shares.keys() or any(
        abs(share - state.traffic_shares[partition]) > MIN_SHARE_CHANGE * state.traffic_shares[partition]
        for partition, share in shares.items()
    ):
        state.traffic_shares = shares
    return state.traffic_shares
