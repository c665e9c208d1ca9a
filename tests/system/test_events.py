"""The catalogue of events: each number that is written is in it, and the page tells of each."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

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


def rows() -> dict[int, tuple[str, str]]:
    """Of each number on the page: the level, and the cell of fields."""
    page = (ROOT / "docs/system-events.md").read_text()
    found = dict[int, tuple[str, str]]()
    for line in page.splitlines():
        if re.match(r"\| [0-9, ]+ \|", line):
            numbers, level, _, fields, _ = [cell.strip() for cell in line.strip("|").split("|")]
            for number in numbers.split(","):
                assert int(number) not in found
                found[int(number)] = (level, fields)
    return found


def test_page_has_each_event_with_its_level_and_fields_and_their_earlier_names() -> None:
    for number, (level, cell) in rows().items():
        described = EVENTS[number]
        assert described.level == level, number
        told = re.findall(r"`(\w+)`(?: \(earlier `(\w+)`\))?", cell)
        assert [new for new, _ in told] == list(described.fields), number
        assert {new: old for new, old in told if old} == dict(described.earlier_names), number


@pytest.mark.parametrize("number", sorted(EVENTS))
def test_earlier_field_names_do_not_clash_with_present_ones(number: int) -> None:
    described = EVENTS[number]
    assert len(set(described.fields)) == len(described.fields)
    assert described.earlier_names.keys() <= set(described.fields)
    assert not set(described.earlier_names.values()) & set(described.fields)
    assert not {"n", "at", "node", "event"} & set(described.fields)
    assert described.level in ("info", "warning", "error")
