"""Serving: one client's connection after the other's, a command a turn each. It decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from ambershift.coordinator.admin.audit_log import AuditLog
from ambershift.coordinator.admin.batching import BATCH_QUIET_NS
from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.runtime import places
from ambershift.coordinator.runtime.execute import Executor
from ambershift.coordinator.runtime.grammar import Command, GrammarError
from ambershift.coordinator.runtime.outcomes import Answer, End, Promise, Stream, Wait
from ambershift.coordinator.runtime.places import TcpPlace, UnixPlace
from ambershift.coordinator.runtime.scene import Scene
from ambershift.coordinator.runtime.session import LINE_MOST, Session, Severity
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link
from ambershift.coordinator.transport.listener import Listener

SECOND = 1_000_000_000
CHUNK, WRITE_LIMIT, LINE_WITHIN = 32_768, 5.0, 30.0
POLL, LOOK_AGAIN, LAST_WORDS, LINGER_MOST = 0.1, 0.01, 0.2, 1.0


class Serving:
    """`idle` is how many nanoseconds a connection may say nothing."""

    controller: AdminController
    scene: Scene
    executor: Executor
    listener: Listener
    levels: dict[object, UnixPlace | TcpPlace]
    sessions: dict[Link, Session]
    idle: int
    now: Callable[[], int]

    def arm(self, at: int) -> None:
        raise NotImplementedError

    async def pulse(self, limit: float) -> None:
        raise NotImplementedError

    async def serve(self, link: Link) -> None:
        sock = link.writer.get_extra_info("socket")
        spot = self.levels[link.writer.get_extra_info("sockname")]
        session = Session(places.peer(sock), spot.level)
        link.set_line_limits(LINE_MOST, LINE_WITHIN)
        self.sessions[link] = session
        self.scene.connections = len(self.sessions)
        self.scene.accepted += 1
        try:
            while not self.controller.stopping:
                for line in await link.read_lines((session.idle or self.idle) / SECOND):
                    if not await self.line(link, session, line):
                        await self.linger(link)
                        return
        except DisconnectedError as end:
            if end.reason is DisconnectReason.TOO_LONG:
                self.say(
                    link, session, f"Refused: a line may have {LINE_MOST} bytes; nothing of it was done."
                )
                await self.linger(link)
            elif end.reason is DisconnectReason.SILENT:
                self.say(link, session, "Closed: nothing came for too long.")
            raise
        finally:
            del self.sessions[link]
            self.scene.connections = len(self.sessions)

    async def linger(self, link: Link) -> None:
        """Read on for a moment after the last answer: closed with words unread, TCP would reset it away."""
        with contextlib.suppress(DisconnectedError, OSError, RuntimeError, TimeoutError):
            link.writer.write_eof()
            async with asyncio.timeout(LINGER_MOST):
                while await link.read_chunk(LAST_WORDS):
                    pass

    async def line(self, link: Link, session: Session, line: bytes) -> bool:
        """Carry out what one line brings; tells whether the connection goes on."""
        try:
            commands = session.take(line)
        except GrammarError as error:
            await self.send(link, session, Answer((f"Can't read this: {error}.",), Severity.ERROR))
            return session.interactive
        for command in commands:
            # One command a turn of the loop for each client: collectors and news are read in between.
            await asyncio.sleep(0)
            if not await self.command(link, session, command):
                return False
        if session.interactive:
            self.listener.protect(link)
        if session.prompted:
            uptime = (self.now() - self.scene.started) // SECOND
            await link.write(session.prompt(uptime).encode(), WRITE_LIMIT)
        return session.interactive or session.in_payload

    async def command(self, link: Link, session: Session, command: Command) -> bool:
        outcome = self.executor.run(session, command)
        match outcome:
            case End():
                return False
            case Wait():
                await self.send(link, session, await self.wait(link, session, outcome))
            case Promise():
                await self.send(link, session, await outcome.ask())
            case Stream():
                await self.stream(link, session, outcome)
                return False
            case Answer():
                if self.controller.batcher.waiting:
                    self.arm(self.now() + BATCH_QUIET_NS)
                await self.send(link, session, outcome)
        return True

    async def wait(self, link: Link, session: Session, wait: Wait) -> Answer:
        while self.now() < wait.until:
            if wait.done is not None and wait.done():
                return Answer(("Done.",), Severity.INFO)
            if self.controller.stopping:
                return Answer(("Interrupted: the coordinator ends.",), Severity.ERROR)
            if link.writer.is_closing() or (session.interactive and link.closed_by_peer()):
                raise DisconnectedError(DisconnectReason.IDLE)
            await self.pulse(min(POLL, (wait.until - self.now()) / SECOND))
            await asyncio.sleep(LOOK_AGAIN)  # Steps may come by the hundred, and clients that wait too.
        if wait.done is None:
            return Answer(())
        return (
            Answer(("Done.",), Severity.INFO)
            if wait.done()
            else Answer(("Wait delay expired.",), Severity.ERROR)
        )

    async def stream(self, link: Link, session: Session, stream: Stream) -> None:
        after, audit_log = stream.after, self.controller.audit_log
        # Any key ends it; one-shot clients may have closed their side and still listen.
        key = asyncio.ensure_future(link.read_lines(None)) if session.interactive else None
        try:
            await self.follow(link, audit_log, after, key)
        finally:
            if key is not None:
                key.cancel()
                await asyncio.gather(key, return_exceptions=True)

    async def follow(
        self, link: Link, audit_log: AuditLog, after: int, key: asyncio.Future[list[bytes]] | None
    ) -> None:
        while not (self.controller.stopping or link.writer.is_closing() or (key and key.done())):
            fresh = [one for one in audit_log.records if one.number > after]
            if fresh:
                if fresh[0].number > after + 1 and after:
                    await link.write(
                        f"# {fresh[0].number - after - 1} records missed\n".encode(), WRITE_LIMIT
                    )
                after = fresh[-1].number
                text = "".join(f"{self.executor.record(one)}\n" for one in fresh)
                await link.write(text.encode(), WRITE_LIMIT)
            await self.pulse(POLL)

    async def send(self, link: Link, session: Session, answer: Answer) -> None:
        """Write an answer in pieces, so that a long one is made no faster than it is read."""
        if answer.severity is not None:
            await link.write(session.answer("\n".join(answer.lines), answer.severity).encode(), WRITE_LIMIT)
            return
        piece, size = list[str](), 0
        for line in solid(answer.lines):
            piece.append(line)
            size += len(line) + 1
            if size >= CHUNK:
                await link.write("\n".join([*piece, ""]).encode(), WRITE_LIMIT)
                piece, size = [], 0
                await asyncio.sleep(0)
        await link.write("\n".join([*piece, "", ""] if piece else ["", ""]).encode(), WRITE_LIMIT)

    def say(self, link: Link, session: Session, text: str) -> None:
        with contextlib.suppress(DisconnectedError):
            link.write_nowait(session.answer(text, Severity.ERROR).encode())


def solid(lines: Iterable[str]) -> Iterable[str]:
    """Without empty lines, one of which would end the answer."""
    return (line for line in lines if line)
