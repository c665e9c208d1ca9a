"""Fixtures of the control API's tests: a cluster of three nodes in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from tests.support.fake_control_nodes import FakeCluster, VirtualTimeLoop


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """A loop whose time jumps from timer to timer."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as opened:
        yield opened


@pytest.fixture
def cluster(runner: asyncio.Runner) -> FakeCluster:
    loop = runner.get_loop()
    assert isinstance(loop, VirtualTimeLoop)
    return FakeCluster(loop)
