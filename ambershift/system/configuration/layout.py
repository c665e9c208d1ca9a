"""Converts between documents, with tables of Columns and Rows, and items with fields by name."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from ambershift.system.configuration.errors import Fault, InvalidError
from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE, Item, Key

Fields = dict[str, Any]

# The columns that the protocol names, in its order. Other columns of a document follow them, sorted.
COLUMNS: Mapping[str, tuple[str, ...]] = {
    ROUTE: (
        "Name",
        "Host",
        "PathPrefix",
        "RouteType",
        "TimeoutMs",
        "TargetMs",
        "Priority",
        "Distribution",
        "MaxAttempts",
        "ServingRegions",
        "ConfigVersion",
        "Service",
    ),
    SERVICE: (
        "Name",
        "HealthPath",
        "ConnectionCap",
        "Protocol",
        "Tls",
        "ColdStartS",
        "ColdRateS",
        "ConfigVersion",
    ),
}
LISTS = (("Routes", ROUTE), ("Services", SERVICE))


def unreadable(where: str, reason: str) -> InvalidError:
    """The error for a part of the document that has the wrong form."""
    return InvalidError((Fault("", where, reason),))


def rows(where: str, found: Any) -> list[Fields]:
    """The items of a list, without their null fields.

    A plain list of objects is accepted as well as Columns and Rows.

    Args:
        where: Path of the list in the document, for errors.
        found: The decoded JSON value.

    Raises:
        InvalidError: The list has another form.
    """
    if found is None:
        return []
    if isinstance(found, list):
        if not all(isinstance(one, dict) for one in found):
            raise unreadable(where, "an item is not an object")
        return [without_null(one) for one in found]
    if not isinstance(found, dict):
        raise unreadable(where, "is neither Columns and Rows nor a list")
    columns, lines = found.get("Columns"), found.get("Rows")
    if not isinstance(columns, list) or not all(isinstance(name, str) for name in columns):
        raise unreadable(f"{where}.Columns", "is not a list of names")
    if len(set(columns)) != len(columns):
        raise unreadable(f"{where}.Columns", "names a column twice")
    if not isinstance(lines, list):
        raise unreadable(f"{where}.Rows", "is not a list")
    for number, line in enumerate(lines):
        if not isinstance(line, list) or len(line) != len(columns):
            raise unreadable(f"{where}.Rows[{number}]", "has not one value for each column")
    return [without_null(dict(zip(columns, line, strict=True))) for line in lines]


def without_null(fields: Mapping[str, Any]) -> Fields:
    """The fields that aren't null: null stands for an absent field."""
    return {name: value for name, value in fields.items() if value is not None}


def write_back(items: Mapping[Key, Item]) -> dict[str, Any]:
    """The document of all items that aren't dropped, in the form of a first call's `Upsert`."""
    document: dict[str, Any] = {}
    for name, kind in LISTS:
        standing = sorted(
            (item for item in items.values() if item.kind == kind and item.body is not None),
            key=lambda item: item.name,
        )
        document[name] = _table(kind, [msgspec.json.decode(item.body or b"{}") for item in standing])
    for item in items.values():
        if item.kind == LIMITS and item.body is not None:
            document["Limits"] = msgspec.json.decode(item.body)
    return document


def _table(kind: str, found: list[Fields]) -> dict[str, Any]:
    used = {name for fields in found for name in fields}
    columns = [name for name in COLUMNS[kind] if name in used]
    columns += sorted(used.difference(columns))
    return {"Columns": columns, "Rows": [_row(columns, fields) for fields in found]}


def _row(columns: Iterable[str], fields: Fields) -> list[Any]:
    return [fields.get(name) for name in columns]
