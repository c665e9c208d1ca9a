"""The state machine of the replicated log: wishes, declared maintenance and permits. It is deterministic."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import sha256

import msgspec
from rpds import HashTrieMap

from ambershift.coordinator.admin.changes import apply_change, is_weight_in_range
from ambershift.coordinator.admin.types import (
    NO_ORIGIN,
    NO_OVERRIDE,
    Change,
    Health,
    Origin,
    Reason,
    State,
    Weight,
)
from ambershift.coordinator.maintenance.types import Phase, Refusal
from ambershift.coordinator.maintenance.validation import find_declaration_error
from ambershift.coordinator.promises.codec import (
    MAX_COMMAND_BYTES,
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
    Wishes,
    WishOne,
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

MAX_WISHES = 20_000  # As many as the controller lets wait; a fleet has fewer servers.
MAX_UNREADABLE_COMMANDS = 256  # Kept in the state; the count goes on.
# A grant that was decided longer ago is refused: servers may have failed meanwhile.
MAX_GRANT_AGE_NS = 10_000_000_000
NO_HISTORY = ServerHistory(0, False, 0)

# Called only by the leader, before it appends a command, for checks that need more than the log, such as
# those of the controller. Returns a refusal, or None to accept.
Guard = Callable[[GroupState, int, Command], Outcome | None]


class GroupStateMachine:
    """Implements `replication.types.Machine`."""

    def __init__(self, guard: Guard | None = None) -> None:
        """Create the state machine; `guard` is asked before the leader appends a command."""
        self.guard = guard

    def initial(self) -> GroupState:
        """Return the state of an empty log."""
        return EMPTY

    def validate(self, state: GroupState, at: int, command: bytes) -> bytes | None:
        """Return the refusal of a command that the leader must not append; None if it may.

        Args:
            state: The state of the log, uncommitted entries included.
            at: The wall clock that the entry would get.
            command: The encoded command.
        """
        decoded = decode_command(command)
        if decoded is None:
            return encode_outcome(refuse_undecodable(command))
        if isinstance(decoded, Answered):
            return None  # It logs a refusal, and is itself accepted.
        _, outcome = apply_command(state, 0, at, decoded)
        if outcome.done and self.guard is not None:
            # Wishes that change nothing skip the guard: a repeated command gets its first answer again.
            changes = bool(outcome.changed) or not isinstance(decoded, Wishes)
            outcome = (self.guard(state, at, decoded) if changes else None) or outcome
        return None if outcome.done else encode_outcome(outcome)

    def apply(self, state: GroupState, entry: Entry) -> tuple[GroupState, bytes]:
        """Return the state after an entry, and the encoded outcome."""
        command = decode_command(entry.command)
        if command is None:
            unreadable = (*state.unreadable, UnreadableCommand(entry.number, entry.at, entry.command))
            state = state._replace(
                unreadable=unreadable[-MAX_UNREADABLE_COMMANDS:], unreadable_count=state.unreadable_count + 1
            )
            return state, encode_outcome(refuse_undecodable(entry.command))
        state, outcome = apply_command(state, entry.number, entry.at, command)
        return state, encode_outcome(outcome)

    def digest(self, command: bytes) -> bytes:
        """Return the digest that a repeated token must match.

        Of an operator's command it covers the text alone: who sent it, and which servers a name stood for,
        may differ.
        """
        decoded = decode_command(command)
        data = decoded.text.encode() if isinstance(decoded, Wishes | Answered) else command
        return sha256(data).digest()[:16]

    def pack(self, state: GroupState) -> bytes:
        """Encode a state for a snapshot."""
        return pack(state)

    def unpack(self, data: bytes) -> GroupState:
        """Decode a state of a snapshot.

        Raises:
            UnreadableStateError: The data is malformed or of another format version.
        """
        return unpack(data)


def refuse_undecodable(command: bytes) -> Outcome:
    """Return the outcome of a command that can't be decoded."""
    if len(command) > MAX_COMMAND_BYTES:
        return refused(
            CommandRefusal.TOO_LARGE, f"{len(command)} bytes; a command has {MAX_COMMAND_BYTES} at most"
        )
    return refused(CommandRefusal.UNKNOWN, "this program can't read it; a newer one may")


