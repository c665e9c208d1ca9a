"""The channel to the proxies: what room its lines and each proxy's messages leave, and what has left."""

from collections.abc import Collection

from ambershift import interface as api
from ambershift.policy.state import SECOND, State

# Edits leave half of the ordinary room to first bindings; drains have nearly all that the channel holds.
DRAIN_PART, EDITS, SLOW_CHANNEL, MARKS = 0.95, 0.5, 0.2, 5000
# Parts of a proxy's messages that orders may use: ordinary ones, first bindings, cold lines, drains.
ORDINARY, PRESSING, GUARDING, BINDING = 0.6, 0.75, 0.8, 1.0


def open_turn(state: State) -> None:
    """Proxies that left answer no marks: a channel far slower than told drains in their place."""
    drained = (state.now - state.gone_at) * (state.terms.lines_per_s * SLOW_CHANNEL / SECOND)
    state.gone = min(state.written, state.gone + drained)
    state.gone_at, state.before, state.spent = state.now, state.written, {}


def mark_turn(state: State) -> None:
    """Of marks that were written before what has left no answer tells anything any more."""
    while state.marks and state.marks[old := next(iter(state.marks))][2] <= state.gone:
        del state.marks[old]
    if state.spent:
        state.mark = state.mark % MARKS + 1
        state.marks[state.mark] = state.before, state.spent, state.written
        state.orders.append(api.Mark(state.mark, False))


def hear_applied(state: State, event: api.Applied) -> None:
    """Messages leave one after the other, so all that was written before an answered one has left."""
    before, spent, upto = state.marks.get(event.mark, (0.0, {}, 0.0))
    if lines := spent.pop(event.proxy, 0.0):
        state.marks[event.mark] = before + lines, spent, upto
        state.gone = max(state.gone, before + lines)


def afford(state: State, proxies: Collection[int], lines: int, part: float) -> bool:
    """Take room in the channel and in each proxy's count of messages, or leave it for a later turn."""
    terms, spent = state.terms, state.spent
    fresh = [state.proxies[index] for index in proxies if index not in spent]
    limited, horizon = fresh if terms.message_limit else [], state.now - terms.message_window
    written = max(sum(at > horizon for at in proxy.messages) for proxy in limited) if limited else 0
    cost, waiting = (
        lines * len(proxies) + (terms.message_overhead + 1) * len(fresh),
        state.written - state.gone,
    )
    usual = state.usual * (EDITS if state.users[None] and part == ORDINARY else 1.0)
    most = terms.queue_limit * DRAIN_PART if part >= GUARDING else usual
    if (waiting and waiting + cost > most) or (limited and written >= part * terms.message_limit):
        return False
    for index in proxies:
        spent[index] = spent.get(index, terms.message_overhead + 1) + lines
    state.written += cost
    for proxy in limited:
        proxy.messages.append(state.now)
    return True
