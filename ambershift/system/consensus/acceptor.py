"""The acceptor of all registers: promises and accepted values (CASPaxos), answered once they are on disk."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from ambershift.system.consensus.effect_buffer import Outbox
from ambershift.system.consensus.write_queue import Journal
from ambershift.system.interfaces import DeltaCodec
from ambershift.system.messages.replication import (
    ZERO_BALLOT,
    Accept,
    AcceptorState,
    Acknowledgement,
    Ballot,
    ConfirmBallot,
    MissingBase,
    Prepare,
    Promise,
    Rejected,
)

TABLE = "registers"
VOTERS = "@"  # Registers of who votes next begin so; they belong to one epoch and are not handed on.
EMPTY = AcceptorState(ZERO_BALLOT, ZERO_BALLOT, ZERO_BALLOT, None)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AcceptorState).decode


class Acceptor:
    def __init__(
        self,
        out: Outbox,
        journal: Journal,
        shapes: Callable[[str], DeltaCodec | None],
        rows: dict[str, bytes],
    ) -> None:
        self._out, self._journal, self._shapes = out, journal, shapes
        self.records: dict[str, AcceptorState] = {}
        self._since: dict[str, tuple[Ballot, int]] = {}
        for name, data in rows.items():
            self._keep(name, _decode(data))

    def record(self, name: str) -> AcceptorState:
        return self.records.get(name, EMPTY)

    def since(self, name: str, origin: Ballot) -> int:
        """Since when (ns) this process knows the value made at `origin`: never before its call arrived."""
        known = self._since.get(name)
        if known is None or known[0] != origin:
            known = self._since[name] = origin, self._out.now
        return known[1]

    def _keep(self, name: str, record: AcceptorState) -> None:
        self.records[name] = record
        if not name.startswith(VOTERS) and record.accepted_ballot != ZERO_BALLOT:
            self.since(name, record.origin_ballot)

    def _write(self, name: str, record: AcceptorState) -> None:
        self._keep(name, record)
        self._journal.put(TABLE, name, _encode(record))

    def prepare(self, sender: str, asked: Prepare) -> None:
        record = self.record(asked.register)
        if asked.ballot < record.promised_ballot or record.accepted_ballot >= asked.ballot:
            self._out.send(sender, Rejected(asked.epoch, asked.request_id, record.promised_ballot[0]))
            return
        if asked.ballot > record.promised_ballot:
            self._write(
                asked.register,
                AcceptorState(asked.ballot, record.accepted_ballot, record.origin_ballot, record.value),
            )
        told = None if record.accepted_ballot == asked.known_accepted else record.value
        promise = Promise(asked.epoch, asked.request_id, record.accepted_ballot, record.origin_ballot, told)
        self._journal.synced(partial(self._out.send, sender, promise))

    def accept(self, sender: str, asked: Accept) -> None:
        record = self.record(asked.register)
        if record.accepted_ballot != asked.ballot:
            if asked.ballot < record.promised_ballot:
                self._out.send(sender, Rejected(asked.epoch, asked.request_id, record.promised_ballot[0]))
                return
            value = asked.value_or_delta
            if asked.base_ballot is not None:
                shape = None if asked.value_or_delta is None else self._shapes(asked.register)
                if record.accepted_ballot != asked.base_ballot or (
                    asked.value_or_delta is not None and (shape is None or record.value is None)
                ):
                    self._out.send(sender, MissingBase(asked.epoch, asked.request_id))
                    return
                value = record.value
                if asked.value_or_delta is not None and shape is not None and value is not None:
                    value = shape.patch(value, asked.value_or_delta)
            following = (asked.ballot[0] + 1, asked.ballot[1])
            self._write(
                asked.register,
                AcceptorState(following, asked.ballot, asked.origin_ballot or asked.ballot, value),
            )
        self._journal.synced(partial(self._out.send, sender, Acknowledgement(asked.epoch, asked.request_id)))

    def confirm(self, sender: str, asked: ConfirmBallot) -> None:
        # Asks for this moment only, so nothing has to be on disk.
        record = self.record(asked.register)
        if record.promised_ballot == asked.ballot:
            self._out.send(sender, Acknowledgement(asked.epoch, asked.request_id))
        else:
            self._out.send(sender, Rejected(asked.epoch, asked.request_id, record.promised_ballot[0]))

    def ballots(self) -> dict[str, tuple[Ballot, Ballot]]:
        """The ballots promised and accepted for each register."""
        return {
            name: (record.promised_ballot, record.accepted_ballot)
            for name, record in self.records.items()
            if not name.startswith(VOTERS)
        }

    def newer(self, told: dict[str, tuple[Ballot, Ballot]]) -> list[tuple[str, AcceptorState]]:
        """Registers promised or accepted higher than told.

        A promise counts beyond its voters: somebody may have accepted its ballot alone. Did the next voters
        choose a lower one, that would come up over it later.
        """
        found = []
        for name, record in self.records.items():
            promised, accepted = told.get(name, (ZERO_BALLOT, ZERO_BALLOT))
            if name.startswith(VOTERS):
                continue
            if record.accepted_ballot > accepted:
                found.append((name, record))
            elif record.promised_ballot > promised:
                found.append((name, AcceptorState(record.promised_ballot, ZERO_BALLOT, ZERO_BALLOT, None)))
        return found

    def merge(self, told: Iterable[tuple[str, AcceptorState]]) -> None:
        """Take over what others have accepted. Only while not voting: it would break promises."""
        for name, theirs in told:
            mine = self.record(name)
            promised = max(mine.promised_ballot, theirs.promised_ballot)
            newer = theirs if theirs.accepted_ballot > mine.accepted_ballot else mine
            merged = AcceptorState(promised, newer.accepted_ballot, newer.origin_ballot, newer.value)
            if merged != mine:
                self._write(name, merged)

    def forget_voters(self, keep: str) -> None:
        """Drop the registers of who votes next, but for one."""
        for name in [one for one in self.records if one.startswith(VOTERS) and one != keep]:
            del self.records[name]
            self._journal.put(TABLE, name, None)
