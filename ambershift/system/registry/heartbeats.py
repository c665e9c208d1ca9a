"""Reads a backend's beat, by hand, naming the field that can't be read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

MAX_ID_LENGTH = 128  # Characters; ids become names of items that are kept.


@dataclass(eq=False)
class HeartbeatError(Exception):
    """The field that can't be read, dotted, and why."""

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What one beat says. `cold` is in ms."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    sequence: int
    warm_up_ms: int


def check_instance_id(id: str) -> str:
    if not 0 < len(id) <= MAX_ID_LENGTH or not id.isprintable():
        raise HeartbeatError("of", "is no id")
    return id


def parse_heartbeat(id: str, body: Any) -> Heartbeat:
    """`body` is the call's body, as bytes or decoded. Raises `BeatError`."""
    if isinstance(body, bytes | bytearray):
        try:
            body = msgspec.json.decode(body)
        except msgspec.DecodeError as why:
            raise HeartbeatError("", f"the body is no JSON: {why}") from why
    address = _typed_field(body, "Address", str)
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65536:
        raise HeartbeatError("Address", "is not of the form ip:port")
    state = _typed_field(body, "Condition.State", str)
    if state not in ("ready", "draining"):
        raise HeartbeatError("Condition.State", "is neither ready nor draining")
    slots = _typed_field(body, "Information.CapacitySlots", int)
    sequence = _typed_field(body, "Condition.Sequence", int)
    cold = _typed_field(body, "Condition.ColdRemainingMs", (int, float), 0)
    for field, value, least in (
        ("Information.CapacitySlots", slots, 1),
        ("Condition.Sequence", sequence, 0),
        ("Condition.ColdRemainingMs", cold, 0),
    ):
        if not least <= value < 2**53:
            raise HeartbeatError(field, "is out of bounds")
    service = _typed_field(body, "Information.Service", str)
    if not service:
        raise HeartbeatError("Information.Service", "is empty")
    return Heartbeat(
        check_instance_id(id),
        service,
        address,
        _typed_field(body, "Information.Zone", str, ""),
        slots,
        state == "draining",
        sequence,
        int(cold),
    )


def _typed_field(body: Any, field: str, expected_type: Any, default: Any = None) -> Any:
    value = body
    for part in field.split("."):
        value = value.get(part) if isinstance(value, Mapping) else None
    if value is None:
        if default is None:
            raise HeartbeatError(field, "is missing")
        return default
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise HeartbeatError(field, f"is of a wrong kind ({type(value).__name__})")
    return value
