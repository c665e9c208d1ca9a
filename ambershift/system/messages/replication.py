"""What control nodes tell each other of items, registers, voters and themselves. Owned by `consensus/`.

Fields that each message carries come first and are small numbers, as bytes between regions are dear. `epoch`
is that of the voters whose counting the message belongs to, `number` the sender's round; answers repeat both.
"""

from __future__ import annotations

import enum

import msgspec

from ambershift.system.messages.items import Item

# Counter, and the life of the proposing process: no process uses a ballot that another life has used.
Ballot = tuple[int, int]
ZERO_BALLOT: Ballot = (0, 0)


class Voter(msgspec.Struct, frozen=True, array_like=True):
    """A voter. `birth` is its disk's: with an empty disk it comes back as another member."""

    ip: str
    zone: str
    region: str
    disk_id: int


class VoterConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="cv"):
    """Who votes in `epoch`, as agreed by the voters before, `before`."""

    epoch: int
    voters: tuple[Voter, ...]
    previous_voters: tuple[Voter, ...]


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A control node of itself. `version` rises when it finds another word of itself among others.

    `initial` until it has voted: it belongs to the first set and is taken in without replacing another.
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
        return Voter(self.ip, self.zone, self.region, self.disk_id)


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag="ck"):
    """Here I am; `known` is a checksum of all machines that I know."""

    node: NodeRecord
    epoch: int
    peers_checksum: int


class PeerList(msgspec.Struct, frozen=True, array_like=True, tag="cn"):
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
    """Sign of life. `items` and `known` are checksums; `silent` are the voters not heard for a while;
    `state` is the sum of the flags below."""

    epoch: int
    items_checksum: int
    peers_checksum: int
    suspected: tuple[str, ...]
    flags: int = 0


class MergeItems(msgspec.Struct, frozen=True, array_like=True, tag="cm"):
    """Merge these, sync, and answer `Acknowledgement`. `tombstone_batch`: the last one of
    `messages/tombstones.py` that the sender knows."""

    epoch: int
    request_id: int
    items: tuple[Item, ...]
    tombstone_batch: int = 0


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True, tag="cy"):
    """Yes to a merge or accept (it is synced), or to a confirm."""

    epoch: int
    request_id: int


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="cr"):
    """No: a ballot of this counter was promised."""

    epoch: int
    request_id: int
    promised_counter: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="cp"):
    """`have` is the accepted ballot whose value the proposer holds: it need not be told."""

    epoch: int
    request_id: int
    register: str
    ballot: Ballot
    known_accepted: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="cq"):
    """Nothing below the ballot is accepted any more (synced). `value` is None where it need not be told."""

    epoch: int
    request_id: int
    accepted_ballot: Ballot
    origin_ballot: Ballot
    value: bytes | None


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="ca"):
    """Accept, sync, and promise the ballot after (counter + 1, same life) to its proposer.

    With a `base`, `body` is the difference from the value accepted there, None for the same value; without,
    it is the whole value. `origin` is the ballot of the change that made the value (None: this one).
    """

    epoch: int
    request_id: int
    register: str
    ballot: Ballot
    origin_ballot: Ballot | None
    base_ballot: Ballot | None
    value_or_delta: bytes | None


class MissingBase(msgspec.Struct, frozen=True, array_like=True, tag="cl"):
    """The base isn't held here: tell the whole value."""

    epoch: int
    request_id: int


class ConfirmBallot(msgspec.Struct, frozen=True, array_like=True, tag="ce"):
    """Is this still the highest ballot promised?"""

    epoch: int
    request_id: int
    register: str
    ballot: Ballot


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor holds of a register. `origin` is the ballot of the change that made the value."""

    promised_ballot: Ballot
    accepted_ballot: Ballot
    origin_ballot: Ballot
    value: bytes | None


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag="cs"):
    """Tell what you hold that differs. `items`: a digest of 8 bytes over all, or of 8 for each bucket.
    `registers`: the ballots promised and accepted here; None where registers aren't wanted."""

    epoch: int
    request_id: int
    item_digests: bytes
    register_ballots: dict[str, tuple[Ballot, Ballot]] | None


class SyncResponse(msgspec.Struct, frozen=True, array_like=True, tag="ct"):
    """Items of the buckets that differ and all registers promised or accepted higher, in `parts` messages.

    Where only a digest over all was told and differs, `unequal` asks for those of the buckets. `whole`: what
    was held before that epoch is all here. `batch`: as of a `MergeItems`."""

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
