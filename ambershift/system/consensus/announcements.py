"""Join announcements: how control nodes make themselves known, and exchange records and configurations."""

from __future__ import annotations

from collections.abc import Iterable

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.peer_directory import PeerDirectory
from ambershift.system.consensus.voters import VotingState
from ambershift.system.messages.replication import Announcement, NodeRecord, PeerList

UNKNOWN_CHECKSUM = -1  # Equals no checksum: its receiver answers with all records that it knows, its own too.


class Announcer:
    """Announces this node to others, and answers the announcements of others."""

    def __init__(self, effects: EffectBuffer, voters: VotingState, directory: PeerDirectory) -> None:
        """Announce the local node of that directory."""
        self._effects = effects
        self._voters = voters
        self._directory = directory

    def announce(self, ips: Iterable[str]) -> None:
        """Send this node's record to those nodes."""
        message = self._announcement(self._directory.checksum)
        for ip in ips:
            self._effects.send(ip, message)

    def request_peer_list(self, ip: str) -> None:
        """Announce this node so that the receiver answers with all records that it knows."""
        self._effects.send(ip, self._announcement(UNKNOWN_CHECKSUM))

    def update_local_node(self, record: NodeRecord) -> None:
        """Replace this node's own record, and announce it to all peers."""
        self._directory.update_local_node(record)
        self.announce(self._directory.peers())

    def send_newer_configuration(self, ip: str, epoch: int) -> None:
        """Send the voter configuration to a node that knows only that of an earlier epoch."""
        if self._voters.configuration is not None and epoch < self._voters.epoch:
            self._effects.send(ip, self._voters.configuration)

    def handle_announcement(self, sender: str, announcement: Announcement) -> None:
        """Merge the sender's record, and answer with what the sender lacks."""
        if announcement.node.ip == sender:
            self._directory.record_self_report(announcement.node)
            self._merge(announcement.node, is_self_report=True)
        if announcement.peers_checksum != self._directory.checksum:
            self._effects.send(sender, PeerList(tuple(self._directory.nodes.values())))
        self.send_newer_configuration(sender, announcement.epoch)

    def handle_peer_list(self, sender: str, message: PeerList) -> None:
        """Merge all records that the sender knows."""
        for record in message.nodes:
            if record.ip == sender:
                self._directory.record_self_report(record)
            self._merge(record, is_self_report=False)

    def _merge(self, record: NodeRecord, *, is_self_report: bool) -> None:
        superseding = self._directory.merge(record, is_self_report=is_self_report)
        if superseding is not None:
            self.update_local_node(superseding)

    def _announcement(self, peers_checksum: int) -> Announcement:
        return Announcement(self._directory.local_node, self._voters.epoch, peers_checksum)
