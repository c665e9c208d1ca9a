"""What a call on a register is answered, and how calls are read; shared by locks, numbers and cells."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.coordination.groups import Group
from ambershift.system.interfaces import ChangeFunction


@dataclass(frozen=True, slots=True)
class Reply:
    """`status` is HTTP's, `body` JSON. `group` is what a call on cells has left, for those that watch it."""

    status: int
    body: bytes = b"{}"
    group: Group | None = None


@dataclass(frozen=True, slots=True)
class RegisterCall:
    """A call that was read and found proper: the register it is about, and what it makes of its value."""

    register: str
    change: ChangeFunction


@dataclass(eq=False)
class InvalidCallError(Exception):
    """A call that can't be carried out as it stands: which field, and why."""

    field: str
    reason: str


def json_reply(status: int, **fields: Any) -> Reply:
    return Reply(status, msgspec.json.encode(fields))


def parse_body(body: bytes) -> dict[str, Any]:
    """Raises `ImproperError`. No body at all counts as an empty object."""
    try:
        found = msgspec.json.decode(body) if body.strip() else {}
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
        raise InvalidCallError("", f"can't be read: {why}") from why
    if not isinstance(found, dict):
        raise InvalidCallError("", "is not an object")
    return found


def integer_field(fields: dict[str, Any], name: str, least: int, most: int) -> int:
    """A whole number within bounds (a float without a fraction too); raises `ImproperError`."""
    value = fields.get(name)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise InvalidCallError(name, f"is not a whole number from {least} to {most}")
    return value


def name_field(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidCallError(name, "is not a name")
    return value
