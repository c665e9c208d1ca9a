"""All decisions of ambershift: which servers each zone's proxies share, and what is done when things fail.

A front calls `TableManager.step(now, events)` whenever something happened to its instance, first `Born`, and
carries out the orders that come back, in order; `Wake` wakes the module itself. Event and order types stand
in `ambershift/interface.py`, and docs/design.md tells which part comes from where.
"""

from collections import defaultdict, deque
from collections.abc import Collection, Sequence
from statistics import fmean, median

from ambershift import interface as api

SECOND, BEAT = 1_000_000_000, 100_000_000
PROMPT = (api.Born, api.Listed, api.Joined, api.Due, api.Given)  # Reports can wait for the next beat.

# The ordinary path: the design's starting values, and the servers' worth with which a zone table is safe.
TRAFFIC_WINDOW, SHARE_MOVE, WORTH_LEAST, OVERLOAD_LIMIT, OVERLOAD_CALM = 30 * SECOND, 0.1, 2.5, 0.2, 0.15
# Most of the channel stays free for a burst of withdrawals; edits leave half of the rest to first bindings.
QUEUE_PART, QUEUE_SPAN, DRAIN_PART, EDITS, SLOW_CHANNEL, MARKS = 0.3, 3 * SECOND // 2, 0.95, 0.5, 0.2, 5000
# Servers of a part of a zone, where zones are parted; how long one is gone before no table can still have it.
PART_LEAST, NO_PART, FORGET = 8, -1, 300 * SECOND
# Parts of a proxy's messages that orders may use: ordinary ones, first bindings, cold lines, drains.
ORDINARY, PRESSING, GUARDING, BINDING = 0.6, 0.75, 0.8, 1.0
# Health: what counts as evidence, as failing and as a cut, and how what is out is tried again.
SAMPLES, EVIDENCE, EVIDENCE_TRIES, TRIAL_PART, TRIAL_TRIES = 40, 5 * SECOND // 2, 5, 0.1, 3
BAD_SHARE, LOST_SHARE, CUT_SHARE, CUT_SERVERS, OUT_MOST, SPELL = 0.5, 0.75, 0.6, 2, 0.34, 3 * SECOND
# Servers weaker than listed: times are parts of the latency budget, or multiples of the peers' time.
LATE, LATE_PEERS, EASE_STEP, EASED_LEAST, EASED_MOST = 0.6, 2.0, 0.75, 0.6, 0.5
EASE_SPELL, EASE_EVIDENCE, EASE_TRIES = 60 * SECOND, 5 * SECOND, 10
# Cold servers: their steps, and when they get a line while failures may fall on them.
COLD_STEP, COLD_BEAT, COLD_WARY, FIRM_LOAD, CALM_SPELL = 0.05, 2 * SECOND, 0.4, 2.2, 10 * SECOND
# Overload: from when further tries stop, from when flows are blocked, as parts of the latency budget.
BUSY_TIME, CALM_TIME, FULL_TIME, SHARED_BAD = 0.55, 0.38, 0.27, 0.12
LEVEL_LEAST, LEVEL_RISE, LOAD_AIM, DELIVERED_SAMPLES = 0.05, 0.5, 0.9, 60


class Server:
    def __init__(self, entry: api.Entry, now: int) -> None:
        self.entry = entry
        self.met: deque[tuple[int, api.Met]] = deque(maxlen=SAMPLES)
        self.told = now  # When the list first showed it as it is now.
        self.doubted = False  # Dropped by a list that doesn't bind, and nothing met bears it out.


class Proxy:
    def __init__(self, zone: int) -> None:
        self.zone, self.part, self.rate = zone, NO_PART, 0.0
        self.table: int | None = None
        self.usage: deque[tuple[int, int, int]] = deque()
        self.came = self.span = 0  # Sums over the usage held.
        self.messages: deque[int] = deque(maxlen=SAMPLES)

    def hear(self, now: int, event: api.Usage) -> None:
        self.usage.append((now, event.came, event.span))
        self.came, self.span = self.came + event.came, self.span + event.span

    def forget(self, before: int) -> None:
        while self.usage and self.usage[0][0] < before:
            _, came, span = self.usage.popleft()
            self.came, self.span = self.came - came, self.span - span


