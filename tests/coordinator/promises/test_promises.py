"""The state machine of the group's log: deterministic for any content of an entry."""

import random

import msgspec
import pytest

from ambershift.coordinator.admin.types import NO_ORIGIN, NO_OVERRIDE, Health, State, Weight
from ambershift.coordinator.maintenance.types import (
    Agreement,
    Declared,
    Permit,
    Phase,
    Refusal,
    Tenant,
    Window,
    Work,
)
from ambershift.coordinator.promises.codec import (
    CommandRefusal,
    Outcome,
    decode_command,
    decode_outcome,
    encode_command,
    refused,
)
from ambershift.coordinator.promises.commands import (
    Command,
    Declare,
    Grant,
    Move,
    Nothing,
    Wishes,
    WishOne,
)
from ambershift.coordinator.promises.state import EMPTY, GroupState, UnreadableStateError, pack, unpack
from ambershift.coordinator.promises.state_machine import (
    MAX_UNREADABLE_COMMANDS,
    MAX_WISHES,
    GroupStateMachine,
)
from ambershift.coordinator.replication.types import Entry

WORK = Work("kernel", ("a", "b", "c"), 600, 10_000, 0)


def declared(revision: int = 1, works: tuple[Work, ...] = (WORK,)) -> Declared:
    return Declared(revision, (Tenant("games", (), (), (), Agreement(2.0, 1, 0, ()), ()),), works)


def permit(server: str, tries: int = 1, ends: int = 700) -> Permit:
    return Permit(f"kernel/{server}/{tries}", "kernel", server, Phase.DRAINING, 100, ends, ("games",), 1.0)


class Log:
    def __init__(self, state: GroupState = EMPTY) -> None:
        self.machine, self.state, self.entries = GroupStateMachine(), state, list[Entry]()

    def write(self, command: Command | bytes, later: int = 0) -> Outcome:
        data = command if isinstance(command, bytes) else encode_command(command)
        number = len(self.entries) + 1
        self.entries.append(Entry(1, number, number * 1000 + later, "", data))
        self.state, answer = self.machine.apply(self.state, self.entries[-1])
        return decode_outcome(answer)


def wishes(*changes: WishOne) -> Wishes:
    return Wishes("cli", "text", changes)


def test_wishes_are_kept_with_who_when_and_number() -> None:
    log = Log()
    assert log.write(wishes(WishOne("a", 2), WishOne("b", weight=(0.5, True)))) == Outcome(
        True, number=1, changed=("a", "b")
    )
    assert log.state.wish("a").origin == ("cli", 1000, 1) and log.state.wish("b").weight == Weight(0.5, True)
    before = log.state
    assert log.write(wishes(WishOne("a", 2))) == Outcome(
        True, number=1
    )  # Repeated: no change, no new origin.
    assert log.state == before
    # All of its changes or none.
    assert (
        log.write(wishes(WishOne("a", 0), WishOne("b", weight=(1.5, True)))).reason == "weight-out-of-range"
        and log.state == before
    )
    assert log.write(wishes(WishOne("a", 0), WishOne("a", 2), WishOne("c", 1))).changed == ("c",)
    assert log.state.wish("a").origin.number == 1
    assert log.write(wishes(WishOne("b", as_listed=True))).changed == ("b",) and "b" not in log.state.wishes
    assert before.wish("c") == NO_OVERRIDE  # States are immutable.
    for bad in (WishOne("a", 9), WishOne("a", health=7), WishOne("", 1)):
        assert log.write(wishes(bad)).reason == CommandRefusal.BAD_WISH
    assert log.write(wishes(WishOne("a", weight=(float("nan"), False)))).reason == "weight-out-of-range"
    many = wishes(*[WishOne(f"s{i}", 1) for i in range(MAX_WISHES)])
    assert log.write(many).reason == CommandRefusal.TOO_MANY_WISHES


