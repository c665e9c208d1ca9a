"""What an instance knows: of servers and proxies by the list, the joins and the reports, and what it laid."""

from collections import defaultdict, deque

from ambershift import interface as api
from ambershift.proxy_state import NO_PART, SAMPLES, Proxy

SECOND, BEAT, SPELL, TRIAL_TRIES, TRIAL_PART = 1_000_000_000, 100_000_000, 3_000_000_000, 3, 0.1
DELIVERED_SAMPLES, QUEUE_PART, QUEUE_SPAN = 60, 0.3, 3 * SECOND // 2


class Spell:
    """Something kept out for a while, then tried with a small part, again and again until it does well."""

    def __init__(self, now: int) -> None:
        self.until, self.trial = now + SPELL, False

    def over(self, now: int, tries: int, bad: int, bound: float) -> bool:
        if self.trial and tries >= TRIAL_TRIES:
            self.trial, self.until = False, now + SPELL
            return bad < bound * tries
        if not self.trial and now >= self.until:
            self.trial, self.until = True, now
        return False


class Server:
    def __init__(self, entry: api.Entry, now: int) -> None:
        self.entry, self.told = entry, now  # And when the list first showed it as it is now.
        self.met: deque[tuple[int, api.ServerReport]] = deque(maxlen=SAMPLES)
        self.doubted = False  # Dropped by a list that doesn't bind, and nothing met bears it out.
        self.ill: Spell | None = None
        self.eased = 1.0, 0  # The part of its line that it is left, and since when.


class State:
    now, orders = 0, list[api.Order]()  # Of the step that runs.

    def start(self, seed: int, terms: api.PolicySettings) -> None:
        self.seed, self.terms, self.born_at, self.sliced = seed, terms, self.now, terms.slices > 0
        self.watch_at, self.watch_gap, self.token = self.now if terms.must_watch else None, SECOND, 1
        self.binding = {api.Phase.DRAINING} | (set() if terms.only_draining_binds else {api.Phase.GONE})
        self.servers, self.proxies, self.joined = dict[int, Server](), dict[int, Proxy](), dict[int, Proxy]()
        self.users = defaultdict[int | None, dict[int, Proxy]](dict)  # Joined proxies by their table.
        self.spans, self.heard, self.judged_at = deque([terms.report_period], maxlen=SAMPLES), False, self.now
        self.cut, self.delivered = dict[tuple[int, int], Spell](), deque[float](maxlen=DELIVERED_SAMPLES)
        self.budget, self.lag, self.settle = min(one.budget for one in terms.groups), 0, 0
        self.herds, self.well, self.calm_at = True, 0.0, self.now
        self.level, self.level_at, self.again = 1.0, 0, api.RetryPolicy.IF_NOT_RUN
        # Groups of less utility for their latency budget, which stands in for the work, yield in an overload.
        density = [group.utility / group.budget for group in terms.groups]
        yields = sum(1 << at for at, one in enumerate(density) if one < max(density))
        self.masks = [(yields, terms.admission_mode == "fraction")] * (yields > 0)
        self.masks += [((1 << len(density)) - 1 - yields, False)]
        self.parts, self.zone_of, self.share, self.fallback = 0, dict[int, int](), dict[int, float](), False
        self.laid, self.edited, self.got = dict[int, dict[int, float]](), dict[int, int](), dict[int, float]()
        self.laid_levels = dict[int, dict[int, tuple[api.RetryPolicy, float]]]()
        self.idle, self.placed, self.shut, self.shut_at = True, set[int](), set[int](), 0
        # Lines written, lines that surely left the channel, each mark's turn: lines before it and its own.
        self.written, self.gone, self.marks = 0.0, 0.0, dict[int, tuple[float, dict[int, float], float]]()
        self.gone_at, self.before, self.spent, self.mark = self.now, 0.0, dict[int, float](), 0
        # Most stays free for withdrawals; a large limit holds many seconds that any answer would wait behind.
        self.usual = min(QUEUE_PART * terms.queue_limit, terms.lines_per_s * QUEUE_SPAN / SECOND)
        self.held, self.stopped = dict[int, dict[int, float]](), dict[int, int]()

    def hear_list(self, event: api.Listed) -> None:
        listed = {entry.server for entry in event.entries} if event.whole else self.servers.keys()
        gone = [
            server.entry._replace(phase=api.Phase.GONE)
            for index, server in self.servers.items()
            if index not in listed
        ]
        for entry in (*event.entries, *gone):
            known = self.servers.setdefault(entry.server, Server(entry, self.now))
            if entry.phase != known.entry.phase:
                known.told = self.now
            # Against a wrong list: where gone doesn't bind, what was ready stays until tries fail there.
            if entry.phase == api.Phase.GONE not in self.binding:
                seen = known.met or self.now > self.born_at + SECOND  # Who is just born has an old list.
                known.doubted |= bool(seen and known.entry.phase == api.Phase.READY)
                if known.entry.phase != api.Phase.DRAINING:
                    known.entry = known.entry._replace(phase=api.Phase.GONE)
                continue
            if entry.since != known.entry.since:  # What the old process did says nothing of the new one.
                known.ill = None
                known.met.clear()
            known.entry, known.doubted = entry, False

    def join(self, event: api.Joined) -> None:
        known = self.proxies.setdefault(event.proxy, Proxy(event.zone))
        # A new stream knows none of our orders, also when the old one's end was never told.
        self.users[known.table].pop(event.proxy, None)
        known.zone, known.part, known.table, known.rate = event.zone, NO_PART, None, event.rate
        self.joined[event.proxy] = self.users[None][event.proxy] = known
        known.messages.clear()

    def ready(self) -> list[tuple[int, Server]]:
        return [
            (index, server)
            for index, server in self.servers.items()
            if (server.entry.phase == api.Phase.READY or server.doubted) and server.entry.weight > 0
        ]
