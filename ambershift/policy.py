"""All decisions of ambershift: which servers each zone's proxies share, and what is done when things fail.

A front calls `TableManager.step(now, events)` whenever something happened to its instance and carries out
the orders that come back, in order. Event and order types stand in `ambershift/interface.py`. The first
event is `Born`; the module wakes itself by `Wake`. docs/design.md tells which part comes from where.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from statistics import median

from ambershift import interface as api

SECOND = 1_000_000_000
BEAT = SECOND // 10
TRAFFIC_WINDOW = 30 * SECOND
SHARE_MOVE = 0.1
OVERLOAD_LIMIT = 0.2
OVERLOAD_CALM = 0.15
ALL = -1

# Half of the limit is kept free at all times: a slow channel and a burst of withdrawals must both fit.
QUEUE_PART = 0.4
SLOW_CHANNEL = 0.6
ORDINARY_MESSAGES = 0.6

EVIDENCE = 5 * SECOND // 2
EVIDENCE_TRIES = 5
BAD_SHARE = 0.3
CUT_SHARE = 0.6
CUT_SERVERS = 2
OUT_MOST = 0.34
SPELL = 4 * SECOND
SPELL_MOST = 16 * SECOND
TRIAL_PART = 0.1
TRIAL_TRIES = 3
COLD_STEP = 0.05
COLD_MARGIN = 0.33
COLD_WARY = 0.4
GOOD_SHARE = 0.85

CALM_TIME = 0.55
LATE = 0.6
LATE_PEERS = 2.0
EASED_PART = 0.5
EASE_SPELL = 60 * SECOND
SHARED_BAD = 0.12
LEVEL_LEAST = 0.05
LEVEL_RISE = 1.08
LOAD_AIM = 0.9


class Chance:
    """A linear congruential generator; only its high bits are good enough to be used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (2**64 - 1)

    def part(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 40) / 2**24


class Server:
    def __init__(self, entry: api.Entry) -> None:
        self.update(entry)
        self.met: deque[api.Met] = deque(maxlen=40)
        self.met_at: deque[int] = deque(maxlen=40)

    def update(self, entry: api.Entry) -> None:
        self.zone, self.phase, self.weight, self.since = entry.zone, entry.phase, entry.weight, entry.since


class Proxy:
    def __init__(self, zone: int) -> None:
        self.zone = zone
        self.table: int | None = None
        self.joined = True
        self.usage: deque[tuple[int, int]] = deque()
        self.messages: deque[int] = deque()


class Illness:
    """A server kept out: until when, how long its next spell is, and whether a trial runs."""

    def __init__(self, until: int) -> None:
        self.until, self.spell, self.trial, self.cured = until, SPELL, False, 0


