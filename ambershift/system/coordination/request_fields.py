"""Reads the JSON body of a call and checks its fields."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec


@dataclass(eq=False)
class InvalidCallError(Exception):
    """A call can't be carried out as it was sent.

    Attributes:
        field: The JSON field or parameter at fault; empty where the whole body is.
        reason: What is wrong with it, as the end of a sentence.
    """

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


def parse_body(body: bytes) -> dict[str, Any]:
    """The fields of a JSON object; an empty body counts as an empty object.

    Raises:
        InvalidCallError: The body isn't JSON, or no object.
    """
    try:
        fields = msgspec.json.decode(body) if body.strip() else {}
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidCallError("", f"can't be read: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidCallError("", "is not an object")
    return fields


def integer_field(fields: dict[str, Any], name: str, minimum: int, maximum: int) -> int:
    """An integer within bounds; a float without a fraction is one too.

    Raises:
        InvalidCallError: The field is missing, no integer, or out of bounds.
    """
    value = fields.get(name)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise InvalidCallError(name, f"is not a whole number from {minimum} to {maximum}")
    return value


def name_field(fields: dict[str, Any], name: str) -> str:
    """A string that isn't empty.

    Raises:
        InvalidCallError: The field is missing, no string, or empty.
    """
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidCallError(name, "is not a name")
    return value
