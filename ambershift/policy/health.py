"""Health: servers that fail far more than their peers are ejected; all failing alike is overload."""

from statistics import median

from ambershift.policy.cold import CALM_TIME
from ambershift.policy.levels import WIDESPREAD_FAILURE_RATE, update_admission
from ambershift.policy.state import SECOND, Ejection, Server, State

# What a judgement needs: reports of this time (longer where they come seldom), and so many attempts.
MIN_EVIDENCE_TIME = 5 * SECOND // 2
MIN_EVIDENCE_ATTEMPTS = 5
# A path from one zone to another has failed: so many of its servers fail at this rate, and others don't.
PATH_FAILURE_RATE = 0.6
MIN_FAILING_SERVERS = 2
# The failure rate from which a server is ejected lies between these two, at a multiple of the median.
MIN_EJECTION_RATE = 0.5
MAX_EJECTION_RATE = 0.75
EJECTION_MEDIAN_MULTIPLE = 3
MAX_EJECTED_FRACTION = 0.34  # Of the servers.
# Servers weaker than listed. Latencies are fractions of the latency budget, or multiples of the median.
SLOW_LATENCY = 0.6
SLOW_PEER_MULTIPLE = 2.0
REDUCTION_FACTOR = 0.75  # Of the weight, in each step.
MIN_REDUCED_FACTOR = 0.6  # At or below this the weight isn't reduced any more.
MAX_REDUCED_FRACTION = 0.5  # Of the servers.
REDUCTION_TIME = 60 * SECOND  # Then a server gets its whole weight back.
MIN_REDUCTION_EVIDENCE_TIME = 5 * SECOND
MIN_REDUCTION_ATTEMPTS = 10


def recent_results(
    state: State, server: Server, since: int, only_zone: int | None = None
) -> tuple[int, int, float]:
    """Sum what was reported of a server.

    Args:
        state: The instance.
        server: The server.
        since: Only reports from then on count.
        only_zone: The zone whose proxies' reports count. By default all count whose path to the server hasn't
            failed, as attempts on a failed path tell nothing of the server.

    Returns:
        Attempts, failures, and the mean time of the successes in ns.
    """
    attempts = failures = 0
    success_time = 0.0
    for reported_at, report in reversed(server.reports):
        if reported_at < since:
            break
        if (
            report.zone == only_zone
            if only_zone is not None
            else (report.zone, server.entry.zone) not in state.failed_paths
        ):
            attempts += report.attempts
            failures += report.failures
            success_time += report.mean_latency * (report.attempts - report.failures)
    return attempts, failures, success_time / (attempts - failures) if attempts > failures else 0.0


