"""Every way in which a connection can end, and what each means for what went over it."""

from __future__ import annotations

import asyncio
import errno
from enum import Enum
from typing import NamedTuple


class Ending(Enum):
    DONE = "we had what we wanted"
    STOPPED = "the program stops"
    MOVED = "the other side has another address now"
    IDLE = "the other side closed it while nothing was under way"
    CUT_SHORT = "the other side closed it in the middle"
    RESET = "reset"
    REFUSED = "nobody listens there"
    UNREACHABLE = "no way there"
    NEVER_UP = "it did not come up in time"
    SILENT = "what was due did not come in time"
    UNREADABLE = "what came can't be read"
    TOO_LONG = "a message is longer than allowed"
    UNREAD = "the other side does not read"
    TURNED_AWAY = "the other side is busy or down and says so"
    NO_ROOM = "we hold as many as we may"


class Meaning(NamedTuple):
    """What the parts that own a connection make of its end, and the module is told through them.

    `list_failed`: a call on discovery that ended so is told as failed. `fresh`: a used connection may have
    been closed before our words reached it, so a new one is tried at once. `fault`: it is logged as one.
    For the rest all ends are alike: a call on the relay goes out again, and a probe has found no server.
    """

    list_failed: bool
    fresh: bool
    fault: bool


MEANING = {
    Ending.DONE: Meaning(False, False, False),
    Ending.STOPPED: Meaning(False, False, False),
    Ending.MOVED: Meaning(False, True, False),
    Ending.IDLE: Meaning(False, True, False),
    Ending.CUT_SHORT: Meaning(True, True, True),
    Ending.RESET: Meaning(True, True, True),
    Ending.REFUSED: Meaning(True, False, True),
    Ending.UNREACHABLE: Meaning(True, False, True),
    Ending.NEVER_UP: Meaning(True, False, True),
    Ending.SILENT: Meaning(True, False, True),
    Ending.UNREADABLE: Meaning(True, False, True),
    Ending.TOO_LONG: Meaning(True, False, True),
    Ending.UNREAD: Meaning(True, False, True),
    Ending.TURNED_AWAY: Meaning(True, False, False),
    Ending.NO_ROOM: Meaning(True, False, True),
}

WAYS = {
    errno.ECONNREFUSED: Ending.REFUSED,
    errno.ECONNRESET: Ending.RESET,
    errno.EPIPE: Ending.RESET,
    errno.ECONNABORTED: Ending.RESET,
    errno.EMFILE: Ending.NO_ROOM,
    errno.ENFILE: Ending.NO_ROOM,
    errno.ETIMEDOUT: Ending.NEVER_UP,
}


class EndedError(Exception):
    """A connection is at its end; `ending` tells how."""

    def __init__(self, ending: Ending, detail: str = "") -> None:
        super().__init__(f"{ending.value}{': ' if detail else ''}{detail}")
        self.ending, self.detail = ending, detail


def ended(error: OSError | EOFError) -> EndedError:
    """Name the end that an error of the operating system or of asyncio stands for."""
    if isinstance(error, asyncio.IncompleteReadError | EOFError):
        return EndedError(Ending.CUT_SHORT)
    if isinstance(error, ConnectionResetError | BrokenPipeError):
        return EndedError(Ending.RESET)
    return EndedError(WAYS.get(error.errno or 0, Ending.UNREACHABLE), str(error))
