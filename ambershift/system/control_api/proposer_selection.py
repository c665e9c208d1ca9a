"""Who proposes for a register: rendezvous hashing names an order, and the first that is well does it.

Any machine may propose at any time, so that this is a matter of speed alone and views may differ.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

from ambershift.system.interfaces import ReplicatedState
from ambershift.system.state_machine import NS_PER_SECOND

DOUBT = NS_PER_SECOND  # How long a machine is passed over after it left a call without an outcome.
KNOWN_MOST = 10_000


def rank(ip: str, register: str) -> bytes:
    return blake2b(f"{ip} {register}".encode(), digest_size=8).digest()


class Proposers:
    def __init__(self, ledger: ReplicatedState, own: str, steady: Callable[[], int]) -> None:
        self._ledger, self._own, self._steady = ledger, own, steady
        self._cores: tuple[str, ...] = ()
        self._orders: dict[str, tuple[str, ...]] = {}
        self._doubted: dict[str, int] = {}

    def order(self, register: str) -> tuple[str, ...]:
        """All cores known, the first choice first."""
        cores = tuple(sorted({core.ip for core in self._ledger.control_nodes()} | {self._own}))
        if cores != self._cores or len(self._orders) > KNOWN_MOST:
            self._cores, self._orders = cores, {}
        found = self._orders.get(register)
        if found is None:
            found = self._orders[register] = tuple(sorted(cores, key=lambda ip: rank(ip, register)))
        return found

    def owner(self, register: str) -> str:
        """The ip to hand calls to: this machine's own if it is the one, or if nobody else is well.

        A machine that has just come back is left alone for a while: links to it are not there yet, its copy
        is not whole, and while machines differ about it, they take registers from each other. Where most
        have just come back, that is nobody's advantage.
        """
        order = self.order(register)
        settled = self._ledger.settled_voters()
        for ip in order:
            if ip in settled and (ip == self._own or not self.doubted(ip)):
                return ip
        for ip in order:
            if ip == self._own or (self._ledger.is_responsive(ip) and not self.doubted(ip)):
                return ip
        return self._own

    def first(self, register: str) -> bool:
        """Whether this machine is the first choice of all that see the same cores."""
        return self.order(register)[0] == self._own

    def others(self) -> list[str]:
        return [
            core.ip
            for core in self._ledger.control_nodes()
            if core.ip != self._own and self._ledger.is_alive(core.ip)
        ]

    def doubted(self, ip: str) -> bool:
        return self._steady() < self._doubted.get(ip, 0)

    def doubt(self, ip: str) -> None:
        self._doubted[ip] = self._steady() + DOUBT

    def trust(self, ip: str) -> None:
        self._doubted.pop(ip, None)
