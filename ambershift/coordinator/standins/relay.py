"""A stand-in for the relay: carries out calls, and brings news of the proxies that are joined to it."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Any

from ambershift.coordinator.standins.channel import Channel
from ambershift.coordinator.standins.world import SETTINGS

# Orders as they were taken, the proxies that were joined, and the seconds until the last line has left.
Carried = Callable[[list[str], list[int], float], None]


class Relay:
    """Carries out calls, unless the next of its `moods` wants otherwise, and brings news."""

    def __init__(self, info: dict[str, Any] | None = None) -> None:
        self.moods, self.heard, self.carried = deque[str](), list[list[str]](), list[str]()
        self.standing, self.followers = dict[int, str](), list[asyncio.StreamWriter]()
        self.quiet, self.followed, self.places = False, 0, list[int]()
        self.answering = False  # Whether joined proxies answer marks, once the channel has brought them.
        self.channel = Channel(info or SETTINGS["family_info"])
        self.watchers = list[Carried]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := (await reader.readline()).decode().strip():
                self.places.append(writer.get_extra_info("sockname")[1])
                if line == "follow":
                    self.followed += 1
                    writer.write("".join(["OK\r\n", *self.standing.values()]).encode())
                    self.followers.append(writer)
                elif not await self.call(line.removeprefix("txn ").split(";"), writer):
                    break
        writer.close()

    async def call(self, orders: list[str], writer: asyncio.StreamWriter) -> bool:
        mood = self.moods.popleft() if self.moods else ""
        self.heard.append(orders)
        if mood in ("busy", "unread"):
            writer.write(b"too_many_calls\r\n" if mood == "busy" else b"bad_request\r\n")
            return True
        kinds = [f"no {order.split(',')[0]}" for order in orders]
        taken = kinds.index(mood) if mood in kinds else len(orders)
        if mood not in ("break before", "mute"):
            self.carried += orders[:taken]
            loop = asyncio.get_running_loop()
            joined = list(self.standing)
            after = self.channel.take(orders[:taken], joined, loop.time())
            for watcher in self.watchers:
                watcher(orders[:taken], joined, after)
            for order in orders[:taken] if self.answering else ():
                if order.startswith("fence"):
                    loop.call_later(after, self.answer, order.split(",")[1])
        answers = {
            "break after": b"",
            "break before": b"",
            "mute": b"",
            "garbage": b"hm\r\n",
            "endless": b"OK " + b"1" * (2 << 20),
            "in pieces": f"OK {taken}".encode(),
        }
        writer.write(answers.get(mood, f"OK {taken}\r\n".encode()))
        await writer.drain()
        if mood == "in pieces":
            await asyncio.sleep(0.02)
            writer.write(b"\r\n")
        return not mood.startswith("break")

    def answer(self, mark: str) -> None:
        for proxy in self.standing:
            self.news(f"ack {proxy} {mark} 1.5")

    def news(self, text: str) -> None:
        words = text.split()
        if words[0] == "hello":
            self.standing[int(words[1])] = f"* {text}\r\n"
        elif words[0] == "bye":
            self.standing.pop(int(words[1]), None)
        self.followers = [writer for writer in self.followers if not writer.is_closing()]
        for writer in self.followers:
            writer.write(f"* {text}\r\n".encode())

    async def live(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for writer in [] if self.quiet else self.followers:
                if not writer.is_closing():
                    writer.write(b"*\r\n")

    def drop(self) -> None:
        for writer in self.followers:
            writer.close()
        self.followers.clear()
