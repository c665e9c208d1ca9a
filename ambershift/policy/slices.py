"""Slices: each in our charge has the server that held least, and stays there while it is ready."""

from ambershift import interface as api
from ambershift.policy.channel import PRESSING, afford
from ambershift.policy.cold import usable
from ambershift.policy.state import SECOND, State


def tend_slices(state: State) -> None:
    everyone, ready, terms = state.joined, usable(state), state.terms
    # Against writes at two servers a single owner's slice stops until none can be written or in hand there.
    handover = terms.in_flight_time + max(terms.lease, terms.max_propagation_delay) + SECOND
    load = {index: sum(index in lines for lines in state.held.values()) for index in ready}
    for number, lines in sorted(state.held.items()):
        if not ready or (any(index in ready for index in lines) and number not in state.stopped):
            continue
        if terms.single_owner and lines:
            if number not in state.stopped and afford(state, everyone, 1, PRESSING):
                state.stopped[number] = state.now
                state.orders.append(api.Level(number, 0, api.RetryPolicy.NEVER, 0.0))
            if state.now < state.stopped.get(number, state.now) + handover:
                continue
        heir = min(ready, key=lambda index: (load[index] / state.servers[index].entry.weight, index))
        if afford(state, everyone, 2 + len(lines), PRESSING):
            load[heir] += 1
            state.orders.append(api.SetWeight(number, heir, state.servers[heir].entry.weight))
            if state.stopped.pop(number, None) is not None:
                state.orders.append(api.Level(number, 0, api.RetryPolicy.NEVER, 1.0))
            if not terms.single_owner:
                state.orders += [api.SetWeight(number, index, 0.0) for index in lines if index != heir]
            state.held[number] = {heir: state.servers[heir].entry.weight}
