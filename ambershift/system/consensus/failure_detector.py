"""The failure detector: when each peer was last heard, what it says of its own state, and whom it suspects.

Time-outs grow with what a wrong suspicion costs: a call is handed to another node after half a second, a
voter is suspected after one and a half, a node is no longer listed after five.
"""

from __future__ import annotations

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.peer_directory import PeerDirectory
from ambershift.system.consensus.voters import VotingState
from ambershift.system.messages.replication import Heartbeat, HeartbeatFlag
from ambershift.system.state_machine import NS_PER_MS

SUSPICION_TIMEOUT_NS = 1500 * NS_PER_MS
RECENT_CONTACT_NS = 800 * NS_PER_MS  # A voter heard within this time is asked before others.
# A voter not heard for so long gets no forwarded calls: one heartbeat and most of another are missing.
FORWARDING_TIMEOUT_NS = 550 * NS_PER_MS
LEARNER_FORWARDING_TIMEOUT_NS = 1000 * NS_PER_MS  # The same at a learner: voters send it fewer heartbeats.
SETTLING_TIME_NS = 2000 * NS_PER_MS  # By then a returned node has its links, and votes again.
LISTING_TIMEOUT_NS = 5000 * NS_PER_MS  # A node that isn't a voter is listed to proxies for so long.
PAUSE_THRESHOLD_NS = 800 * NS_PER_MS  # A longer time between two ticks: this process stood still.
EVENT_QUORUM_CONTACT = 210


