"""Votes and leases of earlier or later epochs, by the proposer alone."""

from __future__ import annotations

import random
from typing import Any

import pytest

from ambershift.system.consensus.acceptor import EMPTY_STATE
from ambershift.system.consensus.effect_buffer import CallSucceeded, EffectBuffer
from ambershift.system.consensus.proposer import Proposer
from ambershift.system.interfaces import ChangeOutcome
from ambershift.system.messages.replication import Accept, Acknowledgement, Prepare, Promise
from ambershift.system.state_machine import NS_PER_SECOND


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
