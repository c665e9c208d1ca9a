"""The client side of HTTP/1.1, one answer at a time, on top of h11."""

from __future__ import annotations

from typing import NamedTuple

import h11

from ambershift.coordinator.protocol.fields import UnreadableError

MAX_BODY_BYTES = 8 << 20
MAX_HEADER_BYTES = 64 * 1024


class Answer(NamedTuple):
    """The answer to a request."""

    status: int
    body: bytes


class Exchange:
    """The sequential requests and answers of one connection."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.status, self.parts, self.size, self.answer_started = 0, list[bytes](), 0, False

    def encode_request(self, target: str) -> bytes:
        """Start the next exchange; return the bytes of its GET request."""
        if self.connection.our_state is h11.DONE:
            self.connection.start_next_cycle()
        self.status, self.parts, self.size, self.answer_started = 0, [], 0, False
        head = h11.Request(method="GET", target=target, headers=[("Host", self.host)])
        return (self.connection.send(head) or b"") + (self.connection.send(h11.EndOfMessage()) or b"")

    def receive(self, chunk: bytes) -> Answer | None:
        """Process received bytes, b"" if the server has closed its side.

        Returns:
            The answer, once it is complete.

        Raises:
            UnreadableError: The answer is malformed, too large or cut off.
        """
        self.answer_started |= bool(chunk)
        try:
            self.connection.receive_data(chunk)
            while True:
                event = self.connection.next_event()
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > MAX_BODY_BYTES:
                        raise UnreadableError("the answer is too large")
                    self.parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return Answer(self.status, b"".join(self.parts))
                elif event is h11.NEED_DATA:
                    return None
                elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    raise UnreadableError("no whole answer")
        except h11.ProtocolError as error:
            raise UnreadableError(f"no HTTP/1.1: {error}") from None

    def reusable(self) -> bool:
        """Tell whether the connection can carry another request."""
        return self.connection.our_state is h11.DONE and self.connection.their_state is h11.DONE
