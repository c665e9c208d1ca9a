"""Selects who proposes for a register: the first healthy node of a ranking by rendezvous hashing.

Any node may propose at any time: this is a matter of speed alone, and the nodes' views may differ.

Source: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from hashlib import blake2b

from ambershift.system.control_api.context import NodeContext
from ambershift.system.state_machine import NS_PER_SECOND

# For how long a node is skipped after it left a call without an outcome.
SUSPICION_TIMEOUT_NS = NS_PER_SECOND
MAX_CACHED_RANKINGS = 10_000


def rendezvous_score(ip: str, register: str) -> bytes:
    """A node's score for a register; the lowest is the first choice."""
    return blake2b(f"{ip} {register}".encode(), digest_size=8).digest()


class ProposerSelector:
    """Knows the ranking of the control nodes for each register, and which nodes are suspected."""

    def __init__(self, context: NodeContext) -> None:
        self._ip = context.ip
        self._store = context.store
        self._monotonic_ns = context.monotonic_ns
        self._node_ips: tuple[str, ...] = ()
        self._rankings: dict[str, tuple[str, ...]] = {}
        self._suspected_until: dict[str, int] = {}

    def ranking(self, register: str) -> tuple[str, ...]:
        """The ips of all control nodes known, the first choice first."""
        node_ips = tuple(sorted({node.ip for node in self._store.control_nodes()} | {self._ip}))
        if node_ips != self._node_ips or len(self._rankings) > MAX_CACHED_RANKINGS:
            self._node_ips = node_ips
            self._rankings = {}
        ranking = self._rankings.get(register)
        if ranking is None:
            ranking = tuple(sorted(node_ips, key=lambda ip: rendezvous_score(ip, register)))
            self._rankings[register] = ranking
        return ranking

    def proposer_of(self, register: str) -> str:
        """The ip of the node to forward calls to; this node's own if it is to propose, or no other can.

        A node that has just come back is not selected for a while: links to it are not established yet, its
        copy is not complete, and while nodes differ about it, they take registers from each other. Where most
        nodes have just come back, they are selected all the same.
        """
        ranking = self.ranking(register)
        settled = self._store.settled_voters()
        for ip in ranking:
            if ip in settled and (ip == self._ip or not self.is_suspected(ip)):
                return ip
        for ip in ranking:
            if ip == self._ip or (self._store.is_responsive(ip) and not self.is_suspected(ip)):
                return ip
        return self._ip

    def is_first_choice(self, register: str) -> bool:
        """Whether this node is the first choice of all nodes that know the same control nodes."""
        return self.ranking(register)[0] == self._ip

    def live_peers(self) -> list[str]:
        """The ips of the other control nodes that aren't known to have failed."""
        return [
            node.ip
            for node in self._store.control_nodes()
            if node.ip != self._ip and self._store.is_alive(node.ip)
        ]

    def is_suspected(self, ip: str) -> bool:
        """Whether the node has lately left a call without an outcome."""
        return self._monotonic_ns() < self._suspected_until.get(ip, 0)

    def suspect(self, ip: str) -> None:
        """The node left a call without an outcome: skip it for a while."""
        self._suspected_until[ip] = self._monotonic_ns() + SUSPICION_TIMEOUT_NS
