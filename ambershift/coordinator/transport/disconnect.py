"""The reasons for which a connection ends, and what each means for the owner of the connection."""

from __future__ import annotations

import asyncio
import errno
from enum import Enum
from typing import NamedTuple


class DisconnectReason(Enum):
    """Why a connection ended; names and values are part of the log."""

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


class DisconnectEffect(NamedTuple):
    """What the owner of a connection does when it ends; the policy module learns of it through the owner.

    Otherwise all ends are alike: a call to the relay is repeated, and a probe has failed.

    Attributes:
        list_failed: Whether a call to the discovery service that ends so is reported as failed.
        retry_on_new_connection: Whether a reused connection may have been closed before the request reached
            the server, so that the call is repeated at once on a new one.
        is_fault: Whether it is logged as a fault.
    """

    list_failed: bool
    retry_on_new_connection: bool
    is_fault: bool


DISCONNECT_EFFECTS = {
    DisconnectReason.DONE: DisconnectEffect(False, False, False),
    DisconnectReason.STOPPED: DisconnectEffect(False, False, False),
    DisconnectReason.MOVED: DisconnectEffect(False, True, False),
    DisconnectReason.IDLE: DisconnectEffect(False, True, False),
    DisconnectReason.CUT_SHORT: DisconnectEffect(True, True, True),
    DisconnectReason.RESET: DisconnectEffect(True, True, True),
    DisconnectReason.REFUSED: DisconnectEffect(True, False, True),
    DisconnectReason.UNREACHABLE: DisconnectEffect(True, False, True),
    DisconnectReason.NEVER_UP: DisconnectEffect(True, False, True),
    DisconnectReason.SILENT: DisconnectEffect(True, False, True),
    DisconnectReason.UNREADABLE: DisconnectEffect(True, False, True),
    DisconnectReason.TOO_LONG: DisconnectEffect(True, False, True),
    DisconnectReason.UNREAD: DisconnectEffect(True, False, True),
    DisconnectReason.TURNED_AWAY: DisconnectEffect(True, False, False),
    DisconnectReason.NO_ROOM: DisconnectEffect(True, False, True),
}

REASONS = {
    errno.ECONNREFUSED: DisconnectReason.REFUSED,
    errno.ECONNRESET: DisconnectReason.RESET,
    errno.EPIPE: DisconnectReason.RESET,
    errno.ECONNABORTED: DisconnectReason.RESET,
    errno.EMFILE: DisconnectReason.NO_ROOM,
    errno.ENFILE: DisconnectReason.NO_ROOM,
    errno.ETIMEDOUT: DisconnectReason.NEVER_UP,
}


class DisconnectedError(Exception):
    """A connection has ended, or was never established."""

    def __init__(self, reason: DisconnectReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}{': ' if detail else ''}{detail}")
        self.reason, self.detail = reason, detail


def from_os_error(error: OSError | EOFError) -> DisconnectedError:
    """Return the end that an error of the operating system or of asyncio stands for."""
    if isinstance(error, asyncio.IncompleteReadError | EOFError):
        return DisconnectedError(DisconnectReason.CUT_SHORT)
    if isinstance(error, ConnectionResetError | BrokenPipeError):
        return DisconnectedError(DisconnectReason.RESET)
    return DisconnectedError(REASONS.get(error.errno or 0, DisconnectReason.UNREACHABLE), str(error))
