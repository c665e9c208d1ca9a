"""The decision module itself, in a world of two proxies, two zones and few servers, with times chosen.

Driven: `policy/`, all of it. The channel carries what is ordered at the settings' pace; a step lets one
beat or two seconds of beats pass, so that graces are reached in few steps. Deep worlds are walked at
random.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from typing import Any, NamedTuple

from ambershift import interface as api
from ambershift.modelcheck.model import Base, Step, prop
from ambershift.policy import TableManager

SECOND, BEAT, START = 1_000_000_000, 100_000_000, 100_000_000_000
GROUP = api.Group(SECOND // 2, 2 * SECOND, 1.0, api.Idempotency.RETRIABLE, True, 0)
SLIP = GROUP._replace(utility=3.0, idempotency=api.Idempotency.NON_RETRIABLE)
TERMS = api.PolicySettings(
    zones=2,
    groups=(GROUP, SLIP),
    must_watch=False,
    notification_deadline=10 * SECOND,
    grace=2 * SECOND,
    only_draining_binds=False,
    cold=4 * SECOND,
    cold_share=0.2,
    collapse_multiple=4.0,
    blackhole_limit=3 * SECOND // 2,
    lines_per_s=100.0,
    message_overhead=3.0,
    queue_limit=60.0,
    message_limit=8,
    message_window=5 * SECOND,
    propagation_delay=SECOND // 10,
    max_propagation_delay=SECOND // 5,
    report_period=SECOND,
    admission_mode="fraction",
    slices=0,
    single_owner=False,
    in_flight_time=0,
    avoidance_failures=0,
    expected_proxies=2.0,
    lease=0,
)


class Held(NamedTuple):
    """What the proxies hold, by what was ordered: tables, who is shut out, which table each proxy has."""

    tables: tuple[tuple[int, int, float], ...]
    shut: tuple[int, ...]
    bound: tuple[int, ...]


class World(NamedTuple):
    """`module` is the machine itself, pickled. `phase` and `since` are the list's; `gone_at` when it took a
    server away, `bare_at` since when a proxy has nothing; `messages` when each proxy got one; `marks` what
    waits to be
    answered, with the line behind which it leaves the channel.
    """

    module: bytes
    now: int
    token: int
    joined: tuple[bool, ...]
    phase: tuple[int, ...]
    since: tuple[int, ...]
    gone_at: tuple[int, ...]
    bare_at: tuple[int, ...]
    held: Held
    waiting: float
    written: float
    messages: tuple[tuple[int, ...], ...]
    marks: tuple[tuple[float, int, int], ...]
    most: float
    again: int


def reached(world: World, table: int) -> list[int]:
    return [
        server
        for one, server, weight in world.held.tables
        if one == table and weight and server not in world.held.shut
    ]


@prop
def a_drained_server_receives_nothing(world: World) -> str | None:
    """A server that drains or is gone is in no table in use after the grace."""
    used = {table for at, table in enumerate(world.held.bound) if world.joined[at]}
    for table in sorted(used):
        for server in reached(world, table):
            gone = world.gone_at[server]
            if gone >= 0 and world.now - gone >= TERMS.grace - TERMS.max_propagation_delay:
                return f"server {server} is gone for {(world.now - gone) / SECOND:.1f} s and in table {table}"
    return None


@prop
def waiting_lines_stay_within_the_limit(world: World) -> str | None:
    """The lines that wait on the way to proxies never pass the settings' limit."""
    return f"{world.most:.0f} lines waited" if world.most > TERMS.queue_limit else None


@prop
def a_proxy_is_not_left_with_nothing(world: World) -> str | None:
    """A joined proxy is without a line to pick no longer than the limit, while a server is ready."""
    for at, since in enumerate(world.bare_at):
        if since >= 0 and world.now - since > TERMS.blackhole_limit:
            return f"proxy {at} has nothing since {(world.now - since) / SECOND:.1f} s"
    return None


@prop
def messages_stay_within_the_limit(world: World) -> str | None:
    """No proxy gets more messages within the span than it may."""
    for at, times in enumerate(world.messages):
        if len(times) > TERMS.message_limit:
            return f"proxy {at} got {len(times)}"
    return None


@prop
def no_level_lets_a_flow_run_twice(world: World) -> str | None:
    """No way of trying again is ordered that sends a flow again after it may have run."""
    return f"way {world.again}" if world.again > api.RetryPolicy.IF_NOT_RUN else None