class TableManager:
    """One controller's decisions."""

    watch_gap: int
    watch_gap_most: int
    token: int

    def step(self, now: int, events: Iterable[api.Event]) -> list[api.Order]:
        self.now, self.orders, turn = now, list[api.Order](), False
        for event in events:
            match event:
                case api.Born():
                    self.start(event.seed, event.terms)
                    turn = True
                case api.Listed():
                    self.hear_list(event)
                    turn = True
                case api.ListFailed():
                    # Spacing with chance: all instances lose the list at once and would storm it together.
                    self.watching = False
                    self.watch_at = now + int(self.watch_gap * (0.5 + self.chance.part()))
                    self.watch_gap = min(2 * self.watch_gap, self.watch_gap_most)
                case api.Joined():
                    self.join(event)
                    turn = True
                case api.Left():
                    if event.proxy in self.proxies:
                        self.proxies[event.proxy].joined = False
                case api.Met():
                    if event.server in self.servers:
                        self.servers[event.server].met.append(event)
                        self.servers[event.server].met_at.append(now)
                        self.heard = True
                case api.Usage():
                    if event.proxy in self.proxies:
                        self.proxies[event.proxy].usage.append((now, event.came))
                case api.Due() if event.token == self.token:
                    self.token += 1
                    self.orders.append(api.Wake(BEAT, self.token))
                    turn = True
                case api.Given() | api.Taken() | api.Held():
                    pass
        if turn:
            self.turn()
        return self.orders

    def start(self, seed: int, terms: api.Terms) -> None:
        self.chance = Chance(seed)
        self.zones = terms.zones
        self.must_watch, self.watching, self.watch_at = terms.must_watch, False, self.now
        self.watch_gap, self.watch_gap_most = SECOND, terms.told_after // 3
        self.grace = terms.grace
        self.only_draining_binds = terms.only_draining_binds
        self.cold, self.cold_share = terms.cold, terms.cold_share
        self.cold_safe = terms.fall_multiple * COLD_MARGIN
        self.drain_per_ns = terms.lines_per_s * SLOW_CHANNEL / SECOND
        self.head, self.queue_most = terms.head, terms.waiting_limit * QUEUE_PART
        self.message_limit = terms.message_limit or 1 << 30
        self.message_span = terms.message_span
        self.fresh = 5 * terms.report_period // 4
        self.settle = terms.way + 2 * terms.report_period
        self.budget = min(group.budget for group in terms.groups)
        self.levels_heeded = terms.levels == "fraction"
        density = [group.utility / group.budget for group in terms.groups]
        best = max(density)
        self.masks = {True: 0, False: 0}
        self.yielding = 0
        for at, group in enumerate(terms.groups):
            lasting = group.dedup_everywhere and group.dedup_window >= group.expiry
            safe = group.repeat == api.Repeat.RETRIABLE or group.repeat == api.Repeat.DEDUPED and lasting
            self.masks[safe] |= 1 << at
            if density[at] < best:
                self.yielding |= 1 << at
        self.everyone = (1 << len(terms.groups)) - 1
        self.servers: dict[int, Server] = {}
        self.proxies: dict[int, Proxy] = {}
        self.laid: dict[int, dict[int, float]] = {}
        self.laid_levels: dict[int, list[tuple[int, api.Again, float]]] = {}
        self.shut: set[int] = set()
        self.ill: dict[int, Illness] = {}
        self.cut: dict[tuple[int, int], Illness] = {}
        self.eased: dict[int, tuple[int, int]] = {}
        self.share: dict[int, float] = {}
        self.fallback = False
        self.heard, self.good_share = False, 0.5
        self.level_at = self.now - self.settle
        self.delivered: deque[float] = deque(maxlen=60)
        self.level, self.again = 1.0, api.Again.IF_NOT_RUN
        self.queue, self.queue_at = 0.0, self.now
        self.token = 1
        self.orders.append(api.Wake(BEAT, self.token))

    def hear_list(self, event: api.Listed) -> None:
        if not event.cached:
            self.watch_gap = SECOND
        if event.whole:
            listed = {entry.server for entry in event.entries}
            for index, server in self.servers.items():
                if index not in listed:
                    server.phase = api.Phase.GONE
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if known is None:
                self.servers[entry.server] = Server(entry)
                continue
            if entry.since != known.since:
                # A new start: what the old process did wrong says nothing about the new one.
                self.ill.pop(entry.server, None)
                known.met.clear()
                known.met_at.clear()
            known.update(entry)

    def join(self, event: api.Joined) -> None:
        known = self.proxies.get(event.proxy)
        if known is None:
            self.proxies[event.proxy] = Proxy(event.zone)
            return
        # A new stream knows none of our orders, also when the old one's end was never told.
        known.zone, known.joined, known.table = event.zone, True, None
        known.messages.clear()

    # What is seen

    def warmth(self, server: Server) -> float:
        """The part of itself that a server surely is by now, in steps so that few lines change."""
        if not server.since or not self.cold or self.now >= server.since + self.cold:
            return 1.0
        part = self.cold_share + (1 - self.cold_share) * (self.now - server.since) / self.cold
        # Tries that fail come again, here and at clients, and look for whoever still takes work: in an
        # overload, or while one may tip over again, a fair part can be many times what a cold server stands.
        if self.level < 1.0 or self.good_share < GOOD_SHARE:
            part *= COLD_WARY * min(1.0, self.cold_safe * self.good_share)
        return max(COLD_STEP, int(part / COLD_STEP) * COLD_STEP)

    def usable(self) -> dict[int, float]:
        """Ready servers and the part of each that counts: cold ones and those on trial count in part."""
        parts = {}
        for index, server in self.servers.items():
            if server.phase != api.Phase.READY or server.weight <= 0:
                continue
            illness = self.ill.get(index)
            part = self.warmth(server) * (EASED_PART if index in self.eased else 1.0)
            if illness is None or illness.cured:
                parts[index] = part
            elif illness.trial:
                parts[index] = min(part, TRIAL_PART)
        return parts

    def joined(self) -> list[tuple[int, Proxy]]:
        return [(index, proxy) for index, proxy in self.proxies.items() if proxy.joined]

    def recent(self, server: Server, since: int, only: int | None = None) -> tuple[int, int, float]:
        """Tries, bad ones and mean time of the good; tries across a cut tell nothing of the server."""
        tries = bad = 0
        took = 0.0
        for at, met in zip(server.met_at, server.met, strict=True):
            if at >= since and (met.zone == only if only is not None else (met.zone, server.zone) not in self.cut):
                tries += met.tries
                bad += met.bad
                took += met.mean_time * (met.tries - met.bad)
        return tries, bad, took / (tries - bad) if tries > bad else 0.0

    def judge(self) -> None:
        """Keep out servers that fail far more than their peers; all failing alike is overload."""
        since = self.now - EVIDENCE
        self.find_cuts()
        seen = {index: self.recent(server, since) for index, server in self.servers.items()
                if server.phase == api.Phase.READY}
        shares = {index: bad / tries for index, (tries, bad, _) in seen.items() if tries >= EVIDENCE_TRIES}
        usual = median(shares.values()) if shares else 0.0
        # Late answers tell of load, not of illness: a server put out for them only moves the load on.
        shares = {index: share for index, share in shares.items() if seen[index][2] < LATE * self.budget}
        ready = len(seen)
        self.ease(seen)
        out = sum(1 for illness in self.ill.values() if not illness.cured)
        for index in sorted(shares, key=lambda index: (-shares[index], index)):
            illness = self.ill.get(index)
            if illness and not illness.cured or shares[index] < max(BAD_SHARE, 3 * usual):
                continue
            if out + 1 > OUT_MOST * ready or illness and self.now < illness.cured + self.settle:
                continue
            if illness is None:
                illness = self.ill[index] = Illness(0)
            else:
                illness.spell = min(2 * illness.spell, SPELL_MOST)
            illness.cured, illness.trial, illness.until = 0, False, self.now + illness.spell
            out += 1
        for index, illness in list(self.ill.items()):
            if illness.cured:
                if self.now > illness.cured + 2 * illness.spell:
                    del self.ill[index]
            elif not illness.trial and self.now >= illness.until:
                illness.trial, illness.until = True, self.now
            elif illness.trial and index in seen:
                tries, bad, _ = self.recent(self.servers[index], illness.until + self.settle)
                if tries >= TRIAL_TRIES:
                    illness.trial = False
                    if bad / tries < max(BAD_SHARE, 3 * usual):
                        illness.cured = self.now
                    else:
                        illness.spell = min(2 * illness.spell, SPELL_MOST)
                        illness.until = self.now + illness.spell
        fresh = {index: self.recent(self.servers[index], self.now - self.fresh) for index in seen}
        tries = sum(one[0] for one in fresh.values())
        if not tries:
            return
        good = tries - sum(one[1] for one in fresh.values())
        self.good_share = good / tries
        took = median([one[2] for one in fresh.values() if one[0]])
        busy = took > CALM_TIME * self.budget or usual > SHARED_BAD
        # A further try after a time-out runs the flow twice, so most failures must come from servers that
        # fail while their peers do well; with all busy it would feed the overload, as one after a refusal.
        failing = sum(one[1] for index, one in fresh.items() if index in self.ill or (
            shares.get(index, 0.0) > max(BAD_SHARE / 2, 3 * usual)))
        calm = api.Again.ONCE if 2 * failing > tries - good else api.Again.IF_NOT_RUN
        self.again = api.Again.NEVER if busy else calm
        self.set_level(busy, took, tries, good)

    def across(self, pair: tuple[int, int], since: int) -> tuple[int, int, int]:
        """Tries, bad ones and servers that fail, from one zone's proxies to another's ready servers.

        Servers known as ill are left out: one borrowed server that died looked like a cut of its zone.
        """
        met = [self.recent(server, since, pair[0]) for index, server in self.servers.items()
               if server.zone == pair[1] and server.phase == api.Phase.READY and index not in self.ill]
        failing = sum(1 for tries, bad, _ in met if tries and bad > CUT_SHARE * tries)
        return sum(one[0] for one in met), sum(one[1] for one in met), failing

    def find_cuts(self) -> None:
        """Find zones that can't reach another zone's servers, while tries elsewhere go well.

        It answers any trouble between two zones, a lost zone too; bad everywhere is overload and no cut.
        """
        zones = sorted({proxy.zone for _, proxy in self.joined()})
        pairs = [(near, far) for near in zones for far in range(self.zones)]
        met = {pair: self.across(pair, self.now - EVIDENCE) for pair in pairs}
        tries, bad = sum(one[0] for one in met.values()), sum(one[1] for one in met.values())
        for pair, (some, failed, failing) in met.items():
            elsewhere = (bad - failed) / (tries - some) if tries > some else 1.0
            known = pair in self.cut
            if pair[0] != pair[1] and not known and failing >= CUT_SERVERS and some >= EVIDENCE_TRIES and (
                    failed > CUT_SHARE * some and elsewhere < CUT_SHARE / 2):
                self.cut[pair] = Illness(self.now + SPELL)
        for pair, illness in list(self.cut.items()):
            if not illness.trial and self.now >= illness.until:
                illness.trial, illness.until = True, self.now
            elif illness.trial:
                some, failed, _ = self.across(pair, illness.until + self.settle)
                if some >= TRIAL_TRIES and failed > CUT_SHARE * some:
                    illness.spell = min(2 * illness.spell, SPELL_MOST)
                    illness.trial, illness.until = False, self.now + illness.spell
                elif some >= TRIAL_TRIES or pair[0] not in zones:
                    del self.cut[pair]

    def ease(self, seen: dict[int, tuple[int, int, float]]) -> None:
        """Halve the line of a server that answers too late while its peers don't: it is weaker than listed.

        It acts on a symptom, so it covers a server slowed by a neighbour as well; with many slow it stops,
        for then all are loaded and halving one part only loads the rest.
        """
        usual = median([one[2] for one in seen.values() if one[0]] or [0.0])
        for index, (tries, _, took) in seen.items():
            until, spell = self.eased.get(index, (0, EASE_SPELL))
            late = tries >= 2 * EVIDENCE_TRIES and took > LATE * self.budget and took > LATE_PEERS * usual
            if late and index not in self.eased and len(self.eased) < OUT_MOST * len(seen):
                self.eased[index] = self.now + spell, spell
            elif until and self.now >= until:
                del self.eased[index]

    def set_level(self, busy: bool, took: float, tries: int, good: int) -> None:
        """Block early while most servers answer too late: work that comes too late is lost and blocks more."""
        room = sum(self.servers[index].weight * part for index, part in self.usable().items()) or 1.0
        self.delivered.append(good / room)
        # One step for each round trip of order and report, else the same overload is counted twice.
        if self.now < self.level_at + self.settle or not busy and self.level == 1.0:
            return
        self.level_at = self.now
        room *= LOAD_AIM * max(self.delivered) / tries
        if busy:
            room *= min(1.0, CALM_TIME * self.budget / took if took else 1.0)
            self.level = max(LEVEL_LEAST, self.level * min(0.95, max(0.4, room)))
        else:
            self.level = min(1.0, self.level * min(2.0, max(LEVEL_RISE, room)))

    # The design's ordinary path

    def zone_shares(self) -> dict[int, float]:
        """Each zone's share of our own proxies' traffic, held until one moves by a tenth."""
        horizon = self.now - TRAFFIC_WINDOW
        came: dict[int, int] = {}
        count: dict[int, int] = {}
        for _, proxy in self.joined():
            while proxy.usage and proxy.usage[0][0] < horizon:
                proxy.usage.popleft()
            count[proxy.zone] = count.get(proxy.zone, 0) + 1
            came[proxy.zone] = came.get(proxy.zone, 0) + sum(one[1] for one in proxy.usage)
        reported = sum(count[zone] for zone in count if came[zone])
        each = sum(came.values()) / reported if reported else 1.0
        flow = {zone: came[zone] or each * count[zone] for zone in sorted(count)}
        total = sum(flow.values())
        fresh = {zone: flow[zone] / total for zone in flow}
        if fresh.keys() != self.share.keys() or any(
                abs(fresh[zone] - self.share[zone]) > SHARE_MOVE * self.share[zone] for zone in fresh):
            self.share = fresh
        return self.share

    def deal(self, parts: dict[int, float], shares: dict[int, float]) -> dict[int, list[int]]:
        """Each zone keeps its own servers up to its due and borrows from what others have left."""
        total = sum(parts.values())
        due = {zone: share * total for zone, share in shares.items()}
        got = dict.fromkeys(shares, 0.0)
        lines: dict[int, list[int]] = {zone: [] for zone in shares}
        spare = []
        for index in sorted(parts, key=lambda index: (-parts[index], index)):
            zone = self.servers[index].zone
            if zone in due and got[zone] + parts[index] / 2 <= due[zone]:
                lines[zone].append(index)
                got[zone] += parts[index]
            else:
                spare.append(index)
        for index in spare:
            # The worst off borrows first; a server stays with the zone that has it, else tables would churn.
            zone = max(due, key=lambda zone: (
                due[zone] - got[zone] + 0.3 * (index in self.laid.get(zone, ())) + 0.1 * (
                    zone == self.servers[index].zone), -zone))
            lines[zone].append(index)
            got[zone] += parts[index]
        worst = max(((due[zone] - got[zone]) / got[zone] if got[zone] else 1.0) for zone in due)
        self.fallback = worst > (OVERLOAD_CALM if self.fallback else OVERLOAD_LIMIT)
        return lines

    def plan(self) -> dict[int, dict[int, float]]:
        parts = self.usable()
        shares = self.zone_shares()
        if not parts or not shares:
            return {}
        weigh = {index: self.servers[index].weight * part for index, part in parts.items()}
        # A zone that is cut off has a table of all that it reaches; the others are dealt without it.
        apart = {zone: self.reach(zone, weigh) for zone in shares if any(near == zone for near, _ in self.cut)}
        apart = {zone: lines for zone, lines in apart.items() if lines}
        near = {zone: share for zone, share in shares.items() if zone not in apart}
        if not near:
            return apart
        lines = self.deal(parts, {zone: share / sum(near.values()) for zone, share in near.items()})
        zoneless = -1 in near or any(self.servers[index].zone < 0 for index in parts)
        every = self.fallback or zoneless or len(parts) < self.zones
        tables = {ALL: weigh} if every or not all(lines.values()) else {}
        if not every:
            tables |= {zone: {index: weigh[index] for index in lines[zone]} for zone in lines if lines[zone]}
        return tables | apart

    def reach(self, zone: int, weigh: dict[int, float]) -> dict[int, float]:
        lines = {}
        for index, weight in weigh.items():
            illness = self.cut.get((zone, self.servers[index].zone))
            if illness is None or illness.trial:
                lines[index] = weight * (1.0 if illness is None else TRIAL_PART)
        return lines

    # What is sent

    def turn(self) -> None:
        if self.must_watch and not self.watching and self.now >= self.watch_at:
            self.watching = True
            self.orders.append(api.Watch(True))
        if self.heard:
            self.heard = False
            self.judge()
        self.queue = max(0.0, self.queue - (self.now - self.queue_at) * self.drain_per_ns)
        self.queue_at = self.now
        self.touched: set[int] = set()
        self.withdraw()
        tables = self.plan()
        for table in tables:
            self.lay(table, tables[table])
        for index in list(self.shut):
            ready = self.servers[index].phase == api.Phase.READY
            if ready and self.afford([proxy for proxy, _ in self.joined()], 1, True):
                self.shut.discard(index)
                self.orders.append(api.Withdraw(index, False))
        self.bind(tables)

    def number(self, table: int) -> int:
        return self.zones if table == ALL else table

    def withdraw(self) -> None:
        """First of all, and beyond the ordinary budget: a drain has a grace, all else can wait."""
        for index, server in self.servers.items():
            gone = server.phase == api.Phase.GONE and not self.only_draining_binds
            binds = gone or server.phase == api.Phase.DRAINING
            if binds and index not in self.shut:
                self.shut.add(index)
                self.charge([proxy for proxy, _ in self.joined()], 1)
                self.orders.append(api.Withdraw(index, True))

    def charge(self, proxies: list[int], lines: int) -> None:
        for proxy in proxies:
            if proxy not in self.touched:
                self.touched.add(proxy)
                self.queue += self.head
                self.proxies[proxy].messages.append(self.now)
        self.queue += lines * len(proxies)

    def afford(self, proxies: list[int], lines: int, ordinary: bool) -> bool:
        """Take room in the channel and in each proxy's count of messages, or leave it for a later turn."""
        cost = lines * len(proxies) + self.head * sum(proxy not in self.touched for proxy in proxies)
        if self.queue + cost > self.queue_most and self.queue > 0:
            return False
        limit = self.message_limit * ORDINARY_MESSAGES if ordinary else self.message_limit - 2
        for index in proxies:
            messages = self.proxies[index].messages
            while messages and messages[0] < self.now - self.message_span:
                messages.popleft()
            if index not in self.touched and len(messages) + 1 > limit:
                return False
        self.charge(proxies, lines)
        return True

    def lay(self, table: int, wanted: dict[int, float]) -> None:
        laid = self.laid.setdefault(table, {})
        users = [index for index, proxy in self.joined() if proxy.table == table]
        changes = [(index, weight) for index, weight in wanted.items()
                   if abs(weight - laid.get(index, 0.0)) > 1e-6]
        # Additions before removals: a table cut in two by the budget must never be the emptier for it.
        changes += [(index, 0.0) for index in laid if index not in wanted]
        bare = not any(index in laid and index not in self.shut for index in wanted)
        for index, weight in changes:
            if not self.afford(users, 1, not bare):
                return
            self.orders.append(api.Share(self.number(table), index, weight))
            if weight:
                laid[index] = weight
            else:
                del laid[index]
        levels = self.levels()
        for mask, again, allowance in levels:
            if (mask, again, allowance) in self.laid_levels.get(table, ()):
                continue
            if not self.afford(users, 1, True):
                return
            self.orders.append(api.Level(self.number(table), mask, again, allowance))
        self.laid_levels[table] = levels

    def levels(self) -> list[tuple[int, api.Again, float]]:
        result = []
        level = round(self.level, 2) if self.levels_heeded else 1.0
        for safe, again in ((True, self.again), (False, min(self.again, api.Again.IF_NOT_RUN))):
            for yields in (True, False):
                mask = self.masks[safe] & (self.yielding if yields else self.everyone & ~self.yielding)
                if mask:
                    result.append((mask, again, level if yields else 1.0))
        return result

    def bind(self, tables: dict[int, dict[int, float]]) -> None:
        """Worst off first: proxies with no table of ours, then those whose table has changed."""
        for index, proxy in sorted(self.joined(), key=lambda one: (one[1].table is not None, one[0])):
            table = proxy.zone if proxy.zone in tables else ALL
            lines = self.laid.get(table, {})
            if proxy.table == table or not any(line not in self.shut for line in lines):
                continue
            cost = 1 + len(lines) + len(self.laid_levels.get(table, ()))
            if self.afford([index], cost, proxy.table is not None):
                proxy.table = table
                self.orders.append(api.Bind(index, self.number(table), 0))
