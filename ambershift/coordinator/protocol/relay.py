"""The relay's text protocol: calls that carry orders, their answers, and events of the proxies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from ambershift import interface as api
from ambershift.coordinator.protocol.fields import (
    UnreadableError,
    parse_flag,
    parse_integer,
    parse_number,
    printable_prefix,
)

MAX_ORDERS_BYTES = 60_000  # The orders of one call, joined.
FOLLOW = b"follow\r\n"
EVERY_TABLE = 0xFFFF
RelayOrder = api.SetWeight | api.ClearTable | api.Withdraw | api.Level | api.Bind | api.Mark


class Busy(NamedTuple):
    """The relay has rejected the call for now, and carried nothing of it out."""


class Misread(NamedTuple):
    """The relay can't parse the call; nothing of it was carried out."""


class Done(NamedTuple):
    """The relay has carried out the first `taken` orders of the call."""

    taken: int


class Hello(NamedTuple):
    """A proxy has joined. `fresh`: it holds no table of ours."""

    proxy: int
    zone: str
    weight: float
    fresh: bool


class Bye(NamedTuple):
    """A proxy has left."""

    proxy: int


class Ack(NamedTuple):
    """A proxy has applied all orders up to a mark."""

    proxy: int
    mark: int
    took_ms: float


class KeepAlive(NamedTuple):
    """The relay shows that the connection is alive."""


class FollowAccepted(NamedTuple):
    """The answer to `follow`: the joined proxies come next, and then the events."""


Answer = Done | Busy | Misread
ProxyEvent = Hello | Bye | Ack | KeepAlive


def decimal(value: float) -> str:
    """Format a number as short as possible without an exponent, which some readers reject."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


class OrderEncoder:
    """Encodes orders with the server ids and group names of one coordinator."""

    def __init__(self, server_id: Callable[[int], str], groups: Sequence[str]) -> None:
        self.server_id, self.groups = server_id, groups

    def encode_mask(self, mask: int) -> str:
        """Encode a set of groups, `*` for all."""
        chosen = [name for index, name in enumerate(self.groups) if mask >> index & 1]
        return "+".join(chosen) if chosen and len(chosen) < len(self.groups) else "*"

    def encode(self, order: RelayOrder) -> str:
        """Encode one order."""
        match order:
            case api.SetWeight():
                return f"put,{order.table},{self.server_id(order.server)},{decimal(order.weight)}"
            case api.ClearTable():
                return f"wipe,{order.table}"
            case api.Bind():
                return f"attach,{order.proxy},{order.table},{self.encode_mask(order.mask)}"
            case api.Withdraw():
                return f"{'' if order.out else 'un'}eject,{self.server_id(order.server)}"
            case api.Level():
                table = "*" if order.table == EVERY_TABLE else str(order.table)
                groups, allowance = self.encode_mask(order.mask), decimal(order.allowance)
                return f"gate,{table},{groups},{allowance},{int(order.retry)}"
            case api.Mark():
                return f"fence,{order.mark},{int(order.everyone)}"


def encode_call(orders: Sequence[str]) -> bytes:
    """Encode a call of encoded orders."""
    return b"txn " + ";".join(orders).encode("ascii") + b"\r\n"


def split(orders: Sequence[str], max_bytes: int = MAX_ORDERS_BYTES) -> list[list[str]]:
    """Split one reply into calls of at most `max_bytes` of orders each, never inside an order."""
    calls, size = list[list[str]](), max_bytes
    for order in orders:
        if size + 1 + len(order) > max_bytes:
            calls.append([])
            size = -1
        calls[-1].append(order)
        size += 1 + len(order)
    return calls


# By kind of order, the positions of the fields that name what it sets; `uneject` undoes `eject`.
KEY_FIELDS = {"put": (0, 1), "wipe": (0,), "attach": (0, 2), "eject": (0,), "gate": (0, 1), "fence": ()}


def coalesce(orders: Sequence[str]) -> list[str]:
    """Drop each order that a later one supersedes, so that a long queue stays bounded."""
    remaining = dict[tuple[str, ...], str]()
    for order in orders:
        kind, *fields = order.removeprefix("un").split(",")
        key = kind, *(fields[position] for position in KEY_FIELDS[kind])
        remaining.pop(key, None)  # The later order keeps its own position: it may depend on those in between.
        remaining[key] = order
    return list(remaining.values())


def parse_refusal(words: Sequence[str], line: bytes) -> Busy | Misread:
    """Parse an answer that is no `OK`.

    Raises:
        UnreadableError: It is not of the protocol.
    """
    if "too_many_calls" in words or "unavailable" in words:
        return Busy()
    if "bad_request" in words:
        return Misread()
    raise UnreadableError(f"'{printable_prefix(line)}' is no answer of the relay")


def parse_answer(line: bytes, orders: int) -> Answer:
    """Parse the answer to a call of so many orders.

    Raises:
        UnreadableError: It is not of the protocol.
    """
    words = line.decode("ascii", "replace").split()
    if len(words) == 2 and words[0] == "OK":
        return Done(parse_integer(words[1], "OK", orders))
    return parse_refusal(words, line)


# By kind of event, the number of its fields and the function that builds it from them.
EVENT_PARSERS: dict[str, tuple[int, Callable[..., Any]]] = {
    "hello": (
        4,
        lambda proxy, zone, weight, fresh: Hello(
            parse_integer(proxy, "proxy"), zone, parse_number(weight, "weight"), parse_flag(fresh, "fresh")
        ),
    ),
    "bye": (1, lambda proxy: Bye(parse_integer(proxy, "proxy"))),
    "ack": (
        3,
        lambda proxy, mark, took_ms: Ack(
            parse_integer(proxy, "proxy"), parse_integer(mark, "mark"), parse_number(took_ms, "took_ms")
        ),
    ),
}


def parse_event(line: bytes) -> ProxyEvent | FollowAccepted | Busy | Misread:
    """Parse a line of a connection that follows the proxies: the answer to `follow`, or an event.

    Raises:
        UnreadableError: It is not of the protocol.
    """
    words = line.decode("ascii", "replace").split()
    if words == ["OK"]:
        return FollowAccepted()
    if not words or words[0] != "*":
        return parse_refusal(words, line)
    if len(words) == 1:
        return KeepAlive()
    field_count, build = EVENT_PARSERS.get(words[1], (-1, None))
    if build is None or len(words) != field_count + 2:
        raise UnreadableError(f"'{printable_prefix(line)}' is no news")
    event: ProxyEvent = build(*words[2:])
    return event
