"""The proposer of registers: queues the changes of each, judges them together, and has the voters agree.

One trip for whoever proposed last (each accepted write promises its proposer the next ballot), two otherwise.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.effect_buffer import Held, Outbox
from ambershift.system.consensus.register import Call, Lease, Register, Round
from ambershift.system.consensus.round_fanout import Asking, transfer
from ambershift.system.consensus.voters import Voters
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

TOGETHER = 64  # Calls judged in one round at the most.
AGAIN = 250 * NS_PER_MS
ABOVE = 1000  # A proposer that takes a register over goes so far above what it knows of it.
PAUSE_MOST = 600 * NS_PER_MS  # Before the next try of a round that was refused.

Reply = Acknowledgement | Promise | Rejected | MissingBase


class Proposer:
    def __init__(
        self,
        out: Outbox,
        voters: Voters,
        acceptor: Acceptor,
        shapes: Callable[[str], DeltaCodec | None],
        life: int,
        chance: random.Random,
        numbers: Callable[[], int],
        alive: Callable[[str], bool],
    ) -> None:
        self._out, self._voters, self._acceptor, self._shapes = out, voters, acceptor, shapes
        self._life, self._chance, self._numbers = life, chance, numbers
        self._asking = Asking(out, voters, alive)
        self._registers: dict[str, Register] = {}
        self._active: set[str] = set()
        self._rounds: dict[int, Register] = {}

    def call(
        self, name: str, change: ChangeFunction, deadline: int, done: Callable[[Held | Exception], None]
    ) -> None:
        register = self._registers.get(name)
        if register is None:
            register = self._registers[name] = Register(name)
        register.queue.append(Call(change, deadline, done))
        self._active.add(name)
        self._begin(register)

    # What the voters say.

    def reply(self, sender: str, message: Reply) -> bool:
        """Take an answer; False where no round of this proposer is meant."""
        register = self._rounds.get(message.request_id)
        round_ = None if register is None else register.round
        if register is None or round_ is None or round_.number != message.request_id:
            return False
        if message.epoch != round_.epoch or sender not in self._voters.ips:
            return True
        if isinstance(message, Rejected):
            register.counter = max(register.counter, message.promised_counter)
            if sender in round_.yes:
                return True
            ballot = round_.message.ballot
            preparing = isinstance(round_.message, Prepare)
            if not register.leapt and (preparing or message.promised_counter > ballot[0] + 1):
                # Most likely nobody is at it just now: this machine's copy or lease is of long ago.
                register.leapt = True
                self._give_way(register, paused=False)
                return True
            if isinstance(round_.message, ConfirmBallot) and message.promised_counter < ballot[0]:
                self._asking.renew(sender, register, round_)
                return True
            round_.no.add(sender)
            if len(round_.no) > len(self._voters.near) - self._voters.enough:
                self._give_way(register)
            else:  # The others may suffice, but if one of them is away, two proposers would wait for it.
                self._asking.widen(register, round_)
                round_.again = min(round_.again, self._out.now + self._asking.patience())
        elif isinstance(message, MissingBase):
            register.held.pop(sender, None)
            self._asking.tell(sender, register, round_)
        else:
            round_.no.discard(sender)
            round_.yes.add(sender)
            if isinstance(message, Promise):
                register.held[sender] = message.accepted_ballot
                if isinstance(round_.message, ConfirmBallot) and message.accepted_ballot > round_.best:
                    self._give_way(register)
                    return True
            if isinstance(message, Promise) and message.accepted_ballot >= round_.best:
                value = (
                    register.own.value
                    if message.accepted_ballot == register.own.accepted_ballot
                    else message.value
                )
                round_.best, round_.origin, round_.value = (
                    message.accepted_ballot,
                    message.origin_ballot,
                    value,
                )
            if len(round_.yes) >= self._voters.enough:
                self._complete(register, round_)
        return True

    def _complete(self, register: Register, round_: Round) -> None:
        self._asking.took(self._out.now - round_.started)
        self._end(register)
        if isinstance(round_.message, Prepare):
            lease = Lease(round_.epoch, round_.message.ballot, round_.best, round_.origin, round_.value)
            register.lease = lease
            self._judge(register, lease, fresh=True)
            return
        register.tries, register.leapt = 0, False
        if isinstance(round_.message, Accept):
            ballot = round_.message.ballot
            following = (ballot[0] + 1, self._life)
            register.lease = Lease(round_.epoch, following, ballot, round_.origin, round_.value)
        if round_.no:  # Somebody was promised more: prepare above it next time.
            register.lease = None
        for call, result in round_.results:
            call.done(result)
        self._begin(register)

    # Rounds.

    def _begin(self, register: Register) -> None:
        if register.round is not None or not register.queue or self._out.now < register.pause:
            if not register.queue and register.round is None:
                self._active.discard(register.name)
            return
        if self._voters.decision is None:
            return
        lease = register.lease
        if lease is not None and lease.epoch == self._voters.epoch:
            self._judge(register, lease, fresh=False)
            return
        register.own = self._acceptor.record(register.name)
        # This copy may be behind by the writes of a while, and to be refused costs a trip and a pause.
        register.counter = max(register.counter, register.own.promised_ballot[0]) + ABOVE
        number = self._numbers()
        prepare = Prepare(
            self._voters.epoch,
            number,
            register.name,
            (register.counter, self._life),
            register.own.accepted_ballot,
        )
        self._start(register, Round(number, self._voters.epoch, prepare, self._out.now))

    def _judge(self, register: Register, lease: Lease, fresh: bool) -> None:
        """Judge the calls that wait, one on what the other leaves, and have the outcome agreed.

        On a `fresh` lease, from a prepare, even what changes nothing is written. That all asked have accepted
        one value doesn't prove that it holds: they may have it from the voters before, and another, higher
        one may still come up from a machine that wasn't asked.
        """
        batch, register.queue = register.queue[:TOGETHER], register.queue[TOGETHER:]
        if not batch:
            self._begin(register)
            return
        now = self._out.now
        value = lease.value
        since = now if value is None else self._acceptor.since(register.name, lease.origin)
        results: list[tuple[Call, Held | Exception]] = []
        changed = False
        for call in batch:
            try:
                verdict = call.change(value, since, now)
            except Exception as why:  # The change's own failure is its caller's, and changes nothing.
                results.append((call, why))
                continue
            if verdict.new_value is not None:
                value, since, changed = verdict.new_value, now, True
            results.append((call, Held(verdict.result)))
        if changed or fresh:
            self._accept(register, lease, value, results, changed)
        else:
            self._confirm(register, lease, results)

    def _accept(
        self,
        register: Register,
        lease: Lease,
        value: bytes | None,
        results: list[tuple[Call, Held | Exception]],
        changed: bool,
    ) -> None:
        number, ballot = self._numbers(), lease.ballot
        base, body = None, value
        if not changed:
            base, body = lease.accepted, None
        elif lease.value is not None and value is not None:
            shape = self._shapes(register.name)
            difference = None if shape is None else shape.diff(lease.value, value)
            if difference is not None:
                base, body = lease.accepted, difference
        origin = ballot if changed else lease.origin
        accept = Accept(lease.epoch, number, register.name, ballot, None if changed else origin, base, body)
        if changed:
            self._acceptor.since(register.name, ballot)
        for call, _ in results:
            call.sent = call.sent or changed
        register.lease = None
        register.counter = max(register.counter, ballot[0] + 1)
        round_ = Round(number, lease.epoch, accept, self._out.now)
        round_.value, round_.origin, round_.results = value, origin, results
        self._start(register, round_)

    def _confirm(
        self, register: Register, lease: Lease, results: list[tuple[Call, Held | Exception]]
    ) -> None:
        number = self._numbers()
        round_ = Round(
            number,
            lease.epoch,
            ConfirmBallot(lease.epoch, number, register.name, lease.ballot),
            self._out.now,
        )
        round_.best, round_.results = lease.accepted, results
        self._start(register, round_)

    def _start(self, register: Register, round_: Round) -> None:
        register.round = round_
        self._rounds[round_.number] = register
        self._asking.ask(register, round_)

    def _end(self, register: Register) -> None:
        if register.round is not None:
            del self._rounds[register.round.number]
            register.round = None

    def _give_way(self, register: Register, paused: bool = True) -> None:
        """The round can't be completed: its calls are judged anew on what a higher ballot finds."""
        round_ = register.round
        if round_ is None:
            return
        self._end(register)
        register.lease = None
        register.queue[:0] = [call for call, _ in round_.results]
        if not paused:
            register.pause = self._out.now
            self._begin(register)
            return
        register.tries += 1
        # Two rounds must fit into a pause, or two proposers take a register from each other for ever.
        most = min(self._asking.usual << min(register.tries, 4), PAUSE_MOST)
        register.pause = self._out.now + self._chance.randrange(most)
        self._out.wake(register.pause)
        self._active.add(register.name)

    # Time and voters.

    def tick(self) -> None:
        now = self._out.now
        for name in sorted(self._active):
            register = self._registers[name]
            self._expire(register)
            round_ = register.round
            if round_ is None:
                self._begin(register)
            elif now >= round_.again and round_.no:
                self._give_way(register)
            elif now >= round_.again:
                round_.again = now + AGAIN + transfer(round_)
                self._asking.waited(round_)
                if round_.asked < self._voters.ips:
                    self._asking.widen(register, round_)
                else:
                    for ip in self._voters.near:
                        if ip not in round_.yes and ip not in round_.no:
                            self._asking.tell(ip, register, round_)

    def _expire(self, register: Register) -> None:
        now, round_ = self._out.now, register.round
        late = [call for call in register.queue if now >= call.deadline]
        register.queue = [call for call in register.queue if now < call.deadline]
        if round_ is not None and round_.results:
            late += [call for call, _ in round_.results if now >= call.deadline]
            round_.results = [one for one in round_.results if now < one[0].deadline]
        for call in late:
            call.done(
                OutcomeUnknownError("too few voters answered in time")
                if call.sent
                else NotAppliedError("too few voters answered in time")
            )
        if late and round_ is not None and not round_.results and not register.queue:
            self._end(register)
            register.lease = None

    def epoch_changed(self) -> None:
        """Rounds and leases of the epoch before count for nothing: prepare anew among the new voters."""
        for name in sorted(self._registers):
            register = self._registers[name]
            register.lease = None
            if register.round is not None:
                self._give_way(register)
            register.pause = self._out.now
            self._begin(register)
