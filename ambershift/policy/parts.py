"""Zones' parts: at size each has a table of its own. And the share of the traffic that each part has."""

from collections import defaultdict
from statistics import fmean

from ambershift.policy.state import QUEUE_SPAN, SECOND, State
from ambershift.proxy_state import NO_PART, Proxy

TRAFFIC_WINDOW, SHARE_MOVE, PART_LEAST = 30 * SECOND, 0.1, 8  # The least is servers of a part.


def split(state: State, servers: int) -> None:
    """Part zones at size, each part with a table, so that the queue can hold a binding of all proxies."""
    room = (
        state.terms.lines_per_s * QUEUE_SPAN / SECOND / max(1, state.terms.expected_proxies)
        - state.terms.message_overhead
        - 4
    )
    state.parts = max(1, int(servers / (max(PART_LEAST, min(room, servers)) * state.terms.zones)))


def place(state: State) -> None:
    """Put each proxy that has none into the part of its zone to which the least traffic is announced."""
    loads = defaultdict[int, float](float)
    for proxy in state.joined.values():
        loads[proxy.part] += proxy.rate
    for proxy in state.joined.values():
        if proxy.part == NO_PART and proxy.zone >= 0:
            first = proxy.zone * state.parts
            proxy.part = min(range(first, first + state.parts), key=lambda part: loads[part])
            loads[proxy.part] += proxy.rate


def zone_shares(state: State) -> dict[int, float]:
    """The share of our own proxies' traffic of each part of a zone, held until one moves by a tenth."""
    place(state)  # By what reports span: cut short, some cover more time. None counts as quite silent.
    members, heard = defaultdict[int, list[Proxy]](list), defaultdict[int, list[float]](list)
    for proxy in state.joined.values():
        proxy.forget(state.now - TRAFFIC_WINDOW)
        members[proxy.zone].append(proxy)
        if proxy.span:
            heard[proxy.zone].append((1 + proxy.came) / proxy.span)
    every = [rate for zone in sorted(heard) for rate in heard[zone]] or [1.0]
    flow, state.zone_of = defaultdict[int, float](float), {}
    for zone, those in sorted(members.items()):
        mean = fmean(heard[zone] or every)
        told = fmean(proxy.rate for proxy in those) or 1.0
        # A zone has what its proxies' mean makes of their number, and its parts divide it among them.
        rates = [(1 + one.came) / one.span if one.span else mean * (1e-3 + one.rate / told) for one in those]
        scale = mean * len(rates) / sum(rates)
        for proxy, rate in zip(those, rates, strict=True):
            flow[proxy.part] += rate * scale
            state.zone_of[proxy.part] = zone
    fresh = {part: flow[part] / sum(flow.values()) for part in sorted(flow)}
    if fresh.keys() != state.share.keys() or any(
        abs(fresh[part] - state.share[part]) > SHARE_MOVE * state.share[part] for part in fresh
    ):
        state.share = fresh
    return state.share
