"""The folder of a control node: what was acknowledged stays, what is unusable is quarantined."""

from __future__ import annotations

import asyncio
import shutil
import sqlite3
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ambershift.system.consensus import disk
from ambershift.system.consensus.disk import DATABASE_FILE, QUARANTINE_FOLDER
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.replicated_store import ReplicatedStore
from ambershift.system.consensus.write_queue import WriteQueue
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.items import Item
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_SECOND, Write
from tests.support.local_settings import control_node_settings
from tests.system.consensus.conftest import IP, OpenedDisk

OpenDisk = Callable[..., OpenedDisk]
LAST_WRITE = 39


@pytest.fixture(scope="module")
def written_folder(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Path, list[int]]]:
    """A folder in use after `LAST_WRITE` writes, and how long its log was after each."""
    folder = tmp_path_factory.mktemp("live")
    opened = OpenedDisk(folder)
    assert opened.write(0, ("meta", "ip", IP.encode())) is None
    sizes = []
    for number in range(1, LAST_WRITE + 1):
        assert opened.write(number, ("items", f"k{number % 7}", bytes([number]) * 900)) is None
        sizes.append((folder / f"{DATABASE_FILE}-wal").stat().st_size)
    yield folder, sizes
    opened.disk.close()


@pytest.mark.parametrize("number", range(1, LAST_WRITE + 1, 5))
def test_commit_survives_the_loss_of_everything_later(
    number: int, written_folder: tuple[Path, list[int]], open_disk: OpenDisk, tmp_path: Path
) -> None:
    folder, sizes = written_folder
    for file in folder.iterdir():
        if file.is_file():
            shutil.copy(file, tmp_path / file.name)
    with (tmp_path / f"{DATABASE_FILE}-wal").open("r+b") as log:  # The next write is torn at some byte.
        log.truncate(sizes[number - 1] + 37 * number)
        log.seek(-min(20, 37 * number), 2)
        log.write(b"torn"[: min(20, 37 * number)])
    again = open_disk(tmp_path)
    assert max(value[0] for value in again.rows["items"].values()) >= number


@pytest.mark.parametrize("trouble", ["of another machine", "newer", "damaged", "damaged inside"])
def test_unusable_folder_is_quarantined(tmp_path: Path, open_disk: OpenDisk, trouble: str) -> None:
    opened = open_disk(tmp_path, "10.0.0.9" if trouble == "of another machine" else IP)
    items = [("items", f"k{number}", b"v" * 900) for number in range(40)]
    opened.write(1, ("meta", "ip", opened.disk._ip.encode()), *items)
    opened.disk.close()
    if trouble == "newer":
        base = sqlite3.connect(tmp_path / DATABASE_FILE)
        base.execute("PRAGMA user_version=99")
        base.close()
    elif trouble.startswith("damaged"):
        data = bytearray((tmp_path / DATABASE_FILE).read_bytes())
        at = 0 if trouble == "damaged" else 3 * 4096
        data[at : at + 2000] = bytes(2000)
        (tmp_path / DATABASE_FILE).write_bytes(data)
    again = open_disk(tmp_path)
    assert again.rows == {} and again.disk.quarantine_reason
    assert (tmp_path / QUARANTINE_FOLDER / DATABASE_FILE).exists()
    assert again.write(2, ("meta", "ip", IP.encode())) is None
    again.disk.close()
    assert open_disk(tmp_path).rows == {"meta": {"ip": IP.encode()}}


def test_full_disk_rejects_complete_writes_and_accepts_them_later(
    tmp_path: Path, open_disk: OpenDisk
) -> None:
    opened = open_disk(tmp_path)
    opened.write(1, ("meta", "ip", IP.encode()))
    assert opened.disk._connection is not None
    opened.disk._connection.execute("PRAGMA max_page_count=6")
    rows = [("items", f"k{number}", b"v" * 3000) for number in range(20)]
    assert opened.write(2, ("items", "small", b"v"), *rows) == "full"
    assert opened.write(3, ("items", "small", b"v"), *rows) is None  # Opened anew, without the bound.
    opened.disk.close()
    assert len(open_disk(tmp_path).rows["items"]) == 21


def test_callbacks_wait_until_failed_rows_are_on_disk_with_newer_ones() -> None:
    out = EffectBuffer(IP)
    journal = WriteQueue(out)
    told: list[str] = []
    journal.put("t", "a", b"1")
    journal.put("t", "b", b"1")
    journal.on_durable(lambda: told.append("first"))
    journal.flush()
    journal.put("t", "b", b"2")
    journal.on_durable(lambda: told.append("second"))
    assert told == [] and [type(one) for one in out.drain()] == [Write]  # One write at a time.
    journal.handle_write_completed(1, "full")
    journal.flush()
    assert told == [] and journal.is_unhealthy and not any(isinstance(one, Write) for one in out.drain())
    out.now += NS_PER_SECOND
    journal.flush()
    assert out.drain()[-1] == Write(2, (("t", "a", b"1"), ("t", "b", b"2")))
    journal.handle_write_completed(2, None)
    assert told == ["first", "second"] and not journal.is_unhealthy


