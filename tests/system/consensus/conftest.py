"""Fixtures of the consensus tests: simulated control nodes that have started, and a control node's folder."""

from __future__ import annotations

import queue
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Protocol

import pytest

from ambershift.system.consensus.disk import Disk, Rows
from ambershift.system.simulation.lists import Lists
from ambershift.system.state_machine import Write

IP = "10.0.0.1"


class StartedLists(Protocol):
    """Simulated control nodes without message loss, run for `seconds` so that they have found each other."""

    def __call__(self, seed: int, count: int, seconds: float = 2.5) -> Lists: ...


@pytest.fixture
def started_lists() -> StartedLists:
    def start(seed: int, count: int, seconds: float = 2.5) -> Lists:
        world = Lists(seed, loss=0, count=count)
        world.run(seconds)
        return world

    return start


class OpenedDisk:
    """A disk on the folder, with its answers in a queue."""

    def __init__(self, folder: Path, ip: str = IP) -> None:
        self.completed: queue.Queue[tuple[int, str | None]] = queue.Queue()
        self.disk = Disk(str(folder), ip, lambda token, fault: self.completed.put((token, fault)))
        self.rows: Rows = self.disk.open()

    def write(self, token: int, *rows: tuple[str, str, bytes | None]) -> str | None:
        self.disk.write(Write(token, rows))
        completed, fault = self.completed.get(timeout=10)
        assert completed == token
        return fault


@pytest.fixture
def open_disk() -> Iterator[Callable[..., OpenedDisk]]:
    """Opens disks; those that a test leaves open are closed after it."""
    opened: list[OpenedDisk] = []

    def open_one(folder: Path, ip: str = IP) -> OpenedDisk:
        opened.append(OpenedDisk(folder, ip))
        return opened[-1]

    yield open_one
    for each in opened:
        each.disk.close()
