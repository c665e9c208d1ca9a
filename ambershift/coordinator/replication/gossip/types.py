"""What a heard record is, how long each kind counts, and the bounds that all members keep."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

SECOND = 1_000_000_000
KEY_MOST, BODY_MOST = 512, 16_384
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, msgspec.Meta(max_length=256)]
Key = Annotated[str, msgspec.Meta(max_length=KEY_MOST)]
Body = Annotated[bytes, msgspec.Meta(max_length=BODY_MOST)]


class Kind(IntEnum):
    """What a record is about. Numbers stay as they are: older members pass on kinds that they don't know."""

    START = 1  # key: server id; body: since when it runs, Unix ns.
    ILL = 2  # key: server id and zone; body: tries, bad ones, mean time.
    CUT = 3  # key: zone and zone.
    EASED = 4
    LEVEL = 5
    SHARE = 6
    BASELINE = 7  # key: kind of machine, group of jobs and node; body: a sketch of interference.
    DRAINED = 8  # key: permit id; body: whether it is drained for this member's proxies.
    STEERS = 9  # key: ""; body: how many proxies this member steers now, and its wall clock.
    MET = 10  # key: node and job; body: evidence of interference on each of its neighbours.


class Record(msgspec.Struct, frozen=True, array_like=True):
    """`version` counts up over all of an origin's records; an empty body takes the record back."""

    origin: Name
    incarnation: Count
    version: Count
    kind: Count
    key: Key
    body: Body
    age_ns: Count  # Since the origin saw it; grows on the way and where it lies.


class Bounds(NamedTuple):
    """What a store holds at most. What is over goes oldest word first, of the origin that told most."""

    origins: int = 64
    records_an_origin: int = 50_000
    records: int = 200_000
    bytes: int = 64 << 20


# How old a word may get. Whoever still means it says it again before; a gone member's goes by it.
LONGEST = {
    Kind.START: 3600 * SECOND,
    Kind.ILL: 20 * SECOND,
    Kind.CUT: 20 * SECOND,
    Kind.EASED: 90 * SECOND,
    Kind.LEVEL: 20 * SECOND,
    Kind.SHARE: 90 * SECOND,
    Kind.BASELINE: 24 * 3600 * SECOND,
    Kind.DRAINED: 24 * 3600 * SECOND,
    Kind.STEERS: 30 * SECOND,
    Kind.MET: 24 * 3600 * SECOND,
}
LONGEST_UNKNOWN = 600 * SECOND


def longest(kind: int) -> int:
    """Nanoseconds; a kind that only newer members know is held for a while, to pass it on."""
    return LONGEST.get(kind, LONGEST_UNKNOWN)  # type: ignore[call-overload, no-any-return]
