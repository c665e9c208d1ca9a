"""Gossip records, the maximum age of each kind, and the bounds that all members keep."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

SECOND = 1_000_000_000
MAX_KEY_LENGTH = 512  # Characters.
MAX_BODY_BYTES = 16_384
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(max_length=256)]
Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]


class RecordKind(IntEnum):
    """What a record is about. Numbers never change: older members pass on kinds that they don't know."""

    SERVER_START = 1  # Key: server id; body: when it started, Unix ns.
    ATTEMPT_STATS = 2  # Key: server id and zone; body: attempts, failed ones, mean time.
    ZONE_CUT = 3  # Key: two zones.
    EASED = 4
    ZONE_LEVEL = 5
    ZONE_SHARE = 6
    INTERFERENCE_BASELINE = 7  # Key: kind of machine, group of jobs, node; body: a sketch of interference.
    PERMIT_DRAINED = 8  # Key: permit id; body: whether it is drained for this member's proxies.
    MEMBER_STATUS = 9  # Key: ""; body: how many proxies this member controls, and its wall clock.
    INTERFERENCE_EVIDENCE = 10  # Key: node and job; body: evidence of interference on each of its neighbours.


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A record as it is read from the store.

    `version` counts up over all records of an origin; an empty body withdraws the record.
    """

    origin: Name
    incarnation: Count
    version: Count
    kind: Count
    key: Key
    body: Body
    age_ns: Count  # Since the origin observed it; it grows at every member that stores the record.


class StoreLimits(NamedTuple):
    """The bounds of a store. Above them, the oldest records of the origin with the most records go first."""

    origins: int = 64
    records_per_origin: int = 50_000
    records: int = 200_000
    bytes: int = 64 << 20


# How old a record may get. Its origin repeats it before that while it holds; those of a member that is gone
# expire by it.
MAX_AGE_BY_KIND = {
    RecordKind.SERVER_START: 3600 * SECOND,
    RecordKind.ATTEMPT_STATS: 20 * SECOND,
    RecordKind.ZONE_CUT: 20 * SECOND,
    RecordKind.EASED: 90 * SECOND,
    RecordKind.ZONE_LEVEL: 20 * SECOND,
    RecordKind.ZONE_SHARE: 90 * SECOND,
    RecordKind.INTERFERENCE_BASELINE: 24 * 3600 * SECOND,
    RecordKind.PERMIT_DRAINED: 24 * 3600 * SECOND,
    RecordKind.MEMBER_STATUS: 30 * SECOND,
    RecordKind.INTERFERENCE_EVIDENCE: 24 * 3600 * SECOND,
}
UNKNOWN_KIND_MAX_AGE = 600 * SECOND


def max_age(kind: int) -> int:
    """How old a record may get, ns; a kind that only newer members know is kept to be passed on."""
    return MAX_AGE_BY_KIND.get(kind, UNKNOWN_KIND_MAX_AGE)  # type: ignore[call-overload, no-any-return]
