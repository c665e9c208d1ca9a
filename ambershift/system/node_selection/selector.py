"""Decides, without I/O, which control node a proxy is linked to, and when it looks for another one.

What a proxy serves by is as old as the last moment of which its control node could prove that it had all that
was acknowledged (`consensus/contact_lease.py`). Each sign of life tells the age of that proof, so the
proxy knows
how old its configuration is at the most, whatever is wrong: node, link, or what lies behind the node. The
whole way from there to another node is one budget, a part of the shortest bound on acknowledged changes:

| part | at the most |
| --- | --- |
| the proof is renewed by beats or a reading, the sign told | within `current_for`, or this part ends there |
| the proxy looks, dials several nodes at once | a look, and a dial's handshakes |
| the first that is current is told Hello and tells all items | a trip, and their size over the link |

| state | it is left |
| --- | --- |
| no link | for the first node dialled that answers and is current; after a while for any that answers |
| current | when the configuration is older than `current_for`: stale; when the link ends: no link |
| stale, linked | for any node whose proof is newer by `NEWER`; when a sign tells of a newer proof: current |
| stale, silent | after `SILENT`: no link |
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from ambershift.system.messages.proxy_link import ControlNodeAddress, ControlNodeHeartbeat
from ambershift.system.settings.local import Bounds
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

SILENT = 1600 * NS_PER_MS  # A sign of life comes each 0.4 s.
PENALTY = 4 * NS_PER_SECOND  # How long one that failed us is tried after all others.
NEARER = 5 * NS_PER_SECOND  # How long a link must have stood well before a nearer control node is tried.
SHARE_LEAST, SHARE_MOST = 0.42, 0.5  # Of the bound, spent before others are asked; by name, not all at once.
CURRENT_LEAST = 1000 * NS_PER_MS  # Proofs are told 1.0 s old where all is well.
NEWER = 500 * NS_PER_MS  # By how much another node's proof must be newer to be worth a change.
WIDTH = 3  # Nodes asked at once by a proxy whose own one is stale.
BESIDE_S = 0.25  # A control node that takes longer to answer may be without power: another is asked too.
SIGN_S = 2.0  # How long one that was dialled has for its sign: a busy one takes long.
RESERVE_S = 0.5  # How long a current node is waited for once another one has answered.
SEARCH_LEAST, SEARCH_MOST = (
    NS_PER_SECOND // 2,
    4 * NS_PER_SECOND,
)  # Pauses between searches that find nothing.


def weight(name: str, ip: str) -> bytes:
    """Rendezvous hashing: of equally near ones each proxy has an order of its own."""
    return blake2b(f"{name} {ip}".encode(), digest_size=8).digest()


def current_for(name: str, bounds: Bounds) -> int:
    """How old (ns) a proxy's configuration may be before it asks other control nodes."""
    bound = min(bounds.config_apply, bounds.drain, bounds.evacuation) * NS_PER_SECOND
    spread = weight(name, "")[0] / 255
    return max(CURRENT_LEAST, int(bound * (SHARE_LEAST + (SHARE_MOST - SHARE_LEAST) * spread)))


@dataclass(slots=True)
class Choice:
    """Times are ns of one steady clock. `current_for`: see there."""

    name: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    current_for: int = 3 * NS_PER_SECOND // 2
    cores: tuple[ControlNodeAddress, ...] = ()
    failed: dict[str, int] = field(default_factory=dict)
    linked: str | None = None
    since: int = 0
    heard: int = 0
    proved: int | None = None  # Before then nothing was acknowledged that this proxy hasn't; only rises.
    search_at: int = 0
    search_pause: int = SEARCH_LEAST

    def candidates(self, now: int) -> list[str]:
        """All control nodes known, the one to try first in front."""
        near = {core.ip: self._distance(core) for core in self.cores}
        for ip in self.seeds:
            near.setdefault(ip, 3)
        return sorted(near, key=lambda ip: (now < self.failed.get(ip, 0), near[ip], weight(self.name, ip)))

    def search_order(self, now: int) -> list[str]:
        """Whom to ask where the one in use is stale: those of the own region and others in turn, as what
        took the contact from the one may have taken it from its region."""
        region = {core.ip for core in self.cores if core.region == self.region}
        others = [ip for ip in self.candidates(now) if ip != self.linked]
        home, abroad = [ip for ip in others if ip in region], [ip for ip in others if ip not in region]
        turns = [(at, 0, ip) for at, ip in enumerate(home)] + [(at, 1, ip) for at, ip in enumerate(abroad)]
        return [ip for _, _, ip in sorted(turns)]

    def up(self, now: int, ip: str) -> None:
        self.linked, self.since, self.heard = ip, now, now

    def fail(self, now: int, ip: str) -> None:
        """It did not answer a dial, broke off, was silent, or less current than another one."""
        self.failed[ip] = now + PENALTY
        if self.linked == ip:
            self.linked = None

    def hear(self, now: int, sign: ControlNodeHeartbeat) -> None:
        """A sign of the node in use, behind all items it had."""
        self.heard = now
        self.cores = sign.control_nodes or self.cores
        moment = self.moment(now, sign)
        self.proved = moment if self.proved is None else max(self.proved, moment)
        if not self.stale(now):
            self.search_pause = SEARCH_LEAST

    def alive(self, now: int) -> None:
        self.heard = now

    def moment(self, now: int, sign: ControlNodeHeartbeat) -> int:
        """Up to when the node that gave this sign has all that was acknowledged."""
        return now - sign.staleness_ms * NS_PER_MS

    def current(self, sign: ControlNodeHeartbeat) -> bool:
        """Whether the node that gave this sign may look after us."""
        return sign.staleness_ms * NS_PER_MS <= self.current_for

    def newer(self, now: int, sign: ControlNodeHeartbeat) -> bool:
        """Whether a change to the node that gave this sign makes what we serve by newer."""
        return self.proved is None or self.moment(now, sign) > self.proved + NEWER

    def stale(self, now: int) -> bool:
        return self.proved is None or now - self.proved > self.current_for

    def silent(self, now: int) -> bool:
        """Whether the link in use is to be given up: nothing comes on it, and it may never end by itself."""
        return self.linked is not None and now - self.heard > SILENT

    def search(self, now: int) -> bool:
        """Whether other nodes are to be asked now. Searches that find nothing come ever more seldom."""
        if self.linked is None or not self.stale(now) or now < self.search_at:
            return False
        self.search_at = now + self.search_pause
        self.search_pause = min(2 * self.search_pause, SEARCH_MOST)
        return True

    def nearer(self, now: int) -> str | None:
        """One that is nearer than the one in use, to be dialled beside it; None where there is none."""
        if self.linked is None or now - self.since < NEARER:
            return None
        first = self.candidates(now)[0]
        zones = {core.ip: self._distance(core) for core in self.cores}
        if first != self.linked and zones.get(first, 3) < zones.get(self.linked, 3):
            return first
        return None

    def reseed(self, seeds: Iterable[str]) -> None:
        """The settings file has changed."""
        self.seeds = tuple(seeds)

    def _distance(self, core: ControlNodeAddress) -> int:
        return (core.zone != self.zone) + (core.region != self.region)
