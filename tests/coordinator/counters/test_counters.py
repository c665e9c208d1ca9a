"""The process that reads counters: files and FIFOs that come and go, and a member that is lost and comes
back.
"""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
from aiohttp import WSMsgType, web

from ambershift.coordinator.counters import sources as kept
from ambershift.coordinator.counters.sources import Sources
from ambershift.coordinator.counters.standin import rows
from ambershift.coordinator.counters.worlds import SLOT_NS
from ambershift.coordinator.group.links.wire import (
    FrameKind,
    Refusal,
    Role,
    Welcome,
    decode_frame,
    decode_hello,
    encode,
)
from ambershift.coordinator.interference.records import read_samples
from ambershift.coordinator.interference.words import Sample
from ambershift.coordinator.settings.interference import CounterJob, Interference, Source
from ambershift.coordinator.settings.model import read_text
from ambershift.coordinator.settings.tree import SettingsError

SECOND = 1_000_000_000


def sample(number: int, span: int = SLOT_NS) -> Sample:
    return Sample("a", "m1", "s-1", "games", number * span, span, 2.5e10 + number, 2e10, 1e7, 1e10, 1.0)


def text(*numbers: int, span: int = SLOT_NS) -> str:
    return "".join(f"{row}\n" for number in numbers for row in rows(sample(number, span), number * span))


def sources(*files: Path) -> tuple[Sources, list[tuple[str, str]]]:
    jobs = tuple(CounterJob(f"s-{at}", str(file)) for at, file in enumerate(files))
    noted = list[tuple[str, str]]()
    return Sources(
        Interference(source=(Source("a", "m1", jobs),)),
        SLOT_NS,
        lambda event, **fields: noted.append((event, fields["reason"])),
    ), noted


def test_files_that_are_missing_cut_replaced_or_silent_are_told_by_name(tmp_path: Path) -> None:
    file, now = tmp_path / "s.csv", 1_000 * SECOND
    reading, noted = sources(file)

    def grow(*numbers: int) -> int:
        nonlocal now
        made = 0
        for number in numbers:
            now += SLOT_NS
            with file.open("a") as more:
                more.write(text(number))
            made += reading.poll(now)
        return made

    assert reading.poll(now) == 0 and noted == [("source_lost", "missing")]
    assert grow(1, 2) == 0  # What lies there at first is of an unknown time, and what it cuts a part.
    assert noted[1:] == [("source_back", "missing")]
    assert grow(3, 4, 5) == 2
    file.write_text("")
    assert grow(1, 2) == 2  # 5, which was open, and 1 of the new run.
    other = tmp_path / "other"
    other.touch()
    other.rename(file)
    assert grow(1, 2, 3) == 3 and reading.unusable() == {"wrapped": 2}
    for at in range(1, 5):
        reading.poll(now + at * SLOT_NS)
    assert noted[2:] == [("source_lost", "silent")]
    file.unlink()
    os.mkdir(file)
    assert reading.poll(now) == 0
    reading.close()


def test_a_fifo_whose_writer_goes_and_comes_back(tmp_path: Path) -> None:
    path, now, made = tmp_path / "fifo", 1_000 * SECOND, list[int]()
    os.mkfifo(path)
    reading, noted = sources(path)
    assert reading.poll(now) == 0
    for _ in range(3):
        with path.open("w") as writer:
            for number in (1, 2, 3):
                now += SLOT_NS
                writer.write(text(number))
                writer.flush()
                made.append(reading.poll(now))
    assert made == [0, 0, 1, 1, 1, 1, 1, 1, 1] and noted == []
    reading.close()


def test_while_nobody_takes_samples_the_newest_are_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kept, "KEPT_MOST", 20)
    file = tmp_path / "s.csv"
    file.touch()
    reading, _ = sources(file)
    reading.waiting = kept.deque(maxlen=20)
    reading.poll(1_000 * SECOND)
    for first in range(1, 203, 3):  # It was held up: three at a time.
        with file.open("a") as more:
            more.write(text(*range(first, min(203, first + 3))))
        reading.poll((1_000 + 10 * first + 30) * SECOND)
    held = reading.batch()
    assert [one.cycles - 2.5e10 for one in held] == list(range(182, 202)) and reading.dropped == 180
    with file.open("a") as more:
        more.write(text(203, 204))
    reading.poll(3_055 * SECOND)
    reading.again(held)
    assert [one.cycles - 2.5e10 for one in reading.batch()] == list(range(184, 204))
    reading.close()


class Member:
    """Takes counters as a member does; may refuse or hang up."""

    def __init__(self) -> None:
        self.hellos, self.samples, self.links = list[Any](), list[Sample](), list[web.WebSocketResponse]()
        self.refusing, self.port, self.runner = False, 0, None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/", self.serve)
        self.runner: Any = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", self.port)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]  # type: ignore

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        self.hellos.append(decode_hello((await socket.receive()).data))
        if self.refusing:
            await socket.send_bytes(encode(Refusal("too-many", "enough")))
            await socket.close()
            return socket
        await socket.send_bytes(encode(Welcome("test", "n1", 1)))
        self.links.append(socket)
        async for message in socket:
            assert message.type is WSMsgType.BINARY
            kind, payload = decode_frame(message.data)
            assert kind is FrameKind.COUNTERS
            self.samples += read_samples(payload)
        return socket


