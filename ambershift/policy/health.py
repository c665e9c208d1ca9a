"""Health: servers that fail far more than their peers are kept out; all failing alike is overload."""

from statistics import median

from ambershift.policy.cold import CALM_SPELL
from ambershift.policy.levels import SHARED_BAD, set_level
from ambershift.policy.state import SECOND, Server, Spell, State

EVIDENCE, EVIDENCE_TRIES, CUT_SHARE, CUT_SERVERS = 5 * SECOND // 2, 5, 0.6, 2
BAD_SHARE, LOST_SHARE, OUT_MOST = 0.5, 0.75, 0.34
# Servers weaker than listed: times are parts of the latency budget, or multiples of the peers' time.
LATE, LATE_PEERS, EASE_STEP, EASED_LEAST, EASED_MOST = 0.6, 2.0, 0.75, 0.6, 0.5
EASE_SPELL, EASE_EVIDENCE, EASE_TRIES = 60 * SECOND, 5 * SECOND, 10


def recent(state: State, server: Server, since: int, only: int | None = None) -> tuple[int, int, float]:
    """Tries, bad ones and mean time of the good; tries across a cut tell nothing of the server."""
    tries, bad, took = 0, 0, 0.0
    for at, met in reversed(server.met):
        if at < since:
            break
        if met.zone == only if only is not None else (met.zone, server.entry.zone) not in state.cut:
            tries += met.attempts
            bad += met.failures
            took += met.mean_latency * (met.attempts - met.failures)
    return tries, bad, took / (tries - bad) if tries > bad else 0.0


def judge(state: State) -> None:
    # Where reports are cut short, a line of each server comes only now and then and tells of longer.
    lag = state.lag = max(state.terms.report_period, int(median(state.spans)))
    state.settle, evidence = (
        state.terms.propagation_delay + state.terms.report_period + lag,
        max(EVIDENCE, 5 * lag // 4),
    )
    find_cuts(state, evidence)
    seen = {index: recent(state, server, state.now - evidence) for index, server in state.ready()}
    # Few tries count here too: while most is blocked, only servers that fail might be met often.
    usual = median([bad / tries for tries, bad, _ in seen.values() if tries] or [0.0])
    # Late answers tell of load, which putting out moves on; not where few come while no flow is blocked.
    shares = {
        one: bad / tries
        for one, (tries, bad, took) in seen.items()
        if tries >= EVIDENCE_TRIES
        and (took < LATE * state.budget or (bad > LOST_SHARE * tries and state.level == 1.0))
    }
    ease(state)
    bound = max(BAD_SHARE, min(3 * usual, LOST_SHARE))  # So many may be lost that it is usual.
    out = sum(server.ill is not None for server in state.servers.values())
    for index in sorted(shares, key=lambda index: (-shares[index], index)):
        if not state.servers[index].ill and shares[index] >= bound and out + 1 <= OUT_MOST * len(seen):
            state.servers[index].ill, out = Spell(state.now), out + 1
    # Where most of what the list dropped fails, it is right about the rest too.
    typical = median([share for one, share in shares.items() if state.servers[one].doubted] or [0.0])
    for index, server in state.servers.items():
        server.doubted &= max(2 * typical, shares.get(index, 0.0)) < BAD_SHARE
        if server.ill:
            tries, bad, _ = recent(state, server, server.ill.until + state.settle)
            if server.ill.over(state.now, tries, bad, bound):
                server.ill = None
                server.met.clear()  # What it did before must not be held against it again.
    fresh = [recent(state, server, state.now - 5 * lag // 4) for _, server in state.ready()]
    tries, good = sum(one[0] for one in fresh), sum(one[0] - one[1] for one in fresh)
    state.well = good / tries if tries else 0.0
    # Whether proxies meet a line often enough to avoid it for failures on end before it is well again.
    lines = max(map(len, state.laid.values()), default=1)
    state.herds = (
        tries * CALM_SPELL > state.terms.avoidance_failures * lines * len(state.joined) * lag * 5 / 4
    )
    # Nothing met is no calm either: with all servers beyond a cut the first to return takes every flow.
    if usual > SHARED_BAD or not tries:
        state.calm_at = state.now
    set_level(state, usual, median([one[2] for one in fresh if one[0] > one[1]] or [0.0]), tries, good)


def across(state: State, ready: list[Server], pair: tuple[int, int], since: int) -> tuple[int, int, int]:
    """Tries, bad ones and failing servers from a zone to another; a server known as ill is no cut."""
    met = [
        recent(state, server, since, pair[0])
        for server in ready
        if server.entry.zone == pair[1] and not server.ill
    ]
    # Late answers are answers: overloaded servers of another zone looked like a cut.
    failing = sum(bad > CUT_SHARE * tries and took < LATE * state.budget for tries, bad, took in met)
    return sum(one[0] for one in met), sum(one[1] for one in met), failing


def find_cuts(state: State, evidence: int) -> None:
    # It covers any trouble between two zones, a lost zone too; bad everywhere is overload and no cut.
    ready = [server for _, server in state.ready()]
    # Of most pairs of a hundred zones nothing is met, of zones whose proxies report elsewhere nothing here.
    nears = set(state.zone_of.values())
    pairs = {(met.zone, server.entry.zone) for server in ready for _, met in server.met if met.zone in nears}
    met = {
        pair: across(state, ready, pair, state.now - evidence)
        for pair in sorted(pairs)
        if 0 <= pair[1] < state.terms.zones
    }
    tries, bad = sum(one[0] for one in met.values()), sum(one[1] for one in met.values())
    for pair, (some, failed, failing) in met.items():
        clear = failing >= CUT_SERVERS and some >= EVIDENCE_TRIES and failed > CUT_SHARE * some
        well = tries > some and (bad - failed) / (tries - some) < CUT_SHARE / 2
        if pair[0] != pair[1] and pair not in state.cut and clear and well:
            state.cut[pair] = Spell(state.now)
    for pair, spell in list(state.cut.items()):
        some, failed, _ = across(state, ready, pair, spell.until + state.settle)
        if spell.over(state.now, some, failed, CUT_SHARE) or pair[0] not in state.zone_of.values():
            del state.cut[pair]


def ease(state: State) -> None:
    """Lessen the line of a server that answers late while its peers don't: it is weaker than listed."""
    # Many slow are an overload: hence the peers and a cap. A step waits till all seen is after the last.
    since = state.now - max(EASE_EVIDENCE, 2 * state.lag)
    seen = [(server, *recent(state, server, since)) for _, server in state.ready()]
    usual = median([took for _, tries, _, took in seen if tries] or [0.0])
    count = sum(server.eased[0] < 1.0 for server in state.servers.values())
    for server, tries, _, took in seen:
        part, at = server.eased
        late = tries >= EASE_TRIES and took > max(LATE * state.budget, LATE_PEERS * usual)
        room = count < EASED_MOST * len(seen) if part == 1.0 else part > EASED_LEAST
        if late and room and state.now > at + state.settle + EASE_EVIDENCE:
            server.eased, count = (part * EASE_STEP, state.now), count + (part == 1.0)
        elif state.now > at + EASE_SPELL:
            server.eased, count = (1.0, 0), count - (part < 1.0)
