"""The folder of a control node: one sqlite3 file, written by one thread, a transaction a write, synced.

A folder that can't be used (another machine's, a newer program's, unreadable) is set aside by renaming.
"""

from __future__ import annotations

import os
import queue
import shutil
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path

from ambershift.system.state_machine import Write

FORMAT_VERSION = 1
DATABASE_FILE, QUARANTINE_FOLDER = "archive.db", "aside"
Rows = dict[str, dict[str, bytes]]


def sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _make_folder(folder: Path) -> None:
    """With its name, and those above it, on disk: else a loss of power takes the whole folder with it.

    All are synced at each start, as the process before may have been killed between making and syncing them.
    Those that aren't ours to sync were not made by us."""
    made = [one.parent for one in (folder, *folder.parents) if not one.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for one in folder.parents:
        try:
            sync_folder(one)
        except OSError:
            if one in made:
                raise


def _connect(path: Path) -> sqlite3.Connection:
    base = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    # Write-ahead logging without shared memory (exclusive), one sync a transaction.
    for pragma in (
        "mmap_size=0",
        "locking_mode=EXCLUSIVE",
        "journal_mode=WAL",
        "synchronous=FULL",
        "wal_autocheckpoint=256",
        "journal_size_limit=4194304",
        "temp_store=MEMORY",
    ):
        base.execute(f"PRAGMA {pragma}").fetchall()
    return base


def _open_database(file: Path, ip: str) -> tuple[sqlite3.Connection, Rows]:
    """Raises `sqlite3.Error` or `ValueError` where the file isn't one that this machine may use."""
    base = _connect(file)
    try:
        found = base.execute("PRAGMA user_version").fetchone()[0]
        if found > FORMAT_VERSION:
            raise ValueError(f"written by a newer program (format {found})")
        if base.execute("PRAGMA quick_check").fetchall() != [("ok",)]:
            raise ValueError("damaged")
        base.execute(
            "CREATE TABLE IF NOT EXISTS entries (kind TEXT, name TEXT, value BLOB, "
            "PRIMARY KEY (kind, name)) WITHOUT ROWID"
        )
        base.execute(f"PRAGMA user_version={FORMAT_VERSION}")
        rows: Rows = {}
        for kind, name, value in base.execute("SELECT kind, name, value FROM entries"):
            rows.setdefault(kind, {})[name] = value
        owner = rows.get("meta", {}).get("ip")
        if owner is not None and owner != ip.encode():
            raise ValueError(f"of another machine ({owner.decode(errors='replace')})")
        if rows and owner is None:
            raise ValueError("without an owner")
        return base, rows
    except BaseException:
        base.close()
        raise


def _quarantine(folder: Path) -> None:
    aside = folder / QUARANTINE_FOLDER
    shutil.rmtree(aside, ignore_errors=True)  # An older one: the disk is small.
    aside.mkdir()
    for one in sorted(folder.glob(f"{DATABASE_FILE}*")):
        one.rename(aside / one.name)
    sync_folder(aside)
    sync_folder(folder)


class Disk:
    """`done(token, fault)` is called from the disk's thread; `fault` is "full", "failed" or None."""

    def __init__(self, folder: str, ip: str, on_written: Callable[[int, str | None], None]) -> None:
        self._folder, self._ip, self._on_written = Path(folder), ip, on_written
        self._queue: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self._connection: sqlite3.Connection | None = None
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self.quarantine_reason: str | None = None  # Why the folder was set aside at the start.

    def open(self) -> Rows:
        """Read all rows and begin to write. Raises `OSError` or `sqlite3.Error` without a usable disk."""
        _make_folder(self._folder)
        file = self._folder / DATABASE_FILE
        try:
            self._connection, rows = _open_database(file, self._ip)
        except (ValueError, sqlite3.DatabaseError) as why:
            if isinstance(why, sqlite3.OperationalError):
                raise  # The disk's trouble, not the file's: nothing is set aside for that.
            self.quarantine_reason = str(why)
            _quarantine(self._folder)
            self._connection, rows = _open_database(file, self._ip)
        sync_folder(self._folder)
        self._thread.start()
        return rows

    def write(self, write: Write) -> None:
        self._queue.put(write)

    def close(self) -> None:
        """Finish the writes that wait, and end the thread."""
        self._queue.put(None)
        self._thread.join()

    def _run(self) -> None:
        while (write := self._queue.get()) is not None:
            self._on_written(write.token, self._commit(write))
        if self._connection is not None:
            self._connection.close()

    def _commit(self, write: Write) -> str | None:
        try:
            if self._connection is None:
                self._connection = _connect(self._folder / DATABASE_FILE)
            base = self._connection
            base.execute("BEGIN IMMEDIATE")
            for kind, name, value in write.rows:
                if value is None:
                    base.execute("DELETE FROM entries WHERE kind=? AND name=?", (kind, name))
                else:
                    base.execute(
                        "INSERT INTO entries VALUES (?, ?, ?) ON CONFLICT (kind, name) "
                        "DO UPDATE SET value=excluded.value",
                        (kind, name, value),
                    )
            base.execute("COMMIT")
            return None
        except (sqlite3.Error, OSError) as why:
            self._reopen()
            return "full" if "full" in str(why) else "failed"

    def _reopen(self) -> None:
        """After a failure nothing is known of what the connection holds: begin with a new one."""
        base, self._connection = self._connection, None
        if base is not None:
            try:
                base.close()
            except sqlite3.Error:
                return  # The next write opens the file anew.
