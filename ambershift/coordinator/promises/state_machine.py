"""The state machine on the log of a group: wishes, what is declared, permits. The same on every member."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256

import msgspec
from rpds import HashTrieMap

from ambershift.coordinator.admin.wants import wanted, weighable
from ambershift.coordinator.admin.words import AS_LISTED, NEVER, Change, Health, Origin, Reason, State, Weight
from ambershift.coordinator.maintenance.types import Phase, Refusal
from ambershift.coordinator.maintenance.validation import unsound
from ambershift.coordinator.promises.codec import (
    COMMAND_MOST,
    CommandRefusal,
    Outcome,
    decode_command,
    encode_outcome,
    refused,
)
from ambershift.coordinator.promises.commands import (
    Answered,
    Command,
    Declare,
    Grant,
    Move,
    Nothing,
    ServerWish,
    Wishes,
)
from ambershift.coordinator.promises.state import (
    EMPTY,
    GroupState,
    OpenPermit,
    ServerHistory,
    UnreadableCommand,
    pack,
    unpack,
)
from ambershift.coordinator.replication.types import Entry

WISHES_MOST = 20_000  # As many as the desk lets wait; a fleet has fewer servers.
KEPT_MOST = 256
STALE = 10_000_000_000  # What was judged longer ago does not hold any more: servers fail meanwhile.
FRESH = ServerHistory(0, False, 0)

# Asked by the leader alone, before it writes: the desk's own guards, say. None: it may stand.
Guard = Callable[[GroupState, int, Command], Outcome | None]


class GroupStateMachine:
    """Implements `replication.types.Machine`."""

    def __init__(self, guard: Guard | None = None) -> None:
        self.guard = guard

    def initial(self) -> GroupState:
        return EMPTY

    def validate(self, state: GroupState, at: int, command: bytes) -> bytes | None:
        read = decode_command(command)
        if read is None:
            return encode_outcome(unread(command))
        if isinstance(read, Answered):
            return None  # A refusal that shall be written is not refused itself.
        _, outcome = carry_out(state, 0, at, read)
        if outcome.done and self.guard is not None:
            # What changes nothing needs no guard: repeated, it answers as it did the first time.
            changes = bool(outcome.changed) or not isinstance(read, Wishes)
            outcome = (self.guard(state, at, read) if changes else None) or outcome
        return None if outcome.done else encode_outcome(outcome)

    def apply(self, state: GroupState, entry: Entry) -> tuple[GroupState, bytes]:
        command = decode_command(entry.command)
        if command is None:
            unreadable = (*state.unreadable, UnreadableCommand(entry.number, entry.at, entry.command))[
                -KEPT_MOST:
            ]
            state = state._replace(unreadable=unreadable, unreadable_count=state.unreadable_count + 1)
            return state, encode_outcome(unread(entry.command))
        state, outcome = carry_out(state, entry.number, entry.at, command)
        return state, encode_outcome(outcome)

    def digest(self, command: bytes) -> bytes:
        """Of the text alone where there is one: who asked, and what a name meant then, may differ."""
        read = decode_command(command)
        return sha256(read.text.encode() if isinstance(read, Wishes | Answered) else command).digest()[:16]

    def pack(self, state: GroupState) -> bytes:
        return pack(state)

    def unpack(self, data: bytes) -> GroupState:
        return unpack(data)


def unread(command: bytes) -> Outcome:
    if len(command) > COMMAND_MOST:
        return refused(
            CommandRefusal.TOO_LARGE, f"{len(command)} bytes; a command has {COMMAND_MOST} at most"
        )
    return refused(CommandRefusal.UNKNOWN, "this program can't read it; a newer one may")


def carry_out(state: GroupState, number: int, at: int, command: Command) -> tuple[GroupState, Outcome]:
    """What an entry makes of a state; where it is refused, the state stays."""
    match command:
        case Wishes():
            return wish(state, at, command)
        case Declare():
            return declare(state, number, command)
        case Grant():
            return grant(state, number, at, command)
        case Move():
            return move(state, number, command)
        case Answered():
            return state, refused(command.reason, command.answer)
        case Nothing():
            return state, Outcome(True)


def to_desk_change(one: ServerWish) -> Change | None:
    """As the desk reads it, without the server; None for what no program of ours makes."""
    try:
        state = None if one.state is None else State(one.state)
        health = None if one.health is None else Health(one.health)
    except ValueError:
        return None
    change = Change(-1, state, health, None if one.weight is None else Weight(*one.weight), one.as_listed)
    return change if one.server else None


def wish(state: GroupState, at: int, command: Wishes) -> tuple[GroupState, Outcome]:
    wishes, origin = state.wishes, Origin(command.who, at, state.commands + 1)
    for one in command.changes:
        change = to_desk_change(one)
        if change is None:
            return state, refused(CommandRefusal.BAD_WISH, f"no wish that a server can have: {one!r:.200}")
        if not weighable(change):
            return state, refused(Reason.WEIGHT_OUT_OF_RANGE, one.server)
        old = wishes.get(one.server, AS_LISTED)
        wishes = wishes.insert(one.server, wanted(old, change)._replace(origin=origin))
    # The same wish again is no change: a command sent twice acts once.
    named = dict.fromkeys(one.server for one in command.changes)
    changed = tuple(
        server
        for server in named
        if wishes.get(server, AS_LISTED)._replace(origin=NEVER) != state.wish(server)._replace(origin=NEVER)
    )
    for server in named:
        old = state.wish(server)
        new = wishes.get(server, AS_LISTED) if server in changed else old
        # Ids come and go for years; what wants nothing is not held.
        bare = new._replace(origin=NEVER) == AS_LISTED
        wishes = wishes.discard(server) if bare else wishes.insert(server, new)
    if not changed:
        return state, Outcome(True, number=state.commands)
    if len(wishes) > WISHES_MOST:
        return state, refused(
            CommandRefusal.TOO_MANY_WISHES, f"{WISHES_MOST} servers at most have a wish of their own"
        )
    state = state._replace(wishes=wishes, commands=state.commands + 1)
    return state, Outcome(True, number=state.commands, changed=changed)


def declare(state: GroupState, number: int, command: Declare) -> tuple[GroupState, Outcome]:
    new, old = command.declared, state.declared
    if new == old:
        return state, Outcome(True)
    if what := unsound(new):
        return state, refused(CommandRefusal.UNSOUND, what)
    if new.revision < old.revision:
        return state, refused(
            CommandRefusal.OLDER_REVISION, f"revision {old.revision} stands, {new.revision} is older"
        )
    if new.revision == old.revision:
        return state, refused(
            CommandRefusal.OTHER_CONTENTS,
            f"revision {old.revision} stands with other contents; give the new ones a higher one",
        )
    works = {work.name for work in new.works}
    past: HashTrieMap[tuple[str, str], ServerHistory] = HashTrieMap(
        {key: one for key, one in state.past.items() if key[0] in works}
    )
    tenants = {tenant.name for tenant in new.tenants}
    drains = HashTrieMap({name: at for name, at in state.drains.items() if name in tenants})
    return state._replace(declared=new, past=past, drains=drains, last_permit_entry=number), Outcome(True)


def grant(state: GroupState, number: int, at: int, command: Grant) -> tuple[GroupState, Outcome]:
    """Of two leaders that judged by the same state, the second finds it changed."""
    if any(at > permit.granted + STALE for permit in command.permits):
        return state, refused(Refusal.CHANGED_MEANWHILE, "judged too long ago")
    if command.based_on != state.last_permit_entry:
        return state, refused(
            Refusal.CHANGED_MEANWHILE,
            f"judged by entry {command.based_on}, {state.last_permit_entry} came since",
        )
    works = {work.name: work for work in state.declared.works}
    taken = {held.permit.server for held in state.permits.values()}
    permits, past, drains = state.permits, state.past, state.drains
    for permit in command.permits:
        if permit.work not in works or permit.server not in works[permit.work].servers:
            return state, refused(CommandRefusal.NO_SUCH_WORK, f"{permit.work}/{permit.server}")
        if permit.server in taken or permit.id in permits:
            return state, refused(Refusal.ALREADY_OUT, permit.server)
        if permit.phase is not Phase.DRAINING or permit.ends <= permit.granted:
            return state, refused(
                CommandRefusal.PHASE, f"{permit.id} does not begin with draining, or has ended"
            )
        taken.add(permit.server)
        permits = permits.insert(permit.id, OpenPermit(permit, number, False, permit.ends))
        before = past.get((permit.work, permit.server), FRESH)
        past = past.insert(
            (permit.work, permit.server), before._replace(tries=before.tries + 1, granted=permit.granted)
        )
        for name in permit.tenants:
            drains = drains.insert(name, max(drains.get(name, 0), permit.granted))
    if not command.permits:
        return state, Outcome(True)
    changed = tuple(permit.id for permit in command.permits)
    return (
        state._replace(permits=permits, past=past, drains=drains, last_permit_entry=number),
        Outcome(True, changed=changed),
    )


def move(state: GroupState, number: int, command: Move) -> tuple[GroupState, Outcome]:
    held = state.permits.get(command.permit)
    if held is None:
        return state, refused(CommandRefusal.NO_SUCH_PERMIT, command.permit)
    permit = held.permit
    if held.number > command.based_on:
        return state, refused(
            Refusal.CHANGED_MEANWHILE, f"judged by entry {command.based_on}, {held.number} changed it since"
        )
    if command.phase < permit.phase:
        return state, refused(CommandRefusal.PHASE, f"{permit.id} is {permit.phase.name.lower()} already")
    done = held.done or command.done
    if command.phase is Phase.CLOSED:
        key, permits = (permit.work, permit.server), state.permits.remove(permit.id)
        past = state.past
        if any(work.name == permit.work for work in state.declared.works):
            before = past.get(key, FRESH)
            past = past.insert(key, before._replace(done=before.done or done))
        state = state._replace(permits=permits, past=past, last_permit_entry=number)
        return state, Outcome(True, changed=(permit.id,))
    # A later phase has no end of its own: it counts until it is closed.
    ends = permit.ends if command.phase is Phase.RETURNING else command.ends
    moved = msgspec.structs.replace(permit, phase=command.phase, ends=ends)
    if moved == permit and done == held.done:
        return state, Outcome(True)
    state = state._replace(
        permits=state.permits.insert(permit.id, OpenPermit(moved, number, done, max(held.latest, ends))),
        last_permit_entry=number,
    )
    return state, Outcome(True, changed=(permit.id,))
