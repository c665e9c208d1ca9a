"""A control node's copy of what all must know: the small machines of this package wired into one (no I/O).

Events are those of `steps` and of `events`; effects those of `steps` and `News`. Outcomes of calls are
`Held(result)` or an error of `contracts`.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from ambershift.system.consensus.acceptor import Acceptor
from ambershift.system.consensus.announcements import Announcer
from ambershift.system.consensus.anti_entropy import AntiEntropy
from ambershift.system.consensus.contact_lease import ContactLease
from ambershift.system.consensus.effect_buffer import EffectBuffer, ItemsUpdated
from ambershift.system.consensus.events import Event, PeerConnected, ReadQuorum, WriteItems
from ambershift.system.consensus.failure_detector import FailureDetector
from ambershift.system.consensus.heartbeats import HeartbeatExchange
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.membership import MembershipManager
from ambershift.system.consensus.peer_directory import PeerDirectory
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.consensus.quorum_write import QuorumWriter
from ambershift.system.consensus.sync_responder import SyncResponder
from ambershift.system.consensus.sync_session import SyncContext
from ambershift.system.consensus.tombstone_collector import TombstoneCollector
from ambershift.system.consensus.voters import FOUNDER_DISK_ID, VotingState
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.interfaces import DeltaCodec
from ambershift.system.messages.replication import (
    Accept,
    Acknowledgement,
    Announcement,
    ConfirmBallot,
    Heartbeat,
    MergeItems,
    MissingBase,
    NodeRecord,
    PeerList,
    Prepare,
    Promise,
    Rejected,
    SyncRequest,
    SyncResponse,
    VoterConfiguration,
)
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_SECOND, Effect, MessageReceived, Tick, WriteCompleted

PREFETCH_INTERVAL_NS = NS_PER_SECOND
DEFERRED_MESSAGES_MAX = 2000  # Messages kept for when this machine votes.
EVENT_BORN, EVENT_VOTERS, EVENT_WHOLE = 203, 204, 205
Rows = Mapping[str, dict[str, bytes]]


_VOTE_REQUESTS = (Prepare, Accept, ConfirmBallot, SyncRequest)


class Replica:
    def __init__(
        self, settings: Local, seed: int, shapes: Callable[[str], DeltaCodec | None], rows: Rows, now: int
    ) -> None:
        chance = random.Random(seed)
        out = self._out = EffectBuffer(settings.ip)
        out.now = now
        meta = rows.get("meta", {})
        journal = self._journal = WriteQueue(out)
        founding = "birth" not in meta and settings.initial and settings.ip in settings.seed_ips
        birth = (
            int(meta.get("birth", b"0"))
            if "birth" in meta
            else (FOUNDER_DISK_ID if founding else chance.randrange(1, 1 << 32))
        )
        me = NodeRecord(
            settings.ip, settings.zone, settings.region, birth, 0, settings.initial, settings.counted
        )
        numbers = itertools.count(chance.randrange(1 << 31)).__next__
        self._store = ItemStore(out, journal, rows.get("items", {}))
        self._voters = VotingState(journal, me, meta)
        self._acceptor = Acceptor(out, journal, shapes, rows.get("registers", {}))
        self._contact = ContactLease(out, self._voters)
        self._peer_directory = PeerDirectory(out, self._voters, settings.seed_ips)
        self._failure_detector = FailureDetector(out, self._voters, self._peer_directory)
        self._announcer = Announcer(out, self._voters, self._peer_directory)
        self._heartbeats = HeartbeatExchange(
            out,
            self._voters,
            self._store,
            self._peer_directory,
            self._failure_detector,
            self._announcer,
            self._contact,
        )
        self._proposer = Proposer(
            out,
            self._voters,
            self._acceptor,
            delta_codecs=shapes,
            incarnation=chance.randrange(1, 1 << 32),
            rng=chance,
            next_request_id=numbers,
            is_reachable=self._failure_detector.has_stable_contact,
        )
        self._quorum_writer = QuorumWriter(
            out, self._voters, self._store, numbers, self._failure_detector.learners
        )
        self._anti_entropy = AntiEntropy(
            SyncContext(out, self._voters, self._contact, self._failure_detector.is_ready, self._completed),
            store=self._store,
            acceptor=self._acceptor,
            next_request_id=numbers,
        )
        self._sync_responder = SyncResponder(
            out, journal, voters=self._voters, store=self._store, acceptor=self._acceptor
        )
        self._decisions: list[VoterConfiguration] = []
        self._membership = MembershipManager(
            out,
            self._voters,
            directory=self._peer_directory,
            failure_detector=self._failure_detector,
            acceptor=self._acceptor,
            proposer=self._proposer,
            tolerated=settings.tolerated,
            on_configuration=self._decisions.append,
        )
        self._tombstone_collector = TombstoneCollector(
            out, self._voters, self._failure_detector, self._store, self._proposer, self._quorum_writer
        )
        self._next_prefetch_ns = 0
        self._deferred: list[tuple[str, msgspec.Struct]] = []
        if "birth" not in meta:
            journal.put("meta", "ip", settings.ip.encode())
            journal.put("meta", "birth", str(birth).encode())
            out.log(EVENT_BORN, birth=birth, founding=founding)
        if founding:
            self._voters.bootstrap(settings.seed_ips)
        if self._voters.is_voter:
            self._voted()
            self._anti_entropy.catch_up()

    # Events.

    def step(self, now: int, event: Event) -> list[Effect | ItemsUpdated]:
        out = self._out
        since, out.now = now - out.now, now
        self._contact.record_elapsed(since)
        if isinstance(event, MessageReceived):
            self._failure_detector.record_contact(event.sender)
            self._dispatch(event.sender, event.message)
        elif isinstance(event, PeerConnected):
            self._heartbeats.handle_connected(event.ip)
            self._anti_entropy.on_connected(event.ip)
        elif isinstance(event, Tick):
            self._tick()
        elif isinstance(event, WriteCompleted):
            self._journal.handle_write_completed(event.token, event.fault)
        elif isinstance(event, WriteItems):
            done = partial(out.complete_call, event.call)
            self._quorum_writer.write(event.items, now + int(event.timeout_s * NS_PER_SECOND), done)
        elif isinstance(event, ReadQuorum):
            self._anti_entropy.read(event.call, now + int(event.timeout_s * NS_PER_SECOND))
        else:
            self._proposer.change(
                event.register,
                event.change,
                now + int(event.timeout_s * NS_PER_SECOND),
                partial(out.complete_call, event.call),
            )
        while out.loopback or self._decisions:
            if self._decisions:
                self._decided(self._decisions.pop(0))
            else:
                self._dispatch(out.local_ip, out.loopback.popleft())
        self._journal.flush()
        return out.drain()

    def _tick(self) -> None:
        self._heartbeats.tick()
        self._quorum_writer.tick()
        if not self._voters.can_vote and self._out.now >= self._next_prefetch_ns:
            # Whoever may be made a voter should then lack little.
            self._next_prefetch_ns = self._out.now + PREFETCH_INTERVAL_NS
            if not self._voters.is_voter and (near := self._failure_detector.nearest_voter()) is not None:
                self._anti_entropy.repair_from(near)
        if self._contact.needs_quorum_read() and self._failure_detector.has_quorum_contact():
            self._anti_entropy.prove_contact()
        self._anti_entropy.tick()
        self._proposer.tick()
        self._membership.tick()
        self._tombstone_collector.tick()

    def _dispatch(self, sender: str, message: msgspec.Struct) -> None:
        if isinstance(message, (Acknowledgement, Promise, Rejected, MissingBase)):
            if not self._proposer.receive_reply(sender, message) and isinstance(message, Acknowledgement):
                self._quorum_writer.acknowledge(sender, message)
        elif isinstance(message, MergeItems):
            taken = self._merge(message)  # Newer is newer, whoever votes.
            if message.request_id and taken:
                self._vote(sender, message, message.epoch)
        elif isinstance(message, _VOTE_REQUESTS):
            self._vote(sender, message, message.epoch)
        elif isinstance(message, SyncResponse):
            self._anti_entropy.receive_response(sender, message)
        elif isinstance(message, Heartbeat):
            differing = self._heartbeats.handle_heartbeat(sender, message)
            if differing is not None:
                self._anti_entropy.repair_from(differing)
        elif isinstance(message, Announcement):
            self._announcer.handle_announcement(sender, message)
        elif isinstance(message, PeerList):
            self._announcer.handle_peer_list(sender, message)
        elif isinstance(message, VoterConfiguration):
            self._adopt(message)

    def _merge(self, message: MergeItems) -> bool:
        replaced = self._store.resets
        taken = self._store.merge(message.items, message.tombstone_batch)
        if self._store.resets != replaced:
            self._anti_entropy.restart()
        return taken

    def _vote(self, sender: str, message: msgspec.Struct, epoch: int) -> None:
        """Handle what wants this machine's vote, if the sender counts by the same voters as it does."""
        decision = self._voters.configuration
        if decision is not None and epoch < decision.epoch:
            self._out.send(sender, decision)
        elif decision is None or epoch > decision.epoch:
            self._announcer.announce([sender])  # Its answer is the newer configuration.
            self._defer(sender, message)
        elif isinstance(message, SyncRequest):
            self._sync_responder.answer_request(sender, message)
        elif self._voters.can_vote:
            if isinstance(message, Prepare):
                self._acceptor.prepare(sender, message)
            elif isinstance(message, Accept):
                self._acceptor.accept(sender, message)
            elif isinstance(message, ConfirmBallot):
                self._acceptor.confirm(sender, message)
            elif isinstance(message, MergeItems):
                self._journal.on_durable(
                    partial(self._out.send, sender, Acknowledgement(epoch, message.request_id))
                )
        elif self._voters.is_voter:
            self._defer(sender, message)

    def _defer(self, sender: str, message: msgspec.Struct) -> None:
        """Keep it until this machine knows the newer voters, or is complete: both take a moment only."""
        if len(self._deferred) < DEFERRED_MESSAGES_MAX:
            self._deferred.append((sender, message))

    def _dispatch_deferred(self) -> None:
        held, self._deferred = self._deferred, []
        for sender, message in held:
            self._dispatch(sender, message)

    # Voters.

    def _decided(self, decision: VoterConfiguration) -> None:
        """This machine has found out what the voters decided: tell all, then count by it."""
        if decision.epoch > self._voters.epoch:
            for ip in self._peer_directory.peers():
                self._out.send(ip, decision)
        self._adopt(decision)

    def _adopt(self, decision: VoterConfiguration) -> None:
        if not self._voters.adopt(decision):
            return
        self._out.log(EVENT_VOTERS, epoch=decision.epoch, voters=[one.ip for one in decision.voters])
        self._acceptor.delete_voter_registers(f"@{decision.epoch}")
        self._peer_directory.handle_configuration_change()
        self._contact.handle_configuration_change()
        self._voted()
        self._anti_entropy.epoch_changed()
        self._dispatch_deferred()
        self._quorum_writer.epoch_changed()
        self._proposer.epoch_changed()

    def _voted(self) -> None:
        me = self._voters.local_node
        if me.initial and self._voters.is_voter:
            self._announcer.update_local_node(
                msgspec.structs.replace(me, initial=False, version=me.version + 1)
            )

    def _completed(self) -> None:
        self._out.log(EVENT_WHOLE, epoch=self._voters.epoch)
        self._dispatch_deferred()

    # What the shell reads.

    @property
    def store(self) -> ItemStore:
        return self._store

    @property
    def voters(self) -> VotingState:
        return self._voters

    @property
    def peer_directory(self) -> PeerDirectory:
        return self._peer_directory

    @property
    def failure_detector(self) -> FailureDetector:
        return self._failure_detector

    @property
    def contact(self) -> ContactLease:
        return self._contact

    def is_leaving_voters(self) -> bool:
        """Whether this machine, which tells that it is about to end, is no voter soon, or isn't one now."""
        me = self._voters.local_node
        return not self._voters.is_voter or all(one.ip != me.ip for one in self._membership.plan().voters)

    @property
    def is_disk_failing(self) -> bool:
        return self._journal.is_unhealthy
