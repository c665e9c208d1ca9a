"""The operator's controller, the row and a relay that is cut off, with two clients, repeats and a list that
loses servers.

Driven: all of `admin/`, and `coordinator/routing/call_queue.py`. The module between them is a plain one that
orders what its entries say, at once; the real one is in the world `policy`.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from typing import Any, NamedTuple

from ambershift import interface as api
from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.admin.types import Accepted, Change, State
from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.call_queue import Call, CallQueue
from ambershift.modelcheck.model import Base, Step, prop

SECOND = 1_000_000_000
START = 1_000 * SECOND
SERVERS = 2


class World(NamedTuple):
    """`controller` is the machine itself, pickled; `shape` what of it counts. `shut` is what the module was
    told last,
    `held` what the relay holds. `wishes` is the last accepted word for each server, `flips` how often it
    changed.
    """

    controller: bytes
    shape: str
    now: int
    calls: tuple[Call, ...]
    replies: int
    sent: tuple[str, ...]
    told: tuple[int, ...]
    held: tuple[str, ...]
    listed: tuple[int, ...]
    wishes: tuple[int, ...]
    flips: tuple[int, ...]
    acted: tuple[int, ...]
    commands: int
    losses: int
    cuts: int
    lost: bool
    bare: bool
    wrong: str


def load(world: World) -> AdminController:
    controller: AdminController = pickle.loads(world.controller)
    return controller


def shape(controller: AdminController, now: int) -> str:
    """The controller as it will act from now on: times count from now, and who said what does not."""
    waiting = sorted(
        (server, told.entry is None, told.reply, told.scaled) for server, told in controller.pending.items()
    )
    flips = sorted(
        (server, one.count, max(0, one.earliest() - now)) for server, one in controller.batcher.flips.items()
    )
    return repr(
        (
            sorted((server, wish[:3]) for server, wish in controller.inventory.overrides.items()),
            sorted((server, entry.phase) for server, entry in controller.inventory.listed.items()),
            sorted(controller.inventory.lent.keys()),
            sorted(controller.sent_entries.items()),
            sorted(controller.urgent),
            waiting,
            flips,
            sorted((server, now - at) for server, at in controller.batcher.waiting.items()),
            sorted(controller.batcher.held),
            now - controller.batcher.last if controller.batcher.waiting else 0,
            controller.batcher.gathered,
            None
            if controller.lender.covered_since is None
            else min(now - controller.lender.covered_since, 10 * SECOND),
            sorted(
                (server, one.out, one.reply)
                for server, one in controller.tracker.data_plane.withdrawals.items()
            ),
            controller.tracker.data_plane.reply,
            controller.tracker.data_plane.settled,
            controller.commands,
        )
    )


def idle(world: World) -> bool:
    return not world.calls and not world.sent and load(world).next_at(world.now) is None


@prop
def an_accepted_command_is_never_lost(world: World) -> str | None:
    """Once nothing waits, the relay holds what the last accepted words and the list come to."""
    if world.lost or not idle(world):
        return None
    for server in range(SERVERS):
        out = bool(world.wishes[server]) or world.listed[server] != api.Phase.READY
        if (f"s{server}" in world.held and not out) or (out and f"s{server}" not in world.held):
            return (
                f"server {server} is wished {State(world.wishes[server]).name}, the relay holds {world.held}"
            )
    return None


@prop
def a_repeat_acts_once(world: World) -> str | None:
    """A wish makes the relay change a server once; repeats make it change nothing."""
    if world.lost:
        return None
    over = [server for server in range(SERVERS) if world.acted[server] > world.flips[server]]
    return (
        f"server {over[0]} changed {world.acted[over[0]]} times for {world.flips[over[0]]} words"
        if over
        else None
    )


@prop
def commands_leave_no_proxy_with_nothing(world: World) -> str | None:
    """While the list keeps all servers, no moment comes in which commands have shut out all of them."""
    if not world.lost and world.bare:
        return "for a moment the relay had all servers shut out"
    return None


@prop
def the_lost_are_stood_in_for(world: World) -> str | None:
    """Once nothing waits, no server that is listed as ready stays shut out while none serves."""
    if not idle(world):
        return None
    ready = [server for server in range(SERVERS) if world.listed[server] == api.Phase.READY]
    if ready and all(f"s{server}" in world.held for server in ready):
        return f"ready are {ready}, and the relay has {world.held} shut out"
    return None


@prop
def what_is_shown_as_applied_is(world: World) -> str | None:
    """A wish shows as applied only when the relay holds it."""
    return world.wrong or None


class AdminModel(Base):
    name = "admin"
    sentence = "the operator's desk: repeats, contrary words, a relay cut off, a list that loses servers"
    kind = World
    properties = (
        an_accepted_command_is_never_lost,
        a_repeat_acts_once,
        commands_leave_no_proxy_with_nothing,
        the_lost_are_stood_in_for,
        what_is_shown_as_applied_is,
    )
    depth = 12
    commands, losses, cuts = 3, 1, 1

    def initial(self) -> World:
        controller = AdminController(0, SECOND)
        entries = tuple(api.Entry(server, 0, api.Phase.READY, 1.0, 0) for server in range(SERVERS))
        controller.listed(START, api.Listed(True, True, entries))
        none = (0,) * SERVERS
        return self.after(
            World(
                b"",
                "",
                START,
                (),
                0,
                (),
                (0,) * SERVERS,
                (),
                (int(api.Phase.READY),) * SERVERS,
                none,
                none,
                none,
                self.commands,
                self.losses,
                self.cuts,
                False,
                False,
                "",
            ),
            controller,
        )

    def key(self, world: World) -> Any:
        return world._replace(controller=b"", now=0)

    def after(self, world: World, controller: AdminController) -> World:
        return world._replace(controller=pickle.dumps(controller), shape=shape(controller, world.now))

    def steps(self, world: World) -> Iterator[Step[World]]:
        if world.commands:
            for server in range(SERVERS):
                for state in (State.READY, State.MAINT):
                    yield self.commands_it(world, server, state)
        if world.losses:
            for server in range(SERVERS):
                if world.listed[server] == api.Phase.READY:
                    yield self.lists(
                        world._replace(losses=world.losses - 1, lost=True), server, api.Phase.GONE
                    )
        for server in range(SERVERS):
            if world.listed[server] != api.Phase.READY:
                yield self.lists(world, server, api.Phase.READY)
        yield from self.relay_acts(world)
        controller = load(world)
        if (at := controller.next_at(world.now)) is not None:
            yield self.rings(world._replace(now=max(at, world.now)), controller)

    def commands_it(self, world: World, server: int, state: State) -> Step[World]:
        controller = load(world)
        outcome = controller.command(world.now, "client", "a command", [Change(server, state=state)])
        name = f"client: wants server {server} {state.name.lower()}"
        if not isinstance(outcome, Accepted):
            return Step(
                f"{name}, is refused: {outcome.reason.value}",
                self.after(world._replace(commands=world.commands - 1), controller),
            )
        flips, wishes = list(world.flips), list(world.wishes)
        flips[server] += wishes[server] != state
        wishes[server] = state
        return Step(
            name,
            self.after(
                world._replace(commands=world.commands - 1, flips=tuple(flips), wishes=tuple(wishes)),
                controller,
            ),
        )

    def lists(self, world: World, server: int, phase: api.Phase) -> Step[World]:
        listed = list(world.listed)
        listed[server] = int(phase)
        event = api.Listed(False, False, (api.Entry(server, 0, phase, 1.0, 0),))
        return Step(
            f"list: server {server} is {phase.name.lower()}",
            self.hears(world._replace(listed=tuple(listed)), load(world), event),
        )

    def rings(self, world: World, controller: AdminController) -> Step[World]:
        event = controller.due(world.now)
        if event is None:
            return Step("time: the desk looks, and tells nothing", self.after(world, controller), "time")
        return Step("time: the desk tells the module", self.hears(world, controller, event), "time")

    def hears(self, world: World, controller: AdminController, event: api.Listed) -> World:
        """The module orders what its entries say, what shuts out ahead, as the real one does."""
        seen, told = controller.listed(world.now, event), list(world.told)
        orders = list[api.Withdraw]()
        for out in (True, False):
            for entry in seen.entries:
                wanted = entry.phase != api.Phase.READY
                if wanted == out and bool(told[entry.server]) != wanted:
                    told[entry.server] = int(wanted)
                    orders.append(api.Withdraw(entry.server, wanted))
        world = world._replace(told=tuple(told))
        if orders:
            row = CallQueue.restore((world.calls, world.replies))
            controller.ordered(world.now, row.reply_count + 1, orders)
            row.push([codec.OrderEncoder(lambda server: f"s{server}", ()).encode(order) for order in orders])
            calls, replies = row.snapshot()
            world = world._replace(calls=calls, replies=replies)
        return self.after(world, controller)

    def relay_acts(self, world: World) -> Iterator[Step[World]]:
        if not world.calls:
            return
        row = CallQueue.restore((world.calls, world.replies))
        orders = row.head().orders
        if world.cuts:
            yield Step("relay: is cut off, the call is lost", world._replace(cuts=world.cuts - 1))
        held, acted, bare = set(world.held), list(world.acted), world.bare
        for order in orders:
            server = order.split(",")[1]
            if (server in held) != order.startswith("eject"):
                acted[int(server[1:])] += 1
            (held.add if order.startswith("eject") else held.discard)(server)
            bare |= len(held) == SERVERS
        carried = world._replace(held=tuple(sorted(held)), acted=tuple(acted), bare=bare)
        if world.cuts:
            yield Step("relay: carries the call out and is cut off", carried._replace(cuts=world.cuts - 1))
        outcome, controller = row.on_answer(codec.Done(len(orders))), load(world)
        assert outcome is not None
        if outcome.settled_reply is not None:
            controller.settled(outcome.settled_reply)
        calls, replies = row.snapshot()
        after = carried._replace(calls=calls, replies=replies)
        wrong = [
            server
            for server in range(SERVERS)
            if controller.applied([server])
            and world.wishes[server]
            and f"s{server}" not in after.held
            and server not in controller.inventory.lent
        ]
        if wrong:
            after = after._replace(
                wrong=f"server {wrong[0]} shows as applied, the relay has {after.held} shut out"
            )
        yield Step(f"relay: carries out {';'.join(orders)}", self.after(after, controller), "relay")

    def show(self, world: World) -> list[str]:
        return [
            f"{name}: {value}"
            for name, value in zip(world._fields, world, strict=True)
            if name not in ("controller", "shape")
        ]
