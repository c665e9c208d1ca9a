"""How sketches and evidence travel as heard records: keys, bodies, bounds. Figures are whole numbers.

BASELINE  key "KIND|GROUP|NODE"  one node's sketch of one group of jobs
MET       key "NODE|JOB"         how one job fares on its node, and what was found on each neighbour there
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ambershift.coordinator.interference.normal import Sketch, sound
from ambershift.coordinator.interference.words import Sample
from ambershift.coordinator.replication.gossip import RecordKind

VERSION = 1
BODY_MOST = 8_192
ROWS_MOST = 64
SAMPLES_MOST = 2_048  # In one message of a process that reads counters.
SLOPE, ERROR, FREEDOM, BUSY, LEVEL = 10_000, 10_000, 100, 1_000, 10_000  # Parts that the whole numbers count.
FIGURE_MOST = 10**9


class UnreadableError(Exception):
    """A record's body can't be used; nothing of it is."""


class Put(NamedTuple):
    """A heard record that the member should give out as its own; an empty body takes it back."""

    kind: RecordKind
    key: str
    body: bytes


class Met(msgspec.Struct, frozen=True, array_like=True):
    """What one regression found: log CPI a core of the suspect's use, its error, its degrees of freedom."""

    suspect: str  # The suspect's group.
    slope: int
    error: int
    freedom: int
    busy: int


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    version: int
    at: int
    node: str
    job: str
    group: str
    suffers: bool
    level: int  # Log of how far over its normal it has been lately.
    reason: str  # Of words.Unusable, "" where there is something to learn.
    met: tuple[Met, ...]


class Baseline(msgspec.Struct, frozen=True, array_like=True):
    version: int
    kind: str
    group: str
    node: str
    sketch: Sketch


Encoder, Decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder
READ_EVIDENCE, READ_BASELINE = Decoder(Evidence), Decoder(Baseline)
READ_SAMPLES = Decoder(list[Sample])


def met_key(node: str, job: str) -> str:
    return f"{node}|{job}"


def baseline_key(kind: str, group: str, node: str) -> str:
    return f"{kind}|{group}|{node}"


def encode(what: Evidence | Baseline | list[Sample]) -> bytes:
    return Encoder.encode(what)


def read_samples(payload: bytes) -> list[Sample]:
    """What a process that reads counters hands over: `encode` of a list of samples."""
    try:
        found = READ_SAMPLES.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(str(error)) from None
    if len(found) > SAMPLES_MOST:
        raise UnreadableError(f"{len(found)} samples")
    return found


def read_evidence(key: str, body: bytes) -> Evidence:
    if len(body) > BODY_MOST:
        raise UnreadableError("too-large")
    try:
        found = READ_EVIDENCE.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(str(error)) from None
    if found.version != VERSION:
        raise UnreadableError(f"version {found.version}")
    if key != met_key(found.node, found.job) or len(found.met) > ROWS_MOST:
        raise UnreadableError("its key is another's")
    for one in found.met:
        if not (
            abs(one.slope) <= FIGURE_MOST
            and 0 < one.error <= FIGURE_MOST
            and FREEDOM <= one.freedom <= FIGURE_MOST
            and 0 <= one.busy <= FIGURE_MOST
        ):
            raise UnreadableError("figures out of bounds")
    return found


def read_baseline(key: str, body: bytes) -> Baseline:
    if len(body) > BODY_MOST:
        raise UnreadableError("too-large")
    try:
        found = READ_BASELINE.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(str(error)) from None
    if found.version != VERSION:
        raise UnreadableError(f"version {found.version}")
    if key != baseline_key(found.kind, found.group, found.node) or not sound(found.sketch):
        raise UnreadableError("its key is another's, or no sketch is so")
    return found
