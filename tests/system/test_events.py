"""The catalogue of events: each number that is logged is in it, and the page describes each."""

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
    described = {
        int(number) for row in re.findall(r"^\| ([0-9, ]+) \|", page, re.M) for number in row.split(",")
    }
    assert described == EVENTS.keys()
    logged = {
        int(number)
        for file in (ROOT / "ambershift/system").rglob("*.py")
        for number in re.findall(r"\blog\((\d+),", file.read_text())
    }
    assert logged and logged <= EVENTS.keys()
    for module in (write_queue, replicated_store, replica, control_api):
        constants = {
            value
            for name, value in vars(module).items()
            if isinstance(value, int)
            and name.isupper()
            and (name.startswith("EVENT_") or module is control_api)
        }
        assert constants and constants <= EVENTS.keys()


def page_rows() -> dict[int, tuple[str, str]]:
    """Level and cell of fields of each number on the page."""
    page = (ROOT / "docs/system-events.md").read_text()
    rows = dict[int, tuple[str, str]]()
    for line in page.splitlines():
        if re.match(r"\| [0-9, ]+ \|", line):
            numbers, level, _, fields, _ = [cell.strip() for cell in line.strip("|").split("|")]
            for number in numbers.split(","):
                assert int(number) not in rows
                rows[int(number)] = (level, fields)
    return rows


def test_page_has_each_event_with_its_level_and_fields_and_their_earlier_names() -> None:
    for number, (level, cell) in page_rows().items():
        event = EVENTS[number]
        assert event.level == level, number
        fields = re.findall(r"`(\w+)`(?: \(earlier `(\w+)`\))?", cell)
        assert [new for new, _ in fields] == list(event.fields), number
        assert {new: old for new, old in fields if old} == dict(event.earlier_names), number


@pytest.mark.parametrize("number", sorted(EVENTS))
def test_earlier_field_names_do_not_clash_with_present_ones(number: int) -> None:
    event = EVENTS[number]
    assert len(set(event.fields)) == len(event.fields)
    assert event.earlier_names.keys() <= set(event.fields)
    assert not set(event.earlier_names.values()) & set(event.fields)
    assert not {"n", "at", "node", "event"} & set(event.fields)
    assert event.level in ("info", "warning", "error")
