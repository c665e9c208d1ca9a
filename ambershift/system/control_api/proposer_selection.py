"""Who proposes for a register: rendezvous hashing names an order, and the first that is well does it.

Any machine may propose at any time, so that this is a matter of speed alone and views may differ.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

from ambershift.system.interfaces import ReplicatedState
from ambershift.system.state_machine import NS_PER_SECOND

SUSPICION_TIMEOUT_NS = (
    NS_PER_SECOND  # How long a machine is passed over after it left a call without an outcome.
)
MAX_CACHED_RANKINGS = 10_000


def rendezvous_score(ip: str, register: str) -> bytes:
    return blake2b(f"{ip} {register}".encode(), digest_size=8).digest()


class ProposerSelector:
    def __init__(self, ledger: ReplicatedState, own: str, steady: Callable[[], int]) -> None:
        self._ledger, self._own, self._steady = ledger, own, steady
        self._control_nodes: tuple[str, ...] = ()
        self._rankings: dict[str, tuple[str, ...]] = {}
        self._suspected_until: dict[str, int] = {}

    def ranking(self, register: str) -> tuple[str, ...]:
        """All cores known, the first choice first."""
        cores = tuple(sorted({core.ip for core in self._ledger.control_nodes()} | {self._own}))
        if cores != self._control_nodes or len(self._rankings) > MAX_CACHED_RANKINGS:
            self._control_nodes, self._rankings = cores, {}
        found = self._rankings.get(register)
        if found is None:
            found = self._rankings[register] = tuple(
                sorted(cores, key=lambda ip: rendezvous_score(ip, register))
            )
        return found

    def proposer_of(self, register: str) -> str:
        """The ip to hand calls to: this machine's own if it is the one, or if nobody else is well.

        A machine that has just come back is left alone for a while: links to it are not there yet, its copy
        is not whole, and while machines differ about it, they take registers from each other. Where most
        have just come back, that is nobody's advantage.
        """
        order = self.ranking(register)
        settled = self._ledger.settled_voters()
        for ip in order:
            if ip in settled and (ip == self._own or not self.is_suspected(ip)):
                return ip
        for ip in order:
            if ip == self._own or (self._ledger.is_responsive(ip) and not self.is_suspected(ip)):
                return ip
        return self._own

    def is_first_choice(self, register: str) -> bool:
        """Whether this machine is the first choice of all that see the same cores."""
        return self.ranking(register)[0] == self._own

    def live_peers(self) -> list[str]:
        return [
            core.ip
            for core in self._ledger.control_nodes()
            if core.ip != self._own and self._ledger.is_alive(core.ip)
        ]

    def is_suspected(self, ip: str) -> bool:
        return self._steady() < self._suspected_until.get(ip, 0)

    def suspect(self, ip: str) -> None:
        self._suspected_until[ip] = self._steady() + SUSPICION_TIMEOUT_NS

    def trust(self, ip: str) -> None:
        self._suspected_until.pop(ip, None)
