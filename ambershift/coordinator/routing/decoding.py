"""Reading: what a codec can't make out is an end of the connection that brought it, told in one way."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ambershift.coordinator.protocol.fields import UnreadableError
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason


@contextmanager
def reading() -> Iterator[None]:
    try:
        yield
    except UnreadableError as error:
        raise DisconnectedError(DisconnectReason.UNREADABLE, str(error)) from None
