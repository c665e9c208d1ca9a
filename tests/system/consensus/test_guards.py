"""Guards that others nearly make up for: each alone, just where it is the one that counts."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from ambershift.system.consensus.acceptor import EMPTY_STATE
from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.control_api.pending_calls import PendingCalls
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse
from ambershift.system.messages.replication import Accept, Acknowledgement, Prepare, Promise
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.fake_control_nodes import ONE_WAY_DELAY_S, FakeCluster, proposer_ranking, run_story


async def number(world: FakeCluster, at: str) -> int:
    return (await world.call(at, "POST", "/ambershift/numbers/n"))[0]


def test_unresponsive_proposer_is_skipped_for_a_second_despite_heartbeats() -> None:
    async def story(world: FakeCluster) -> None:
        owner, other, entry = proposer_ranking("n/n")
        world.stores[entry].is_responsive = lambda ip: True  # type: ignore[method-assign]
        world.partition(owner)
        assert await number(world, entry) == 504
        begun = world.loop.now
        assert [await number(world, entry) for _ in range(3)] == [200] * 3
        assert world.loop.now - begun < 0.5 and world.stores[other].rounds == 3
        world.partition()
        await asyncio.sleep(1.1)
        assert await number(world, entry) == 200 and world.stores[owner].rounds == 1
        # One that answers, but that it is out of touch.
        world.stores[owner].has_contact = False
        assert await number(world, entry) == 200 and world.stores[other].rounds == 4

    run_story(story)


def test_watch_moves_back_to_preferred_proposer() -> None:
    """Puts through the first choice are told to nobody: a watch must wait there."""

    async def story(world: FakeCluster) -> None:
        owner, other, entry = proposer_ranking("g/g.")
        assert (await world.rpc(entry, "cells.replace", "g.a", {"Value": "a", "AppliesTo": 0}))[0] == 200
        world.partition(owner)
        await asyncio.sleep(0.4)
        watch = asyncio.ensure_future(world.call(entry, "GET", "/ambershift/watch/g.?after=1&WaitMs=9000"))
        await asyncio.sleep(0.3)
        world.partition()
        await asyncio.sleep(0.8)
        assert (await world.rpc(other, "cells.replace", "g.b", {"Value": "b", "AppliesTo": 0}))[0] == 200
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        assert watch.done() and watch.result()[1]["Revision"] == 2

    run_story(story)


def test_outcome_counts_only_from_last_node_forwarded_to() -> None:
    async def story() -> None:
        open_calls = PendingCalls(lambda to, message: None, 7)
        at = open_calls.next_number()
        open_calls.forward("a", ForwardedCall(at, "numbers", "n", b"", 100)).cancel()
        await asyncio.sleep(0)
        second = open_calls.forward("b", ForwardedCall(at, "numbers", "n", b"", 100))
        open_calls.complete(
            "a", ForwardedResponse(at, 503, b"")
        )  # Late: the forwarded call is with the other now.
        assert not second.done()
        open_calls.complete("b", ForwardedResponse(at, 200, b"{}"))
        assert (await second).status == 200

    asyncio.run(story())


class Voters:
    """As the proposer sees them."""

    configuration, epoch, quorum_size = object(), 1, 2
    ips_by_proximity = ["a", "b", "c"]
    ips = frozenset(ips_by_proximity)


class Proposing:
    def __init__(self) -> None:
        self.out, self.voters, self.told = EffectBuffer("x"), Voters(), list[Any]()
        self.out.now = NS_PER_SECOND

        class Acceptor:
            def state(self, name: str) -> Any:
                return EMPTY_STATE

            def known_since(self, name: str, origin: Any) -> int:
                return 0

        numbers = iter(range(1, 100))
        self.proposer = Proposer(
            self.out,
            self.voters,
            Acceptor(),
            delta_codecs=lambda name: None,
            incarnation=9,
            rng=random.Random(1),
            next_request_id=numbers.__next__,
            is_reachable=lambda ip: True,
        )

    def call(self, value: bytes) -> Any:
        """The message that the call makes the proposer send."""
        self.proposer.change(
            "r", lambda old, since, now: ChangeOutcome(value, value), 9 * NS_PER_SECOND, self.told.append
        )
        return self.sent()

    def sent(self) -> Any:
        """The last message out, None for none."""
        found = [one.message for one in self.out.drain() if hasattr(one, "message")]
        return found[-1] if found else None

    def vote(self, ip: str, prepare: Any, epoch: int) -> None:
        self.proposer.receive_reply(
            ip,
            Promise(epoch, prepare.request_id, EMPTY_STATE.accepted_ballot, EMPTY_STATE.origin_ballot, None),
        )

    def promise(self, prepare: Any) -> Any:
        for ip in "ab":
            self.vote(ip, prepare, prepare.epoch)
        return self.sent()

    def agree(self, accept: Any, epoch: int | None = None) -> None:
        for ip in "ab":
            self.proposer.receive_reply(ip, Acknowledgement(epoch or accept.epoch, accept.request_id))


def test_proposer_lease_ends_with_its_epoch() -> None:
    world = Proposing()
    accept = world.promise(world.call(b"one"))
    world.agree(accept)
    assert world.told == [CallSucceeded(b"one")]
    accept = world.call(b"two")
    assert isinstance(accept, Accept) and accept.ballot > (1, 9)  # One trip: the lease holds.
    world.agree(accept)
    world.voters.epoch = 2
    world.proposer.epoch_changed()
    world.sent()
    prepare = world.call(b"three")
    assert isinstance(prepare, Prepare) and prepare.epoch == 2


@pytest.mark.parametrize("other", [1, 3])
def test_proposer_ignores_votes_of_other_epochs(other: int) -> None:
    world = Proposing()
    world.voters.epoch = 2
    prepare = world.call(b"one")
    for ip in "abc":
        world.vote(ip, prepare, other)
    assert world.sent() is None
    accept = world.promise(prepare)
    assert isinstance(accept, Accept)
    world.agree(accept, other)
    assert not world.told
    world.agree(accept)
    assert world.told == [CallSucceeded(b"one")]
