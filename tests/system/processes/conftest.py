"""Fixtures of the processes' tests: a control node whose parts are stubs."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from ambershift.system.consensus.replicated_store import ReplicatedStore
from ambershift.system.control_api.application import ControlApi
from ambershift.system.distribution.controller import Controller
from ambershift.system.processes.control_node import ControlNode
from ambershift.system.registry.service import RegistryService
from ambershift.system.transport.links import Links


@pytest.fixture
def stubbed_control_node() -> Any:
    """A control node whose parts are stubs; a call that the real part doesn't have is an error."""
    node: Any = object.__new__(ControlNode)
    node.store = Mock(spec=ReplicatedStore)
    node.registry = Mock(spec=RegistryService)
    node.controller = Mock(spec=Controller, hellos={})
    node.control_api = Mock(spec=ControlApi)
    node.links = Mock(spec=Links)
    node.log = Mock()
    node.store.control_nodes.return_value = ()
    node.settings = SimpleNamespace(seed_ips=())
    node._next_settings_check_s = 0.0
    node.settings_watch = SimpleNamespace(has_changed=lambda: False)
    return node
