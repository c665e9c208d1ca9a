"""Fixtures of the distribution's tests."""

from __future__ import annotations

import pytest

from tests.support.simulated_exchange import SimulatedExchange


@pytest.fixture
def world() -> SimulatedExchange:
    """Six zones in three regions, each region with a control node; no backends."""
    return SimulatedExchange("a1", "b1", "c1")
