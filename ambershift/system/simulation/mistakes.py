"""Mistakes that somebody could make in the running classes: each makes a wrong piece of the right one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from zlib import crc32

import msgspec

from ambershift.system.consensus import (
    acceptor,
    anti_entropy,
    item_store,
    proposer,
    quorum_write,
    sync_responder,
    vote_requests,
    voters,
    write_queue,
)
from ambershift.system.messages.items import Item
from ambershift.system.messages.replication import ZERO_BALLOT, Accept, AcceptorState, SyncRequest


def at_once(real: Any) -> Any:
    def synced(self: write_queue.WriteQueue, then: Callable[[], None]) -> None:
        then()

    return synced


def ballot_of_the_machine(real: Any) -> Any:
    def init(self: Any, out: Any, voters: Any, acceptor: Any, *, incarnation: int, **others: Any) -> None:
        real(self, out, voters, acceptor, incarnation=crc32(out.local_ip.encode()), **others)

    return init


def any_epoch(real: Any) -> Any:
    def vote(self: vote_requests.VoteRequestHandler, sender: str, message: Any, epoch: int) -> None:
        real(self, sender, message, max(epoch, self._voters.epoch))

    return vote


def adopted_in_memory(real: Any) -> Any:
    def adopt(self: voters.VotingState, decision: Any) -> bool:
        if decision.epoch <= self.epoch:
            return False
        self._apply(decision)
        return True

    return adopt


class _AtOnce:
    def on_durable(self, then: Callable[[], None]) -> None:
        then()


def shared_at_once(real: Any) -> Any:
    def asked(self: sync_responder.SyncResponder, sender: str, ask: SyncRequest) -> None:
        kept, self._journal = self._journal, _AtOnce()  # type: ignore[assignment]
        try:
            real(self, sender, ask)
        finally:
            self._journal = kept

    return asked


def accepted_below_promise(real: Any) -> Any:
    def accept(self: acceptor.Acceptor, sender: str, asked: Accept) -> None:
        held = self.state(asked.register)
        if asked.ballot < held.promised_ballot and held.accepted_ballot != asked.ballot:
            self.states[asked.register] = AcceptorState(
                asked.ballot, held.accepted_ballot, held.origin_ballot, held.value
            )
        real(self, sender, asked)

    return accept


def prepare_without_promise(real: Any) -> Any:
    def prepare(self: acceptor.Acceptor, sender: str, asked: Any) -> None:
        held = self.states.get(asked.register)
        real(self, sender, asked)
        if held is not None:
            self._store(asked.register, held)

    return prepare


def promises_not_handed_on(real: Any) -> Any:
    def newer(self: acceptor.Acceptor, told: Any) -> Any:
        return [(name, record) for name, record in real(self, told) if record.accepted_ballot != ZERO_BALLOT]

    return newer


def patched_on_any_base(real: Any) -> Any:
    def accept(self: acceptor.Acceptor, sender: str, asked: Accept) -> None:
        held = self.state(asked.register)
        if asked.base_ballot is not None and held.value is not None:
            asked = msgspec.structs.replace(asked, base_ballot=held.accepted_ballot)
        real(self, sender, asked)

    return accept


def unconfirmed(real: Any) -> Any:
    def confirm(self: proposer.Proposer, register: Any, lease: Any, results: Any) -> None:
        for call, result in results:
            call.done(result)
        self._start_next_round(register)

    return confirm


def never_fresh(real: Any) -> Any:
    def judge(self: proposer.Proposer, register: Any, lease: Any, after_prepare: bool) -> None:
        real(self, register, lease, False)

    return judge


def copied_while_voting(real: Any) -> Any:
    def shared(self: anti_entropy.AntiEntropy, sender: str, share: Any) -> None:
        self._acceptor.merge(share.registers)
        real(self, sender, share)

    return shared


def counted_twice(real: Any) -> Any:
    def agreed(self: quorum_write.QuorumWriter, sender: str, message: Any) -> None:
        one = self._writes.get(message.request_id)
        if one is not None and sender in one.acknowledged:
            one.acknowledged.add(f"{sender} again")
        real(self, sender, message)

    return agreed


def faults_unseen(real: Any) -> Any:
    def written(self: write_queue.WriteQueue, token: int, fault: str | None) -> None:
        real(self, token, None)

    return written


def tombstones_not_kept(real: Any) -> Any:
    def init(self: item_store.ItemStore, out: Any, journal: Any, rows: dict[str, bytes]) -> None:
        decode = msgspec.msgpack.Decoder(Item).decode
        real(self, out, journal, {key: row for key, row in rows.items() if decode(row).body is not None})

    return init


def numbered_anew(real: Any) -> Any:
    def init(self: Any, send: Any, begin: int) -> None:
        real(self, send, 0)

    return init
