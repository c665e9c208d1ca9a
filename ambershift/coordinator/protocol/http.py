"""HTTP/1.1 as a client that reads one answer at a time, by h11."""

from __future__ import annotations

from typing import NamedTuple

import h11

from ambershift.coordinator.protocol.fields import UnreadableError

BODY_MOST = 8 << 20


class Answer(NamedTuple):
    status: int
    body: bytes


class Exchange:
    """The calls that go over one connection, one after the other."""

    def __init__(self, host: str) -> None:
        self.host, self.state = host, h11.Connection(h11.CLIENT, max_incomplete_event_size=64 * 1024)
        self.status, self.parts, self.size, self.begun = 0, list[bytes](), 0, False

    def ask(self, target: str) -> bytes:
        if self.state.our_state is h11.DONE:
            self.state.start_next_cycle()
        self.status, self.parts, self.size, self.begun = 0, [], 0, False
        head = h11.Request(method="GET", target=target, headers=[("Host", self.host)])
        return (self.state.send(head) or b"") + (self.state.send(h11.EndOfMessage()) or b"")

    def hear(self, chunk: bytes) -> Answer | None:
        """Take bytes in (none: the other side has ended) and give the answer once it is whole."""
        self.begun |= bool(chunk)
        try:
            self.state.receive_data(chunk)
            while True:
                event = self.state.next_event()
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > BODY_MOST:
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
        return self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
