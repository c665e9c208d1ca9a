"""The contact lease: what proves that a copy has all that was acknowledged, and what does not."""

from __future__ import annotations

from typing import Any

import pytest

from ambershift.system.consensus.contact_lease import (
    LEARNER_RENEWAL_AGE_NS,
    NO_CONTACT_AGE_MS,
    PAUSE_THRESHOLD_NS,
    RENEWAL_AGE_NS,
    STALE_HEARTBEAT_PERIOD_NS,
    ContactLease,
)
from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.replica import Replica
from ambershift.system.messages.replication import Heartbeat, HeartbeatFlag, SyncRequest, SyncResponse
from ambershift.system.simulation.world import World
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND, MessageReceived, Send, Tick

NODES = [f"10.0.0.{at}" for at in range(1, 6)]


class FakeVotingState:
    """What the lease reads of `VotingState`: five voters, of which this node may be one."""

    def __init__(self, voting: bool = True) -> None:
        self.ips, self.quorum_size, self.can_vote, self.is_voter = frozenset(NODES), 3, voting, voting
        self.local_node: Any = type("Me", (), {"ip": NODES[0]})
        self.configuration: Any = object()


def contact(voting: bool = True) -> tuple[ContactLease, EffectBuffer]:
    out = EffectBuffer(NODES[0])
    return ContactLease(out, FakeVotingState(voting)), out  # type: ignore[arg-type]


@pytest.mark.parametrize(("voting", "beats"), [(True, 2), (False, 3)])
def test_matching_heartbeats_of_a_majority_prove_the_oldest_of_them(voting: bool, beats: int) -> None:
    one, out = contact(voting)
    others = NODES[1:]
    for at in range(beats):
        assert one.proven_until() is None and one.age_ms() == NO_CONTACT_AGE_MS and one.needs_quorum_read()
        out.now = (at + 1) * 10 * NS_PER_MS
        one.record_matching_heartbeat(others[at])
    assert one.proven_until() == 10 * NS_PER_MS
    out.now = 100 * NS_PER_MS
    one.record_matching_heartbeat(others[0])
    assert one.proven_until() == 20 * NS_PER_MS
    out.now += RENEWAL_AGE_NS if voting else LEARNER_RENEWAL_AGE_NS
    assert one.age_ms() == (out.now - 20 * NS_PER_MS) // NS_PER_MS and one.needs_quorum_read()


def test_only_heartbeats_of_present_voters_count_and_a_proof_never_shrinks() -> None:
    one, out = contact()
    out.now = NS_PER_SECOND
    for ip in NODES[1:]:
        one.record_matching_heartbeat(ip)
    assert one.proven_until() == NS_PER_SECOND
    one.handle_configuration_change()
    out.now = 2 * NS_PER_SECOND
    one.record_matching_heartbeat("10.0.9.9")  # No voter.
    one.record_matching_heartbeat(NODES[1])
    assert one.proven_until() == NS_PER_SECOND
    one.record_matching_heartbeat(NODES[2])
    assert one.proven_until() == 2 * NS_PER_SECOND
    one.record_quorum_read(NS_PER_SECOND)  # Begun long ago: nothing newer is proved.
    assert one.proven_until() == 2 * NS_PER_SECOND


def test_heartbeats_that_waited_during_a_pause_prove_nothing() -> None:
    one, out = contact()
    out.now = 10 * NS_PER_SECOND
    one.record_elapsed(PAUSE_THRESHOLD_NS + 1)
    for at in (0, STALE_HEARTBEAT_PERIOD_NS - 1):
        out.now = 10 * NS_PER_SECOND + at
        for ip in NODES[1:]:
            one.record_matching_heartbeat(ip)
    assert one.proven_until() is None
    one.record_quorum_read(out.now)  # Asked and answered since: that counts.
    assert one.proven_until() == out.now
    out.now = 10 * NS_PER_SECOND + STALE_HEARTBEAT_PERIOD_NS
    for ip in NODES[1:]:
        one.record_matching_heartbeat(ip)
    assert one.proven_until() == out.now


def settled(count: int = 3) -> tuple[World, Replica]:
    world = World(3, loss=0, count=count)
    world.run(4)
    replica = world.boxes["10.0.0.1"].replica
    assert replica is not None
    return world, replica


@pytest.mark.parametrize(
    ("state", "ahead", "differs", "counts"),
    [
        (HeartbeatFlag.COMPLETE, 0, 0, True),
        (0, 0, 0, False),
        (HeartbeatFlag.COMPLETE, 1, 0, False),
        (HeartbeatFlag.COMPLETE, 0, 1, False),
    ],
)
def test_only_matching_heartbeats_of_complete_voters_of_this_epoch_count(
    state: int, ahead: int, differs: int, counts: bool
) -> None:
    world, replica = settled()
    now, total = world.now + 200 * NS_PER_MS, replica.store.buckets.total
    beat = Heartbeat(replica.voters.epoch + ahead, total + differs, 0, (), state)
    replica.step(now, MessageReceived("10.0.0.2", beat))
    assert (replica.contact.proven_until() == now) == counts


def test_quorum_read_proves_the_moment_it_was_started() -> None:
    world, replica = settled()
    begun = world.now + RENEWAL_AGE_NS + 200 * NS_PER_MS
    asked = [
        one
        for one in replica.step(begun, Tick())
        if isinstance(one, Send) and isinstance(one.message, SyncRequest)
    ]
    assert {one.recipient for one in asked} == {"10.0.0.2", "10.0.0.3"}
    before = replica.contact.proven_until()
    number = next(one.message.request_id for one in asked if one.recipient == "10.0.0.3")  # type: ignore[union-attr]
    epoch = replica.voters.epoch
    share = SyncResponse(epoch, number, epoch, 0, 0, 1, False, (), ())
    replica.step(begun + 90 * NS_PER_MS, MessageReceived("10.0.0.2", share))  # Another one's answer.
    assert replica.contact.proven_until() == before
    replica.step(begun + 100 * NS_PER_MS, MessageReceived("10.0.0.3", share))
    assert replica.contact.proven_until() == begun
