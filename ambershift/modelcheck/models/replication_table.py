"""The world of replication thawed for one step: replicas that run, their folders, and what is said."""

from __future__ import annotations

import io
import pickle
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from ambershift.coordinator.groupsim.folder import Folder
from ambershift.coordinator.groupsim.register import RegisterMachine
from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.tokens import TokenTable
from ambershift.coordinator.replication.tuning import MODEL_TUNING
from ambershift.coordinator.replication.types import (
    Answer,
    Applied,
    Effect,
    Halt,
    Reason,
    Restored,
    Send,
    Write,
)

VOTERS = ("n1", "n2", "n3")
PLACES = range(len(VOTERS))
MACHINE = RegisterMachine()
QUIET = MODEL_TUNING._replace(heartbeat_ns=1)  # Not a beat with each event; `its_time` makes one due.
LONG = 1 << 61
MESSAGES_MOST, MAIL_MOST = 150, 6
Ways = frozenset[tuple[int, int]]
ALL: Ways = frozenset((one, other) for one in PLACES for other in PLACES if one != other)


class Letter(NamedTuple):
    """A message that comes late."""

    sender: int
    to: int
    incarnation: int
    message: bytes


class Want(NamedTuple):
    """What a client waits for; for a read, what was acknowledged before it was asked."""

    ticket: int
    token: str
    before: tuple[str, ...]


class World(NamedTuple):
    """`members` are the replicas, frozen; `folders` what each has written and synced. `log` is by number the
    view and the token that were applied there first. `forgot` is up to where each held the log in a life
    before. `wrong` is a property's name and why.
    """

    members: tuple[bytes, ...]
    folders: tuple[bytes, ...]
    forgot: tuple[int, ...]
    mail: tuple[Letter, ...]
    log: tuple[tuple[int, str], ...]
    acked: tuple[str, ...]
    wants: tuple[Want, ...]
    starts: int
    writes: int
    reads: int
    calls: int
    restarts: int
    lates: int
    wrong: tuple[str, str]


def packed(value: Any) -> bytes:
    """The same bytes for equal values: nothing in it is told by what it shares."""
    out = io.BytesIO()
    pickler = pickle.Pickler(out)
    pickler.fast = True
    pickler.dump(value)
    return out.getvalue()


thawed = dict[tuple[bool, str, bytes], Replica]()  # To copy from, as thawing costs ten times as much.
THAWED_MOST = 20_000


def thaw(place: int, member: bytes, folders: bool) -> Replica:
    key = folders, VOTERS[place], member
    if key not in thawed:
        if len(thawed) >= THAWED_MOST:
            thawed.clear()
        thawed[key] = Replica.thaw(VOTERS[place], VOTERS, (), MACHINE, folders, QUIET, pickle.loads(member))
    return twin(thawed[key])


def twin(replica: Replica) -> Replica:
    """One that goes its own way: what is changed in place is copied."""
    core, other = replica.core, Replica.__new__(Replica)
    other.core = type(core).__new__(type(core))
    for name, value in vars(core).items():
        if type(value) in (dict, list):
            value = value.copy()
        elif isinstance(value, Log):
            value = Log(value.base, value.base_view, value.entries)
        elif isinstance(value, TokenTable):
            value = TokenTable(value.capacity, value.all())
        setattr(other.core, name, value)
    return other


def its_time(replica: Replica) -> list[Effect]:
    replica.core.next_heartbeat = 0
    return replica.tick(0, 0)


