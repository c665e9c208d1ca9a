"""Outcomes: what a command comes to, and what it still waits for. No I/O."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from ambershift.coordinator.runtime.session import Severity


class Answer(NamedTuple):
    """Lines for the client; `severity` is None for what is no message but data."""

    lines: Iterable[str]
    severity: Severity | None = None


class Wait(NamedTuple):
    """Not answered yet: when `done` says so, or at `until`, whichever comes first."""

    until: int
    done: Callable[[], bool] | None


class Stream(NamedTuple):
    """Goes on until the client leaves: all records after this number."""

    after: int


class Promise(NamedTuple):
    """A group's to give: `ask` answers within the client's bound, whatever becomes of the promise."""

    ask: Callable[[], Awaitable[Answer]]


class End(NamedTuple):
    """The client wants to go."""


# How long a command waits for the group's promise where the client has set no time, ns.
WAIT = 2_000_000_000
Outcome = Answer | Wait | Stream | Promise | End
DONE = Answer(())


def error(text: str) -> Answer:
    return Answer((text,), Severity.ERROR)
