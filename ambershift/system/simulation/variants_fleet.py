"""Broken variants of how old a proxy's configuration may get; found by the fleet, not by lone nodes."""

from __future__ import annotations

from typing import Any

from ambershift.modelcheck.mutants.words import Mutant
from ambershift.system.consensus import contact_lease, heartbeats
from ambershift.system.consensus.contact_lease import NO_CONTACT_AGE_MS
from ambershift.system.distribution import controller
from ambershift.system.messages.proxy_link import ControlNodeHeartbeat
from ambershift.system.messages.replication import Heartbeat
from ambershift.system.node_selection import selector
from ambershift.system.simulation.variant import constant, of


def any_beat(real: Any) -> Any:
    def beat(self: heartbeats.HeartbeatExchange, sender: str, message: Heartbeat) -> str | None:
        self._contact_lease.record_matching_heartbeat(sender)
        found: str | None = real(self, sender, message)
        return found

    return beat


def by_its_word(real: Any) -> Any:
    def heartbeat(self: controller.Controller, control_nodes: Any) -> ControlNodeHeartbeat:
        made: ControlNodeHeartbeat = real(self, control_nodes)
        return ControlNodeHeartbeat(
            made.control_nodes,
            made.has_quorum_contact,
            made.max_proxies,
            0 if made.has_quorum_contact else NO_CONTACT_AGE_MS,
        )

    return heartbeat


VARIANTS: tuple[Mutant, ...] = (
    of(
        "a-beat-is-contact",
        "CONFIG",
        "beats of a majority count though their checksums differ",
        heartbeats.HeartbeatExchange,
        "handle_heartbeat",
        any_beat,
    ),
    of(
        "old-beats-are-contact",
        "CONFIG",
        "beats count that waited while the process stood still",
        contact_lease.ContactLease,
        "record_elapsed",
        constant(lambda self, since: None),
    ),
    of(
        "node-judged-by-its-word",
        "CONFIG",
        "a node tells whether it is in touch, but not how old its proof is",
        controller.Controller,
        "_heartbeat",
        by_its_word,
    ),
    of(
        "never-searches",
        "CONFIG",
        "a proxy stays with its node however old its proof is",
        selector.ControlNodeSelector,
        "begin_search_if_due",
        constant(lambda self, now: False),
    ),
    of(
        "any-other-node",
        "CONFIG",
        "a proxy goes to whoever answers first",
        selector.ControlNodeSelector,
        "has_newer_proof",
        constant(lambda self, now, sign: True),
    ),
)
BY_NAME = {one.name: one for one in VARIANTS}
