"""The relay's text lines: calls that carry orders, their answers, and news of the proxies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from ambershift import interface as api
from ambershift.coordinator.protocol.fields import UnreadableError, figure, show, whole, yes

MAX_ORDERS_BYTES = 60_000
FOLLOW = b"follow\r\n"
EVERY_TABLE = 0xFFFF
RelayOrder = api.SetWeight | api.ClearTable | api.Withdraw | api.Level | api.Bind | api.Mark


class Busy(NamedTuple):
    """The call was turned away, not carried out."""


class Misread(NamedTuple):
    """The relay can't make out the call; nothing of it was carried out."""


class Done(NamedTuple):
    taken: int


class Hello(NamedTuple):
    proxy: int
    zone: str
    weight: float
    fresh: bool


class Bye(NamedTuple):
    proxy: int


class Ack(NamedTuple):
    proxy: int
    mark: int
    took_ms: float


class KeepAlive(NamedTuple):
    """A sign of life, and nothing else."""


class FollowAccepted(NamedTuple):
    """The answer to `follow`: what stands comes next, then the news."""


Answer = Done | Busy | Misread
ProxyEvent = Hello | Bye | Ack | KeepAlive


def decimal(value: float) -> str:
    """The shortest words for a figure, without an exponent that not every reader takes."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


class OrderEncoder:
    """Writes orders with the ids and group names of one instance."""

    def __init__(self, server: Callable[[int], str], groups: Sequence[str]) -> None:
        self.server, self.groups = server, groups

    def mask(self, mask: int) -> str:
        chosen = [name for at, name in enumerate(self.groups) if mask >> at & 1]
        return "+".join(chosen) if chosen and len(chosen) < len(self.groups) else "*"

    def encode(self, order: RelayOrder) -> str:
        match order:
            case api.SetWeight():
                return f"put,{order.table},{self.server(order.server)},{decimal(order.weight)}"
            case api.ClearTable():
                return f"wipe,{order.table}"
            case api.Bind():
                return f"attach,{order.proxy},{order.table},{self.mask(order.mask)}"
            case api.Withdraw():
                return f"{'' if order.out else 'un'}eject,{self.server(order.server)}"
            case api.Level():
                table = "*" if order.table == EVERY_TABLE else str(order.table)
                return f"gate,{table},{self.mask(order.mask)},{decimal(order.allowance)},{int(order.retry)}"
            case api.Mark():
                return f"fence,{order.mark},{int(order.everyone)}"


def encode_call(orders: Sequence[str]) -> bytes:
    return b"txn " + ";".join(orders).encode("ascii") + b"\r\n"


def split(orders: Sequence[str], most: int = MAX_ORDERS_BYTES) -> list[list[str]]:
    """Cut one reply into calls that each hold at most so many bytes of orders, never inside an order."""
    calls, size = list[list[str]](), most
    for order in orders:
        if size + 1 + len(order) > most:
            calls.append([])
            size = -1
        calls[-1].append(order)
        size += 1 + len(order)
    return calls


# Of the words after an order's kind, those that name what it sets; letting back in undoes shutting out.
KEYS = {"put": (0, 1), "wipe": (0,), "attach": (0, 2), "eject": (0,), "gate": (0, 1), "fence": ()}


def coalesce(orders: Sequence[str]) -> list[str]:
    """Leave out each order that a later one makes void, so that what has waited for long stays bounded."""
    left = dict[tuple[str, ...], str]()
    for order in orders:
        kind, *words = order.removeprefix("un").split(",")
        key = kind, *(words[at] for at in KEYS[kind])
        left.pop(key, None)  # A later order takes its own place: it may rest on what came in between.
        left[key] = order
    return list(left.values())


def read_refusal(words: Sequence[str], line: bytes) -> Busy | Misread:
    if "too_many_calls" in words or "unavailable" in words:
        return Busy()
    if "bad_request" in words:
        return Misread()
    raise UnreadableError(f"'{show(line)}' is no answer of the relay")


def parse_answer(line: bytes, orders: int) -> Answer:
    words = line.decode("ascii", "replace").split()
    if len(words) == 2 and words[0] == "OK":
        return Done(whole(words[1], "OK", orders))
    return read_refusal(words, line)


READERS: dict[str, tuple[int, Callable[..., Any]]] = {
    "hello": (
        4,
        lambda proxy, zone, weight, fresh: Hello(
            whole(proxy, "proxy"), zone, figure(weight, "weight"), yes(fresh, "fresh")
        ),
    ),
    "bye": (1, lambda proxy: Bye(whole(proxy, "proxy"))),
    "ack": (
        3,
        lambda proxy, mark, took: Ack(whole(proxy, "proxy"), whole(mark, "mark"), figure(took, "took_ms")),
    ),
}


def parse_event(line: bytes) -> ProxyEvent | FollowAccepted | Busy | Misread:
    words = line.decode("ascii", "replace").split()
    if words == ["OK"]:
        return FollowAccepted()
    if not words or words[0] != "*":
        return read_refusal(words, line)
    if len(words) == 1:
        return KeepAlive()
    count, build = READERS.get(words[1], (-1, None))
    if build is None or len(words) != count + 2:
        raise UnreadableError(f"'{show(line)}' is no news")
    news: ProxyEvent = build(*words[2:])
    return news
