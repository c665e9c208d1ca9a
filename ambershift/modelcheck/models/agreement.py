"""Two operators with one version, a later one, and three control nodes: one may leave, one start anew.

Driven: `system/configuration/agreement.py` as it runs, with the stores' merging. The register is one value
that is changed at once (`consensus` explores how it becomes that); what it decided may stay untold, as
whoever proposed was overtaken or died. Stores are read and written a majority at a time, or in part.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from ambershift.modelcheck.model import Base, Property, Step
from ambershift.system.configuration.agreement import (
    NOTHING_READ,
    Accepted,
    Behind,
    Progress,
    Proposal,
)
from ambershift.system.configuration.change_request import Order, read_order
from ambershift.system.messages.items import SERVICE, Item, newest

KEY = (SERVICE, "s")
NODES = (0, 1, 2)
# Each call: version and content. The first two are rivals.
CALLS = ((5, 1), (5, 2), (6, 3))
UNTOLD, TAKEN, REFUSED = 0, 1, 2
_item = msgspec.msgpack.Decoder(Item).decode
_items = msgspec.msgpack.Decoder(tuple[Item, ...]).decode
_encode = msgspec.msgpack.encode


class Storing(NamedTuple):
    """A call that was agreed through a node, which has its items stored now."""

    call: int
    node: int
    items: bytes
    end: int


class World(NamedTuple):
    """`register` is its value; `stores` the item that each node holds (b"": none); `read` and `stored` the
    nodes' progress; `voters` those whose stores count; `told` what each call's callers were told; `sends`
    how many copies of each call may still be sent.
    """

    register: bytes
    stores: tuple[bytes, ...]
    read: tuple[int, ...]
    stored: tuple[int, ...]
    voters: tuple[int, ...]
    storing: tuple[Storing, ...]
    told: tuple[int, ...]
    sends: tuple[int, ...]
    restarts: int
    leaves: int
    wrong: tuple[str, str]


def _order(call: int) -> Order:
    version, cap = CALLS[call]
    row = {"Name": "s", "ConfigVersion": f"r{version}", "ConnectionCap": cap}
    return read_order(msgspec.json.encode({"Upsert": {"Services": [row]}}))


def _content(data: bytes) -> tuple[int, int]:
    """Version and content of what a store holds; (0, 0) for nothing."""
    if not data:
        return 0, 0
    item = _item(data)
    return item.version[0], int(msgspec.json.decode(item.body or b"{}")["ConnectionCap"])


def _merged(one: bytes, other: bytes) -> bytes:
    if not one or not other:
        return one or other
    return _encode(newest(_item(one), _item(other)))


def _put(values: tuple[int, ...], at: int, value: int) -> tuple[int, ...]:
    return (*values[:at], value, *values[at + 1 :])


def _property(name: str, sentence: str) -> Property:
    def check(world: World) -> str | None:
        return world.wrong[1] if world.wrong[0] == name else None

    return Property(name, sentence, check)


class AgreementModel(Base):
    name = "agreement"
    sentence = "two operators with one version, a later one, three control nodes; one leaves, one starts anew"
    kind = World
    properties = (
        _property("one-content", "A version has one content for all who are told of it or see it."),
        _property("refused-is-never", "What was refused is never seen."),
        _property("acknowledged-stays", "Whoever reads a majority finds what was acknowledged, or newer."),
    )
    sends, restarts, leaves = (2, 2, 1), 1, 1

    def initial(self) -> World:
        nothing = (b"",) * 3
        start = (NOTHING_READ,) * 3
        return World(
            b"", nothing, start, (0,) * 3, NODES, (), (UNTOLD,) * len(CALLS), self.sends, self.restarts,
            self.leaves, ("", ""),
        )  # fmt: skip

    def steps(self, world: World) -> Iterator[Step[World]]:
        if world.wrong[0]:
            return
        for node in world.voters:
            for call in range(len(CALLS)):
                if world.sends[call]:
                    yield from self.judged(world, node, call)
            yield from self.reads(world, node)
            if world.restarts:
                yield self.starts_anew(world, node)
            if world.leaves and len(world.voters) == len(NODES):
                yield self.leaves_for_good(world, node)
        for storing in world.storing:
            yield from self.stores(world, storing)

    def judged(self, world: World, node: int, call: int) -> Iterator[Step[World]]:
        held = {KEY: _item(world.stores[node])} if world.stores[node] else {}
        progress = Progress(world.read[node], world.stored[node])
        verdict = Proposal(_order(call), progress, held)(world.register or None, 0, 0)
        outcome = verdict.result
        if isinstance(outcome, Behind):
            return  # It reads first: see `reads`.
        after = world._replace(
            register=verdict.new_value if verdict.new_value is not None else world.register,
            sends=_put(world.sends, call, world.sends[call] - 1),
        )
        name = f"node {node} has call {call} judged"
        yield Step(f"{name}, and nobody is told", after)
        if not isinstance(outcome, Accepted):
            yield Step(f"{name}: refused", self.tell(after, call, REFUSED))
            return
        storing = Storing(call, node, _encode(outcome.to_store), outcome.end)
        yield Step(f"{name}: agreed", after._replace(storing=(*world.storing, storing)))

    def reads(self, world: World, node: int) -> Iterator[Step[World]]:
        """The stores of a majority, itself among them: what an operator is shown, too."""
        for other in world.voters:
            if other == node:
                continue
            found = _merged(world.stores[node], world.stores[other])
            stores = tuple(found if at == node else one for at, one in enumerate(world.stores))
            settled = Proposal(_order(0), Progress(), {})(world.register or None, 0, 0).result.settled
            after = world._replace(stores=stores, read=_put(world.read, node, max(world.read[node], settled)))
            yield Step(f"node {node} reads its store and that of {other}", self.seen(after, found))

    def stores(self, world: World, storing: Storing) -> Iterator[Step[World]]:
        """At the node that proposed and one more, which is a majority; or it dies in the middle."""
        left = tuple(one for one in world.storing if one is not storing)
        for other in world.voters:
            for done in (True, False):
                if other == storing.node and done:
                    continue
                places = {storing.node, other} if done else {other}
                stores = tuple(
                    self.with_items(one, storing.items) if at in places else one
                    for at, one in enumerate(world.stores)
                )
                after = world._replace(stores=stores, storing=left)
                if not done:
                    yield Step(f"call {storing.call} is stored at {other} alone", after)
                    continue
                progress = Progress(world.read[storing.node], world.stored[storing.node])
                progress.has_stored(storing.end)
                after = after._replace(
                    read=_put(world.read, storing.node, progress.read),
                    stored=_put(world.stored, storing.node, progress.stored),
                )
                name = f"call {storing.call} is stored at {storing.node} and {other}"
                yield Step(f"{name}, and acknowledged", self.tell(after, storing.call, TAKEN))
                yield Step(f"{name}, and its answer is lost", after)

    @staticmethod
    def with_items(store: bytes, items: bytes) -> bytes:
        for item in _items(items):
            store = _merged(store, _encode(item))
        return store

    def starts_anew(self, world: World, node: int) -> Step[World]:
        """With its disk. What it was storing is told to nobody."""
        after = world._replace(
            read=_put(world.read, node, NOTHING_READ),
            stored=_put(world.stored, node, 0),
            storing=tuple(one for one in world.storing if one.node != node),
            restarts=world.restarts - 1,
        )
        return Step(f"node {node} starts anew", after)

    def leaves_for_good(self, world: World, node: int) -> Step[World]:
        """The two that are left complete their copies from each other before they vote."""
        rest = tuple(one for one in NODES if one != node)
        whole = _merged(world.stores[rest[0]], world.stores[rest[1]])
        after = world._replace(
            stores=tuple(b"" if at == node else whole for at in NODES),
            voters=rest,
            storing=tuple(one for one in world.storing if one.node != node),
            leaves=world.leaves - 1,
        )
        return Step(f"node {node} leaves for good", after)

    # What callers are told.

    def tell(self, world: World, call: int, what: int) -> World:
        told = _put(world.told, call, what)
        rivals = [other for other in range(len(CALLS)) if CALLS[other][0] == CALLS[call][0] and other != call]
        wrong = world.wrong
        if what == TAKEN and any(told[other] == TAKEN for other in rivals):
            wrong = "one-content", f"call {call} and its rival are both acknowledged"
        if world.told[call] not in (UNTOLD, what):
            wrong = "one-content", f"call {call} is acknowledged and refused"
        return world._replace(told=told, wrong=wrong)

    def seen(self, world: World, found: bytes) -> World:
        version, content = _content(found)
        floor = max((CALLS[at][0] for at, what in enumerate(world.told) if what == TAKEN), default=0)
        if version < floor:
            return world._replace(wrong=("acknowledged-stays", f"r{version} is read after r{floor}"))
        for call, what in enumerate(world.told):
            same = CALLS[call] == (version, content)
            if same and what == REFUSED:
                return world._replace(wrong=("refused-is-never", f"call {call} is seen"))
            if CALLS[call][0] == version and not same and what == TAKEN:
                return world._replace(wrong=("one-content", f"call {call} is acknowledged, another seen"))
        return world