class FailureDetector:
    """Judges which peers are alive, from their messages and from what they say of themselves.

    Attributes:
        leaving: Ips of nodes that are about to end, this one included.
        suspected_by: The voters that each peer suspects, by the peer's ip.
    """

    def __init__(self, effects: EffectBuffer, voters: VotingState, directory: PeerDirectory) -> None:
        """Start without any contact."""
        self._effects = effects
        self._voters = voters
        self._directory = directory
        self.leaving: set[str] = set()
        self.suspected_by: dict[str, tuple[str, ...]] = {}
        self._last_contact: dict[str, int] = {}
        self._contact_since: dict[str, int] = {}  # Since when each peer has been heard without a gap.
        self._settled: set[str] = set()  # Nodes that say that they are settled, this one included.
        self._complete_epochs: dict[str, int] = {}  # The last epoch for which each voter said it is complete.
        self._last_tick = effects.now
        self._running_since = effects.now  # The start, or the end of the last pause of this process.
        self._had_quorum_contact = False
        self._status_changed = False

    @property
    def _local_ip(self) -> str:
        return self._directory.local_node.ip

    # Events.

    def record_contact(self, sender: str) -> None:
        """Note that a message of that node has arrived now."""
        now = self._effects.now
        if self._silence_ns(sender) > LEARNER_FORWARDING_TIMEOUT_NS:
            self._contact_since[sender] = now
        self._last_contact[sender] = now

    def record_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Note what a peer says of its state, and which voters it suspects."""
        self.suspected_by[sender] = heartbeat.suspected
        _set_membership(self._settled, sender, bool(heartbeat.flags & HeartbeatFlag.SETTLED))
        _set_membership(self.leaving, sender, bool(heartbeat.flags & HeartbeatFlag.LEAVING))
        if heartbeat.flags & HeartbeatFlag.COMPLETE:
            self._complete_epochs[sender] = heartbeat.epoch

    def start_leaving(self) -> None:
        """This process is about to end: others propose from now on, and replace or remove its vote."""
        self.leaving.add(self._local_ip)
        self._status_changed = True

    def update_local_status(self) -> bool:
        """Judge this node's own state anew; call it with each tick.

        Returns:
            Whether the peers should learn of a change at once.
        """
        now = self._effects.now
        if now - self._last_tick > PAUSE_THRESHOLD_NS:
            self._running_since = now
        self._last_tick = now
        if self.has_quorum_contact() != self._had_quorum_contact:
            self._had_quorum_contact = not self._had_quorum_contact
            self._effects.log(
                EVENT_QUORUM_CONTACT,
                quorum_contact=self._had_quorum_contact,
                suspected=list(self.suspected_voters()),
            )
        is_settled = (
            self._local_ip not in self.leaving
            and self.has_quorum_contact()
            and self._voters.can_vote
            and now - self._running_since >= SETTLING_TIME_NS
        )
        if is_settled != (self._local_ip in self._settled):
            _set_membership(self._settled, self._local_ip, is_settled)
            self._status_changed = True
        changed, self._status_changed = self._status_changed, False
        return changed

    def local_flags(self) -> HeartbeatFlag:
        """Return this node's own state, as its heartbeats carry it."""
        flags = HeartbeatFlag(0)
        if self._local_ip in self._settled:
            flags |= HeartbeatFlag.SETTLED
        if self._voters.can_vote:
            flags |= HeartbeatFlag.COMPLETE
        if self._local_ip in self.leaving:
            flags |= HeartbeatFlag.LEAVING
        return flags

    # One peer.

    def _silence_ns(self, ip: str) -> int:
        return self._effects.now - self._last_contact.get(ip, -LISTING_TIMEOUT_NS)

    def is_alive(self, ip: str, within_ns: int = SUSPICION_TIMEOUT_NS) -> bool:
        """Return whether that node was heard within so many ns. This node always is."""
        return ip == self._local_ip or self._silence_ns(ip) <= within_ns

    def was_heard_recently(self, ip: str) -> bool:
        """Return whether that node was heard within `RECENT_CONTACT_NS`."""
        return self.is_alive(ip, RECENT_CONTACT_NS)

    def is_responsive(self, ip: str) -> bool:
        """Return whether calls may be forwarded to that node."""
        timeout_ns = FORWARDING_TIMEOUT_NS if self._voters.is_voter else LEARNER_FORWARDING_TIMEOUT_NS
        return self.is_alive(ip, timeout_ns)

    def _hears_local_node(self, ip: str) -> bool:
        """Return False while that peer suspects this node: links may be cut one way."""
        return self._local_ip not in self.suspected_by.get(ip, ())

    def is_ready(self, ip: str) -> bool:
        """Return whether that voter was heard recently, and still has the disk it votes with."""
        return (
            self.was_heard_recently(ip)
            and self._hears_local_node(ip)
            and not self._directory.has_lost_voting_disk(ip)
        )

    def has_stable_contact(self, ip: str) -> bool:
        """Return whether that voter's answer to a round may be relied on."""
        if not self.is_ready(ip):
            return False
        stable_ns = self._effects.now - self._contact_since.get(ip, 0)
        return ip == self._local_ip or stable_ns >= SETTLING_TIME_NS

    def is_complete(self, ip: str) -> bool:
        """Return whether that voter is known to have all that was committed before this epoch."""
        if ip == self._local_ip:
            return self._voters.can_vote
        return self._complete_epochs.get(ip, 0) >= max(1, self._voters.epoch)

    def _is_settled(self, ip: str) -> bool:
        return ip in self._settled and self.is_responsive(ip) and self._hears_local_node(ip)

    # All peers.

    def suspected_voters(self) -> tuple[str, ...]:
        """Return the ips of voters not heard for `SUSPICION_TIMEOUT_NS`, sorted."""
        return tuple(sorted(ip for ip in self._voters.ips if not self.is_alive(ip)))

    def has_quorum_contact(self) -> bool:
        """Return whether a majority of the voters is alive and hears this node.

        It proves nothing of the present moment (see `contact_lease`); it keeps calls from waiting for a round
        that can't succeed.
        """
        if self._voters.configuration is None or (self._voters.is_voter and not self._voters.can_vote):
            return False
        in_contact = sum(self.is_alive(ip) and self._hears_local_node(ip) for ip in self._voters.ips)
        return in_contact >= self._voters.quorum_size

    def settled_voters(self) -> frozenset[str]:
        """Return the ips of voters that have been up without a pause for a while.

        It is empty where fewer than a majority have been. Each node judges itself, from its start or from the
        end of its last pause, and tells all others at the same moment: with differing views two nodes would
        propose for one register.
        """
        settled = frozenset(ip for ip in self._voters.ips if self._is_settled(ip))
        return settled if len(settled) >= self._voters.quorum_size else frozenset()

    def nearest_voter(self) -> str | None:
        """Return the ip of the nearest other voter that is ready."""
        candidates = (ip for ip in self._voters.ips_by_proximity if ip != self._local_ip)
        return next((ip for ip in candidates if self.is_ready(ip)), None)

    def learners(self) -> list[str]:
        """Return the ips of other nodes that are alive and aren't voters, sorted."""
        candidates = sorted(self._directory.nodes.keys() - self._voters.ips - {self._local_ip})
        return [ip for ip in candidates if self.is_alive(ip)]

    def has_left(self) -> bool:
        """Return whether this node may end: it is no voter, and a majority is complete without it."""
        if self._voters.configuration is None:
            return True
        if self._local_ip in self._voters.ips:
            return False
        return sum(self.is_complete(ip) for ip in self._voters.ips) >= self._voters.quorum_size


def _set_membership(group: set[str], ip: str, is_member: bool) -> None:
    """Add `ip` to a set, or take it out."""
    if is_member:
        group.add(ip)
    else:
        group.discard(ip)
