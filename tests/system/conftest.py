"""Fixtures shared by several packages of the system's tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from ambershift.system.simulation.forgetting_soon import forgetting_soon


@pytest.fixture
def early_collection() -> Iterator[None]:
    """Tombstones are collected after seconds, in small batches."""
    with forgetting_soon():
        yield
