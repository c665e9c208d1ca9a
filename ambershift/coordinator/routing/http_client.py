"""An HTTP client for one address: sequential calls over a connection that is reused."""

from __future__ import annotations

import asyncio

from ambershift.coordinator.protocol import http
from ambershift.coordinator.routing.decoding import decoding
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.disconnect import (
    DISCONNECT_EFFECTS,
    DisconnectedError,
    DisconnectReason,
)
from ambershift.coordinator.transport.link import Link


class HttpClient:
    """Makes one call at a time; `dial_timeout_s` also bounds the writing of a request."""

    def __init__(self, dialler: Dialler, address: str, dial_timeout_s: float) -> None:
        self.dialler, self.address, self.dial_timeout_s = dialler, address, dial_timeout_s
        self.link: Link | None = None
        self.exchange = http.Exchange(address)

    async def call(self, target: str, timeout_s: float) -> http.Answer:
        """Make one call; a call that fails closes the connection.

        Raises:
            DisconnectedError: There is no answer in time, or none that can be read.
        """
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                while True:
                    is_reused, address = self.link is not None, self.address
                    try:
                        return await self.attempt(target)
                    except DisconnectedError as error:
                        moved = address != self.address
                        # The server may have closed an idle connection before the request reached it.
                        retry = is_reused and DISCONNECT_EFFECTS[error.reason].retry_on_new_connection
                        if not moved and not retry:
                            raise
                    self.close()
                    if moved:  # A call to another address has the whole time again.
                        timeout.reschedule(asyncio.get_running_loop().time() + timeout_s)
        except TimeoutError:
            self.close()
            raise DisconnectedError(DisconnectReason.SILENT) from None
        except BaseException:
            self.close()
            raise

    async def attempt(self, target: str) -> http.Answer:
        """Make one call over the open connection, or a new one, without a timeout for the answer.

        Raises:
            DisconnectedError: The connection ends before the answer is complete.
        """
        if self.link is None or self.link.closed_by_peer():
            self.close()
            self.link = await self.dialler.dial(self.address, self.dial_timeout_s)
            if self.link.address != self.address:
                raise DisconnectedError(DisconnectReason.MOVED)
            self.exchange = http.Exchange(self.address)
        with decoding():
            await self.link.write(self.exchange.encode_request(target), self.dial_timeout_s)
            answer = None
            while not answer:
                chunk = await self.link.read_chunk(None)
                if not chunk and not self.exchange.answer_started:
                    raise DisconnectedError(DisconnectReason.CUT_SHORT)
                answer = self.exchange.receive(chunk)
        if not self.exchange.reusable():
            self.close()
        return answer

    def move(self, address: str) -> None:
        """Use another address; a call under way is repeated there at once, with the whole time again."""
        if address != self.address:
            self.address = address
            if self.link:
                self.link.disconnect(DisconnectReason.MOVED)

    def close(self) -> None:
        """Close the connection."""
        if self.link:
            self.link.close()
        self.link = None
