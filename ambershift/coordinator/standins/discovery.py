"""A stand-in for discovery: the list of servers, whole and by its changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from ambershift.coordinator.standins.world import listing


class Discovery:
    """The list by HTTP. Of its moods `mute` never answers, `eager` never waits, the others answer badly."""

    def __init__(self) -> None:
        self.now, self.changes, self.asked = listing(1), dict[int, dict[str, Any]](), list[str]()
        self.mood, self.places = "", list[int]()

    def change(self, *servers: dict[str, Any]) -> None:
        version = self.now["version"] + 1
        left = {one["id"]: one for one in [*self.now["servers"], *servers] if one["state"] != "removed"}
        self.changes[version] = listing(version, *servers, full=False)
        self.now = listing(version, *left.values())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.asked.append(head.split()[1])
                self.places.append(writer.get_extra_info("sockname")[1])
                status, body = await self.answer(self.asked[-1])
                if not status:
                    break
                for piece in (f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode(), body):
                    writer.write(piece)
                    await writer.drain()
        writer.close()

    async def answer(self, target: str) -> tuple[int, bytes]:
        asked = dict(word.split("=") for word in target.partition("?")[2].split("&") if word)
        after, waited = int(asked.get("after", 0)), 0.0
        while not self.mood and after >= self.now["version"] and waited < int(asked["wait_ms"]) / 1000:
            await asyncio.sleep(0.01)
            waited += 0.01
        if self.mood == "eager":
            return 200, json.dumps(listing(after, full=False)).encode()
        if self.mood == "mute":
            await asyncio.sleep(60)
        bad = {
            "503": (503, b""),
            "reset": (0, b""),
            "garbage": (200, b'{"version": 1'),
            "old": (200, json.dumps(listing(after - 1, full=False)).encode()),
            "large": (200, b" " * (9 << 20)),
        }
        if self.mood in bad:
            return bad[self.mood]
        found = self.changes.get(after + 1) if after + 1 == self.now["version"] else None
        if after == self.now["version"]:
            found = listing(after, full=False)
        return 200, json.dumps(found or self.now).encode()
