"""What a replica sends when a link to another is up again."""

from __future__ import annotations

from ambershift.system.consensus.events import ReadQuorum
from ambershift.system.consensus.replica import Replica
from ambershift.system.messages.replication import Announcement, SyncRequest
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND, PeerConnected, Send, WriteCompleted
from tests.support.local_settings import control_node_settings

NOW = 1000 * NS_PER_SECOND


def test_new_link_gets_announcement_and_pending_sync_requests_at_once() -> None:
    ips = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    seeds = tuple(f"{ip}:1" for ip in ips)
    settings = control_node_settings(
        ips[0], name="one", internal_ports=(1, 2), seeds=seeds, tolerated_losses=(1, 0, 0)
    )
    replica = Replica(settings, seed=7, delta_codecs=lambda name: None, rows={}, now=NOW)
    replica.step(NOW, WriteCompleted(1))
    asked = replica.step(NOW, ReadQuorum(1, 1.0))
    assert {
        one.recipient for one in asked if isinstance(one, Send) and isinstance(one.message, SyncRequest)
    } == set(ips[1:])
    again = [one for one in replica.step(NOW + NS_PER_MS, PeerConnected(ips[2])) if isinstance(one, Send)]
    assert {one.recipient for one in again} == {ips[2]}
    assert [type(one.message) for one in again] == [Announcement, SyncRequest]
