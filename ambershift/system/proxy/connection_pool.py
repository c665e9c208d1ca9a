"""Connections to backends: which idle one is fit for a request, when a new one is opened, what is kept."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field

import httpcore

from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.http_exchange import HOLD_MOST, KEEP, Headers, TryError, Wire
from ambershift.system.proxy.retry_policy import Ending, Stage
from ambershift.system.proxy.socket_stream import Rest, dial
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# An idle connection is not used in the last part of the time that the backend keeps it: the close may be
# under way. A request that may run only once is kept further from it.
MARGIN, MARGIN_ONCE = NS_PER_SECOND // 2, 3 * NS_PER_SECOND // 2
IDLE_MOST = 1200  # Idle connections kept, whatever the number of backends: descriptors are bounded.
OUR_LACK = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
STRANGE_FOR = (
    5 * NS_PER_SECOND
)  # After answers too many, requests that may run only once get fresh connections.


@dataclass(slots=True)
class IdlePool:
    """Connections to one incarnation. `idle` is used from its end, so that few stay busy and others age."""

    origin: httpcore.Origin
    idle: list[Wire] = field(default_factory=list)
    strange_until: int = 0


class Connections:
    """Idle and busy connections by incarnation; `steady` is the clock, ns."""

    def __init__(self, steady: Callable[[], int]) -> None:
        self._steady = steady
        self._pools: dict[Life, IdlePool] = {}
        self.opened = 0
        self.hold = HOLD_MOST  # Bytes of an answer held up before any of it is passed on.

    def pool(self, life: Life) -> IdlePool:
        found = self._pools.get(life)
        if found is None:
            host, _, port = life.address.rpartition(":")
            found = self._pools[life] = IdlePool(httpcore.Origin(b"http", host.encode(), int(port)))
        return found

    def idle_one(self, life: Life, once: bool) -> Wire | None:
        """An idle connection that is fit for a request, out of its pool. `once`: it may not run twice."""
        pool = self._pools.get(life)
        if pool is None:
            return None
        now = self._steady()
        if once and now < pool.strange_until:
            return None
        while pool.idle:
            wire = pool.idle.pop()
            rest, left = wire.rests(look=True), wire.idle_since + wire.keep - now
            if rest is Rest.CLEAN and left > MARGIN:
                if not once or left > MARGIN_ONCE:
                    return wire
                pool.idle.append(wire)  # Still good for a request that may be repeated.
                return None
            if rest is Rest.UNREAD:
                self.strange(life)
            wire.net.close()
        return None

    async def open(self, life: Life, within: float) -> Wire:
        """Raises `TryError`: no connection, so nothing has run."""
        try:
            pool = self.pool(life)
            stream = await dial(life.address, within)
        except (OSError, ValueError) as why:
            ending = Ending.SILENT if isinstance(why, TimeoutError) else Ending.LOST
            if isinstance(why, OSError) and why.errno in OUR_LACK:
                ending = Ending.LEFT
            raise TryError(Stage.NOT_CONNECTED, ending) from why
        self.opened += 1
        return Wire(pool.origin, stream)

    def keep(self, life: Life, wire: Wire, headers: Headers) -> None:
        """The answer is whole: keep the connection if it may be used again."""
        close, keep = False, KEEP
        for name, value in headers:
            if name == b"connection":
                close = close or b"close" in value.lower()
            elif name == b"keep-alive":
                keep = _told(value)
        rest = wire.rests(look=False)
        if rest is Rest.UNREAD:
            self.strange(life)
        if close or life.ended or rest is not Rest.CLEAN:
            wire.net.close()
            return
        wire.idle_since, wire.keep = self._steady(), keep
        pool = self.pool(life)
        pool.idle.append(wire)
        if len(pool.idle) + life.flying > life.room:
            pool.idle.pop(0).net.close()

    def strange(self, life: Life) -> None:
        """Bytes have come from there that belong to no request."""
        pool = self._pools.get(life)
        if pool is not None:
            pool.strange_until = self._steady() + STRANGE_FOR

    def sweep(self) -> None:
        """Close idle ones that the peer has closed or soon will, and of the oldest above the most."""
        now, kept = self._steady(), list[Wire]()
        for life in [life for life in self._pools if life.ended]:
            self.drop(life)
        for pool in self._pools.values():
            old = [
                wire for wire in pool.idle if wire.net.closed or now - wire.idle_since >= wire.keep - MARGIN
            ]
            for wire in old:
                pool.idle.remove(wire)
                wire.net.close()
            kept += pool.idle
        if len(kept) > IDLE_MOST:
            kept.sort(key=lambda wire: wire.idle_since)
            for wire in kept[: len(kept) - IDLE_MOST]:
                wire.net.close()  # Found closed, it is let go the next time.

    def drop(self, life: Life) -> None:
        """The life is gone: nothing more will be sent there."""
        pool = self._pools.pop(life, None)
        for wire in pool.idle if pool is not None else ():
            wire.net.close()


def _told(value: bytes) -> int:
    """The time in a `Keep-Alive` header, ns."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number) * NS_PER_SECOND
    return KEEP


def patience(near: bool, connects: int, left: int) -> float:
    """Seconds to wait for a connection. Grows with each one that has failed in this request."""
    wait = (150 if near else 300) * NS_PER_MS * (1 + connects)
    return max(1, min(wait, left)) / NS_PER_SECOND
