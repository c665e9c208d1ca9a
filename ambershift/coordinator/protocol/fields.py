"""Reads single words as figures and refuses what no sender may mean."""

from __future__ import annotations

import math


class UnreadableError(Exception):
    """Input that is not of the protocol; the message says what is wrong with it."""


WHOLE_MOST = (1 << 32) - 1
FIGURE_MOST = 1e12


def show(raw: bytes) -> str:
    """The beginning of what came, fit for a log."""
    return raw[:80].decode("ascii", "backslashreplace")


def whole(text: str, what: str, most: int = WHOLE_MOST) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 20 or int(text) > most:
        raise UnreadableError(f"'{what}' is no whole number from 0 to {most}")
    return int(text)


def figure(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise UnreadableError(f"'{what}' is no number") from None
    if not math.isfinite(value) or not 0 <= value <= FIGURE_MOST:
        raise UnreadableError(f"'{what}' is out of range")
    return value


def yes(text: str, what: str) -> bool:
    if text not in ("0", "1"):
        raise UnreadableError(f"'{what}' is neither 0 nor 1")
    return text == "1"


def pairs(text: str, what: str) -> dict[str, float]:
    """Pairs of a name and a figure, joined with a colon and listed with commas."""
    found = dict[str, float]()
    for one in text.split(",") if text else ():
        name, colon, value = one.partition(":")
        if not colon or not name or name in found:
            raise UnreadableError(f"'{what}' is no list of pairs")
        found[name] = figure(value, what)
    return found
