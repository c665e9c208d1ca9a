"""Control nodes' replicas thawed for one step of a small world: who hears whom, their disks, what is told."""

from __future__ import annotations

import pickle
from collections import deque
from dataclasses import replace
from functools import partial
from typing import Any, NamedTuple

import msgspec

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.events import ChangeRegister
from ambershift.system.consensus.replica import Replica
from ambershift.system.interfaces import ChangeOutcome, NotAppliedError
from ambershift.system.messages import replication
from ambershift.system.messages.replication import Voter, VoterConfiguration
from ambershift.system.settings.process_settings import ProcessSettings, TimerBounds
from ambershift.system.simulation.lists import Appending, split
from ambershift.system.state_machine import (
    NS_PER_SECOND,
    CompleteCall,
    MessageReceived,
    Send,
    Tick,
    Write,
    WriteCompleted,
)

IPS = ("n1", "n2", "n3")
PLACES = range(len(IPS))
LIST = "list"
# What the drop of time, beats and words of third ones leaves: the register, its voters, and copies.
CARRIED = (
    replication.Prepare,
    replication.Promise,
    replication.Accept,
    replication.Acknowledgement,
    replication.Rejected,
    replication.MissingBase,
    replication.ConfirmBallot,
    replication.SyncRequest,
    replication.SyncResponse,
    VoterConfiguration,
)
Ways = frozenset[tuple[int, int]]
ALL: Ways = frozenset((one, other) for one in PLACES for other in PLACES if one != other)
Rows = dict[str, dict[str, bytes]]
MESSAGES_MOST = 400


class World(NamedTuple):
    """`members` are the processes and `disks` what they have synced, frozen; `sums` is what of the processes
    tells one from another. `told` is the longest list told, `refused` what was told never to come in.
    """

    members: tuple[bytes, ...]
    disks: tuple[bytes, ...]
    sums: tuple[bytes, ...]
    told: tuple[bytes, ...]
    refused: tuple[bytes, ...]
    starts: int
    appends: int
    calls: int
    restarts: int
    wipes: int
    changes: int
    wrong: tuple[str, str]


def shape(name: str) -> Appending:
    return Appending()


def settings(place: int) -> ProcessSettings:
    return ProcessSettings(
        file="",
        name=IPS[place],
        machine_class="core",
        ip=IPS[place],
        zone=f"z{place}",
        region=f"r{place}",
        counted=True,
        initial=True,
        data_directory="-",
        internal_ports=(1, 2),
        seeds=tuple(f"{ip}:1" for ip in IPS),
        listen_addresses={},
        zones={},
        heartbeat_interval_s=1.5,
        tolerated_losses=(1, 1, 1),
        bounds=TimerBounds(),
    )


class Caller:
    """A change of the list that can be frozen with the process that it waits in."""

    def __init__(self, add: bytes) -> None:
        self.add = add

    def __call__(self, value: bytes | None, since: int, now: int) -> ChangeOutcome:
        ids = split(value)
        if not self.add or self.add in ids:
            return ChangeOutcome(None, ids)
        return ChangeOutcome((value or b"") + self.add, [*ids, self.add])


