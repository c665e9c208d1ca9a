"""Registers that are lists, changed through replicas alone: what each caller was told shows their order."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.events import ChangeRegister, ReadQuorum, WriteItems
from ambershift.system.interfaces import ChangeOutcome, NotAppliedError
from ambershift.system.messages.items import Item
from ambershift.system.simulation.world import World
from ambershift.system.state_machine import NS_PER_SECOND

LISTS = 6  # Registers that are judged.


class Appending:
    """The shape of the judged register: ids of eight bytes, one after the other."""

    def diff(self, old: bytes, new: bytes) -> bytes | None:
        return new[len(old) :] if new.startswith(old) and old else None

    def patch(self, old: bytes, difference: bytes) -> bytes:
        return old + difference


@dataclass
class Op:
    """A caller's operation. `told` is its outcome, None while (or if ever) it isn't known."""

    kind: str
    id: bytes
    begun: int
    ended: int | None = None
    told: Any = None
    register: str = ""
    judged: tuple[list[bytes], int] = ([], 0)  # The value last judged, and since when it was known.


class Lists(World):
    """The world, callers' side, and the judge of these lists."""

    def __init__(self, seed: int, loss: float = 0.01, count: int = 6) -> None:
        self.ops: list[Op] = []
        self.by_id: dict[bytes, Op] = {}
        self.broken: list[str] = []
        super().__init__(seed, loss, count)

    def shape(self, register: str) -> Appending:
        return Appending()

    def _op(self, kind: str, id_: bytes = b"") -> Op:
        op = Op(kind, id_ or self.chance.randbytes(8), self.now)
        op.register = f"list/{self.chance.randrange(LISTS)}"
        self.ops.append(op)
        self.by_id[op.id] = op
        return op

    def _end(self, op: Op) -> Callable[[Any], None]:
        def done(outcome: Any) -> None:
            op.ended, op.told = self.now, outcome
            if isinstance(outcome, CallSucceeded):
                self.at(self.now, self.told)

        return done

    def change(self, kind: str, ip: str, register: str = "", within: float = 1.5) -> Op:
        """`append` an id of its own, `read`, or `touch`: write the same again, as a lock's renewal may."""
        op = self._op(kind)
        op.register = register or op.register

        def change(value: bytes | None, since: int, now: int) -> ChangeOutcome:
            ids = split(value)
            op.judged = ids, since
            if kind == "touch":
                return ChangeOutcome(value, ids)
            if kind == "read" or op.id in ids:  # Its own earlier write.
                return ChangeOutcome(None, ids)
            return ChangeOutcome((value or b"") + op.id, [*ids, op.id])

        self.call(ip, lambda call: ChangeRegister(call, op.register, change, within), self._end(op))
        return op

    def _check_since(self, op: Op, touches: list[Op]) -> str | None:
        """A value is never known for longer than since the call that made it, or renewed it, came."""
        ids, since = op.judged
        writes = [self.by_id[ids[-1]].begun] if ids else [0]
        writes += [
            other.begun
            for other in touches
            if other.told.result == ids and other.ended is not None and other.ended <= op.begun
        ]
        return f"value of {max(writes)} known since {since}" if since < max(writes) else None

    def put(self, ip: str, name: str, within: float = 1.5) -> Op:
        op = self._op("put", f"{name} {len(self.ops)}".encode())
        item = Item("route", name, (len(self.ops), ""), op.id)
        self.call(ip, lambda call: WriteItems(call, (item,), within), self._end(op))
        return op

    def freshen(self, ip: str, within: float = 1.5) -> Op:
        op, box = self._op("freshen"), self.boxes[ip]
        life = box.life

        def done(outcome: Any) -> None:
            op.ended, op.told = self.now, outcome
            if isinstance(outcome, CallSucceeded) and box.replica is not None and box.life == life:
                self._check_items(ip, op.begun)

        self.call(ip, lambda call: ReadQuorum(call, within), done)
        return op

    # The judge.

    def _check_items(self, ip: str, before: int) -> None:
        replica = self.boxes[ip].replica
        assert replica is not None
        for op in self.ops:
            if (
                op.kind == "put"
                and isinstance(op.told, CallSucceeded)
                and op.ended is not None
                and op.ended <= before
            ):
                name, number = op.id.decode().split()
                held = replica.store.items.get(("route", name))
                if held is None or held.version[0] <= int(number):
                    self.broken.append(f"{ip} lacks {op.id!r} at {self.now / NS_PER_SECOND:.3f}")

    def judge(self) -> list[str]:
        """What no order of the operations explains."""
        broken = list(self.broken)
        for index in range(LISTS):
            broken += self._judge(
                [
                    op
                    for op in self.ops
                    if op.register == f"list/{index}" and op.kind in ("append", "read", "touch")
                ]
            )
        return broken

    def _judge(self, ops: list[Op]) -> list[str]:
        """The longest list told is the order: all others begin it, none is shorter than one told before."""
        good = [op for op in ops if isinstance(op.told, CallSucceeded)]
        touches = [op for op in good if op.kind == "touch"]
        broken = [wrong for op in good if (wrong := self._check_since(op, touches))]
        order: list[bytes] = max((op.told.result for op in good), key=len, default=[])
        if len(set(order)) != len(order):
            broken.append("an append came in twice")
        broken += [
            f"{op.kind} at {op.begun} was told another list"
            for op in good
            if op.told.result != order[: len(op.told.result)]
        ]
        broken += [
            f"{op.id!r} came in though refused"
            for op in ops
            if isinstance(op.told, NotAppliedError) and op.id in order
        ]
        broken += [
            "an append was told a list without it"
            for op in good
            if op.kind == "append" and op.id not in op.told.result
        ]
        most = 0
        moments = [(op.begun, True, op) for op in good] + [(op.ended or 0, False, op) for op in good]
        for when, starts, op in sorted(moments, key=lambda one: one[:2]):
            if not starts:
                most = max(most, len(op.told.result))
            elif len(op.told.result) < most:
                broken.append(f"{op.kind} begun at {when} was told less than before")
        return broken


def split(value: bytes | None) -> list[bytes]:
    return [] if value is None else [value[at : at + 8] for at in range(0, len(value), 8)]
