"""The lines that come to the coordinator's own address, and the answer to a probe."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.protocol.fields import UnreadableError, figure, pairs, show, whole

ALIVE, ERROR = b"alive\r\n", b"error\r\n"


class Probe(NamedTuple):
    pass


class Agent(NamedTuple):
    zone: str


class Outcomes(NamedTuple):
    zone: str
    server: str
    tries: int
    failed: int
    mean_ms: float
    span_ms: float
    load: dict[str, float]


class Demand(NamedTuple):
    proxy: int
    group: str
    tries: int
    failed: int
    span_ms: float


Message = Probe | Agent | Outcomes | Demand
# The words that each kind must have; others may be added to the protocol and are passed over.
WORDS: dict[str, set[str]] = {
    "probe": set(),
    "agent": {"zone"},
    "outcomes": {"zone", "server", "tries", "failed", "mean_ms", "span_ms"},
    "demand": {"proxy", "class", "tries", "failed", "span_ms"},
}


def parse(line: bytes) -> Message:
    try:
        kind, *rest = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise UnreadableError("not ASCII") from None
    if kind not in WORDS:
        raise UnreadableError(f"unknown kind '{show(kind.encode())}'")
    given = dict[str, str]()
    for word in rest:
        name, equals, value = word.partition("=")
        if not equals or name in given:
            raise UnreadableError(f"{kind}: '{show(word.encode())}' is no word of its own")
        given[name] = value
    if missing := WORDS[kind] - given.keys():
        raise UnreadableError(f"{kind}: '{min(missing)}' is missing")
    return build(kind, given)


def build(kind: str, given: dict[str, str]) -> Message:
    if kind == "probe":
        return Probe()
    if kind == "agent":
        return Agent(given["zone"])
    tries, failed = whole(given["tries"], "tries"), whole(given["failed"], "failed")
    span = figure(given["span_ms"], "span_ms")
    if kind == "demand":  # What failed in this span may have come in an earlier one.
        return Demand(whole(given["proxy"], "proxy"), given["class"], tries, failed, span)
    if failed > tries:
        raise UnreadableError(f"{kind}: more failed than were tried")
    return Outcomes(
        given["zone"],
        given["server"],
        tries,
        failed,
        figure(given["mean_ms"], "mean_ms"),
        span,
        pairs(given.get("load", ""), "load"),
    )
