"""The proposer of registers (CASPaxos): queues the changes of each, applies them together, has them accepted.

One round trip for the machine that proposed last, as each accepted write promises its proposer the next
ballot; two otherwise.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.register import PendingChange, PreparedBallot, ProposerRegister, Round
from ambershift.system.consensus.round_fanout import RoundFanout, transfer_allowance_ns
from ambershift.system.consensus.voters import VotingState
from ambershift.system.interfaces import ChangeFunction, DeltaCodec, NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.replication import (
    Accept,
    Acknowledgement,
    ConfirmBallot,
    MissingBase,
    Prepare,
    Promise,
    Rejected,
)
from ambershift.system.state_machine import NS_PER_MS

CHANGES_PER_ROUND_MAX = 64
RETRY_INTERVAL_NS = 250 * NS_PER_MS
TAKEOVER_COUNTER_STEP = 1000  # A proposer that takes a register over goes this far above what it knows.
BACKOFF_MAX_NS = 600 * NS_PER_MS  # Before the next attempt of a round that was rejected.

AcceptorReply = Acknowledgement | Promise | Rejected | MissingBase


class Proposer:
    """Proposes changes of registers to the voters and keeps a prepared ballot for each register it won."""

    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        acceptor: Acceptor,
        *,
        delta_codecs: Callable[[str], DeltaCodec | None],
        incarnation: int,
        rng: random.Random,
        next_request_id: Callable[[], int],
        is_reachable: Callable[[str], bool],
    ) -> None:
        self._out = out
        self._voters = voters
        self._acceptor = acceptor
        self._delta_codecs = delta_codecs
        self._incarnation = incarnation
        self._rng = rng
        self._next_request_id = next_request_id
        self._fanout = RoundFanout(out, voters, is_reachable)
        self._registers: dict[str, ProposerRegister] = {}
        self._active: set[str] = set()
        self._rounds: dict[int, ProposerRegister] = {}

    def change(
        self,
        register_name: str,
        change: ChangeFunction,
        deadline_ns: int,
        on_done: Callable[[CallSucceeded | Exception], None],
    ) -> None:
        """Run a change on a register.

        Args:
            register_name: Of the register.
            change: Makes the new value of the newest one; may be called more than once.
            deadline_ns: When the outcome is given at the latest, steady clock.
            on_done: Gets `CallSucceeded` with the change's result, the error that the change raised,
                `OutcomeUnknownError`, or `NotAppliedError`.
        """
        register = self._registers.get(register_name)
        if register is None:
            register = self._registers[register_name] = ProposerRegister(register_name)
        register.queue.append(PendingChange(change, deadline_ns, on_done))
        self._active.add(register_name)
        self._start_next_round(register)

    # Replies of the acceptors.

    def receive_reply(self, sender: str, message: AcceptorReply) -> bool:
        """Handle an acceptor's reply; False where it belongs to no round of this proposer."""
        register = self._rounds.get(message.request_id)
        round_ = None if register is None else register.round
        if register is None or round_ is None or round_.request_id != message.request_id:
            return False
        if message.epoch != round_.epoch or sender not in self._voters.ips:
            return True
        if isinstance(message, Rejected):
            self._on_rejected(sender, message, register, round_)
        elif isinstance(message, MissingBase):
            register.peer_ballots.pop(sender, None)
            self._fanout.send_to(sender, register, round_)
        else:
            round_.rejected.discard(sender)
            round_.granted.add(sender)
            if isinstance(message, Promise) and not self._on_promise(sender, message, register, round_):
                self._abandon_round(register)
            elif len(round_.granted) >= self._voters.quorum_size:
                self._complete_round(register, round_)
        return True

    def _on_rejected(self, sender: str, message: Rejected, register: ProposerRegister, round_: Round) -> None:
        register.highest_counter = max(register.highest_counter, message.promised_counter)
        if sender in round_.granted:
            return
        ballot = round_.message.ballot
        preparing = isinstance(round_.message, Prepare)
        if not register.counter_raised and (preparing or message.promised_counter > ballot[0] + 1):
            # Most likely nobody else proposes now: this machine's copy or prepared ballot is of long ago.
            register.counter_raised = True
            self._abandon_round(register, paused=False)
            return
        if isinstance(round_.message, ConfirmBallot) and message.promised_counter < ballot[0]:
            self._fanout.send_prepare_to(sender, register, round_)
            return
        round_.rejected.add(sender)
        if len(round_.rejected) > len(self._voters.ips_by_proximity) - self._voters.quorum_size:
            self._abandon_round(register)
        else:  # The others may suffice, but if one of them is away, two proposers would wait for it.
            self._fanout.send_to_remaining(register, round_)
            round_.retry_at_ns = min(round_.retry_at_ns, self._out.now + self._fanout.hedge_delay_ns())

    @staticmethod
    def _on_promise(sender: str, message: Promise, register: ProposerRegister, round_: Round) -> bool:
        """Note what the voter has accepted; False where that is newer than what the round confirms."""
        accepted = message.accepted_ballot
        register.peer_ballots[sender] = accepted
        if isinstance(round_.message, ConfirmBallot) and accepted > round_.accepted_ballot:
            return False
        if accepted >= round_.accepted_ballot:
            local = register.local_state
            round_.accepted_ballot = accepted
            round_.origin_ballot = message.origin_ballot
            round_.value = local.value if accepted == local.accepted_ballot else message.value
        return True

    def _complete_round(self, register: ProposerRegister, round_: Round) -> None:
        self._fanout.record_duration(self._out.now - round_.started_ns)
        self._end_round(register)
        if isinstance(round_.message, Prepare):
            prepared = PreparedBallot(
                round_.epoch,
                round_.message.ballot,
                round_.accepted_ballot,
                round_.origin_ballot,
                round_.value,
            )
            register.prepared = prepared
            self._apply_changes(register, prepared, after_prepare=True)
            return
        register.failed_attempts = 0
        register.counter_raised = False
        if isinstance(round_.message, Accept):
            ballot = round_.message.ballot
            next_ballot = (ballot[0] + 1, self._incarnation)
            register.prepared = PreparedBallot(
                round_.epoch, next_ballot, ballot, round_.origin_ballot, round_.value
            )
        if round_.rejected:  # Another proposer was promised a higher ballot: prepare above it next time.
            register.prepared = None
        for pending, result in round_.results:
            pending.on_done(result)
        self._start_next_round(register)

    # Rounds.

    def _start_next_round(self, register: ProposerRegister) -> None:
        if register.round is not None or not register.queue or self._out.now < register.backoff_until_ns:
            if not register.queue and register.round is None:
                self._active.discard(register.name)
            return
        if self._voters.configuration is None:
            return
        prepared = register.prepared
        if prepared is not None and prepared.epoch == self._voters.epoch:
            self._apply_changes(register, prepared, after_prepare=False)
            return
        register.local_state = self._acceptor.state(register.name)
        # This copy may miss the latest writes, and a rejection costs a round trip and a backoff.
        register.highest_counter = (
            max(register.highest_counter, register.local_state.promised_ballot[0]) + TAKEOVER_COUNTER_STEP
        )
        number = self._next_request_id()
        prepare = Prepare(
            self._voters.epoch,
            number,
            register.name,
            (register.highest_counter, self._incarnation),
            register.local_state.accepted_ballot,
        )
        self._start_round(register, Round(number, self._voters.epoch, prepare, self._out.now))

    def _apply_changes(
        self, register: ProposerRegister, prepared: PreparedBallot, after_prepare: bool
    ) -> None:
        """Apply the queued changes, each to what the one before left, and have the last value accepted.

        After a prepare even a value that no change altered is written. That all voters asked have accepted it
        doesn't prove that it is chosen: they may have it from the previous voters, and another, higher one
        may still come up from a machine that wasn't asked.
        """
        batch, register.queue = register.queue[:CHANGES_PER_ROUND_MAX], register.queue[CHANGES_PER_ROUND_MAX:]
        if not batch:
            self._start_next_round(register)
            return
        now = self._out.now
        value = prepared.value
        since = now if value is None else self._acceptor.known_since(register.name, prepared.origin_ballot)
        results: list[tuple[PendingChange, CallSucceeded | Exception]] = []
        changed = False
        for call in batch:
            try:
                verdict = call.change(value, since, now)
            except Exception as why:  # The change's own failure is its caller's, and changes nothing.
                results.append((call, why))
                continue
            if verdict.new_value is not None:
                value, since, changed = verdict.new_value, now, True
            results.append((call, CallSucceeded(verdict.result)))
        if changed or after_prepare:
            self._accept(register, prepared, value, results, changed)
        else:
            self._confirm(register, prepared, results)

    def _accept(
        self,
        register: ProposerRegister,
        prepared: PreparedBallot,
        value: bytes | None,
        results: list[tuple[PendingChange, CallSucceeded | Exception]],
        changed: bool,
    ) -> None:
        number, ballot = self._next_request_id(), prepared.ballot
        base, body = None, value
        if not changed:
            base, body = prepared.accepted_ballot, None
        elif prepared.value is not None and value is not None:
            shape = self._delta_codecs(register.name)
            difference = None if shape is None else shape.diff(prepared.value, value)
            if difference is not None:
                base, body = prepared.accepted_ballot, difference
        origin = ballot if changed else prepared.origin_ballot
        accept = Accept(
            prepared.epoch, number, register.name, ballot, None if changed else origin, base, body
        )
        if changed:
            self._acceptor.known_since(register.name, ballot)
        for call, _ in results:
            call.maybe_applied = call.maybe_applied or changed
        register.prepared = None
        register.highest_counter = max(register.highest_counter, ballot[0] + 1)
        round_ = Round(number, prepared.epoch, accept, self._out.now)
        round_.value, round_.origin_ballot, round_.results = value, origin, results
        self._start_round(register, round_)

    def _confirm(
        self,
        register: ProposerRegister,
        prepared: PreparedBallot,
        results: list[tuple[PendingChange, CallSucceeded | Exception]],
    ) -> None:
        number = self._next_request_id()
        round_ = Round(
            number,
            prepared.epoch,
            ConfirmBallot(prepared.epoch, number, register.name, prepared.ballot),
            self._out.now,
        )
        round_.accepted_ballot, round_.results = prepared.accepted_ballot, results
        self._start_round(register, round_)

    def _start_round(self, register: ProposerRegister, round_: Round) -> None:
        register.round = round_
        self._rounds[round_.request_id] = register
        self._fanout.send_to_quorum(register, round_)

    def _end_round(self, register: ProposerRegister) -> None:
        if register.round is not None:
            del self._rounds[register.round.request_id]
            register.round = None

    def _abandon_round(self, register: ProposerRegister, paused: bool = True) -> None:
        """The round can't complete: its changes are applied anew to what a higher ballot finds."""
        round_ = register.round
        if round_ is None:
            return
        self._end_round(register)
        register.prepared = None
        register.queue[:0] = [call for call, _ in round_.results]
        if not paused:
            register.backoff_until_ns = self._out.now
            self._start_next_round(register)
            return
        register.failed_attempts += 1
        # Two rounds must fit into a backoff, or two proposers take a register from each other for ever.
        most = min(self._fanout.double_round_time_ns << min(register.failed_attempts, 4), BACKOFF_MAX_NS)
        register.backoff_until_ns = self._out.now + self._rng.randrange(most)
        self._out.schedule_tick(register.backoff_until_ns)
        self._active.add(register.name)

    # Time and voters.

    def tick(self) -> None:
        """Answer callers whose deadline has passed, and retry rounds that wait too long."""
        now = self._out.now
        for name in sorted(self._active):
            register = self._registers[name]
            self._expire(register)
            round_ = register.round
            if round_ is None:
                self._start_next_round(register)
            elif now >= round_.retry_at_ns and round_.rejected:
                self._abandon_round(register)
            elif now >= round_.retry_at_ns:
                round_.retry_at_ns = now + RETRY_INTERVAL_NS + transfer_allowance_ns(round_)
                self._fanout.mark_unanswered_slow(round_)
                if round_.contacted < self._voters.ips:
                    self._fanout.send_to_remaining(register, round_)
                else:
                    for ip in self._voters.ips_by_proximity:
                        if ip not in round_.granted and ip not in round_.rejected:
                            self._fanout.send_to(ip, register, round_)

    def _expire(self, register: ProposerRegister) -> None:
        now, round_ = self._out.now, register.round
        late = [call for call in register.queue if now >= call.deadline_ns]
        register.queue = [call for call in register.queue if now < call.deadline_ns]
        if round_ is not None and round_.results:
            late += [call for call, _ in round_.results if now >= call.deadline_ns]
            round_.results = [one for one in round_.results if now < one[0].deadline_ns]
        for call in late:
            call.on_done(
                OutcomeUnknownError("too few voters answered in time")
                if call.maybe_applied
                else NotAppliedError("too few voters answered in time")
            )
        if late and round_ is not None and not round_.results and not register.queue:
            self._end_round(register)
            register.prepared = None

    def epoch_changed(self) -> None:
        """Rounds and prepared ballots of the previous epoch don't count: prepare among the new voters."""
        for name in sorted(self._registers):
            register = self._registers[name]
            register.prepared = None
            if register.round is not None:
                self._abandon_round(register)
            register.backoff_until_ns = self._out.now
            self._start_next_round(register)
