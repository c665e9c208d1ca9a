"""Catching up before voting: a new voter gathers all that was stored under the voters before it votes itself.

A majority of the previous voters has it, each with what it stored when it left their epoch. So has any voter
of this epoch that is complete already.
"""

from __future__ import annotations

from typing import ClassVar

from ambershift.system.consensus.quorum import majority
from ambershift.system.consensus.sync_session import SyncContext, SyncSession
from ambershift.system.consensus.voters import includes_disk
from ambershift.system.messages.replication import SyncResponse, VoterConfiguration
from ambershift.system.state_machine import NS_PER_MS

NO_DEADLINE_NS = 1 << 62
SINGLE_SOURCE_PERIOD_NS = 400 * NS_PER_MS
# Before a peer that isn't complete itself is asked again, while it alone is asked.
SINGLE_SOURCE_RETRY_INTERVAL_NS = 60 * NS_PER_MS


class CatchUp(SyncSession):
    """Asks only the nearest peer at first, so that a copy that misses much fetches it once; then all."""

    needs_bucket_digests: ClassVar[bool] = True

    def __init__(self, context: SyncContext) -> None:
        super().__init__(context, NO_DEADLINE_NS)
        self._single_source_until_ns = 0
        self._has_complete_source = False

    def _choose_peers(self, configuration: VoterConfiguration) -> None:
        voters, out = self._context.voters, self._context.out
        me = voters.local_node
        self._has_complete_source = False
        others = [ip for ip in voters.ips_by_proximity if ip != me.ip]
        self.contacted = {*others, *(voter.ip for voter in configuration.previous_voters)} - {me.ip}
        if (
            includes_disk(configuration.previous_voters, me.ip, me.disk_id)
            and voters.complete_epoch >= configuration.epoch - 1
        ):
            self.completed.add(me.ip)
        else:
            self._single_source_until_ns = out.now + SINGLE_SOURCE_PERIOD_NS
            nearest = [ip for ip in others if self._context.is_ready(ip)][:1]
            self.contacted = set(nearest) or self.contacted

    def widen(self) -> bool:
        """Ask all voters of this epoch and of the one before, once the single source took too long."""
        if not self._single_source_until_ns or self._context.out.now < self._single_source_until_ns:
            return False
        self._single_source_until_ns = 0
        voters = self._context.voters
        self.contacted = set(voters.ips) - {voters.local_node.ip}
        if voters.configuration is not None:
            self.contacted |= {voter.ip for voter in voters.configuration.previous_voters}
        return True

    def on_answer(self, sender: str, response: SyncResponse, is_merged: bool) -> None:
        """Count the peer, or end where it has all that was stored before this epoch."""
        if not is_merged:
            return
        if response.complete_epoch >= self.epoch:
            self._has_complete_source = True
        elif self._is_sealed_previous_voter(sender, response):
            self.completed.add(sender)
            now = self._context.out.now
            if now < self._single_source_until_ns:
                self.completed.clear()
                self.retry_at_ns = now + SINGLE_SOURCE_RETRY_INTERVAL_NS

    def _is_sealed_previous_voter(self, sender: str, response: SyncResponse) -> bool:
        """Whether that is a voter of the epoch before, complete then, that votes in it no more."""
        configuration = self._context.voters.configuration
        return (
            configuration is not None
            and response.complete_epoch >= configuration.epoch - 1
            and includes_disk(configuration.previous_voters, sender, response.disk_id)
        )

    def is_done(self) -> bool:
        """Whether one complete peer, or a majority of the previous voters, has answered."""
        configuration = self._context.voters.configuration
        return self._has_complete_source or (
            configuration is not None and len(self.completed) >= majority(len(configuration.previous_voters))
        )

    def on_timeout(self) -> None:
        """It has none: without it this machine doesn't vote."""

    def on_done(self) -> None:
        """This machine may vote."""
        self._context.voters.mark_complete()
        self._context.on_caught_up()
