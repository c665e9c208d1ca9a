"""Our own days are files the bench takes, of known kinds; what is told of a play is in its report."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.system_days.days import ANYWHERE, FOLDER, Day, NoDay, found, read
from benchmarks.system_days.plays import judged

GOOD = '[[day]]\nname = "calm"\ngoal = { floor = 0.4 }\nplan = [{ at = 3, kind = "release" }]\n'


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*/*.toml")), ids=lambda path: path.stem)
def test_each_file_is_a_day_of_known_kinds(path: Path) -> None:
    day = read(path)
    assert isinstance(day, Day), day
    zones = [entry for entry in path.read_text("utf-8").splitlines() if "zone = " in entry]
    assert not zones or day.site != ANYWHERE, "zones are named otherwise at other sites"


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('"release"', '"releases"'),
        ("plan", "faults"),
        ("at = 3", "at = 40"),
        ("floor", "flor"),
        ("calm", "storm"),
        ("[[day]]", "[day]"),
        ('"calm"', '"calm'),
        ("goal", 'closing = { kind = "wipe" }\ngoal'),
    ],
)
def test_a_slip_is_told_before_it_is_played(tmp_path: Path, old: str, new: str) -> None:
    path = tmp_path / ANYWHERE / "calm.toml"
    path.parent.mkdir()
    path.write_text(GOOD)
    assert found(tmp_path) == [Day("calm", path, ANYWHERE)]
    path.write_text(GOOD.replace(old, new, 1))
    assert isinstance(read(path), NoDay)


def test_a_play_is_well_only_without_breaks_floors_and_faults() -> None:
    whole = {
        "G": 0.81,
        "breaks": {},
        "short": [],
        "fault": None,
        "zones": [{"name": "a", "n": 5, "worth": 0.9}],
        "classes": [{"name": "puts", "n": 3, "worth": 0.7}, {"name": "none", "n": 0, "worth": 0.0}],
    }
    calm = judged("calm", "here", whole, "ab12")
    assert calm.well and calm.worst == "puts 0.70" and calm.worth == 0.81
    for key, value in (("breaks", {"LOST": 2}), ("short", ["floor"]), ("fault", "a program ended")):
        assert not judged("calm", "here", {**whole, key: value}, "ab12").well
