"""Clients of a simulated group: they write, read, ask again by their tokens, and note what they saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ambershift.coordinator.groupsim.chance import Chance
from ambershift.coordinator.groupsim.history import Kind, Operation, Outcome
from ambershift.coordinator.groupsim.judge import WrongError
from ambershift.coordinator.groupsim.plan import CALM_AT, MS, SECOND
from ambershift.coordinator.replication.types import Answer, Reason

if TYPE_CHECKING:
    from ambershift.coordinator.groupsim.world import World

KEYS = "ab"
WITHIN = 4 * SECOND  # After all faults ended, each operation is done within this.
TRIES = 4


class Client:
    def __init__(self, world: World, name: str, chance: Chance) -> None:
        self.world, self.name, self.chance = world, name, chance
        self.count, self.ticket, self.tries = 0, 0, 0
        self.member, self.waits = "", 0
        self.at: Operation | None = None  # What it is about, as it stands.
        self.unsure = False  # Whether an earlier try may have had its effect.
        self.answers = dict[tuple[str, str], bytes]()  # By group and token.
        self.last: Operation | None = None
        self.final, self.finished = 0, False

    def next(self) -> None:
        """Begin an operation, unless one is under way."""
        if self.at is not None or self.finished or (self.world.now >= CALM_AT) != bool(self.final):
            return
        self.count, self.tries, self.unsure = self.count + 1, 0, False
        now, chance, key = self.world.now, self.chance, self.chance.choice(KEYS)
        if self.final == 2 or (not self.final and chance.hits(450)):
            self.at = Operation(self.name, key, Kind.READ, None, now, None, Outcome.UNKNOWN)
        elif not self.final and self.last is not None and chance.hits(150):
            self.at = self.last._replace(called=now, returned=None, outcome=Outcome.UNKNOWN)
        else:
            token = f"{self.name}-{self.count}"
            self.at = Operation(self.name, key, Kind.ONCE, token, now, None, Outcome.UNKNOWN, token)
        self.ask()

    def ask(self) -> None:
        one, world = self.at, self.world
        assert one is not None
        self.tries += 1
        self.ticket, ticket = world.judge.ticket(), 0
        ticket = self.ticket
        up = [process for process in world.processes.values() if process.up]
        if not up:
            world.at(world.now + 50 * MS, self.silence, ticket)
            return
        process = self.chance.choice(up)
        self.member, self.waits = process.name, self.chance.choice((50, 300, 1000)) * MS
        world.tell(self.name, f"asks {process.name}: {one.kind} {one.key} {one.value} ({ticket})")
        world.at(world.now + self.waits + self.waits // 4 + 100 * MS, self.silence, ticket)
        if one.kind is Kind.READ:
            process.read(ticket, self.waits)
        else:
            process.submit(ticket, one.token, f"{one.key}={one.value}".encode(), self.waits)

    def answered(self, answer: Answer) -> None:
        one, world = self.at, self.world
        if one is None or answer.ticket != self.ticket:
            return
        reason = answer.reason.value if answer.reason else "done"
        world.tell(self.name, f"is answered by {self.member}: {reason} {answer.answer!r}")
        world.count(f"answer {reason}")
        self.ticket = 0
        if answer.reason is None:
            self.done(one, answer.answer)
        elif answer.reason in (Reason.NO_MAJORITY, Reason.TOO_MANY_WAIT):
            self.again(one)
        elif answer.reason is Reason.OUTCOME_UNKNOWN:
            self.unsure = True
            self.again(one)
        else:
            raise WrongError(f"{self.name} was answered {answer.reason} for {one}")

    def done(self, one: Operation, answer: bytes) -> None:
        world = self.world
        if one.kind is Kind.READ:
            replica = world.processes[self.member].replica
            assert replica is not None
            one = one._replace(value=replica.state.value(one.key))
        else:
            before = self.answers.setdefault((world.judge.groups[-1], one.token), answer)
            if before != answer:
                raise WrongError(f"token {one.token} answered {answer!r}, and {before!r} before")
            self.last = one
            world.judge.acknowledged(world.processes[self.member], one)
        self.close(one._replace(returned=world.now, outcome=Outcome.DONE))

    def silence(self, ticket: int) -> None:
        if ticket == self.ticket and self.at is not None:
            if self.world.processes[self.member].up if self.member else False:
                self.world.count("no answer in time")
            self.broken()

    def broke(self, member: str) -> None:
        """The connection to a member that died: what it was asked may be done or not."""
        if self.ticket and self.member == member and self.at is not None:
            self.broken()

    def broken(self) -> None:
        assert self.at is not None
        self.ticket, self.unsure = 0, True
        self.again(self.at)

    def again(self, one: Operation) -> None:
        """Ask again by the same token, elsewhere perhaps, or leave it at that."""
        world = self.world
        if self.final:
            if world.now > self.final_since + WITHIN:
                raise WrongError(f"{one.kind} of {self.name} not done within {WITHIN // SECOND} s of calm")
        elif self.tries >= TRIES or self.chance.hits(200):
            outcome = Outcome.UNKNOWN if self.unsure or self.answered_before(one) else Outcome.REFUSED
            self.close(one._replace(outcome=outcome))
            return
        world.at(world.now + self.chance.between(1, 100) * MS, self.ask_if, one, self.tries)

    def answered_before(self, one: Operation) -> bool:
        return any(token == one.token for _, token in self.answers)

    def ask_if(self, one: Operation, tries: int) -> None:
        if self.at is one and self.tries == tries and not self.ticket:
            self.ask()

    def close(self, one: Operation) -> None:
        self.at, self.ticket = None, 0
        answered = one.outcome is Outcome.DONE
        self.world.judge.took(self.world.processes[self.member] if answered else None, one)
        if self.final and one.outcome is Outcome.DONE:
            self.final += 1
            self.finished = self.final > 3
        self.world.at(self.world.now + self.chance.between(1, 250) * MS, self.next)

    def wind_up(self) -> None:
        """From now on: one write, one read, one write, each done within the bound."""
        if self.at is not None:
            self.close(self.at._replace(outcome=Outcome.UNKNOWN))
        self.final, self.final_since = 1, self.world.now
        self.finished = self.world.plan.beyond  # Beyond the promise the group may rightly refuse for ever.
        self.next()
