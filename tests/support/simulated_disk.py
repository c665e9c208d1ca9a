"""A simulated folder: what is not synced may be lost, torn or out of order; any call may crash or fail."""

from __future__ import annotations

import errno
import random

SECTOR = 16  # Far below a real one, so that small records are torn too.


class CrashError(BaseException):
    """Power is lost at this call."""


class Inode:
    def __init__(self) -> None:
        self.seen = bytearray()  # What a reader sees.
        self.durable = bytearray()
        self.pending: list[tuple[int, bytes]] = []

    def put(self, at: int, data: bytes) -> None:
        self.seen[at : at + len(data)] = data
        self.pending.append((at, data))


def lay(base: bytearray, at: int, data: bytes) -> None:
    base.extend(bytes(max(0, at - len(base))))
    base[at : at + len(data)] = data


class SimulatedHandle:
    def __init__(self, disk: SimulatedFiles, inode: Inode) -> None:
        self.disk, self.inode = disk, inode

    def append(self, data: bytes) -> None:
        self.write_at(len(self.inode.seen), data)

    def write_at(self, place: int, data: bytes) -> None:
        kind = self.disk.call("write")
        if kind:  # Part of it may be there all the same.
            self.inode.put(place, data[: self.disk.rng.randrange(len(data) + 1)])
            raise kind
        self.inode.put(place, data)

    def sync(self) -> None:
        kind = self.disk.call("sync")
        if kind:
            if isinstance(kind, OSError):  # As Linux does: what could not be written is never tried again.
                self.inode.pending.clear()
            raise kind
        for at, data in self.inode.pending:
            lay(self.inode.durable, at, data)
        self.inode.pending.clear()

    def close(self) -> None:
        pass


class SimulatedFiles:
    def __init__(
        self, seed: int = 0, crash_at: int = 0, fail_at: int = 0, error_code: int = errno.EIO
    ) -> None:
        self.rng, self.crash_at, self.fail_at, self.error_code = (
            random.Random(seed),
            crash_at,
            fail_at,
            error_code,
        )
        self.files: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}
        self.pending: list[tuple[str | None, str, Inode]] = []
        self.calls = 0

    def call(self, what: str) -> BaseException | None:
        self.calls += 1
        if self.calls == self.crash_at:
            return CrashError(what)
        return OSError(self.error_code, what) if self.calls == self.fail_at else None

    def must(self, what: str) -> None:
        if kind := self.call(what):
            raise kind

    def lock(self) -> None: ...

    def unlock(self) -> None: ...

    def names(self) -> list[str]:
        self.must("names")
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        self.must("read")
        return bytes(self.files[name].seen)

    def create(self, name: str) -> SimulatedHandle:
        self.must("create")
        self.files[name] = Inode()
        self.pending.append((None, name, self.files[name]))
        return SimulatedHandle(self, self.files[name])

    def open(self, name: str) -> SimulatedHandle:
        self.must("open")
        return SimulatedHandle(self, self.files[name])

    def rename(self, old: str, new: str) -> None:
        kind = self.call("rename")
        if not kind or self.rng.random() < 0.5:  # One that fails may have happened.
            self.files[new] = self.files.pop(old)
            self.pending.append((old, new, self.files[new]))
        if kind:
            raise kind

    def sync_folder(self) -> None:
        self.must("sync_folder")
        for step in self.pending:
            renamed(self.durable, *step)
        self.pending.clear()

    def after_power_loss(self, keep: float) -> SimulatedFiles:
        """The folder once power is back: of what was not synced each part is there by the chance `keep`."""
        left, chosen = SimulatedFiles(self.rng.getrandbits(32)), dict(self.durable)
        for step in self.pending:
            if self.rng.random() < keep:
                renamed(chosen, *step)
        for name, inode in chosen.items():
            left.files[name] = left.durable[name] = new = Inode()
            new.durable = bytearray(inode.durable)
            for at, data in inode.pending:
                for part in range(0, len(data), SECTOR):
                    if self.rng.random() < keep:
                        lay(new.durable, at + part, data[part : part + SECTOR])
            new.seen = bytearray(new.durable)
        return left


def renamed(names: dict[str, Inode], old: str | None, new: str, inode: Inode) -> None:
    if old is not None and names.get(old) is inode:
        del names[old]
    names[new] = inode
