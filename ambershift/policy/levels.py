"""Overload: flows are blocked early while most servers answer late, as late answers only delay the rest."""

from ambershift import interface as api
from ambershift.policy.cold import usable_fractions
from ambershift.policy.state import State

# Mean latencies as fractions of the latency budget.
NO_RETRY_LATENCY = 0.55  # From here on no further attempts are made.
BLOCKING_LATENCY = 0.38  # From here on flows are blocked.
FAILING_LATENCY = 0.27  # From here on widespread failures are an overload.
WIDESPREAD_FAILURE_RATE = 0.12  # Of the median server.
MIN_ADMITTED_FRACTION = 0.05
ADMISSION_RISE = 0.5  # Growth in one step with full headroom.
TARGET_LOAD = 0.9  # Of the best throughput seen.
# Bounds of the factor of one step down and one step up.
MIN_STEP_DOWN = 0.95
MAX_STEP_DOWN = 0.4
MAX_STEP_UP = 2.0


def update_admission(
    state: State, usual_failure_rate: float, latency: float, attempts: int, successes: int
) -> None:
    """Set the retry policy and the fraction of flows admitted.

    Args:
        state: The instance.
        usual_failure_rate: Of the median server.
        latency: Mean time of successes at the median server, ns.
        attempts: At all servers, within the last reports.
        successes: Those of them that succeeded.
    """
    # Failures alone tell of servers lost or unreachable: overloaded servers answer the rest late as well.
    is_overloaded = latency > NO_RETRY_LATENCY * state.latency_budget or (
        usual_failure_rate > WIDESPREAD_FAILURE_RATE and latency > FAILING_LATENCY * state.latency_budget
    )
    # A retry after a time-out may run the flow twice; one after a refusal adds to an overload.
    state.retry_policy = api.RetryPolicy.NEVER if is_overloaded else api.RetryPolicy.IF_NOT_RUN
    is_overloaded = is_overloaded or latency > BLOCKING_LATENCY * state.latency_budget
    weights = (
        state.servers[index].entry.weight * fraction for index, fraction in usable_fractions(state).items()
    )
    usable_weight = sum(weights) or 1.0
    state.throughputs.append(successes / usable_weight / state.report_lag)
    # One step for each round trip of order and report, else the same overload is counted twice.
    if state.now < state.admission_changed_at + state.feedback_delay or (
        not is_overloaded and state.admitted_fraction == 1.0
    ):
        return
    state.admission_changed_at = state.now
    # The factor that leads to the target load.
    factor = usable_weight * (
        TARGET_LOAD * max(state.throughputs) * state.report_lag / attempts if attempts else 0.0
    )
    if is_overloaded:
        factor *= min(1.0, BLOCKING_LATENCY * state.latency_budget / latency if latency else 1.0)
        state.admitted_fraction = max(
            MIN_ADMITTED_FRACTION, state.admitted_fraction * min(MIN_STEP_DOWN, max(MAX_STEP_DOWN, factor))
        )
    else:
        # The past throughput says little when more proxies have come since: headroom alone lets it rise.
        headroom = 1.0 - latency / (BLOCKING_LATENCY * state.latency_budget)
        state.admitted_fraction = min(
            1.0, state.admitted_fraction * min(MAX_STEP_UP, max(1.0 + ADMISSION_RISE * headroom, factor))
        )
