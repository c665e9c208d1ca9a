"""Decides, without I/O, which control node a proxy is linked to, and when it looks for another one.

A proxy's configuration is as old as the last moment at which its control node could prove that it had all
acknowledged changes (`consensus/contact_lease.py`). Each heartbeat tells the age of that proof, so the proxy
knows a bound on the age of its configuration whatever fails: the node, the link, or the network behind the
node. The time from a lost proof to another node's items is one budget, a part of the shortest bound on
acknowledged changes in the settings:

| part | at the most |
| --- | --- |
| heartbeats or a quorum read renew the proof, and it is sent | the age limit (`max_configuration_age_ns`) |
| the proxy checks its link and dials several nodes at once | one check interval, and a dial's handshakes |
| the first fresh node gets the Hello and sends all items | a round trip, and their size over the bandwidth |

| state | it ends |
| --- | --- |
| no link | at the first dialled node that answers and is fresh; after a while at any that answers |
| fresh | when the configuration is older than the age limit: stale; when the link ends: no link |
| stale, linked | at any node whose proof is newer by `MIN_PROOF_GAIN_NS`; when a heartbeat has one: fresh |
| stale, silent | after `LINK_TIMEOUT_NS`: no link |
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from ambershift.system.messages.proxy_link import ControlNodeAddress, ControlNodeHeartbeat
from ambershift.system.settings.process_settings import TimerBounds
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

LINK_TIMEOUT_NS = 1600 * NS_PER_MS  # Time-out of a link without messages: four heartbeats are due within it.
FAILURE_PENALTY_NS = 4 * NS_PER_SECOND  # How long a failed node is tried only after all others.
MIN_LINK_AGE_NS = 5 * NS_PER_SECOND  # How long a link has to be up before a nearer control node is tried.
# A proxy searches once its configuration is older than a share of the bound; the share depends on its name.
MIN_AGE_SHARE = 0.42
MAX_AGE_SHARE = 0.5
MIN_AGE_LIMIT_NS = 1000 * NS_PER_MS  # Without any fault the proof in a heartbeat is up to 1.0 s old.
MIN_PROOF_GAIN_NS = 500 * NS_PER_MS  # By how much another node's proof has to be newer to change to it.
SEARCH_CONCURRENCY = 3  # How many nodes a search asks at the same time.
HEDGE_DELAY_S = 0.25  # A dialled node that is slower may be down: the next one is dialled too (hedged).
FIRST_HEARTBEAT_TIMEOUT_S = 2.0  # Time-out of a dialled node's first heartbeat; a busy node takes long.
CURRENT_REPLY_WAIT_S = 0.5  # How long to wait for a fresh node once a stale one has answered.
MIN_SEARCH_BACKOFF_NS = NS_PER_SECOND // 2  # Between searches that find nothing; doubles with each.
MAX_SEARCH_BACKOFF_NS = 4 * NS_PER_SECOND
UNLISTED_DISTANCE = 3  # Of nodes that no heartbeat has listed: farther than another region, which is 2.


def rendezvous_weight(name: str, ip: str) -> bytes:
    """The weight of a control node for a proxy; the lowest is dialled first.

    Rendezvous hashing (Thaler and Ravishankar, 1998): each proxy orders equally near nodes differently.
    """
    return blake2b(f"{name} {ip}".encode(), digest_size=8).digest()


def max_configuration_age_ns(name: str, bounds: TimerBounds) -> int:
    """How old a proxy's configuration may become before it asks other control nodes, in ns.

    It is a share of the shortest bound on acknowledged changes, and depends on the proxy's name, so that not
    all proxies search at the same moment.
    """
    bound_ns = min(bounds.config_apply, bounds.drain, bounds.evacuation) * NS_PER_SECOND
    jitter = rendezvous_weight(name, "")[0] / 255
    share = MIN_AGE_SHARE + (MAX_AGE_SHARE - MIN_AGE_SHARE) * jitter
    return max(MIN_AGE_LIMIT_NS, int(bound_ns * share))


@dataclass(slots=True)
class ControlNodeSelector:
    """A proxy's knowledge of the control nodes, and its decisions on links. Times are ns of one steady clock.

    Attributes:
        name: The proxy's name.
        zone: The proxy's zone.
        region: The proxy's region.
        seeds: Ips of control nodes from the settings; those that no heartbeat has listed are tried last.
        max_configuration_age_ns: The staleness limit, see the function of this name.
        control_nodes: The control nodes by the newest heartbeat that listed them.
        penalized_until: Until when an ip is tried only after all others.
        linked_ip: Ip of the control node in use; None without a link.
        linked_at: When the link in use was established.
        last_message_at: When the last message came on the link in use.
        proven_as_of: The proxy has every change that was acknowledged before this time; None until a
            heartbeat came. It never falls.
        next_search_at: The earliest time of the next search.
        search_backoff: Backoff until the search after that.
    """

    name: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    max_configuration_age_ns: int = 3 * NS_PER_SECOND // 2
    control_nodes: tuple[ControlNodeAddress, ...] = ()
    penalized_until: dict[str, int] = field(default_factory=dict)
    linked_ip: str | None = None
    linked_at: int = 0
    last_message_at: int = 0
    proven_as_of: int | None = None
    next_search_at: int = 0
    search_backoff: int = MIN_SEARCH_BACKOFF_NS

    def candidates(self, now: int) -> list[str]:
        """Ips of all known control nodes in the order in which to dial them."""
        distances = {node.ip: self._distance(node) for node in self.control_nodes}
        for ip in self.seeds:
            distances.setdefault(ip, UNLISTED_DISTANCE)
        return sorted(
            distances,
            key=lambda ip: (
                now < self.penalized_until.get(ip, 0),
                distances[ip],
                rendezvous_weight(self.name, ip),
            ),
        )

    def search_order(self, now: int) -> list[str]:
        """Ips to ask for a newer proof while the node in use is stale.

        They alternate between the proxy's region and other regions: what cut the node off from a majority may
        have cut off its region.
        """
        in_region = {node.ip for node in self.control_nodes if node.region == self.region}
        others = [ip for ip in self.candidates(now) if ip != self.linked_ip]
        local = [ip for ip in others if ip in in_region]
        remote = [ip for ip in others if ip not in in_region]
        ranked = [(rank, 0, ip) for rank, ip in enumerate(local)] + [
            (rank, 1, ip) for rank, ip in enumerate(remote)
        ]
        return [ip for _, _, ip in sorted(ranked)]

    def record_link_up(self, now: int, ip: str) -> None:
        """Record that a link to this control node is in use from now on."""
        self.linked_ip, self.linked_at, self.last_message_at = ip, now, now

    def record_failure(self, now: int, ip: str) -> None:
        """Record a failed dial, a broken or silent link, or a node less fresh than another one."""
        self.penalized_until[ip] = now + FAILURE_PENALTY_NS
        if self.linked_ip == ip:
            self.linked_ip = None

    def record_heartbeat(self, now: int, heartbeat: ControlNodeHeartbeat) -> None:
        """Record a heartbeat of the node in use. It comes after all items that the node had."""
        self.last_message_at = now
        self.control_nodes = heartbeat.control_nodes or self.control_nodes
        proven_as_of = self.proof_time(now, heartbeat)
        self.proven_as_of = (
            proven_as_of if self.proven_as_of is None else max(self.proven_as_of, proven_as_of)
        )
        if not self.is_stale(now):
            self.search_backoff = MIN_SEARCH_BACKOFF_NS

    def record_message(self, now: int) -> None:
        """Record any other message of the node in use."""
        self.last_message_at = now

    def proof_time(self, now: int, heartbeat: ControlNodeHeartbeat) -> int:
        """Up to when the sender of this heartbeat has all acknowledged changes."""
        return now - heartbeat.staleness_ms * NS_PER_MS

    def is_sender_current(self, heartbeat: ControlNodeHeartbeat) -> bool:
        """Whether the sender of this heartbeat is fresh enough to be linked to."""
        return heartbeat.staleness_ms * NS_PER_MS <= self.max_configuration_age_ns

    def has_newer_proof(self, now: int, heartbeat: ControlNodeHeartbeat) -> bool:
        """Whether the sender's proof is newer than the proxy's by enough to change nodes."""
        return (
            self.proven_as_of is None
            or self.proof_time(now, heartbeat) > self.proven_as_of + MIN_PROOF_GAIN_NS
        )

    def is_stale(self, now: int) -> bool:
        """Whether the configuration may be older than the limit."""
        return self.proven_as_of is None or now - self.proven_as_of > self.max_configuration_age_ns

    def is_link_silent(self, now: int) -> bool:
        """Whether the link in use has to be given up, as nothing comes on it.

        A link behind a network partition may never end by itself.
        """
        return self.linked_ip is not None and now - self.last_message_at > LINK_TIMEOUT_NS

    def begin_search_if_due(self, now: int) -> bool:
        """Whether to ask other nodes now; if so, it backs off until the next search."""
        if self.linked_ip is None or not self.is_stale(now) or now < self.next_search_at:
            return False
        self.next_search_at = now + self.search_backoff
        self.search_backoff = min(2 * self.search_backoff, MAX_SEARCH_BACKOFF_NS)
        return True

    def nearer_candidate(self, now: int) -> str | None:
        """A node nearer than the one in use, to be dialled while the link stays up; None if there is none.

        Only once the link has been up for `MIN_LINK_AGE_NS`, so that a proxy doesn't change nodes in quick
        succession.
        """
        if self.linked_ip is None or now - self.linked_at < MIN_LINK_AGE_NS:
            return None
        first = self.candidates(now)[0]
        distances = {node.ip: self._distance(node) for node in self.control_nodes}
        current_distance = distances.get(self.linked_ip, UNLISTED_DISTANCE)
        if first != self.linked_ip and distances.get(first, UNLISTED_DISTANCE) < current_distance:
            return first
        return None

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take the seeds of a changed settings file."""
        self.seeds = tuple(seeds)

    def _distance(self, node: ControlNodeAddress) -> int:
        """0 within the proxy's zone, 1 within its region, 2 in another region."""
        return (node.zone != self.zone) + (node.region != self.region)
