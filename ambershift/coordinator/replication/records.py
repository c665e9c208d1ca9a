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
FRAME_HEADER = struct.Struct("<III")  # Length, checksum of the body, checksum of both, generation and place.
CHECKED_FIELDS = struct.Struct("<QQII")
# Two slots far enough apart that no sector or page holds both: one torn write spoils one.
MARK_FRAME, MARK_SLOT_BYTES = struct.Struct("<8sQQQI"), 4096
MARK_MAGIC = b"ambermrk"
MAX_FRAME_BYTES = 1 << 30


class LogFault(StrEnum):
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


class LogHeader(msgspec.Struct, frozen=True, array_like=True):
    """The first record of a file: whose it is."""

    group_name: str
    me: str
    incarnation: int


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """Every further record: one write of the replica's."""

    group: str
    view: int
    last_entry_view: int
    committed: int
    entries: tuple[Entry, ...]
    truncate_from: int
    snapshot: Snapshot | None


class SyncMark(NamedTuple):
    """The log of this generation is synced up to `end`."""

    sequence: int
    generation: int
    end: int


class WholeFrame(NamedTuple):
    """One whole frame; `end` is where the next begins."""

    at: int
    end: int
    body: bytes


class EndOfFrames(NamedTuple):
    """No whole frame begins at `at`. `fault` None: the file ends there, between two frames."""

    at: int
    fault: LogFault | None


def to_record(write: Write) -> LogRecord:
    return LogRecord(
        write.group,
        write.view,
        write.last_entry_view,
        write.committed,
        write.entries,
        write.truncate_from,
        write.snapshot,
    )


def encode_preamble(generation: int, base: int, version: int = VERSION) -> bytes:
    plain = PREAMBLE.pack(MAGIC, version, generation, base, 0)[:-4]
    return plain + struct.pack("<I", google_crc32c.value(plain))


def encode_frame(body: bytes, generation: int, at: int) -> bytes:
    checksum = google_crc32c.value(body)
    return FRAME_HEADER.pack(len(body), checksum, frame_checksum(len(body), checksum, generation, at)) + body


def frame_checksum(length: int, checksum: int, generation: int, at: int) -> int:
    return int(google_crc32c.value(CHECKED_FIELDS.pack(generation, at, length, checksum)))


def decode_preamble(data: bytes) -> tuple[int, int] | LogFault:
    """The generation and the bytes that were synced before the file got its name."""
    if not data:
        return LogFault.EMPTY
    if not data.startswith(MAGIC[: len(data)]):
        return LogFault.FOREIGN
    if len(data) < PREAMBLE.size:
        return LogFault.SHORT
    _, version, generation, base, checksum = PREAMBLE.unpack_from(data)
    if checksum != google_crc32c.value(data[: PREAMBLE.size - 4]):
        return LogFault.FLIPPED
    return LogFault.NEWER if version > VERSION else (generation, base)


def decode_frames(data: bytes, generation: int) -> Iterator[WholeFrame | EndOfFrames]:
    """All whole frames from the first, and last where and why no further one is whole."""
    at = PREAMBLE.size
    while at < len(data):
        if len(data) - at < FRAME_HEADER.size:
            yield EndOfFrames(at, LogFault.SHORT)
            return
        length, checksum, seal = FRAME_HEADER.unpack_from(data, at)
        if seal != frame_checksum(length, checksum, generation, at) or length > MAX_FRAME_BYTES:
            yield EndOfFrames(at, LogFault.FLIPPED)
            return
        body = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + length]
        if len(body) < length:
            yield EndOfFrames(at, LogFault.SHORT)
            return
        if google_crc32c.value(body) != checksum:
            yield EndOfFrames(at, LogFault.FLIPPED)
            return
        yield WholeFrame(at, at + FRAME_HEADER.size + length, body)
        at += FRAME_HEADER.size + length
    yield EndOfFrames(at, None)


def encode_mark(mark: SyncMark) -> bytes:
    plain = MARK_FRAME.pack(MARK_MAGIC, *mark, 0)[:-4]
    return plain + struct.pack("<I", google_crc32c.value(plain))


def encode_mark_file(mark: SyncMark) -> bytes:
    return encode_mark(mark).ljust(MARK_SLOT_BYTES, b"\0") + encode_mark(mark)


def decode_marks(data: bytes) -> list[SyncMark | None]:
    """What the two slots say; None where one can't be read."""
    found: list[SyncMark | None] = []
    for at in (0, MARK_SLOT_BYTES):
        one = data[at : at + MARK_FRAME.size]
        whole = len(one) == MARK_FRAME.size and one.startswith(MARK_MAGIC)
        whole = whole and struct.unpack("<I", one[-4:])[0] == google_crc32c.value(one[:-4])
        found.append(SyncMark(*MARK_FRAME.unpack(one)[1:4]) if whole else None)
    return found
