"""The state that all requests of one proxy share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from ambershift.system.proxy.admission import Admission
from ambershift.system.proxy.backend_attempt import AttemptResult
from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.backend_view import BackendPool, BackendView
from ambershift.system.proxy.bounded_event import BoundedEvent
from ambershift.system.proxy.cold_start_limiter import ColdStartLimiter
from ambershift.system.proxy.connection_pool import ConnectionPool
from ambershift.system.proxy.partition_detector import PartitionDetector
from ambershift.system.proxy.pick import pick
from ambershift.system.proxy.retry_budget import RetryBudget
from ambershift.system.proxy.routing import Routing
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_SECOND


class ProxyState:
    """The state that the requests of one proxy share.

    Attributes:
        settings: The settings of the process.
        monotonic_ns: The monotonic clock, in ns.
        random: The source of random numbers.
        routing: Routes and services.
        backend_view: The backends, their pools and tables.
        connections: Connections to backends.
        admission: What requests in flight use.
        cold_start_limiter: Limits what is sent to cold backends.
        partition_detector: Detects that no backend responds to this proxy.
        configuration_loaded: Set once the proxy has the complete configuration.
        max_proxies: How many proxies there may be.
        draining: Whether the proxy is about to end.
        request_counts: Requests since the last load report, by pool.
    """

    def __init__(self, settings: ProcessSettings, monotonic_ns: Callable[[], int], random: Random) -> None:
        """Start without a configuration and backends."""
        self.settings = settings
        self.monotonic_ns = monotonic_ns
        self.random = random
        self.routing = Routing()
        self.backend_view = BackendView(
            settings.region,
            settings.zones,
            lambda service: self.routing.service(service).cold_duration_ns,
        )
        self.connections = ConnectionPool(monotonic_ns)
        self.admission = Admission()
        self.cold_start_limiter = ColdStartLimiter(settings.name)
        self.partition_detector = PartitionDetector()
        self.configuration_loaded = BoundedEvent()
        self.max_proxies = 1
        self.draining = False
        self.request_counts: dict[str, int] = {}
        self._detached_attempts: set[asyncio.Task[AttemptResult]] = set()
        self._budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            window_ns = int(bounds.retry_window * NS_PER_SECOND)
            budget = self._budgets[service] = RetryBudget(window_ns, bounds.retry_ratio)
        return budget

    def should_reject(self, now: int) -> bool:
        """Return whether no backend responds to this proxy, so that a request is better rejected at once."""
        return self.partition_detector.should_reject(now, self.backend_view.instances.values())

    def pick(
        self, pool: BackendPool, now: int, tried: list[BackendInstance], time_left_ns: int
    ) -> BackendInstance | None:
        """Pick the backend for an attempt, and record it if the backend is cold.

        Args:
            pool: The backends to choose among.
            now: The monotonic time, in ns.
            tried: Those that the request was sent to already.
            time_left_ns: How long the response may take if all backends have queues.
        """
        instance = pick(pool, now, tried, self.random, self._may_send_cold, time_left_ns)
        if instance is not None and now < instance.cold_until:
            self.cold_start_limiter.record_sent(instance, now)
        return instance

    def _may_send_cold(self, instance: BackendInstance, now: int) -> bool:
        service = self.routing.service(instance.service)
        requests_per_s = service.cold_requests_per_s * self.settings.bounds.cold_overrun
        return self.cold_start_limiter.may_send(instance, now, self.max_proxies, requests_per_s)

    def detach(self, task: asyncio.Task[AttemptResult]) -> None:
        """Let an attempt whose response isn't needed any more end by itself."""

        def finish(task: asyncio.Task[AttemptResult]) -> None:
            self._detached_attempts.discard(task)
            if not task.cancelled() and task.exception() is None:
                task.result().attempt.close()

        self._detached_attempts.add(task)
        task.add_done_callback(finish)
