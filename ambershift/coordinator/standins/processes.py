"""One coordinator of the rig as a process: its settings, its log, and the signals that it gets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

from ambershift.coordinator.runtime.client import Client, ClientError, Reply

ROOT = Path(__file__).parents[3]


class Member:
    """A coordinator of the group. `folder` is its own, None for one that keeps nothing on disk."""

    def __init__(
        self, name: str, place: Path, configuration: dict[str, Any], group: str, extra: str, disk: bool
    ) -> None:
        self.name, self.place, self.configuration = name, place, configuration
        self.group, self.extra = group, extra
        self.folder = place / "folder" if disk else None
        self.socket = str(place / "r.sock")
        self.clock_ahead = "0s"
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.log, self.raw = list[dict[str, Any]](), list[str]()
        self.stopped = False
        self.starts = 0
        place.mkdir(parents=True, exist_ok=True)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def running(self) -> bool:
        return self.alive and not self.stopped

    def write(self) -> None:
        (self.place / "config.json").write_text(json.dumps(self.configuration))
        group = self.group
        if group:
            folder = f'  folder = "{self.folder}"\n' if self.folder else ""
            own = f'  me = "{self.name}"\n  clock_ahead = "{self.clock_ahead}"\n{folder}'
            group = f"group {{\n{own}{group}}}\n{self.extra}\n"
        runtime = f'runtime {{\n  socket "{self.socket}" {{\n    mode = "0600"\n  }}\n}}\n'
        (self.place / "run.hcl").write_text(runtime + group)

    async def start(self) -> None:
        """Start a process; what it says goes to `log`, and what is no JSON to `raw`."""
        assert not self.alive
        self.write()
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.socket)
        self.starts += 1
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ambershift",
            "run",
            "--config",
            str(self.place / "config.json"),
            "--settings",
            str(self.place / "run.hcl"),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "BALANCER_NAME": self.name},
        )
        self.reader = asyncio.create_task(self.read(self.process))

    async def read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout
        async for line in process.stdout:
            try:
                self.log.append({**json.loads(line), "start": self.starts})
            except json.JSONDecodeError:
                self.raw.append(line.decode("utf-8", "replace").rstrip())

    def logged(self, event: str, start: int | None = None) -> list[dict[str, Any]]:
        """Lines of this start, or of another."""
        return [
            line
            for line in self.log
            if line.get("event") == event and line["start"] == (start or self.starts)
        ]

    def end_now(self) -> None:
        """SIGKILL and nothing else, before anything further can run here."""
        assert self.process
        if self.alive:
            self.process.kill()

    async def kill(self, wipe: bool = False) -> None:
        """SIGKILL, and with `wipe` its folder is gone before anyone can look."""
        assert self.process
        if self.alive:
            self.process.kill()
            await self.process.wait()
        self.stopped = False
        if wipe and self.folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def terminate(self, limit: float = 10.0) -> int | None:
        assert self.process
        self.process.terminate()
        async with asyncio.timeout(limit):
            return await self.process.wait()

    def stop(self) -> None:
        assert self.process
        assert self.alive
        self.process.send_signal(signal.SIGSTOP)
        self.stopped = True

    def go_on(self) -> None:
        assert self.process
        assert self.alive
        self.process.send_signal(signal.SIGCONT)
        self.stopped = False

    def keep_copy(self, name: str) -> Path:
        """A copy of the folder as it is, as a backup would make it, beside it."""
        assert self.folder
        copy = self.place / name
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(self.folder, copy, ignore=shutil.ignore_patterns("*.lock", "lock"))
        return copy

    def put_back(self, copy: Path) -> None:
        assert self.folder
        assert not self.alive
        shutil.rmtree(self.folder, ignore_errors=True)
        shutil.copytree(copy, self.folder)

    async def ask(self, command: str, limit: float = 10.0) -> Reply:
        """One command over a connection of its own; a ClientError where there is no answer."""
        async with Client(self.socket, limit) as client:
            return await client.run(command)

    async def rows(self, command: str, limit: float = 5.0) -> Any:
        """What a command with `json` gives, None where there is no such answer."""
        try:
            reply = await self.ask(command, limit)
        except ClientError:
            return None
        if reply.failed:
            return None
        try:
            return json.loads(reply.text)
        except json.JSONDecodeError:
            return None
