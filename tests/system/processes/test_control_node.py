"""The control node's shell hands on all that its parts rely on: a guard that nobody calls guards nothing."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

import pytest

from ambershift.system.processes.http_server import ACCEPTING_SHARE, create_server, response_deadline_s
from ambershift.system.transport.link_path import CONTROL_NODE, PROXY, PeerIdentity

PARTS = ("store", "registry", "controller", "control_api")


def test_controller_is_notified_of_links_up_and_lost(stubbed_control_node: Any) -> None:
    node = stubbed_control_node
    node.link_up(PeerIdentity(PROXY, "proxy-1", "a"))
    node.link_up(PeerIdentity(CONTROL_NODE, "10.0.0.1", "b"))
    node.link_lost(PeerIdentity(PROXY, "proxy-1", "a"))
    told = [(name, *args) for name, args, _ in node.controller.method_calls]
    assert told == [
        ("proxy_linked", "proxy-1"),
        ("control_node_linked", "10.0.0.1"),
        ("proxy_lost", "proxy-1"),
    ]
    node.links.redial_if_stuck.assert_called_once_with("10.0.0.1")
    node.reached("10.0.0.1")
    node.store.on_peer_connected.assert_called_once_with("10.0.0.1")


@pytest.mark.parametrize("failing", PARTS)
def test_each_component_ticks_although_one_fails(stubbed_control_node: Any, failing: str) -> None:
    node = stubbed_control_node
    getattr(node, failing).tick.side_effect = ValueError("torn")

    async def once() -> None:
        beat = asyncio.ensure_future(node.run_ticks())
        await asyncio.sleep(0)  # One turn, up to the pause.
        beat.cancel()

    asyncio.run(once())
    assert all(getattr(node, name).tick.called for name in PARTS)
    assert node.log.call_args.args[0] == 6


@pytest.mark.parametrize("grace", [1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 10.0, 30.0])
def test_request_may_run_until_the_last_sixth_of_the_grace_period(grace: float) -> None:
    """uvicorn stops waiting so long after it was told to exit, at `ACCEPTING_SHARE` of the grace period."""
    config = create_server(Mock(), 60, response_deadline_s(grace) - ACCEPTING_SHARE * grace).config
    assert config.timeout_graceful_shutdown is not None
    cut = ACCEPTING_SHARE * grace + config.timeout_graceful_shutdown
    assert grace * 5 / 6 < cut < grace
