"""The file that a control node may lose: replaced as a whole, and nobody waits for it."""

from __future__ import annotations

import os
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from ambershift.system.consensus import cache_file
from ambershift.system.consensus.cache_file import CacheFile


@pytest.fixture
def side(tmp_path: Path) -> Iterator[CacheFile]:
    made = CacheFile(str(tmp_path), "list")
    yield made
    made.close()


def write(side: CacheFile, data: bytes) -> None:
    done = threading.Event()

    def make() -> bytes:
        done.set()
        return data

    assert side.write(make) and done.wait(10)
    while side.is_writing:
        os.sched_yield()


def test_cache_file_is_replaced_atomically_or_kept(
    side: CacheFile, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert side.read() is None
    write(side, b"first")
    assert side.read() == b"first" and not side.failed

    def full(handle: int) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as broken:
        broken.setattr(cache_file.os, "fsync", full)
        write(side, b"second")
    assert side.failed and side.read() == b"first" and os.listdir(tmp_path) == ["list"]
    write(side, b"third")
    assert side.read() == b"third" and not side.failed


def test_write_of_cache_file_blocks_nobody(side: CacheFile) -> None:
    gate = threading.Event()

    def make() -> bytes:
        gate.wait(10)
        return b"late"

    assert side.write(make) and not side.write(lambda: b"more")
    gate.set()
    while side.is_writing:
        os.sched_yield()
    assert side.read() == b"late"