def test_revisions_only_increase_and_each_has_one_content() -> None:
    log = Log()
    assert log.write(Declare(declared(2))).done and log.state.last_permit_entry == 1
    assert log.write(Declare(declared(2))).done and log.state.last_permit_entry == 1
    assert log.write(Declare(declared(1))).reason == CommandRefusal.OLDER_REVISION
    assert log.write(Declare(declared(2, ()))).reason == CommandRefusal.OTHER_CONTENTS
    assert (
        log.write(Grant(1, (permit("a"),))).done
        and log.write(Move(5, "kernel/a/1", Phase.CLOSED, 0, True)).done
    )
    assert log.state.history["kernel", "a"] == (1, True, 100)
    assert log.write(Declare(declared(3, ()))).done and not len(log.state.history)


@pytest.mark.parametrize(
    ("tenant", "work"),
    [
        ({"agreement": Agreement(float("nan"), 1, 0, ())}, {}),
        ({"agreement": Agreement(-1.0, 1, 0, ())}, {}),
        ({"agreement": Agreement(1.0, -1, 0, ())}, {}),
        ({"agreement": Agreement(1.0, 1, -1, ())}, {}),
        ({"windows": (Window("w", "FREQ=DAILY", "2026-12-01T02:00:00", 0, "UTC"),)}, {}),
        ({"name": "a/b"}, {}),
        ({}, {"duration_ns": 0}),
        ({}, {"max_concurrent": -1}),
        ({}, {"servers": ("a", "a")}),
        ({}, {"name": ""}),
    ],
)
def test_an_invalid_declaration_is_refused(tenant: dict[str, object], work: dict[str, object]) -> None:
    log, whole = Log(), declared()
    bad = Declared(
        1, (msgspec.structs.replace(whole.tenants[0], **tenant),), (msgspec.structs.replace(WORK, **work),)
    )
    assert log.write(Declare(bad)).reason == CommandRefusal.UNSOUND and not log.state.last_permit_entry
    assert (
        log.write(Declare(msgspec.structs.replace(whole, tenants=whole.tenants * 2))).reason
        == CommandRefusal.UNSOUND
    )


def test_of_two_leaders_that_decided_on_the_same_state_one_is_refused() -> None:
    log = Log()
    log.write(Declare(declared()))
    assert log.write(Grant(1, (permit("a"),)), 10_000_000_000).reason == Refusal.CHANGED_MEANWHILE  # Too old.
    assert log.write(Grant(1, (permit("a"),))).changed == ("kernel/a/1",)
    assert log.write(Grant(1, (permit("b"),))).reason == Refusal.CHANGED_MEANWHILE
    assert log.write(Grant(3, (permit("a", 2),))).reason == Refusal.ALREADY_OUT
    assert log.write(Grant(3, (permit("b"), permit("b")))).reason == Refusal.ALREADY_OUT
    assert log.write(Grant(3, (permit("z"),))).reason == CommandRefusal.NO_SUCH_WORK
    assert log.write(Grant(3, (permit("b", ends=100),))).reason == CommandRefusal.PHASE
    assert log.write(Grant(3, (permit("b"),))).done
    # Moves of two permits based on one state both take effect; two moves of the same permit don't.
    based = log.state.last_permit_entry
    assert log.write(Move(based, "kernel/a/1", Phase.OUT, 900)).done
    assert log.write(Move(based, "kernel/b/1", Phase.OUT, 900)).done
    assert log.write(Move(based, "kernel/a/1", Phase.RETURNING, 0)).reason == Refusal.CHANGED_MEANWHILE
    based = log.state.last_permit_entry
    assert log.write(Move(based, "kernel/a/1", Phase.DRAINING, 900)).reason == CommandRefusal.PHASE
    assert log.write(Move(based, "kernel/a/1", Phase.RETURNING, 0, True)).done
    assert log.state.held_out(899) == {"b": log.state.permits["kernel/b/1"].permit}
    assert log.state.held_out(900) == {} and log.state.next_end(899) == 900
    assert log.write(Move(log.state.last_permit_entry, "kernel/a/1", Phase.CLOSED, 0)).done
    assert log.state.history["kernel", "a"] == (1, True, 100)
    assert log.state.history["kernel", "b"] == (1, False, 100)
    assert log.write(Move(99, "kernel/a/1", Phase.CLOSED, 0)).reason == CommandRefusal.NO_SUCH_PERMIT


