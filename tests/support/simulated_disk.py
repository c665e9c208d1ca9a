"""A simulated folder: unsynced data may be lost, torn or reordered; any call may crash or fail."""

from __future__ import annotations

import errno
import random

SECTOR_BYTES = 16  # Far smaller than a real one, so that small records are torn too.


class CrashError(BaseException):
    """Simulated power loss at a call."""


class Inode:
    """A file: its bytes as a reader sees them, as they survive a crash, and the unsynced writes."""

    def __init__(self) -> None:
        self.seen = bytearray()
        self.durable = bytearray()
        self.pending: list[tuple[int, bytes]] = []  # Offset and data.

    def write(self, offset: int, data: bytes) -> None:
        self.seen[offset : offset + len(data)] = data
        self.pending.append((offset, data))


def overwrite(content: bytearray, offset: int, data: bytes) -> None:
    """Write at an offset, after zeros where the content is shorter."""
    content.extend(bytes(max(0, offset - len(content))))
    content[offset : offset + len(data)] = data


class SimulatedHandle:
    """An open file."""

    def __init__(self, disk: SimulatedFiles, inode: Inode) -> None:
        self.disk, self.inode = disk, inode

    def append(self, data: bytes) -> None:
        self.write_at(len(self.inode.seen), data)

    def write_at(self, place: int, data: bytes) -> None:
        error = self.disk.call("write")
        if error:  # A part of the data may have been written nevertheless.
            self.inode.write(place, data[: self.disk.rng.randrange(len(data) + 1)])
            raise error
        self.inode.write(place, data)

    def sync(self) -> None:
        error = self.disk.call("sync")
        if error:
            if isinstance(
                error, OSError
            ):  # As on Linux: data of a failed sync is not written by a later one.
                self.inode.pending.clear()
            raise error
        for offset, data in self.inode.pending:
            overwrite(self.inode.durable, offset, data)
        self.inode.pending.clear()

    def close(self) -> None:
        pass


class SimulatedFiles:
    """A folder. The call with the number `crash_at` loses power, the one with `fail_at` fails; 0: none.

    `files` is what a reader sees, `durable` what survives a power loss, `pending` the unsynced renames.
    """

    def __init__(
        self, seed: int = 0, crash_at: int = 0, fail_at: int = 0, error_code: int = errno.EIO
    ) -> None:
        self.rng = random.Random(seed)
        self.crash_at, self.fail_at, self.error_code = crash_at, fail_at, error_code
        self.files: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}
        self.pending: list[tuple[str | None, str, Inode]] = []
        self.calls = 0

    def call(self, what: str) -> BaseException | None:
        """Count a call; returns the error with which it is to crash or fail."""
        self.calls += 1
        if self.calls == self.crash_at:
            return CrashError(what)
        return OSError(self.error_code, what) if self.calls == self.fail_at else None

    def call_or_raise(self, what: str) -> None:
        if error := self.call(what):
            raise error

    def lock(self) -> None: ...

    def unlock(self) -> None: ...

    def names(self) -> list[str]:
        self.call_or_raise("names")
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        self.call_or_raise("read")
        return bytes(self.files[name].seen)

    def create(self, name: str) -> SimulatedHandle:
        self.call_or_raise("create")
        self.files[name] = Inode()
        self.pending.append((None, name, self.files[name]))
        return SimulatedHandle(self, self.files[name])

    def open(self, name: str) -> SimulatedHandle:
        self.call_or_raise("open")
        return SimulatedHandle(self, self.files[name])

    def rename(self, old: str, new: str) -> None:
        error = self.call("rename")
        if not error or self.rng.random() < 0.5:  # A rename that fails may have happened.
            self.files[new] = self.files.pop(old)
            self.pending.append((old, new, self.files[new]))
        if error:
            raise error

    def sync_folder(self) -> None:
        self.call_or_raise("sync_folder")
        for step in self.pending:
            apply_rename(self.durable, *step)
        self.pending.clear()

    def after_power_loss(self, keep: float) -> SimulatedFiles:
        """The folder after a power loss: each unsynced part survives with the probability `keep`."""
        remaining, survived = SimulatedFiles(self.rng.getrandbits(32)), dict(self.durable)
        for step in self.pending:
            if self.rng.random() < keep:
                apply_rename(survived, *step)
        for name, inode in survived.items():
            remaining.files[name] = remaining.durable[name] = new = Inode()
            new.durable = bytearray(inode.durable)
            for offset, data in inode.pending:
                for part in range(0, len(data), SECTOR_BYTES):
                    if self.rng.random() < keep:
                        overwrite(new.durable, offset + part, data[part : part + SECTOR_BYTES])
            new.seen = bytearray(new.durable)
        return remaining


def apply_rename(names: dict[str, Inode], old: str | None, new: str, inode: Inode) -> None:
    """Create the name `new` of a file, and remove `old` if it is still the file's."""
    if old is not None and names.get(old) is inode:
        del names[old]
    names[new] = inode
