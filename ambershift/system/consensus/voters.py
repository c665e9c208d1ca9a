"""Who votes, and whether this machine may: the newest decision known, and how far its copy is complete."""

from __future__ import annotations

import msgspec

from ambershift.system.consensus import quorum
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.messages.replication import NodeRecord, Voter, VoterConfiguration

TABLE = "meta"
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterConfiguration).decode
FOUNDER_DISK_ID = 0  # The birth of the disks of those that the first settings name: they know each other's.


def includes_disk(members: tuple[Voter, ...], ip: str, birth: int) -> bool:
    return any(one.ip == ip and one.disk_id == birth for one in members)


class VotingState:
    """`whole` is the highest epoch before which nothing was held that isn't held here."""

    def __init__(self, journal: WriteQueue, me: NodeRecord, rows: dict[str, bytes]) -> None:
        self._journal = journal
        self.local_node = me
        self.configuration: VoterConfiguration | None = None
        self.complete_epoch = int(rows.get("whole", b"0"))
        self._ips_by_proximity: tuple[str, ...] = ()
        self._ips: frozenset[str] = frozenset()
        self.is_voter = False  # Whether this machine, with this disk, is one of the voters.
        if "decision" in rows:
            self._apply(_decode(rows["decision"]))

    def _apply(self, decision: VoterConfiguration) -> None:
        self.configuration = decision
        self._ips_by_proximity = tuple(
            one.ip
            for one in quorum.sort_by_proximity(
                self.local_node.ip, self.local_node.zone, self.local_node.region, decision.voters
            )
        )
        self._ips = frozenset(self._ips_by_proximity)
        self.is_voter = includes_disk(decision.voters, self.local_node.ip, self.local_node.disk_id)

    def bootstrap(self, ips: tuple[str, ...]) -> None:
        """The first set: those that the first settings name (their zones aren't known yet). Nothing was held
        before, so all are whole."""
        members = tuple(Voter(ip, "", "", FOUNDER_DISK_ID) for ip in sorted(set(ips)))
        self.adopt(VoterConfiguration(1, members, ()))
        self.mark_complete()

    @property
    def epoch(self) -> int:
        return 0 if self.configuration is None else self.configuration.epoch

    @property
    def ips(self) -> frozenset[str]:
        return self._ips

    @property
    def ips_by_proximity(self) -> tuple[str, ...]:
        """Voters' ips, the nearest (itself) first."""
        return self._ips_by_proximity

    @property
    def quorum_size(self) -> int:
        return quorum.majority(len(self._ips_by_proximity))

    @property
    def can_vote(self) -> bool:
        return self.is_voter and self.complete_epoch >= self.epoch

    def adopt(self, decision: VoterConfiguration) -> bool:
        """Take a newer decision: what belongs to an earlier epoch is refused from here on (sealed)."""
        if decision.epoch <= self.epoch:
            return False
        self._apply(decision)
        self._journal.put(TABLE, "decision", _encode(decision))
        return True

    def mark_complete(self) -> None:
        self.complete_epoch = self.epoch
        self._journal.put(TABLE, "whole", str(self.complete_epoch).encode())
