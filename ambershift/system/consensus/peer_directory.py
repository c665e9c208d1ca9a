"""The peer directory: which control nodes there are, by the records that they announce of themselves.

Records spread by gossip. The newest `version` of a record wins; only the node itself raises its version.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

import msgspec

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.voters import VotingState, includes_disk
from ambershift.system.messages.replication import NodeRecord

_encode = msgspec.msgpack.Encoder().encode


class PeerDirectory:
    """All control nodes known here, this one included.

    Attributes:
        nodes: The newest record of each node, by ip.
        self_reported_disks: Disk ids that nodes have reported themselves since the voters last changed, by
            ip. An older report may name a disk that this very change replaced: chosen again, it would name
            a voter that doesn't exist.
        last_newcomer_at: When a node, or a node's new disk, was last learned of, in steady ns.
        checksum: CRC-32 of all records. Nodes with equal checksums need not exchange them.
    """

    def __init__(self, effects: EffectBuffer, voters: VotingState, seed_ips: Sequence[str]) -> None:
        """Start with this node's own record only.

        Args:
            effects: Gives the time.
            voters: The voters, and this node's own record.
            seed_ips: Control nodes that the settings name.
        """
        self._effects = effects
        self._voters = voters
        self._seed_ips = tuple(seed_ips)
        self.nodes: dict[str, NodeRecord] = {voters.local_node.ip: voters.local_node}
        self.self_reported_disks: dict[str, int] = {}
        self.last_newcomer_at = effects.now
        self.checksum = self._compute_checksum()

    def _compute_checksum(self) -> int:
        return crc32(_encode([self.nodes[ip] for ip in sorted(self.nodes)]))

    @property
    def local_node(self) -> NodeRecord:
        """This node's own record."""
        return self._voters.local_node

    @property
    def is_bootstrapped(self) -> bool:
        """Whether any voters are known here."""
        return self._voters.configuration is not None

    def peers(self) -> list[str]:
        """Return the ips of all other nodes that may exist: known ones, voters and seeds, sorted."""
        return sorted({*self.nodes, *self._voters.ips, *self._seed_ips} - {self.local_node.ip})

    def update_local_node(self, record: NodeRecord) -> None:
        """Replace this node's own record."""
        self._voters.local_node = record
        self.nodes[record.ip] = record
        self.checksum = self._compute_checksum()

    def record_self_report(self, record: NodeRecord) -> None:
        """Note the disk that a node has reported of itself."""
        self.self_reported_disks[record.ip] = record.disk_id

    def merge(self, record: NodeRecord, *, is_self_report: bool) -> NodeRecord | None:
        """Keep a record of another node if it is newer than the one known here.

        Args:
            record: The record received.
            is_self_report: Whether the node itself announced it. Such a record wins over another one of the
                same version: the node's own disk is the authority.

        Returns:
            The record with which this node has to supersede the one received, if that one is about this
            node and isn't what it says of itself (it was started with another disk); otherwise None.
        """
        known = self.nodes.get(record.ip)
        local = self.local_node
        if record.ip == local.ip:
            if record != local and record.version >= local.version:
                return msgspec.structs.replace(local, version=record.version + 1)
        elif (
            known is None
            or record.version > known.version
            or (is_self_report and record.version == known.version and record != known)
        ):
            if known is None or known.disk_id != record.disk_id:
                self.last_newcomer_at = self._effects.now
            self.nodes[record.ip] = record
            self.checksum = self._compute_checksum()
        return None

    def handle_configuration_change(self) -> None:
        """Forget what nodes reported of themselves under the voters before."""
        self.self_reported_disks.clear()

    def unconfirmed_replacements(self) -> list[str]:
        """Return the ips of voters known with another disk, though they haven't reported it themselves."""
        configuration = self._voters.configuration
        return [
            voter.ip
            for voter in (configuration.voters if configuration else ())
            if voter.ip in self.nodes
            and self.nodes[voter.ip].disk_id != voter.disk_id
            and voter.ip not in self.self_reported_disks
        ]

    def has_lost_voting_disk(self, ip: str) -> bool:
        """Return whether that node is known to run with another disk than the one it votes with."""
        configuration = self._voters.configuration
        record = self.nodes.get(ip)
        if configuration is None or record is None:
            return False
        return not includes_disk(configuration.voters, ip, record.disk_id)
