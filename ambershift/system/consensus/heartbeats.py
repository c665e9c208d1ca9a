"""Heartbeats between control nodes: when they are sent, and what follows from one that is received.

A heartbeat carries checksums of the sender's items and records. Differing ones start a repair: of records by
an announcement, of items by anti-entropy. Equal item checksums renew the contact lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from ambershift.system.consensus.announcements import Announcer
from ambershift.system.consensus.contact_lease import ContactLease
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.failure_detector import FailureDetector
from ambershift.system.consensus.item_store import ItemStore
from ambershift.system.consensus.peer_directory import PeerDirectory
from ambershift.system.consensus.quorum import choose_watchers
from ambershift.system.consensus.voters import VotingState
from ambershift.system.messages.replication import Heartbeat, HeartbeatFlag
from ambershift.system.state_machine import NS_PER_MS

HEARTBEAT_INTERVAL_NS = 300 * NS_PER_MS
DIVERGENT_HEARTBEATS_MIN = 2  # One may differ just because a write is on its way to both.


class HeartbeatExchange:
    """Sends this node's heartbeats, and evaluates those of others."""

    def __init__(
        self,
        effects: EffectBuffer,
        voters: VotingState,
        *,
        store: ItemStore,
        directory: PeerDirectory,
        failure_detector: FailureDetector,
        announcer: Announcer,
        contact_lease: ContactLease,
    ) -> None:
        """Send the first heartbeats with the next tick."""
        self._effects = effects
        self._voters = voters
        self._store = store
        self._directory = directory
        self._failure_detector = failure_detector
        self._announcer = announcer
        self._contact_lease = contact_lease
        self._divergent_heartbeats: dict[str, int] = {}
        self._last_sent_at: dict[str, int] = {}
        self._next_at = effects.now

    def handle_heartbeat(self, sender: str, heartbeat: Heartbeat) -> str | None:
        """Evaluate a heartbeat, and answer with what its sender lacks.

        Returns:
            The sender if its items have differed for two heartbeats: anti-entropy should fetch from it.
        """
        self._failure_detector.record_heartbeat(sender, heartbeat)
        if heartbeat.peers_checksum != self._directory.checksum:
            self._announcer.announce([sender])
        self._announcer.send_newer_configuration(sender, heartbeat.epoch)
        if self._effects.now - self._last_sent_at.get(sender, 0) > 2 * HEARTBEAT_INTERVAL_NS:
            # The sender watches this node, which needn't watch the sender. Without an answer it would
            # suspect this node.
            self._send([sender])
        if heartbeat.items_checksum == self._store.buckets.total:
            self._divergent_heartbeats.pop(sender, None)
            if heartbeat.epoch == self._voters.epoch and heartbeat.flags & HeartbeatFlag.COMPLETE:
                self._contact_lease.record_matching_heartbeat(sender)
            return None
        count = self._divergent_heartbeats.get(sender, 0) + 1
        self._divergent_heartbeats[sender] = count
        return sender if count >= DIVERGENT_HEARTBEATS_MIN else None

    def handle_connected(self, ip: str) -> None:
        """Show a node whose link has just come up that this one is alive."""
        if self._is_acquainted(ip):
            self._send([ip])
        else:
            self._announcer.announce([ip])

    def tick(self) -> None:
        """Send heartbeats when due: at each interval, and at once after a change of this node's status."""
        if self._failure_detector.update_local_status():
            # All should learn it at the same moment: with differing views two nodes would propose for one
            # register.
            self._next_at = self._effects.now
        if self._effects.now < self._next_at:
            return
        self._next_at = self._effects.now + HEARTBEAT_INTERVAL_NS
        local_ip = self._directory.local_node.ip
        peers = self._directory.peers()
        watched = {*choose_watchers(local_ip, peers), *self._voters.ips} - {local_ip}
        # A node without a record here needs an announcement. What known nodes lack, their heartbeats show.
        unacquainted = [ip for ip in peers if not self._is_acquainted(ip)]
        self._announcer.announce(unacquainted)
        for ip in self._directory.unconfirmed_replacements():
            self._announcer.request_peer_list(ip)
        self._send(sorted(watched - set(unacquainted)))

    def _is_acquainted(self, ip: str) -> bool:
        """Return whether a heartbeat says enough to that node: it is known, and so are the voters."""
        return ip in self._directory.nodes and self._directory.is_bootstrapped

    def _send(self, ips: Iterable[str]) -> None:
        message = Heartbeat(
            self._voters.epoch,
            self._store.buckets.total,
            self._directory.checksum,
            self._failure_detector.suspected_voters(),
            int(self._failure_detector.local_flags()),
        )
        for ip in ips:
            self._last_sent_at[ip] = self._effects.now
            self._effects.send(ip, message)
