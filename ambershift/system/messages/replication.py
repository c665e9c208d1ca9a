"""Messages of replication between control nodes: heartbeats, items, registers and voters.

Used by `consensus/`. Each node merges items by version; registers are agreed by CASPaxos (Rystsov, 2018)
among the voters. Fields that each message carries come first and are small numbers, since bytes between
regions are expensive: `epoch` is that of the voters whose majority is asked, `request_id` the sender's round,
which replies repeat. Tags and the order of the fields are the wire format.
"""

from __future__ import annotations

import enum

import msgspec

from ambershift.system.messages.items import Item

# Counter, and the incarnation of the proposing process: no incarnation uses a ballot of another one.
Ballot = tuple[int, int]
ZERO_BALLOT: Ballot = (0, 0)


class Voter(msgspec.Struct, frozen=True, array_like=True):
    """A control node that votes.

    Attributes:
        disk_id: Identifies its disk: a node that returns with an empty disk is another voter.
    """

    ip: str
    zone: str
    region: str
    disk_id: int


class VoterConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="cv"):
    """Which control nodes vote.

    Attributes:
        epoch: Rises by one with each configuration.
        voters: Those of this epoch.
        previous_voters: Those of the epoch before, which have agreed on this one.
    """

    epoch: int
    voters: tuple[Voter, ...]
    previous_voters: tuple[Voter, ...]


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A control node, as it describes itself.

    Attributes:
        version: Rises when the node finds an outdated record of itself among its peers.
        initial: Whether it has not voted yet and belongs to the first voters; it joins without replacing a
            voter.
        counted: The setting `SelfEntity.Counted`.
    """

    ip: str
    zone: str
    region: str
    disk_id: int
    version: int
    initial: bool
    counted: bool

    @property
    def voter(self) -> Voter:
        """The voter that this node would be."""
        return Voter(self.ip, self.zone, self.region, self.disk_id)


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag="ck"):
    """Introduces the sender to a peer.

    Attributes:
        peers_checksum: Checksum of all records of nodes that the sender has. A peer with another one replies
            with a `PeerList`.
    """

    node: NodeRecord
    epoch: int
    peers_checksum: int


class PeerList(msgspec.Struct, frozen=True, array_like=True, tag="cn"):
    """All records of nodes that the sender has."""

    nodes: tuple[NodeRecord, ...]


class HeartbeatFlag(enum.IntFlag):
    """What a node says of itself in its heartbeats.

    Attributes:
        SETTLED: A voter that has run without a pause for a while.
        COMPLETE: A voter of the heartbeat's epoch that has all that was committed before it.
        LEAVING: The process is about to end.
    """

    SETTLED = 1
    COMPLETE = 2
    LEAVING = 4


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="cb"):
    """Sent to each peer at a steady interval.

    Attributes:
        items_checksum: Checksum of the items that the sender stores.
        peers_checksum: Checksum of the records of nodes that it has.
        suspected: Ips of the voters from which it has received nothing for the suspicion time-out.
        flags: Sum of `HeartbeatFlag` values.
    """

    epoch: int
    items_checksum: int
    peers_checksum: int
    suspected: tuple[str, ...]
    flags: int = 0


class MergeItems(msgspec.Struct, frozen=True, array_like=True, tag="cm"):
    """Merge these items and sync them to disk; the reply is an `Acknowledgement`.

    Attributes:
        tombstone_batch: The last batch of collected tombstones that the sender knows
            (`messages/tombstones.py`).
    """

    epoch: int
    request_id: int
    items: tuple[Item, ...]
    tombstone_batch: int = 0


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True, tag="cy"):
    """The positive reply to a `MergeItems` or an `Accept`, which is synced, or to a `ConfirmBallot`."""

    epoch: int
    request_id: int


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="cr"):
    """The negative reply to a request with a ballot: a higher one was promised.

    Attributes:
        promised_counter: Counter of that ballot.
    """

    epoch: int
    request_id: int
    promised_counter: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="cp"):
    """Phase 1 of Paxos for one register: asks for a promise.

    Attributes:
        ballot: The proposer's ballot.
        known_accepted: The accepted ballot whose value the proposer has, so that it need not be sent.
    """

    epoch: int
    request_id: int
    register: str
    ballot: Ballot
    known_accepted: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="cq"):
    """The reply to `Prepare`: no lower ballot will be accepted. The promise is synced.

    Attributes:
        accepted_ballot: The ballot accepted last.
        origin_ballot: The ballot of the change that made its value.
        value: Its value; None if the proposer has it, or if there is none.
    """

    epoch: int
    request_id: int
    accepted_ballot: Ballot
    origin_ballot: Ballot
    value: bytes | None


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="ca"):
    """Phase 2 of Paxos: accept, sync, and promise the proposer the next ballot.

    The next ballot has a counter higher by one and the same incarnation, so that a proposer's next change
    needs no phase 1.

    Attributes:
        origin_ballot: The ballot of the change that made the value; None if it is this ballot.
        base_ballot: The accepted ballot that `value_or_delta` is a difference to; None if it is a full value.
        value_or_delta: With a base the difference, None if the value is the same.
    """

    epoch: int
    request_id: int
    register: str
    ballot: Ballot
    origin_ballot: Ballot | None
    base_ballot: Ballot | None
    value_or_delta: bytes | None


class MissingBase(msgspec.Struct, frozen=True, array_like=True, tag="cl"):
    """The reply to an `Accept` whose base the acceptor doesn't have: send the full value."""

    epoch: int
    request_id: int


class ConfirmBallot(msgspec.Struct, frozen=True, array_like=True, tag="ce"):
    """Asks whether this is still the highest ballot promised: a quorum read."""

    epoch: int
    request_id: int
    register: str
    ballot: Ballot


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor stores of a register.

    Attributes:
        origin_ballot: The ballot of the change that made the value.
    """

    promised_ballot: Ballot
    accepted_ballot: Ballot
    origin_ballot: Ballot
    value: bytes | None


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag="cs"):
    """Anti-entropy: asks for what the receiver has that differs.

    Attributes:
        item_digests: One digest of 8 bytes over all items, or one for each bucket.
        register_ballots: The ballots promised and accepted here, by register; None if registers aren't
            wanted.
    """

    epoch: int
    request_id: int
    item_digests: bytes
    register_ballots: dict[str, tuple[Ballot, Ballot]] | None


class SyncResponse(msgspec.Struct, frozen=True, array_like=True, tag="ct"):
    """Anti-entropy: the items of the buckets that differ, and the registers with a higher ballot.

    Attributes:
        complete_epoch: All that was committed before this epoch is stored at the sender.
        disk_id: The sender's disk.
        part_index: Number of this message among the `part_count` of the response, from 0.
        wants_bucket_digests: Whether the one digest over all items differs, so that the request has to be
            sent again with the digests of the buckets.
        tombstone_batch: As in `MergeItems`.
    """

    epoch: int
    request_id: int
    complete_epoch: int
    disk_id: int
    part_index: int
    part_count: int
    wants_bucket_digests: bool
    items: tuple[Item, ...]
    registers: tuple[tuple[str, AcceptorState], ...]
    tombstone_batch: int = 0
