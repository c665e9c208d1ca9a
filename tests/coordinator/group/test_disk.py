"""A member's folder: synced data survives any crash, and damaged files are set aside with a reason."""

from __future__ import annotations

import asyncio
import errno
import subprocess
import sys
import threading
from collections.abc import Callable, Sequence
from functools import cache

import msgspec
import pytest

from ambershift.coordinator.group.disk import folder as folder_module
from ambershift.coordinator.group.disk.files import LockedError, RealFiles
from ambershift.coordinator.group.disk.folder import DiskError, Folder, Opened, RefusedError
from ambershift.coordinator.group.disk.worker import DiskWorker
from ambershift.coordinator.replication import records
from ambershift.coordinator.replication.log_recovery import FoldedLog, InconsistentLogError
from ambershift.coordinator.replication.types import Entry, PersistedState, Snapshot, Write
from tests.support import simulated_replicas
from tests.support.fault_schedules import run_history
from tests.support.simulated_disk import CrashError, SimulatedFiles

Damage = Callable[[dict[str, bytearray]], None]
WALL = 1_800_000_000_000_000_000


def entries(first: int, last: int, view: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(view, i, i * 7, f"t{i}", bytes([i % 251]) * (i % 40)) for i in range(first, last + 1))


def write(
    ticket: int,
    view: int = 1,
    new: tuple[Entry, ...] = (),
    cut: int = 0,
    committed: int = 0,
    snapshot: Snapshot | None = None,
) -> Write:
    return Write(ticket, "g1", 5, view, view, committed, new, cut, snapshot)


BATCHES = [
    [write(1, new=entries(1, 2))],
    [write(2, new=entries(3, 3)), write(3, committed=2), write(4, new=entries(4, 9))],
    [write(5, view=2, new=entries(7, 8, 2), cut=7)],
    [write(6, view=2, new=entries(9, 12, 2), committed=8)],
    [write(7, view=2, snapshot=Snapshot(8, 2, b"state" * 9, (("t8", b"d", b"a"),)), committed=9)],
    [write(8, view=3, committed=9), write(9, view=3, new=entries(13, 13, 3))],
    [write(10, view=4, snapshot=Snapshot(20, 4, b"all", ()), new=entries(21, 22, 4), committed=21)],
    [write(11, view=4, new=entries(23, 30, 4))],
    [write(12, view=4, committed=23)],
    [write(13, view=4, new=entries(31, 31, 4), committed=24)],
]
WRITES = [one for batch in BATCHES for one in batch]


def state_after(count: int) -> FoldedLog:
    held = FoldedLog()
    for one in WRITES[:count]:
        held.apply(records.to_record(one))
    return held


SAVED_STATES = [state_after(count).to_persisted_state(0) for count in range(len(WRITES) + 1)]


class Workload:
    """Appends all batches, and reopens the folder in their middle, until a fault interrupts it."""

    def __init__(self, files: SimulatedFiles) -> None:
        self.files, self.acked, self.attempted = files, 0, 0
        self.interrupted, self.last_incarnation = False, 0
        try:
            folder = Folder(files, "archive", "n1")
            self.last_incarnation = folder.open(WALL).incarnation
            for at, batch in enumerate(BATCHES):
                if at == 4:
                    folder.close()
                    folder = Folder(files, "archive", "n1")
                    self.last_incarnation = folder.open(WALL + 1).incarnation
                self.attempted += len(batch)
                folder.append(batch)
                self.acked = self.attempted
        except (CrashError, DiskError):
            self.interrupted = True
            if not files.crash_at:
                with pytest.raises(DiskError):  # It doesn't recover by itself.
                    folder.append([write(99, committed=1)])

    def count_held(self, opened: Opened) -> int:
        """Return how many of the writes the folder holds."""
        saved = opened.saved and msgspec.structs.replace(opened.saved, incarnation=0)
        return max(count for count, one in enumerate(SAVED_STATES) if one == saved)


def reopened(files: SimulatedFiles) -> Opened:
    return Folder(files, "archive", "n1").open(WALL + 2)


