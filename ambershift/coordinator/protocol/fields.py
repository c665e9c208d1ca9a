"""Parses single fields of a line and rejects values that no sender may mean."""

from __future__ import annotations

import math

MAX_INTEGER = (1 << 32) - 1
MAX_NUMBER = 1e12
MAX_DIGITS = 20  # Longer texts are rejected before they are converted.
MAX_SHOWN_BYTES = 80


class UnreadableError(Exception):
    """Input that is not of the protocol; the message says what is wrong with it."""


def printable_prefix(raw: bytes) -> str:
    """Return the beginning of received bytes as printable ASCII, for a log."""
    return raw[:MAX_SHOWN_BYTES].decode("ascii", "backslashreplace")


def parse_integer(text: str, name: str, most: int = MAX_INTEGER) -> int:
    """Parse a whole number from 0 to `most`.

    Raises:
        UnreadableError: The text is something else.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS or int(text) > most:
        raise UnreadableError(f"'{name}' is no whole number from 0 to {most}")
    return int(text)


def parse_number(text: str, name: str) -> float:
    """Parse a finite number that is not negative.

    Raises:
        UnreadableError: The text is something else.
    """
    try:
        value = float(text)
    except ValueError:
        raise UnreadableError(f"'{name}' is no number") from None
    if not math.isfinite(value) or not 0 <= value <= MAX_NUMBER:
        raise UnreadableError(f"'{name}' is out of range")
    return value


def parse_flag(text: str, name: str) -> bool:
    """Parse 0 or 1.

    Raises:
        UnreadableError: The text is something else.
    """
    if text not in ("0", "1"):
        raise UnreadableError(f"'{name}' is neither 0 nor 1")
    return text == "1"


def parse_pairs(text: str, name: str) -> dict[str, float]:
    """Parse a comma-separated list of `name:number` pairs.

    Raises:
        UnreadableError: The text is something else, or has a name twice.
    """
    found = dict[str, float]()
    for pair in text.split(",") if text else ():
        key, colon, value = pair.partition(":")
        if not colon or not key or key in found:
            raise UnreadableError(f"'{name}' is no list of pairs")
        found[key] = parse_number(value, name)
    return found
