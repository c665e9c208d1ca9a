"""The dialled side: keeps one link up to one member, and sends on it what waits, in order."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
from aiohttp import ClientWebSocketResponse, WSMsgType

from ambershift.coordinator.group.links.incoming import Note, hang_up
from ambershift.coordinator.group.links.interfaces import LinkListener, LinkStatistics, Peer
from ambershift.coordinator.group.links.send_queue import FullError, SendQueue
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

DIAL_LIMIT, REPLY_LIMIT, WRITE_LIMIT = 1.0, 1.0, 2.0
# A ping a beat; its answer within half of it, also from a busy machine. The replica's own beats notice first;
# this ends half-open connections, and what a stopped process costs is its queue, not more.
HEARTBEAT = 4.0
PAUSE_LEAST, PAUSE_MOST, PAUSE_REFUSED = 0.05, 0.8, 1.0
MASK = (1 << 64) - 1


class OutgoingLink:
    """`seed` is for the chance in its pauses, so that members cut off together don't come back together."""

    def __init__(
        self,
        peer: Peer,
        run: str,
        above: LinkListener,
        tally: LinkStatistics,
        note: Note,
        seed: int,
        role: Role = Role.MEMBER,
    ) -> None:
        self.role, self.peer, self.run_id, self.above = role, peer, run, above
        self.tally, self.note = tally, note
        self.queue, self.wake, self.state = SendQueue(), asyncio.Event(), seed & MASK
        self.socket: ClientWebSocketResponse | None = None
        self.up, self.refusal, self.dropped = False, "", False
        self.limit: asyncio.Timeout | None = None  # Of the write under way.
        tally.ways[peer.name] = CloseReason.AWAY

    def send(self, kind: FrameKind, payload: bytes) -> bool:
        """Whether it is under way; what is sent while the link is down is lost, as anything may be."""
        if not self.up or self.dropped:
            return False
        try:
            if not self.queue.put(kind, encode_frame(kind, payload)):
                self.tally.counts["heard-left-out"] += 1
                return False
        except FullError:
            self.dropped = True  # The task ends the link; until then nothing more is taken.
            if self.limit is not None:
                self.limit.reschedule(asyncio.get_running_loop().time())
        self.wake.set()
        return not self.dropped

    async def run(self, session: Callable[[], aiohttp.ClientSession]) -> None:
        pause = PAUSE_LEAST
        while True:
            reason, why, stood = CloseReason.AWAY, "", False
            try:
                stood = await self.keep(session())
            except TimeoutError:
                reason, why = (
                    (CloseReason.TOO_SLOW, "nothing taken in time")
                    if self.up
                    else (CloseReason.AWAY, "silent")
                )
            except FullError:
                reason, why = CloseReason.TOO_SLOW, "its queue is full"
            except UnreadableError as error:
                reason, why = CloseReason.UNREADABLE, str(error)
            except (aiohttp.ClientError, OSError, RuntimeError) as error:
                why = str(error)[:200]
            except Exception as error:  # A task that ended unheard would never dial again.
                why = repr(error)[:200]
                self.note("failure", where="dial", error=why)
            stood, self.up = stood or self.up, False
            self.queue.clear()
            self.wake.clear()
            self.dropped = False
            if socket := self.socket:
                self.socket = None
                await hang_up(socket, reason)
            if stood:
                self.tally.counts[reason] += 1
                self.note("link_lost", member=self.peer.name, reason=reason.value, why=why)
                self.above.gone(self.peer.name)
            self.tally.ways[self.peer.name] = self.refusal or reason.value
            pause = PAUSE_LEAST if stood else min(PAUSE_MOST, 2 * pause)
            await asyncio.sleep(self.chance(PAUSE_REFUSED if self.refusal else pause))

    async def keep(self, session: aiohttp.ClientSession) -> bool:
        """Dial, say hello, and send until it breaks; tells whether it stood."""
        peer, mine = self.peer, self.above.mine()
        async with asyncio.timeout(DIAL_LIMIT):
            self.socket = socket = await session.ws_connect(
                f"http://{peer.host}:{peer.port}/",
                max_msg_size=MAX_HELLO_BYTES,
                heartbeat=HEARTBEAT,
                autoclose=True,
            )
        async with asyncio.timeout(REPLY_LIMIT):
            await socket.send_bytes(
                encode(
                    Hello(
                        WIRE_VERSION,
                        VERSION,
                        self.role,
                        mine.name,
                        peer.name,
                        mine.incarnation,
                        self.run_id,
                        mine.group,
                        mine.title,
                        mine.voters,
                    )
                )
            )
            first = await socket.receive()
        answer = decode_reply(first.data if first.type is WSMsgType.BINARY else None)
        if isinstance(answer, Refusal):
            if answer.reason != self.refusal:  # Once; it will be the same each second.
                self.note("link_refused", member=peer.name, reason=answer.reason, why=answer.why)
            self.refusal = answer.reason
            self.tally.counts[f"refused-{answer.reason}"[:80]] += 1
            self.above.refused(peer.name, answer)
            return False
        if answer.name != peer.name:
            raise UnreadableError(f"'{answer.name[:80]}' answers there")
        self.refusal, self.up = "", True
        self.tally.ways[peer.name] = ""
        self.note("link_up", member=peer.name, program=answer.program[:80], incarnation=answer.incarnation)
        self.above.came(peer.name)
        # Nothing but pongs and the end comes on this side.
        reader = asyncio.ensure_future(socket.receive())
        try:
            while not reader.done():
                if self.dropped:
                    raise FullError
                if not self.queue.waiting:
                    self.wake.clear()
                    waiter = asyncio.ensure_future(self.wake.wait())
                    await asyncio.wait([waiter, reader], return_when=asyncio.FIRST_COMPLETED)
                    waiter.cancel()
                    continue
                async with asyncio.timeout(WRITE_LIMIT) as self.limit:
                    await socket.send_bytes(self.queue.take())
                self.limit = None
            return True
        finally:
            self.limit = None
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)

    def chance(self, pause: float) -> float:
        """Between half of the pause and all of it, by the high bits of an LCG (Knuth's MMIX constants)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & MASK
        return pause * (0.5 + (self.state >> 33) / (1 << 32))

    async def close(self) -> None:
        self.up = False
        if socket := self.socket:
            with contextlib.suppress(OSError, RuntimeError):
                await hang_up(socket, CloseReason.ENDED)
