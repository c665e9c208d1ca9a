"""Folder: opens a member's folder, appends to its log, keeps the log short; each call waits for the disk."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import NamedTuple

import msgspec

from ambershift.coordinator.group.disk.files import Files, Handle
from ambershift.coordinator.replication.log_recovery import ContradictionError, Held, Reading, read
from ambershift.coordinator.replication.records import (
    PREAMBLE,
    SLOT_BYTES,
    Fault,
    Head,
    Line,
    Mark,
    both_slots,
    frame,
    line,
    preamble,
    slot,
)
from ambershift.coordinator.replication.types import Saved, Write

LOG, MARK, NEW = "log", "mark", ".new"
# A log is written anew, without what later writes made void, once it is so many times the size it was then.
GROWTH, LOG_LEAST = 4, 4 << 20


class RefusedError(Exception):
    """The folder is another member's or another group's: nothing in it is touched."""


class DiskError(Exception):
    """The disk failed at some call; what that call wrote is not known. Nothing more is written."""


class Opened(NamedTuple):
    """`saved` None: the member is blank. `aside` names the files set aside, with `fault` and `why`. `lost`:
    something was set aside here, now or before, and nothing has been recovered since.
    """

    saved: Saved | None
    incarnation: int
    fault: Fault | None
    why: str
    aside: tuple[str, ...]
    torn: int
    lost: bool


class Folder:
    def __init__(self, files: Files, group_name: str, me: str) -> None:
        self.files, self.group_name, self.me = files, group_name, me
        self.held, self.generation, self.turn = Held(), 0, 0
        self.log: Handle | None = None
        self.mark: Handle | None = None
        self.incarnation = self.log_size = self.base = 0
        self.failed = ""

    def open(self, wall: int, void: str = "") -> Opened:
        """Read, set aside or take up, and make the new incarnation last, before the member takes part.

        `wall` is Unix ns: incarnations count up by it, so that one that lost its folder is newer too. `void`
        names why what is there counts for nothing, `old-folder` for one: then all of it is set aside.
        LockedError, RefusedError, and DiskError where the disk fails: the member takes no part then.
        """
        try:
            self.files.lock()
            return self.take(self.look(), wall, void)
        except OSError as error:
            self.close()
            self.failed = named(error)
            raise DiskError(self.failed) from error
        except RefusedError:
            self.close()
            raise

    def look(self) -> Reading:
        there = set(self.files.names())
        log, mark = (self.files.read(name) if name in there else None for name in (LOG, MARK))
        reading = read(log, mark)
        head = reading.head
        if head is not None and (head.group_name, head.me) != (self.group_name, self.me):
            raise RefusedError(
                f"the folder is of member {head.me!r} of group {head.group_name!r}, not of "
                f"{self.me!r} of {self.group_name!r}"
            )
        return reading

    def take(self, reading: Reading, wall: int, void: str) -> Opened:
        aside: tuple[str, ...] = ()
        if reason := void or reading.fault:
            aside = self.move_aside(str(reason), wall)
        before = reading.head.incarnation if reading.head else 0
        self.held = Held() if reason else reading.held
        self.generation, self.turn = reading.generation, reading.turn
        self.incarnation = max(before + 1, wall)
        if aside or MARK not in self.files.names():
            # Before the log: a log without any mark is none of ours.
            self.write_beside(MARK, [both_slots(Mark(self.turn, self.generation, 0))])
        self.mark = self.files.open(MARK)
        self.compact()
        saved = self.held.saved(before)
        kept = saved is not None and bool(saved.view or saved.entries or saved.snapshot)
        lost = not kept and any(".aside-" in name for name in self.files.names())
        return Opened(saved, self.incarnation, reading.fault, reading.why, aside, reading.torn, lost)

    def append(self, writes: Sequence[Write]) -> None:
        """All of them under one sync. DiskError: none of them, nor any after, is vouched for."""
        if self.failed or self.log is None:
            raise DiskError(self.failed or "closed")
        try:
            lines = [line(write) for write in writes]
            for one in lines:
                self.held.fold(one)
            if any(one.snapshot for one in lines) or self.log_size > max(LOG_LEAST, GROWTH * self.base):
                self.compact()
                return
            data, at = bytearray(), self.log_size
            for one in lines:
                data += frame(msgspec.msgpack.encode(one), self.generation, at + len(data))
            self.log.append(bytes(data))
            self.log.sync()
            self.log_size += len(data)
            self.advance_mark()
        except (OSError, ContradictionError) as error:
            self.failed = named(error)
            raise DiskError(self.failed) from error

    def compact(self) -> None:
        """All that is held into a new file, which takes the log's name once it is synced."""
        self.generation += 1
        bodies: list[Head | Line] = [Head(self.group_name, self.me, self.incarnation)]
        bodies += [self.held.line()] if self.held.written else []
        parts, at = list[bytes](), PREAMBLE.size
        for body in bodies:
            parts.append(frame(msgspec.msgpack.encode(body), self.generation, at))
            at += len(parts[-1])
        old, self.log = self.log, self.write_beside(LOG, [preamble(self.generation, at), *parts], keep=True)
        if old is not None:
            old.close()
        self.log_size = self.base = at
        self.advance_mark()

    def advance_mark(self) -> None:
        """The log is synced to its end: say so where one fault does not reach both."""
        assert self.mark is not None
        self.turn += 1
        self.mark.write_at(self.turn % 2 * SLOT_BYTES, slot(Mark(self.turn, self.generation, self.log_size)))
        self.mark.sync()

    def write_beside(self, name: str, parts: list[bytes], keep: bool = False) -> Handle | None:
        handle = self.files.create(name + NEW)
        for part in parts:
            handle.append(part)
        handle.sync()
        self.files.rename(name + NEW, name)
        self.files.sync_folder()
        if keep:
            return handle
        handle.close()
        return None

    def move_aside(self, reason: str, wall: int) -> tuple[str, ...]:
        """Rename log and mark to names that say when and why. Nothing is deleted or written over."""
        there = set(self.files.names())
        when = datetime.fromtimestamp(wall // 1_000_000_000, UTC).strftime("%Y%m%dT%H%M%SZ")
        moved = []
        for name in (LOG, MARK):
            if name in there:
                new, count = f"{name}.aside-{when}-{reason}", 1
                while new in there:
                    count += 1
                    new = f"{name}.aside-{when}-{reason}-{count}"
                self.files.rename(name, new)
                there.add(new)
                moved.append(new)
        self.files.sync_folder()
        return tuple(moved)

    def close(self) -> None:
        for handle in (self.log, self.mark):
            if handle is not None:
                handle.close()
        self.log = self.mark = None
        self.files.unlock()


def named(error: Exception) -> str:
    """A reason for the log: the system's own words without any path."""
    if isinstance(error, OSError):
        return f"{error.strerror or type(error).__name__} (errno {error.errno})"
    return str(error)