def apply_command(state: GroupState, number: int, at: int, command: Command) -> tuple[GroupState, Outcome]:
    """Return the state after a command and its outcome; a refused command leaves the state as it is.

    Args:
        state: The state before the command.
        number: The number of the entry.
        at: The wall clock of the entry, Unix ns.
        command: The command.
    """
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


def to_desk_change(server_wish: WishOne) -> Change | None:
    """Return the change for the controller, without its server; None if a value is invalid."""
    try:
        state = None if server_wish.state is None else State(server_wish.state)
        health = None if server_wish.health is None else Health(server_wish.health)
    except ValueError:
        return None
    weight = None if server_wish.weight is None else Weight(*server_wish.weight)
    change = Change(-1, state, health, weight, server_wish.as_listed)
    return change if server_wish.server else None


def wish(state: GroupState, at: int, command: Wishes) -> tuple[GroupState, Outcome]:
    """Apply an operator's command."""
    wishes, origin = state.wishes, Origin(command.who, at, state.command_count + 1)
    for server_wish in command.changes:
        change = to_desk_change(server_wish)
        if change is None:
            return state, refused(
                CommandRefusal.BAD_WISH, f"no wish that a server can have: {server_wish!r:.200}"
            )
        if not is_weight_in_range(change):
            return state, refused(Reason.WEIGHT_OUT_OF_RANGE, server_wish.server)
        old = wishes.get(server_wish.server, NO_OVERRIDE)
        wishes = wishes.insert(server_wish.server, apply_change(old, change)._replace(origin=origin))
    # An equal wish is no change, so that a command that is sent twice takes effect once.
    named = dict.fromkeys(server_wish.server for server_wish in command.changes)
    changed = tuple(
        server
        for server in named
        if wishes.get(server, NO_OVERRIDE)._replace(origin=NO_ORIGIN)
        != state.wish(server)._replace(origin=NO_ORIGIN)
    )
    for server in named:
        old = state.wish(server)
        new = wishes.get(server, NO_OVERRIDE) if server in changed else old
        # Wishes that are as listed are removed: over years, ids come and go.
        is_as_listed = new._replace(origin=NO_ORIGIN) == NO_OVERRIDE
        wishes = wishes.discard(server) if is_as_listed else wishes.insert(server, new)
    if not changed:
        return state, Outcome(True, number=state.command_count)
    if len(wishes) > MAX_WISHES:
        return state, refused(
            CommandRefusal.TOO_MANY_WISHES, f"{MAX_WISHES} servers at most have a wish of their own"
        )
    state = state._replace(wishes=wishes, command_count=state.command_count + 1)
    return state, Outcome(True, number=state.command_count, changed=changed)


def declare(state: GroupState, number: int, command: Declare) -> tuple[GroupState, Outcome]:
    """Replace the declared maintenance by that of a higher revision."""
    new, old = command.declared, state.declared
    if new == old:
        return state, Outcome(True)
    if error := find_declaration_error(new):
        return state, refused(CommandRefusal.UNSOUND, error)
    if new.revision < old.revision:
        return state, refused(
            CommandRefusal.OLDER_REVISION,
            f"revision {new.revision} is older than the declared revision {old.revision}",
        )
    if new.revision == old.revision:
        return state, refused(
            CommandRefusal.OTHER_CONTENTS,
            f"revision {old.revision} is declared with other contents; use a higher revision",
        )
    works = {work.name for work in new.works}
    history: HashTrieMap[tuple[str, str], ServerHistory] = HashTrieMap(
        {key: one for key, one in state.history.items() if key[0] in works}
    )
    tenants = {tenant.name for tenant in new.tenants}
    last_drains = HashTrieMap({name: at for name, at in state.last_drains.items() if name in tenants})
    state = state._replace(declared=new, history=history, last_drains=last_drains, last_permit_entry=number)
    return state, Outcome(True)


