"""Parses a backend's heartbeat by hand, so that an error names the field that is wrong."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

MAX_ID_LENGTH = 128  # Characters. Ids become names of stored items.
MAX_PORT = 65535
INTEGER_BOUND = 2**53  # Integers of JSON are exact below it (RFC 8259, section 6).


@dataclass(eq=False)
class HeartbeatError(Exception):
    """A heartbeat or an id that can't be read.

    Attributes:
        field: Name of the field, dotted; empty for the body as a whole.
        reason: What is wrong with it.
    """

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What one heartbeat says of its instance.

    Attributes:
        address: Where the instance serves (ip:port).
        slots: Requests that it serves at the same time.
        sequence: Number of the heartbeat. It rises with each one of the instance.
        warm_up_ms: How much longer it warms up (ms); 0 if it is warm.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    sequence: int
    warm_up_ms: int


def check_instance_id(id: str) -> str:
    """Return the id.

    Raises:
        HeartbeatError: It is empty, too long or not printable.
    """
    if not 0 < len(id) <= MAX_ID_LENGTH or not id.isprintable():
        raise HeartbeatError("of", "is no id")
    return id


def parse_heartbeat(id: str, body: Any) -> Heartbeat:
    """Parse the body of a heartbeat call, as bytes of JSON or as the decoded value.

    Raises:
        HeartbeatError: A field is missing, of a wrong type or out of bounds.
    """
    if isinstance(body, bytes | bytearray):
        try:
            body = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            raise HeartbeatError("", f"the body is no JSON: {error}") from error
    address = _typed_field(body, "Address", str)
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise HeartbeatError("Address", "is not of the form ip:port")
    state = _typed_field(body, "Condition.State", str)
    if state not in ("ready", "draining"):
        raise HeartbeatError("Condition.State", "is neither ready nor draining")
    slots = _typed_field(body, "Information.CapacitySlots", int)
    sequence = _typed_field(body, "Condition.Sequence", int)
    warm_up_ms = _typed_field(body, "Condition.ColdRemainingMs", (int, float), 0)
    for field, value, minimum in (
        ("Information.CapacitySlots", slots, 1),
        ("Condition.Sequence", sequence, 0),
        ("Condition.ColdRemainingMs", warm_up_ms, 0),
    ):
        if not minimum <= value < INTEGER_BOUND:
            raise HeartbeatError(field, "is out of bounds")
    service = _typed_field(body, "Information.Service", str)
    if not service:
        raise HeartbeatError("Information.Service", "is empty")
    return Heartbeat(
        id=check_instance_id(id),
        service=service,
        address=address,
        zone=_typed_field(body, "Information.Zone", str, ""),
        slots=slots,
        draining=state == "draining",
        sequence=sequence,
        warm_up_ms=int(warm_up_ms),
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
