"""What follows when another set of voters is decided: the order in which components learn of it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

import msgspec

from ambershift.system.consensus.acceptor import VOTER_REGISTER_PREFIX, Acceptor
from ambershift.system.consensus.announcements import Announcer
from ambershift.system.consensus.contact_lease import ContactLease
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.peer_directory import PeerDirectory
from ambershift.system.consensus.voters import VotingState
from ambershift.system.messages.replication import VoterConfiguration

EVENT_VOTERS = 204


class VoterChanges:
    """Adopts newer configurations of voters."""

    def __init__(
        self,
        out: EffectBuffer,
        *,
        voters: VotingState,
        acceptor: Acceptor,
        directory: PeerDirectory,
        contact: ContactLease,
        announcer: Announcer,
        on_epoch_changed: Sequence[Callable[[], None]],
    ) -> None:
        self._out = out
        self._voters = voters
        self._acceptor = acceptor
        self._directory = directory
        self._contact = contact
        self._announcer = announcer
        self._on_epoch_changed = on_epoch_changed
        self._decided: deque[VoterConfiguration] = deque()

    @property
    def has_decided(self) -> bool:
        """Whether a decision waits to be adopted."""
        return bool(self._decided)

    def queue_decided(self, configuration: VoterConfiguration) -> None:
        """This machine has found out what the voters decided. It is adopted later in the same step."""
        self._decided.append(configuration)

    def adopt_next_decided(self) -> None:
        """Send the oldest decision that waits to all peers, then adopt it."""
        configuration = self._decided.popleft()
        if configuration.epoch > self._voters.epoch:
            for ip in self._directory.peers():
                self._out.send(ip, configuration)
        self.adopt(configuration)

    def adopt(self, configuration: VoterConfiguration) -> None:
        """Count by these voters from here on, if they are of a later epoch."""
        if not self._voters.adopt(configuration):
            return
        self._out.log(
            EVENT_VOTERS, epoch=configuration.epoch, voters=[voter.ip for voter in configuration.voters]
        )
        self._acceptor.delete_voter_registers(f"{VOTER_REGISTER_PREFIX}{configuration.epoch}")
        self._directory.handle_configuration_change()
        self._contact.handle_configuration_change()
        self.record_membership()
        for notify in self._on_epoch_changed:
            notify()

    def record_membership(self) -> None:
        """A machine that is a voter belongs to the first set no longer, and says so in its announcements."""
        local = self._voters.local_node
        if local.initial and self._voters.is_voter:
            self._announcer.update_local_node(
                msgspec.structs.replace(local, initial=False, version=local.version + 1)
            )
