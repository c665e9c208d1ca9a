"""`python -m ambershift.coordinator.counters --settings F`: reads perf's figures beside the coordinator."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
import time

import aiohttp
import orjson

from ambershift.coordinator.counters.sources import Sources
from ambershift.coordinator.group.links.wire import (
    MAX_HELLO_BYTES,
    WIRE_VERSION,
    FrameKind,
    Hello,
    Refusal,
    Role,
    UnreadableError,
    decode_reply,
    encode,
    encode_frame,
)
from ambershift.coordinator.interference import records
from ambershift.coordinator.settings.checks import duration
from ambershift.coordinator.settings.group import Group
from ambershift.coordinator.settings.interference import Interference
from ambershift.coordinator.settings.model import read_file
from ambershift.coordinator.settings.tree import SettingsError
from ambershift.version import VERSION

POLL, PAUSE_LEAST, PAUSE_MOST, LIMIT = 0.25, 0.25, 5.0, 2.0


def note(event: str, **fields: object) -> None:
    sys.stderr.write(orjson.dumps({"event": event, "at": time.time_ns(), **fields}).decode() + "\n")
    sys.stderr.flush()


class Hand:
    """The way to the member: one link, dialled anew after a pause that grows."""

    def __init__(self, group: Group, sources: Sources, name: str) -> None:
        self.group, self.sources, self.name, self.up = group, sources, name, False

    async def run(self) -> None:
        pause, told = PAUSE_LEAST, ""
        while True:
            why = ""
            self.up = False
            try:
                async with aiohttp.ClientSession() as session:
                    await self.keep(session)
            except (aiohttp.ClientError, OSError, TimeoutError, UnreadableError, RuntimeError) as error:
                why = str(error)[:200] or type(error).__name__
            if self.up:
                pause, told = PAUSE_LEAST, ""
            if why != told:
                note("member_lost", member=self.group.me, why=why, waiting=len(self.sources.waiting))
                told = why
            await asyncio.sleep(pause)
            pause = min(PAUSE_MOST, 2 * pause)

    async def keep(self, session: aiohttp.ClientSession) -> None:
        group = self.group
        voters = tuple(one.name for one in group.member if one.votes)
        async with asyncio.timeout(LIMIT):
            socket = await session.ws_connect(
                f"http://{group.listen}/", max_msg_size=MAX_HELLO_BYTES, heartbeat=4.0
            )
            await socket.send_bytes(
                encode(
                    Hello(
                        WIRE_VERSION,
                        VERSION,
                        Role.COUNTERS,
                        self.name,
                        group.me,
                        0,
                        str(time.time_ns()),
                        "",
                        group.name,
                        voters,
                    )
                )
            )
            first = await socket.receive()
        answer = decode_reply(first.data if first.type is aiohttp.WSMsgType.BINARY else None)
        if isinstance(answer, Refusal):
            raise UnreadableError(f"refused: {answer.reason} ({answer.why})")
        self.up = True
        note("member_up", member=answer.name)
        reader = asyncio.ensure_future(socket.receive())  # Nothing but the end comes on this side.
        try:
            while not reader.done():
                batch = self.sources.batch()
                if not batch:
                    await asyncio.wait([reader], timeout=POLL)
                    continue
                try:
                    async with asyncio.timeout(LIMIT):
                        await socket.send_bytes(encode_frame(FrameKind.COUNTERS, records.encode(batch)))
                except BaseException:
                    self.sources.again(batch)
                    raise
            raise UnreadableError("closed by the member")
        finally:
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(0.3):
                    await socket.close()


async def serve(group: Group, interference: Interference) -> None:
    interval = duration(interference.interval)
    assert interval is not None  # Checked when the settings were read.
    sources = Sources(interference, interval, note)
    hand = asyncio.create_task(Hand(group, sources, f"{group.me}-counters").run())
    stopped = asyncio.Event()
    for each in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(each, stopped.set)
    try:
        while not stopped.is_set():
            sources.poll(time.time_ns())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL):
                    await stopped.wait()
    finally:
        hand.cancel()
        await asyncio.gather(hand, return_exceptions=True)
        sources.close()
        note("ended", unusable=dict(sources.unusable()), dropped=sources.dropped)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m ambershift.coordinator.counters", description=__doc__)
    parser.add_argument("--settings", required=True, help="our own settings, in HCL")
    try:
        root = read_file(parser.parse_args().settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if not isinstance(root.group, Group) or not isinstance(root.interference, Interference):
        print("counters need the blocks 'group' and 'interference'", file=sys.stderr)
        return 2
    asyncio.run(serve(root.group, root.interference))
    return 0


if __name__ == "__main__":
    sys.exit(main())
