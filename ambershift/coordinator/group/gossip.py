"""Gossip: spreads records between members, and publishes this member's own.

These tell how many proxies it steers, its wall clock, and which servers on permits its proxies have
drained.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ambershift.coordinator.group.clock_skew import ClockSkew
from ambershift.coordinator.group.links.interfaces import log_failure
from ambershift.coordinator.group.links.wire import FrameKind, UnreadableError
from ambershift.coordinator.maintenance.types import Phase
from ambershift.coordinator.promises.state import OpenPermit
from ambershift.coordinator.replication.gossip import messages
from ambershift.coordinator.replication.gossip.store import GossipStore
from ambershift.coordinator.replication.gossip.types import Record, RecordKind

if TYPE_CHECKING:
    from ambershift.coordinator.group.member import Member

# A digest goes to each member in each round, so a new record has reached all within two rounds.
ROUND_INTERVAL_S = 0.25
OWN_RECORDS_ROUNDS = 4  # Rounds between publications of the own records, well within their lifetime.
# The clock must look skewed at so many publications in a row, a second each: a process that was stopped reads
# old samples first, and must not let servers in because of them.
SKEWED_PUBLICATIONS = 3
# Bodies of records of kind PERMIT_DRAINED.
NEITHER = b"0"
DRAINED = b"1"
LET_IN = b"2"


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """The body of records of kind MEMBER_STATUS.

    Attributes:
        proxies: How many proxies the member steers.
        wall: Its wall clock at that moment, Unix ns.
    """

    proxies: int
    wall: int


class Gossip:
    """Exchanges records with all members, in rounds.

    Attributes:
        store: The records of all members.
        clock_skew: Estimates how far this member's clock is from the others'.
        count_steered: Returns how many proxies this member steers.
        round_listeners: Called in each round with the time in ns, to publish records of their own.
        record_listeners: Called with the time in ns and the records that are new.
    """

    def __init__(self, member: Member) -> None:
        """Start without records."""
        self.member = member
        self.store = GossipStore(member.spec.name, 0)
        self.clock_skew = ClockSkew(member.spec.clock_bound)
        self.count_steered: Callable[[], int] = lambda: 0
        self.round_listeners = list[Callable[[int], None]]()
        self.record_listeners = list[Callable[[int, list[Record]], None]]()
        self._task: asyncio.Task[None] | None = None
        self._round = 0
        self._skewed_publications = 0

    def set_incarnation(self, incarnation: int) -> None:
        """Publish under a new incarnation from now on; to all others that is a newer origin.

        Records of other members still count, by their age; this member's own are published again.
        """
        self.store.origins[self.store.me].incarnation = incarnation

    def open(self) -> None:
        """Start the rounds."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """End the rounds."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            try:
                self.run_round(self.member.now())
            except Exception as error:  # One bad record must not end the exchange of all later ones.
                log_failure(self.member.note, "gossip", error)

    def run_round(self, now: int) -> None:
        """Publish what is due, and send a digest to all members."""
        self._round += 1
        if self._round % OWN_RECORDS_ROUNDS == 1:
            self.store.sweep(now)
            is_skewed = self.clock_skew.exceeds_bound(now)
            self._skewed_publications = self._skewed_publications + 1 if is_skewed else 0
            self.member.desk_applier.enable_permits(self._skewed_publications < SKEWED_PUBLICATIONS)
            self._publish_own_records(now)
        for listener in self.round_listeners:
            listener(now)
        if not self.member.halted:
            self._broadcast(messages.encode(self.store.digest()))

    def _broadcast(self, payload: bytes) -> None:
        for peer in self.member.spec.peers:
            self.member.links.send(peer.name, FrameKind.HEARD, payload)

    def _publish_own_records(self, now: int) -> None:
        status = MemberStatus(self.count_steered(), self.member.wall())
        self.store.put(now, RecordKind.MEMBER_STATUS, "", msgspec.msgpack.encode(status))
        permits = self.member.state.permits
        for held in permits.values():
            body = self.permit_progress(held)
            if self.own_body(RecordKind.PERMIT_DRAINED, held.permit.id) != body:
                self.store.put(now, RecordKind.PERMIT_DRAINED, held.permit.id, body)
        for key in self.store.keys(RecordKind.PERMIT_DRAINED):
            if key not in permits:
                self.store.withdraw(now, RecordKind.PERMIT_DRAINED, key)

    def permit_progress(self, held: OpenPermit) -> bytes:
        """Return how far a permit has come at this member: `DRAINED`, `LET_IN` or `NEITHER`.

        `LET_IN` is published only once a restart can't undo it: when the log entry that returns the permit is
        on this member's disk.
        """
        applier, permit = self.member.desk_applier, held.permit
        if permit.phase <= Phase.OUT:
            return DRAINED if applier.is_drained(permit.server) else NEITHER
        replica = self.member.replica
        is_durable = replica is not None and held.number <= replica.durable
        return LET_IN if is_durable and not applier.is_held_out(permit.server) else NEITHER

    def own_body(self, kind: RecordKind, key: str) -> bytes | None:
        """Return the body of a record that this member published, None without one."""
        held = self.store.by_kind.get(kind, {}).get(key, {}).get(self.store.me)
        return held.body if held is not None else None

    def receive(self, sender: str, payload: bytes) -> None:
        """Take a message of another member, and answer it.

        Raises:
            UnreadableError: The payload is malformed.
        """
        now = self.member.now()
        try:
            answers, news = self.store.receive(now, messages.decode(payload))
        except messages.UnreadableError as error:
            raise UnreadableError(str(error)) from None
        for answer in answers:
            self.member.links.send(sender, FrameKind.HEARD, messages.encode(answer))
        for record in news:
            if (
                record.kind == RecordKind.MEMBER_STATUS
                and record.body
                and (status := _decode_status(record)) is not None
            ):
                self.clock_skew.add_sample(now, self.member.wall(), record.origin, status.wall, record.age_ns)
        if news:
            for listener in self.record_listeners:
                listener(now, news)

    # What other members published.

    def steered_proxies(self, now: int) -> dict[str, tuple[int, int, int]]:
        """Return, by member, the number of proxies it steers, its clock's offset, and its record's age.

        The offset is how far its clock is ahead of this member's. Times are in ns.
        """
        result = {self.store.me: (self.count_steered(), 0, 0)}
        for record in self.store.all(now, RecordKind.MEMBER_STATUS):
            if record.origin != self.store.me and (status := _decode_status(record)) is not None:
                offset = self.clock_skew.offset(now, record.origin)
                result[record.origin] = (status.proxies, offset, record.age_ns)
        return result

    def permit_reports(self, now: int, permit: str) -> dict[str, bytes]:
        """Return, by member, the latest `permit_progress` of one permit, by its id."""
        by_origin = self.store.by_kind.get(RecordKind.PERMIT_DRAINED, {}).get(permit, {})
        return {member: held.body for member, held in by_origin.items() if self.store.is_current(now, held)}


def _decode_status(record: Record) -> MemberStatus | None:
    try:
        return msgspec.msgpack.decode(record.body, type=MemberStatus)
    except (msgspec.MsgspecError, ValueError):
        return None
