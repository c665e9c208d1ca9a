"""The lines that arrive at the coordinator's own address, and the answer to a probe."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.protocol.fields import (
    UnreadableError,
    parse_integer,
    parse_number,
    parse_pairs,
    printable_prefix,
)

ALIVE = b"alive\r\n"
ERROR = b"error\r\n"


class Probe(NamedTuple):
    """Asks whether the coordinator is alive."""


class Agent(NamedTuple):
    """The peer is a collector of this zone."""

    zone: str


class Outcomes(NamedTuple):
    """What a zone's proxies saw of one server in a time span."""

    zone: str
    server: str
    tries: int
    failed: int
    mean_ms: float
    span_ms: float
    load: dict[str, float]


class Demand(NamedTuple):
    """How many requests of one class a proxy had in a time span."""

    proxy: int
    group: str
    tries: int
    failed: int
    span_ms: float


Message = Probe | Agent | Outcomes | Demand
# The keys that each kind must have; the protocol may add others, which are ignored.
REQUIRED_KEYS: dict[str, set[str]] = {
    "probe": set(),
    "agent": {"zone"},
    "outcomes": {"zone", "server", "tries", "failed", "mean_ms", "span_ms"},
    "demand": {"proxy", "class", "tries", "failed", "span_ms"},
}


def parse(line: bytes) -> Message:
    """Parse one line, without its line break.

    Raises:
        UnreadableError: The line is not of the protocol.
    """
    try:
        kind, *words = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise UnreadableError("not ASCII") from None
    if kind not in REQUIRED_KEYS:
        raise UnreadableError(f"unknown kind '{printable_prefix(kind.encode())}'")
    values = dict[str, str]()
    for word in words:
        key, equals, value = word.partition("=")
        if not equals or key in values:
            raise UnreadableError(f"{kind}: '{printable_prefix(word.encode())}' is no word of its own")
        values[key] = value
    if missing := REQUIRED_KEYS[kind] - values.keys():
        raise UnreadableError(f"{kind}: '{min(missing)}' is missing")
    return build(kind, values)


def build(kind: str, values: dict[str, str]) -> Message:
    """Build the message of a kind from its values, which are complete.

    Raises:
        UnreadableError: A value is malformed.
    """
    if kind == "probe":
        return Probe()
    if kind == "agent":
        return Agent(values["zone"])
    tries, failed = parse_integer(values["tries"], "tries"), parse_integer(values["failed"], "failed")
    span_ms = parse_number(values["span_ms"], "span_ms")
    if kind == "demand":  # A request that failed in this span may have arrived in an earlier one.
        proxy = parse_integer(values["proxy"], "proxy")
        return Demand(proxy, values["class"], tries, failed, span_ms)
    if failed > tries:
        raise UnreadableError(f"{kind}: more failed than were tried")
    return Outcomes(
        values["zone"],
        values["server"],
        tries,
        failed,
        parse_number(values["mean_ms"], "mean_ms"),
        span_ms,
        parse_pairs(values.get("load", ""), "load"),
    )