FILE_CALLS = Workload(SimulatedFiles()).files.calls


@pytest.mark.parametrize("keep", [0.0, 0.5, 0.8, 1.0])
def test_a_crash_at_any_call_loses_nothing_reported_as_synced(keep: float) -> None:
    torn = 0
    for at in range(1, FILE_CALLS + 1):
        for seed in range(1 if keep in (0.0, 1.0) else 40):
            run = Workload(SimulatedFiles(seed * 1000 + at, crash_at=at))
            assert run.interrupted
            left = run.files.after_power_loss(keep)
            opened = reopened(left)
            assert opened.fault is None and not opened.aside, (at, seed, opened)
            assert run.acked <= run.count_held(opened) <= run.attempted, (at, seed)
            assert opened.incarnation > run.last_incarnation
            torn += opened.torn > 0
            # A second crash, during the recovery from the first.
            again = left.after_power_loss(0.5)
            twice = reopened(again)
            assert twice.fault is None and run.acked <= run.count_held(twice) <= run.attempted, (at, seed)
    assert keep in (0.0, 1.0) or torn > 50


def test_a_crash_during_recovery_from_a_crash_loses_nothing() -> None:
    for at in range(1, FILE_CALLS + 1):
        run = Workload(SimulatedFiles(at, crash_at=at))
        for second in range(1, 14):
            left = run.files.after_power_loss(0.6)
            left.crash_at = left.calls + second
            try:
                reopened(left)
            except CrashError:
                opened = reopened(left.after_power_loss(0.6))
                assert opened.fault is None and run.acked <= run.count_held(opened) <= run.attempted, (
                    at,
                    second,
                )


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_failed_call_fails_the_folder_for_good(code: int) -> None:
    for at in range(1, FILE_CALLS + 1):
        for keep in (0.0, 0.5, 1.0):
            run = Workload(SimulatedFiles(at, fail_at=at, error_code=code))
            assert run.interrupted, at
            for left in (
                run.files,
                run.files.after_power_loss(keep),
            ):  # The program restarts, or the machine does.
                left.fail_at = 0
                opened = reopened(left)
                assert opened.fault is None and run.acked <= run.count_held(opened) <= run.attempted, (
                    at,
                    keep,
                )


@cache
def interrupted_workload(crash: int, keep: float) -> tuple[Workload, SimulatedFiles]:
    run = Workload(SimulatedFiles(3, crash_at=crash))
    return run, run.files.after_power_loss(keep)


def damaged(change: Damage, crash: int = 0, keep: float = 1.0) -> tuple[Workload, Opened]:
    run, files = interrupted_workload(crash, keep)
    left = files.after_power_loss(1.0)
    change({name: left.files[name].seen for name in left.files})
    before = {bytes(left.files[name].seen) for name in ("log", "mark") if name in left.files}
    opened = reopened(left)
    kept = {bytes(inode.seen) for inode in left.files.values()}
    assert opened.fault is None or before <= kept, "something was deleted or overwritten"
    assert (opened.fault is None) == (not opened.aside) and (opened.saved is None) >= bool(opened.fault)
    # `lost` stays until a state is recovered.
    assert opened.lost == bool(opened.fault) and reopened(left).lost == opened.lost
    return run, opened


