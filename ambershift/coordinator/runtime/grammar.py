"""The lines of the runtime API: commands, their words and their payloads, without input or output.

From HAProxy's management guide, chapter 9.3: commands are joined by semicolons, a backslash takes the meaning
from the next character, words are parted by spaces or tabs, and a last word `<<` or `<<PATTERN` begins a
payload that ends with an empty line, or with PATTERN on a line of its own.
"""

from __future__ import annotations

from typing import NamedTuple

PATTERN_MOST = 7


class GrammarError(Exception):
    """A line that can't be a command; the message says what is wrong with it, for a person."""


class Command(NamedTuple):
    """`text` is the command as it came, for records; `payload` is None where none was announced; `token` is
    that of the `once` around it.
    """

    words: tuple[str, ...]
    text: str
    payload: str | None = None
    token: str = ""


class Row(NamedTuple):
    """The commands of one line; `pattern` is what ends the payload of the last one, None if it has none."""

    commands: tuple[Command, ...]
    pattern: str | None


def decode(line: bytes) -> str:
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError as error:
        raise GrammarError(f"byte {error.start + 1} of the line is not UTF-8") from None
    for at, char in enumerate(text):
        if (char < " " and char != "\t") or char == "\x7f":
            raise GrammarError(f"character {at + 1} of the line is a control character")
    return text


def read(line: bytes) -> Row:
    """The commands of one line; empty ones are passed over, so that a trailing semicolon does no harm."""
    commands = list[Command]()
    words, word, begun, start = list[str](), list[str](), False, 0
    text = decode(line)

    def end_word() -> None:
        nonlocal begun
        if begun:
            words.append("".join(word))
        word.clear()
        begun = False

    def end_command(upto: int) -> None:
        end_word()
        if words:
            commands.append(Command(tuple(words), text[start:upto].strip()))
        words.clear()

    at = 0
    while at < len(text):
        char = text[at]
        if char == "\\":
            if at + 1 == len(text):
                raise GrammarError("the line ends in a backslash with nothing behind it")
            word.append(text[at + 1])
            begun = True
            at += 1
        elif char == ";":
            end_command(at)
            start = at + 1
        elif char in " \t":
            end_word()
        else:
            word.append(char)
            begun = True
        at += 1
    end_command(len(text))
    return announced(commands)


def announced(commands: list[Command]) -> Row:
    """Take the announcement of a payload off the last command."""
    for one in commands[:-1]:
        if one.words[-1].startswith("<<") and "<<" in one.text:
            raise GrammarError("only the last command of a line can have a payload")
    if not commands or not commands[-1].words[-1].startswith("<<") or "<<" not in commands[-1].text:
        return Row(tuple(commands), None)  # Escaped, it is a word like others.
    last = commands[-1]
    pattern = last.words[-1].removeprefix("<<")
    if len(pattern) > PATTERN_MOST:
        raise GrammarError(f"the pattern behind << has more than {PATTERN_MOST} characters")
    if len(last.words) == 1:
        raise GrammarError("a payload with no command before it")
    commands[-1] = Command(last.words[:-1], last.text[: last.text.rindex("<<")].rstrip())
    return Row(tuple(commands), pattern)


def quote(word: str) -> str:
    """A word as it must stand in a line to be read as itself."""
    return "".join(f"\\{char}" if char in "\\; \t" else char for char in word)
