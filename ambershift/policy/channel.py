"""The channel to the proxies: which room its queue and each proxy's messages have left, and what was sent.

The queue is counted in lines, of which each message to a proxy holds some.
"""

from collections.abc import Collection

from ambershift import interface as api
from ambershift.policy.state import SECOND, State

DRAIN_QUEUE_FRACTION = 0.95  # Drains have nearly all that the channel holds.
EDIT_QUEUE_FRACTION = 0.5  # Edits leave the other half of the ordinary room to first bindings.
SLOW_CHANNEL_FRACTION = 0.2  # Of the configured rate: what a channel sends at the least.
MAX_MARK = 5000  # Marks are numbered from 1 to this, then from 1 again.
# Fractions of a proxy's message limit that each kind of order may use.
ORDINARY_BUDGET = 0.6
BINDING_BUDGET = 0.75  # First bindings.
COLD_BUDGET = 0.8  # Lower weights of cold servers.
DRAIN_BUDGET = 1.0


def begin_turn(state: State) -> None:
    """Begin to count the lines of a turn."""
    # Proxies that left answer no marks: a channel far slower than configured is assumed to drain.
    sent = (state.now - state.lines_sent_at) * (state.settings.lines_per_s * SLOW_CHANNEL_FRACTION / SECOND)
    state.lines_sent = min(state.lines_written, state.lines_sent + sent)
    state.lines_sent_at = state.now
    state.turn_start = state.lines_written
    state.turn_lines = {}


def end_turn(state: State) -> None:
    """Order a mark behind the lines of the turn, if there are any."""
    # The answer to a mark whose lines have all been sent tells nothing new.
    while state.marks and state.marks[old := next(iter(state.marks))][2] <= state.lines_sent:
        del state.marks[old]
    if state.turn_lines:
        state.last_mark = state.last_mark % MAX_MARK + 1
        state.marks[state.last_mark] = state.turn_start, state.turn_lines, state.lines_written
        state.orders.append(api.Mark(state.last_mark, False))


def record_applied(state: State, event: api.Applied) -> None:
    """Count what an answered mark proves to be sent: messages leave in order, so all written before it."""
    turn_start, turn_lines, written = state.marks.get(event.mark, (0.0, {}, 0.0))
    if lines := turn_lines.pop(event.proxy, 0.0):
        state.marks[event.mark] = turn_start + lines, turn_lines, written
        state.lines_sent = max(state.lines_sent, turn_start + lines)


def try_reserve(state: State, proxies: Collection[int], lines: int, budget: float) -> bool:
    """Take room in the queue and in the message limit of each proxy, or leave the order for a later turn.

    Args:
        state: The instance.
        proxies: The proxies that get the lines.
        lines: How many each gets.
        budget: The fraction of a proxy's message limit that this kind of order may use.

    Returns:
        Whether there was room for all.
    """
    settings, turn_lines = state.settings, state.turn_lines
    new_messages = [state.proxies[index] for index in proxies if index not in turn_lines]
    limited = new_messages if settings.message_limit else []
    horizon = state.now - settings.message_window
    most_messages = max(sum(at > horizon for at in proxy.messages) for proxy in limited) if limited else 0
    cost = lines * len(proxies) + (settings.message_overhead + 1) * len(new_messages)
    waiting = state.lines_written - state.lines_sent
    is_edit = state.users[None] and budget == ORDINARY_BUDGET
    queue_limit = state.ordinary_queue_limit * (EDIT_QUEUE_FRACTION if is_edit else 1.0)
    if budget >= COLD_BUDGET:
        queue_limit = settings.queue_limit * DRAIN_QUEUE_FRACTION
    if (waiting and waiting + cost > queue_limit) or (
        limited and most_messages >= budget * settings.message_limit
    ):
        return False
    for index in proxies:
        turn_lines[index] = turn_lines.get(index, settings.message_overhead + 1) + lines
    state.lines_written += cost
    for proxy in limited:
        proxy.messages.append(state.now)
    return True
