"""Decides, without I/O, which control node a proxy is linked to, and when it looks for another one.

A proxy's configuration is as old as the last moment at which its control node could prove that it had all
acknowledged changes (`consensus/contact_lease.py`). Each heartbeat tells the age of that proof, so the proxy
knows a bound on the age of its configuration whatever fails: the node, the link, or the network behind the
node. The time from a lost proof to another node's items is one budget, a part of the shortest bound on
acknowledged changes in the settings:

| part | at the most |
| --- | --- |
| the proof is renewed by heartbeats or a quorum read, and sent | `current_for`, where this part ends |
| the proxy checks its link and dials several nodes at once | one check interval, and a dial's handshakes |
| the first fresh node gets the Hello and sends all items | a round trip, and their size over the bandwidth |

| state | it ends |
| --- | --- |
| no link | at the first dialled node that answers and is fresh; after a while at any that answers |
| fresh | when the configuration is older than `current_for`: stale; when the link ends: no link |
| stale, linked | at any node whose proof is newer by `NEWER`; when a heartbeat has a newer proof: fresh |
| stale, silent | after `SILENT`: no link |
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from ambershift.system.messages.proxy_link import ControlNodeAddress, ControlNodeHeartbeat
from ambershift.system.settings.process_settings import TimerBounds
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

SILENT = 1600 * NS_PER_MS  # Time-out of a link without messages: four heartbeats are due within it.
PENALTY = 4 * NS_PER_SECOND  # How long a failed node is tried only after all others.
NEARER = 5 * NS_PER_SECOND  # How long a link has to be up before a nearer control node is tried.
SHARE_LEAST, SHARE_MOST = 0.42, 0.5  # Shares of the bound after which a proxy searches.
CURRENT_LEAST = 1000 * NS_PER_MS  # Without any fault the proof in a heartbeat is up to 1.0 s old.
NEWER = 500 * NS_PER_MS  # By how much another node's proof has to be newer to change to it.
WIDTH = 3  # How many nodes a search asks at the same time.
BESIDE_S = 0.25  # A dialled node that is slower may be down: the next one is dialled too (hedged).
SIGN_S = 2.0  # Time-out of a dialled node's first heartbeat; a busy node takes long.
RESERVE_S = 0.5  # How long to wait for a fresh node once a stale one has answered.
SEARCH_LEAST, SEARCH_MOST = (
    NS_PER_SECOND // 2,
    4 * NS_PER_SECOND,
)  # Backoff between searches that find nothing.


def weight(name: str, ip: str) -> bytes:
    """Rendezvous hashing (Thaler and Ravishankar, 1998): each proxy orders equally near nodes differently."""
    return blake2b(f"{name} {ip}".encode(), digest_size=8).digest()


def current_for(name: str, bounds: TimerBounds) -> int:
    """How old a proxy's configuration may become before it asks other control nodes, in ns.

    It is a share of the shortest bound on acknowledged changes, and depends on the proxy's name, so that not
    all proxies search at the same moment.
    """
    bound = min(bounds.config_apply, bounds.drain, bounds.evacuation) * NS_PER_SECOND
    spread = weight(name, "")[0] / 255
    return max(CURRENT_LEAST, int(bound * (SHARE_LEAST + (SHARE_MOST - SHARE_LEAST) * spread)))


@dataclass(slots=True)
class Choice:
    """A proxy's knowledge of the control nodes, and its decisions on links. Times are ns of one steady clock.

    Attributes:
        seeds: Ips of control nodes from the settings; those that no heartbeat has listed are tried last.
        current_for: The staleness limit, see the function of this name.
        cores: The control nodes by the newest heartbeat that listed them.
        failed: Until when an ip is tried only after all others.
        linked: Ip of the control node in use; None without a link.
        since: When the link in use was established.
        heard: When the last message came on the link in use.
        proved: The proxy has every change that was acknowledged before this time; None until a heartbeat
            came. It never falls.
        search_at: The earliest time of the next search.
        search_pause: Backoff until the search after that.
    """

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
    proved: int | None = None
    search_at: int = 0
    search_pause: int = SEARCH_LEAST

    def candidates(self, now: int) -> list[str]:
        """Ips of all known control nodes in the order in which to dial them."""
        near = {core.ip: self._distance(core) for core in self.cores}
        for ip in self.seeds:
            near.setdefault(ip, 3)
        return sorted(near, key=lambda ip: (now < self.failed.get(ip, 0), near[ip], weight(self.name, ip)))

    def search_order(self, now: int) -> list[str]:
        """Ips to ask for a newer proof while the node in use is stale.

        They alternate between the proxy's region and other regions: what cut the node off from a majority may
        have cut off its region.
        """
        region = {core.ip for core in self.cores if core.region == self.region}
        others = [ip for ip in self.candidates(now) if ip != self.linked]
        home, abroad = [ip for ip in others if ip in region], [ip for ip in others if ip not in region]
        turns = [(at, 0, ip) for at, ip in enumerate(home)] + [(at, 1, ip) for at, ip in enumerate(abroad)]
        return [ip for _, _, ip in sorted(turns)]

    def up(self, now: int, ip: str) -> None:
        """Record that a link to this control node is in use from now on."""
        self.linked, self.since, self.heard = ip, now, now

    def fail(self, now: int, ip: str) -> None:
        """Record a failed dial, a broken or silent link, or a node less fresh than another one."""
        self.failed[ip] = now + PENALTY
        if self.linked == ip:
            self.linked = None

    def hear(self, now: int, sign: ControlNodeHeartbeat) -> None:
        """Record a heartbeat of the node in use. It comes after all items that the node had."""
        self.heard = now
        self.cores = sign.control_nodes or self.cores
        moment = self.moment(now, sign)
        self.proved = moment if self.proved is None else max(self.proved, moment)
        if not self.stale(now):
            self.search_pause = SEARCH_LEAST

    def alive(self, now: int) -> None:
        """Record any other message of the node in use."""
        self.heard = now

    def moment(self, now: int, sign: ControlNodeHeartbeat) -> int:
        """Up to when the sender of this heartbeat has all acknowledged changes."""
        return now - sign.staleness_ms * NS_PER_MS

    def current(self, sign: ControlNodeHeartbeat) -> bool:
        """Whether the sender of this heartbeat is fresh enough to be linked to."""
        return sign.staleness_ms * NS_PER_MS <= self.current_for

    def newer(self, now: int, sign: ControlNodeHeartbeat) -> bool:
        """Whether the sender's proof is newer than the proxy's by enough to change nodes."""
        return self.proved is None or self.moment(now, sign) > self.proved + NEWER

    def stale(self, now: int) -> bool:
        """Whether the configuration may be older than the limit."""
        return self.proved is None or now - self.proved > self.current_for

    def silent(self, now: int) -> bool:
        """Whether the link in use has to be given up, as nothing comes on it.

        A link behind a network partition may never end by itself.
        """
        return self.linked is not None and now - self.heard > SILENT

    def search(self, now: int) -> bool:
        """Whether to ask other nodes now; if so, it backs off until the next search."""
        if self.linked is None or not self.stale(now) or now < self.search_at:
            return False
        self.search_at = now + self.search_pause
        self.search_pause = min(2 * self.search_pause, SEARCH_MOST)
        return True

    def nearer(self, now: int) -> str | None:
        """A node nearer than the one in use, to be dialled while the link stays up; None if there is none.

        Only once the link has been up for `NEARER`, so that a proxy doesn't change nodes in quick succession.
        """
        if self.linked is None or now - self.since < NEARER:
            return None
        first = self.candidates(now)[0]
        zones = {core.ip: self._distance(core) for core in self.cores}
        if first != self.linked and zones.get(first, 3) < zones.get(self.linked, 3):
            return first
        return None

    def reseed(self, seeds: Iterable[str]) -> None:
        """Take the seeds of a changed settings file."""
        self.seeds = tuple(seeds)

    def _distance(self, core: ControlNodeAddress) -> int:
        return (core.zone != self.zone) + (core.region != self.region)
