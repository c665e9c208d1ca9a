"""Turns errors of the codecs into the end of the connection that brought the input."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ambershift.coordinator.protocol.fields import UnreadableError
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason


@contextmanager
def decoding() -> Iterator[None]:
    """Decode input within this context.

    Raises:
        DisconnectedError: A codec raised `UnreadableError`.
    """
    try:
        yield
    except UnreadableError as error:
        raise DisconnectedError(DisconnectReason.UNREADABLE, str(error)) from None