class Table:
    """The world thawed for one step."""

    def __init__(self, world: World, folders: bool) -> None:
        self.world, self.with_folders = world, folders
        self.replicas = dict[int, Replica]()
        self.folders = dict[int, list[Write]]()
        self.log, self.acked, self.wants = list(world.log), list(world.acked), list(world.wants)
        self.forgot, self.mail, self.wrong = list(world.forgot), list[Letter](world.mail), world.wrong
        self.starts = world.starts
        self.line = deque[tuple[int, int, Any]]()
        self.unsynced = -1  # Whose next write never gets to the disk: it dies before.
        self.died = False

    def replica(self, place: int) -> Replica:
        if place not in self.replicas:
            self.replicas[place] = thaw(place, self.world.members[place], self.with_folders)
        return self.replicas[place]

    def folder(self, place: int) -> list[Write]:
        if place not in self.folders:
            self.folders[place] = list(pickle.loads(self.world.folders[place]))
        return self.folders[place]

    def done(self, **changes: Any) -> World:
        members, folders = list(self.world.members), list(self.world.folders)
        for place, replica in self.replicas.items():
            members[place] = packed(replica.freeze())
        for place, writes in self.folders.items():
            folders[place] = packed(tuple(writes))
        return self.world._replace(
            members=tuple(members),
            folders=tuple(folders),
            forgot=tuple(self.forgot),
            mail=tuple(self.mail),
            log=tuple(self.log),
            acked=tuple(self.acked),
            wants=tuple(self.wants),
            starts=self.starts,
            wrong=self.wrong,
            **changes,
        )

    def fails(self, name: str, why: str) -> None:
        self.wrong = self.wrong if self.wrong[0] else (name, why)

    # What becomes of effects

    def carry(self, place: int, effects: list[Effect]) -> None:
        for at, effect in enumerate(effects):
            if isinstance(effect, Send):
                self.line.append((place, VOTERS.index(effect.to), effect.message))
            elif isinstance(effect, Write):
                if place == self.unsynced:
                    # What does not wait for the disk has left by then.
                    self.carry(place, [one for one in effects[at + 1 :] if isinstance(one, Send)])
                    self.died, self.unsynced = True, -1
                    self.start(place, True)
                    return
                self.folder(place).append(effect)
                self.does(place, partial(Replica.write_synced, now=0, ticket=effect.ticket))
            elif isinstance(effect, Applied):
                self.applied(place, effect)
            elif isinstance(effect, Restored):
                if effect.state.twice:
                    self.fails("no-effect-twice", f"{effect.state.twice} has its effect twice")
            elif isinstance(effect, Answer):
                self.answered(place, effect)
            elif isinstance(effect, Halt):
                if effect.reason is Reason.OLD_FOLDER:
                    self.start(place, False)
                return

    def start(self, place: int, kept: bool) -> None:
        """Anew, with what its folder has synced if `kept`."""
        self.forgot[place] = max(self.forgot[place], self.replica(place).core.log.last_number)
        if not kept:
            self.folders[place] = []
        folder = Folder()
        folder.synced = self.folder(place) if self.with_folders else []
        self.starts += 1
        self.replicas[place] = Replica(
            VOTERS[place],
            VOTERS,
            (),
            MACHINE,
            self.starts,
            self.starts,
            folder.saved(),
            self.with_folders,
            QUIET,
            0,
        )

    def applied(self, place: int, effect: Applied[Any]) -> None:
        entry, number = effect.entry, effect.entry.number
        if number <= len(self.log):
            if self.log[number - 1] != (entry.view, entry.token):
                self.fails(
                    "one-order",
                    f"place {number} is {entry.token or 'empty'} of view {entry.view} at "
                    f"{VOTERS[place]}, {self.log[number - 1]} elsewhere",
                )
        else:
            self.log.append((entry.view, entry.token))
        if effect.state.twice:
            self.fails("no-effect-twice", f"{effect.state.twice} has its effect twice")

    def answered(self, place: int, answer: Answer) -> None:
        want = next((one for one in self.wants if one.ticket == answer.ticket), None)
        if want is None:
            return
        self.wants.remove(want)
        if answer.reason is not None:
            return
        if want.token:
            holders = [one for one in PLACES if self.holds(one, want.token)]
            if len(holders) < 2:
                self.fails("acknowledged-is-held", f"{want.token} is acknowledged, held by {holders}")
            self.acked.append(want.token)
            return
        missing = [one for one in want.before if one not in self.replica(place).state.effects]
        if missing:
            self.fails("reads-are-not-stale", f"a read at {VOTERS[place]} lacks {missing}")

    def holds(self, place: int, token: str) -> bool:
        """In its log, which may have been on its way from there; or in a life before."""
        core = self.replica(place).core
        number = next((at for at, one in enumerate(self.log, 1) if one[1] == token), 0)
        if self.with_folders:
            return any(entry.token == token for write in self.folder(place) for entry in write.entries)
        return any(entry.token == token for entry in core.log.entries) or 0 < number <= self.forgot[place]

    # What is said

    def exchange(self, ways: Ways, late: bool = False) -> None:
        """All that gets through, until nothing new is said; a repeat changes nothing and is left out."""
        said, count = set[tuple[int, int, Any]](), 0
        while self.line and count < MESSAGES_MOST:
            sender, to, message = self.line.popleft()
            if (sender, to) not in ways:
                if late and len(self.mail) < MAIL_MOST:
                    self.mail.append(Letter(sender, to, message.incarnation, packed(message)))
                continue
            mark = sender, to, message
            if mark in said:
                continue
            said.add(mark)
            count += 1
            self.hear(sender, to, message)
        self.line.clear()

    def hear(self, sender: int, to: int, message: Any) -> None:
        self.does(to, lambda one: one.receive(0, VOTERS[sender], message))

    def does(self, place: int, what: Callable[[Replica], list[Effect]]) -> None:
        """A call of a replica; where one of its own guards fails, it stays as it was."""
        try:
            effects = what(self.replica(place))
        except AssertionError as error:
            self.fails("its-own-guards-hold", f"{VOTERS[place]}: {error}")
            del self.replicas[place]
            return
        self.carry(place, effects)
