"""One exchange on one connection: `httpcore`'s, on our stream; how it ended, and what it left behind."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterable, AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any, cast

import httpcore

from ambershift.system.proxy.retry_policy import Ending, Stage
from ambershift.system.proxy.socket_stream import GivenUpError, Rest, Stream
from ambershift.system.state_machine import NS_PER_SECOND

Headers = Sequence[tuple[bytes, bytes]]

KEEP = 4 * NS_PER_SECOND  # How long a backend keeps an idle connection if it doesn't tell.
# Bytes that a whole answer is held up to before any of it is passed on; less while many are under way.
HOLD_MOST, HOLD_LEAST = 256 << 10, 64 << 10
FOREIGN_MOST = 2  # Answers to earlier requests that are skipped while ours is due.


@dataclass(eq=False)
class TryError(Exception):
    """A try ended without an answer of ours."""

    stage: Stage
    ending: Ending


@dataclass(eq=False)
class UnsendableError(Exception):
    """The client's request can't be sent on: its head is not one."""

    reason: str


class Unlocked:
    """In place of a connection's lock: one exchange at a time has it already, and each turn of a lock by
    `anyio` costs a turn of the loop (a tenth of a request's processor time).
    """

    async def __aenter__(self) -> None:
        return

    async def __aexit__(self, *_: object) -> None:
        return


class Wire(httpcore.AsyncHTTP11Connection):
    """`httpcore`'s connection on our stream, and what a keeper of idle ones has to know of it."""

    def __init__(self, origin: httpcore.Origin, net: Stream) -> None:
        super().__init__(origin, net)
        self._state_lock = cast(Any, Unlocked())
        self.net = net
        self.goal = origin
        self.idle_since = 0
        self.keep = KEEP

    def rests(self, look: bool) -> Rest:
        """Whether it waits for a request, and nothing more has come than the answers asked for."""
        if not self.is_idle():
            return Rest.CLOSED
        return Rest.UNREAD if self._h11_state.trailing_data[0] else self.net.rests(look)


@dataclass(slots=True)
class Reply:
    """An answer: its head, and its body whole, or the rest of it still to come (`rest`). `foreign`: answers
    to earlier requests came before it.
    """

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None = None
    foreign: bool = False


async def exchange(
    wire: Wire, request: httpcore.Request, attempt: bytes, foreign_wait: float, hold: int
) -> Reply:
    """Send the request and take in the answer to this attempt: whole, or the first `hold` bytes and more.
    After an answer to an earlier request ours is awaited for `foreign_wait` seconds more.

    Raises `TryError` with the stage reached, `UnsendableError` where nothing was sent because the request
    is not one. The connection is closed then.
    """
    wire.net.begin()
    reply = await _receive(wire, request, hold)
    return reply if _echoes(reply, attempt) else await _skip(wire, request, attempt, foreign_wait, reply)


async def _skip(wire: Wire, request: httpcore.Request, attempt: bytes, wait: float, reply: Reply) -> Reply:
    timer = asyncio.get_running_loop().call_later(wait, wire.net.give_up)
    try:
        for _ in range(FOREIGN_MOST):
            if _echoes(reply, attempt) or reply.rest is not None or not wire.is_idle():
                break
            # An answer too many, for an earlier request: ours is still to come. The connection is told that
            # the request is sent once more, but nothing goes out.
            wire.net.mute = True
            reply = await _receive(wire, request, HOLD_MOST)
            reply.foreign = True
    finally:
        timer.cancel()
    return reply


def _echoes(reply: Reply, attempt: bytes) -> bool:
    return any(name == b"x-attempt-id" and value == attempt for name, value in reply.headers)


async def _receive(wire: Wire, request: httpcore.Request, hold: int) -> Reply:
    stream = wire.net
    try:
        response = await wire.handle_async_request(request)
        headers = [(name.lower(), value) for name, value in response.headers]
        parts = aiter(cast(AsyncIterable[bytes], response.stream))
        held, size = list[bytes](), 0
        async for part in parts:
            held.append(part)
            size += len(part)
            if size > hold:
                return Reply(response.status, headers, b"".join(held), _rest(wire, response, parts))
        await response.aclose()
    except httpcore.LocalProtocolError as why:
        stream.close()
        if stream.wrote:
            raise _failed(stream, why) from why
        raise UnsendableError(str(why)) from why
    except (httpcore.NetworkError, httpcore.ProtocolError, GivenUpError, OSError) as why:
        stream.close()
        raise _failed(stream, why) from why
    except asyncio.CancelledError:
        stream.close()
        raise
    return Reply(response.status, headers, b"".join(held))


async def _rest(wire: Wire, response: httpcore.Response, parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    try:
        async for part in parts:
            yield part
        await response.aclose()
    except (httpcore.NetworkError, httpcore.ProtocolError, GivenUpError, OSError) as why:
        wire.net.close()
        raise _failed(wire.net, why) from why


def _failed(stream: Stream, why: Exception) -> TryError:
    stage = Stage.BEGUN if stream.begun else Stage.SENT if stream.wrote else Stage.CONNECTED
    if isinstance(why, GivenUpError):
        return TryError(stage, Ending.SILENT)
    garbled = isinstance(why, httpcore.RemoteProtocolError) and stream.begun and not stream.closed
    return TryError(stage, Ending.GARBLED if garbled else Ending.LOST)