def test_a_flipped_bit_or_truncation_of_synced_data_is_detected() -> None:
    seen = dict.fromkeys(records.LogFault, 0)
    for name in ("log", "mark"):
        size = len(SimulatedFiles.read(Workload(SimulatedFiles()).files, name))
        for at in range(size) if name == "log" else (*range(40), *range(size - 40, size)):
            for change in ("flip", "cut", "zero"):
                # Complete; the last mark torn; the last append torn.
                for crash in (0, FILE_CALLS, FILE_CALLS - 3):

                    def spoil(
                        files: dict[str, bytearray], change: str = change, at: int = at, name: str = name
                    ) -> None:
                        if change == "cut":
                            del files[name][at:]
                        elif at < len(files[name]):
                            files[name][at] ^= 1 << at % 8 if change == "flip" else files[name][at]

                    run, opened = damaged(spoil, crash, 0.5)
                    assert opened.fault or run.count_held(opened) >= run.acked, (name, at, change, crash)
                    if opened.fault:
                        seen[opened.fault] += 1
    # And after a crash at any call: a log is synced before it gets its name and its first mark.
    for crash in range(1, FILE_CALLS + 1):
        for seed in range(24):

            def flip(files: dict[str, bytearray], seed: int = seed, crash: int = crash) -> None:
                if log := files.get("log"):
                    log[(seed * len(log) // 24 + crash % 5) % len(log)] ^= 4

            run, opened = damaged(flip, crash, seed % 3 / 2)
            assert opened.fault or run.count_held(opened) >= run.acked, (crash, seed)
    assert not seen[records.LogFault.NEWER]
    assert all(
        seen[one]
        for one in (
            records.LogFault.EMPTY,
            records.LogFault.SHORT,
            records.LogFault.FLIPPED,
            records.LogFault.UNMARKED,
            records.LogFault.FOREIGN,
        )
    ), seen


def test_foreign_and_inconsistent_files_are_set_aside_with_the_reason() -> None:
    newer = records.encode_preamble(99, 0, records.VERSION + 1)
    older = bytes(Workload(SimulatedFiles(crash_at=FILE_CALLS - 20)).files.files["log"].seen)

    def torn(files: dict[str, bytearray]) -> None:
        log = records.encode_preamble(99, 0)
        for body in (b"\x93\xa7archive\xa2n1\x05", b"\x90"):
            log += records.encode_frame(body, 99, len(log))
        files["log"][:] = log

    cases: dict[records.LogFault, Damage] = {
        records.LogFault.NEWER: lambda files: files["log"].__setitem__(slice(None), newer),
        records.LogFault.FOREIGN: lambda files: files["log"].__setitem__(
            slice(None), b"[settings]\nno log\n"
        ),
        records.LogFault.BEHIND: lambda files: files["log"].__setitem__(slice(None), older),
        records.LogFault.CONTRADICTS: torn,
    }
    for fault, change in cases.items():
        _, opened = damaged(change)
        assert opened.fault is fault and opened.saved is None, (fault, opened)
        assert all(f"-{fault.value}" in name and "20270115T080000Z" in name for name in opened.aside)


def test_a_missing_log_a_void_folder_and_a_foreign_folder() -> None:
    files = Workload(SimulatedFiles()).files
    del files.files["log"]
    assert reopened(files).fault is records.LogFault.MISSING
    for count in (2, 3):
        opened = Folder(files, "archive", "n1").open(WALL, "old-folder")
        assert opened.saved is None and opened.fault is None and opened.incarnation > WALL
        assert sum("old-folder" in name for name in files.files) == 2 * count - 2, opened
    for group, me in (("archive", "n2"), ("other", "n1")):
        names = dict(files.files)
        with pytest.raises(RefusedError):
            Folder(files, group, me).open(WALL)
        assert files.files == names


def test_a_gap_in_the_numbers_fails_the_disk_and_a_grown_log_is_compacted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(folder_module, "MIN_COMPACTION_BYTES", 1000)
    folder = Folder(SimulatedFiles(), "archive", "n1")
    folder.open(WALL)
    for at in range(400):
        folder.append([write(at, committed=at)])
    assert folder.log_size < 1100
    with pytest.raises(DiskError, match="entry 3 in place of entry 1"):
        folder.append([write(401, new=entries(3, 3))])
    with pytest.raises(InconsistentLogError):
        state_after(2).apply(records.to_record(write(1, new=entries(5, 5), cut=2)))


def test_the_folder_holds_what_replicas_expect(monkeypatch: pytest.MonkeyPatch) -> None:
    """Compare the state after each write of generated histories with the plain model of the replica tests."""
    plain, seen = simulated_replicas.folder_after, list[int]()

    def both(saved: PersistedState | None, one: Write) -> PersistedState:
        held, wanted = FoldedLog(), plain(saved, one)
        if saved is not None:
            held.apply(records.LogRecord(saved.group, saved.view, 0, saved.committed, (), 0, saved.snapshot))
            held.apply(records.LogRecord(saved.group, saved.view, 0, saved.committed, saved.entries, 0, None))
        held.apply(records.to_record(one))
        assert held.to_persisted_state(one.incarnation) == wanted
        seen.append(len(one.entries))
        return wanted

    monkeypatch.setattr(simulated_replicas, "folder_after", both)
    for seed in range(8):
        run_history(seed, acts=25)
    assert len(seen) > 100 and 0 in seen and max(seen) > 5


class RecordingListener:
    def __init__(self) -> None:
        self.calls_seen: list[int | str] = []
        self.change = asyncio.Event()

    def synced(self, ticket: int) -> None:
        self.calls_seen.append(ticket)
        self.change.set()

    def failed(self, reason: str) -> None:
        self.calls_seen.append(reason)
        self.change.set()

    async def until(self, last: int | str) -> None:
        while last not in self.calls_seen:
            self.change.clear()
            await asyncio.wait_for(self.change.wait(), 20)


def test_queued_writes_share_a_sync_and_are_reported_in_order(tmp_path: object) -> None:
    async def scenario() -> None:
        folder = Folder(RealFiles(f"{tmp_path}/n1"), "archive", "n1")
        assert folder.open(WALL) == Opened(None, WALL, None, "", (), 0, False)
        listener = RecordingListener()
        disk = DiskWorker(folder, listener, asyncio.get_running_loop())
        for one in WRITES:
            disk.write(one)
        disk.start()
        await listener.until(13)
        assert disk.syncs == 1 and disk.close() and listener.calls_seen == [13]
        again = Folder(RealFiles(f"{tmp_path}/n1"), "archive", "n1").open(WALL)
        assert again.saved is not None and again.saved.entries == entries(21, 31, 4)
        assert again.incarnation == WALL + 1

    asyncio.run(scenario())


@pytest.mark.parametrize(("full", "fails"), [(False, True), (True, False), (True, True)])
def test_a_failed_or_hanging_disk_is_reported_once_and_nothing_after_it(full: bool, fails: bool) -> None:
    async def scenario() -> None:
        files, entered, hold = SimulatedFiles(), threading.Event(), threading.Event()
        folder, listener = Folder(files, "archive", "n1"), RecordingListener()
        folder.open(WALL)
        disk = DiskWorker(folder, listener, asyncio.get_running_loop(), max_queued_writes=4)
        inner = folder.append

        def held(writes: Sequence[Write]) -> None:
            entered.set()
            hold.wait(20)
            inner(writes)

        folder.append = held  # type: ignore[method-assign]
        files.fail_at, files.error_code = files.calls + 1 if fails else 0, errno.ENOSPC
        disk.start()
        disk.write(write(1))
        entered.wait(20)
        for at in range(2, 12 if full else 2):
            disk.write(write(at, committed=at))
        hold.set()
        await listener.until("it is too slow: 4 writes wait" if full else "write (errno 28)")
        disk.write(write(12))
        assert disk.close()
        await asyncio.sleep(0)
        assert len(listener.calls_seen) == 1

    asyncio.run(scenario())


def test_two_processes_cannot_open_one_folder(tmp_path: object) -> None:
    mine = RealFiles(f"{tmp_path}/n1")
    Folder(mine, "archive", "n1").open(WALL)
    code = (
        "from ambershift.coordinator.group.disk.files import RealFiles, LockedError\n"
        "try: RealFiles({0!r}).lock(); print('open')\nexcept LockedError as e: print('locked')"
    )
    ask = [sys.executable, "-c", code.format(f"{tmp_path}/n1")]
    assert subprocess.run(ask, capture_output=True, text=True, check=True).stdout == "locked\n"
    with pytest.raises(LockedError):
        Folder(RealFiles(f"{tmp_path}/n1"), "archive", "n1").open(WALL)
    mine.unlock()
    assert subprocess.run(ask, capture_output=True, text=True, check=True).stdout == "open\n"
