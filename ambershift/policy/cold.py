"""What servers can surely take now: cold and slow ones and those on trial, a fraction of their weight."""

from ambershift.policy.state import SECOND, TRIAL_FRACTION, Server, State

COLD_STEP = 0.05  # The fraction rises in steps of this.
COLD_STEP_INTERVAL = 2 * SECOND
COLD_CAUTION = 0.4  # Factor on the fraction in an overload or after a disturbance.
SAFE_LOAD_FACTOR = 2.2  # A server that can take so many times its load is fit to be the last one left.
# From this fraction on a cold server doesn't wait, however small the collapse multiple is.
MAX_WAITING_FRACTION = 0.9
CALM_TIME = 10 * SECOND  # For so long after a disturbance cold servers are treated with caution.


def warmup_fraction(state: State, since: int) -> float:
    """Return the fraction of its weight that a server can surely take by now, in steps so that few change.

    Args:
        state: The instance.
        since: When the server started; 0 if long ago.
    """
    settings = state.settings
    if not since or not settings.cold or state.now >= since + settings.cold:
        return 1.0
    # All cold servers take their steps at one time, else each would cost its proxies messages of its own.
    age = max(0, state.now - state.now % COLD_STEP_INTERVAL - since)
    fraction = settings.cold_share + (1 - settings.cold_share) * age / settings.cold
    # Where proxies avoid servers that fail, all may turn to the last one left: it waits until it can take
    # twice its load.
    is_disturbed = state.now < state.disturbed_at + CALM_TIME
    if (
        is_disturbed
        and state.proxies_avoid_servers
        and fraction < min(MAX_WAITING_FRACTION, SAFE_LOAD_FACTOR / settings.collapse_multiple)
    ):
        return 0.0
    if is_disturbed or state.admitted_fraction < 1.0:
        # Where none avoids, what a server gets is what all get: the collapse multiple of what succeeds.
        fraction *= (
            COLD_CAUTION
            if state.proxies_avoid_servers
            else min(1.0, COLD_CAUTION * settings.collapse_multiple * state.success_rate)
        )
    return int(fraction / COLD_STEP) * COLD_STEP


def max_weight(state: State, server: Server) -> float:
    """Return the largest weight that a table may give a server now."""
    return server.entry.weight * max(COLD_STEP, warmup_fraction(state, server.entry.since))


def usable_fractions(state: State) -> dict[int, float]:
    """Return the fraction of its weight that each server can take; all ready ones a little if none can."""
    fractions = {}
    for index, server in state.ready_servers():
        fraction = warmup_fraction(state, server.entry.since) * server.weight_factor
        if fraction and (not server.ejection or server.ejection.on_trial):
            fractions[index] = min(fraction, TRIAL_FRACTION) if server.ejection else fraction
    return fractions or dict.fromkeys(dict(state.ready_servers()), COLD_STEP)
