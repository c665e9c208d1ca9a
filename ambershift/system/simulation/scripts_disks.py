"""Scripted worlds of late answers, slow disks and late copies, each for one guard. See `scripts_voters`."""

from __future__ import annotations

from typing import Any

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.events import ChangeRegister
from ambershift.system.coordination import locks
from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.replication import Accept, SyncResponse
from ambershift.system.simulation.lists import Lists
from ambershift.system.simulation.world import World


def told_twice() -> list[str]:
    """A machine that alone has an item answers itself twice, as its disk stood still; then it loses it."""
    world = Lists(11, loss=0, count=3)
    world.run(2.5)
    mine, one, _ = sorted(world.boxes)
    world.cut |= {(mine, ip) for ip in world.boxes}
    world.boxes[mine].fault = "stalled"
    put = world.put(mine, "r")
    world.run(0.7)  # It asks again those that have not answered, itself among them.
    world.boxes[mine].fault = None
    world.run(0.3)
    acknowledged = isinstance(put.told, CallSucceeded)
    world.wipe(mine)
    world.cut.clear()
    world.start(mine)
    world.run(2)
    if not acknowledged:
        return []
    fresh = world.freshen(one)
    world.run(1.5)
    assert isinstance(fresh.told, CallSucceeded)
    return world.broken


def late_copy() -> list[str]:
    """What was asked for before voting comes after it: a ballot that one voter holds alone. This voter has
    promised a higher one by then; had it the value, it would agree to it when it is asked again.
    """
    world = Lists(12, loss=0, count=3)
    world.run(2.5)
    name, fresh = "list/0", "10.0.0.3"
    first, other = "10.0.0.1", "10.0.0.2"
    world.change("append", first, name)
    world.run(0.5)
    world.wipe(fresh)
    world.late = lambda sender, to, message: isinstance(message, SyncResponse) and to == fresh
    world.start(fresh)
    world.run(0.7)
    boxes = world.boxes
    one, learner = boxes[first].replica, boxes[fresh].replica
    assert one is not None
    assert learner is not None
    assert learner.voters.is_voter
    assert not learner.voters.can_vote
    world.change("append", first, name)
    world.run(0.4)
    world.late = lambda sender, to, message: (
        (isinstance(message, SyncResponse) and to == fresh) or (isinstance(message, Accept))
    )
    alone = world.change("append", first, name)
    world.run(0.01)
    world.caught = [caught for caught in world.caught if not isinstance(caught[2], SyncResponse)]
    world.run(0.5)
    assert one._acceptor.state(name).promised_ballot[0] > 0
    assert alone.told is None
    world.let_go(lambda sender, to, message: isinstance(message, SyncResponse) and sender == other)
    world.run(0.05)
    assert learner.voters.can_vote
    kept, world.caught = world.caught, []
    world.cut |= {(other, first), (first, other)}
    world.change("append", other, name)
    while not any(isinstance(message, Accept) and sender == other for sender, _, message in world.caught):
        world.run(0.001)
    higher, world.caught = world.caught, kept
    world.let_go(lambda sender, to, message: isinstance(message, SyncResponse) and sender == first)
    world.let_go(lambda sender, to, message: isinstance(message, Accept) and to == fresh and sender == first)
    world.run(0.1)
    world.caught = higher
    world.late = lambda sender, to, message: False
    world.let_go(lambda sender, to, message: True)
    world.run(1)
    world.cut.clear()
    world.run(1)
    for ip in sorted(boxes):
        world.change("append", ip, name)
        world.run(1)
    return world.judge()


def late_run() -> list[str]:
    """A second run of a call, which took a lock and gave it back meanwhile, is carried out late."""
    world = World(13, loss=0, count=3)
    world.run(2.5)
    one, other, _ = sorted(world.boxes)

    def ask(ip: str, change: Any) -> Any:
        told: list[Any] = []
        world.call(ip, lambda call: ChangeRegister(call, "k/l", change, 1.5), told.append)
        world.run(1)
        if not told or isinstance(told[0], (OutcomeUnknownError, NotAppliedError)):
            return None
        return told[0].result

    ask(one, locks.acquire("a", 60_000, "c1"))
    ask(one, locks.release("a", 1))
    ask(other, locks.acquire("a", 60_000, "c1"))  # Nobody waits for this answer.
    last = ask(one, locks.acquire("b", 1000, "c2"))
    assert last is not None
    return [] if last.status == 200 else ["a lock that was given back is kept from others"]