def evaluate_health(state: State) -> None:
    """Judge servers, paths and the load as a whole by the recent reports."""
    # Where reports are cut short, one of each server comes only now and then and covers a longer time.
    lag = state.report_lag = max(state.settings.report_period, int(median(state.report_spans)))
    state.feedback_delay = state.settings.propagation_delay + state.settings.report_period + lag
    evidence_time = max(MIN_EVIDENCE_TIME, 5 * lag // 4)
    update_failed_paths(state, evidence_time)
    results = {
        index: recent_results(state, server, state.now - evidence_time)
        for index, server in state.ready_servers()
    }
    # A few attempts count here too: while most flows are blocked, only failing servers might get many.
    usual_failure_rate = median(
        [failures / attempts for attempts, failures, _ in results.values() if attempts] or [0.0]
    )
    # Late answers tell of load, which an ejection moves on; but not where most fail while no flow is blocked.
    failure_rates = {
        index: failures / attempts
        for index, (attempts, failures, latency) in results.items()
        if attempts >= MIN_EVIDENCE_ATTEMPTS
        and (
            latency < SLOW_LATENCY * state.latency_budget
            or (failures > MAX_EJECTION_RATE * attempts and state.admitted_fraction == 1.0)
        )
    }
    reduce_slow_servers(state)
    # So many servers may be lost that a high failure rate is usual.
    failure_limit = max(
        MIN_EJECTION_RATE, min(EJECTION_MEDIAN_MULTIPLE * usual_failure_rate, MAX_EJECTION_RATE)
    )
    ejected = sum(server.ejection is not None for server in state.servers.values())
    for index in sorted(failure_rates, key=lambda index: (-failure_rates[index], index)):
        if (
            not state.servers[index].ejection
            and failure_rates[index] >= failure_limit
            and ejected + 1 <= MAX_EJECTED_FRACTION * len(results)
        ):
            state.servers[index].ejection = Ejection(state.now)
            ejected += 1
    # Where most of what the list dropped fails, it is right about the rest too.
    doubted_rate = median(
        [rate for index, rate in failure_rates.items() if state.servers[index].doubted] or [0.0]
    )
    for index, server in state.servers.items():
        server.doubted &= max(2 * doubted_rate, failure_rates.get(index, 0.0)) < MIN_EJECTION_RATE
        if server.ejection:
            attempts, failures, _ = recent_results(
                state, server, server.ejection.until + state.feedback_delay
            )
            if server.ejection.update(state.now, attempts, failures, failure_limit):
                server.ejection = None
                server.reports.clear()  # What it did before must not be held against it again.
    newest = [recent_results(state, server, state.now - 5 * lag // 4) for _, server in state.ready_servers()]
    attempts = sum(one[0] for one in newest)
    successes = sum(one[0] - one[1] for one in newest)
    state.success_rate = successes / attempts if attempts else 0.0
    # Whether proxies use a server often enough to meet so many failures in a row before it recovers.
    entries = max(map(len, state.table_weights.values()), default=1)
    failures_needed = state.settings.avoidance_failures * entries * len(state.joined)
    state.proxies_avoid_servers = attempts * CALM_TIME > failures_needed * lag * 5 / 4
    # No attempts are no calm either: with all servers beyond failed paths the first to return gets all flows.
    if usual_failure_rate > WIDESPREAD_FAILURE_RATE or not attempts:
        state.disturbed_at = state.now
    latency = median([one[2] for one in newest if one[0] > one[1]] or [0.0])
    update_admission(state, usual_failure_rate, latency, attempts, successes)


def path_results(
    state: State, ready: list[Server], path: tuple[int, int], since: int
) -> tuple[int, int, int]:
    """Return attempts, failures and failing servers on a path; a server that is ejected doesn't count.

    Args:
        state: The instance.
        ready: The ready servers.
        path: Zone of the proxies and zone of the servers.
        since: Only reports from then on count.
    """
    results = [
        recent_results(state, server, since, path[0])
        for server in ready
        if server.entry.zone == path[1] and not server.ejection
    ]
    # Late answers are answers: overloaded servers of another zone looked like a failed path.
    failing = sum(
        failures > PATH_FAILURE_RATE * attempts and latency < SLOW_LATENCY * state.latency_budget
        for attempts, failures, latency in results
    )
    return sum(one[0] for one in results), sum(one[1] for one in results), failing


def update_failed_paths(state: State, evidence_time: int) -> None:
    """Find paths between zones that have failed, and those that are in order again.

    This covers any trouble between two zones, a lost zone too; failures everywhere are overload and no failed
    path.
    """
    ready = [server for _, server in state.ready_servers()]
    # With a hundred zones most pairs have no reports, and some zones' proxies report to other instances.
    proxy_zones = set(state.partition_zones.values())
    paths = {
        (report.zone, server.entry.zone)
        for server in ready
        for _, report in server.reports
        if report.zone in proxy_zones
    }
    results = {
        path: path_results(state, ready, path, state.now - evidence_time)
        for path in sorted(paths)
        if 0 <= path[1] < state.settings.zones
    }
    all_attempts = sum(one[0] for one in results.values())
    all_failures = sum(one[1] for one in results.values())
    for path, (attempts, failures, failing) in results.items():
        has_failed = (
            failing >= MIN_FAILING_SERVERS
            and attempts >= MIN_EVIDENCE_ATTEMPTS
            and failures > PATH_FAILURE_RATE * attempts
        )
        others_work = (
            all_attempts > attempts
            and (all_failures - failures) / (all_attempts - attempts) < PATH_FAILURE_RATE / 2
        )
        if path[0] != path[1] and path not in state.failed_paths and has_failed and others_work:
            state.failed_paths[path] = Ejection(state.now)
    for path, ejection in list(state.failed_paths.items()):
        attempts, failures, _ = path_results(state, ready, path, ejection.until + state.feedback_delay)
        has_recovered = ejection.update(state.now, attempts, failures, PATH_FAILURE_RATE)
        if has_recovered or path[0] not in state.partition_zones.values():
            del state.failed_paths[path]


def reduce_slow_servers(state: State) -> None:
    """Reduce the weight of a server that answers late while its peers don't: it is weaker than listed."""
    # If many are slow it is overload: hence the comparison with the peers and the limit on how many. A step
    # waits until all reports that count are from after the one before.
    since = state.now - max(MIN_REDUCTION_EVIDENCE_TIME, 2 * state.report_lag)
    results = [(server, *recent_results(state, server, since)) for _, server in state.ready_servers()]
    usual_latency = median([latency for _, attempts, _, latency in results if attempts] or [0.0])
    reduced = sum(server.weight_factor < 1.0 for server in state.servers.values())
    for server, attempts, _, latency in results:
        factor, changed_at = server.weight_factor, server.weight_reduced_at
        is_slow = attempts >= MIN_REDUCTION_ATTEMPTS and latency > max(
            SLOW_LATENCY * state.latency_budget, SLOW_PEER_MULTIPLE * usual_latency
        )
        may_reduce = (
            reduced < MAX_REDUCED_FRACTION * len(results) if factor == 1.0 else factor > MIN_REDUCED_FACTOR
        )
        if (
            is_slow
            and may_reduce
            and state.now > changed_at + state.feedback_delay + MIN_REDUCTION_EVIDENCE_TIME
        ):
            server.weight_factor, server.weight_reduced_at = factor * REDUCTION_FACTOR, state.now
            reduced += factor == 1.0
        elif state.now > changed_at + REDUCTION_TIME:
            server.weight_factor, server.weight_reduced_at = 1.0, 0
            reduced -= factor < 1.0
