"""Who is there: knocks, beats, words of others; who was heard when, and whom others don't hear."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

import msgspec

from ambershift.system.consensus.contact_lease import ContactLease
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.quorum import FULL_MESH_MAX_NODES, choose_watchers
from ambershift.system.consensus.voters import VotingState, includes_disk
from ambershift.system.messages import replication
from ambershift.system.messages.proxy_link import ControlNodeAddress
from ambershift.system.messages.replication import Announcement, Heartbeat, NodeRecord, PeerList
from ambershift.system.state_machine import NS_PER_MS

HEARTBEAT_INTERVAL_NS = 300 * NS_PER_MS
SUSPICION_TIMEOUT_NS = 1500 * NS_PER_MS
RECENT_CONTACT_NS = 800 * NS_PER_MS  # Asked first if heard within this.
FORWARDING_TIMEOUT_NS = (
    550 * NS_PER_MS
)  # Not heard for so long, it gets no calls: a beat and most of another are missing.
LEARNER_FORWARDING_TIMEOUT_NS = (
    1000 * NS_PER_MS
)  # The same for those that hear voters less often, as they are none.
SETTLING_TIME_NS = (
    2000 * NS_PER_MS
)  # Links to a machine that was away are there, and it votes again, when this is over.
LISTING_TIMEOUT_NS = 5000 * NS_PER_MS
EVENT_QUORUM_CONTACT = 210
UNKNOWN_CHECKSUM = -1  # Unlike every checksum: whoever is told this tells of all it knows, itself too.
_encode = msgspec.msgpack.Encoder().encode


class FailureDetector:
    def __init__(
        self,
        out: EffectBuffer,
        voters: VotingState,
        store: ItemStore,
        seeds: Sequence[str],
        contact: ContactLease,
    ) -> None:
        self._out, self._voters, self._store, self._contact = out, voters, store, contact
        self._seeds = tuple(seeds)
        self.nodes: dict[str, NodeRecord] = {voters.local_node.ip: voters.local_node}
        # Births that machines have told themselves since the voters changed. What was known before may be of
        # a disk that this very change replaced: chosen again, it would name a voter that isn't there.
        self.self_reported_disks: dict[str, int] = {}
        self.last_contact: dict[str, int] = {}
        self._contact_since: dict[str, int] = {}  # Since when each has been heard without a pause.
        self._last_tick = self._running_since = out.now
        self._settled_nodes: set[str] = set()  # Who says of itself that it is settled; this machine, too.
        self.leaving: set[str] = set()  # Who tells that it is about to end; this machine, too.
        self._complete_epochs: dict[
            str, int
        ] = {}  # The epoch for which each voter was last told to be complete.
        self.suspected_by: dict[str, tuple[str, ...]] = {}  # Whom each other doesn't hear.
        self.last_newcomer_at = out.now  # When a machine was last heard of for the first time.
        self._divergent_heartbeats: dict[str, int] = {}
        self._was_in_contact = False
        self._last_heartbeat_sent: dict[str, int] = {}
        self._next_heartbeat_at = out.now
        self._checksum = 0
        self._sum()

    def _sum(self) -> None:
        self._checksum = crc32(_encode([self.nodes[ip] for ip in sorted(self.nodes)]))

    @property
    def local_node(self) -> NodeRecord:
        return self._voters.local_node

    # What is told.

    def record_contact(self, sender: str) -> None:
        now = self._out.now
        if now - self.last_contact.get(sender, -LISTING_TIMEOUT_NS) > LEARNER_FORWARDING_TIMEOUT_NS:
            self._contact_since[sender] = now
        self.last_contact[sender] = now

    def handle_announcement(self, sender: str, knock: Announcement) -> None:
        if knock.node.ip == sender:
            self.self_reported_disks[sender] = knock.node.disk_id
            self._merge(knock.node, direct=True)
        if knock.peers_checksum != self._checksum:
            self._out.send(sender, PeerList(tuple(self.nodes.values())))
        if self._voters.configuration is not None and knock.epoch < self._voters.epoch:
            self._out.send(sender, self._voters.configuration)

    def handle_peer_list(self, sender: str, message: PeerList) -> None:
        for machine in message.nodes:
            if machine.ip == sender:
                self.self_reported_disks[sender] = machine.disk_id
            self._merge(machine, direct=False)

    def _merge(self, machine: NodeRecord, direct: bool) -> None:
        mine = self.nodes.get(machine.ip)
        if machine.ip == self.local_node.ip:
            if machine != self.local_node and machine.version >= self.local_node.version:
                self.update_local_node(msgspec.structs.replace(self.local_node, version=machine.version + 1))
        elif (
            mine is None
            or machine.version > mine.version
            or (direct and machine.version == mine.version and machine != mine)
        ):
            if mine is None or mine.disk_id != machine.disk_id:
                self.last_newcomer_at = self._out.now
            self.nodes[machine.ip] = machine
            self._sum()

    def handle_configuration_change(self) -> None:
        self.self_reported_disks.clear()

    def _unconfirmed_replacements(self) -> list[str]:
        """Voters that are known with another disk, but not by their own word."""
        decision = self._voters.configuration
        return [
            one.ip
            for one in (decision.voters if decision else ())
            if one.ip in self.nodes
            and self.nodes[one.ip].disk_id != one.disk_id
            and one.ip not in self.self_reported_disks
        ]

    def update_local_node(self, me: NodeRecord) -> None:
        """Something about this machine has changed: tell all."""
        self._voters.local_node = me
        self.nodes[me.ip] = me
        self._sum()
        self._announce(self.peers())

    def handle_heartbeat(self, sender: str, beat: Heartbeat) -> str | None:
        """Take a beat. Returns the sender if its items have differed for two beats."""
        self.suspected_by[sender] = beat.suspected
        (self._settled_nodes.add if beat.flags & replication.SETTLED else self._settled_nodes.discard)(sender)
        (self.leaving.add if beat.flags & replication.LEAVING else self.leaving.discard)(sender)
        if beat.flags & replication.COMPLETE:
            self._complete_epochs[sender] = beat.epoch
        if beat.peers_checksum != self._checksum:
            self._out.send(sender, self._announcement())
        if self._voters.configuration is not None and beat.epoch < self._voters.epoch:
            self._out.send(sender, self._voters.configuration)
        if self._out.now - self._last_heartbeat_sent.get(sender, 0) > 2 * HEARTBEAT_INTERVAL_NS:
            self._send_heartbeat(
                [sender]
            )  # It watches me though I needn't watch it: let it know that I am here.
        if beat.items_checksum == self._store.buckets.total:
            self._divergent_heartbeats.pop(sender, None)
            if beat.epoch == self._voters.epoch and beat.flags & replication.COMPLETE:
                self._contact.record_matching_heartbeat(sender)
            return None
        count = self._divergent_heartbeats[sender] = self._divergent_heartbeats.get(sender, 0) + 1
        return sender if count >= 2 else None

    def request_configuration(self, sender: str) -> None:
        """That machine knows newer voters than this one: show it, so that it tells."""
        self._announce([sender])

    # What is sent.

    def peers(self) -> list[str]:
        """All that may be there: machines known, voters, seeds."""
        return sorted({*self.nodes, *self._voters.ips, *self._seeds} - {self.local_node.ip})

    def _announcement(self) -> Announcement:
        return Announcement(self.local_node, self._voters.epoch, self._checksum)

    def _announce(self, ips: Sequence[str]) -> None:
        message = self._announcement()
        for ip in ips:
            self._out.send(ip, message)

    def _flags(self) -> int:
        return (
            replication.SETTLED * (self.local_node.ip in self._settled_nodes)
            + replication.COMPLETE * self._voters.can_vote
            + replication.LEAVING * (self.local_node.ip in self.leaving)
        )

    def _send_heartbeat(self, ips: Sequence[str]) -> None:
        message = Heartbeat(
            self._voters.epoch,
            self._store.buckets.total,
            self._checksum,
            self.suspected_voters(),
            self._flags(),
        )
        for ip in ips:
            self._last_heartbeat_sent[ip] = self._out.now
            self._out.send(ip, message)

    def handle_connected(self, ip: str) -> None:
        """Show it at once that this machine is there."""
        if ip in self.nodes and self._voters.configuration is not None:
            self._send_heartbeat([ip])
        else:
            self._announce([ip])

    def tick(self) -> None:
        if self._out.now - self._last_tick > RECENT_CONTACT_NS:
            self._running_since = self._out.now
        self._last_tick = self._out.now
        if self.has_quorum_contact() != self._was_in_contact:
            self._was_in_contact = not self._was_in_contact
            self._out.log(
                EVENT_QUORUM_CONTACT, in_touch=self._was_in_contact, unheard=list(self.suspected_voters())
            )
        settled = (
            self.local_node.ip not in self.leaving
            and self.has_quorum_contact()
            and self._voters.can_vote
            and self._out.now - self._running_since >= SETTLING_TIME_NS
        )
        if settled != (self.local_node.ip in self._settled_nodes):
            (self._settled_nodes.add if settled else self._settled_nodes.discard)(self.local_node.ip)
            self._next_heartbeat_at = (
                self._out.now
            )  # All should know at once, or two propose for one register.
        if self._out.now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = self._out.now + HEARTBEAT_INTERVAL_NS
        others = self.peers()
        watching = {*choose_watchers(self.local_node.ip, others), *self._voters.ips} - {self.local_node.ip}
        # Whoever isn't known is told who this machine is; what others lack they show by their beats.
        strange = [ip for ip in others if ip not in self.nodes or self._voters.configuration is None]
        self._announce(strange)
        for ip in self._unconfirmed_replacements():
            self._out.send(ip, Announcement(self.local_node, self._voters.epoch, UNKNOWN_CHECKSUM))
        self._send_heartbeat(sorted(watching - set(strange)))

    # What follows.

    def is_alive(self, ip: str, within: int = SUSPICION_TIMEOUT_NS) -> bool:
        return (
            ip == self.local_node.ip
            or self._out.now - self.last_contact.get(ip, -LISTING_TIMEOUT_NS) <= within
        )

    def is_complete(self, ip: str) -> bool:
        """Whether that voter is known to have all that was held before this epoch."""
        if ip == self.local_node.ip:
            return self._voters.can_vote
        return self._complete_epochs.get(ip, 0) >= max(1, self._voters.epoch)

    def start_leaving(self) -> None:
        """This process is about to end: others propose from now on, and take its seat or leave it out."""
        self.leaving.add(self.local_node.ip)
        self._next_heartbeat_at = self._out.now

    def has_left(self) -> bool:
        """Whether this machine may end: it is no voter any more, and the voters are complete without it."""
        decision = self._voters.configuration
        if decision is None or self.local_node.ip in self._voters.ips:
            return decision is None
        return sum(self.is_complete(ip) for ip in self._voters.ips) >= self._voters.quorum_size

    def was_heard_recently(self, ip: str) -> bool:
        return self.is_alive(ip, RECENT_CONTACT_NS)

    def is_ready(self, ip: str) -> bool:
        """Whether that voter was heard lately, and not as a machine that has lost the disk it votes with."""
        decision, machine = self._voters.configuration, self.nodes.get(ip)
        return (
            self.was_heard_recently(ip)
            and self._has_contact_with_local(ip)
            and (decision is None or machine is None or includes_disk(decision.voters, ip, machine.disk_id))
        )

    def settled_voters(self) -> frozenset[str]:
        """The voters that have been there without a pause for a while: none, where most have not.

        Each judges itself, from its start or since it stood still, and tells the others in the same moment,
        as views that differ make two propose for one register.
        """
        found = frozenset(ip for ip in self._voters.ips if self._is_settled(ip))
        return found if len(found) >= self._voters.quorum_size else frozenset()

    def _is_settled(self, ip: str) -> bool:
        return ip in self._settled_nodes and self.is_responsive(ip) and self._has_contact_with_local(ip)

    def is_responsive(self, ip: str) -> bool:
        """Whether calls may be handed to it, by when it was heard last."""
        return self.is_alive(
            ip, FORWARDING_TIMEOUT_NS if self._voters.is_voter else LEARNER_FORWARDING_TIMEOUT_NS
        )

    def has_stable_contact(self, ip: str) -> bool:
        """Whether that voter's answer to a round may be counted on."""
        return self.is_ready(ip) and (
            ip == self.local_node.ip or self._out.now - self._contact_since.get(ip, 0) >= SETTLING_TIME_NS
        )

    def _has_contact_with_local(self, ip: str) -> bool:
        """False while that one tells that it doesn't: links may be cut one way."""
        return self.local_node.ip not in self.suspected_by.get(ip, ())

    def suspected_voters(self) -> tuple[str, ...]:
        """Voters not heard for a while."""
        return tuple(sorted(ip for ip in self._voters.ips if not self.is_alive(ip)))

    def has_quorum_contact(self) -> bool:
        return (
            self._voters.configuration is not None
            and (self._voters.can_vote or not self._voters.is_voter)
            and sum(self.is_alive(ip) and self._has_contact_with_local(ip) for ip in self._voters.ips)
            >= self._voters.quorum_size
        )

    def nearest_voter(self) -> str | None:
        """The nearest voter that is there."""
        return next(
            (ip for ip in self._voters.ips_by_proximity if ip != self.local_node.ip and self.is_ready(ip)),
            None,
        )

    def learners(self) -> list[str]:
        return [
            ip
            for ip in sorted(self.nodes)
            if ip not in self._voters.ips and self.is_alive(ip) and ip != self.local_node.ip
        ]

    def control_nodes(self) -> tuple[ControlNodeAddress, ...]:
        decision = self._voters.configuration
        found = (
            {one.ip: ControlNodeAddress(one.ip, one.zone, one.region) for one in decision.voters}
            if decision
            else {}
        )
        hears_all = self._voters.can_vote or len(self.nodes) <= FULL_MESH_MAX_NODES
        for one in self.nodes.values():
            if one.ip in found or not hears_all or self.is_alive(one.ip, LISTING_TIMEOUT_NS):
                found[one.ip] = ControlNodeAddress(one.ip, one.zone, one.region)
        return tuple(found[ip] for ip in sorted(found))
