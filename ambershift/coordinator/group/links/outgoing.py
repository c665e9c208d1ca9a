"""An outgoing link: stays connected to one member, and sends it the queued frames in order."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
from aiohttp import ClientWebSocketResponse, WSMsgType

from ambershift.coordinator.group.links.incoming import Note, close_socket
from ambershift.coordinator.group.links.interfaces import LinkListener, LinkStatistics, Peer
from ambershift.coordinator.group.links.send_queue import QueueFullError, SendQueue
from ambershift.coordinator.group.links.wire import (
    MAX_HELLO_BYTES,
    WIRE_VERSION,
    CloseReason,
    FrameKind,
    Hello,
    Refusal,
    Role,
    UnreadableError,
    decode_reply,
    encode,
    encode_frame,
)
from ambershift.version import VERSION

CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 2.0
# The pong must come within half of it, also from a busy machine. The replica's own heartbeats notice a lost
# member sooner; this one ends half-open connections, and bounds what a stopped process costs to its queue.
HEARTBEAT_INTERVAL_S = 4.0
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.8
REFUSED_RECONNECT_DELAY_S = 1.0
_UINT64_MASK = (1 << 64) - 1


class OutgoingLink:
    """Connects to one member again and again, and sends what is queued while the link is up."""

    def __init__(
        self,
        peer: Peer,
        run_id: str,
        listener: LinkListener,
        statistics: LinkStatistics,
        note: Note,
        seed: int,
        role: Role = Role.MEMBER,
    ) -> None:
        """Prepare; `run` connects.

        Args:
            peer: The member to connect to.
            run_id: The random id of this process.
            listener: Told of the state of the link.
            statistics: Counts, and the state of the link.
            note: Writes a log event.
            seed: Of the random part of reconnect delays, so that members that were cut off together don't
                reconnect together.
            role: What this process is.
        """
        self.queue = SendQueue()
        self._role = role
        self._peer = peer
        self._run_id = run_id
        self._listener = listener
        self._statistics = statistics
        self._note = note
        self._wake = asyncio.Event()
        self._random_state = seed & _UINT64_MASK
        self._socket: ClientWebSocketResponse | None = None
        self._is_up = False
        self._refusal_reason = ""
        self._overflowed = False
        self._write_timeout: asyncio.Timeout | None = None  # Of the write that is under way.
        statistics.states[peer.name] = CloseReason.AWAY

    def send(self, kind: FrameKind, payload: bytes) -> bool:
        """Queue a frame.

        Returns:
            Whether it was queued. What is sent while the link is down is lost, and a queued frame may be.
        """
        if not self._is_up or self._overflowed:
            return False
        try:
            if not self.queue.put(kind, encode_frame(kind, payload)):
                self._statistics.counts["heard-left-out"] += 1
                return False
        except QueueFullError:
            self._overflowed = True  # The task ends the link; until then no frame is queued.
            if self._write_timeout is not None:
                self._write_timeout.reschedule(asyncio.get_running_loop().time())
        self._wake.set()
        return not self._overflowed

    async def run(self, session: Callable[[], aiohttp.ClientSession]) -> None:
        """Connect, and reconnect with backoff, until cancelled."""
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            reason, why, was_up = CloseReason.AWAY, "", False
            try:
                was_up = await self._run_connection(session())
            except TimeoutError:
                reason, why = (
                    (CloseReason.TOO_SLOW, "nothing taken in time")
                    if self._is_up
                    else (CloseReason.AWAY, "silent")
                )
            except QueueFullError:
                reason, why = CloseReason.TOO_SLOW, "its queue is full"
            except UnreadableError as error:
                reason, why = CloseReason.UNREADABLE, str(error)
            except (aiohttp.ClientError, OSError, RuntimeError) as error:
                why = str(error)[:200]
            except Exception as error:  # Without this the task would end, and never connect again.
                why = repr(error)[:200]
                self._note("failure", where="dial", error=why)
            was_up, self._is_up = was_up or self._is_up, False
            self.queue.clear()
            self._wake.clear()
            self._overflowed = False
            if socket := self._socket:
                self._socket = None
                await close_socket(socket, reason)
            if was_up:
                self._statistics.counts[reason] += 1
                self._note("link_lost", member=self._peer.name, reason=reason.value, why=why)
                self._listener.on_link_lost(self._peer.name)
            self._statistics.states[self._peer.name] = self._refusal_reason or reason.value
            delay_s = MIN_RECONNECT_DELAY_S if was_up else min(MAX_RECONNECT_DELAY_S, 2 * delay_s)
            await asyncio.sleep(self._jitter(REFUSED_RECONNECT_DELAY_S if self._refusal_reason else delay_s))

    async def _run_connection(self, session: aiohttp.ClientSession) -> bool:
        """Connect, shake hands, and send until the connection ends; return whether the link was up."""
        peer, local = self._peer, self._listener.local_identity()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._socket = socket = await session.ws_connect(
                f"http://{peer.host}:{peer.port}/",
                max_msg_size=MAX_HELLO_BYTES,
                heartbeat=HEARTBEAT_INTERVAL_S,
                autoclose=True,
            )
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            await socket.send_bytes(
                encode(
                    Hello(
                        WIRE_VERSION,
                        VERSION,
                        self._role,
                        local.name,
                        peer.name,
                        local.incarnation,
                        self._run_id,
                        local.group_id,
                        local.group_name,
                        local.voters,
                    )
                )
            )
            first = await socket.receive()
        reply = decode_reply(first.data if first.type is WSMsgType.BINARY else None)
        if isinstance(reply, Refusal):
            if reply.reason != self._refusal_reason:  # Logged once, as it comes again with each attempt.
                self._note("link_refused", member=peer.name, reason=reply.reason, why=reply.why)
            self._refusal_reason = reply.reason
            self._statistics.counts[f"refused-{reply.reason}"[:80]] += 1
            self._listener.on_refused(peer.name, reply)
            return False
        if reply.name != peer.name:
            raise UnreadableError(f"'{reply.name[:80]}' answers there")
        self._refusal_reason, self._is_up = "", True
        self._statistics.states[peer.name] = ""
        self._note("link_up", member=peer.name, program=reply.program[:80], incarnation=reply.incarnation)
        self._listener.on_link_up(peer.name)
        # The peer sends nothing on this link but pongs and the close.
        closed = asyncio.ensure_future(socket.receive())
        try:
            while not closed.done():
                if self._overflowed:
                    raise QueueFullError
                if not self.queue.frames:
                    self._wake.clear()
                    waiter = asyncio.ensure_future(self._wake.wait())
                    await asyncio.wait([waiter, closed], return_when=asyncio.FIRST_COMPLETED)
                    waiter.cancel()
                    continue
                async with asyncio.timeout(WRITE_TIMEOUT_S) as self._write_timeout:
                    await socket.send_bytes(self.queue.take())
                self._write_timeout = None
            return True
        finally:
            self._write_timeout = None
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)

    def _jitter(self, delay_s: float) -> float:
        """Return half of the delay to all of it, by the high bits of an LCG with Knuth's MMIX constants."""
        self._random_state = (self._random_state * 6364136223846793005 + 1442695040888963407) & _UINT64_MASK
        return delay_s * (0.5 + (self._random_state >> 33) / (1 << 32))

    async def close(self) -> None:
        """Close the connection; cancel the task of `run` first."""
        self._is_up = False
        if socket := self._socket:
            with contextlib.suppress(OSError, RuntimeError):
                await close_socket(socket, CloseReason.ENDED)
