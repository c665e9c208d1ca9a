"""Two members that both believe they lead, a third, two servers of which one may be out at a time.

Driven: `promises/state_machine.py`, `promises/permit_controller.py` and all of `maintenance/` that it uses.
The log is one list: what is sent lands at once, later, twice or never. Clocks are apart by the whole bound,
each its way.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, NamedTuple

from ambershift.coordinator.maintenance.limits import SECOND, Limits
from ambershift.coordinator.maintenance.permits import MemberReports, SteeringReport, is_clock_skewed
from ambershift.coordinator.maintenance.types import Agreement, Declared, Standing, Tenant, Window, Work
from ambershift.coordinator.promises import state as promised
from ambershift.coordinator.promises.codec import decode_command, encode_command
from ambershift.coordinator.promises.commands import Declare, Grant, Move
from ambershift.coordinator.promises.permit_controller import PermitController
from ambershift.coordinator.promises.state import EMPTY, GroupState
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.replication.types import Entry
from ambershift.modelcheck.model import Base, Step
from ambershift.modelcheck.models.replication import broken

START = int(datetime(2026, 12, 2, 3, 0, tzinfo=UTC).timestamp()) * SECOND
LIMITS = Limits(
    clock_bound_ns=SECOND,
    drain_ns=4 * SECOND,
    warmup_ns=SECOND,
    report_timeout_ns=3600 * SECOND,
    retry_delay_ns=0,
    return_timeout_ns=2 * SECOND,
)
CLOCKS = (-SECOND, SECOND, 0)  # How far each member's is ahead of true time; the first two may lead.
LEADERS = (0, 1)
TICKS = (7 * SECOND, 11 * SECOND)
JUMP = 5 * SECOND
TAKES = 6 * SECOND
SERVERS = ("s0", "s1")
MACHINE = GroupStateMachine()
DECLARED = Declared(
    1,
    (
        Tenant(
            "t",
            (),
            (),
            (),
            Agreement(0.5, 1, 0, ()),
            (Window("night", "FREQ=DAILY", "2026-12-01T02:00:00", 10 * 3600 * SECOND, "UTC"),),
        ),
    ),
    (Work("kernel", SERVERS, TAKES, START + 5 * 3600 * SECOND, 0),),
)
# The second leader has seen s1 interfered with, so that the two choose differently.
STANDINGS = tuple(
    {name: Standing(name, "z", 1.0, None, 0, worse * (name == "s1")) for name in SERVERS}
    for worse in (0.0, 0.4)
)
spans = dict[str, Any]()  # The openings, read once.


class Mind(NamedTuple):
    """What a leader knows that no log holds: lost when it starts anew."""

    sent: tuple[tuple[str, tuple[int, int]], ...] = ()
    granted_at: int = -SECOND
    granted_on: int = -1
    drains: tuple[tuple[str, tuple[int, int]], ...] | None = None


class World(NamedTuple):
    """`states` is what the log has made at each place, packed, from the first; `knows` how far each member
    has come in it. `wire` is sent and has not landed. `grants` are the permits ever granted, `done`
    the servers whose work had its time.
    """

    at: int
    states: tuple[bytes, ...]
    knows: tuple[int, ...]
    clocks: tuple[int, ...]
    minds: tuple[Mind, ...]
    wire: tuple[bytes, ...]
    grants: tuple[str, ...]
    done: tuple[str, ...]
    crashes: int
    repeats: int
    ticks: int
    jumps: int
    wrong: tuple[str, str]


def known(world: World, member: int) -> GroupState:
    return promised.unpack(world.states[world.knows[member]])


def apart(world: World, member: int) -> bool:
    return is_clock_skewed([one - world.clocks[member] for one in world.clocks], LIMITS.clock_bound_ns)


def held_by(world: World, member: int) -> dict[str, Any]:
    """What a member keeps out now, by its own clock; one that is apart, nothing."""
    if apart(world, member):
        return {}
    return dict(known(world, member).held_out(world.at + world.clocks[member]))


def heard(world: World, member: int) -> MemberReports:
    """Who has drained what, and who lets in what, as all say it at once."""
    drained, let_in = dict[str, set[str]](), dict[str, set[str]]()
    for other in range(len(CLOCKS)):
        name, state, mine = f"n{other}", known(world, other), held_by(world, other)
        for permit in mine.values():
            drained.setdefault(permit.id, set()).add(name)
        for permit_id in known(world, member).permits:
            if permit_id in state.permits and state.permits[permit_id].permit.server not in mine:
                let_in.setdefault(permit_id, set()).add(name)
    ahead = {
        f"n{other}": SteeringReport(1, world.clocks[other] - world.clocks[member], 0)
        for other in range(len(CLOCKS))
    }
    return MemberReports(tuple(ahead), ahead, drained, let_in)


def controller(world: World, member: int) -> PermitController:
    mind, one = world.minds[member], PermitController(LIMITS)
    one.sent, one.selected_at, one.selected_on = dict(mind.sent), mind.granted_at, mind.granted_on
    one.seen_drains = None if mind.drains is None else dict(mind.drains)
    if "all" in spans:
        one.windows, one.windows_of = spans["all"], DECLARED
    return one


class PermitsModel(Base):
    name = "permits"
    sentence = "permits to drain: two that lead, clocks apart, what is sent lands late, twice or never"
    kind = World
    properties = (
        broken("no-two-break-an-agreement", "At no moment are more servers out than the agreement lets."),
        broken("never-drained-twice", "A server whose work is done, or that is out, is not granted again."),
        broken("never-forgotten-out", "A permit whose end is long past is taken up by whoever leads."),
        broken("no-grant-while-apart", "A leader whose clock is apart by more than the bound grants none."),
    )
    depth: int | None = 7
    ticks, crashes, repeats, jumps = 1, 1, 0, 1
    wire_most = 1
    third_learns = False  # The third member learns at its own time, not at once.

    def initial(self) -> World:
        state, _ = MACHINE.apply(EMPTY, Entry(1, 1, START, "", encode_command(Declare(DECLARED))))
        return World(
            START,
            (promised.pack(state),),
            (0,) * 3,
            CLOCKS,
            (Mind(),) * 2,
            (),
            (),
            (),
            self.crashes,
            self.repeats,
            self.ticks,
            self.jumps,
            ("", ""),
        )

    def key(self, world: World) -> Any:
        """Of the log what somebody may still learn."""
        first = min(world.knows)
        return world._replace(states=world.states[first:], knows=tuple(one - first for one in world.knows))

    def steps(self, world: World) -> Iterator[Step[World]]:
        if world.wrong[0]:
            return
        for member in LEADERS:
            yield from self.thinks(world, member)
            if world.crashes and world.minds[member] != Mind():
                minds = tuple(Mind() if one == member else mind for one, mind in enumerate(world.minds))
                yield Step(f"n{member}: starts anew", world._replace(minds=minds, crashes=world.crashes - 1))
        for at, command in enumerate(world.wire):
            left = world.wire[:at] + world.wire[at + 1 :]
            yield Step(
                f"log: takes {decode_command(command)}", self.lands(world._replace(wire=left), command)
            )
            if world.repeats:
                yield Step(
                    f"log: takes {decode_command(command)}, to come again",
                    self.lands(world._replace(repeats=world.repeats - 1), command),
                )
        for member, knows in enumerate(world.knows):
            if knows < len(world.states) - 1 and (member in LEADERS or self.third_learns):
                knew = tuple(
                    len(world.states) - 1 if one == member else old for one, old in enumerate(world.knows)
                )
                yield Step(f"n{member}: learns all", looked(world._replace(knows=knew)))
        if world.ticks:
            for tick in TICKS:
                yield Step(
                    f"time: {tick // SECOND} s",
                    looked(world._replace(at=world.at + tick, ticks=world.ticks - 1)),
                )
        if world.jumps:
            clocks = (world.clocks[0], world.clocks[1] + JUMP, world.clocks[2])
            yield Step("n1: its clock is set ahead", looked(world._replace(clocks=clocks, jumps=0)))

    def thinks(self, world: World, member: int) -> Iterator[Step[World]]:
        one, state = controller(world, member), known(world, member)
        at = world.at + world.clocks[member]
        commands = one.next_commands(world.at, at, state, STANDINGS[member], heard(world, member))
        spans.setdefault("all", one.windows)
        drains = None if one.seen_drains is None else tuple(sorted(one.seen_drains.items()))
        mind = Mind(tuple(sorted(one.sent.items())), one.selected_at, one.selected_on, drains)
        minds = tuple(mind if at == member else old for at, old in enumerate(world.minds))
        after = world._replace(minds=minds)
        if not commands:
            if (name := self.forgotten(world, member, state)) is not None:
                yield Step(
                    f"n{member}: does nothing",
                    after._replace(
                        wrong=("never-forgotten-out", f"{name} ended long ago, and n{member} leaves it")
                    ),
                )
            elif minds != world.minds:
                yield Step(f"n{member}: looks, and does nothing", after)
            return
        if apart(world, member) and any(isinstance(command, Grant) for command in commands):
            after = after._replace(wrong=("no-grant-while-apart", f"n{member} grants"))
        sent = tuple(encode_command(command) for command in commands)
        if len(after.wire) + len(sent) <= self.wire_most:
            yield Step(f"n{member}: sends {commands}, on its way", after._replace(wire=after.wire + sent))
        for command in sent:
            after = self.lands(after, command)
        knows = tuple(len(after.states) - 1 if at == member else old for at, old in enumerate(after.knows))
        yield Step(f"n{member}: sends {commands}, it stands", looked(after._replace(knows=knows)))

    def forgotten(self, world: World, member: int, state: GroupState) -> str | None:
        """A permit that is long over, and that this leader says nothing of, though nothing holds it back."""
        if world.knows[member] < len(world.states) - 1 or apart(world, member) or world.minds[member].sent:
            return None
        over = LIMITS.warmup_ns + LIMITS.return_timeout_ns + 2 * LIMITS.clock_bound_ns
        return next(
            (
                name
                for name, one in state.permits.items()
                if world.at + world.clocks[member] > LIMITS.let_in_by_all(one.permit.ends) + over
            ),
            None,
        )

    def lands(self, world: World, command: bytes) -> World:
        """It stands in the log, for whoever learns of it."""
        before = promised.unpack(world.states[-1])
        entry = Entry(1, len(world.states) + 1, world.at, "", command)
        after, _ = MACHINE.apply(before, entry)
        grants, done, wrong, move = world.grants, world.done, world.wrong, decode_command(command)
        if isinstance(move, Move) and move.done and move.permit in before.permits:
            done = tuple(sorted({*done, before.permits[move.permit].permit.server}))
        for name, one in after.permits.items():
            if name in before.permits:
                continue
            grants += (name,)
            if one.permit.server in done:
                wrong = "never-drained-twice", f"{name} is granted, and its work was done"
            elif any(held.permit.server == one.permit.server for held in before.permits.values()):
                wrong = "never-drained-twice", f"{name} is granted while the server is out"
        if promised.pack(after) == world.states[-1]:
            return world
        world = world._replace(
            states=(*world.states, promised.pack(after)), grants=grants, done=done, wrong=wrong
        )
        if not self.third_learns:
            world = looked(world._replace(knows=(*world.knows[:2], len(world.states) - 1)))
        return world

    def show(self, world: World) -> list[str]:
        told = [f"true time: {(world.at - START) / SECOND:g} s; on its way: {len(world.wire)}"]
        for member in range(len(CLOCKS)):
            open_ones = [
                f"{name} {held.permit.phase.name.lower()} to {(held.permit.ends - START) / SECOND:g}"
                for name, held in sorted(known(world, member).permits.items())
            ]
            told.append(
                f"n{member}: knows {', '.join(open_ones) or 'no permit'}; keeps out "
                f"{' '.join(held_by(world, member)) or 'nothing'}"
            )
        return told


class PermitsSmall(PermitsModel):
    name = "permits-small"
    sentence = "as above, with nothing on its way, and clocks that stay"
    ticks, crashes, jumps, wire_most = 2, 0, 0, 0
    depth = 9


class PermitsLarge(PermitsModel):
    name = "permits-large"
    sentence = "as above, with more time, repeats, and a third member that learns late"
    ticks, crashes, repeats, jumps = 3, 1, 1, 1
    wire_most = 3
    third_learns = True
    depth = 6


def looked(world: World) -> World:
    """Who is out now, by any member's hand."""
    out = {server for member in range(len(CLOCKS)) for server in held_by(world, member)}
    if world.wrong[0] or len(out) <= 1:
        return world
    return world._replace(wrong=("no-two-break-an-agreement", f"{' and '.join(sorted(out))} are out at once"))
