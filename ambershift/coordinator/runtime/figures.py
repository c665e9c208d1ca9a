"""Figures: how values are written in answers, as plain words, typed, or JSON."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import orjson

SECOND = 1_000_000_000
Value = str | int | float


class Field(NamedTuple):
    """A figure with HAProxy's tags: origin, nature and scope, one letter each."""

    name: str
    tags: str
    value: Value


def figure(value: float) -> str:
    return f"{value:.6f}".rstrip("0").rstrip(".")


def word(value: Value) -> str:
    return figure(value) if isinstance(value, float) else str(value)


def kind(value: Value) -> str:
    if isinstance(value, str):
        return "str"
    return "flt" if isinstance(value, float) else "u64" if value >= 0 else "s64"


def json_lines(items: Iterable[Any]) -> Iterator[str]:
    """A JSON list, an item a line, so that a long one need not be made at once."""
    ahead = "["
    for item in items:
        yield ahead + orjson.dumps(item).decode()
        ahead = ","
    yield "]" if ahead == "," else "[]"


NATURES = {
    "A": "Age",
    "C": "Counter",
    "D": "Duration",
    "G": "Gauge",
    "L": "Limit",
    "M": "Max",
    "N": "Name",
    "O": "Output",
    "R": "Rate",
    "T": "Time",
}
ORIGINS = {"M": "Metric", "S": "Status", "K": "Key", "C": "Config", "P": "Product"}
SCOPES = {"S": "Service", "P": "Process", "C": "Cluster"}


def typed_object(ahead: dict[str, Any], field: Field) -> dict[str, Any]:
    origin, nature, scope = tuple(field.tags)
    return {
        "field": {**ahead, "name": field.name},
        "processNum": 1,
        "tags": {"origin": ORIGINS[origin], "nature": NATURES[nature], "scope": SCOPES[scope]},
        "value": {"type": kind(field.value), "value": field.value},
    }


def rows(items: Iterator[dict[str, Any]], names: tuple[str, ...], json: bool) -> Iterator[str]:
    """A heading and a row an item, words parted by spaces; or a JSON list of objects."""
    if json:
        yield from json_lines(items)
        return
    yield "# " + " ".join(names)
    for item in items:
        yield " ".join(plain(item[name]) for name in names)


def plain(value: Any) -> str:
    if isinstance(value, bool):
        return str(int(value))
    text = figure(value) if isinstance(value, float) else str(value)
    return text.replace(" ", "_") or "-"
