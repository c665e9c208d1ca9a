"""Checks that several blocks of the settings share: places, times, and how a complaint is made."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable

from ambershift.coordinator.settings.tree import SettingsError

UNITS_NS = {"ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
Complaint = Callable[[str, str], SettingsError]


def taken(places: dict[str, str], place: str, key: str, complain: Complaint) -> None:
    if place in places:
        raise complain(key, f"'{place}' is {places[place]} already")
    places[place] = key


def split(address: str, key: str, complain: Complaint, what: str = "the API") -> tuple[str, int]:
    host, colon, port = address.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 1 << 16:
        raise complain(key, f"'{address}' is no address of the form 127.0.0.1:9999")
    try:
        loopback = ipaddress.IPv4Address(host).is_loopback
    except ValueError:
        raise complain(key, f"'{host}' is no IPv4 address; names are not looked up") from None
    if not loopback:
        # There is no password and no TLS on it, as HAProxy's has none: the machine's border is the guard.
        raise complain(key, f"'{host}' is not a loopback address, and {what} has no guard of its own")
    return host, int(port)


def duration(text: str) -> int | None:
    """Nanoseconds, from 1 ms to a day; None for what is no such time."""
    found = re.fullmatch(r"([0-9]{1,9})(ms|s|m|h)", text)
    if not found:
        return None
    value = int(found[1]) * UNITS_NS[found[2]]
    return value if 0 < value <= 24 * UNITS_NS["h"] else None
