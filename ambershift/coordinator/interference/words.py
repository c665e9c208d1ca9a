"""Samples of counters, what is normal, and who is accused: types only, no decision."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """Counters of one job on one node over an interval that ended at `at`, Unix nanoseconds."""

    node: str
    kind: str  # Of machine.
    job: str  # The server's id for a server of ours, any other name for a neighbour.
    tenant: str
    at: int
    span_ns: int
    cycles: float
    instructions: float
    cache_misses: float
    task_ns: float
    counted: float  # The least part of the time that any of its counters was running, 0 to 1.


class Unusable(StrEnum):
    """Why nothing is learned from a sample or a row."""

    UNREADABLE = "unreadable"
    NOT_COUNTED = "not-counted"
    WRAPPED = "wrapped"
    REPEATED = "repeated"
    SKEWED = "skewed"
    CONTRADICTING = "contradicting"
    IMPOSSIBLE = "impossible"
    TOO_LITTLE = "too-little"
    ALL_SLOW = "all-slow"
    ALONE = "alone"
    NODE_LIES = "node-lies"


class Score(msgspec.Struct, frozen=True, array_like=True):
    """One victim and one suspect, pooled over the nodes where they meet."""

    victim: str
    suspect: str
    effect: float  # Part of the victim's speed that goes while the suspect is busy, 0 to 1.
    low: float
    high: float
    p: float  # After the correction for all pairs that were looked at.
    nodes: int
    accused: bool