class Table:
    def __init__(self, world: World) -> None:
        self.world = world
        self.now = 10 * NS_PER_SECOND
        self.replicas: list[Replica | None] = [None] * len(IPS)
        self.disks: list[Rows] = [pickle.loads(one) for one in world.disks]
        self.starts, self.told, self.refused = world.starts, world.told, set(world.refused)
        self.wrong = world.wrong
        self.outcome: Any = None

    def replica(self, place: int) -> Replica:
        found = self.replicas[place]
        if found is None:
            found = self.replicas[place] = pickle.loads(self.world.members[place])
        return found

    def start(self, place: int, wiped: bool = False) -> None:
        """Anew with its disk, or an empty one."""
        self.starts += 1
        if wiped:
            self.disks[place] = {}
        local = settings(place)
        rows = {kind: dict(some) for kind, some in self.disks[place].items()}
        self.replicas[place] = Replica(
            replace(local, initial=not wiped), seed=self.starts, delta_codecs=shape, rows=rows, now=self.now
        )
        self.does(place, None, frozenset())

    def does(self, place: int, event: Any, ways: Ways) -> None:
        """An event, and all that follows where messages get through."""
        queue = deque([(place, event)])
        many = 0
        while queue and many < MESSAGES_MOST:
            many += 1
            at, event = queue.popleft()
            if event is None:
                effects = self.replica(at).step(self.now, Tick())
                effects = [one for one in effects if isinstance(one, Write)]
            else:
                effects = self.replica(at).step(self.now, event)
            for effect in effects:
                if (
                    isinstance(effect, Send)
                    and isinstance(effect.message, CARRIED)
                    and effect.recipient in IPS
                ):
                    to = IPS.index(effect.recipient)
                    if (at, to) in ways:
                        queue.append((to, MessageReceived(IPS[at], effect.message)))
                elif isinstance(effect, Write):
                    for kind, name, value in effect.rows:
                        rows = self.disks[at].setdefault(kind, {})
                        if value is None:
                            rows.pop(name, None)
                        else:
                            rows[name] = value
                    queue.appendleft((at, WriteCompleted(effect.token)))
                elif isinstance(effect, CompleteCall):
                    self.outcome = effect.outcome

    def call(self, place: int, add: bytes, ways: Ways) -> None:
        """One caller's call, to its end."""
        change = Caller(add)
        self.does(place, ChangeRegister(1, LIST, change, 1.0), ways)
        self.settle()
        outcome = self.outcome
        if isinstance(outcome, CallSucceeded):
            ids = tuple(outcome.result)
            if ids[: len(self.told)] != self.told:
                self.wrong = "one-order", f"told {ids} after {self.told}"
            elif len(set(ids)) != len(ids):
                self.wrong = "one-order", f"twice in {ids}"
            elif self.refused & set(ids):
                self.wrong = "refused-is-never", f"told {ids}, of which {self.refused} never come in"
            elif add and add not in ids:
                self.wrong = "one-order", f"{add!r} isn't in {ids}"
            self.told = ids
        elif isinstance(outcome, NotAppliedError) and add:
            self.refused.add(add)

    def settle(self) -> None:
        """So much time passes that nothing is waited for any more; nothing gets through meanwhile."""
        self.now += 5 * NS_PER_SECOND
        for place in PLACES:
            if self.replicas[place] is not None:
                self.does(place, Tick(), frozenset())

    def propose(self, place: int, ways: Ways) -> None:
        """What `membership` would have agreed: whoever has another disk now is a voter with it."""
        replica = self.replica(place)
        decision = replica.voters.configuration
        assert decision is not None
        births = {ip: self.replica(at).voters.local_node.disk_id for at, ip in enumerate(IPS)}
        wanted = tuple(Voter(one.ip, one.zone, one.region, births[one.ip]) for one in decision.voters)
        replica._out.now = self.now
        replica._membership._propose(decision, wanted)
        self.does(place, MessageReceived(IPS[place], replication.Heartbeat(0, 0, 0, ())), ways)
        self.settle()

    def done(self, **left: int) -> World:
        members = list(self.world.members)
        disks = [pickle.dumps(_sorted(rows)) for rows in self.disks]
        sums = list(self.world.sums)
        for place in PLACES:
            if (found := self.replicas[place]) is not None:
                members[place], sums[place] = pickle.dumps(found), _sum(found)
        return self.world._replace(
            members=tuple(members),
            disks=tuple(disks),
            sums=tuple(sums),
            starts=self.starts,
            told=self.told,
            refused=tuple(sorted(self.refused)),
            wrong=self.wrong,
            **left,
        )


def _sorted(rows: Rows) -> Rows:
    return {kind: dict(sorted(some.items())) for kind, some in sorted(rows.items())}


def _sum(replica: Replica) -> bytes:
    """All that this process may act on once time has passed; not its round numbers and counts of time."""
    voters = replica.voters
    registers = replica._proposer._registers
    return msgspec.msgpack.encode(
        [
            voters.configuration,
            voters.complete_epoch,
            voters.local_node.disk_id,
            replica._proposer._incarnation,
            sorted(replica._acceptor.states.items()),
            [
                (
                    name,
                    one.highest_counter,
                    one.prepared
                    and (
                        one.prepared.epoch,
                        one.prepared.ballot,
                        one.prepared.accepted_ballot,
                        one.prepared.origin_ballot,
                        one.prepared.value,
                    ),
                )
                for name, one in sorted(registers.items())
            ],
            [repr(one) for one in replica._vote_requests.deferred],
            [
                (type(one).__name__, sorted(one.contacted), sorted(one.completed))
                for one in replica._anti_entropy._sessions
            ],
        ]
    )


__all__ = ["ALL", "IPS", "PLACES", "Table", "VoterConfiguration", "Ways", "World", "partial"]