def grant(state: GroupState, number: int, at: int, command: Grant) -> tuple[GroupState, Outcome]:
    """Open the permits of a wave.

    If two leaders decided on the same state, the second grant finds another last entry and is refused.
    """
    if any(at > permit.granted + MAX_GRANT_AGE_NS for permit in command.permits):
        return state, refused(Refusal.CHANGED_MEANWHILE, "the grant is too old")
    if command.based_on != state.last_permit_entry:
        return state, refused(
            Refusal.CHANGED_MEANWHILE,
            f"based on entry {command.based_on}, but entry {state.last_permit_entry} came since",
        )
    works = {work.name: work for work in state.declared.works}
    servers_out = {held.permit.server for held in state.permits.values()}
    permits, history, last_drains = state.permits, state.history, state.last_drains
    for permit in command.permits:
        if permit.work not in works or permit.server not in works[permit.work].servers:
            return state, refused(CommandRefusal.NO_SUCH_WORK, f"{permit.work}/{permit.server}")
        if permit.server in servers_out or permit.id in permits:
            return state, refused(Refusal.ALREADY_OUT, permit.server)
        if permit.phase is not Phase.DRAINING or permit.ends <= permit.granted:
            return state, refused(
                CommandRefusal.PHASE, f"{permit.id} doesn't start with draining, or has ended"
            )
        servers_out.add(permit.server)
        permits = permits.insert(permit.id, OpenPermit(permit, number, False, permit.ends))
        key = permit.work, permit.server
        before = history.get(key, NO_HISTORY)
        history = history.insert(key, before._replace(tries=before.tries + 1, granted=permit.granted))
        for name in permit.tenants:
            last_drains = last_drains.insert(name, max(last_drains.get(name, 0), permit.granted))
    if not command.permits:
        return state, Outcome(True)
    changed = tuple(permit.id for permit in command.permits)
    return (
        state._replace(permits=permits, history=history, last_drains=last_drains, last_permit_entry=number),
        Outcome(True, changed=changed),
    )


def move(state: GroupState, number: int, command: Move) -> tuple[GroupState, Outcome]:
    """Move a permit to a later phase, change its end, or close it."""
    held = state.permits.get(command.permit)
    if held is None:
        return state, refused(CommandRefusal.NO_SUCH_PERMIT, command.permit)
    permit = held.permit
    if held.number > command.based_on:
        return state, refused(
            Refusal.CHANGED_MEANWHILE,
            f"based on entry {command.based_on}, but entry {held.number} changed the permit since",
        )
    if command.phase < permit.phase:
        return state, refused(CommandRefusal.PHASE, f"{permit.id} is {permit.phase.name.lower()} already")
    done = held.done or command.done
    if command.phase is Phase.CLOSED:
        key, permits = (permit.work, permit.server), state.permits.remove(permit.id)
        history = state.history
        if any(work.name == permit.work for work in state.declared.works):
            before = history.get(key, NO_HISTORY)
            history = history.insert(key, before._replace(done=before.done or done))
        state = state._replace(permits=permits, history=history, last_permit_entry=number)
        return state, Outcome(True, changed=(permit.id,))
    # RETURNING keeps the end: its server counts as out until the permit is closed.
    ends = permit.ends if command.phase is Phase.RETURNING else command.ends
    moved = msgspec.structs.replace(permit, phase=command.phase, ends=ends)
    if moved == permit and done == held.done:
        return state, Outcome(True)
    state = state._replace(
        permits=state.permits.insert(permit.id, OpenPermit(moved, number, done, max(held.latest_end, ends))),
        last_permit_entry=number,
    )
    return state, Outcome(True, changed=(permit.id,))
