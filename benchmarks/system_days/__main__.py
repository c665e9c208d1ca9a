"""Plays our own days and says which broke a rule or fell under a floor: `python -m benchmarks.system_days`.

Exit code 1 if one did, 2 if a day's file is wrong or a day could not be played.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

from benchmarks.system_days.days import Day, NoDay, found
from benchmarks.system_days.plays import NotPlayed, Outcome, play_all


def line(outcome: Outcome) -> str:
    """A line of the table of docs/measurements/system-days.md."""
    if isinstance(outcome, NotPlayed):
        return f"| {outcome.day} | {outcome.site} | not played: {outcome.why} | | | |"
    wrong = "; ".join((*outcome.rules, *outcome.short, *([outcome.fault] if outcome.fault else []))) or "none"
    return (
        f"| {outcome.day} | {outcome.site} | {outcome.worth:.3f} | {outcome.worst} | {wrong} "
        f"| {outcome.journal} |"
    )


def tell(outcome: Outcome) -> None:
    print(line(outcome), flush=True)
    if not isinstance(outcome, NotPlayed):
        for first in outcome.first[:3]:
            print(f"    {first}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True, help="the program fleetbench")
    parser.add_argument("--sites", type=Path, required=True, help="the folder of site files")
    parser.add_argument("--site", action="append", help="of these sites only")
    parser.add_argument("--only", action="append", help="of these days only")
    parser.add_argument("--seed", type=int, help="other luck than the days' own")
    parser.add_argument("--jobs", type=int, default=1, help="plays at a time, each about a core")
    parser.add_argument(
        "--out", type=Path, default=Path("found/system-days"), help="where reports and results go"
    )
    given = parser.parse_args()
    everything = found()
    wrong = [one for one in everything if isinstance(one, NoDay)]
    for one in wrong:
        print(f"{one.path}: {one.why}", file=sys.stderr)
    sites = [site for site in sorted(given.sites.glob("*.toml")) if not given.site or site.stem in given.site]
    days = [day for day in everything if isinstance(day, Day) and (not given.only or day.name in given.only)]
    wanted = [(site, day) for site in sites for day in days if day.fits(site.stem)]
    if wrong or not wanted:
        print("no day to play" if not wanted else "", file=sys.stderr)
        return 2
    given.out.mkdir(parents=True, exist_ok=True)
    print("| day | site | worth | worst part | rules broken | journal |")
    print("| --- " * 6 + "|")
    outcomes = play_all(given.bench, wanted, given.out, given.jobs, tell, given.seed)
    results = given.out / "results.json"
    results.write_text(json.dumps([asdict(one) for one in outcomes], indent=1), "utf-8")
    amiss = [one for one in outcomes if isinstance(one, NotPlayed) or not one.well]
    print(f"\n{len(outcomes)} days, {len(amiss)} not well; results: {results}")
    return 2 if any(isinstance(one, NotPlayed) for one in amiss) else 1 if amiss else 0


if __name__ == "__main__":
    sys.exit(main())
