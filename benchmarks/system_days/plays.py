"""One play of one day: the bench as a process, and what its report says."""

from __future__ import annotations

import json
import re
import subprocess
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.system_days.days import Day

# A play takes a minute or two of a core, three on a machine that others keep busy.
LIMIT_S = 900.0


@dataclass(frozen=True, slots=True)
class Played:
    day: str
    site: str
    worth: float
    worst: str
    rules: tuple[str, ...]  # as NAME (times)
    first: tuple[str, ...]  # the first of what broke, in the bench's words
    short: tuple[str, ...]  # floors it fell under, acknowledgements that came late
    fault: str
    journal: str

    @property
    def well(self) -> bool:
        return not (self.rules or self.short or self.fault)


@dataclass(frozen=True, slots=True)
class NotPlayed:
    day: str
    site: str
    why: str


Outcome = Played | NotPlayed


def play(bench: Path, site: Path, day: Day, out: Path, seed: int | None = None) -> Outcome:
    """`seed`: other luck than the day's own."""
    stem = f"{site.stem}-{day.name}"
    report = out / f"{stem}.json"
    report.unlink(missing_ok=True)
    command = [
        str(bench),
        "run",
        str(site),
        str(day.path),
        "--jobs",
        "1",
        "--report",
        str(report),
        "--why",
        f"Own day {day.name} on {site.stem}{'' if seed is None else f', seed {seed}'}",
    ]
    command += [] if seed is None else ["--seed", str(seed)]
    try:
        with (out / f"{stem}.txt").open("w+", encoding="utf-8") as text:
            done = subprocess.run(
                command, stdout=text, stderr=subprocess.STDOUT, timeout=LIMIT_S, check=False
            )
            text.seek(0)
            said = text.read()
    except subprocess.TimeoutExpired:
        return NotPlayed(day.name, site.stem, f"not over after {LIMIT_S:.0f} s")
    if not report.exists():
        return NotPlayed(day.name, site.stem, f"exit code {done.returncode}: {said.strip()[-200:]}")
    snapshot = re.findall(r"^snapshot (\w+)", said, re.MULTILINE)
    found = json.loads(report.read_text("utf-8"))
    return judged(day.name, site.stem, found, snapshot[-1] if snapshot else "")


def judged(day: str, site: str, report: dict[str, Any], journal: str) -> Played:
    breaks: dict[str, Any] = report.get("breaks") or {}
    return Played(
        day,
        site,
        float(report.get("G") or 0.0),
        _worst(report),
        tuple(f"{name} ({many})" for name, many in breaks.items()),
        tuple(str(one) for one in report.get("first") or ()),
        tuple(str(one) for one in report.get("short") or ()),
        str(report.get("fault") or ""),
        journal,
    )


def _worst(report: dict[str, Any]) -> str:
    """The kind of request or call, or the clients' zone, that earned least."""
    parts = [part for group in ("classes", "zones") for part in report.get(group) or ()]
    told = [
        (part["worth"], part["name"]) for part in parts if part.get("n") and part.get("worth") is not None
    ]
    return "{1} {0:.2f}".format(*min(told)) if told else ""


def play_all(
    bench: Path,
    wanted: list[tuple[Path, Day]],
    out: Path,
    jobs: int,
    tell: Callable[[Outcome], None],
    seed: int | None = None,
) -> list[Outcome]:
    """All of them, several at a time, each told as it ends; in the order given."""

    def one(given: tuple[Path, Day]) -> Outcome:
        outcome = play(bench, given[0], given[1], out, seed)
        tell(outcome)
        return outcome

    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(one, wanted))
