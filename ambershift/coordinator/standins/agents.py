"""Stand-in collectors: one a zone reports to each coordinator what the proxies of its own met."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

from ambershift.coordinator.standins.fleet import Fleet

PERIOD, RETRY = 1.0, 0.2


class Agent:
    """Reports tries of the proxies that `member` steers; for servers in `ill`, that all of them failed."""

    def __init__(self, fleet: Fleet, member: str, zone: str, address: tuple[str, int]) -> None:
        self.fleet, self.member, self.zone, self.address = fleet, member, zone, address
        self.ill = set[str]()
        self.seen = Counter[str]()
        self.reports = 0

    async def run(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.address)
                try:
                    await self.report(writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(RETRY)

    async def report(self, writer: asyncio.StreamWriter) -> None:
        writer.write(f"agent zone={self.zone}\r\n".encode())
        while not writer.is_closing():
            await asyncio.sleep(PERIOD)
            writer.write(b"".join(self.lines()))
            await writer.drain()
            self.reports += 1

    def lines(self) -> list[bytes]:
        mine = [
            proxy for proxy in self.fleet.proxies if proxy.member == self.member and proxy.zone == self.zone
        ]
        found, rows = Counter[str](), list[bytes]()
        for (zone, server), count in self.fleet.tried.items():
            if zone == self.zone:
                found[server] = count
        for server, count in found.items():
            tries = count - self.seen[server]
            if tries and mine:
                failed = tries if server in self.ill else 0
                rows.append(
                    f"outcomes zone={self.zone} server={server} tries={tries} failed={failed} "
                    f"mean_ms=20.0 span_ms={PERIOD * 1e3}\r\n".encode()
                )
        self.seen = found
        for proxy in mine:
            for group in self.fleet.groups:
                tries = max(1, round(self.fleet.rate))
                rows.append(
                    f"demand proxy={proxy.number} class={group} tries={tries} failed=0 "
                    f"span_ms={PERIOD * 1e3}\r\n".encode()
                )
        return rows
