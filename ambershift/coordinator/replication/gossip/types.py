"""What a heard record is, how long each kind counts, and the bounds that all members keep."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

SECOND = 1_000_000_000
MAX_KEY_LENGTH, MAX_BODY_BYTES = 512, 16_384
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(max_length=256)]
Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]


class RecordKind(IntEnum):
    """What a record is about. Numbers stay as they are: older members pass on kinds that they don't know."""

    SERVER_START = 1  # key: server id; body: since when it runs, Unix ns.
    ATTEMPT_STATS = 2  # key: server id and zone; body: tries, bad ones, mean time.
    ZONE_CUT = 3  # key: zone and zone.
    EASED = 4
    ZONE_LEVEL = 5
    ZONE_SHARE = 6
    INTERFERENCE_BASELINE = 7  # key: kind of machine, group of jobs and node; body: a sketch of interference.
    PERMIT_DRAINED = 8  # key: permit id; body: whether it is drained for this member's proxies.
    MEMBER_STATUS = 9  # key: ""; body: how many proxies this member steers now, and its wall clock.
    INTERFERENCE_EVIDENCE = 10  # key: node and job; body: evidence of interference on each of its neighbours.


class Record(msgspec.Struct, frozen=True, array_like=True):
    """`version` counts up over all of an origin's records; an empty body takes the record back."""

    origin: Name
    incarnation: Count
    version: Count
    kind: Count
    key: Key
    body: Body
    age_ns: Count  # Since the origin saw it; grows on the way and where it lies.


class StoreLimits(NamedTuple):
    """What a store holds at most. What is over goes oldest word first, of the origin that told most."""

    origins: int = 64
    records_an_origin: int = 50_000
    records: int = 200_000
    bytes: int = 64 << 20


# How old a word may get. Whoever still means it says it again before; a gone member's goes by it.
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
    """Nanoseconds; a kind that only newer members know is held for a while, to pass it on."""
    return MAX_AGE_BY_KIND.get(kind, UNKNOWN_KIND_MAX_AGE)  # type: ignore[call-overload, no-any-return]