class PolicyModel(Base):
    name = "policy"
    sentence = "the decision module with proxies that come and go, servers that drain, return cold and fail"
    kind = World
    properties = (
        a_drained_server_receives_nothing,
        waiting_lines_stay_within_the_limit,
        a_proxy_is_not_left_with_nothing,
        messages_stay_within_the_limit,
        no_level_lets_a_flow_run_twice,
    )
    depth = 4
    proxies, servers = 2, 2

    def initial(self) -> World:
        module = TableManager()
        world = World(
            b"",
            START,
            0,
            (False,) * self.proxies,
            (int(api.Phase.READY),) * self.servers,
            (0,) * self.servers,
            (-1,) * self.servers,
            (-1,) * self.proxies,
            Held((), (), (-1,) * self.proxies),
            0.0,
            0.0,
            ((),) * self.proxies,
            (),
            0.0,
            0,
        )
        entries = tuple(self.entry(world, server) for server in range(self.servers))
        return self.tell(world, module, [api.Started(7, TERMS), api.Listed(True, True, entries)])

    def key(self, world: World) -> Any:
        return (
            world  # Pickles of the same module may differ: then a state is explored twice, and none left out.
        )

    def entry(self, world: World, server: int) -> api.Entry:
        return api.Entry(
            server, server % TERMS.zones, api.Phase(world.phase[server]), 1.0, world.since[server]
        )

    def steps(self, world: World) -> Iterator[Step[World]]:
        for at, joined in enumerate(world.joined):
            event: api.Event = api.Left(at) if joined else api.Joined(at, at % TERMS.zones, 5.0, True)
            yield Step(
                f"proxy {at}: {'leaves' if joined else 'joins'}",
                self.tell(world._replace(joined=changed(world.joined, at, not joined)), None, [event]),
            )
        for server in range(self.servers):
            for phase in api.Phase:
                if phase != world.phase[server]:
                    yield self.lists(world, server, phase)
        for bad in (False, True):
            mets: list[api.Event] = [
                api.ServerReport(
                    at % TERMS.zones, server, 10, 10 if bad and not server else 0, 50_000_000, SECOND, ()
                )
                for at in range(self.proxies)
                for server in range(self.servers)
            ]
            yield Step(
                f"reports: server 0 does {'badly' if bad else 'well'}, and a beat passes",
                self.beats(world, 1, mets),
            )
        yield Step("time: two seconds pass", self.beats(world, 20, []), "time")

    def lists(self, world: World, server: int, phase: api.Phase) -> Step[World]:
        back = phase == api.Phase.READY
        after = world._replace(
            phase=changed(world.phase, server, int(phase)),
            since=changed(world.since, server, world.now) if back else world.since,
            gone_at=changed(
                world.gone_at,
                server,
                -1 if back else world.gone_at[server] if world.gone_at[server] >= 0 else world.now,
            ),
        )
        return Step(
            f"list: server {server} is {phase.name.lower()}",
            self.tell(after, None, [api.Listed(False, False, (self.entry(after, server),))]),
        )

    def beats(self, world: World, count: int, events: list[api.Event]) -> World:
        module: TableManager = pickle.loads(world.module)
        for _ in range(count):
            waiting = max(0.0, world.waiting - TERMS.lines_per_s * BEAT / SECOND)
            world = world._replace(now=world.now + BEAT, waiting=waiting)
            left = [one for one in world.marks if one[0] <= world.written - waiting]
            world = world._replace(marks=world.marks[len(left) :])
            answers = [api.Applied(mark, SECOND, at) for _, mark, at in left]
            world = self.tell(world, module, [api.TimerFired(world.token), *answers, *events])
            events = []
        return world

    def tell(self, world: World, module: TableManager | None, events: list[api.Event]) -> World:
        module = module or pickle.loads(world.module)
        tables = {(table, server): weight for table, server, weight in world.held.tables}
        shut, bound = set(world.held.shut), list(world.held.bound)
        for event in events:
            if isinstance(event, api.Joined):
                bound[event.proxy] = -1
                world = world._replace(messages=changed(world.messages, event.proxy, ()))
        lines, token, again, mark = [0] * self.proxies, world.token, world.again, 0
        for order in module.step(world.now, events):
            users = [at for at in range(self.proxies) if world.joined[at]]
            match order:
                case api.StartTimer():
                    token = order.token
                    continue
                case api.SetWeight():
                    tables[order.table, order.server] = order.weight
                    users = [at for at in users if bound[at] == order.table]
                case api.Withdraw():
                    (shut.add if order.out else shut.discard)(order.server)
                case api.Level():
                    again = max(again, order.retry)
                    users = [at for at in users if bound[at] == order.table]
                case api.Bind():
                    bound[order.proxy] = order.table
                    size = 1 + sum(
                        bool(weight) for (table, _), weight in tables.items() if table == order.table
                    )
                    users = [order.proxy] * (size + len(module.masks))
                case api.Mark():
                    mark = order.mark
                    continue
                case _:
                    continue
            for at in users:
                lines[at] += 1
        held = Held(
            tuple(sorted((*key, weight) for key, weight in tables.items())), tuple(sorted(shut)), tuple(bound)
        )
        world = world._replace(held=held, token=token, again=again, module=pickle.dumps(module))
        return self.account(world, lines, mark)

    def account(self, world: World, lines: list[int], mark: int) -> World:
        waiting, written, messages = world.waiting, world.written, list(world.messages)
        marks, bare = list(world.marks), list(world.bare_at)
        for at, count in enumerate(lines):
            times = tuple(one for one in messages[at] if one > world.now - TERMS.message_window)
            if count:
                waiting, written = (
                    waiting + count + 1 + TERMS.message_overhead,
                    written + count + 1 + TERMS.message_overhead,
                )
                marks.append((written, mark, at))
                times = (*times, world.now)
            messages[at] = times
            ready = any(phase == api.Phase.READY for phase in world.phase)
            served = bool(reached(world, world.held.bound[at]))
            if not world.joined[at] or served or not ready:
                bare[at] = -1
            elif bare[at] < 0:
                bare[at] = world.now
        return world._replace(
            waiting=waiting,
            written=written,
            messages=tuple(messages),
            marks=tuple(marks),
            bare_at=tuple(bare),
            most=max(world.most, waiting),
        )

    def show(self, world: World) -> list[str]:
        return [
            f"{name}: {value}" for name, value in zip(world._fields, world, strict=True) if name != "module"
        ]


def changed(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    return (*values[:at], value, *values[at + 1 :])
