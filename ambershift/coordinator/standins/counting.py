"""Counter sources of the rig: a stand-in for perf that writes all files, and a reader beside each member."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path

from ambershift.coordinator.counters.worlds import Plan, World
from ambershift.coordinator.standins.processes import ROOT, Member
from ambershift.coordinator.standins.rig import Rig


class Counting:
    """Node k's counters are read beside member k. Use `prepare` before the rig starts, `start` after."""

    def __init__(self, rig: Rig, interval: str, plant: str, seed: int = 1) -> None:
        self.rig, self.interval, self.plant, self.seed = rig, interval, plant, seed
        self.folder = rig.place / "perf"
        self.folder.mkdir()
        self.writer: asyncio.subprocess.Process | None = None
        self.readers = dict[str, asyncio.subprocess.Process]()

    def prepare(self) -> None:
        """The block `interference` of each member's settings."""
        world = World(self.seed, Plan(nodes=len(self.rig.names), slots=9))
        for at, member in enumerate(self.rig.members.values()):
            jobs = "".join(
                f'    job "{name}" {{\n      file = "{self.folder}/node-{at}.{name}.csv"\n'
                + (f'      tenant = "{tenant}"\n' if tenant else "")
                + "    }\n"
                for node, name, tenant in zip(world.node, world.name, world.tenant, strict=True)
                if node == f"node-{at}"
            )
            kind = world.kind[world.node.index(f"node-{at}")]
            member.extra += (
                f'interference {{\n  interval = "{self.interval}"\n  source "node-{at}" {{\n'
                f'    kind = "{kind}"\n{jobs}  }}\n}}\n'
            )

    async def start(self) -> None:
        self.writer = await self.run(
            "ambershift.coordinator.counters.standin",
            "--folder",
            str(self.folder),
            "--interval",
            self.interval,
            "--seed",
            str(self.seed),
            "--nodes",
            str(len(self.rig.names)),
            "--plant",
            self.plant,
            "--slots",
            "100000",
        )
        await asyncio.gather(*(self.read(name) for name in self.rig.names))

    async def run(self, module: str, *words: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            env=dict(os.environ),
        )

    async def read(self, name: str) -> None:
        """A reader beside this member."""
        member: Member = self.rig.members[name]
        self.readers[name] = await self.run(
            "ambershift.coordinator.counters", "--settings", str(Path(member.place) / "run.hcl")
        )

    async def lose(self, name: str) -> None:
        self.readers[name].kill()
        await self.readers[name].wait()

    async def end(self) -> None:
        for process in (*self.readers.values(), *([self.writer] if self.writer else [])):
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
