"""The catalogue of events: each number that is written is in it, and the page tells of each."""

from __future__ import annotations

import re
from pathlib import Path

from ambershift.system.consensus import replica, replicated_store, write_queue
from ambershift.system.control_api import log_events as control_api
from ambershift.system.events import EVENTS

ROOT = Path(__file__).resolve().parents[2]


def test_each_number_is_in_the_catalogue_and_on_the_page() -> None:
    page = (ROOT / "docs/system-events.md").read_text()
    told = {int(number) for row in re.findall(r"^\| ([0-9, ]+) \|", page, re.M) for number in row.split(",")}
    assert told == EVENTS.keys()
    written = {
        int(number)
        for file in (ROOT / "ambershift/system").rglob("*.py")
        for number in re.findall(r"\blog\((\d+),", file.read_text())
    }
    assert written and written <= EVENTS.keys()
    for module in (write_queue, replicated_store, replica, control_api):
        named = {
            value
            for name, value in vars(module).items()
            if isinstance(value, int)
            and name.isupper()
            and (name.startswith("EVENT_") or module is control_api)
        }
        assert named and named <= EVENTS.keys()
