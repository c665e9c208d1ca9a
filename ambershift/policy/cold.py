"""What servers surely stand now: cold ones, those on trial and those weaker than listed count in part."""

from ambershift.policy.state import SECOND, TRIAL_PART, Server, State

COLD_STEP, COLD_BEAT, COLD_WARY, FIRM_LOAD, CALM_SPELL = 0.05, 2 * SECOND, 0.4, 2.2, 10 * SECOND


def warmth(state: State, since: int) -> float:
    """The part of itself that a server surely is by now, in steps so that few lines change."""
    terms = state.terms
    if not since or not terms.cold or state.now >= since + terms.cold:
        return 1.0
    # All cold servers take their steps at one time, else each would cost its proxies messages of its own.
    age = max(0, state.now - state.now % COLD_BEAT - since)
    part = terms.cold_share + (1 - terms.cold_share) * age / terms.cold
    # Where proxies avoid who fails, all may fall on one line left: it waits until it stands twice its load.
    wary = state.now < state.calm_at + CALM_SPELL
    if wary and state.herds and part < min(0.9, FIRM_LOAD / terms.collapse_multiple):
        return 0.0
    if wary or state.level < 1.0:
        # Where none avoids, what falls on it is what falls on all: so many times what is delivered.
        part *= COLD_WARY if state.herds else min(1.0, COLD_WARY * terms.collapse_multiple * state.well)
    return int(part / COLD_STEP) * COLD_STEP


def most(state: State, server: Server) -> float:
    return server.entry.weight * max(COLD_STEP, warmth(state, server.entry.since))


def usable(state: State) -> dict[int, float]:
    parts = {}
    for index, server in state.ready():
        part = warmth(state, server.entry.since) * server.eased[0]
        if part and (not server.ill or server.ill.trial):
            parts[index] = min(part, TRIAL_PART) if server.ill else part
    return parts or dict.fromkeys(dict(state.ready()), COLD_STEP)
