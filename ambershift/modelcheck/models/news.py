"""The two connections on which news come, with a relay whose proxies join and leave while they break.

Driven: `coordinator/routing/stream_merger.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.stream_merger import MergerState, StreamMerger, StreamState
from ambershift.modelcheck.model import Base, Step, prop

LONGEST = 3  # News that wait on one connection.


class Line(NamedTuple):
    """One line of news: `kind` is hello, bye, ack or sign. `sole` tells that the other connection does not
    have it,
    so that it is gone for good if this one breaks.
    """

    kind: str
    proxy: int = 0
    mark: int = 0
    fresh: bool = False
    sole: bool = False

    def news(self) -> codec.ProxyEvent:
        match self.kind:
            case "hello":
                return codec.Hello(self.proxy, "a", 1.0, self.fresh)
            case "bye":
                return codec.Bye(self.proxy)
            case "ack":
                return codec.Ack(self.proxy, self.mark, 1.0)
        return codec.KeepAlive()


class Stream(NamedTuple):
    view: tuple[codec.Hello, ...]
    level: bool
    ahead: tuple[Line, ...]
    stated: tuple[Line, ...]
    old: int
    old_stated: tuple[int, ...]


class Held(NamedTuple):
    """The machine's state, its news as lines: on the wire a list may hold values of one kind only."""

    joined: tuple[codec.Hello, ...]
    streams: tuple[Stream, Stream]


def line_of(news: codec.ProxyEvent) -> Line:
    match news:
        case codec.Hello():
            return Line("hello", news.proxy, 0, news.fresh)
        case codec.Bye():
            return Line("bye", news.proxy)
        case codec.Ack():
            return Line("ack", news.proxy, news.mark)
    return Line("sign")


def freeze(machine: StreamMerger) -> Held:
    frozen = machine.snapshot()
    first, second = (
        Stream(
            one.view,
            one.synced,
            tuple(map(line_of, one.unmatched)),
            tuple(map(line_of, one.from_snapshot)),
            one.stale_count,
            one.stale_proxies,
        )
        for one in frozen.streams
    )
    return Held(frozen.joined, (first, second))


def thaw(machine: StreamMerger, held: Held) -> None:
    first, second = (
        StreamState(
            one.view,
            one.level,
            tuple(line.news() for line in one.ahead),
            tuple(line.news() for line in one.stated),
            one.old,
            one.old_stated,
        )
        for one in held.streams
    )
    machine.restore(MergerState(held.joined, (first, second)))


class Connection(NamedTuple):
    up: bool
    lines: tuple[Line, ...]


class Proxy(NamedTuple):
    """A proxy at the relay: whether it is joined and holds no table of ours; how often it really joined and
    left;
    how often the coordinator was told so.
    """

    joined: bool = False
    fresh: bool = True
    joins: int = 0
    leaves: int = 0
    told_joins: int = 0
    told_leaves: int = 0
    told_acks: int = 0
    acks: int = 0
    due: bool = False  # No join was told since it really joined last.


class World(NamedTuple):
    """`gap` tells that for a time neither connection had told all that stands, or that news were lost which
    no
    other connection carried: a proxy that came and went in between is known to nobody.
    """

    proxies: tuple[Proxy, ...]
    connections: tuple[Connection, Connection]
    held: Held
    joins: int
    breaks: int
    acks: int
    gap: bool


def quiet(world: World) -> bool:
    return all(one.up and not one.lines for one in world.connections) and all(
        stream.level for stream in world.held.streams
    )


@prop
def what_is_known_is_what_stands(world: World) -> str | None:
    """Once both connections have told all, the proxies known as joined are those that are."""
    known = {hello.proxy for hello in world.held.joined}
    stands = {at for at, one in enumerate(world.proxies) if one.joined}
    return f"known are {known}, joined {stands}" if quiet(world) and known != stands else None


