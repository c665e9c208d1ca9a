"""The acceptor of all registers: promises and accepted values (CASPaxos), answered once they are on disk."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from ambershift.system.consensus.effect_buffer import Outbox
from ambershift.system.consensus.write_queue import Journal
from ambershift.system.interfaces import Shape
from ambershift.system.messages.replication import (
    NEVER,
    Accept,
    Agreed,
    Ballot,
    Confirm,
    Lacking,
    Prepare,
    Promise,
    Record,
    Refused,
)

TABLE = "registers"
VOTERS = "@"  # Registers of who votes next begin so; they belong to one epoch and are not handed on.
EMPTY = Record(NEVER, NEVER, NEVER, None)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


class Acceptor:
    def __init__(
        self, out: Outbox, journal: Journal, shapes: Callable[[str], Shape | None], rows: dict[str, bytes]
    ) -> None:
        self._out, self._journal, self._shapes = out, journal, shapes
        self.records: dict[str, Record] = {}
        self._since: dict[str, tuple[Ballot, int]] = {}
        for name, data in rows.items():
            self._keep(name, _decode(data))

    def record(self, name: str) -> Record:
        return self.records.get(name, EMPTY)

    def since(self, name: str, origin: Ballot) -> int:
        """Since when (ns) this process knows the value made at `origin`: never before its call arrived."""
        known = self._since.get(name)
        if known is None or known[0] != origin:
            known = self._since[name] = origin, self._out.now
        return known[1]

    def _keep(self, name: str, record: Record) -> None:
        self.records[name] = record
        if not name.startswith(VOTERS) and record.accepted != NEVER:
            self.since(name, record.origin)

    def _write(self, name: str, record: Record) -> None:
        self._keep(name, record)
        self._journal.put(TABLE, name, _encode(record))

    def prepare(self, sender: str, asked: Prepare) -> None:
        record = self.record(asked.name)
        if asked.ballot < record.promised or record.accepted >= asked.ballot:
            self._out.send(sender, Refused(asked.epoch, asked.number, record.promised[0]))
            return
        if asked.ballot > record.promised:
            self._write(asked.name, Record(asked.ballot, record.accepted, record.origin, record.value))
        told = None if record.accepted == asked.have else record.value
        promise = Promise(asked.epoch, asked.number, record.accepted, record.origin, told)
        self._journal.synced(partial(self._out.send, sender, promise))

    def accept(self, sender: str, asked: Accept) -> None:
        record = self.record(asked.name)
        if record.accepted != asked.ballot:
            if asked.ballot < record.promised:
                self._out.send(sender, Refused(asked.epoch, asked.number, record.promised[0]))
                return
            value = asked.body
            if asked.base is not None:
                shape = None if asked.body is None else self._shapes(asked.name)
                if record.accepted != asked.base or (
                    asked.body is not None and (shape is None or record.value is None)
                ):
                    self._out.send(sender, Lacking(asked.epoch, asked.number))
                    return
                value = record.value
                if asked.body is not None and shape is not None and value is not None:
                    value = shape.patch(value, asked.body)
            following = (asked.ballot[0] + 1, asked.ballot[1])
            self._write(asked.name, Record(following, asked.ballot, asked.origin or asked.ballot, value))
        self._journal.synced(partial(self._out.send, sender, Agreed(asked.epoch, asked.number)))

    def confirm(self, sender: str, asked: Confirm) -> None:
        # Asks for this moment only, so nothing has to be on disk.
        record = self.record(asked.name)
        if record.promised == asked.ballot:
            self._out.send(sender, Agreed(asked.epoch, asked.number))
        else:
            self._out.send(sender, Refused(asked.epoch, asked.number, record.promised[0]))

    def ballots(self) -> dict[str, tuple[Ballot, Ballot]]:
        """The ballots promised and accepted for each register."""
        return {
            name: (record.promised, record.accepted)
            for name, record in self.records.items()
            if not name.startswith(VOTERS)
        }

    def newer(self, told: dict[str, tuple[Ballot, Ballot]]) -> list[tuple[str, Record]]:
        """Registers promised or accepted higher than told.

        A promise counts beyond its voters: somebody may have accepted its ballot alone. Did the next voters
        choose a lower one, that would come up over it later.
        """
        found = []
        for name, record in self.records.items():
            promised, accepted = told.get(name, (NEVER, NEVER))
            if name.startswith(VOTERS):
                continue
            if record.accepted > accepted:
                found.append((name, record))
            elif record.promised > promised:
                found.append((name, Record(record.promised, NEVER, NEVER, None)))
        return found

    def merge(self, told: Iterable[tuple[str, Record]]) -> None:
        """Take over what others have accepted. Only while not voting: it would break promises."""
        for name, theirs in told:
            mine = self.record(name)
            promised = max(mine.promised, theirs.promised)
            newer = theirs if theirs.accepted > mine.accepted else mine
            merged = Record(promised, newer.accepted, newer.origin, newer.value)
            if merged != mine:
                self._write(name, merged)

    def forget_voters(self, keep: str) -> None:
        """Drop the registers of who votes next, but for one."""
        for name in [one for one in self.records if one.startswith(VOTERS) and one != keep]:
            del self.records[name]
            self._journal.put(TABLE, name, None)
