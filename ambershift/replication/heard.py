"""Heard state: what members tell each other without promise, by origin, with version and age. No I/O."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Kind(IntEnum):
    """What a record is about. Numbers stay as they are: older members pass on kinds that they don't know."""

    START = 1  # key: server id; body: since when it runs, Unix ns.
    ILL = 2  # key: server id and zone; body: tries, bad ones, mean time.
    CUT = 3  # key: zone and zone.
    EASED = 4
    LEVEL = 5
    SHARE = 6
    BASELINE = 7  # key: kind of machine and job; body: a sketch of interference.
    DRAINED = 8  # key: permit id; body: whether it is drained for this member's proxies.
    STEERS = 9  # key: ""; body: how many proxies this member steers now, and its wall clock.
    MET = 10  # key: node, victim and suspect; body: evidence of interference.


class Record(msgspec.Struct, frozen=True, array_like=True):
    """`version` counts up over all of an origin's records; an empty body takes the record back."""

    origin: str
    incarnation: int
    version: int
    kind: int
    key: str
    body: bytes
    age_ns: int  # Since the origin saw it; grows on the way and where it lies.
