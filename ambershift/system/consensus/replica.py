"""A control node's copy of the replicated state: the components of this package wired into one. No I/O.

Events are those of `state_machine` and of `events`; effects those of `state_machine` and `ItemsUpdated`.
Outcomes of calls are `CallSucceeded(result)` or an error of `interfaces`.
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
from ambershift.system.consensus.events import Event, ReadQuorum, WriteItems
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
from ambershift.system.consensus.vote_requests import VoteRequestHandler
from ambershift.system.consensus.voter_changes import VoterChanges
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
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import (
    NS_PER_SECOND,
    Effect,
    MessageReceived,
    PeerConnected,
    Tick,
    WriteCompleted,
)

PREFETCH_INTERVAL_NS = NS_PER_SECOND
EVENT_DISK_CREATED = 203
EVENT_COPY_COMPLETE = 205
Rows = Mapping[str, dict[str, bytes]]
_VOTE_REQUESTS = (Prepare, Accept, ConfirmBallot, SyncRequest)


class Replica:
    """The components of one control node's copy, and the order in which they handle each event.

    `seed` is that of all random draws, `rows` what is on disk by table and key, `now` the steady clock in ns.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        *,
        seed: int,
        delta_codecs: Callable[[str], DeltaCodec | None],
        rows: Rows,
        now: int,
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
        self._acceptor = Acceptor(out, journal, delta_codecs, rows.get("registers", {}))
        self._contact = ContactLease(out, self._voters)
        self._peer_directory = PeerDirectory(out, self._voters, settings.seed_ips)
        self._failure_detector = FailureDetector(out, self._voters, self._peer_directory)
        self._announcer = Announcer(out, self._voters, self._peer_directory)
        self._heartbeats = HeartbeatExchange(
            out,
            self._voters,
            store=self._store,
            directory=self._peer_directory,
            failure_detector=self._failure_detector,
            announcer=self._announcer,
            contact_lease=self._contact,
        )
        self._proposer = Proposer(
            out,
            self._voters,
            self._acceptor,
            delta_codecs=delta_codecs,
            incarnation=chance.randrange(1, 1 << 32),
            rng=chance,
            next_request_id=numbers,
            is_reachable=self._failure_detector.has_stable_contact,
        )
        self._quorum_writer = QuorumWriter(
            out,
            self._voters,
            self._store,
            next_request_id=numbers,
            learners=self._failure_detector.learners,
        )
        self._anti_entropy = AntiEntropy(
            SyncContext(
                out, self._voters, self._contact, self._failure_detector.is_ready, self._on_caught_up
            ),
            store=self._store,
            acceptor=self._acceptor,
            next_request_id=numbers,
        )
        sync_responder = SyncResponder(
            out, journal, voters=self._voters, store=self._store, acceptor=self._acceptor
        )
        self._vote_requests = VoteRequestHandler(
            out,
            journal,
            voters=self._voters,
            acceptor=self._acceptor,
            sync_responder=sync_responder,
            announcer=self._announcer,
        )
        self._voter_changes = VoterChanges(
            out,
            voters=self._voters,
            acceptor=self._acceptor,
            directory=self._peer_directory,
            contact=self._contact,
            announcer=self._announcer,
            on_epoch_changed=(
                self._anti_entropy.epoch_changed,
                self._dispatch_deferred,
                self._quorum_writer.epoch_changed,
                self._proposer.epoch_changed,
            ),
        )
        self._membership = MembershipManager(
            out,
            self._voters,
            directory=self._peer_directory,
            failure_detector=self._failure_detector,
            acceptor=self._acceptor,
            proposer=self._proposer,
            tolerated=settings.tolerated_losses,
            on_configuration=self._voter_changes.queue_decided,
        )
        self._tombstone_collector = TombstoneCollector(
            out,
            self._voters,
            self._store,
            failure_detector=self._failure_detector,
            proposer=self._proposer,
            quorum_writer=self._quorum_writer,
        )
        self._next_prefetch_ns = 0
        if "birth" not in meta:
            journal.put("meta", "ip", settings.ip.encode())
            journal.put("meta", "birth", str(birth).encode())
            out.log(EVENT_DISK_CREATED, disk_incarnation=birth, founding=founding)
        if founding:
            self._voters.bootstrap(settings.seed_ips)
        if self._voters.is_voter:
            self._voter_changes.record_membership()
            self._anti_entropy.catch_up()

    # Events.

    def step(self, now: int, event: Event) -> list[Effect | ItemsUpdated]:
        """Handle one event at `now` (ns, steady); returns what is to be done, in order."""
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
        while out.loopback or self._voter_changes.has_decided:
            if self._voter_changes.has_decided:
                self._voter_changes.adopt_next_decided()
            else:
                self._dispatch(out.local_ip, out.loopback.popleft())
        self._journal.flush()
        return out.drain()

    def _tick(self) -> None:
        self._heartbeats.tick()
        self._quorum_writer.tick()
        if not self._voters.can_vote and self._out.now >= self._next_prefetch_ns:
            # A learner that is made a voter should then miss little.
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
            taken = self._merge(message)  # In any epoch: an item is newer by its version alone.
            if message.request_id and taken:
                self._vote_requests.handle(sender, message, message.epoch)
        elif isinstance(message, _VOTE_REQUESTS):
            self._vote_requests.handle(sender, message, message.epoch)
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
            self._voter_changes.adopt(message)

    def _merge(self, message: MergeItems) -> bool:
        replaced = self._store.resets
        taken = self._store.merge(message.items, message.tombstone_batch)
        if self._store.resets != replaced:
            self._anti_entropy.restart()
        return taken

    def _dispatch_deferred(self) -> None:
        for sender, message in self._vote_requests.take_deferred():
            self._dispatch(sender, message)

    def _on_caught_up(self) -> None:
        self._out.log(EVENT_COPY_COMPLETE, epoch=self._voters.epoch)
        self._dispatch_deferred()

    # What the shell reads.

    @property
    def store(self) -> ItemStore:
        """The items of this copy."""
        return self._store

    @property
    def voters(self) -> VotingState:
        """Who votes, and whether this machine may."""
        return self._voters

    @property
    def peer_directory(self) -> PeerDirectory:
        """The control nodes known."""
        return self._peer_directory

    @property
    def failure_detector(self) -> FailureDetector:
        """Which peers are alive."""
        return self._failure_detector

    @property
    def contact(self) -> ContactLease:
        """How old this copy may be."""
        return self._contact

    def is_leaving_voters(self) -> bool:
        """Whether this machine, whose process is about to end, isn't a voter or is about to lose its seat."""
        me = self._voters.local_node
        return not self._voters.is_voter or all(one.ip != me.ip for one in self._membership.plan().voters)

    @property
    def is_disk_failing(self) -> bool:
        """Whether the disk refused the last write, or takes too long over it."""
        return self._journal.is_unhealthy
