"""The acceptor of all registers: promises and accepted values (CASPaxos), answered once they are on disk."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.write_queue import WriteQueue
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

REGISTERS_TABLE = "registers"
VOTER_REGISTER_PREFIX = (
    "@"  # Registers of who votes next begin so; they belong to one epoch and are not handed on.
)
EMPTY_STATE = AcceptorState(ZERO_BALLOT, ZERO_BALLOT, ZERO_BALLOT, None)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AcceptorState).decode


class Acceptor:
    def __init__(
        self,
        out: EffectBuffer,
        journal: WriteQueue,
        shapes: Callable[[str], DeltaCodec | None],
        rows: dict[str, bytes],
    ) -> None:
        self._out, self._journal, self._shapes = out, journal, shapes
        self.states: dict[str, AcceptorState] = {}
        self._known_since: dict[str, tuple[Ballot, int]] = {}
        for name, data in rows.items():
            self._cache(name, _decode(data))

    def state(self, name: str) -> AcceptorState:
        return self.states.get(name, EMPTY_STATE)

    def known_since(self, name: str, origin_ballot: Ballot) -> int:
        """Since when (ns) this process knows the value made at `origin`: never before its call arrived."""
        known = self._known_since.get(name)
        if known is None or known[0] != origin_ballot:
            known = self._known_since[name] = origin_ballot, self._out.now
        return known[1]

    def _cache(self, name: str, record: AcceptorState) -> None:
        self.states[name] = record
        if not name.startswith(VOTER_REGISTER_PREFIX) and record.accepted_ballot != ZERO_BALLOT:
            self.known_since(name, record.origin_ballot)

    def _store(self, name: str, record: AcceptorState) -> None:
        self._cache(name, record)
        self._journal.put(REGISTERS_TABLE, name, _encode(record))

    def prepare(self, sender: str, request: Prepare) -> None:
        record = self.state(request.register)
        if request.ballot < record.promised_ballot or record.accepted_ballot >= request.ballot:
            self._out.send(sender, Rejected(request.epoch, request.request_id, record.promised_ballot[0]))
            return
        if request.ballot > record.promised_ballot:
            self._store(
                request.register,
                AcceptorState(request.ballot, record.accepted_ballot, record.origin_ballot, record.value),
            )
        value = None if record.accepted_ballot == request.known_accepted else record.value
        promise = Promise(
            request.epoch, request.request_id, record.accepted_ballot, record.origin_ballot, value
        )
        self._journal.on_durable(partial(self._out.send, sender, promise))

    def accept(self, sender: str, request: Accept) -> None:
        record = self.state(request.register)
        if record.accepted_ballot != request.ballot:
            if request.ballot < record.promised_ballot:
                self._out.send(sender, Rejected(request.epoch, request.request_id, record.promised_ballot[0]))
                return
            value = request.value_or_delta
            if request.base_ballot is not None:
                codec = None if request.value_or_delta is None else self._shapes(request.register)
                if record.accepted_ballot != request.base_ballot or (
                    request.value_or_delta is not None and (codec is None or record.value is None)
                ):
                    self._out.send(sender, MissingBase(request.epoch, request.request_id))
                    return
                value = record.value
                if request.value_or_delta is not None and codec is not None and value is not None:
                    value = codec.patch(value, request.value_or_delta)
            next_ballot = (request.ballot[0] + 1, request.ballot[1])
            self._store(
                request.register,
                AcceptorState(next_ballot, request.ballot, request.origin_ballot or request.ballot, value),
            )
        self._journal.on_durable(
            partial(self._out.send, sender, Acknowledgement(request.epoch, request.request_id))
        )

    def confirm(self, sender: str, request: ConfirmBallot) -> None:
        # Asks for this moment only, so nothing has to be on disk.
        record = self.state(request.register)
        if record.promised_ballot == request.ballot:
            self._out.send(sender, Acknowledgement(request.epoch, request.request_id))
        else:
            self._out.send(sender, Rejected(request.epoch, request.request_id, record.promised_ballot[0]))

    def ballots(self) -> dict[str, tuple[Ballot, Ballot]]:
        """The ballots promised and accepted for each register."""
        return {
            name: (record.promised_ballot, record.accepted_ballot)
            for name, record in self.states.items()
            if not name.startswith(VOTER_REGISTER_PREFIX)
        }

    def newer_than(self, known_ballots: dict[str, tuple[Ballot, Ballot]]) -> list[tuple[str, AcceptorState]]:
        """Registers promised or accepted higher than told.

        A promise counts beyond its voters: somebody may have accepted its ballot alone. Did the next voters
        choose a lower one, that would come up over it later.
        """
        newer = []
        for name, record in self.states.items():
            promised, accepted = known_ballots.get(name, (ZERO_BALLOT, ZERO_BALLOT))
            if name.startswith(VOTER_REGISTER_PREFIX):
                continue
            if record.accepted_ballot > accepted:
                newer.append((name, record))
            elif record.promised_ballot > promised:
                newer.append((name, AcceptorState(record.promised_ballot, ZERO_BALLOT, ZERO_BALLOT, None)))
        return newer

    def merge(self, received: Iterable[tuple[str, AcceptorState]]) -> None:
        """Take over what others have accepted. Only while not voting: it would break promises."""
        for name, remote in received:
            local = self.state(name)
            promised = max(local.promised_ballot, remote.promised_ballot)
            newer = remote if remote.accepted_ballot > local.accepted_ballot else local
            merged = AcceptorState(promised, newer.accepted_ballot, newer.origin_ballot, newer.value)
            if merged != local:
                self._store(name, merged)

    def delete_voter_registers(self, keep: str) -> None:
        """Drop the registers of who votes next, but for one."""
        for name in [one for one in self.states if one.startswith(VOTER_REGISTER_PREFIX) and one != keep]:
            del self.states[name]
            self._journal.put(REGISTERS_TABLE, name, None)
