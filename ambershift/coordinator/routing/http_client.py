"""One HTTP client to one address: calls one after the other, over a connection that is used again."""

from __future__ import annotations

import asyncio

from ambershift.coordinator.protocol import http
from ambershift.coordinator.routing.decoding import reading
from ambershift.coordinator.transport.dialler import Dialler
from ambershift.coordinator.transport.disconnect import (
    DISCONNECT_EFFECTS,
    DisconnectedError,
    DisconnectReason,
)
from ambershift.coordinator.transport.link import Link


class HttpClient:
    def __init__(self, dialler: Dialler, address: str, dial_limit: float) -> None:
        self.dialler, self.address, self.dial_limit = dialler, address, dial_limit
        self.link: Link | None = None
        self.exchange = http.Exchange(address)

    async def call(self, target: str, limit: float) -> http.Answer:
        """One answer within the limit; without one the connection is at its end, and this tells how."""
        try:
            async with asyncio.timeout(limit) as bound:
                while True:
                    used, address = self.link is not None, self.address
                    try:
                        return await self.once(target)
                    except DisconnectedError as end:
                        moved = address != self.address
                        # What lay idle may have been closed before our words came there.
                        if not moved and not (
                            used and DISCONNECT_EFFECTS[end.reason].retry_on_new_connection
                        ):
                            raise
                    self.close()
                    if moved:  # Another place, another call: it may wait as long as any.
                        bound.reschedule(asyncio.get_running_loop().time() + limit)
        except TimeoutError:
            self.close()
            raise DisconnectedError(DisconnectReason.SILENT) from None
        except BaseException:
            self.close()
            raise

    async def once(self, target: str) -> http.Answer:
        if self.link is None or self.link.closed_by_peer():
            self.close()
            self.link = await self.dialler.dial(self.address, self.dial_limit)
            if self.link.address != self.address:
                raise DisconnectedError(DisconnectReason.MOVED)
            self.exchange = http.Exchange(self.address)
        with reading():
            await self.link.write(self.exchange.ask(target), self.dial_limit)
            answer = None
            while not answer:
                chunk = await self.link.read_chunk(None)
                if not chunk and not self.exchange.begun:
                    raise DisconnectedError(DisconnectReason.CUT_SHORT)
                answer = self.exchange.hear(chunk)
        if not self.exchange.reusable():
            self.close()
        return answer

    def move(self, address: str) -> None:
        """Go to another address; a call under way is made there at once, as if for the first time."""
        if address != self.address:
            self.address = address
            if self.link:
                self.link.disconnect(DisconnectReason.MOVED)

    def close(self) -> None:
        if self.link:
            self.link.close()
        self.link = None
