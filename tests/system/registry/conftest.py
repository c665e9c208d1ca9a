"""Fixtures of the registry's tests."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.simulated_exchange import SimulatedExchange


@pytest.fixture
def world(runner: asyncio.Runner) -> SimulatedExchange:
    """Three control nodes and four backends at each, once all is known everywhere."""
    world = SimulatedExchange("a1", "b1", "c1")
    for ip, zone in world.zones.items():
        for number in range(4):
            world.add_backend(f"{zone}-{number}", f"s{number % 2}", zone, ip)
    runner.run(world.run(5))
    assert all(node.ready_ids() == set(world.backends) for node in world.nodes.values())
    return world
