"""One flow at a proxy, with servers that run it, answer late, die or drain, and a network that loses,
delays and repeats.

Driven: `attempt/machine.py`. All four ways of trying again and all three kinds of repeat are in one world,
chosen at its beginning; the table and its way may change between tries.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ambershift.attempt.machine import AttemptHistory, Evidence, RetryConstraints
from ambershift.interface import Idempotency, RetryPolicy
from ambershift.modelcheck.model import Base, Liveness, Step, prop

BEGUN, WAITING, IDLE, DONE, GIVEN_UP = range(5)
WINDOW, EXPIRY, WAY = 3, 4, 1
UP, DRAINING, DEAD = range(3)


class Packet(NamedTuple):
    """A try on its way to a server, or an answer to it on its way back."""

    server: int
    number: int
    back: bool
    age: int = 0


class Server(NamedTuple):
    """`ran` counts how often the flow took effect here; `key_until` is how long its key is known here,
    -1: not.
    """

    phase: int = UP
    ran: int = 0
    key_until: int = -1


class World(NamedTuple):
    """`sent_at` is when each try was sent, `dup_late` that the key's window was over before a second
    effect.
    """

    repeat: Idempotency
    again: RetryPolicy
    phase: int
    attempt: AttemptHistory
    server: int
    sent_at: int
    now: int
    packets: tuple[Packet, ...]
    servers: tuple[Server, ...]
    changes: int
    faults: int
    free: int
    wrong: str


def effects(world: World) -> int:
    return sum(one.ran for one in world.servers)


@prop
def no_slip_takes_effect_twice(world: World) -> str | None:
    """No flow that may not run twice takes effect twice, whatever way the table allows and whatever is
    lost.
    """
    if world.repeat is Idempotency.NON_RETRIABLE and effects(world) > 1:
        return f"it ran {effects(world)} times"
    return None


@prop
def deduped_takes_effect_once(world: World) -> str | None:
    """A flow that servers know by its key takes effect once: it is sent again only where and while it
    is known.
    """
    if world.repeat is Idempotency.DEDUPED and effects(world) > 1:
        return f"it took effect {effects(world)} times"
    return None


@prop
def no_more_tries_than_the_way_allows(world: World) -> str | None:
    """A flow is tried once, and again as often as the freest way that it met allows."""
    most = (
        1
        + {RetryPolicy.NEVER: 0, RetryPolicy.IF_NOT_RUN: 1, RetryPolicy.ONCE: 1, RetryPolicy.TWICE: 2}[
            RetryPolicy(world.free)
        ]
    )
    return f"{world.attempt.attempts} tries, {most} allowed" if world.attempt.attempts > most else None


@prop
def never_after_it_may_have_run_unless_told(world: World) -> str | None:
    """Where the way says only after proof, nothing is sent after a try that may have run."""
    return world.wrong or None


class AttemptModel(Base):
    name = "attempt"
    sentence = "a flow's tries under all four ways and three kinds of repeat, with loss, delay and repetition"
    kind = World
    properties = (
        no_slip_takes_effect_twice,
        deduped_takes_effect_once,
        no_more_tries_than_the_way_allows,
        never_after_it_may_have_run_unless_told,
    )
    liveness = (
        Liveness(
            "every-flow-ends",
            "A flow is answered or given up in the end.",
            lambda world: world.phase in (WAITING, IDLE),
        ),
    )
    servers, changes, faults, everywhere = 2, 1, 1, True

    def initial(self) -> World:
        return World(
            Idempotency.RETRIABLE,
            RetryPolicy.NEVER,
            BEGUN,
            AttemptHistory(),
            -1,
            -1,
            0,
            (),
            (Server(),) * self.servers,
            self.changes,
            self.faults,
            0,
            "",
        )

    def steps(self, world: World) -> Iterator[Step[World]]:
        if world.phase == BEGUN:
            for repeat in Idempotency:
                for again in RetryPolicy:
                    for server in range(self.servers):
                        yield self.sends(
                            world._replace(repeat=repeat, again=again, free=again), server, "comes and is"
                        )
            return
        if world.phase == IDLE:
            yield from self.tries_again(world)
        if world.phase == WAITING:
            yield Step(
                "proxy: waits no longer for the answer", self.fails(world, Evidence.MAY_HAVE_RUN), "ends"
            )
        for at, packet in enumerate(world.packets):
            yield from self.travels(world, at, packet)
        for at, one in enumerate(world.servers):
            if world.faults and one.phase == UP:
                yield Step(f"server {at}: dies", self.dies(world, at))
                yield Step(
                    f"server {at}: drains",
                    self.put(world._replace(faults=world.faults - 1), at, one._replace(phase=DRAINING)),
                )
        if world.changes and world.phase in (WAITING, IDLE):
            for again in RetryPolicy:
                if again != world.again:
                    yield Step(
                        f"coordinator: changes the table's way to {again.name}",
                        world._replace(again=again, changes=world.changes - 1, free=max(world.free, again)),
                    )
        # A try gets there within its way or never: connections of tries that were given up are closed.
        if (
            world.now < EXPIRY
            and world.phase in (WAITING, IDLE)
            and all(one.back or one.age < WAY for one in world.packets)
        ):
            older = tuple(sorted(one._replace(age=min(WAY, one.age + 1)) for one in world.packets))
            yield Step("time: goes on", world._replace(now=world.now + 1, packets=older), "time")

    def bearing(self, world: World) -> RetryConstraints:
        return RetryConstraints(world.repeat, self.everywhere, WINDOW, WAY)

    def sends(self, world: World, server: int, how: str) -> Step[World]:
        """A refused connection is proof that nothing ran; a server that drains turns it away unrun."""
        attempt = world.attempt.record_attempt()
        after = world._replace(attempt=attempt, phase=WAITING, server=server, sent_at=world.now)
        if world.servers[server].phase == DEAD:
            return Step(
                f"proxy: the flow {how} sent to server {server}, which refuses",
                self.fails(after, Evidence.NOT_RUN),
                "ends",
            )
        packets = tuple(sorted((*world.packets, Packet(server, attempt.attempts, False))))
        return Step(f"proxy: the flow {how} sent to server {server}", after._replace(packets=packets), "ends")

    def fails(self, world: World, evidence: Evidence) -> World:
        attempt = world.attempt.record_failure(evidence, world.server, world.sent_at)
        return world._replace(attempt=attempt, phase=IDLE)

    def tries_again(self, world: World) -> Iterator[Step[World]]:
        may = [
            server
            for server in range(self.servers)
            if world.now < EXPIRY
            and world.attempt.may_send(world.again, self.bearing(world), server, world.now)
        ]
        for server in may:
            step = self.sends(world, server, "is again")
            if world.attempt.first_server >= 0 and world.again <= RetryPolicy.IF_NOT_RUN:
                step = step._replace(
                    state=step.state._replace(
                        wrong=f"sent again under {world.again.name} after a try that may have run"
                    )
                )
            yield step
        if not may:
            yield Step("proxy: gives the flow up", world._replace(phase=GIVEN_UP), "ends")

    def travels(self, world: World, at: int, packet: Packet) -> Iterator[Step[World]]:
        rest = (*world.packets[:at], *world.packets[at + 1 :])
        less = world._replace(packets=rest)
        words = f"{'answer to' if packet.back else 'try'} {packet.number} of server {packet.server}"
        if packet.back and (packet.number != world.attempt.attempts or world.phase != WAITING):
            # Once too late it is so for good, whatever else happens, and nobody looks at it: it may go
            # first. To lose it would be the same, and is left out.
            yield Step(f"proxy: passes over the late {words}", less, local=True)
            return
        if world.faults:
            yield Step(f"network: loses {words}", less._replace(faults=world.faults - 1))
        if packet.back:
            yield self.answered(less, packet, words)
        else:
            yield self.arrives(less, packet, words)

    def answered(self, world: World, packet: Packet, words: str) -> Step[World]:
        return Step(f"proxy: gets the {words}", world._replace(phase=DONE))

    def arrives(self, world: World, packet: Packet, words: str) -> Step[World]:
        server = world.servers[packet.server]
        mine = packet.number == world.attempt.attempts and world.phase == WAITING
        if server.phase == DEAD:
            after = self.fails(world, Evidence.MAY_HAVE_RUN) if mine else world
            return Step(f"server {packet.server}: is gone, {words} is reset", after)
        if server.phase == DRAINING:
            after = self.fails(world, Evidence.NOT_RUN) if mine else world
            return Step(f"server {packet.server}: turns {words} away unrun", after)
        back = world._replace(packets=tuple(sorted((*world.packets, packet._replace(back=True, age=0)))))
        if world.repeat is Idempotency.DEDUPED and self.known(world, packet.server):
            return Step(f"server {packet.server}: knows {words} and answers as before", back)
        ran = server._replace(ran=server.ran + 1)
        return Step(
            f"server {packet.server}: runs {words}",
            self.put(back, packet.server, ran._replace(key_until=world.now + WINDOW)),
        )

    def known(self, world: World, server: int) -> bool:
        """Whether the key is known here: of a group that is everywhere, by what any server ran."""
        held = world.servers if self.everywhere else (world.servers[server],)
        return any(world.now < one.key_until for one in held)

    def dies(self, world: World, at: int) -> World:
        return self.put(world._replace(faults=world.faults - 1), at, world.servers[at]._replace(phase=DEAD))

    def put(self, world: World, at: int, server: Server) -> World:
        return world._replace(servers=(*world.servers[:at], server, *world.servers[at + 1 :]))

    def done(self, world: World) -> bool:
        return world.phase in (DONE, GIVEN_UP)

    def orbit(self, world: World) -> Iterable[World]:
        """The two servers may change places."""
        yield world
        if self.servers == 2:

            def other(at: int) -> int:
                return 1 - at if at >= 0 else at

            yield world._replace(
                server=other(world.server),
                servers=world.servers[::-1],
                attempt=world.attempt._replace(first_server=other(world.attempt.first_server)),
                packets=tuple(sorted(one._replace(server=other(one.server)) for one in world.packets)),
            )


class AttemptSmall(AttemptModel):
    name = "attempt-small"
    sentence = "the same without faults of servers or network, and one table"
    changes = faults = 0


class AttemptOneTable(AttemptModel):
    name = "attempt-one-table"
    sentence = "the same with one fault, and one table"
    changes = 0


class AttemptLarge(AttemptModel):
    name = "attempt-large"
    sentence = "the same with two faults"
    faults = 2


class AttemptApart(AttemptModel):
    name = "attempt-apart"
    sentence = "the same where each server knows only the keys of its own flows"
    everywhere = False
