"""The client of the runtime API: one connection, commands one after the other, and safe repeats."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator
from typing import NamedTuple

from ambershift.coordinator.runtime import lookup
from ambershift.coordinator.runtime.changing import ONCE
from ambershift.coordinator.runtime.grammar import GrammarError, quote, read

DIAL_LIMIT, ANSWER_MOST, TRIES, PAUSE = 2.0, 64 << 20, 3, 0.1
PREPARE = b"prompt i;set severity-output number\n"
PREPARED = 2  # Two answers come of it.


class ClientError(Exception):
    """No answer was had; the message says why, and whether the command may have been carried out."""


class Reply(NamedTuple):
    """An answer; `severity` is syslog's number where it is a message, 3 for errors, and None for data."""

    text: str
    severity: int | None

    @property
    def failed(self) -> bool:
        return self.severity is not None and self.severity <= 3


def split_target(target: str) -> tuple[str, int] | str:
    """A path, or host and port: whatever ends in a colon and a number and has no slash is the latter."""
    host, colon, port = target.rpartition(":")
    if colon and host and "/" not in target and port.isascii() and port.isdigit() and 0 < int(port) < 1 << 16:
        return host, int(port)
    return target


class Client:
    """Use as `async with Client(target) as client`; `limit` is in seconds, for one answer."""

    def __init__(self, target: str, limit: float = 10.0) -> None:
        self.target, self.limit = target, limit
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        if self.writer is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self.writer.close()
        self.reader = self.writer = None

    async def connect(self) -> None:
        place = split_target(self.target)
        try:
            async with asyncio.timeout(DIAL_LIMIT):
                if isinstance(place, str):
                    streams = await asyncio.open_unix_connection(place, limit=1 << 16)
                else:
                    streams = await asyncio.open_connection(*place, limit=1 << 16)
        except TimeoutError:
            raise ClientError(f"{self.target}: did not come up within {DIAL_LIMIT:g} s") from None
        except OSError as error:
            raise ClientError(
                f"{self.target}: can't connect ({error.strerror or error}); is the coordinator "
                "running with this socket in its settings?"
            ) from None
        self.reader, self.writer = streams
        try:
            async with asyncio.timeout(self.limit):
                self.writer.write(PREPARE)
                for _ in range(PREPARED):
                    await self.answer()
        except (TimeoutError, OSError, EOFError, asyncio.IncompleteReadError):
            self.close()
            raise ClientError(
                f"{self.target}: closed or silent before the first answer; it may serve as "
                f"many as "
                "it may already"
            ) from None

    async def run(self, command: str, payload: str | None = None, limit: float | None = None) -> Reply:
        """One command and its answer.

        One that changes servers goes out under a token, so that it may be sent again after a lost answer and
        still acts once. Of others a lost answer is told, and they are not sent again.
        """
        text, safe = prepare(command)
        if text == "quit":
            self.close()
            return Reply("", None)
        for turn in range(TRIES):
            if self.writer is None:
                await self.connect()
            try:
                async with asyncio.timeout(self.limit if limit is None else limit):
                    return await self.ask(text, payload)
            except TimeoutError:
                self.close()
                raise ClientError(
                    f"{self.target}: no answer in time; the command may have been carried out"
                ) from None
            except (OSError, EOFError, asyncio.IncompleteReadError):
                self.close()
                if not safe or turn + 1 == TRIES:
                    raise ClientError(
                        f"{self.target}: the connection ended before the answer; the command "
                        f"may "
                        "have been carried out"
                    ) from None
                await asyncio.sleep(PAUSE)
        raise AssertionError("unreached")

    async def follow(self, command: str) -> AsyncIterator[str]:
        """The lines of a command that goes on, `show events -w` say, for as long as the caller wants them."""
        if self.writer is None:
            await self.connect()
        assert self.reader is not None
        assert self.writer is not None
        try:
            self.writer.write(f"{command}\n".encode())
            while line := await self.reader.readline():
                if text := line.decode("utf-8", "replace").strip("\n"):
                    yield text
        except (OSError, ValueError):
            raise ClientError(f"{self.target}: the connection ended") from None
        finally:
            self.close()

    async def ask(self, text: str, payload: str | None) -> Reply:
        assert self.writer is not None
        lines = (
            text
            if payload is None
            else f"{text} <<\n" + "".join(f"{line}\n" for line in payload.split("\n") if line.strip())
        )
        self.writer.write(f"{lines}\n".encode())
        await self.writer.drain()
        return read_reply(await self.answer())

    async def answer(self) -> str:
        """The lines up to the empty one that ends an answer."""
        assert self.reader is not None
        found, size = list[bytes](), 0
        while True:
            line = await self.reader.readuntil(b"\n")
            if line == b"\n":
                return b"".join(found).decode("utf-8", "replace").rstrip("\n")
            size += len(line)
            if size > ANSWER_MOST:
                raise ClientError(f"{self.target}: an answer of over {ANSWER_MOST} bytes")
            found.append(line)


def prepare(command: str) -> tuple[str, bool]:
    """The command as it goes out, under a token of its own if it changes servers, and whether it may
    again.
    """
    try:
        row = read(command.encode())
    except GrammarError as error:
        raise ClientError(str(error)) from None
    if len(row.commands) != 1 or row.pattern is not None:
        raise ClientError("one command at a time, and payloads by themselves")
    words = row.commands[0].words
    if words[0] == "prompt" or words[:2] == ("set", "severity-output"):
        raise ClientError(
            f"'{words[0]}' is for those who speak to the socket by hand; this client sets it itself"
        )
    found = lookup.find(words)
    if found is None or found[0].handler not in ONCE:
        return command, False
    return " ".join(["once", secrets.token_hex(12), *map(quote, words)]), True


def read_reply(text: str) -> Reply:
    if text[:1] == "[" and text[1:2].isdigit() and text[2:4] == "]:":
        return Reply(text[4:], int(text[1]))
    return Reply(text, None)
