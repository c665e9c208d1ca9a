"""Scripted worlds: one way each by which a guard earns its place, too narrow for chance to find it often.

Each gives what the judge finds; nothing while the classes are as they run.
"""

from __future__ import annotations

from ambershift.system.consensus.effect_buffer import CallSucceeded
from ambershift.system.consensus.register import ProposerRegister
from ambershift.system.simulation.lists import Lists as World
from ambershift.system.state_machine import NS_PER_SECOND


def accepted_alone(first: bool) -> list[str]:
    """A value accepted alone under earlier voters never comes up over later ones; it is the `first` or not.

    Promises go along with values that others lack: only where nobody lacks one they go alone.
    """
    world = World(3, loss=0, count=5)
    world.run(2.5)
    name, alone = "list/0", "10.0.0.1"
    replica = world.boxes[alone].replica
    assert replica is not None
    if first:
        replica._proposer._registers[name] = ProposerRegister(name)
    else:
        late = world.change("append", alone, name)
        world.run(0.5)
        assert isinstance(late.told, CallSucceeded)
    # The machine prepares a high ballot at three, and is cut off before its write reaches anyone.
    register = replica._proposer._registers[name]
    register.prepared = None
    register.highest_counter = high = register.highest_counter + 10_000  # Above whatever others will propose.
    world.change("append", alone, name)
    world.run(0.03)
    world.cut |= {(alone, ip) for ip in world.boxes}
    asked = [
        ip
        for ip, box in world.boxes.items()
        if box.replica and box.replica._acceptor.state(name).promised_ballot[0] > high
    ]
    writer = next(ip for ip in sorted(world.boxes) if ip not in asked)
    world.run(0.5)
    assert len(asked) == 3
    assert replica._acceptor.state(name).accepted_ballot[0] > high
    world.cut |= {(ip, alone) for ip in world.boxes}
    # One by one the others that promised lose their disks, and are taken in again.
    for ip in asked:
        if ip != alone:
            world.wipe(ip)
            world.run(0.5)
            world.start(ip)
            world.run(2)
    told = world.change("append", writer, name)
    world.run(2)
    assert isinstance(told.told, CallSucceeded)
    world.cut.clear()
    world.run(3)
    for ip in sorted(world.boxes):
        world.change("read", ip, name)
        world.run(1)
    return world.judge()


def left_behind(seed: int, unsynced: bool) -> list[str]:
    """Three become five while one, cut off, still counts by the three: with a voter that has agreed on the
    five, or one that forgets that it has, as its disk stood still when it was killed.
    """
    world = World(seed, loss=0, count=5)
    behind, between, *ahead = (f"10.0.0.{index}" for index in range(1, 6))
    world.run(0.3)
    first = world.change("append", behind, "list/0")
    world.run(0.4)
    assert isinstance(first.told, CallSucceeded)
    world.cut |= {(behind, ip) for ip in ahead} | {(ip, behind) for ip in [between, *ahead]}
    two = world.boxes[between]
    newest = world.boxes[ahead[0]].replica
    assert two.replica is not None
    assert newest is not None
    if unsynced:
        while world.now < 5 * NS_PER_SECOND and (
            two.out is not None or two.replica._acceptor.state("@1").value is None
        ):
            world.run(0.001)
        two.fault = "stalled"
    till = world.now + 5 * NS_PER_SECOND
    while world.now < till and (
        not newest.voters.can_vote
        or newest.voters.epoch < 2
        or (two.replica.voters.epoch < 2 and not unsynced)
    ):
        world.run(0.005)
    world.run(0.1)
    world.cut |= {link for ip in ahead for link in ((ip, between), (between, ip))}
    if unsynced:
        world.kill(between)
        two.fault = None
        world.start(between)
    world.cut.discard((between, behind))
    world.change("append", behind, "list/0")
    world.run(0.3)
    world.change("append", ahead[0], "list/0")
    world.run(2)
    world.cut.clear()
    world.run(4)
    last = world.change("append", behind, "list/0")
    world.run(2)
    return (
        world.judge()
        if isinstance(last.told, CallSucceeded)
        else ["nothing is acknowledged though all is well"]
    )


def forgetful(seed: int) -> list[str]:
    """A proposer that forgot its ballots uses none of them again."""
    world = World(seed, loss=0, count=3)
    world.run(2.5)
    mine, one, other = (f"10.0.0.{index}" for index in range(1, 4))
    world.boxes[mine].fault = "stalled"  # So that its own promise is lost with it.
    world.change("append", mine, "list/0")
    third = world.boxes[other].replica
    assert third is not None
    while third._acceptor.state("list/0").promised_ballot[0] == 0 and world.now < 4 * NS_PER_SECOND:
        world.run(0.001)
    world.cut.add((mine, other))  # The write reaches one machine alone.
    world.run(1)
    world.kill(mine)
    world.boxes[mine].fault = None
    world.cut = {(mine, one), (one, mine)}
    world.start(mine)
    world.run(1)
    told = world.change("append", mine, "list/0")
    world.run(1.5)
    assert isinstance(told.told, CallSucceeded)
    world.cut.clear()
    for ip in (one, other, mine):
        world.change("append", ip, "list/0")
        world.run(1)
    return world.judge()


def three_leave(told: bool = False) -> list[str]:
    """Three of six machines leave for good, ten seconds apart, `told` to end or not, with nobody for them."""
    world = World(5, loss=0, count=6)
    world.run(2.5)
    for ip in sorted(world.boxes)[:3]:
        if told:
            world.retire(ip)
            world.run(1)
        world.remove(ip)
        world.run(10)
    ops = [world.change("append", ip, "list/0", 3) for ip, box in sorted(world.boxes.items()) if box.replica]
    world.run(4)
    broken = [f"no write at {len(ops)} machines" for op in ops if not isinstance(op.told, CallSucceeded)]
    broken += world.judge()
    return broken
