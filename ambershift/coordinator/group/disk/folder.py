"""A member's folder: opens it, appends to its log and compacts the log. Each call waits for the disk."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import NamedTuple

import msgspec

from ambershift.coordinator.group.disk.files import FileHandle, Files
from ambershift.coordinator.replication.log_recovery import (
    FoldedLog,
    InconsistentLogError,
    RecoveredLog,
    recover_log,
)
from ambershift.coordinator.replication.records import (
    MARK_SLOT_BYTES,
    PREAMBLE,
    LogFault,
    LogHeader,
    LogRecord,
    SyncMark,
    encode_frame,
    encode_mark,
    encode_mark_file,
    encode_preamble,
    to_record,
)
from ambershift.coordinator.replication.types import PersistedState, Write

LOG_FILE = "log"
MARK_FILE = "mark"
NEW_SUFFIX = ".new"
ASIDE_INFIX = ".aside-"
# The log is compacted, without what later writes made void, once it has grown by this factor since the last
# time, and has at least so many bytes.
COMPACTION_GROWTH = 4
MIN_COMPACTION_BYTES = 4 << 20
NS_PER_SECOND = 1_000_000_000


class RefusedError(Exception):
    """The folder is another member's or another group's: nothing in it is touched."""


class DiskError(Exception):
    """A call to the disk failed; what it wrote is not known, and nothing more is written."""


class Opened(NamedTuple):
    """What was found when the folder was opened.

    Attributes:
        saved: The durable state; None where there is none.
        incarnation: The new incarnation of the member, already durable.
        fault: Why the content was set aside, if it was unreadable.
        why: The same in words.
        aside: The new names of the files that were set aside.
        torn: The bytes of an append that was cut short, and was never acknowledged.
        lost: Files were set aside now or before, and no state has been recovered since.
    """

    saved: PersistedState | None
    incarnation: int
    fault: LogFault | None
    why: str
    aside: tuple[str, ...]
    torn: int
    lost: bool


class Folder:
    """The log of one member, and the mark up to where the log is synced.

    Attributes:
        incarnation: This start's incarnation.
        log_size: The size of the log in bytes.
    """

    def __init__(self, files: Files, group_name: str, member: str) -> None:
        """Prepare; `open` reads the folder.

        Args:
            files: The folder.
            group_name: The group's name in the settings.
            member: The member's name.
        """
        self.files = files
        self.group_name = group_name
        self.member = member
        self.folded_log = FoldedLog()
        self.generation = 0
        self.mark_count = 0  # Marks are written to two slots in turn.
        self.log: FileHandle | None = None
        self.mark: FileHandle | None = None
        self.incarnation = 0
        self.log_size = 0
        self.compacted_size = 0  # The size of the log after the last compaction.
        self.error = ""  # Why the disk failed; empty while it works.

    def open(self, wall: int, void: str = "") -> Opened:
        """Read what is durable, or set it aside, and make a new incarnation durable.

        Args:
            wall: Unix time in ns. Incarnations are at least that, so that a member that lost its folder has a
                newer one too.
            void: Why the content must not be used, such as `old-folder`; then all of it is set aside.

        Raises:
            LockedError: Another process has the folder.
            RefusedError: The folder is another member's or another group's.
            DiskError: The disk failed; the member must not take part.
        """
        try:
            self.files.lock()
            return self._recover(self._read_files(), wall, void)
        except OSError as error:
            self.close()
            self.error = describe_error(error)
            raise DiskError(self.error) from error
        except RefusedError:
            self.close()
            raise

    def _read_files(self) -> RecoveredLog:
        names = set(self.files.names())
        log, mark = (self.files.read(name) if name in names else None for name in (LOG_FILE, MARK_FILE))
        recovered = recover_log(log, mark)
        header = recovered.header
        if header is not None and (header.group_name, header.me) != (self.group_name, self.member):
            raise RefusedError(
                f"the folder is of member {header.me!r} of group {header.group_name!r}, not of "
                f"{self.member!r} of {self.group_name!r}"
            )
        return recovered

    def _recover(self, recovered: RecoveredLog, wall: int, void: str) -> Opened:
        aside: tuple[str, ...] = ()
        if reason := void or recovered.fault:
            aside = self._set_aside(str(reason), wall)
        last_incarnation = recovered.header.incarnation if recovered.header else 0
        self.folded_log = FoldedLog() if reason else recovered.log
        self.generation, self.mark_count = recovered.generation, recovered.mark_sequence
        self.incarnation = max(last_incarnation + 1, wall)
        if aside or MARK_FILE not in self.files.names():
            # The mark is created before the log: a log without a mark is taken for a foreign file.
            self._replace_file(MARK_FILE, [encode_mark_file(SyncMark(self.mark_count, self.generation, 0))])
        self.mark = self.files.open(MARK_FILE)
        self.compact()
        saved = self.folded_log.to_persisted_state(last_incarnation)
        has_state = saved is not None and bool(saved.view or saved.entries or saved.snapshot)
        lost = not has_state and any(ASIDE_INFIX in name for name in self.files.names())
        return Opened(
            saved, self.incarnation, recovered.fault, recovered.why, aside, recovered.torn_bytes, lost
        )

    def append(self, writes: Sequence[Write]) -> None:
        """Make all writes durable under one sync.

        Raises:
            DiskError: The disk failed, now or before: neither these writes nor any later ones are durable.
        """
        if self.error or self.log is None:
            raise DiskError(self.error or "closed")
        try:
            records = [to_record(write) for write in writes]
            for record in records:
                self.folded_log.apply(record)
            has_snapshot = any(record.snapshot for record in records)
            if has_snapshot or self.log_size > max(
                MIN_COMPACTION_BYTES, COMPACTION_GROWTH * self.compacted_size
            ):
                self.compact()
                return
            data, offset = bytearray(), self.log_size
            for record in records:
                data += encode_frame(msgspec.msgpack.encode(record), self.generation, offset + len(data))
            self.log.append(bytes(data))
            self.log.sync()
            self.log_size += len(data)
            self.advance_mark()
        except (OSError, InconsistentLogError) as error:
            self.error = describe_error(error)
            raise DiskError(self.error) from error

    def compact(self) -> None:
        """Write the state that counts to a new file, which replaces the log once it is synced."""
        self.generation += 1
        bodies: list[LogHeader | LogRecord] = [LogHeader(self.group_name, self.member, self.incarnation)]
        bodies += [self.folded_log.to_record()] if self.folded_log.written else []
        frames, size = list[bytes](), PREAMBLE.size
        for body in bodies:
            frames.append(encode_frame(msgspec.msgpack.encode(body), self.generation, size))
            size += len(frames[-1])
        old_log = self.log
        self.log = self._replace_file(
            LOG_FILE, [encode_preamble(self.generation, size), *frames], keep_open=True
        )
        if old_log is not None:
            old_log.close()
        self.log_size = self.compacted_size = size
        self.advance_mark()

    def advance_mark(self) -> None:
        """Record that the log is synced to its end, in a second file, so that no one fault damages both."""
        assert self.mark is not None
        self.mark_count += 1
        offset = self.mark_count % 2 * MARK_SLOT_BYTES
        self.mark.write_at(offset, encode_mark(SyncMark(self.mark_count, self.generation, self.log_size)))
        self.mark.sync()

    def _replace_file(self, name: str, parts: list[bytes], keep_open: bool = False) -> FileHandle | None:
        """Write a new file, sync it and rename it to `name`; return its handle if it is to stay open."""
        handle = self.files.create(name + NEW_SUFFIX)
        for part in parts:
            handle.append(part)
        handle.sync()
        self.files.rename(name + NEW_SUFFIX, name)
        self.files.sync_folder()
        if keep_open:
            return handle
        handle.close()
        return None

    def _set_aside(self, reason: str, wall: int) -> tuple[str, ...]:
        """Rename log and mark to names with the time and the reason; nothing is deleted or overwritten."""
        names = set(self.files.names())
        when = datetime.fromtimestamp(wall // NS_PER_SECOND, UTC).strftime("%Y%m%dT%H%M%SZ")
        moved = []
        for name in (LOG_FILE, MARK_FILE):
            if name in names:
                new, count = f"{name}{ASIDE_INFIX}{when}-{reason}", 1
                while new in names:
                    count += 1
                    new = f"{name}{ASIDE_INFIX}{when}-{reason}-{count}"
                self.files.rename(name, new)
                names.add(new)
                moved.append(new)
        self.files.sync_folder()
        return tuple(moved)

    def close(self) -> None:
        """Close the files, and release the lock."""
        for handle in (self.log, self.mark):
            if handle is not None:
                handle.close()
        self.log = self.mark = None
        self.files.unlock()


def describe_error(error: Exception) -> str:
    """Return an error for the log: of an OSError its message and number, without any path."""
    if isinstance(error, OSError):
        return f"{error.strerror or type(error).__name__} (errno {error.errno})"
    return str(error)
