"""The folder of a control node: one SQLite database, written by one thread, each write a synced transaction.

A database that can't be used (another node's, a newer program's, a damaged one) is quarantined by renaming.
"""

from __future__ import annotations

import contextlib
import os
import queue
import shutil
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path

from ambershift.system.state_machine import Write

FORMAT_VERSION = 1
DATABASE_FILE = "archive.db"
QUARANTINE_FOLDER = "aside"
Rows = dict[str, dict[str, bytes]]  # By table (the column `kind`) and key (the column `name`).


class UnusableDatabaseError(Exception):
    """The database was read, but it isn't one that this node may use.

    Attributes:
        reason: Why not.
    """

    def __init__(self, reason: str) -> None:
        """Take the reason, a part of a sentence."""
        super().__init__(reason)
        self.reason = reason


def sync_folder(folder: Path) -> None:
    """Sync a folder: the names of the files in it are on disk then.

    Raises:
        OSError: It can't be synced.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _make_folder(folder: Path) -> None:
    """Make a folder and those above it, and sync their names: else a loss of power takes the whole folder.

    All are synced at each start, as the process before may have been killed between making and syncing them.
    A folder that this process may not sync was not made by it.

    Raises:
        OSError: It can't be made, or a folder that was made can't be synced.
    """
    changed = [path.parent for path in (folder, *folder.parents) if not path.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for parent in folder.parents:
        try:
            sync_folder(parent)
        except OSError:
            if parent in changed:
                raise


def _connect(path: Path) -> sqlite3.Connection:
    connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
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
        connection.execute(f"PRAGMA {pragma}").fetchall()
    return connection


def _read_rows(connection: sqlite3.Connection, ip: str) -> Rows:
    """Check a database, make its table if there is none, and read all rows.

    Raises:
        sqlite3.Error: It can't be read.
        UnusableDatabaseError: It isn't one that the node with that ip may use.
    """
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version > FORMAT_VERSION:
        raise UnusableDatabaseError(f"written by a newer program (format {version})")
    if connection.execute("PRAGMA quick_check").fetchall() != [("ok",)]:
        raise UnusableDatabaseError("damaged")
    connection.execute(
        "CREATE TABLE IF NOT EXISTS entries (kind TEXT, name TEXT, value BLOB, "
        "PRIMARY KEY (kind, name)) WITHOUT ROWID"
    )
    connection.execute(f"PRAGMA user_version={FORMAT_VERSION}")
    rows: Rows = {}
    for table, key, value in connection.execute("SELECT kind, name, value FROM entries"):
        rows.setdefault(table, {})[key] = value
    owner = rows.get("meta", {}).get("ip")
    if owner is not None and owner != ip.encode():
        raise UnusableDatabaseError(f"of another machine ({owner.decode(errors='replace')})")
    if rows and owner is None:
        raise UnusableDatabaseError("without an owner")
    return rows


def _open_database(path: Path, ip: str) -> tuple[sqlite3.Connection, Rows]:
    """Open a database, or make one, and read all rows.

    Raises:
        sqlite3.Error: It can't be read.
        UnusableDatabaseError: It isn't one that the node with that ip may use.
    """
    connection = _connect(path)
    try:
        rows = _read_rows(connection, ip)
    except BaseException:
        connection.close()
        raise
    return connection, rows


def _quarantine(folder: Path) -> None:
    """Move the database into a folder of its own. An older one there is deleted: the disk is small."""
    quarantine = folder / QUARANTINE_FOLDER
    shutil.rmtree(quarantine, ignore_errors=True)
    quarantine.mkdir()
    for path in sorted(folder.glob(f"{DATABASE_FILE}*")):
        path.rename(quarantine / path.name)
    sync_folder(quarantine)
    sync_folder(folder)


class Disk:
    """A node's folder, and the thread that writes it.

    Attributes:
        quarantine_reason: Why the database was quarantined at the start; None if it wasn't.
    """

    def __init__(self, folder: str, ip: str, on_written: Callable[[int, str | None], None]) -> None:
        """Take the folder; `open` makes and reads it.

        Args:
            folder: Its path.
            ip: This node's ip, the owner of what is in it.
            on_written: Called from the thread after each write, with its token and its fault: "full",
                "failed", or None when it is on disk.
        """
        self._folder = Path(folder)
        self._ip = ip
        self._on_written = on_written
        self._queue: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self._connection: sqlite3.Connection | None = None
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self.quarantine_reason: str | None = None

    def open(self) -> Rows:
        """Read all rows, and start the thread.

        Raises:
            OSError: The folder can't be made or synced.
            sqlite3.Error: The disk doesn't let the database be read.
        """
        _make_folder(self._folder)
        path = self._folder / DATABASE_FILE
        try:
            self._connection, rows = _open_database(path, self._ip)
        except (UnusableDatabaseError, sqlite3.DatabaseError) as error:
            if isinstance(error, sqlite3.OperationalError):
                raise  # A fault of the disk, not of the file: the file may be usable later.
            self.quarantine_reason = str(error)
            _quarantine(self._folder)
            self._connection, rows = _open_database(path, self._ip)
        sync_folder(self._folder)
        self._thread.start()
        return rows

    def write(self, write: Write) -> None:
        """Write rows in one transaction, after those handed over before."""
        self._queue.put(write)

    def close(self) -> None:
        """Finish the writes handed over, and end the thread."""
        self._queue.put(None)
        self._thread.join()

    def _run(self) -> None:
        while (write := self._queue.get()) is not None:
            self._on_written(write.token, self._commit(write))
        if self._connection is not None:
            self._connection.close()

    def _commit(self, write: Write) -> str | None:
        """Write rows in one transaction, and return its fault."""
        try:
            if self._connection is None:
                self._connection = _connect(self._folder / DATABASE_FILE)
            connection = self._connection
            connection.execute("BEGIN IMMEDIATE")
            for table, key, value in write.rows:
                if value is None:
                    connection.execute("DELETE FROM entries WHERE kind=? AND name=?", (table, key))
                else:
                    connection.execute(
                        "INSERT INTO entries VALUES (?, ?, ?) ON CONFLICT (kind, name) "
                        "DO UPDATE SET value=excluded.value",
                        (table, key, value),
                    )
            connection.execute("COMMIT")
        except (sqlite3.Error, OSError) as error:
            self._disconnect()
            return "full" if "full" in str(error) else "failed"
        return None

    def _disconnect(self) -> None:
        """Drop a connection that has failed: its state is unknown. The next write opens a new one."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            with contextlib.suppress(sqlite3.Error):
                connection.close()
