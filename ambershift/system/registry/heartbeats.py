"""Reads a backend's beat, by hand, naming the field that can't be read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

ID_MOST = 128  # Characters; ids become names of items that are kept.


@dataclass(eq=False)
class BeatError(Exception):
    """The field that can't be read, dotted, and why."""

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class Beat:
    """What one beat says. `cold` is in ms."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    sequence: int
    cold: int


def check_id(id: str) -> str:
    if not 0 < len(id) <= ID_MOST or not id.isprintable():
        raise BeatError("of", "is no id")
    return id


def read_beat(id: str, body: Any) -> Beat:
    """`body` is the call's body, as bytes or decoded. Raises `BeatError`."""
    if isinstance(body, bytes | bytearray):
        try:
            body = msgspec.json.decode(body)
        except msgspec.DecodeError as why:
            raise BeatError("", f"the body is no JSON: {why}") from why
    address = _take(body, "Address", str)
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65536:
        raise BeatError("Address", "is not of the form ip:port")
    state = _take(body, "Condition.State", str)
    if state not in ("ready", "draining"):
        raise BeatError("Condition.State", "is neither ready nor draining")
    slots = _take(body, "Information.CapacitySlots", int)
    sequence = _take(body, "Condition.Sequence", int)
    cold = _take(body, "Condition.ColdRemainingMs", (int, float), 0)
    for field, value, least in (
        ("Information.CapacitySlots", slots, 1),
        ("Condition.Sequence", sequence, 0),
        ("Condition.ColdRemainingMs", cold, 0),
    ):
        if not least <= value < 2**53:
            raise BeatError(field, "is out of bounds")
    service = _take(body, "Information.Service", str)
    if not service:
        raise BeatError("Information.Service", "is empty")
    return Beat(
        check_id(id),
        service,
        address,
        _take(body, "Information.Zone", str, ""),
        slots,
        state == "draining",
        sequence,
        int(cold),
    )


def _take(body: Any, field: str, kind: Any, default: Any = None) -> Any:
    value = body
    for part in field.split("."):
        value = value.get(part) if isinstance(value, Mapping) else None
    if value is None:
        if default is None:
            raise BeatError(field, "is missing")
        return default
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BeatError(field, f"is of a wrong kind ({type(value).__name__})")
    return value
