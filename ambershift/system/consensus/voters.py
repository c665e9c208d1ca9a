"""Who votes, and whether this machine may: the newest decision known, and how far its copy is complete."""

from __future__ import annotations

import msgspec

from ambershift.system.consensus import quorum
from ambershift.system.consensus.write_queue import Journal
from ambershift.system.messages.replication import NodeRecord, Voter, VoterConfiguration

TABLE = "meta"
_encode = msgspec.msgpack.Encoder().encode
_decision = msgspec.msgpack.Decoder(VoterConfiguration).decode
FOUNDER = 0  # The birth of the disks of those that the first settings name: they know each other's.


def holds(members: tuple[Voter, ...], ip: str, birth: int) -> bool:
    return any(one.ip == ip and one.birth == birth for one in members)


class Voters:
    """`whole` is the highest epoch before which nothing was held that isn't held here."""

    def __init__(self, journal: Journal, me: NodeRecord, rows: dict[str, bytes]) -> None:
        self._journal = journal
        self.me = me
        self.decision: VoterConfiguration | None = None
        self.whole = int(rows.get("whole", b"0"))
        self._near: tuple[str, ...] = ()
        self._ips: frozenset[str] = frozenset()
        self.member = False  # Whether this machine, with this disk, is one of the voters.
        if "decision" in rows:
            self._take(_decision(rows["decision"]))

    def _take(self, decision: VoterConfiguration) -> None:
        self.decision = decision
        self._near = tuple(
            one.ip for one in quorum.nearest(self.me.ip, self.me.zone, self.me.region, decision.voters)
        )
        self._ips = frozenset(self._near)
        self.member = holds(decision.voters, self.me.ip, self.me.birth)

    def found(self, ips: tuple[str, ...]) -> None:
        """The first set: those that the first settings name (their zones aren't known yet). Nothing was held
        before, so all are whole."""
        members = tuple(Voter(ip, "", "", FOUNDER) for ip in sorted(set(ips)))
        self.adopt(VoterConfiguration(1, members, ()))
        self.complete()

    @property
    def epoch(self) -> int:
        return 0 if self.decision is None else self.decision.epoch

    @property
    def ips(self) -> frozenset[str]:
        return self._ips

    @property
    def near(self) -> tuple[str, ...]:
        """Voters' ips, the nearest (itself) first."""
        return self._near

    @property
    def enough(self) -> int:
        return quorum.majority(len(self._near))

    @property
    def voting(self) -> bool:
        return self.member and self.whole >= self.epoch

    def adopt(self, decision: VoterConfiguration) -> bool:
        """Take a newer decision: what belongs to an earlier epoch is refused from here on (sealed)."""
        if decision.epoch <= self.epoch:
            return False
        self._take(decision)
        self._journal.put(TABLE, "decision", _encode(decision))
        return True

    def complete(self) -> None:
        self.whole = self.epoch
        self._journal.put(TABLE, "whole", str(self.whole).encode())
