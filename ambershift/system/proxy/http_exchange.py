"""One exchange on one connection, by `httpcore`: the response, or how far the exchange got."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterable, AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any, cast

import httpcore

from ambershift.system.proxy.retry_policy import Ending, Stage
from ambershift.system.proxy.socket_stream import ExchangeAbortedError, IdleState, SocketStream
from ambershift.system.state_machine import NS_PER_SECOND

Headers = Sequence[tuple[bytes, bytes]]

DEFAULT_KEEP_ALIVE_NS = 4 * NS_PER_SECOND  # How long a backend keeps an idle connection if it doesn't say.
# A response is buffered up to this size before any of it is passed on. The lower limit holds while many
# requests are in flight.
RESPONSE_BUFFER_MAX = 256 << 10
RESPONSE_BUFFER_MIN = 64 << 10
MAX_STALE_RESPONSES = 2  # Responses to earlier requests that are skipped until that to this one.

EXCHANGE_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, ExchangeAbortedError, OSError)


@dataclass(eq=False)
class AttemptError(Exception):
    """An attempt ended without a response to it."""

    stage: Stage
    ending: Ending


@dataclass(eq=False)
class UnsendableError(Exception):
    """The client's request can't be sent on: its head is invalid."""

    reason: str


class NoLock:
    """Replaces a connection's lock, which is not needed: only one exchange at a time has the connection.

    `anyio`'s lock costs a turn of the event loop each time, a tenth of a request's processor time.
    """

    async def __aenter__(self) -> None:
        """Do nothing."""
        return

    async def __aexit__(self, *_: object) -> None:
        """Do nothing."""
        return


class BackendConnection(httpcore.AsyncHTTP11Connection):
    """`httpcore`'s connection on a `SocketStream`, with what a pool of idle connections has to know of it.

    Attributes:
        socket_stream: The stream that it is on.
        origin: The backend's address, as `httpcore` wants it.
        idle_since: When its last exchange ended, ns on the monotonic clock.
        keep_alive_ns: How long the backend keeps it while it is idle.
    """

    def __init__(self, origin: httpcore.Origin, stream: SocketStream) -> None:
        """Start a connection on a stream that is connected."""
        super().__init__(origin, stream)
        self._state_lock = cast(Any, NoLock())
        self.socket_stream = stream
        self.origin = origin
        self.idle_since = 0
        self.keep_alive_ns = DEFAULT_KEEP_ALIVE_NS

    def idle_state(self, check_socket: bool) -> IdleState:
        """Return whether it is ready for a request, with no more received than the responses asked for."""
        if not self.is_idle():
            return IdleState.CLOSED
        if self._h11_state.trailing_data[0]:
            return IdleState.UNREAD_DATA
        return self.socket_stream.idle_state(check_socket)


@dataclass(slots=True)
class BackendResponse:
    """A response to this attempt, or to an earlier one.

    Attributes:
        status: The HTTP status.
        headers: The headers, names in lower case.
        body: The body, or its beginning.
        remaining_body: The parts of the body that follow; None where `body` is complete.
        followed_stale: Whether responses to earlier requests came before it.
    """

    status: int
    headers: Headers
    body: bytes
    remaining_body: AsyncIterator[bytes] | None = None
    followed_stale: bool = False


async def exchange(
    connection: BackendConnection,
    request: httpcore.Request,
    attempt_id: bytes,
    stale_wait_s: float,
    buffer_size: int,
) -> BackendResponse:
    """Send the request and receive the response to this attempt.

    Args:
        connection: An idle connection.
        request: The request.
        attempt_id: The id that the response echoes.
        stale_wait_s: How long to wait for the response after one to an earlier request.
        buffer_size: The response is complete if it has no more bytes; otherwise its end is still to be read.

    Raises:
        AttemptError: There is no response. The connection is closed.
        UnsendableError: The request is invalid, and nothing was sent. The connection is closed.
    """
    connection.socket_stream.begin_exchange()
    response = await _receive(connection, request, buffer_size)
    if _matches_attempt(response, attempt_id):
        return response
    return await _skip_stale_responses(connection, request, attempt_id, stale_wait_s, response)


async def _skip_stale_responses(
    connection: BackendConnection,
    request: httpcore.Request,
    attempt_id: bytes,
    wait_s: float,
    response: BackendResponse,
) -> BackendResponse:
    timer = asyncio.get_running_loop().call_later(wait_s, connection.socket_stream.abort_exchange)
    try:
        for _ in range(MAX_STALE_RESPONSES):
            if (
                _matches_attempt(response, attempt_id)
                or response.remaining_body is not None
                or not connection.is_idle()
            ):
                break
            # This response was to an earlier request, and the right one is still to come. `httpcore` reads a
            # further response only for a further request, so it gets the request again. Nothing is written.
            connection.socket_stream.discard_writes = True
            response = await _receive(connection, request, RESPONSE_BUFFER_MAX)
            response.followed_stale = True
    finally:
        timer.cancel()
    return response


def _matches_attempt(response: BackendResponse, attempt_id: bytes) -> bool:
    return any(name == b"x-attempt-id" and value == attempt_id for name, value in response.headers)


async def _receive(
    connection: BackendConnection, request: httpcore.Request, buffer_size: int
) -> BackendResponse:
    stream = connection.socket_stream
    try:
        response = await connection.handle_async_request(request)
        headers = [(name.lower(), value) for name, value in response.headers]
        parts = aiter(cast(AsyncIterable[bytes], response.stream))
        buffered, size = list[bytes](), 0
        async for part in parts:
            buffered.append(part)
            size += len(part)
            if size > buffer_size:
                remaining = _read_remaining(connection, response, parts)
                return BackendResponse(response.status, headers, b"".join(buffered), remaining)
        await response.aclose()
    except httpcore.LocalProtocolError as error:
        stream.close()
        if stream.has_written:
            raise _attempt_error(stream, error) from error
        raise UnsendableError(str(error)) from error
    except EXCHANGE_ERRORS as error:
        stream.close()
        raise _attempt_error(stream, error) from error
    except asyncio.CancelledError:
        stream.close()
        raise
    return BackendResponse(response.status, headers, b"".join(buffered))


async def _read_remaining(
    connection: BackendConnection, response: httpcore.Response, parts: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    try:
        async for part in parts:
            yield part
        await response.aclose()
    except EXCHANGE_ERRORS as error:
        connection.socket_stream.close()
        raise _attempt_error(connection.socket_stream, error) from error


def _attempt_error(stream: SocketStream, error: Exception) -> AttemptError:
    """Return how far the exchange got, and what ended it."""
    if stream.has_received:
        stage = Stage.RESPONSE_STARTED
    else:
        stage = Stage.SENT if stream.has_written else Stage.CONNECTED
    if isinstance(error, ExchangeAbortedError):
        return AttemptError(stage, Ending.TIMED_OUT)
    is_malformed = (
        isinstance(error, httpcore.RemoteProtocolError) and stream.has_received and not stream.is_closed
    )
    return AttemptError(stage, Ending.MALFORMED if is_malformed else Ending.CONNECTION_LOST)
