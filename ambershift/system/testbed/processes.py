"""One machine's process: started with its settings file, ended by its id, its cost read from /proc."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ambershift.system.testbed.settings import CONTROL_NODE, Machine, Site

ROOT = Path(__file__).parent.parent.parent.parent
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor seconds so far, and memory now and at the peak, in MiB."""

    cpu: float
    now: float
    peak: float


def cost_of(pid: int) -> Cost | None:
    """None where the process has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return None
    sizes = {
        line.partition(":")[0]: int(line.split()[1]) / 1024
        for line in status.splitlines()
        if line.startswith(("VmRSS", "VmHWM"))
    }
    if "VmRSS" not in sizes:
        return None  # It has ended and isn't waited for yet.
    return Cost((int(fields[11]) + int(fields[12])) / TICKS, sizes["VmRSS"], sizes["VmHWM"])


def is_checkout(path: Path) -> bool:
    """Whether the program can be started from this folder."""
    return (path / "ambershift" / "system" / "__main__.py").is_file()


def checkouts(machines: Iterable[Machine], other: Path | None) -> dict[str, Path]:
    """The checkout that each machine's process is started from, by the machine's name.

    With `other`, every second machine of each kind runs from there; the rest run from this checkout.
    """
    found, numbers = dict[str, Path](), Counter[str]()
    for machine in machines:
        numbers[machine.kind] += 1
        found[machine.name] = other if other and numbers[machine.kind] % 2 == 0 else ROOT
    return found


class Child:
    """The process of one machine, over all its lives. `log` has what it wrote, one file for all lives.

    `checkout` is the root of the source tree that each of its lives runs.
    """

    def __init__(self, site: Site, machine: Machine, checkout: Path = ROOT) -> None:
        self.site, self.machine, self.checkout = site, machine, checkout
        self.process: asyncio.subprocess.Process | None = None
        self.starts, self.since = 0, 0.0  # Of the last start, steady seconds.
        self.log = site.folder / "logs" / f"{machine.name}.log"
        self.before, self.last, self.peak = 0.0, Cost(0, 0, 0), 0.0  # Of earlier lives; last look; MiB.
        self.asked_to_end = False

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def fell(self) -> bool:
        """Whether it ended without having been told to."""
        return self.process is not None and not self.alive and not self.asked_to_end

    @property
    def up_for(self) -> float:
        return time.monotonic() - self.since

    async def start(self) -> None:
        assert not self.alive
        path = self.site.write(self.machine, initial=self.starts == 0)
        self.before, self.last = self.cpu, Cost(0, 0, 0)
        self.starts, self.since = self.starts + 1, time.monotonic()
        self.asked_to_end = False
        self.log.parent.mkdir(parents=True, exist_ok=True)
        role = "control" if self.machine.kind == CONTROL_NODE else "proxy"
        with self.log.open("ab") as out:
            # A session of its own: Ctrl-C at the terminal reaches only us, who then end our children.
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                "ambershift.system",
                role,
                "--settings",
                str(path),
                cwd=self.checkout,  # `-m` imports from there before all else.
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                start_new_session=True,
            )

    def freeze(self) -> None:
        assert self.process
        assert self.alive
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        if self.process and self.alive:
            self.process.send_signal(signal.SIGCONT)

    def look(self) -> None:
        if self.process and self.alive and (found := cost_of(self.process.pid)):
            self.last = found
            self.peak = max(self.peak, found.peak)

    @property
    def cpu(self) -> float:
        return self.before + self.last.cpu

    def signal(self, number: int) -> None:
        self.look()
        self.asked_to_end = True
        if self.process and self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def terminate(self, limit: float) -> bool:
        """SIGTERM, and SIGKILL after `limit` seconds. Whether it ended by itself before that, with 0."""
        self.thaw()
        self.signal(signal.SIGTERM)
        assert self.process
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                return await self.process.wait() == 0
        await self.kill()
        return False

    def wipe(self) -> None:
        """Its disk is lost."""
        assert not self.alive
        shutil.rmtree(self.site.data(self.machine), ignore_errors=True)

    def lines(self) -> Iterator[dict[str, Any]]:
        """Its log; what is no event of its own is given as `raw`."""
        if not self.log.exists():
            return
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                found = json.loads(line)
            except json.JSONDecodeError:
                found = None
            yield found if isinstance(found, dict) else {"raw": line}

    def troubles(self) -> list[str]:
        """What its log tells of parts that failed, and whatever is no event (tracebacks)."""
        found = [line for line in self.lines() if "raw" in line or line.get("n") == 6]
        return [
            str(line.get("raw") or {key: line.get(key) for key in ("on", "where", "error")}) for line in found
        ]


async def end_all(children: list[Child], limit: float) -> None:
    """End whatever still runs of these."""
    await asyncio.gather(
        *(child.terminate(limit) for child in children if child.alive), return_exceptions=True
    )
    await asyncio.gather(*(child.kill() for child in children if child.alive), return_exceptions=True)
