"""Slices: each in our charge has the server that held the fewest, and stays there while it is ready."""

from ambershift import interface as api
from ambershift.policy.channel import BINDING_BUDGET, try_reserve
from ambershift.policy.cold import usable_fractions
from ambershift.policy.state import SECOND, State


def assign_slices(state: State) -> None:
    """Give each slice without a ready server a new one; one with a single owner is stopped in between."""
    proxies, ready, settings = state.joined, usable_fractions(state), state.settings
    # Against writes at two servers a single owner's slice stops until none can be sent or in flight there.
    handover_time = settings.in_flight_time + max(settings.lease, settings.max_propagation_delay) + SECOND
    slice_counts = {
        index: sum(index in weights for weights in state.slice_servers.values()) for index in ready
    }
    for number, weights in sorted(state.slice_servers.items()):
        has_ready_server = any(index in ready for index in weights)
        if not ready or (has_ready_server and number not in state.slice_stopped_at):
            continue
        if settings.single_owner and weights:
            if number not in state.slice_stopped_at and try_reserve(state, proxies, 1, BINDING_BUDGET):
                state.slice_stopped_at[number] = state.now
                state.orders.append(api.Level(number, 0, api.RetryPolicy.NEVER, 0.0))
            if state.now < state.slice_stopped_at.get(number, state.now) + handover_time:
                continue
        new_server = min(
            ready, key=lambda index: (slice_counts[index] / state.servers[index].entry.weight, index)
        )
        if try_reserve(state, proxies, 2 + len(weights), BINDING_BUDGET):
            slice_counts[new_server] += 1
            new_weight = state.servers[new_server].entry.weight
            state.orders.append(api.SetWeight(number, new_server, new_weight))
            if state.slice_stopped_at.pop(number, None) is not None:
                state.orders.append(api.Level(number, 0, api.RetryPolicy.NEVER, 1.0))
            if not settings.single_owner:
                state.orders += [
                    api.SetWeight(number, index, 0.0) for index in weights if index != new_server
                ]
            state.slice_servers[number] = {new_server: new_weight}
