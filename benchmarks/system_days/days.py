"""Which days there are, and whether a file is one: a slip is told before a minute is spent on it."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "days"
# Days that name no zone can be played at any site; the others lie in a folder named as their site.
ANYWHERE = "any"
PLAN = frozenset(
    (
        "config_change",
        "config_race",
        "config_storm",
        "bad_config",
        "big_config",
        "evacuate",
        "release",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
    )
)
FAULTS = frozenset(
    (
        "ack_lost",
        "after_ack_kill",
        "after_ack_wipe",
        "answer_lost",
        "clock_step",
        "cold_return",
        "core_cut",
        "disk_full",
        "disk_stall",
        "garble",
        "herd_kill",
        "node_cut",
        "node_kill",
        "replace_core",
        "replace_with_reuse",
        "retry_abuse",
        "srv_crash",
        "zone_loss",
    )
)
CLOSING = frozenset(("power_off_all", "kill_all", "wipe_after_ack"))
# A standard day's traffic; the closing fault strikes at its end.
LENGTH_S = 32.0


@dataclass(frozen=True, slots=True)
class Day:
    name: str
    path: Path
    site: str  # ANYWHERE, or the one it is written for

    def fits(self, site: str) -> bool:
        return self.site in (ANYWHERE, site)


@dataclass(frozen=True, slots=True)
class NoDay:
    path: Path
    why: str


def read(path: Path) -> Day | NoDay:
    try:
        told = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return NoDay(path, str(error))
    days = told.get("day")
    if not isinstance(days, list) or len(days) != 1:
        return NoDay(path, "not one [[day]]")
    wrong = _wrong(days[0], path.stem)
    return NoDay(path, wrong) if wrong else Day(path.stem, path, path.parent.name)


def found(folder: Path = FOLDER) -> list[Day | NoDay]:
    return [read(path) for path in sorted(folder.glob("*/*.toml"))]


def _wrong(day: Mapping[str, Any], name: str) -> str:
    """What is wrong with a day, or nothing."""
    if day.get("name") != name:
        return "named otherwise than its file"
    if "floor" not in day.get("goal", {}):
        return "no floor"
    closing = day.get("closing")
    if closing is not None and closing.get("kind") not in CLOSING:
        return f"no such closing fault: {closing.get('kind')}"
    return _odd("plan", day.get("plan", ()), PLAN) or _odd("faults", day.get("faults", ()), FAULTS)


def _odd(where: str, entries: Sequence[Mapping[str, Any]], known: frozenset[str]) -> str:
    for entry in entries:
        kind, at = entry.get("kind"), entry.get("at")
        if kind not in known:
            return f"{where}: no such kind: {kind}"
        if not isinstance(at, (int, float)) or not 0 <= at < LENGTH_S:
            return f"{where}: {kind} begins outside the day"
    return ""