class Spell:
    """Something kept out for a while, then tried with a small part, again and again until it does well."""

    def __init__(self, now: int) -> None:
        self.until, self.trial = now + SPELL, False

    def over(self, now: int, tries: int, bad: int, bound: float) -> bool:
        if not self.trial and now >= self.until:
            self.trial, self.until = True, now
        elif self.trial and tries >= TRIAL_TRIES:
            if bad < bound * tries:
                return True
            self.trial, self.until = False, now + SPELL
        return False


class TableManager:
    def start(self, seed: int, terms: api.Terms) -> None:
        self.state, self.zones, self.born_at = seed, terms.zones, self.now
        self.watch_at: int | None = self.now if terms.must_watch else None
        self.watch_gap, self.watch_gap_most = SECOND, terms.told_after // 3
        self.binding = {api.Phase.DRAINING} | (set() if terms.only_draining_binds else {api.Phase.GONE})
        self.cold, self.cold_share = terms.cold, terms.cold_share
        self.firm, self.fall_multiple = min(0.9, FIRM_LOAD / terms.fall_multiple), terms.fall_multiple
        self.strikes, self.herds, self.well = terms.strikes, True, 0.0
        self.drain_per_ns, self.lines_per_s = terms.lines_per_s * SLOW_CHANNEL / SECOND, terms.lines_per_s
        self.head, self.queue_limit = terms.head, terms.waiting_limit
        # A large fleet's limit may hold many seconds of lines that any answer to trouble would wait behind.
        self.usual = min(QUEUE_PART * terms.waiting_limit, terms.lines_per_s * QUEUE_SPAN / SECOND)
        self.message_limit, self.message_span = terms.message_limit, terms.message_span
        self.way, self.period = terms.way, terms.report_period
        self.spans = deque([terms.report_period], maxlen=SAMPLES)
        self.budget, self.levels_heeded = min(one.budget for one in terms.groups), terms.levels == "fraction"
        # Groups of less utility for their latency budget, which stands in for the work, yield in an overload.
        density = [group.utility / group.budget for group in terms.groups]
        yields = sum(1 << at for at, one in enumerate(density) if one < max(density))
        self.masks = [(yields, True)] * (yields > 0) + [((1 << len(density)) - 1 - yields, False)]
        self.servers, self.proxies, self.joined = dict[int, Server](), dict[int, Proxy](), dict[int, Proxy]()
        self.users = defaultdict[int | None, dict[int, Proxy]](dict)  # Joined proxies by their table.
        self.due_proxies, self.parts, self.zone_of = terms.proxies, 0, dict[int, int]()
        self.laid, self.eased = dict[int, dict[int, float]](), dict[int, tuple[float, int]]()
        self.edited = dict[int, int]()
        self.laid_levels = dict[int, dict[int, tuple[api.Again, float]]]()
        self.patience = max(0, terms.grace - terms.way_most) // 4
        self.shut_gap = max(0, terms.grace - terms.way_most) // 2 if terms.message_limit else 0
        self.ill, self.cut = dict[int, Spell](), dict[tuple[int, int], Spell]()
        self.share, self.fallback, self.shut, self.shut_at = dict[int, float](), False, set[int](), 0
        self.heard, self.judged_at, self.calm_at = False, self.now, self.now
        self.level, self.level_at, self.again = 1.0, 0, api.Again.IF_NOT_RUN
        self.delivered: deque[float] = deque(maxlen=DELIVERED_SAMPLES)
        # Lines written, lines that surely left the channel, each mark's turn: lines before it and its own.
        self.written, self.gone, self.marks = 0.0, 0.0, dict[int, tuple[float, dict[int, float], float]]()
        self.gone_at, self.mark, self.token = self.now, 0, 1
        self.held, self.stopped = dict[int, dict[int, float]](), dict[int, int]()
        self.sliced, self.single_owner = terms.slices > 0, terms.single_owner
        # After this long without our leave no proxy writes to an owner and none has a write in hand there.
        self.handover = terms.in_hand + max(terms.lease, terms.way_most) + SECOND
        self.orders.append(api.Wake(BEAT, self.token))

    def step(self, now: int, events: Sequence[api.Event]) -> list[api.Order]:
        self.now, self.orders = now, list[api.Order]()
        for event in events:
            match event:
                case api.Born():
                    self.start(event.seed, event.terms)
                case api.Listed():
                    self.hear_list(event)
                case api.ListFailed():
                    # Spacing with chance: all instances lose the list at once and would storm it together.
                    self.watch_at = now + int(self.watch_gap * (0.5 + self.chance()))
                    self.watch_gap = min(2 * self.watch_gap, self.watch_gap_most)
                case api.Joined():
                    self.join(event)
                case api.Applied():
                    self.hear_applied(event)
                case api.Left() if event.proxy in self.joined:
                    del self.joined[event.proxy]
                    self.users[self.proxies[event.proxy].table].pop(event.proxy)
                case api.Met() if event.server in self.servers:
                    self.servers[event.server].met.append((now, event))
                    self.spans.append(event.span)
                    self.heard = True
                case api.Usage() if event.proxy in self.proxies:
                    self.proxies[event.proxy].hear(now, event)
                case api.Due() if event.token == self.token:
                    self.token += 1
                    self.orders.append(api.Wake(BEAT, self.token))
                case api.Given():
                    self.held[event.slice] = {}
                case api.Taken():
                    self.held.pop(event.slice, None)
                    self.stopped.pop(event.slice, None)
                case api.Held():
                    self.held.setdefault(event.slice, {})[event.server] = event.weight
        if any(isinstance(event, PROMPT) for event in events):
            self.turn()
        return self.orders

    def chance(self) -> float:
        """A linear congruential generator; only its high bits are good enough to be used."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 40) / 2**24

    def hear_list(self, event: api.Listed) -> None:
        self.watch_gap = SECOND
        entries = list(event.entries)
        if event.whole:
            listed = {entry.server for entry in entries}
            entries += [server.entry._replace(phase=api.Phase.GONE)
                        for index, server in self.servers.items() if index not in listed]
        for entry in entries:
            known = self.servers.setdefault(entry.server, Server(entry, self.now))
            if entry.phase != known.entry.phase:
                known.told = self.now
            # A wrong list would strip proxies of servers at work: where gone doesn't bind, what was ready
            # stays until tries fail there; not what one just born has from an old list, nor what drained.
            if entry.phase == api.Phase.GONE not in self.binding:
                seen = known.met or self.now > self.born_at + SECOND
                known.doubted |= bool(seen and known.entry.phase == api.Phase.READY)
                if known.entry.phase != api.Phase.DRAINING:
                    known.entry = known.entry._replace(phase=api.Phase.GONE)
                continue
            known.doubted = False
            if entry.since != known.entry.since:  # What the old process did says nothing of the new one.
                self.ill.pop(entry.server, None)
                known.met.clear()
            known.entry = entry

    def join(self, event: api.Joined) -> None:
        known = self.proxies.setdefault(event.proxy, Proxy(event.zone))
        # A new stream knows none of our orders, also when the old one's end was never told.
        self.users[known.table].pop(event.proxy, None)
        known.zone, known.part, known.table, known.rate = event.zone, NO_PART, None, event.rate
        self.joined[event.proxy] = self.users[None][event.proxy] = known
        known.messages.clear()

    # What is seen

    def warmth(self, since: int) -> float:
        """The part of itself that a server surely is by now, in steps so that few lines change."""
        if not since or not self.cold or self.now >= since + self.cold:
            return 1.0
        # All cold servers take their steps at one time, else each would cost its proxies messages of its own.
        age = max(0, self.now - self.now % COLD_BEAT - since)
        part = self.cold_share + (1 - self.cold_share) * age / self.cold
        # Proxies that avoid servers that failed them send all to the one line left: while most tries fail,
        # or may unseen by a controller just born, a cold server waits until it stands twice its full load.
        wary = self.now < self.calm_at + CALM_SPELL
        if wary and self.herds and part < self.firm:
            return 0.0
        if wary or self.level < 1.0:
            # Where none avoids, what falls on it is what falls on all: so many times what is delivered.
            part *= COLD_WARY if self.herds else min(1.0, COLD_WARY * self.fall_multiple * self.well)
        return int(part / COLD_STEP) * COLD_STEP

    def usable(self) -> dict[int, float]:
        """Ready servers and the part of each that counts: cold ones and those on trial count in part."""
        parts = {}
        for index, server in self.ready():
            spell = self.ill.get(index)
            part = self.warmth(server.entry.since) * self.eased.get(index, (1.0, 0))[0]
            if part and (spell is None or spell.trial):
                parts[index] = min(part, TRIAL_PART) if spell else part
        return parts or dict.fromkeys(dict(self.ready()), COLD_STEP)

    def ready(self) -> list[tuple[int, Server]]:
        return [(index, server) for index, server in self.servers.items()
                if (server.entry.phase == api.Phase.READY or server.doubted) and server.entry.weight > 0]

    def recent(self, server: Server, since: int, only: int | None = None) -> tuple[int, int, float]:
        """Tries, bad ones and mean time of the good; tries across a cut tell nothing of the server."""
        tries, bad, took = 0, 0, 0.0
        for at, met in reversed(server.met):
            if at < since:
                break
            if met.zone == only if only is not None else (met.zone, server.entry.zone) not in self.cut:
                tries += met.tries
                bad += met.bad
                took += met.mean_time * (met.tries - met.bad)
        return tries, bad, took / (tries - bad) if tries > bad else 0.0

    def judge(self) -> None:
        """Keep out servers that fail far more than their peers; all failing alike is overload."""
        # Where reports are cut short, a line of each server comes only now and then and tells of longer.
        self.lag = max(self.period, int(median(self.spans)))
        self.settle, evidence = self.way + self.period + self.lag, max(EVIDENCE, 5 * self.lag // 4)
        self.find_cuts(evidence)
        seen = {index: self.recent(server, self.now - evidence) for index, server in self.ready()}
        # Few tries count here too: while most is blocked, only servers that fail might be met often.
        usual = median([bad / tries for tries, bad, _ in seen.values() if tries] or [0.0])
        # Late answers tell of load, which putting out moves on; not where few come while no flow is blocked.
        shares = {index: bad / tries for index, (tries, bad, took) in seen.items()
                  if tries >= EVIDENCE_TRIES and (
                      took < LATE * self.budget or bad > LOST_SHARE * tries and self.level == 1.0)}
        self.ease()
        # Where most of what the list dropped fails, it is right about the rest too.
        typical = median([share for one, share in shares.items() if self.servers[one].doubted] or [0.0])
        for index, server in self.servers.items():
            server.doubted &= max(2 * typical, shares.get(index, 0.0)) < BAD_SHARE
        bound = max(BAD_SHARE, min(3 * usual, LOST_SHARE))  # So many may be lost that it is usual.
        for index in sorted(shares, key=lambda index: (-shares[index], index)):
            if index not in self.ill and shares[index] >= bound and len(self.ill) + 1 <= OUT_MOST * len(seen):
                self.ill[index] = Spell(self.now)
        for index, spell in list(self.ill.items()):
            tries, bad, _ = self.recent(self.servers[index], spell.until + self.settle)
            if spell.over(self.now, tries, bad, bound):
                del self.ill[index]
                self.servers[index].met.clear()  # What it did before must not be held against it again.
        fresh = {index: self.recent(server, self.now - 5 * self.lag // 4) for index, server in self.ready()}
        tries = sum(one[0] for one in fresh.values())
        good = tries - sum(one[1] for one in fresh.values())
        self.well = good / tries if tries else 0.0
        # Whether proxies meet a line often enough to avoid it for failures on end before it is well again.
        lines = max(map(len, self.laid.values()), default=1)
        self.herds = tries * CALM_SPELL > self.strikes * lines * len(self.joined) * self.lag * 5 / 4
        # Nothing met is no calm either: with all servers beyond a cut the first to return takes every flow.
        if usual > SHARED_BAD or not tries:
            self.calm_at = self.now
        took = median([one[2] for one in fresh.values() if one[0] > one[1]] or [0.0])
        # Failures alone tell of servers lost or cut off: servers too full answer the rest late as well.
        busy = took > BUSY_TIME * self.budget or usual > SHARED_BAD and took > FULL_TIME * self.budget
        # A try after a time-out runs the flow twice; one after a refusal feeds an overload.
        self.again = api.Again.NEVER if busy else api.Again.IF_NOT_RUN
        self.set_level(busy or took > CALM_TIME * self.budget, took, tries, good)

    def across(self, pair: tuple[int, int], since: int) -> tuple[int, int, int]:
        """Tries, bad ones and failing servers from a zone to another; a server known as ill is no cut."""
        met = [self.recent(server, since, pair[0]) for index, server in self.ready()
               if server.entry.zone == pair[1] and index not in self.ill]
        # Late answers are answers: overloaded servers of another zone looked like a cut.
        failing = sum(bad > CUT_SHARE * tries and took < LATE * self.budget for tries, bad, took in met)
        return sum(one[0] for one in met), sum(one[1] for one in met), failing

    def find_cuts(self, evidence: int) -> None:
        # It covers any trouble between two zones, a lost zone too; bad everywhere is overload and no cut.
        met = {(near, far): self.across((near, far), self.now - evidence)
               for near in sorted(set(self.zone_of.values())) for far in range(self.zones)}
        tries, bad = sum(one[0] for one in met.values()), sum(one[1] for one in met.values())
        for pair, (some, failed, failing) in met.items():
            clear = failing >= CUT_SERVERS and some >= EVIDENCE_TRIES and failed > CUT_SHARE * some
            well = tries > some and (bad - failed) / (tries - some) < CUT_SHARE / 2
            if pair[0] != pair[1] and pair not in self.cut and clear and well:
                self.cut[pair] = Spell(self.now)
        for pair, spell in list(self.cut.items()):
            some, failed, _ = self.across(pair, spell.until + self.settle)
            if spell.over(self.now, some, failed, CUT_SHARE) or pair[0] not in self.zone_of.values():
                del self.cut[pair]

    def ease(self) -> None:
        """Lessen the line of a server that answers late while its peers don't: it is weaker than listed."""
        # Many slow are an overload: hence the peers and a cap. A step waits till all seen is after the last.
        since = self.now - max(EASE_EVIDENCE, 2 * self.lag)
        seen = {index: self.recent(server, since) for index, server in self.ready()}
        usual = median([one[2] for one in seen.values() if one[0]] or [0.0])
        for index, (tries, _, took) in seen.items():
            part, at = self.eased.get(index, (1.0, 0))
            late = tries >= EASE_TRIES and took > max(LATE * self.budget, LATE_PEERS * usual)
            room = len(self.eased) < EASED_MOST * len(seen) if part == 1.0 else part > EASED_LEAST
            if late and room and self.now > at + self.settle + EASE_EVIDENCE:
                self.eased[index] = part * EASE_STEP, self.now
            elif self.now > at + EASE_SPELL:
                self.eased.pop(index, None)

    def set_level(self, busy: bool, took: float, tries: int, good: int) -> None:
        """Block early while most servers answer late: what comes too late is lost and delays the rest."""
        room = sum(self.servers[index].entry.weight * part for index, part in self.usable().items()) or 1.0
        self.delivered.append(good / room / self.lag)
        # One step for each round trip of order and report, else the same overload is counted twice.
        if self.now < self.level_at + self.settle or not busy and self.level == 1.0:
            return
        self.level_at = self.now
        room *= LOAD_AIM * max(self.delivered) * self.lag / tries if tries else 0.0
        if busy:
            room *= min(1.0, CALM_TIME * self.budget / took if took else 1.0)
            self.level = max(LEVEL_LEAST, self.level * min(0.95, max(0.4, room)))
        else:
            # What was delivered says little when more proxies have come since: headroom alone lets it rise.
            headroom = 1.0 - took / (CALM_TIME * self.budget)
            self.level = min(1.0, self.level * min(2.0, max(1.0 + LEVEL_RISE * headroom, room)))

    # The design's ordinary path

    def split(self, servers: int) -> None:
        """Part zones at size, each part with a table, so that the queue can hold a binding of all proxies."""
        room = self.lines_per_s * QUEUE_SPAN / SECOND / max(1, self.due_proxies) - self.head - 4
        each = max(PART_LEAST, min(room, servers)) * self.zones
        self.parts = max(1, int(servers / each))

    def place(self) -> None:
        """Put each proxy that has none into the part of its zone to which the least traffic is announced."""
        loads = defaultdict[int, float](float)
        for proxy in self.joined.values():
            loads[proxy.part] += proxy.rate
        for proxy in self.joined.values():
            if proxy.part == NO_PART and proxy.zone >= 0:
                first = proxy.zone * self.parts
                proxy.part = min(range(first, first + self.parts), key=lambda part: loads[part])
                loads[proxy.part] += proxy.rate

    def zone_shares(self) -> dict[int, float]:
        """The share of our own proxies' traffic of each part of a zone, held until one moves by a tenth."""
        self.place()  # By what reports span: cut short, some cover more time. None counts as quite silent.
        members, heard = defaultdict[int, list[Proxy]](list), defaultdict[int, list[float]](list)
        for proxy in self.joined.values():
            proxy.forget(self.now - TRAFFIC_WINDOW)
            members[proxy.zone].append(proxy)
            if proxy.span:
                heard[proxy.zone].append((1 + proxy.came) / proxy.span)
        every = [rate for zone in sorted(heard) for rate in heard[zone]] or [1.0]
        flow, self.zone_of = defaultdict[int, float](float), {}
        for zone in sorted(members):
            mean = fmean(heard[zone] or every)
            told = fmean(proxy.rate for proxy in members[zone]) or 1.0
            # A zone has what its proxies' mean makes of their number, and its parts divide it among them.
            rates = [(1 + proxy.came) / proxy.span if proxy.span else mean * (1e-3 + proxy.rate / told)
                     for proxy in members[zone]]
            scale = mean * len(rates) / sum(rates)
            for proxy, rate in zip(members[zone], rates, strict=True):
                flow[proxy.part] += rate * scale
                self.zone_of[proxy.part] = zone
        fresh = {part: flow[part] / sum(flow.values()) for part in sorted(flow)}
        if fresh.keys() != self.share.keys() or any(
                abs(fresh[part] - self.share[part]) > SHARE_MOVE * self.share[part] for part in fresh):
            self.share = fresh
        return self.share

    def deal(self, worth: dict[int, float], shares: dict[int, float]) -> dict[int, list[int]]:
        """Each zone keeps its own servers up to its due and borrows from what others have left."""
        due = {part: share * sum(worth.values()) / sum(shares.values()) for part, share in shares.items()}
        got = self.got = dict.fromkeys(shares, 0.0)
        lines, spare = {part: list[int]() for part in shares}, list[int]()
        homes = defaultdict[int, list[int]](list)
        for part in due:
            homes[self.zone_of[part]].append(part)
        for index in sorted(worth, key=lambda index: (-worth[index], index)):
            fits = [part for part in homes[self.servers[index].entry.zone]
                    if got[part] + worth[index] / 2 <= due[part]]
            if fits:
                # Parts of a zone are alike: a server stays in its own, else the worst off has it.
                part = max(fits, key=lambda part: (index in self.laid.get(part, ()), due[part] - got[part]))
                lines[part].append(index)
                got[part] += worth[index]
            else:
                spare.append(index)
        for index in spare if due else ():
            # The worst off borrows first; a server stays with the zone that has it, else tables would churn.
            part = max(due, key=lambda part: (
                due[part] - got[part] + 0.3 * (index in self.laid.get(part, ())) + 0.1 * (
                    self.zone_of[part] == self.servers[index].entry.zone), -part))
            lines[part].append(index)
            got[part] += worth[index]
        worst = max(((due[part] - got[part]) / got[part] if got[part] else 1.0 for part in due), default=0.0)
        self.fallback = worst > (OVERLOAD_CALM if self.fallback else OVERLOAD_LIMIT)
        return lines

    def plan(self) -> dict[int, dict[int, float]]:
        worth = self.usable()
        if worth and not self.parts:
            self.split(len(worth))
        shares = self.zone_shares() if worth else {}
        if not worth or not shares:
            return {}
        weigh = {index: self.servers[index].entry.weight * part for index, part in worth.items()}
        # With less, one sick server is much of a zone, and cold lines would take a traffic not yet seen.
        apart = {}
        for part in shares:
            if any(near == self.zone_of[part] for near, _ in self.cut):
                reached = self.reach(self.zone_of[part], weigh)
                own = {one: weight for one, weight in reached.items() if (one - part) % self.parts == 0}
                for lines in (reached, own):
                    if sum(worth[one] for one in lines) >= WORTH_LEAST:
                        apart[part] = lines
        near = {part: share for part, share in shares.items() if part not in apart}
        dealt = self.deal(worth, near)
        while small := sorted((had, part) for part, had in self.got.items() if had < WORTH_LEAST):
            del near[small[0][1]]
            dealt = self.deal(worth, near)
        zoned = -1 not in near and all(self.servers[index].entry.zone >= 0 for index in worth)
        if not self.fallback and zoned and len(worth) >= self.zones:
            apart |= {part: {index: weigh[index] for index in dealt[part]} for part in near}
        return apart if apart.keys() >= shares.keys() else apart | {self.zones * self.parts: weigh}

    def reach(self, zone: int, weigh: dict[int, float]) -> dict[int, float]:
        spells = {index: self.cut.get((zone, self.servers[index].entry.zone)) for index in weigh}
        return {index: weigh[index] * (TRIAL_PART if spell else 1.0)
                for index, spell in spells.items() if spell is None or spell.trial}

    def forget(self) -> None:
        """Let go of servers long gone, or those that replacements leave behind would pile up for ever."""
        gone = [index for index, server in self.servers.items() if server.entry.phase == api.Phase.GONE
                and not server.doubted and self.now > server.told + FORGET]
        for index in gone if not self.users[None] and not self.sliced else ():
            for table, laid in self.laid.items():
                if index in laid and self.afford(self.users[table], 1, ORDINARY):
                    del laid[index]
                    self.orders.append(api.Share(table, index, 0.0))
            if not any(index in laid for laid in self.laid.values()):
                self.orders += [api.Withdraw(index, False)] * (index in self.shut)
                self.orders.append(api.Forget(index))
                self.shut.discard(index)
                for held in (self.servers, self.ill, self.eased):
                    held.pop(index, None)

    # What is sent

    def turn(self) -> None:
        if self.watch_at is not None and self.now >= self.watch_at:
            self.watch_at = None
            self.orders.append(api.Watch(True))
        # Also when reports stop: what is out must be tried again, and a level must come back.
        if self.heard or self.now >= self.judged_at + 2 * SECOND:
            self.heard, self.judged_at = False, self.now
            self.judge()
        # Proxies that left answer no marks: a channel far slower than told drains in their place.
        self.gone = min(self.written, self.gone + (self.now - self.gone_at) * self.drain_per_ns)
        self.gone_at, self.before, self.spent = self.now, self.written, dict[int, float]()
        if not (self.sliced and self.single_owner):
            self.withdraw(True)
        if self.sliced:
            self.tend_slices()
        # Edits go together once the channel has nearly run dry: else each is a message to all of its table.
        self.idle = self.written - self.gone <= EDITS * self.usual
        self.shrink()
        tables = {} if self.sliced else self.plan()
        self.placed = {index for laid in self.laid.values() for index in laid}
        for table in sorted(tables, key=lambda table: self.edited.get(table, 0)):
            self.lay(table, tables[table])
        self.withdraw(False)
        self.bind(tables)
        self.forget()
        # Of marks that were written before what has left no answer tells anything any more.
        while self.marks and self.marks[old := next(iter(self.marks))][2] <= self.gone:
            del self.marks[old]
        if self.spent:
            self.mark = self.mark % MARKS + 1
            self.marks[self.mark] = self.before, self.spent, self.written
            self.orders.append(api.Mark(self.mark, False))

    def hear_applied(self, event: api.Applied) -> None:
        """Messages leave one after the other, so all that was written before an answered one has left."""
        before, spent, upto = self.marks.get(event.mark, (0.0, {}, 0.0))
        if lines := spent.pop(event.proxy, 0.0):
            self.marks[event.mark] = before + lines, spent, upto
            self.gone = max(self.gone, before + lines)

    def withdraw(self, out: bool) -> None:
        """Shut out beyond the ordinary budget: a drain has a grace, all else can wait."""
        # Against a message for each of a wave, or more lines than the channel holds: the rest waits a part.
        if out and self.now < self.shut_at:
            return
        for index, server in self.servers.items():
            if (index in self.shut) != out and (server.entry.phase in self.binding) == out:
                # A proxy taken over gets a table without it, for less than a line for each of a wave.
                if out and self.users[None] and not self.sliced and self.now < server.told + self.patience:
                    continue
                if not out and any(laid.get(index, 0.0) > self.most(server)
                                   for table, laid in self.laid.items() if self.users[table]):
                    continue  # An old line may be larger than a cold server stands.
                if not self.afford(self.holders(index), 1, BINDING if out else PRESSING):
                    self.shut_at = self.now + self.shut_gap // 2 * out
                    break
                self.shut ^= {index}
                self.shut_at = self.now + self.shut_gap * out
                self.orders.append(api.Withdraw(index, out))

    def holders(self, server: int) -> list[int]:
        """Proxies to which a withdrawal costs a line: with a table that has it, or with one not of ours."""
        return [proxy for table, users in self.users.items() if table is None or server in self.laid[table]
                for proxy in users]

    def afford(self, proxies: Collection[int], lines: int, part: float) -> bool:
        """Take room in the channel and in each proxy's count of messages, or leave it for a later turn."""
        fresh = [self.proxies[index] for index in proxies if index not in self.spent]
        cost, written = lines * len(proxies) + (self.head + 1) * len(fresh), 0
        if self.message_limit:
            horizon = self.now - self.message_span
            written = max((sum(at > horizon for at in proxy.messages) for proxy in fresh), default=0)
        waiting = self.written - self.gone
        usual = self.usual * (EDITS if self.users[None] and part == ORDINARY else 1.0)
        most = self.queue_limit * DRAIN_PART if part >= GUARDING else usual
        if waiting and waiting + cost > most or self.message_limit and written >= part * self.message_limit:
            return False
        for index in proxies:
            self.spent[index] = self.spent.get(index, self.head + 1) + lines
        self.written += cost
        for proxy in fresh if self.message_limit else ():
            proxy.messages.append(self.now)
        return True

    def most(self, server: Server) -> float:
        return server.entry.weight * max(COLD_STEP, self.warmth(server.entry.since))

    def shrink(self) -> None:
        """Lower the lines of servers that started cold, in each table in use, also in one on its way out."""
        most = {index: self.most(server) for index, server in self.ready()}
        for table, laid in self.laid.items():
            for index, weight in laid.items():
                if weight > most.get(index, weight) and self.afford(self.users[table], 1, GUARDING):
                    laid[index] = most[index]
                    self.orders.append(api.Share(table, index, most[index]))

    def lay(self, table: int, wanted: dict[int, float]) -> None:
        laid = self.laid.setdefault(table, {})
        users = self.users[table]
        changes = [(index, weight) for index, weight in wanted.items()
                   if abs(weight - laid.get(index, 0.0)) > 1e-6]
        # Additions before removals: a table cut in two by the budget must never be the emptier for it. Lines
        # of servers that are shut out harm nobody and can wait for an idle channel.
        kept = wanted.keys() | (() if self.idle else self.shut)
        changes += [(index, 0.0) for index in laid if index not in kept]
        # A server that no table has yet brings what drains have taken; what only moves or changes can wait.
        fresh = not any(index in laid and index not in self.shut for index in wanted)
        changes.sort(key=lambda change: change[0] in self.placed)
        for index, weight in changes:
            new = fresh or index not in self.placed and index not in self.ill
            if (new or self.idle) and self.afford(users, 1, PRESSING if new else ORDINARY):
                self.edited[table] = self.now
                self.orders.append(api.Share(table, index, weight))
                laid[index] = weight
                if not weight:
                    del laid[index]
        levels = self.laid_levels.setdefault(table, {})
        for mask, yields in self.masks:
            wish = self.again, round(self.level, 2) if yields and self.levels_heeded else 1.0
            if levels.get(mask) != wish and self.afford(users, 1, ORDINARY):
                self.orders.append(api.Level(table, mask, *wish))
                levels[mask] = wish

    def bind(self, tables: dict[int, dict[int, float]]) -> None:
        """Worst off first: proxies with no table of ours, of these the busiest."""
        goals = {part: part if part in tables else self.zones * self.parts for part in {-1, *self.share}}
        moves = [(index, proxy) for index, proxy in self.joined.items() if proxy.table != goals[proxy.part]]
        for index, proxy in sorted(moves, key=lambda one: (one[1].table is not None, -one[1].rate)):
            lines = self.laid.get(table := goals[proxy.part], {})
            if all(line in self.shut for line in lines):
                continue
            cost = 1 + len(lines) + len(self.shut & lines.keys()) + len(self.laid_levels.get(table, ()))
            first = proxy.table is None
            if (first or self.idle) and self.afford([index], cost, PRESSING if first else ORDINARY):
                self.users[table][index] = self.users[proxy.table].pop(index)
                proxy.table = table
                self.orders.append(api.Bind(index, table, 0))

    def tend_slices(self) -> None:
        """Give each slice in our charge the server that holds least, and leave it there while it is ready."""
        # Against writes at two servers a single owner's slice stops until none can be in hand there.
        everyone = self.joined
        ready = self.usable()
        load = {index: sum(index in lines for lines in self.held.values()) for index in ready}
        for number, lines in sorted(self.held.items()):
            if not ready or any(index in ready for index in lines) and number not in self.stopped:
                continue
            if self.single_owner and lines:
                if number not in self.stopped and self.afford(everyone, 1, PRESSING):
                    self.stopped[number] = self.now
                    self.orders.append(api.Level(number, 0, api.Again.NEVER, 0.0))
                if self.now < self.stopped.get(number, self.now) + self.handover:
                    continue
            heir = min(ready, key=lambda index: (load[index] / self.servers[index].entry.weight, index))
            if self.afford(everyone, 2 + len(lines), PRESSING):
                load[heir] += 1
                self.orders.append(api.Share(number, heir, self.servers[heir].entry.weight))
                if self.stopped.pop(number, None) is not None:
                    self.orders.append(api.Level(number, 0, api.Again.NEVER, 1.0))
                if not self.single_owner:
                    self.orders += [api.Share(number, index, 0.0) for index in lines if index != heir]
                self.held[number] = {heir: self.servers[heir].entry.weight}
