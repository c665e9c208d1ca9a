"""Files: the few calls that a folder is kept by; tests put a file system of their own under them."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from typing import Protocol

import portalocker

LOCK = "lock"


class LockedError(Exception):
    """Another process has the folder."""


class Handle(Protocol):
    """An open file. Every call may raise OSError, and then nothing about the file is known any more."""

    def append(self, data: bytes) -> None: ...

    def write_at(self, place: int, data: bytes) -> None: ...

    def sync(self) -> None:
        """Once it gives back, what was written survives a loss of power."""

    def close(self) -> None: ...


class Files(Protocol):
    """The folder. A name that was made or changed survives a loss of power after `sync_folder` only."""

    def lock(self) -> None: ...

    def unlock(self) -> None: ...

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> Handle:
        """A new, empty file, in place of one of that name."""

    def open(self, name: str) -> Handle: ...

    def rename(self, old: str, new: str) -> None: ...

    def sync_folder(self) -> None: ...


class RealHandle:
    def __init__(self, path: str, flags: int) -> None:
        self.file = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, 0o600)

    def append(self, data: bytes) -> None:
        write_all(lambda rest: os.write(self.file, rest), data)

    def write_at(self, place: int, data: bytes) -> None:
        left = len(data)
        write_all(lambda rest: os.pwrite(self.file, rest, place + left - len(rest)), data)

    def sync(self) -> None:
        os.fdatasync(self.file)

    def close(self) -> None:
        os.close(self.file)


def write_all(write: Callable[[memoryview], int], data: bytes) -> None:
    """A write may take a part only, of a full disk for one; the next then says why."""
    rest = memoryview(data)
    while rest:
        rest = rest[write(rest) :]


class RealFiles:
    """A folder of the machine's, made where it is missing."""

    def __init__(self, folder: str) -> None:
        self.folder = os.path.abspath(folder)
        self.held: portalocker.Lock | None = None

    def path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def lock(self) -> None:
        """LockedError where another process has it; OSError where the folder can't be made."""
        if not os.path.isdir(self.folder):
            os.makedirs(self.folder, 0o700)
            sync_path(os.path.dirname(self.folder))
        held = portalocker.Lock(self.path(LOCK), "a", timeout=0, fail_when_locked=True)
        try:
            held.acquire()
        except portalocker.exceptions.AlreadyLocked as error:
            raise LockedError(f"{self.folder} is in use by another process") from error
        except portalocker.exceptions.LockException as error:
            raise OSError(errno.ENOLCK, f"no lock can be had: {error}") from error
        self.held = held

    def unlock(self) -> None:
        if self.held is not None:
            self.held.release()
            self.held = None

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        with open(self.path(name), "rb") as file:
            return file.read()

    def create(self, name: str) -> Handle:
        return RealHandle(self.path(name), os.O_CREAT | os.O_TRUNC)

    def open(self, name: str) -> Handle:
        return RealHandle(self.path(name), 0)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path(old), self.path(new))

    def sync_folder(self) -> None:
        sync_path(self.folder)


def sync_path(path: str) -> None:
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
