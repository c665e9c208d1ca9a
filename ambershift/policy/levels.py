"""Overload: flows are blocked early while most servers answer late: too late is lost and delays the rest."""

from ambershift import interface as api
from ambershift.policy.cold import usable
from ambershift.policy.state import State

# From when further tries stop, from when flows are blocked, as parts of the latency budget.
BUSY_TIME, CALM_TIME, FULL_TIME, SHARED_BAD = 0.55, 0.38, 0.27, 0.12
LEVEL_LEAST, LEVEL_RISE, LOAD_AIM = 0.05, 0.5, 0.9


def set_level(state: State, usual: float, took: float, tries: int, good: int) -> None:
    # Failures alone tell of servers lost or cut off: servers too full answer the rest late as well.
    busy = took > BUSY_TIME * state.budget or (usual > SHARED_BAD and took > FULL_TIME * state.budget)
    # A try after a time-out runs the flow twice; one after a refusal feeds an overload.
    state.again = api.RetryPolicy.NEVER if busy else api.RetryPolicy.IF_NOT_RUN
    busy = busy or took > CALM_TIME * state.budget
    room = sum(state.servers[index].entry.weight * part for index, part in usable(state).items()) or 1.0
    state.delivered.append(good / room / state.lag)
    # One step for each round trip of order and report, else the same overload is counted twice.
    if state.now < state.level_at + state.settle or (not busy and state.level == 1.0):
        return
    state.level_at = state.now
    room *= LOAD_AIM * max(state.delivered) * state.lag / tries if tries else 0.0
    if busy:
        room *= min(1.0, CALM_TIME * state.budget / took if took else 1.0)
        state.level = max(LEVEL_LEAST, state.level * min(0.95, max(0.4, room)))
    else:
        # What was delivered says little when more proxies have come since: headroom alone lets it rise.
        headroom = 1.0 - took / (CALM_TIME * state.budget)
        state.level = min(1.0, state.level * min(2.0, max(1.0 + LEVEL_RISE * headroom, room)))
