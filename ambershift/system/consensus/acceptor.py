"""The acceptor of all registers: promises and accepted values (CASPaxos), answered once they are on disk.

CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs" (arXiv:1802.07000).
"""

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
# Prefix of the registers that decide the next voters. They belong to one epoch and aren't handed on.
VOTER_REGISTER_PREFIX = "@"
EMPTY_STATE = AcceptorState(ZERO_BALLOT, ZERO_BALLOT, ZERO_BALLOT, None)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AcceptorState).decode


class Acceptor:
    """The states of the registers on this machine.

    Attributes:
        states: By the register's name.
    """

    def __init__(
        self,
        out: EffectBuffer,
        journal: WriteQueue,
        delta_codecs: Callable[[str], DeltaCodec | None],
        rows: dict[str, bytes],
    ) -> None:
        self._out = out
        self._journal = journal
        self._delta_codecs = delta_codecs
        self.states: dict[str, AcceptorState] = {}
        self._known_since: dict[str, tuple[Ballot, int]] = {}
        for name, row in rows.items():
            self._cache(name, _decode(row))

    def state(self, name: str) -> AcceptorState:
        """The register's state; `EMPTY_STATE` where it was never touched."""
        return self.states.get(name, EMPTY_STATE)

    def known_since(self, name: str, origin_ballot: Ballot) -> int:
        """Since when (ns, steady) this process knows the value made at that ballot.

        Never before its call arrived: a hold counted from here ends no earlier than its holder counts.
        """
        known = self._known_since.get(name)
        if known is None or known[0] != origin_ballot:
            known = self._known_since[name] = origin_ballot, self._out.now
        return known[1]

    def _cache(self, name: str, state: AcceptorState) -> None:
        self.states[name] = state
        if not name.startswith(VOTER_REGISTER_PREFIX) and state.accepted_ballot != ZERO_BALLOT:
            self.known_since(name, state.origin_ballot)

    def _store(self, name: str, state: AcceptorState) -> None:
        self._cache(name, state)
        self._journal.put(REGISTERS_TABLE, name, _encode(state))

    def prepare(self, sender: str, request: Prepare) -> None:
        """Promise the ballot to the proposer, once that is on disk, or reject it."""
        state = self.state(request.register)
        if request.ballot < state.promised_ballot or state.accepted_ballot >= request.ballot:
            self._reject(sender, request, state)
            return
        if request.ballot > state.promised_ballot:
            self._store(
                request.register,
                AcceptorState(request.ballot, state.accepted_ballot, state.origin_ballot, state.value),
            )
        value = None if state.accepted_ballot == request.known_accepted else state.value
        promise = Promise(
            request.epoch, request.request_id, state.accepted_ballot, state.origin_ballot, value
        )
        self._journal.on_durable(partial(self._out.send, sender, promise))

    def accept(self, sender: str, request: Accept) -> None:
        """Accept the value, once that is on disk, or say why not: a higher promise, or another base."""
        state = self.state(request.register)
        if state.accepted_ballot != request.ballot:  # Else it is a retry, and only the answer is due.
            if request.ballot < state.promised_ballot:
                self._reject(sender, request, state)
                return
            if not self._has_base(request, state):
                self._out.send(sender, MissingBase(request.epoch, request.request_id))
                return
            next_ballot = (request.ballot[0] + 1, request.ballot[1])
            self._store(
                request.register,
                AcceptorState(
                    next_ballot,
                    request.ballot,
                    request.origin_ballot or request.ballot,
                    self._accepted_value(request, state),
                ),
            )
        self._journal.on_durable(
            partial(self._out.send, sender, Acknowledgement(request.epoch, request.request_id))
        )

    def _has_base(self, request: Accept, state: AcceptorState) -> bool:
        """Whether the value that the request builds on, if any, is the one accepted here."""
        if request.base_ballot is None:
            return True
        if state.accepted_ballot != request.base_ballot:
            return False
        return request.value_or_delta is None or (
            state.value is not None and self._delta_codecs(request.register) is not None
        )

    def _accepted_value(self, request: Accept, state: AcceptorState) -> bytes | None:
        if request.base_ballot is None:
            return request.value_or_delta
        codec = None if request.value_or_delta is None else self._delta_codecs(request.register)
        if codec is None or request.value_or_delta is None or state.value is None:
            return state.value
        return codec.patch(state.value, request.value_or_delta)

    def confirm(self, sender: str, request: ConfirmBallot) -> None:
        """Say whether the ballot is still the highest promised. That holds for now: nothing goes to disk."""
        state = self.state(request.register)
        if state.promised_ballot == request.ballot:
            self._out.send(sender, Acknowledgement(request.epoch, request.request_id))
        else:
            self._reject(sender, request, state)

    def _reject(self, sender: str, request: Prepare | Accept | ConfirmBallot, state: AcceptorState) -> None:
        self._out.send(sender, Rejected(request.epoch, request.request_id, state.promised_ballot[0]))

    def ballots(self) -> dict[str, tuple[Ballot, Ballot]]:
        """The ballots promised and accepted for each register, by its name."""
        return {
            name: (state.promised_ballot, state.accepted_ballot)
            for name, state in self.states.items()
            if not name.startswith(VOTER_REGISTER_PREFIX)
        }

    def newer_than(self, known_ballots: dict[str, tuple[Ballot, Ballot]]) -> list[tuple[str, AcceptorState]]:
        """Registers promised or accepted higher than `known_ballots` has it, with their names.

        A promise counts beyond its voters: somebody may have accepted its ballot alone. Did the next voters
        choose a lower one, that would come up over it later.
        """
        newer = []
        for name, state in self.states.items():
            promised, accepted = known_ballots.get(name, (ZERO_BALLOT, ZERO_BALLOT))
            if name.startswith(VOTER_REGISTER_PREFIX):
                continue
            if state.accepted_ballot > accepted:
                newer.append((name, state))
            elif state.promised_ballot > promised:
                newer.append((name, AcceptorState(state.promised_ballot, ZERO_BALLOT, ZERO_BALLOT, None)))
        return newer

    def merge(self, received: Iterable[tuple[str, AcceptorState]]) -> None:
        """Take over what peers have accepted. Only while not voting: it would break promises."""
        for name, remote in received:
            local = self.state(name)
            promised = max(local.promised_ballot, remote.promised_ballot)
            newer = remote if remote.accepted_ballot > local.accepted_ballot else local
            merged = AcceptorState(promised, newer.accepted_ballot, newer.origin_ballot, newer.value)
            if merged != local:
                self._store(name, merged)

    def delete_voter_registers(self, keep: str) -> None:
        """Delete the registers that decided voters, but for the one named."""
        for name in [name for name in self.states if name.startswith(VOTER_REGISTER_PREFIX) and name != keep]:
            del self.states[name]
            self._journal.put(REGISTERS_TABLE, name, None)
