"""Which of two records of a backend a proxy uses."""

from __future__ import annotations

import msgspec

from ambershift.system.messages.proxy_link import Backend, BackendUpdate
from ambershift.system.proxy.backend_view import BackendView
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.simulated_exchange import ZONES

NOW = 1000 * NS_PER_SECOND


def test_proxy_prefers_confirmed_instances_to_those_of_a_snapshot() -> None:
    view = BackendView("a", ZONES, lambda service: 3 * NS_PER_SECOND)
    confirmed = Backend("one", "s", "x:1", "a1", 4, False, 2000)
    view.update(NOW, BackendUpdate((confirmed,), (), True))
    cold_until = view.instances["one"].cold_until
    unconfirmed = Backend("two", "s", "x:2", "b1", 4, False, 0, True)
    view.start_evacuation("b1")
    view.end_evacuation(NOW, "b1")
    view.update(NOW + 3 * NS_PER_SECOND, BackendUpdate((without_warm_up(confirmed), unconfirmed), (), False))
    assert view.instances["one"].cold_until == cold_until
    # The unconfirmed record may be older than the evacuation.
    assert view.instances["two"].cold_until == NOW + 4 * NS_PER_SECOND


def without_warm_up(backend: Backend) -> Backend:
    """The unconfirmed record of a backend that doesn't warm up any more."""
    return msgspec.structs.replace(backend, warm_up_ms=0, unconfirmed=True)
