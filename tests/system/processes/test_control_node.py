"""The control node's shell hands on all that its parts rely on: a guard that nobody calls guards nothing."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from ambershift.system.processes.control_node import ControlNode
from ambershift.system.processes.http_server import ACCEPTING_SHARE, create_server, response_deadline_s
from ambershift.system.transport.link_path import CONTROL_NODE, PROXY, PeerIdentity

PARTS = ("store", "registry", "controller", "control_api")


def shell() -> ControlNode:
    """One whose parts only note what they are told."""
    made = object.__new__(ControlNode)
    for name in (*PARTS, "links", "log"):
        setattr(made, name, Mock())
    made.store.control_nodes.return_value = ()  # type: ignore[attr-defined]
    made.settings = SimpleNamespace(seed_ips=())  # type: ignore[assignment]
    made._next_settings_check_s = 0.0
    made.settings_watch = SimpleNamespace(has_changed=lambda: False)  # type: ignore[assignment]
    return made


def test_links_that_come_and_go_are_told_to_the_controller() -> None:
    made = shell()
    made.link_up(PeerIdentity(PROXY, "proxy-1", "a"))
    made.link_up(PeerIdentity(CONTROL_NODE, "10.0.0.1", "b"))
    made.link_lost(PeerIdentity(PROXY, "proxy-1", "a"))
    told = [(name, *args) for name, args, _ in made.controller.method_calls]  # type: ignore[attr-defined]
    assert told == [("proxy_linked", "proxy-1"), ("core_linked", "10.0.0.1"), ("proxy_lost", "proxy-1")]
    made.links.redial_if_stuck.assert_called_once_with("10.0.0.1")  # type: ignore[attr-defined]
    made.reached("10.0.0.1")
    made.store.on_peer_connected.assert_called_once_with("10.0.0.1")  # type: ignore[attr-defined]


@pytest.mark.parametrize("failing", PARTS)
def test_each_part_has_its_tick_though_one_fails(failing: str) -> None:
    made = shell()
    getattr(made, failing).tick.side_effect = ValueError("torn")

    async def once() -> None:
        beat = asyncio.ensure_future(made.run_ticks())
        await asyncio.sleep(0)  # One turn, up to the pause.
        beat.cancel()

    asyncio.run(once())
    assert all(getattr(made, name).tick.called for name in PARTS)
    assert made.log.call_args.args[0] == 6  # type: ignore[attr-defined]


@pytest.mark.parametrize("grace", [1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 10.0, 30.0])
def test_a_request_may_be_at_work_until_the_last_sixth_of_the_grace(grace: float) -> None:
    """uvicorn stops waiting so long after it was told to exit, at `TAKES_ON` of the grace."""
    config = create_server(Mock(), 60, response_deadline_s(grace) - ACCEPTING_SHARE * grace).config
    assert config.timeout_graceful_shutdown is not None
    cut = ACCEPTING_SHARE * grace + config.timeout_graceful_shutdown
    assert grace * 5 / 6 < cut < grace
