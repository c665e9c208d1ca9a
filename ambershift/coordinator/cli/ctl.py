"""`ambershift ctl`: commands to the runtime API of one or more coordinators."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import click
import orjson

from ambershift.coordinator.runtime.client import Client, ClientError, Reply
from ambershift.coordinator.runtime.grammar import GrammarError, read

PLACE = "AMBERSHIFT_SOCKET"
HISTORY = "~/.ambershift_history"


class Answered(NamedTuple):
    """What one coordinator said, or why it said nothing."""

    target: str
    reply: Reply | None
    error: str

    @property
    def failed(self) -> bool:
        return self.reply is None or self.reply.failed


# Options stand before the command: what follows its first word is the coordinator's to read.
@click.command("ctl", context_settings={"allow_interspersed_args": False})
@click.option(
    "-s",
    "--socket",
    "targets",
    multiple=True,
    metavar="PATH|HOST:PORT",
    help=f"A coordinator's runtime API; several times for several. Else {PLACE}, parted by commas.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object for each answer.")
@click.option("--timeout", default=10.0, show_default=True, help="Seconds to wait for an answer.")
@click.option("--keep-going", is_flag=True, help="In a batch, go on after a command that failed.")
@click.argument("words", nargs=-1)
def command(
    targets: tuple[str, ...], as_json: bool, timeout: float, keep_going: bool, words: tuple[str, ...]
) -> int:
    """Send commands to the runtime API of one or more coordinators.

    With words behind it this is one command. Without, commands come from standard input, one a line, or
    from a prompt if that is a terminal. Exit code 1 tells that a command failed somewhere.

    Example: ambershift ctl -s /run/a.sock -s /run/b.sock set server east/s-1 state drain
    """
    named = targets or tuple(one for one in os.environ.get(PLACE, "").split(",") if one)
    if not named:
        raise click.UsageError(f"Name a socket with -s, or in {PLACE}.")
    if len(set(named)) < len(named):
        raise click.UsageError("A socket is named twice.")
    if timeout <= 0:
        raise click.UsageError("--timeout must be above 0.")
    console = Console(named, as_json, timeout)
    if words[:2] == ("show", "events") and any(word.startswith("-") and "w" in word for word in words[2:]):
        return asyncio.run(console.follow(" ".join(words)))
    if words:
        return asyncio.run(console.batch([(" ".join(words), None)], True))
    if sys.stdin.isatty():
        return asyncio.run(console.talk())
    try:
        rows = list(batch(sys.stdin.buffer.read()))
    except GrammarError as error:
        print(f"ambershift: standard input, {error}", file=sys.stderr)
        return 2
    return asyncio.run(console.batch(rows, keep_going))


def batch(data: bytes) -> Iterator[tuple[str, str | None]]:
    """Commands with their payloads. Lines that begin with # are passed over; a bad one stops all
    beforehand.
    """
    lines = iter(enumerate(data.split(b"\n"), 1))
    for at, line in lines:
        if line.lstrip().startswith(b"#"):
            continue
        try:
            row = read(line.removesuffix(b"\r"))
            for one in row.commands[:-1] if row.pattern is not None else row.commands:
                yield one.text, None
            if row.pattern is None:
                continue
            payload = list[str]()
            for _, more in lines:
                text = more.removesuffix(b"\r").decode()
                if text.strip() == row.pattern:
                    break
                payload.append(text)
            else:
                if row.pattern:
                    raise GrammarError(f"the payload's end '{row.pattern}' is missing")
            yield row.commands[-1].text, "\n".join(payload)
        except UnicodeDecodeError:
            raise GrammarError(f"line {at}: not UTF-8") from None
        except GrammarError as error:
            raise GrammarError(f"line {at}: {error}") from None


class Console:
    """Asks all coordinators at once, and tells the answer of each by itself: one that is away holds up
    none.
    """

    def __init__(self, targets: tuple[str, ...], as_json: bool, timeout: float) -> None:
        self.clients = [Client(target, timeout) for target in targets]
        self.as_json, self.timeout = as_json, timeout

    async def batch(self, rows: list[tuple[str, str | None]], keep_going: bool) -> int:
        failed = False
        try:
            for text, payload in rows:
                answers = await self.ask(text, payload)
                self.show(text, answers)
                failed |= any(one.failed for one in answers)
                if failed and not keep_going:
                    break
        finally:
            self.close()
        return int(failed)

    async def follow(self, text: str) -> int:
        """Show what goes on at all coordinators as it comes, until Ctrl-C or the last one has ended."""

        async def one(client: Client) -> bool:
            try:
                async for line in client.follow(text):
                    if self.as_json:
                        click.echo(orjson.dumps({"target": client.target, "event": line}).decode())
                    else:
                        click.echo(f"{client.target}: {line}" if len(self.clients) > 1 else line)
            except ClientError as error:
                print(f"ambershift: {error}", file=sys.stderr)
                return False
            return True

        return int(not all(await asyncio.gather(*map(one, self.clients))))

    async def ask(self, text: str, payload: str | None = None) -> list[Answered]:
        return list(await asyncio.gather(*(self.one(client, text, payload) for client in self.clients)))

    async def one(self, client: Client, text: str, payload: str | None) -> Answered:
        try:
            return Answered(client.target, await client.run(text, payload, self.limit(text)), "")
        except ClientError as error:
            return Answered(client.target, None, str(error))

    def limit(self, text: str) -> float | None:
        """A wait answers when it is over, which may be long after any other answer."""
        from ambershift.coordinator.runtime.changes import BadCommandError
        from ambershift.coordinator.runtime.converse import SECOND, read_delay

        words = text.split()
        if len(words) > 1 and words[0] == "wait":
            try:
                return read_delay(words[1], "ms") / SECOND + self.timeout
            except BadCommandError:
                return None
        return None

    def show(self, text: str, answers: list[Answered]) -> None:
        for one in answers:
            if self.as_json:
                click.echo(orjson.dumps(as_object(text, one)).decode())
                continue
            name = f"{one.target}: " if len(answers) > 1 else ""
            if one.reply is None:
                print(f"ambershift: {one.error}", file=sys.stderr)
            elif one.reply.failed:
                print(f"{name}{one.reply.text}", file=sys.stderr)
            elif len(answers) > 1 and "\n" in one.reply.text:
                click.echo(f"{name}\n{one.reply.text}\n")
            elif one.reply.text or len(answers) > 1:
                click.echo(f"{name}{one.reply.text or 'done'}")

    async def talk(self) -> int:
        """A prompt with history; ends with quit, Ctrl-D or Ctrl-C on an empty line."""
        from prompt_toolkit import PromptSession
        from prompt_toolkit.completion import WordCompleter
        from prompt_toolkit.history import FileHistory, InMemoryHistory

        from ambershift.coordinator.runtime.catalogue import TABLE

        place = Path(HISTORY).expanduser()
        history = FileHistory(str(place)) if os.access(place.parent, os.W_OK) else InMemoryHistory()
        names = WordCompleter([one.name for one in TABLE if one.handler], sentence=True)
        session: PromptSession[str] = PromptSession(
            history=history, completer=names, complete_while_typing=False
        )
        try:
            while True:
                try:
                    text = (await session.prompt_async("ambershift> ")).strip()
                except KeyboardInterrupt:
                    continue
                except EOFError:
                    return 0
                if text in ("quit", "exit"):
                    return 0
                if not text:
                    continue
                try:
                    rows = list(batch(text.encode()))
                except GrammarError as error:
                    print(error, file=sys.stderr)
                    continue
                for row, payload in rows:
                    self.show(row, await self.ask(row, payload))
        finally:
            self.close()

    def close(self) -> None:
        for client in self.clients:
            client.close()


def as_object(text: str, one: Answered) -> dict[str, Any]:
    """`answer` is what the coordinator's own JSON says where it gave some, else its text."""
    found: dict[str, Any] = {"target": one.target, "command": text, "ok": not one.failed}
    if one.reply is None:
        return {**found, "error": one.error}
    if one.reply.failed:
        return {**found, "error": one.reply.text}
    answer: Any = one.reply.text
    if answer[:1] in ("[", "{"):
        with contextlib.suppress(orjson.JSONDecodeError):
            answer = orjson.loads(answer)
    return {**found, "answer": answer}
