"""The file format of a member's log, and where and why reading one stops. No I/O.

A file is a preamble and frames. The checksum in a frame's header covers its length, its body's checksum, the
file's generation and the frame's offset: a corrupt length is then not taken for a frame that was cut short,
nor an old block for a new one. The mark, a second small file, tells up to where the log was synced. It
distinguishes a torn append from damage (Alagappan and others 2018, "Protocol-Aware Recovery", which stores an
identifier of each entry apart for that).
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

import google_crc32c
import msgspec

from ambershift.coordinator.replication.types import Entry, Snapshot, Write

MAGIC = b"amberlog"
VERSION = 1
# Magic, version, generation, bytes synced before the file got its name, checksum.
PREAMBLE = struct.Struct("<8sIQQI")
# Length, checksum of the body, checksum of `CHECKED_FIELDS`.
FRAME_HEADER = struct.Struct("<III")
CHECKED_FIELDS = struct.Struct("<QQII")  # Generation, offset, length, checksum of the body.
MARK_MAGIC = b"ambermrk"
MARK = struct.Struct("<8sQQQI")  # Magic, sequence, generation, end, checksum.
# The two slots are so far apart that no sector or page holds both: a torn write damages one of them.
MARK_SLOT_BYTES = 4096
CHECKSUM = struct.Struct("<I")  # CRC-32C, at the end of the preamble and of a mark.
MAX_FRAME_BYTES = 1 << 30


class LogFault(StrEnum):
    """Why a file is not what was written. Logs, documents and the names of set-aside files use the value."""

    EMPTY = "empty"
    SHORT = "short"  # The file ends before the synced part does.
    FLIPPED = "flipped"  # A checksum of synced bytes does not match.
    FOREIGN = "foreign"  # The file is not a log of this program.
    NEWER = "newer-version"
    UNMARKED = "unmarked"  # Damaged after the end of a mark whose other slot is damaged: maybe synced.
    BEHIND = "behind-its-mark"  # The mark is of a later generation: an older file was put back.
    CONTRADICTS = "contradicts"  # Each record is whole, yet they don't follow from each other.
    MISSING = "missing"  # There is a mark and no log.


class LogHeader(msgspec.Struct, frozen=True, array_like=True):
    """The first record of a file: the member that it belongs to."""

    group_name: str
    me: str
    incarnation: int


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """Every further record: one `Write` of the replica."""

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
    """One whole frame at the offset `at`; the next begins at `end`."""

    at: int
    end: int
    body: bytes


class EndOfFrames(NamedTuple):
    """No whole frame begins at the offset `at`. `fault` None: the file ends there, after a whole frame."""

    at: int
    fault: LogFault | None


def to_record(write: Write) -> LogRecord:
    """The record of a write."""
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
    """The beginning of a file, of which `base` bytes are synced before it gets its name."""
    fields = PREAMBLE.pack(MAGIC, version, generation, base, 0)[: -CHECKSUM.size]
    return fields + CHECKSUM.pack(google_crc32c.value(fields))


def encode_frame(body: bytes, generation: int, at: int) -> bytes:
    """The frame of a body at an offset of the file."""
    checksum = google_crc32c.value(body)
    return FRAME_HEADER.pack(len(body), checksum, frame_checksum(len(body), checksum, generation, at)) + body


def frame_checksum(length: int, checksum: int, generation: int, at: int) -> int:
    """The checksum in a frame's header; `checksum` is the body's."""
    return int(google_crc32c.value(CHECKED_FIELDS.pack(generation, at, length, checksum)))


def decode_preamble(data: bytes) -> tuple[int, int] | LogFault:
    """The generation, and the bytes that were synced before the file got its name; or why it has none."""
    if not data:
        return LogFault.EMPTY
    if not data.startswith(MAGIC[: len(data)]):
        return LogFault.FOREIGN
    if len(data) < PREAMBLE.size:
        return LogFault.SHORT
    _, version, generation, base, checksum = PREAMBLE.unpack_from(data)
    if checksum != google_crc32c.value(data[: PREAMBLE.size - CHECKSUM.size]):
        return LogFault.FLIPPED
    return LogFault.NEWER if version > VERSION else (generation, base)


def decode_frames(data: bytes, generation: int) -> Iterator[WholeFrame | EndOfFrames]:
    """All whole frames from the first on, then where and why no further one is whole."""
    at = PREAMBLE.size
    while at < len(data):
        if len(data) - at < FRAME_HEADER.size:
            yield EndOfFrames(at, LogFault.SHORT)
            return
        length, checksum, header_checksum = FRAME_HEADER.unpack_from(data, at)
        if header_checksum != frame_checksum(length, checksum, generation, at) or length > MAX_FRAME_BYTES:
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
    """The bytes of one slot."""
    fields = MARK.pack(MARK_MAGIC, *mark, 0)[: -CHECKSUM.size]
    return fields + CHECKSUM.pack(google_crc32c.value(fields))


def encode_mark_file(mark: SyncMark) -> bytes:
    """A mark file with the same mark in both slots."""
    return encode_mark(mark).ljust(MARK_SLOT_BYTES, b"\0") + encode_mark(mark)


def decode_marks(data: bytes) -> list[SyncMark | None]:
    """The marks of the two slots; None for a slot that can't be read."""
    marks: list[SyncMark | None] = []
    for at in (0, MARK_SLOT_BYTES):
        slot = data[at : at + MARK.size]
        is_whole = len(slot) == MARK.size and slot.startswith(MARK_MAGIC)
        fields, checksum = slot[: -CHECKSUM.size], slot[-CHECKSUM.size :]
        is_whole = is_whole and CHECKSUM.unpack(checksum)[0] == google_crc32c.value(fields)
        marks.append(SyncMark(*MARK.unpack(slot)[1:4]) if is_whole else None)
    return marks
