"""Which of two records of a backend a proxy goes by."""

from __future__ import annotations

import msgspec

from ambershift.system.messages.proxy_link import Backend, BackendUpdate
from ambershift.system.proxy.backend_view import BackendView
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.simulated_exchange import ZONES

NOW = 1000 * NS_PER_SECOND


def test_proxy_prefers_confirmed_instances_to_those_of_a_snapshot() -> None:
    view = BackendView("a", ZONES, lambda service: 3 * NS_PER_SECOND)
    told = Backend("one", "s", "x:1", "a1", 4, False, 2000)
    view.take(NOW, BackendUpdate((told,), (), True))
    until = view.instances["one"].cold_until
    other = Backend("two", "s", "x:2", "b1", 4, False, 0, True)
    view.evacuate("b1")
    view.take_back(NOW, "b1")
    view.take(NOW + 3 * NS_PER_SECOND, BackendUpdate((replace_cold(told), other), (), False))
    assert view.instances["one"].cold_until == until
    assert view.instances["two"].cold_until == NOW + 4 * NS_PER_SECOND  # It may be from before.


def replace_cold(told: Backend) -> Backend:
    return msgspec.structs.replace(told, warm_up_ms=0, unconfirmed=True)
