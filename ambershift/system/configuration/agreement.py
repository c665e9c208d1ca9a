"""Agreement on the operator's items: one register decides, call by call, which content each version has.

The register `REGISTER` has an `Agreement` as its value: the items agreed last, and how many were agreed
before them and are stored by a majority. A call is decided against what the proposing node stores, with the
items of the register merged into it. That is the newest state, provided that the node stores all items that
the register no longer lists. A node that may lack some of them gets `Behind`, reads the stores of a majority
and decides again. So a call is decided as a whole, and an outdated replica decides nothing.

Only items that were agreed here are ever written to a store. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from ambershift.system.configuration.change_request import Order, same_content
from ambershift.system.configuration.errors import Fault
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.items import OPERATOR_AUTHOR, Item, Key
from ambershift.system.messages.tombstones import COLLECTED_TOMBSTONES_KEY, collected_tombstones_of

REGISTER = "configuration"
NOTHING_READ = -1  # Below every number of settled items.
SUPERSEDED_MOST = 128
REFUSED_MOST = 64
DIGEST_SIZE = 8  # Bytes.


class Superseded(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A version of an item that a higher version has superseded.

    Attributes:
        digest: Digest of the content of that version.
    """

    kind: str
    name: str
    version: int
    digest: bytes


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A call that was rejected.

    Attributes:
        digest: Digest of the call.
        conflict: Whether it was rejected for a conflict, else as invalid.
    """

    digest: bytes
    conflict: bool


class Agreement(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """The value of the register.

    Attributes:
        settled: How many items were agreed before `recent` and are stored by a majority.
        recent: The items agreed after these, oldest first.
        superseded: The versions superseded last, so that a call that repeats one of them is checked against
            its content. A call under an older one is acknowledged whatever its content, as it changes
            nothing.
        refused: The calls rejected last. A copy of a call may still be on its way, and what was invalid may
            become valid: a call that was rejected must not come into force by a copy.
    """

    settled: int
    recent: tuple[Item, ...]
    superseded: tuple[Superseded, ...] = ()
    refused: tuple[Refusal, ...] = ()

    @property
    def end(self) -> int:
        """How many items were agreed so far. It never falls."""
        return self.settled + len(self.recent)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The call is agreed. It is acknowledged once a majority stores `to_store`.

    Attributes:
        to_store: The items to be written.
        end: How many of the first agreed items a majority stores after that.
    """

    to_store: tuple[Item, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing of the call is agreed: other content was agreed under a version that it names.

    Attributes:
        items: The items of the call that differ; none if the call was rejected for a conflict before.
    """

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Invalid:
    """Nothing of the call is agreed: with the configuration in force it isn't valid."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Behind:
    """Not decided: the store here may lack some of the `settled` items. Read a majority's and retry."""

    settled: int


@dataclass(frozen=True, slots=True)
class BelowFloor:
    """Not decided and nothing written: the call has undecidable items.

    They, or services that they refer to, may be new, or may have been dropped so long ago that the tombstones
    have been collected (`messages/tombstones.py`). A late copy of an acknowledged call must not be rejected,
    and an invalid call must not be acknowledged.

    Attributes:
        items: The undecidable items.
        floor: The collected-up-to version.
    """

    items: tuple[Item, ...]
    floor: int


REFUSED_BEFORE = Fault("", "", "was refused before; send what is wanted now under higher versions")

Outcome = Accepted | Conflict | Invalid | Behind | BelowFloor

_decode = msgspec.msgpack.Decoder(Agreement).decode
_encode = msgspec.msgpack.Encoder().encode
_sorted = msgspec.json.Encoder(order="sorted").encode


def read_agreement(value: bytes | None) -> Agreement:
    """Decode the register's value; before its first write what the stores have counts as agreed."""
    return Agreement(0, ()) if value is None else _decode(value)


@dataclass(slots=True)
class Progress:
    """What one process knows of the stores, as numbers of agreed items. Both numbers never fall.

    Attributes:
        read: The store here has the first so many.
        stored: The stores of a majority have the first so many.
    """

    read: int = NOTHING_READ
    stored: int = 0

    def has_read(self, settled: int) -> None:
        """Record that the store here has read the first `settled` items from a majority."""
        self.read = max(self.read, settled)

    def has_stored(self, end: int) -> None:
        """Record that a write through this node has stored the first `end` items at a majority and here."""
        self.stored = max(self.stored, end)
        self.has_read(end)


class Proposal:
    """A change request proposed by one node; called, it is the change function of the register.

    The result of the change is an `Outcome`.

    Attributes:
        tried: Whether a run of it was to write something. Even if a later run decides otherwise, since
            another node's write came between, that value may have been agreed.
    """

    def __init__(self, order: Order, progress: Progress, held: Mapping[Key, Item]) -> None:
        """Create a proposal.

        Args:
            order: The change request.
            progress: What this process knows of the stores.
            held: A view of the items that this node stores, read at each run of the change.
        """
        self._order, self._progress, self._held = order, progress, held
        self.tried = False

    def __call__(self, value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
        """Decide the request against the register's value; see `interfaces.ChangeFunction`."""
        agreement = read_agreement(value)
        if agreement.settled > self._progress.read:
            return ChangeOutcome(None, Behind(agreement.settled))
        after, outcome = decide(self._order, agreement, self._progress, self._held)
        if after == agreement:
            return ChangeOutcome(None, outcome)
        self.tried = True
        return ChangeOutcome(_encode(after), outcome)


def decide(
    order: Order, agreement: Agreement, progress: Progress, held: Mapping[Key, Item]
) -> tuple[Agreement, Outcome]:
    """The agreement after a change request, and the outcome for its caller."""
    digest = digest_of(order)
    refused = next((one for one in agreement.refused if one.digest == digest), None)
    standing = {**held, **_by_key(agreement.recent, held)}
    overtaken = {(one.kind, one.name, one.version): one.digest for one in agreement.superseded}
    forgotten = collected_tombstones_of(held.get(COLLECTED_TOMBSTONES_KEY))
    fresh: list[Item] = []
    superseded: list[Superseded] = []
    conflicts: list[Item] = []
    for item in order.items:
        known = standing.get(item.key)
        if known is None or known.version[0] < item.version[0]:
            fresh.append(msgspec.structs.replace(item, version=(item.version[0], OPERATOR_AUTHOR)))
            superseded += [_superseded(known)] if known is not None else []
        elif known.version[0] == item.version[0]:
            conflicts += [] if same_content(known, item) else [item]
        else:
            mine = _superseded(item)
            stands_for = overtaken.get((mine.kind, mine.name, mine.version))
            superseded += [mine] if stands_for is None else []
            conflicts += [item] if stands_for not in (None, mine.digest) else []
    if conflicts or (refused is not None and refused.conflict):
        after = agreement if refused is not None else _refusing(agreement, Refusal(digest, True))
        return after, Conflict(tuple(conflicts))
    if refused is not None:
        return agreement, Invalid((REFUSED_BEFORE,))
    if forgotten.batch and (unclear := order.unclear(standing, forgotten.highest_version, overtaken)):
        return agreement, BelowFloor(unclear, forgotten.highest_version)
    if found := order.unknown(standing):
        return _refusing(agreement, Refusal(digest, False)), Invalid(found)
    if not fresh and not superseded:
        return agreement, _accepted(order, agreement, progress, standing)
    settled = max(agreement.settled, min(progress.stored, agreement.end))
    kept = agreement.recent[settled - agreement.settled :]
    listed = (*agreement.superseded, *superseded)[-SUPERSEDED_MOST:]
    after = Agreement(settled, (*kept, *fresh), listed, agreement.refused)
    return after, _accepted(order, after, progress, standing)


def digest_of(order: Order) -> bytes:
    """The digest of a change request, equal for each copy of the call."""
    found = blake2b(digest_size=DIGEST_SIZE)
    for one in sorted(map(_superseded, order.items)):
        found.update(_encode(one))
    return found.digest()


def _refusing(agreement: Agreement, refusal: Refusal) -> Agreement:
    refused = (*agreement.refused, refusal)[-REFUSED_MOST:]
    return msgspec.structs.replace(agreement, refused=refused)


def _superseded(item: Item) -> Superseded:
    content = b"" if item.body is None else _sorted(msgspec.json.decode(item.body))
    digest = blake2b(content, digest_size=DIGEST_SIZE).digest()
    return Superseded(item.kind, item.name, item.version[0], digest)


def _by_key(recent: tuple[Item, ...], held: Mapping[Key, Item]) -> dict[Key, Item]:
    """The newest of the recently agreed items of each key, unless the store has a newer one already."""
    found: dict[Key, Item] = {}
    for item in recent:
        known = found.get(item.key) or held.get(item.key)
        if known is None or item.rank > known.rank:
            found[item.key] = item
    return found


def _accepted(
    order: Order, agreement: Agreement, progress: Progress, standing: Mapping[Key, Item]
) -> Accepted:
    """The outcome of an agreed request.

    To be stored is all that was agreed and isn't known to be stored by a majority, and what the request finds
    in the store here under its own keys, since the disk of an earlier program may have items that no majority
    stores.
    """
    recent = agreement.recent[max(0, progress.stored - agreement.settled) :]
    listed = {item.key for item in agreement.recent}
    found = tuple(standing[item.key] for item in order.items if item.key not in listed)
    return Accepted((*recent, *found), agreement.end)