def test_newer_and_malformed_commands_are_kept_and_refused_without_an_exception() -> None:
    log, rng = Log(), random.Random(1)
    newer = msgspec.msgpack.encode(["later-kind", 1, {"x": 2}])
    assert log.write(newer).reason == CommandRefusal.UNKNOWN and log.state.unreadable[0].command == newer
    longer = msgspec.msgpack.encode(["nothing", "a field of a newer program"])
    assert log.write(longer).done
    whole = encode_command(Declare(declared()))
    for _ in range(2000):
        torn = bytearray(whole[: rng.randrange(len(whole) + 1)])
        for _ in range(rng.randrange(3)):
            if torn:
                torn[rng.randrange(len(torn))] = rng.randrange(256)
        log.write(bytes(torn))
    assert log.write(bytes(2 << 20)).reason == CommandRefusal.TOO_LARGE
    assert len(log.state.unreadable) == MAX_UNREADABLE_COMMANDS < log.state.unreadable_count
    assert decode_outcome(b"\xc1").reason == CommandRefusal.UNKNOWN


def some_command(rng: random.Random, state: GroupState) -> Command:
    based = state.last_permit_entry - (rng.random() < 0.2)
    held = [one.permit.id for one in state.permits.values()] or ["none"]
    match rng.randrange(5):
        case 0:
            return wishes(
                *[
                    WishOne(
                        rng.choice("abc"),
                        rng.choice([None, 0, 1, 2]),
                        rng.choice([None, 0, 2]),
                        rng.choice([None, (0.5, True), (300.0, False), (3.0, False)]),
                        rng.random() < 0.3,
                    )
                    for _ in range(rng.randint(0, 3))
                ]
            )
        case 1:
            return Declare(declared(rng.randrange(1, 4), (WORK,) * rng.randrange(1, 3)))
        case 2:
            return Grant(
                based, tuple(permit(rng.choice("abc"), rng.randrange(9)) for _ in range(rng.randint(0, 2)))
            )
        case 3:
            return Move(
                based, rng.choice(held), Phase(rng.randrange(4)), rng.randrange(2000), rng.random() < 0.5
            )
    return Nothing()


@pytest.mark.parametrize("seed", range(40))
def test_members_build_the_same_state_from_the_same_log_and_snapshots(seed: int) -> None:
    rng, log, other = random.Random(seed), Log(), Log()
    for _ in range(120):
        command = some_command(rng, log.state)
        known = log.machine.validate(log.state, 0, encode_command(command))
        outcome = log.write(command)
        assert (known is None) == outcome.done and (known is None or decode_outcome(known) == outcome)
        assert other.write(command) == outcome
        if rng.random() < 0.2:
            other.state = unpack(pack(other.state))
        assert pack(log.state) == pack(other.state) and log.state == other.state
        assert not any(wish._replace(origin=NO_ORIGIN) == NO_OVERRIDE for wish in log.state.wishes.values())
        servers = [held.permit.server for held in log.state.permits.values()]
        assert len(set(servers)) == len(servers)


def test_a_guard_is_called_only_by_the_leader_and_not_for_commands_without_change() -> None:
    asked = list[Command]()

    def guard(state: GroupState, at: int, command: Command) -> Outcome | None:
        asked.append(command)
        return refused("zone-without-warm-server", "b")

    machine, command = GroupStateMachine(guard), wishes(WishOne("b", 1, int(Health.UP)))
    answer = machine.validate(EMPTY, 5, encode_command(command))
    assert answer is not None and decode_outcome(answer).reason == "zone-without-warm-server"
    state, outcome = machine.apply(EMPTY, Entry(1, 1, 5, "", encode_command(command)))
    assert decode_outcome(outcome).done and state.wish("b").state is State.DRAIN and asked == [command]
    assert machine.validate(state, 6, encode_command(command)) is None and asked == [command]
    assert decode_command(encode_command(command)) == command


def test_a_packed_state_of_another_version_or_malformed_is_refused() -> None:
    whole = pack(EMPTY)
    for bad in (b"", b"\x01", whole[:-1], msgspec.msgpack.encode([2, "later"]), msgspec.msgpack.encode({})):
        with pytest.raises(UnreadableStateError):
            unpack(bad)
    assert unpack(whole) == EMPTY