SETTINGS = """
group {{
  name = "archive"
  me = "n1"
  listen = "127.0.0.1:{port}"
  member "n1" {{ address = "127.0.0.1:{port}" }}
}}
interference {{
  interval = "100ms"
  source "a" {{
    kind = "m1"
    job "s-1" {{
      tenant = "games"
      file = "{file}"
    }}
  }}
}}
"""


async def until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not true():
            await asyncio.sleep(0.02)


def test_the_process_outlives_its_member_and_hands_over_what_it_kept(tmp_path: Path) -> None:
    file, place, span = tmp_path / "s.csv", tmp_path / "a.hcl", SECOND // 10

    def write(*numbers: int) -> None:
        with file.open("a") as more:
            more.write(text(*numbers, span=span))

    async def whole() -> None:
        member = Member()
        await member.start()
        file.touch()
        place.write_text(SETTINGS.format(port=member.port, file=file))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ambershift.coordinator.counters", "--settings", str(place), stderr=-1
        )
        try:
            await until(lambda: bool(member.links))
            hello = member.hellos[0]
            assert (hello.role, hello.to, hello.title, hello.name) == (
                Role.COUNTERS,
                "n1",
                "archive",
                "n1-counters",
            )
            await until(lambda: _has(process, file))
            write(1, 2, 3)
            await until(lambda: len(member.samples) == 1)
            await member.runner.cleanup()  # Lost.
            write(4, 5)
            await asyncio.sleep(0)
            member.refusing = True
            await member.start()
            await until(lambda: len(member.hellos) > 1)
            member.refusing = False
            await until(lambda: len({one.at for one in member.samples}) == 3)
            in_order = sorted(member.samples, key=lambda one: one.at)
            assert [one.cycles - 2.5e10 for one in in_order] == [2, 3, 4]
            assert all(abs(one.at - time.time_ns()) < 30 * SECOND for one in member.samples)
            await until(lambda: bool(member.links))
            file.unlink()
            process.send_signal(signal.SIGTERM)
            told = [orjson.loads(line) for line in (await process.communicate())[1].splitlines()]
            assert process.returncode == 0
            events = [one["event"] for one in told]
            assert events[-1] == "ended" and events.count("member_up") == 2 and "member_lost" in events
            assert any("too-many" in one.get("why", "") for one in told)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await member.runner.cleanup()

    asyncio.run(whole())


def _has(process: asyncio.subprocess.Process, file: Path) -> bool:
    """Whether the process follows the file: what is written before counts as old."""
    fds = Path(f"/proc/{process.pid}/fd")
    return any(os.path.realpath(fd) == str(file) for fd in fds.iterdir())


BLOCK = 'interference {{\n {extra}\n source "a" {{\n  kind = "m1"\n  {jobs}\n }}\n}}\n'
JOB = 'job "s" {\n file = "/f"\n }\n'


@pytest.mark.parametrize(
    ("extra", "jobs", "says"),
    [
        ('interval = "10"', JOB, "x:2: key 'interference.interval'"),
        ('ease_most = "0%"', JOB, "x:2: key 'interference.ease_most'"),
        ('ease = "yes"', JOB, "x:2: key 'interference.ease'"),
        ("", "", "x:3: key 'interference.source[0]': 0 jobs"),
        ("", 'job "s|" {\n file = "/f"\n }', "x:5: key 'interference.source[0].job[0]': 's|' is no name"),
        (
            "",
            'job "s" {\n file = "f"\n }',
            "x:6: key 'interference.source[0].job[0].file': 'f' is no absolute",
        ),
        ("", 'job "s" {\n }', "x:5: key 'interference.source[0].job[0]'"),
        (
            "",
            JOB + JOB,
            "x:8: key 'interference.source[0].job[1]': 's' is interference.source[0].job[0] already",
        ),
        (
            "",
            JOB + JOB.replace('"s"', '"t"'),
            "x:9: key 'interference.source[0].job[1].file': '/f' is read for",
        ),
        ("", JOB + "speed = 1", "x:8: key 'interference.source[0].speed': no such key"),
        (
            'source "a" {\n kind = "m"\n job "q" {\n file = "/q"\n }\n }',
            JOB,
            "is interference.source[0] already",
        ),
    ],
)
def test_settings_that_can_not_be_name_file_line_and_key(extra: str, jobs: str, says: str) -> None:
    with pytest.raises(SettingsError) as told:
        read_text(BLOCK.format(extra=extra, jobs=jobs), "x")
    assert says in str(told.value)
    found = read_text(BLOCK.format(extra="ease = true", jobs=JOB), "x").interference
    assert isinstance(found, Interference) and found.ease and found.source[0].job[0].file == "/f"