@prop
def nothing_is_told_twice(world: World) -> str | None:
    """No leave or answer is told that did not happen or twice, nor a join of a proxy that never left."""
    # Of one that left and came again a slow connection may bring words that were used before; a join that it
    # tells once too often is taken back by the leave that it brings next.
    for at, one in enumerate(world.proxies):
        if (
            one.told_leaves > one.leaves
            or one.told_acks > one.acks
            or (not one.leaves and one.told_joins > one.joins)
        ):
            return f"proxy {at}: {one}"
        if one.told_leaves > one.told_joins:
            return f"proxy {at} left more often than it came: {one}"
    return None


@prop
def with_one_up_nothing_is_missed(world: World) -> str | None:
    """While one connection has told all that stands, no join is missed that either brings."""
    if world.gap or not quiet(world):
        return None
    # A leave with a join behind it may be told by that join alone: whoever joins anew holds no table of ours.
    missed = [at for at, one in enumerate(world.proxies) if one.joined and one.due]
    return f"the last join of proxy {missed[0]}: {world.proxies[missed[0]]}" if missed else None


class NewsModel(Base):
    name = "news"
    sentence = "two connections of news that break and return, and proxies that join, answer and leave"
    kind = World
    properties = (what_is_known_is_what_stands, nothing_is_told_twice, with_one_up_nothing_is_missed)
    # At 25 steps and two breaks a proxy that came and went within a lag is told of once more, as a pair
    # that takes itself back; docs/design/model-checking.md has it among what is open.
    depth = 24
    proxies, joins, breaks, acks = 2, 2, 2, 1

    def initial(self) -> World:
        compared = StreamMerger(lambda news: True)
        return World(
            (Proxy(),) * self.proxies,
            (Connection(False, ()),) * 2,
            freeze(compared),
            self.joins,
            self.breaks,
            self.acks,
            False,
        )

    def steps(self, world: World) -> Iterator[Step[World]]:
        for at, one in enumerate(world.proxies):
            yield from self.proxy_acts(world, at, one)
        for place, connection in enumerate(world.connections):
            other = world.connections[1 - place]
            if not connection.up:
                # One at a time is told what stands; the lock of the program sees to it.
                if not other.up or world.held.streams[1 - place].level:
                    yield self.connects(world, place)
                continue
            if connection.lines:
                yield self.hears(world, place)
            # Assumed: what the relay wrote before a sign of life has been read when the next one comes, a
            # second later. A connection that lags for longer may tell an answer twice.
            if not connection.lines:
                yield Step(
                    f"relay: gives a sign of life on connection {place}",
                    self.write(world, Line("sign"), (place,)),
                )
            if world.breaks:
                yield self.breaks_off(world, place)

    def proxy_acts(self, world: World, at: int, one: Proxy) -> Iterator[Step[World]]:
        if any(len(connection.lines) >= LONGEST for connection in world.connections):
            return
        # Assumed: a proxy takes longer to come back than a connection lags. Else words that stand for two
        # things are on their way at once, and a leave may be told that the join behind it takes back.
        unread = any(
            line.proxy == at and line.kind != "sign" for each in world.connections for line in each.lines
        )
        if not one.joined and world.joins and not unread:
            after = one._replace(joined=True, fresh=True, joins=one.joins + 1, due=True)
            yield Step(
                f"proxy {at}: joins",
                self.write(
                    self.put(world._replace(joins=world.joins - 1), at, after), Line("hello", at, 0, True)
                ),
            )
        if one.joined:
            yield Step(
                f"proxy {at}: leaves",
                self.write(
                    self.put(world, at, one._replace(joined=False, leaves=one.leaves + 1)), Line("bye", at)
                ),
            )
        # It answers marks of ours only, so only while we know it.
        if one.joined and world.acks and any(hello.proxy == at for hello in world.held.joined):
            after = one._replace(fresh=False, acks=one.acks + 1)
            yield Step(
                f"proxy {at}: answers a mark",
                self.write(
                    self.put(world._replace(acks=world.acks - 1), at, after), Line("ack", at, world.acks)
                ),
            )

    def put(self, world: World, at: int, proxy: Proxy) -> World:
        return world._replace(proxies=(*world.proxies[:at], proxy, *world.proxies[at + 1 :]))

    def write(self, world: World, line: Line, places: tuple[int, ...] = (0, 1)) -> World:
        sole = line.kind != "sign" and not all(one.up for one in world.connections)
        first, second = (
            one._replace(lines=(*one.lines, line._replace(sole=sole))) if one.up and place in places else one
            for place, one in enumerate(world.connections)
        )
        return world._replace(connections=(first, second))

    def set_connection(self, world: World, place: int, connection: Connection) -> World:
        first, second = world.connections
        return world._replace(connections=(connection, second) if place == 0 else (first, connection))

    def machine(self, world: World, told: list[codec.ProxyEvent]) -> StreamMerger:
        def tell(news: codec.ProxyEvent) -> bool:
            told.append(news)
            return True

        machine = StreamMerger(tell)
        thaw(machine, world.held)
        return machine

    def connects(self, world: World, place: int) -> Step[World]:
        machine = self.machine(world, [])
        machine.on_connected(place)
        stands = tuple(Line("hello", at, 0, one.fresh) for at, one in enumerate(world.proxies) if one.joined)
        after = self.set_connection(world._replace(held=freeze(machine)), place, Connection(True, stands))
        return Step(f"coordinator: connects {place}; relay: tells {len(stands)} that stand", self.gap(after))

    def hears(self, world: World, place: int) -> Step[World]:
        connection, told = world.connections[place], list[codec.ProxyEvent]()
        machine = self.machine(world, told)
        machine.on_event(place, connection.lines[0].news())
        after = self.set_connection(world, place, connection._replace(lines=connection.lines[1:]))
        after = after._replace(held=freeze(machine))
        words = ", ".join(type(news).__name__.lower() for news in told) or "nothing new"
        return Step(
            f"coordinator: hears {connection.lines[0].kind} on {place} and tells {words}",
            self.count(after, told),
        )

    def count(self, after: World, told: list[codec.ProxyEvent]) -> World:
        for news in told:
            one = after.proxies[news.proxy] if not isinstance(news, codec.KeepAlive) else Proxy()
            match news:
                case codec.Hello():
                    after = self.put(
                        after, news.proxy, one._replace(told_joins=one.told_joins + 1, due=False)
                    )
                case codec.Bye():
                    after = self.put(after, news.proxy, one._replace(told_leaves=one.told_leaves + 1))
                case codec.Ack():
                    after = self.put(after, news.proxy, one._replace(told_acks=one.told_acks + 1))
        return after

    def breaks_off(self, world: World, place: int) -> Step[World]:
        told = list[codec.ProxyEvent]()
        machine = self.machine(world, told)
        machine.on_disconnected(place)
        after = self.set_connection(
            world._replace(breaks=world.breaks - 1, held=freeze(machine)), place, Connection(False, ())
        )
        other = world.connections[1 - place]
        after = self.set_connection(
            after,
            1 - place,
            other._replace(lines=tuple(line._replace(sole=line.kind != "sign") for line in other.lines)),
        )
        lost = world.connections[place].lines
        after = after._replace(gap=after.gap or any(line.sole for line in lost))
        return Step(
            f"network: breaks connection {place}, {len(lost)} lines lost", self.gap(self.count(after, told))
        )

    def gap(self, world: World) -> World:
        """At the beginning nothing has been told yet, so nothing can have been missed."""
        begun = any(one.joins for one in world.proxies) or world.breaks < self.breaks
        none = not any(stream.level for stream in world.held.streams)
        return world._replace(gap=world.gap or (begun and none))

    def orbit(self, world: World) -> Iterable[World]:
        """The two connections are alike; proxies are told apart, as the first are asked first."""
        first, second = world.connections
        one, other = world.held.streams
        return world, world._replace(
            connections=(second, first), held=world.held._replace(streams=(other, one))
        )


class NewsSmall(NewsModel):
    name = "news-small"
    sentence = "the same with one break and no answers"
    breaks, acks = 1, 0


class NewsLarge(NewsModel):
    name = "news-large"
    sentence = "the same with three joins"
    joins = 3
