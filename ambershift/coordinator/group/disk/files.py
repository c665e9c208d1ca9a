"""The file system calls that a member's folder needs; tests replace them by a simulated file system."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from typing import Protocol

import portalocker

LOCK_FILE = "lock"


class LockedError(Exception):
    """Another process has the folder."""


class FileHandle(Protocol):
    """An open file. Every call may raise OSError; after that nothing is known of the file's content."""

    def append(self, data: bytes) -> None:
        """Write at the end of the file."""

    def write_at(self, place: int, data: bytes) -> None:
        """Write at that offset."""

    def sync(self) -> None:
        """Return once all that was written survives a loss of power."""

    def close(self) -> None:
        """Close the file."""


class Files(Protocol):
    """One folder. Changes of names in it survive a loss of power only after `sync_folder`."""

    def lock(self) -> None:
        """Lock the folder for this process, and create it if it is missing.

        Raises:
            LockedError: Another process has locked it.
        """

    def unlock(self) -> None:
        """Release the lock, if it is held."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def create(self, name: str) -> FileHandle:
        """Open a new, empty file, which replaces one of that name."""

    def open(self, name: str) -> FileHandle:
        """Open a file that exists."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; it replaces one that has the new name."""

    def sync_folder(self) -> None:
        """Return once all changes of names survive a loss of power."""


class RealFileHandle:
    """A file of the operating system; see `FileHandle`."""

    def __init__(self, path: str, flags: int) -> None:
        """Open the file."""
        self._descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, 0o600)

    def append(self, data: bytes) -> None:
        """Write at the end of the file."""
        _write_all(lambda rest: os.write(self._descriptor, rest), data)

    def write_at(self, place: int, data: bytes) -> None:
        """Write at that offset."""
        size = len(data)
        _write_all(lambda rest: os.pwrite(self._descriptor, rest, place + size - len(rest)), data)

    def sync(self) -> None:
        """Return once all that was written survives a loss of power."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


def _write_all(write: Callable[[memoryview], int], data: bytes) -> None:
    """Write all: a write may be short, as on a full disk, and then the next one raises the error."""
    rest = memoryview(data)
    while rest:
        rest = rest[write(rest) :]


class RealFiles:
    """A folder of the operating system; see `Files`."""

    def __init__(self, folder: str) -> None:
        """Name the folder; nothing is created before `lock`."""
        self._folder = os.path.abspath(folder)
        self._lock: portalocker.Lock | None = None

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def lock(self) -> None:
        """Lock the folder for this process, and create it if it is missing.

        Raises:
            LockedError: Another process has locked it.
            OSError: The folder can't be created or locked.
        """
        if not os.path.isdir(self._folder):
            os.makedirs(self._folder, 0o700)
            _sync_folder(os.path.dirname(self._folder))
        lock = portalocker.Lock(self._path(LOCK_FILE), "a", timeout=0, fail_when_locked=True)
        try:
            lock.acquire()
        except portalocker.exceptions.AlreadyLocked as error:
            raise LockedError(f"{self._folder} is in use by another process") from error
        except portalocker.exceptions.LockException as error:
            raise OSError(errno.ENOLCK, f"no lock can be had: {error}") from error
        self._lock = lock

    def unlock(self) -> None:
        """Release the lock, if it is held."""
        if self._lock is not None:
            self._lock.release()
            self._lock = None

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self._folder))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with open(self._path(name), "rb") as file:
            return file.read()

    def create(self, name: str) -> FileHandle:
        """Open a new, empty file, which replaces one of that name."""
        return RealFileHandle(self._path(name), os.O_CREAT | os.O_TRUNC)

    def open(self, name: str) -> FileHandle:
        """Open a file that exists."""
        return RealFileHandle(self._path(name), 0)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; it replaces one that has the new name."""
        os.rename(self._path(old), self._path(new))

    def sync_folder(self) -> None:
        """Return once all changes of names survive a loss of power."""
        _sync_folder(self._folder)


def _sync_folder(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
