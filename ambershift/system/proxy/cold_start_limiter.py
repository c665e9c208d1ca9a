"""How this proxy spaces what it sends to a cold backend, so that all proxies together stay under its rate."""

from __future__ import annotations

from hashlib import blake2b

from ambershift.system.proxy.backend_instance import Life
from ambershift.system.state_machine import NS_PER_SECOND

# Two sends of one proxy this far apart are never sent within one second.
APART = NS_PER_SECOND + NS_PER_SECOND // 20
# Of the rate, the share that the chosen proxies are expected to use: how many choose themselves is chance.
SHARE = 0.5


class ColdGate:
    """Lets each cold life get one request of this proxy now and then, if the proxy is one of those that may.

    Which proxies may is drawn by hashing proxy and life: none knows the others, only how many there may be.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._last: dict[str, int] = {}

    def may(self, life: Life, now: int, proxies: int, rate: float) -> bool:
        """`rate`: requests a second that the backend bears, from all proxies."""
        digest = blake2b(f"{self._name} {life.id}".encode(), digest_size=4).digest()
        drawn = int.from_bytes(digest, "big") / 2**32
        return (
            drawn * max(1, proxies) < max(1.0, SHARE * rate)
            and now - self._last.get(life.id, -APART) >= APART
        )

    def sent(self, life: Life, now: int) -> None:
        if len(self._last) > 1000:
            self._last = {id: at for id, at in self._last.items() if now - at < APART}
        self._last[life.id] = now
