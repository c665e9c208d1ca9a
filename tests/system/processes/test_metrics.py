"""Figures of the two roles: told as text on their own port, nothing loaded before somebody asks."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys
import tomllib
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from ambershift.system.consensus.membership_view import MembershipStatus, VoterStatus
from ambershift.system.messages.items import ROUTE, Item
from ambershift.system.messages.proxy_link import ControlNodeHeartbeat, ItemUpdate
from ambershift.system.node_selection.selector import ControlNodeSelector
from ambershift.system.processes import metrics
from ambershift.system.processes.attachment_log import AttachmentLog
from ambershift.system.processes.http_server import bind_listener, try_bind_listener
from ambershift.system.processes.metrics import (
    CONTROL_PORT,
    PATH,
    PROXY_PORT,
    Metric,
    MetricsMiddleware,
    render,
)
from ambershift.system.state_machine import NS_PER_SECOND

DEPLOY = Path(__file__).parents[3] / "deploy" / "system.toml"


def asked(port: int, path: str, method: str = "GET") -> tuple[int, bytes, list[str]]:
    """Status, body, and what the application behind was asked."""
    behind, sent = list[str](), list[Any]()

    async def application(scope: Any, receive: Any, send: Any) -> None:
        behind.append(scope["path"])

    async def send(message: Any) -> None:
        sent.append(message)

    made = MetricsMiddleware(application, 9000, lambda: [Metric("items", "items held", 3)])
    scope = {"type": "http", "server": ("127.0.0.1", port), "path": path, "method": method}
    asyncio.run(made(scope, None, send))
    return (sent[0]["status"], sent[1]["body"], behind) if sent else (0, b"", behind)


def test_metrics_are_served_on_their_own_port_only() -> None:
    status, body, behind = asked(9000, PATH)
    assert status == 200 and not behind
    assert (
        b"# HELP ambershift_items items held\n# TYPE ambershift_items gauge\nambershift_items 3.0\n" in body
    )
    assert asked(9000, "/other")[0] == 404 and asked(9000, PATH, "POST")[0] == 404
    assert asked(9001, PATH) == (0, b"", [PATH])


def test_metric_may_have_a_value_for_each_label() -> None:
    body = render([Metric("abandoned_links_total", "left", label="reason", values={"stale": 2, "silent": 1})])
    assert (
        b'ambershift_abandoned_links_total{reason="stale"} 2.0' in body and b'{reason="silent"} 1.0' in body
    )
    assert b"# TYPE ambershift_abandoned_links_total counter\n" in body and b"_created" not in body


def test_prometheus_client_is_not_imported_before_the_first_scrape() -> None:
    code = (
        "import sys; import ambershift.system.processes.proxy, ambershift.system.processes.control_node;"
        "sys.exit('prometheus_client' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_deploy_file_names_the_ports_that_the_roles_open() -> None:
    roles = tomllib.loads(DEPLOY.read_text("utf-8"))["roles"]
    assert roles["proxy"]["metrics"] == f"{PROXY_PORT}{PATH}"
    assert roles["control"]["metrics"] == f"{CONTROL_PORT}{PATH}"


def test_occupied_metrics_port_is_skipped() -> None:
    with bind_listener("127.0.0.1:0") as first:
        first.listen()
        port = first.getsockname()[1]
        assert try_bind_listener(f"127.0.0.1:{port}") is None
        with pytest.raises(OSError, match="already in use"):
            bind_listener(f"127.0.0.1:{port}")


def values(figures: list[Metric]) -> dict[str, float]:
    return {one.name: one.value for one in figures}


def test_proxy_reports_configuration_version_and_age() -> None:
    selector = ControlNodeSelector("p", "z", "r", ())
    made = AttachmentLog(selector, Mock(), lambda: 7 * NS_PER_SECOND, Mock())
    assert values(made.metrics(linked=False))["configuration_age_seconds"] == -1.0
    selector.record_heartbeat(6 * NS_PER_SECOND, ControlNodeHeartbeat((), True, 1, 500))
    made.configuration_applied(
        ItemUpdate((Item(ROUTE, "r", (12, "agreed"), b"{}"), Item("zone", "z", (99, "a"))), False)
    )
    found = values(made.metrics(linked=False))
    assert found["configuration_version"] == 12 and found["configuration_age_seconds"] == 1.5


def test_control_node_reports_contact_and_replicas(stubbed_control_node: Any) -> None:
    node = stubbed_control_node
    node.controller.hellos = {"p": 1}
    node.store.items.return_value = {1: Item(ROUTE, "r", (12, "agreed"), b"{}")}
    node.store.contact_age_ms.return_value = 250
    node.store.has_quorum_contact.return_value = True
    voters = tuple(VoterStatus(ip, "z", True, True, False) for ip in ("a", "b", "c"))
    node.store.membership_status.return_value = MembershipStatus(4, voters, 2, 0, ())
    node.registry.endpoints.return_value = {}
    node.links = SimpleNamespace(
        dialled_queues={"a": SimpleNamespace(pending_bytes=5)},
        accepted_queues={"b": SimpleNamespace(pending_bytes=7)},
    )
    found = values(node.metrics())
    assert (
        found["quorum_contact_age_seconds"] == 0.25
        and found["quorum_contact"] == 1
        and found["membership_epoch"] == 4
    )
    assert found["complete_replicas"] == 2 and found["links_send_queue_bytes"] == 12
    assert found["linked_proxies"] == 1 and found["configuration_version"] == 12
    assert (found["voters"], found["backends"]) == (3, 0)


def test_page_lists_the_metrics_that_are_served() -> None:
    page = (DEPLOY.parents[1] / "docs/system.md").read_text("utf-8").partition("## Metrics")[2]
    listed = set(re.findall(r"^\| [a-z, ]+ \| `(\w+)` \|", page, re.M))
    sources = Path(metrics.__file__).parent.glob("*.py")
    served = {name for file in sources for name in re.findall(r'Metric\(\s*"(\w+)"', file.read_text("utf-8"))}
    assert served and listed == served
