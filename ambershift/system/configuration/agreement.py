"""Agreement on the operator's items: one register decides, call by call, which content each version has.

The register `REGISTER` holds an `Agreement`: the items agreed lately, and how many were agreed before them
and are in the stores of a majority. A call is judged against what the proposing machine's store holds, with
these on top. That is the newest state there is, provided that the store has all that is no longer listed:
a machine whose store may lack some of it is told so (`Behind`), reads a majority's stores and judges again.
So a call is decided as a whole, and no copy of a machine that was away decides anything.

Only what was agreed here is ever put into a store. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from ambershift.system.configuration.change_request import Order, same_content
from ambershift.system.configuration.errors import Fault
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.items import AGREED, Item, Key
from ambershift.system.messages.tombstones import COLLECTED_TOMBSTONES_KEY, collected_tombstones_of

REGISTER = "configuration"
NOTHING_READ = -1  # Below every count of settled items.
SUPERSEDED_MOST = 128
REFUSED_MOST = 64
DIGEST_SIZE = 8  # Bytes.


class Superseded(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A version of an item that a higher one has overtaken, and a digest of the content it stands for."""

    kind: str
    name: str
    version: int
    digest: bytes


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A call that was refused: the digest of it, and whether for a conflict."""

    digest: bytes
    conflict: bool


class Agreement(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """`recent`, oldest first, follow `settled` items that were agreed before and that a majority stores.

    `superseded`: the versions overtaken last, so that a call under one of them is told what it stands for.
    One that was overtaken longer ago is acknowledged whatever its content: it changes nothing.

    `refused`: the calls refused last. Another copy of a call may be on its way, and what was not
    valid may become so: a call whose caller was told that it is refused must not come into force by a copy.
    """

    settled: int
    recent: tuple[Item, ...]
    superseded: tuple[Superseded, ...] = ()
    refused: tuple[Refusal, ...] = ()

    @property
    def end(self) -> int:
        """How many items were ever agreed. It never falls."""
        return self.settled + len(self.recent)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The call stands. To be acknowledged once `to_store` is in the stores of a majority: from then on
    the first `end` items agreed are."""

    to_store: tuple[Item, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing of the call stands: another content was agreed under a version that it names.

    `items` are those of the call that say otherwise; none where it was refused for that before."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Invalid:
    """Nothing of the call stands: against what was agreed before it, it is not valid."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Behind:
    """Not judged: the store here may lack some of the `settled` items. A majority's are to be read now."""

    settled: int


@dataclass(frozen=True, slots=True)
class BelowFloor:
    """Not judged, and nothing written: these, or services that they name, may be new or wrong, or dropped so
    long ago that all have forgotten it (`messages/tombstones.py`). One who asks again, long after it was
    acknowledged, must not be refused; and what is wrong must not be acknowledged."""

    items: tuple[Item, ...]
    floor: int


REFUSED_BEFORE = Fault("", "", "was refused before; send what is wanted now under higher versions")

Outcome = Accepted | Conflict | Invalid | Behind | BelowFloor

_decode = msgspec.msgpack.Decoder(Agreement).decode
_encode = msgspec.msgpack.Encoder().encode
_sorted = msgspec.json.Encoder(order="sorted").encode


def read_agreement(value: bytes | None) -> Agreement:
    """What the register holds; before its first write, what stores hold counts as agreed."""
    return Agreement(0, ()) if value is None else _decode(value)


@dataclass(slots=True)
class Progress:
    """What one machine knows for certain, in numbers of items agreed.

    `read`: its own store has the first so many. `stored`: the stores of a majority have. Both are of this
    process's life, and only rise.
    """

    read: int = NOTHING_READ
    stored: int = 0

    def has_read(self, settled: int) -> None:
        self.read = max(self.read, settled)

    def has_stored(self, end: int) -> None:
        """A put through this machine brought the rest of the first `end` to a majority, its own store too."""
        self.stored = max(self.stored, end)
        self.has_read(end)


class Proposal:
    """An order on its way through the register, by one machine; called, it is the register's change.

    `held` is the view of this machine's store, looked at when the change is judged. The result of the change
    is an `Outcome`. `tried`: it was judged so that it wrote something. Even if it is judged otherwise later,
    as another machine's write came between, what it wrote may have been agreed.
    """

    def __init__(self, order: Order, progress: Progress, held: Mapping[Key, Item]) -> None:
        self._order, self._progress, self._held = order, progress, held
        self.tried = False

    def __call__(self, value: bytes | None, known_since: int, now: int) -> ChangeOutcome:
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
    """What follows an agreement, and what becomes of the order."""
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
            fresh.append(msgspec.structs.replace(item, version=(item.version[0], AGREED)))
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
    """The same for each copy of a call."""
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
    """Of the items agreed lately the newest of each name, unless the store has a newer one already."""
    found: dict[Key, Item] = {}
    for item in recent:
        known = found.get(item.key) or held.get(item.key)
        if known is None or item.rank > known.rank:
            found[item.key] = item
    return found


def _accepted(
    order: Order, agreement: Agreement, progress: Progress, standing: Mapping[Key, Item]
) -> Accepted:
    """What has to be stored: all that was agreed and isn't known to be, and what the order finds in its place
    in the store here, as a disk of an earlier version may hold what no majority has."""
    recent = agreement.recent[max(0, progress.stored - agreement.settled) :]
    listed = {item.key for item in agreement.recent}
    found = tuple(standing[item.key] for item in order.items if item.key not in listed)
    return Accepted((*recent, *found), agreement.end)
