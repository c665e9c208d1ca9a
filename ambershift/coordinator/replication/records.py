"""Records: how a member's log lies in a file, byte by byte, and where and why reading one stopped. No I/O.

A file is a preamble and frames. A frame's own checksum covers its length, its body's checksum, and the file's
generation and the place it lies at, so that a flipped length is not taken for a frame cut short, nor an old
block for a new one. The mark, a second small file, says up to where the log was synced: with it a torn append
is told from damage (Alagappan and others 2018, "Protocol-Aware Recovery": an identifier of each entry,
stored apart).
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

import google_crc32c
import msgspec

from ambershift.coordinator.replication.types import Entry, Snapshot, Write

MAGIC, VERSION = b"amberlog", 1
PREAMBLE = struct.Struct("<8sIQQI")  # Magic, version, generation, bytes synced before its name, checksum.
FRAME = struct.Struct("<III")  # Length, checksum of the body, checksum of both, generation and place.
SEAL = struct.Struct("<QQII")
# Two slots far enough apart that no sector or page holds both: one torn write spoils one.
SLOT, SLOT_BYTES = struct.Struct("<8sQQQI"), 4096
MARK_MAGIC = b"ambermrk"
FRAME_MOST = 1 << 30


class Fault(StrEnum):
    """Why a file is not what was written. The value is the name that logs, docs and set-aside files use."""

    EMPTY = "empty"
    SHORT = "short"  # It ends before what was synced does.
    FLIPPED = "flipped"  # Bytes that were synced are not those that were written.
    FOREIGN = "foreign"  # Not a log of ours at all.
    NEWER = "newer-version"
    UNMARKED = "unmarked"  # Damaged past a mark that is itself damaged: torn or lost, nobody can tell.
    BEHIND = "behind-its-mark"  # The mark is of a later log: this one was put back.
    CONTRADICTS = "contradicts"  # Each record is whole, yet they don't follow from each other.
    MISSING = "missing"  # A mark, and no log.


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The first record of a file: whose it is."""

    group_name: str
    me: str
    incarnation: int


class Line(msgspec.Struct, frozen=True, array_like=True):
    """Every further record: one write of the replica's."""

    group: str
    view: int
    last_normal: int
    committed: int
    entries: tuple[Entry, ...]
    cut: int
    snapshot: Snapshot | None


class Mark(NamedTuple):
    """The log of this generation is synced up to `end`."""

    turn: int
    generation: int
    end: int


class Found(NamedTuple):
    """One whole frame; `end` is where the next begins."""

    at: int
    end: int
    body: bytes


class Stopped(NamedTuple):
    """No whole frame begins at `at`. `fault` None: the file ends there, between two frames."""

    at: int
    fault: Fault | None


def line(write: Write) -> Line:
    return Line(
        write.group, write.view, write.last_normal, write.committed, write.entries, write.cut, write.snapshot
    )


def preamble(generation: int, base: int, version: int = VERSION) -> bytes:
    plain = PREAMBLE.pack(MAGIC, version, generation, base, 0)[:-4]
    return plain + struct.pack("<I", google_crc32c.value(plain))


def frame(body: bytes, generation: int, at: int) -> bytes:
    checksum = google_crc32c.value(body)
    return FRAME.pack(len(body), checksum, sealed(len(body), checksum, generation, at)) + body


def sealed(length: int, checksum: int, generation: int, at: int) -> int:
    return int(google_crc32c.value(SEAL.pack(generation, at, length, checksum)))


def begin(data: bytes) -> tuple[int, int] | Fault:
    """The generation and the bytes that were synced before the file got its name."""
    if not data:
        return Fault.EMPTY
    if not data.startswith(MAGIC[: len(data)]):
        return Fault.FOREIGN
    if len(data) < PREAMBLE.size:
        return Fault.SHORT
    _, version, generation, base, checksum = PREAMBLE.unpack_from(data)
    if checksum != google_crc32c.value(data[: PREAMBLE.size - 4]):
        return Fault.FLIPPED
    return Fault.NEWER if version > VERSION else (generation, base)


def frames(data: bytes, generation: int) -> Iterator[Found | Stopped]:
    """All whole frames from the first, and last where and why no further one is whole."""
    at = PREAMBLE.size
    while at < len(data):
        if len(data) - at < FRAME.size:
            yield Stopped(at, Fault.SHORT)
            return
        length, checksum, seal = FRAME.unpack_from(data, at)
        if seal != sealed(length, checksum, generation, at) or length > FRAME_MOST:
            yield Stopped(at, Fault.FLIPPED)
            return
        body = data[at + FRAME.size : at + FRAME.size + length]
        if len(body) < length:
            yield Stopped(at, Fault.SHORT)
            return
        if google_crc32c.value(body) != checksum:
            yield Stopped(at, Fault.FLIPPED)
            return
        yield Found(at, at + FRAME.size + length, body)
        at += FRAME.size + length
    yield Stopped(at, None)


def slot(mark: Mark) -> bytes:
    plain = SLOT.pack(MARK_MAGIC, *mark, 0)[:-4]
    return plain + struct.pack("<I", google_crc32c.value(plain))


def both_slots(mark: Mark) -> bytes:
    return slot(mark).ljust(SLOT_BYTES, b"\0") + slot(mark)


def marks(data: bytes) -> list[Mark | None]:
    """What the two slots say; None where one can't be read."""
    found: list[Mark | None] = []
    for at in (0, SLOT_BYTES):
        one = data[at : at + SLOT.size]
        whole = len(one) == SLOT.size and one.startswith(MARK_MAGIC)
        whole = whole and struct.unpack("<I", one[-4:])[0] == google_crc32c.value(one[:-4])
        found.append(Mark(*SLOT.unpack(one)[1:4]) if whole else None)
    return found
