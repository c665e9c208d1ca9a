"""What must hold of a simulated group, seen from outside."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ambershift.coordinator.groupsim.history import Kind, Operation, Outcome, check
from ambershift.coordinator.groupsim.register import Registers
from ambershift.coordinator.replication.types import Applied, Restored, Status

if TYPE_CHECKING:
    from ambershift.coordinator.groupsim.process import Process
    from ambershift.coordinator.groupsim.world import World


NEWBORN = "newborn"  # Whoever answered knew of no entry yet, and so of no group's id.


class WrongError(Exception):
    """A promise was broken; the text says which."""


class Judge:
    def __init__(self, world: World) -> None:
        self.world = world
        self.history = list[Operation]()
        self.served = list[str]()  # By which group each of the history was answered; "": it was not.
        self.tickets, self.done = 0, 0
        self.log = dict[tuple[str, int], tuple[int, str, bytes]]()
        self.places = dict[tuple[str, str], int]()  # By group and token: where it is applied first.
        self.states = dict[tuple[str, int], Registers]()
        self.applied_to = dict[str, int]()
        self.kept = dict[tuple[str, str], int]()  # By group and token: where it stands in the log.
        self.groups = list[str]()

    def ticket(self) -> int:
        self.tickets += 1
        return self.tickets

    def started(self, process: Process) -> None:
        self.applied_to[process.name] = 0

    def group(self, process: Process) -> str:
        group = process.group()
        if group not in self.groups:
            holding = [
                one.name
                for one in self.world.processes.values()
                if one.voter and one.group() not in ("", group) and one.holds()
            ]
            if (self.groups and not self.world.plan.beyond) or holding:
                raise WrongError(f"{process.name} is in a new group, {holding or 'most'} hold the old one")
            self.groups.append(group)
        return group

    def applied(self, process: Process, effect: Applied[Registers]) -> None:
        """The same order everywhere, each place once a run, no effect twice."""
        entry, group = effect.entry, self.group(process)
        if entry.number != self.applied_to[process.name] + 1:
            raise WrongError(f"{process.name} applies {entry.number} after {self.applied_to[process.name]}")
        self.applied_to[process.name] = entry.number
        place, what = (group, entry.number), (entry.view, entry.token, entry.command)
        if self.log.setdefault(place, what) != what:
            raise WrongError(f"place {entry.number} is {what} at {process.name}, {self.log[place]} elsewhere")
        self.places.setdefault((group, entry.token), entry.number)
        self.state(process, entry.number, effect.state)

    def restored(self, process: Process, effect: Restored[Registers]) -> None:
        if effect.number <= (before := self.applied_to[process.name]):
            raise WrongError(f"{process.name} goes back from {before} to {effect.number}")
        self.applied_to[process.name] = effect.number
        self.group(process)
        self.state(process, effect.number, effect.state)

    def state(self, process: Process, number: int, state: Registers) -> None:
        if state.twice:
            raise WrongError(f"{state.twice} has its effect twice")
        place = (process.group(), number)
        if self.states.setdefault(place, state) != state:
            raise WrongError(f"{process.name} comes to another state by entry {number}")
        if process.behind and number >= process.behind:
            process.behind = 0  # It has again all that it ever vouched for.

    def took(self, process: Process | None, one: Operation) -> None:
        """An operation is over; a group may not answer once another was born after it."""
        group = process.group() or NEWBORN if process is not None else ""
        if group not in ("", NEWBORN) and self.groups and group != self.groups[-1]:
            raise WrongError(f"{process and process.name} still answers for a group of before")
        self.history.append(one)
        self.served.append(group)

    def acknowledged(self, process: Process, one: Operation) -> None:
        """Held by a majority of the voters, at this moment."""
        self.done += 1
        group = process.group() or self.groups[-1]
        number = self.places.get((group, one.token), 0)
        if not number:
            raise WrongError(f"{one.token} is acknowledged by {process.name}, and nobody has applied it")
        if self.kept.setdefault((group, one.token), number) != number:
            raise WrongError(f"{one.token} stands at {number} and at {self.kept[group, one.token]}")
        self.held(group, number, one.token)

    def held(self, group: str, number: int, token: str) -> None:
        """By a majority of voters, as what each has in its memory or folder says; one that has forgotten it
        since, as the promise bears, held it.
        """
        if self.world.plan.beyond:
            return
        voters = [one for one in self.world.processes.values() if one.voter]
        holders = [one.name for one in voters if one.forgot >= number or vouches(one, number, token)]
        if 2 * len(holders) <= len(voters):
            raise WrongError(f"{token} at {number} is acknowledged, and only {holders} hold it")

    def even(self, world: World) -> bool:
        """Whether all that are up have applied the same."""
        return len({one.group() and self.applied_to[one.name] for one in world.processes.values()}) == 1

    def finally_(self, world: World) -> None:
        if not world.plan.beyond:
            for one in world.processes.values():
                replica = one.replica
                if replica is None or replica.status is not Status.NORMAL:
                    raise WrongError(f"{one.name} is {replica and replica.status} long after all faults")
                effects = set(replica.state.effects)
                lost = [token for (_, token) in self.kept if token not in effects]
                if lost:
                    raise WrongError(f"{lost} were acknowledged, and {one.name} has them not")
            if not self.even(world):
                raise WrongError(f"long after all faults ended members have applied {self.applied_to}")
            if not all(one.finished for one in world.clients):
                raise WrongError("clients wait long after all faults ended")
        # Beyond the promise a group may be born anew, once all was lost: then each group has its history.
        for group in self.groups:
            whose = (group,) if len(self.groups) > 1 else (group, NEWBORN)
            found = check(
                one if by in whose else unsure(one)
                for one, by in zip(self.history, self.served, strict=True)
                if by in whose or one.kind is not Kind.READ
            )
            if found is not None:
                raise WrongError("; ".join(found.lines()))


def unsure(one: Operation) -> Operation:
    """As another group sees it, in which an earlier try of it may have had its effect."""
    return one._replace(outcome=Outcome.UNKNOWN) if one.outcome is Outcome.DONE else one


def vouches(process: Process, number: int, token: str) -> bool:
    """Whether the entry is in its folder, or in its memory where it has none."""
    if process.folder is not None:
        saved = process.folder.saved()
        if saved is None or (saved.snapshot is not None and saved.snapshot.number >= number):
            return saved is not None
        return any(one.number == number and one.token == token for one in saved.entries)
    if process.replica is None:
        return False
    log = process.replica.core.log
    return log.base >= number or (log.last_number >= number and log.entry(number).token == token)
