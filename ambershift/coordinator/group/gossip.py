"""Gossip: spreads heard state, and says of this member what others need: what it steers, its clock, and
which servers on permits are drained for its proxies.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ambershift.coordinator.group.clock_skew import ClockSkew
from ambershift.coordinator.group.links.interfaces import log_failure
from ambershift.coordinator.group.links.wire import FrameKind, UnreadableError
from ambershift.coordinator.maintenance.words import Phase
from ambershift.coordinator.promises.state import Held
from ambershift.coordinator.replication.gossip import messages
from ambershift.coordinator.replication.gossip.store import Store
from ambershift.coordinator.replication.gossip.types import Kind as Heard
from ambershift.coordinator.replication.gossip.types import Record

if TYPE_CHECKING:
    from ambershift.coordinator.group.member import Member

SECOND = 1_000_000_000
# One digest to each member a beat: what is new has reached all within two. One's own is said again each
# OWN_EVERY, well within the time that it counts.
BEAT, OWN_EVERY = 0.25, 4
APART_LOOKS = 3  # So often in a row the clock must look apart, a second each.
NEITHER, DRAINED, LET_IN = b"0", b"1", b"2"  # Bodies of DRAINED.


class Steers(msgspec.Struct, frozen=True, array_like=True):
    """Body of STEERS: how many proxies, and the wall clock at that moment, Unix ns."""

    proxies: int
    wall: int


class Gossip:
    def __init__(self, member: Member) -> None:
        self.member = member
        self.store = Store(member.spec.me, 0)
        self.clocks = ClockSkew(member.spec.clock_bound)
        self.steered: Callable[[], int] = lambda: 0
        # Those who put records of their own, or read what came: called each beat, and with what is new.
        self.beats = list[Callable[[int], None]]()
        self.news = list[Callable[[int, list[Record]], None]]()
        self.task: asyncio.Task[None] | None = None
        self.turn, self.apart = 0, 0

    def live(self, incarnation: int) -> None:
        """A new life. What others said still counts, by its age, and one's own words are said anew: to all
        others they are those of a newer origin.
        """
        self.store.origins[self.store.me].incarnation = incarnation

    def open(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        if self.task:
            self.task.cancel()

    async def run(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            try:
                self.beat(self.member.now())
            except Exception as error:  # One bad record must not end what all later ones need.
                log_failure(self.member.note, "gossip", error)

    def beat(self, now: int) -> None:
        self.turn += 1
        if self.turn % OWN_EVERY == 1:
            self.store.sweep(now)
            # Not by one look: a process that was stopped reads old words first, and must let nothing in.
            self.apart = self.apart + 1 if self.clocks.apart(now) else 0
            self.member.at_desk.hold(self.apart < APART_LOOKS)
            self.say_own(now)
        for call in self.beats:
            call(now)
        if not self.member.halted:
            self.tell(messages.encode(self.store.digest()))

    def tell(self, payload: bytes) -> None:
        for peer in self.member.spec.peers:
            self.member.links.send(peer.name, FrameKind.HEARD, payload)

    def say_own(self, now: int) -> None:
        own = Steers(self.steered(), self.member.wall())
        self.store.put(now, Heard.STEERS, "", msgspec.msgpack.encode(own))
        permits = self.member.state.permits
        for held in permits.values():
            body = self.word(held)
            if self.mine(Heard.DRAINED, held.permit.id) != body:
                self.store.put(now, Heard.DRAINED, held.permit.id, body)
        for key in self.store.keys(Heard.DRAINED):
            if key not in permits:
                self.store.take_back(now, Heard.DRAINED, key)

    def word(self, held: Held) -> bytes:
        """How far a permit has come here: drained, let in again, or neither. "Let in" is told once a restart
        can't take it back: the entry that gives the permit back is on this member's disk.
        """
        at_desk, permit = self.member.at_desk, held.permit
        if permit.phase <= Phase.OUT:
            return DRAINED if at_desk.drained(permit.server) else NEITHER
        replica = self.member.replica
        kept = replica is not None and held.number <= replica.durable
        return LET_IN if kept and not at_desk.held_out(permit.server) else NEITHER

    def mine(self, kind: Heard, key: str) -> bytes | None:
        held = self.store.found.get(kind, {}).get(key, {}).get(self.store.me)
        return held.body if held is not None else None

    def hear(self, sender: str, payload: bytes) -> None:
        now = self.member.now()
        try:
            answers, news = self.store.hear(now, messages.decode(payload))
        except messages.UnreadableError as error:
            raise UnreadableError(str(error)) from None
        for answer in answers:
            self.member.links.send(sender, FrameKind.HEARD, messages.encode(answer))
        for record in news:
            if record.kind == Heard.STEERS and record.body and (steers := read_steers(record)) is not None:
                self.clocks.heard(now, self.member.wall(), record.origin, steers.wall, record.age_ns)
        if news:
            for call in self.news:
                call(now, news)

    # What others said

    def steers(self, now: int) -> dict[str, tuple[int, int, int]]:
        """By member how many proxies it steers, how far its clock is ahead of this one, and how long ago it
        said so, ns.
        """
        found = {self.store.me: (self.steered(), 0, 0)}
        for record in self.store.all(now, Heard.STEERS):
            if record.origin != self.store.me and (steers := read_steers(record)) is not None:
                found[record.origin] = (steers.proxies, self.clocks.ahead(now, record.origin), record.age_ns)
        return found

    def said(self, now: int, permit: str) -> dict[str, bytes]:
        """What each member said last of one permit."""
        by_origin = self.store.found.get(Heard.DRAINED, {}).get(permit, {})
        return {name: held.body for name, held in by_origin.items() if self.store.counts(now, held)}


def read_steers(record: Record) -> Steers | None:
    try:
        return msgspec.msgpack.decode(record.body, type=Steers)
    except (msgspec.MsgspecError, ValueError):
        return None
