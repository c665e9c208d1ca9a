"""Who votes, and whether this node may: the newest voter configuration, and how complete the copy is."""

from __future__ import annotations

import msgspec

from ambershift.system.consensus import quorum
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.messages.replication import NodeRecord, Voter, VoterConfiguration

TABLE = "meta"
# Keys of the table. They are on disks, so they keep the names that they were first written with.
CONFIGURATION_KEY = "decision"
COMPLETE_EPOCH_KEY = "whole"
# The disk id of the nodes that the first settings name: each knows it of the others without being told.
FOUNDER_DISK_ID = 0
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterConfiguration).decode


def includes_disk(voters: tuple[Voter, ...], ip: str, disk_id: int) -> bool:
    """Return whether the node with that ip votes with that disk."""
    return any(voter.ip == ip and voter.disk_id == disk_id for voter in voters)


class VotingState:
    """The voters, and what this node may do among them.

    Attributes:
        local_node: This node's own record.
        configuration: The newest configuration known; None before the first one.
        complete_epoch: The highest epoch before which nothing was committed that isn't stored here.
        is_voter: Whether this node, with this disk, is one of the voters.
    """

    def __init__(self, write_queue: WriteQueue, local_node: NodeRecord, rows: dict[str, bytes]) -> None:
        """Start with what is on disk.

        Args:
            write_queue: Takes what must be on disk.
            local_node: This node's own record.
            rows: The rows of `TABLE`, by key.
        """
        self._write_queue = write_queue
        self.local_node = local_node
        self.configuration: VoterConfiguration | None = None
        self.complete_epoch = int(rows.get(COMPLETE_EPOCH_KEY, b"0"))
        self.is_voter = False
        self._ips_by_proximity: tuple[str, ...] = ()
        self._ips: frozenset[str] = frozenset()
        if CONFIGURATION_KEY in rows:
            self._apply(_decode(rows[CONFIGURATION_KEY]))

    def _apply(self, configuration: VoterConfiguration) -> None:
        self.configuration = configuration
        local = self.local_node
        by_proximity = quorum.sort_by_proximity(local.ip, local.zone, local.region, configuration.voters)
        self._ips_by_proximity = tuple(voter.ip for voter in by_proximity)
        self._ips = frozenset(self._ips_by_proximity)
        self.is_voter = includes_disk(configuration.voters, local.ip, local.disk_id)

    def bootstrap(self, ips: tuple[str, ...]) -> None:
        """Adopt the first configuration: the nodes that the first settings name.

        Their zones aren't known yet. Nothing was committed before, so all of them are complete.
        """
        voters = tuple(Voter(ip, "", "", FOUNDER_DISK_ID) for ip in sorted(set(ips)))
        self.adopt(VoterConfiguration(1, voters, ()))
        self.mark_complete()

    @property
    def epoch(self) -> int:
        """The epoch of the configuration; 0 before the first one."""
        return 0 if self.configuration is None else self.configuration.epoch

    @property
    def ips(self) -> frozenset[str]:
        """The ips of all voters."""
        return self._ips

    @property
    def ips_by_proximity(self) -> tuple[str, ...]:
        """The ips of all voters, the nearest (this node, if it votes) first."""
        return self._ips_by_proximity

    @property
    def quorum_size(self) -> int:
        """How many voters are a majority."""
        return quorum.majority(len(self._ips_by_proximity))

    @property
    def can_vote(self) -> bool:
        """Whether this node is a voter and complete."""
        return self.is_voter and self.complete_epoch >= self.epoch

    def adopt(self, configuration: VoterConfiguration) -> bool:
        """Take a newer configuration; messages of earlier epochs are rejected from here on.

        Returns:
            False if it isn't newer than the one known.
        """
        if configuration.epoch <= self.epoch:
            return False
        self._apply(configuration)
        self._write_queue.put(TABLE, CONFIGURATION_KEY, _encode(configuration))
        return True

    def mark_complete(self) -> None:
        """Note that all that was committed before this epoch is stored here."""
        self.complete_epoch = self.epoch
        self._write_queue.put(TABLE, COMPLETE_EPOCH_KEY, str(self.complete_epoch).encode())
