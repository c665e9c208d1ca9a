"""One attempt at one backend: a connection, the request on it, its outcome, and the backend's statistics."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import httpcore

from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.connection_pool import ConnectionPool, connect_timeout_s
from ambershift.system.proxy.headers import Headers, read_queue_length, read_response_head
from ambershift.system.proxy.http_exchange import AttemptError, BackendConnection, BackendResponse, exchange
from ambershift.system.proxy.retry_policy import (
    MISDIRECTED_REQUEST,
    Ending,
    Outcome,
    RetryState,
    Stage,
    classify_attempt,
)
from ambershift.system.state_machine import NS_PER_SECOND

# Builds the request for a connection, a backend and the time left until the deadline, in ns.
RequestBuilder = Callable[[BackendConnection, BackendInstance, int], httpcore.Request]


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt.

    Attributes:
        attempt: The attempt.
        outcome: What it came to.
        stage: How far it got.
        headers: The headers to pass on.
        response: The backend's response, if it may be passed on.
    """

    attempt: Attempt
    outcome: Outcome
    stage: Stage
    headers: Headers
    response: BackendResponse | None = None


class Attempt:
    """One attempt; it runs once. From its creation on, it counts as a request in flight at the backend.

    Attributes:
        instance: The backend.
        charged: Whether it was charged to the service's retry budget.
        started_at: When it started, ns on the monotonic clock.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        monotonic_ns: Callable[[], int],
        instance: BackendInstance,
        is_local_region: bool,
        charged: bool,
    ) -> None:
        """Start an attempt; `is_local_region` where the backend is in the proxy's own region."""
        self.instance = instance
        self.charged = charged
        self.started_at = monotonic_ns()
        self._connections = connections
        self._monotonic_ns = monotonic_ns
        self._is_local_region = is_local_region
        self._connection: BackendConnection | None = None
        self._client_disconnected = False
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._in_progress = True
        instance.record_start(self.started_at)

    async def run(
        self, retry_state: RetryState, attempt_id: bytes, build_request: RequestBuilder
    ) -> AttemptResult:
        """Make the attempt.

        A large response is not complete yet: read the rest by `read_remaining`, and call `close` at the end.

        Raises:
            UnsendableError: The client's request is invalid.
        """
        try:
            connection = await self._connect(retry_state)
            now = self._monotonic_ns()
            is_expired = now >= retry_state.deadline
            if self._client_disconnected or is_expired or not self.instance.is_eligible(now):
                connection.socket_stream.close()
                raise AttemptError(Stage.CONNECTED, Ending.ABANDONED)
            self._connection = connection
            time_left_ns = retry_state.deadline - now
            self._deadline_timer = asyncio.get_running_loop().call_later(
                time_left_ns / NS_PER_SECOND, connection.socket_stream.abort_exchange
            )
            silence_timeout_ns = self.instance.silence_timeout_ns()
            stale_wait_ns = min(time_left_ns, silence_timeout_ns if retry_state.idempotent else time_left_ns)
            response = await exchange(
                connection,
                build_request(connection, self.instance, time_left_ns),
                attempt_id,
                stale_wait_ns / NS_PER_SECOND,
                self._connections.response_buffer_size,
            )
        except AttemptError as error:
            self._record_failure(error.stage, error.ending)
            return AttemptResult(self, classify_attempt(error.stage, error.ending), error.stage, [])
        except BaseException:
            self.close()
            raise
        return self._evaluate(connection, response, attempt_id)

    async def read_remaining(self, response: BackendResponse) -> AsyncIterator[bytes]:
        """Yield the parts of a large response that were still to come.

        Raises:
            AttemptError: The response is incomplete.
        """
        assert response.remaining_body is not None
        assert self._connection is not None
        try:
            async for part in response.remaining_body:
                yield part
        except AttemptError as error:
            self._record_failure(error.stage, error.ending)
            raise
        self._record_success(self._connection, response)

    def handle_disconnect(self) -> None:
        """The client has disconnected: end the exchange, so that the backend may drop the request."""
        if not self._in_progress:
            return  # The connection may serve another request by now.
        self._client_disconnected = True
        if self._connection is not None:
            self._connection.socket_stream.abort_exchange()

    def close(self) -> None:
        """Abandon the attempt; one that has ended already is not affected."""
        if self._in_progress:
            self._end()
            self.instance.record_abandoned()
            if self._connection is not None:
                self._connection.socket_stream.close()

    async def _connect(self, retry_state: RetryState) -> BackendConnection:
        connection = self._connections.take_idle(self.instance, retry_state.idempotent)
        if connection is not None:
            return connection
        time_left_ns = retry_state.deadline - self.started_at
        timeout_s = connect_timeout_s(self._is_local_region, retry_state.connect_failures, time_left_ns)
        return await self._connections.connect(self.instance, timeout_s)

    def _evaluate(
        self, connection: BackendConnection, response: BackendResponse, attempt_id: bytes
    ) -> AttemptResult:
        """Judge a response, and record it in the backend's statistics."""
        head, headers = read_response_head(response.status, response.headers, attempt_id)
        outcome = classify_attempt(Stage.RESPONSE_COMPLETE, Ending.RESPONDED, head)
        now = self._monotonic_ns()
        queue_length = read_queue_length(response.headers) if head.matches_attempt else None
        if queue_length is not None:
            self.instance.record_load(now, queue_length)
        if response.followed_stale:
            self._connections.record_unexpected_bytes(self.instance)
        if not head.matches_attempt:
            self._record_failure(Stage.RESPONSE_COMPLETE, Ending.MALFORMED)
            connection.socket_stream.close()
            return AttemptResult(self, outcome, Stage.RESPONSE_COMPLETE, headers)
        is_complete = response.remaining_body is None
        if outcome is Outcome.SUCCESS:
            if is_complete:
                self._record_success(connection, response)
            return AttemptResult(self, outcome, Stage.RESPONSE_COMPLETE, headers, response)
        self._end()
        if is_complete:
            self._connections.release(self.instance, connection, response.headers)
        else:
            connection.socket_stream.close()
        if outcome is Outcome.NOT_RUN:
            self.instance.record_rejection(now, gone=response.status == MISDIRECTED_REQUEST)
        else:
            self.instance.record_failure(now, now - self.started_at, conclusive=False)
        may_be_passed_on = outcome is Outcome.ERROR_RESPONSE and is_complete
        return AttemptResult(
            self, outcome, Stage.RESPONSE_COMPLETE, headers, response if may_be_passed_on else None
        )

    def _record_success(self, connection: BackendConnection, response: BackendResponse) -> None:
        self._end()
        now = self._monotonic_ns()
        self._connections.release(self.instance, connection, response.headers)
        self.instance.record_success(now, now - self.started_at)

    def _record_failure(self, stage: Stage, ending: Ending) -> None:
        """The attempt has ended without a response to it."""
        self._end()
        if self._client_disconnected or ending is Ending.ABANDONED:
            self.instance.record_abandoned()
            return
        now, instance = self._monotonic_ns(), self.instance
        is_unresponsive = instance.is_silent_since(self.started_at)
        if ending is Ending.CONNECTION_LOST and not is_unresponsive:
            instance.record_load(now, 1)  # Some backends reset connections when they are overloaded.
        is_conclusive = is_unresponsive and ending is not Ending.MALFORMED
        instance.record_failure(now, now - self.started_at, conclusive=is_conclusive)
        if ending is Ending.MALFORMED:
            self._connections.record_unexpected_bytes(self.instance)

    def _end(self) -> None:
        self._in_progress = False
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
