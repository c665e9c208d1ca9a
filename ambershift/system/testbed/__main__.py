"""The command line of a rehearsal: start it all, make trouble, show what came of it."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from ambershift.system.testbed.faults import Faults, plan
from ambershift.system.testbed.processes import ROOT, is_checkout
from ambershift.system.testbed.report import table
from ambershift.system.testbed.rig import NotMetError, Rig
from ambershift.system.testbed.settings import Site

UP_S, END_S, READ_S = 30.0, 8.0, 8.0


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="python3 -m ambershift.system.testbed",
        description="Run the whole system on this machine, with a loss in the middle, and judge it.",
        epilog="example: python3 -m ambershift.system.testbed --seconds 20 --lose control",
    )
    made.add_argument("--control-nodes", type=int, default=6, metavar="N")
    made.add_argument("--proxies", type=int, default=6, metavar="N")
    made.add_argument("--backends", type=int, default=24, metavar="N")
    made.add_argument("--seconds", type=float, default=20, metavar="S", help="how long traffic lasts")
    made.add_argument("--rate", type=float, default=100, metavar="R", help="requests a second")
    made.add_argument(
        "--lose",
        choices=("proxy", "control", "core", "frozen", "none"),
        default="proxy",
        help="killed in the middle and started again (core: all control nodes at once; frozen: "
        "a control node that stands still for a while)",
    )
    made.add_argument(
        "--empty-disk", action="store_true", help="with --lose control: its disk is lost with it"
    )
    made.add_argument("--routes", type=int, default=12, metavar="N")
    made.add_argument("--services", type=int, default=4, metavar="N")
    made.add_argument("--seed", type=int, help="of names and first choices (later ones follow the timing)")
    made.add_argument(
        "--folder",
        type=Path,
        metavar="DIR",
        help="keep settings, disks and logs there (otherwise they are removed)",
    )
    made.add_argument(
        "--other-checkout",
        type=Path,
        metavar="DIR",
        help="start every second control node and every second proxy from this source tree (another version)",
    )
    made.add_argument(
        "--hollow",
        type=int,
        metavar="N",
        help="instead of proxies: N links to the control nodes that only listen, to measure them",
    )
    return made


class Told:
    """Prints each line with the seconds since the start."""

    def __init__(self) -> None:
        self.began = time.monotonic()

    def __call__(self, line: str) -> None:
        print(f"{time.monotonic() - self.began:7.2f} s  {line}", flush=True)


async def rehearse(rig: Rig, seconds: float, lose: str, wipe: bool) -> bool:
    """Whether every promise was kept."""
    faults = Faults(rig)
    differences, ends = ["not reached"], faults.broken
    try:
        await rig.settle(UP_S)
        rig.call_applications()
        traffic = rig.spawn(rig.send(seconds))
        began = time.monotonic()
        troubles = [rig.spawn(after(began + at, act)) for at, act in plan(faults, seconds, lose, wipe)]
        await traffic
        for one in await asyncio.gather(*troubles, return_exceptions=True):
            if isinstance(one, BaseException):
                ends.append(str(one))
        await rig.finish(END_S)
        differences = await rig.operator.read_back(READ_S)
    except NotMetError as why:
        ends.append(str(why))
    ends += [f"{child.machine.name} ended by itself" for child in rig.children.values() if child.fell]
    for child in rig.children.values():
        child.look()
    lines, kept = table(rig, differences, ends)
    print("\n".join(lines))
    (rig.site.folder / "late.txt").write_text("".join(f"{one}\n" for one in rig.judge.notes))
    print("\nEvery promise was kept." if kept else "\nA promise broke: see BROKEN above.")
    return kept


async def after(at: float, act: Callable[[], Awaitable[None]]) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    await act()


async def run(asked: argparse.Namespace, folder: Path) -> int:
    loop, told = asyncio.get_running_loop(), Told()
    whole = asyncio.current_task()
    assert whole
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, whole.cancel)
    site = Site(
        folder,
        asked.control_nodes,
        0 if asked.hollow else asked.proxies,
        asked.seed,
        heartbeat_ms=1500 if asked.hollow else 500,
    )
    if asked.hollow:
        from ambershift.system.testbed.hollow import measure

        return await measure(site, asked, told)
    try:
        async with Rig(
            site,
            asked.backends,
            asked.rate,
            told,
            asked.services,
            asked.routes,
            other_checkout=asked.other_checkout,
        ) as rig:
            if asked.other_checkout:
                others = [name for name, child in rig.children.items() if child.checkout != ROOT]
                told(f"from {asked.other_checkout}: {', '.join(others)}")
            return 0 if await rehearse(rig, asked.seconds, asked.lose, asked.empty_disk) else 1
    except asyncio.CancelledError:
        told("stopped; everything started here has been ended")
        return 130


def main(arguments: Sequence[str] | None = None) -> int:
    asked = parser().parse_args(arguments)
    if not asked.hollow and not (
        asked.control_nodes > 0
        and asked.proxies > 0
        and 0 < asked.services <= asked.backends
        and 0 < asked.seconds <= 600
        and 0 < asked.rate <= 1000
    ):
        print(
            "nothing started: give at least one of each, --services not above --backends, "
            "--seconds up to 600, --rate up to 1000",
            file=sys.stderr,
        )
        return 2
    if asked.folder and asked.folder.exists() and any(asked.folder.iterdir()):
        print(f"nothing started: {asked.folder} is not empty; name a new folder", file=sys.stderr)
        return 2
    if asked.other_checkout:
        asked.other_checkout = asked.other_checkout.resolve()
        if asked.hollow or not is_checkout(asked.other_checkout):
            print(
                "nothing started: --other-checkout must name the root of a source tree of this program, and "
                "goes without --hollow",
                file=sys.stderr,
            )
            return 2
    import uvloop

    with contextlib.ExitStack() as stack:
        folder = asked.folder or Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="ambershift-rehearsal-"))
        )
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run(asked, folder))


if __name__ == "__main__":
    sys.exit(main())
