"""The row of calls to the relay, with a wire that loses calls and answers, and a relay that refuses.

Driven: `coordinator/routing/call_queue.py`, and by it `coalesce` and `split` of the relay's codec.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.call_queue import Call, CallQueue
from ambershift.modelcheck.model import Base, Liveness, Step, prop

POISON = "put,9,zz,1"  # An order that the relay can't read, whatever comes with it.
SERVERS = ("sa", "sb")
Held = tuple[tuple[str, str], ...]


class Wire(NamedTuple):
    """What is under way: "" nothing, "out" a call, "back" an answer to it."""

    way: str
    orders: tuple[str, ...]
    answer: str


IDLE = Wire("", (), "")


class World(NamedTuple):
    """`wanted` has, for each thing that orders set, the last word and the reply it came in; `held` what the
    relay
    holds. `unknown` is a call sent whose outcome is not known; `wrong` what a party noticed itself.
    """

    calls: tuple[Call, ...]
    replies: int
    wire: Wire
    wanted: tuple[tuple[str, str, int], ...]
    held: Held
    unknown: tuple[str, ...]
    settled: int
    losses: int
    refusals: int
    wrong: str


def what(order: str) -> tuple[str, str]:
    """The thing that an order sets, and what to."""
    kind, *words = order.removeprefix("un").split(",")
    if kind == "eject":
        return f"shut {words[0]}", "in" if order.startswith("un") else "out"
    if kind == "put":
        return f"line {words[0]} {words[1]}", words[2]
    if kind == "attach":
        return f"table of {words[0]}", words[1]
    return kind, words[0]


def set_in(held: Held, order: str) -> Held:
    name, value = what(order)
    return tuple(sorted([(one, old) for one, old in held if one != name] + [(name, value)]))


@prop
def no_call_overtakes(world: World) -> str | None:
    """No call overtakes an earlier one of unknown outcome."""
    return world.wrong if world.wrong.startswith("overtook") else None


@prop
def the_last_word_is_held(world: World) -> str | None:
    """What the relay holds ends as the last word ordered."""
    if world.calls or world.wire.way:
        return None
    held = dict(world.held)
    for name, value, _ in world.wanted:
        if value and held.get(name) != value:
            return f"{name} was last ordered to be {value}, and the relay holds {held.get(name)}"
    return None


@prop
def settled_means_held(world: World) -> str | None:
    """A reply counts as settled only once all of it is carried out that no later one made void."""
    held = dict(world.held)
    for name, value, reply in world.wanted:
        if value and reply <= world.settled and held.get(name) != value:
            return f"reply {reply} is settled, and {name} is {held.get(name)}, not {value}"
    return None


@prop
def only_what_can_not_be_read_is_lost(world: World) -> str | None:
    """An accepted order is never lost but for one that the relay refuses by itself."""
    return world.wrong if world.wrong.startswith("lost") else None


@prop
def what_waits_is_bounded(world: World) -> str | None:
    """Behind the first call wait no more orders than there are things to set."""
    waiting = sum(len(call.orders) for call in world.calls[1:])
    most = 2 * (len(world.wanted) + 1)
    return f"{waiting} orders wait for {len(world.wanted)} things" if waiting > most else None


class RowModel(Base):
    name = "row"
    sentence = "the row of calls to the relay: outcomes unknown, folding, cutting, busy, misread, refused"
    kind = World
    properties = (
        no_call_overtakes,
        the_last_word_is_held,
        settled_means_held,
        only_what_can_not_be_read_is_lost,
        what_waits_is_bounded,
    )
    liveness = (
        Liveness(
            "commands-are-applied",
            "A command is applied if the relay stays up long enough.",
            lambda world: bool(world.calls),
        ),
    )
    pushes, losses, refusals = 3, 2, 1

    def initial(self) -> World:
        return World((), 0, IDLE, (), (), (), 0, self.losses, self.refusals, "")

    def replies(self, number: int) -> list[tuple[str, ...]]:
        """What the module may order in its next reply. Weights tell replies apart."""
        each = [
            reply
            for one in SERVERS
            for reply in (
                (f"eject,{one}",),
                (f"uneject,{one}",),
                (f"put,1,{one},{number}", "attach,7,1,*", f"fence,{number},0"),
            )
        ]
        return [*each, (f"put,1,sa,{number}", POISON, f"put,1,sb,{number}")]

    def steps(self, world: World) -> Iterator[Step[World]]:
        row = CallQueue.restore((world.calls, world.replies))
        if world.replies < self.pushes:
            for texts in self.replies(world.replies + 1):
                yield self.push(world, texts)
        if not world.wire.way and world.calls:
            orders = row.head().orders
            wrong = world.wrong
            if world.unknown and orders != world.unknown:
                wrong = (
                    wrong
                    or f"overtook: {';'.join(orders)} goes out, and {';'.join(world.unknown)} is unknown"
                )
            yield Step(
                f"coordinator: sends {';'.join(orders)}",
                world._replace(wire=Wire("out", orders, ""), wrong=wrong, unknown=orders),
                "relay",
            )
        if world.wire.way == "out":
            yield from self.relay_acts(world)
        if world.wire.way == "back":
            yield self.arrives(world, row)
            if world.losses:
                yield Step("network: loses the answer", world._replace(wire=IDLE, losses=world.losses - 1))

    def push(self, world: World, texts: tuple[str, ...]) -> Step[World]:
        row = CallQueue.restore((world.calls, world.replies))
        row.push(texts)
        wanted = {name: (value, reply) for name, value, reply in world.wanted}
        for text in texts:
            if text != POISON and not text.startswith("fence"):
                name, value = what(text)
                wanted[name] = value, row.reply_count
        calls, replies = row.snapshot()
        return Step(
            f"module: orders {';'.join(texts)}",
            world._replace(
                calls=calls,
                replies=replies,
                wanted=tuple(sorted((name, *one) for name, one in wanted.items())),
            ),
        )

    def relay_acts(self, world: World) -> Iterator[Step[World]]:
        orders, losses = world.wire.orders, world.losses
        if losses:
            yield Step("network: loses the call", world._replace(wire=IDLE, losses=losses - 1))
            yield Step(
                "relay: is busy",
                world._replace(wire=Wire("back", orders, "too_many_calls"), losses=losses - 1),
            )
        if POISON in orders:
            yield Step(
                "relay: can't read the call",
                world._replace(wire=Wire("back", orders, "bad_request")),
                "relay",
            )
            return
        yield self.carries_out(world, len(orders))
        if world.refusals:
            for at in range(len(orders)):
                step = self.carries_out(world._replace(refusals=world.refusals - 1), at)
                yield step._replace(name=f"relay: refuses {orders[at]}", fair="")

    def carries_out(self, world: World, count: int) -> Step[World]:
        orders, held = world.wire.orders, world.held
        for order in orders[:count]:
            held = set_in(held, order)
        return Step(
            "relay: carries out the call",
            world._replace(held=held, wire=Wire("back", orders, f"OK {count}")),
            "relay",
        )

    def arrives(self, world: World, row: CallQueue) -> Step[World]:
        """The codec reads the answer and the row hears of it, as in the program."""
        outcome = row.on_answer(codec.parse_answer(world.wire.answer.encode(), len(world.wire.orders)))
        calls, replies = row.snapshot()
        after = world._replace(calls=calls, replies=replies, wire=IDLE, unknown=())
        if outcome is None:
            return Step("coordinator: hears that the relay is busy", after, "relay")
        if outcome.lost_order is not None:
            after = self.excuse(after, outcome.lost_order, world.wire.answer)
        if outcome.settled_reply is not None:
            after = after._replace(settled=max(after.settled, outcome.settled_reply))
        return Step(f"coordinator: hears {world.wire.answer}", after, "relay")

    def excuse(self, world: World, order: str, answer: str) -> World:
        """An order that the relay refused by itself need not be held; any other that is given up is lost."""
        if answer == "bad_request" and order != POISON:
            return world._replace(
                wrong=world.wrong or f"lost: {order} was given up, which the relay can read"
            )
        if order == POISON:
            return world
        name, value = what(order)
        return world._replace(
            wanted=tuple(
                (one, "" if (one, had) == (name, value) else had, reply) for one, had, reply in world.wanted
            )
        )

    def done(self, world: World) -> bool:
        return not world.calls and not world.wire.way

    def orbit(self, world: World) -> Iterable[World]:
        """The two servers may change their names."""
        return world, exchanged(world, {"sa": "sb", "sb": "sa"})


def exchanged(value: Any, names: dict[str, str]) -> Any:
    """The same value with names exchanged, what was sorted sorted anew."""
    if isinstance(value, str):
        for one in names:
            value = value.replace(one, f"\0{one}")
        for one, other in names.items():
            value = value.replace(f"\0{one}", other)
        return value
    if isinstance(value, World):
        each = [exchanged(one, names) for one in value]
        return World(*each)._replace(wanted=tuple(sorted(each[3])), held=tuple(sorted(each[4])))
    if isinstance(value, tuple):
        each = [exchanged(one, names) for one in value]
        return type(value)(*each) if hasattr(value, "_fields") else tuple(each)
    return value


class RowLarge(RowModel):
    """Three orders beyond the small world, for a machine with time."""

    name = "row-large"
    sentence = "the same with four replies and three losses"
    pushes, losses = 4, 3
