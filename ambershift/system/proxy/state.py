"""What all requests of one proxy share: what is known, what is under way, and what may be done next."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from ambershift.system.proxy.admission import Admission
from ambershift.system.proxy.backend_attempt import Came
from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.backend_view import BackendView, Pool
from ambershift.system.proxy.bounded_event import Awaited
from ambershift.system.proxy.cold_start_limiter import ColdGate
from ambershift.system.proxy.connection_pool import Connections
from ambershift.system.proxy.partition_detector import Isolation
from ambershift.system.proxy.pick import pick
from ambershift.system.proxy.retry_budget import Budget
from ambershift.system.proxy.routing import Routing
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_SECOND


class ProxyState:
    """The state that the requests of one proxy share.

    Attributes:
        steady: The steady clock, in ns.
        request_counts: Requests since the last load report, by pool.
        proxies: How many proxies there may be at the most.
    """

    def __init__(self, settings: ProcessSettings, steady: Callable[[], int], chance: Random) -> None:
        self.settings, self.steady, self.chance = settings, steady, chance
        self.routing = Routing()
        self.backend_view = BackendView(
            settings.region, settings.zones, lambda service: self.routing.service(service).cold_for
        )
        self.connections = Connections(steady)
        self.admission = Admission()
        self.cold = ColdGate(settings.name)
        self.isolation = Isolation()
        self.merged = Awaited()
        self.proxies = 1
        self.draining = False
        self.request_counts: dict[str, int] = {}
        self._on_their_own: set[asyncio.Task[Came]] = set()
        self._budgets: dict[str, Budget] = {}

    def budget(self, service: str) -> Budget:
        found = self._budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = self._budgets[service] = Budget(
                int(bounds.retry_window * NS_PER_SECOND), bounds.retry_ratio
            )
        return found

    def cut(self, now: int) -> bool:
        """Whether no backend answers this proxy, so that a request is better refused at once."""
        return self.isolation.cut(now, self.backend_view.instances.values())

    def pick(self, pool: Pool, now: int, tried: list[Life], left: int) -> Life | None:
        found = pick(pool, now, tried, self.chance, self._cold_may, left)
        if found is not None and now < found.cold_until:
            self.cold.sent(found, now)
        return found

    def _cold_may(self, life: Life, now: int) -> bool:
        bounds = self.settings.bounds
        rate = self.routing.service(life.service).cold_rate * bounds.cold_overrun
        return self.cold.may(life, now, self.proxies, rate)

    def let_run(self, task: asyncio.Task[Came]) -> None:
        """Let an attempt whose answer isn't needed any more end by itself."""

        def ended(task: asyncio.Task[Came]) -> None:
            self._on_their_own.discard(task)
            if not task.cancelled() and task.exception() is None:
                task.result().by.close()

        self._on_their_own.add(task)
        task.add_done_callback(ended)
