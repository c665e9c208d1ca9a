"""Forwards one request to backends: attempts, retries, and a hedged attempt while a backend is silent."""

from __future__ import annotations

import asyncio

from ambershift.system.proxy.admission import MAX_PRIORITY
from ambershift.system.proxy.backend_attempt import Attempt, AttemptResult, RequestBuilder
from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.backend_view import BackendPool
from ambershift.system.proxy.retry_policy import Outcome, RetryState, Stage
from ambershift.system.proxy.routing import Route
from ambershift.system.proxy.state import ProxyState
from ambershift.system.state_machine import NS_PER_SECOND

AttemptTask = asyncio.Task[AttemptResult]

# The share of a route's target time that each step of priority gives up when all backends have queues.
PRIORITY_TARGET_STEP = 0.1


class RequestForwarder:
    """Makes the attempts of one request until a response can be passed on, or no further one is allowed.

    Attributes:
        retry_state: The attempts so far.
        no_backend_left: Whether an attempt was allowed, but there was no backend for it.
        client_disconnected: Whether the client has disconnected.
    """

    def __init__(
        self,
        proxy: ProxyState,
        route: Route,
        pool: BackendPool,
        deadline: int,
        attempt_id: bytes,
        build_request: RequestBuilder,
    ) -> None:
        """Prepare to forward; `run` makes the attempts.

        Args:
            proxy: The state that requests share.
            route: The route of the request.
            pool: The backends to choose among.
            deadline: When the response is due, ns on the monotonic clock.
            attempt_id: The id that responses have to echo.
            build_request: Builds the request for each attempt.
        """
        self.retry_state = RetryState(route.idempotent, route.max_attempts, deadline)
        self.no_backend_left = False
        self.client_disconnected = False
        self._proxy = proxy
        self._pool = pool
        self._attempt_id = attempt_id
        self._build_request = build_request
        self._budget = proxy.budget(pool.service)
        target_share = 1 - PRIORITY_TARGET_STEP * min(route.priority, MAX_PRIORITY)
        self._target = min(deadline, proxy.monotonic_ns() + int(route.target_ns * target_share))
        self._tried = list[BackendInstance]()
        self._open_attempts = list[Attempt]()

    async def run(self) -> AttemptResult | None:
        """Make the attempts.

        Returns:
            The result whose response is to be passed on; None where the proxy has to respond itself.

        Raises:
            UnsendableError: The client's request is invalid.
        """
        error_response = None
        while (attempt := self._start_attempt()) is not None:
            if self.retry_state.idempotent and self.retry_state.max_attempts > 1:
                result = await self._run_hedged(attempt)
            else:
                result = await self._run_attempt(attempt)
            if self.client_disconnected or result.outcome is Outcome.SUCCESS:
                return result
            error_response = result if result.response is not None else None
        return error_response

    def handle_disconnect(self) -> None:
        """The client has disconnected: end all attempts, so that the backends may drop the request."""
        self.client_disconnected = True
        for attempt in self._open_attempts:
            attempt.handle_disconnect()

    def _start_attempt(self) -> Attempt | None:
        """Start the next attempt, if one is allowed and there is a backend for it."""
        proxy, retry_state = self._proxy, self.retry_state
        now = proxy.monotonic_ns()
        if self.client_disconnected or not retry_state.may_attempt(now):
            return None
        instance = proxy.pick(self._pool, now, self._tried, self._target - now)
        if instance is None:
            self.no_backend_left = True
            return None
        is_charged = retry_state.needs_budget
        if is_charged and not self._budget.take(now):
            return None
        retry_state.record_start()
        self._tried.append(instance)
        is_local_region = instance.region == proxy.settings.region
        attempt = Attempt(proxy.connections, proxy.monotonic_ns, instance, is_local_region, is_charged)
        self._open_attempts.append(attempt)
        return attempt

    async def _run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt to its end, and record it."""
        try:
            result = await attempt.run(self.retry_state, self._attempt_id, self._build_request)
        finally:
            self._open_attempts.remove(attempt)
        if attempt.charged and result.stage <= Stage.CONNECTED:
            self._budget.give_back(self._proxy.monotonic_ns())
        self.retry_state.record_end(result.stage, result.outcome)
        if result.stage is Stage.RESPONSE_COMPLETE:
            self._proxy.partition_detector.last_response_at = self._proxy.monotonic_ns()
        if result.outcome is Outcome.SUCCESS:
            self._open_attempts.append(attempt)  # The end of a large response is still to come.
        return result

    async def _run_hedged(self, first: Attempt) -> AttemptResult:
        """Run an attempt, and a hedged one elsewhere once its backend is silent to all requests.

        The first good response counts. The other attempt is not cancelled: its backend may be executing the
        request.
        """
        first_task: AttemptTask = asyncio.ensure_future(self._run_attempt(first))
        await _wait_for_task(first_task, first.instance.silence_timeout_ns() / NS_PER_SECOND)
        pending = {first_task}
        try:
            if not first_task.done() and first.instance.is_silent_since(first.started_at):
                hedged = self._start_attempt()
                if hedged is not None:
                    pending.add(asyncio.ensure_future(self._run_attempt(hedged)))
            while True:
                done = {task for task in pending if task.done()}
                if not done:
                    done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                pending = pending - done
                results = [task.result() for task in done]
                results.sort(key=lambda result: result.outcome is Outcome.SUCCESS)
                if results[-1].outcome is Outcome.SUCCESS or not pending:
                    for unused in results[:-1]:
                        unused.attempt.close()
                    return results[-1]
        except BaseException:
            for task in pending:
                task.cancel()
            raise
        finally:
            for task in pending:
                self._proxy.detach(task)


async def _wait_for_task(task: AttemptTask, timeout_s: float) -> None:
    """Wait until the task is done or the time is over.

    Each request comes by here, and `asyncio.wait` takes five times as long.
    """
    loop = asyncio.get_running_loop()
    waiter: asyncio.Future[None] = loop.create_future()

    def wake(_: object = None) -> None:
        if not waiter.done():
            waiter.set_result(None)

    timer = loop.call_later(timeout_s, wake)
    task.add_done_callback(wake)
    try:
        await waiter
    except BaseException:
        task.cancel()
        raise
    finally:
        timer.cancel()