def settings(folder: Path) -> ProcessSettings:
    return control_node_settings(
        IP,
        name="one",
        data_directory=str(folder),
        internal_ports=(1, 2),
        seeds=(f"{IP}:1",),
        tolerated_losses=(0, 0, 0),
    )


def test_store_keeps_what_it_acknowledged(tmp_path: Path) -> None:
    def add(value: bytes | None, since: int, now: int) -> ChangeOutcome:
        count = int(value or b"0") + 1
        return ChangeOutcome(str(count).encode(), count)

    async def life(initial: bool, work: Callable[[ReplicatedStore], Any]) -> Any:
        shelf = ReplicatedStore(
            replace(settings(tmp_path), initial=initial),
            send=lambda ip, message: None,
            steady_ns=time.monotonic_ns,
            seed=7,
            delta_codecs=lambda name: None,
            log=lambda number, fields: None,
        )
        await shelf.start()
        try:
            return await asyncio.wait_for(work(shelf), 10)
        finally:
            shelf.close()

    async def first(shelf: ReplicatedStore) -> int:
        heard: list[Item] = []
        shelf.subscribe(heard.extend)
        await shelf.write([Item("route", "r", (1, ""), b"{}")], 5)
        assert [one.name for one in heard] == ["r"]
        assert shelf.has_quorum_contact() and [core.ip for core in shelf.control_nodes()] == [IP]
        return int(await shelf.change("n/1", add, 5)) + int(await shelf.change("n/1", add, 5))

    async def second(shelf: ReplicatedStore) -> int:
        await shelf.read_quorum(5)
        assert ("route", "r") in shelf.items()
        return int(await shelf.change("n/1", add, 5))

    assert asyncio.run(life(True, first)) == 1 + 2
    assert asyncio.run(life(False, second)) == 3


def test_folders_made_are_synced_before_anything_is_acknowledged(
    tmp_path: Path, open_disk: OpenDisk, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A loss of power takes a name that its folder wasn't synced for, and all that lies below."""
    synced: list[Path] = []
    monkeypatch.setattr(disk, "sync_folder", synced.append)
    folder = tmp_path / "a" / "b" / "c"
    opened = open_disk(folder)
    assert {tmp_path, tmp_path / "a", tmp_path / "a" / "b", folder} <= set(synced)
    assert (folder / DATABASE_FILE).exists() and synced[-1] == folder
    opened.disk.close()
    before = synced.copy()
    synced.clear()
    open_disk(folder).disk.close()  # The one before may have been killed when it had made them.
    assert synced == before


def test_parent_folders_that_cannot_be_synced_are_ignored_unless_just_made(
    tmp_path: Path, open_disk: OpenDisk, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, refused = disk.sync_folder, [tmp_path]

    def sync(folder: Path) -> None:
        if folder in refused:
            raise PermissionError(folder)
        real(folder)

    monkeypatch.setattr(disk, "sync_folder", sync)
    with pytest.raises(PermissionError):
        open_disk(tmp_path / "a" / "b")  # The name of `a` may be lost.
    open_disk(tmp_path / "a" / "b").disk.close()
    refused.append(tmp_path / "a")
    open_disk(tmp_path / "a" / "b").disk.close()


@pytest.mark.parametrize("lost", [DATABASE_FILE, f"{DATABASE_FILE}-wal", "both"])
@pytest.mark.parametrize("writes", [3, 400])
def test_folder_that_lost_a_file_is_read_without_gaps_or_starts_empty(
    tmp_path: Path, open_disk: OpenDisk, lost: str, writes: int
) -> None:
    """Killed without an end, and then a name is gone: whatever is read has an owner and no holes in it."""
    opened = open_disk(tmp_path / "live")
    assert opened.write(0, ("meta", "ip", IP.encode()), ("meta", "birth", b"7")) is None
    for number in range(1, writes):
        assert opened.write(number, ("items", f"k{number}", b"v" * 900)) is None
    left = tmp_path / "left"
    left.mkdir()
    for name in {DATABASE_FILE, f"{DATABASE_FILE}-wal"} - {lost}:
        if lost != "both":
            shutil.copy(tmp_path / "live" / name, left / name)
    again = open_disk(left)
    numbers = sorted(int(name[1:]) for name in again.rows.get("items", {}))
    assert numbers == list(range(1, len(numbers) + 1))
    assert not numbers or again.rows["meta"] == {"ip": IP.encode(), "birth": b"7"}
    # At the least as an empty one it goes on.
    assert again.write(writes, ("meta", "ip", IP.encode())) is None
