"""All that the log of a group has made, as one value, and how it is packed for a snapshot."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from rpds import HashTrieMap

from ambershift.coordinator.admin.words import AS_LISTED, Health, Origin, Standing, State, Weight
from ambershift.coordinator.maintenance.types import Declared, Permit, Phase

VERSION = 1
NOTHING_DECLARED = Declared(0, (), ())


class UnreadableStateError(ValueError):
    """A packed state that is torn, or of a newer program; nothing of it is taken."""


class OpenPermit(NamedTuple):
    """An open permit; `number` is the entry that changed it last, `done` whether the work had its time.

    `latest` is the last `ends` that it ever had: a member that has not heard of a sooner one holds the server
    out to there.
    """

    permit: Permit
    number: int
    done: bool
    latest: int


class ServerHistory(NamedTuple):
    """What became of one server of a work: how often it was tried, whether the work was done there, and when
    it was granted last.
    """

    tries: int
    done: bool
    granted: int


class UnreadableCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command that this program can't read, as it stood in the log."""

    number: int
    at: int
    command: bytes


class GroupState(NamedTuple):
    """Whoever holds one sees no later change. Servers that stand as listed have no wish here."""

    wishes: HashTrieMap[str, Standing]
    declared: Declared
    permits: HashTrieMap[str, OpenPermit]  # The open ones, by id.
    past: HashTrieMap[tuple[str, str], ServerHistory]  # By work and server, of the works declared.
    drains: HashTrieMap[str, int]  # When each tenant last had a server drained.
    last_permit_entry: int  # The number of the last entry that touched permits or what is declared.
    commands: int  # Operators' commands that changed something.
    unreadable: tuple[UnreadableCommand, ...]  # The last ones that could not be read.
    unreadable_count: int  # How many there were.

    def wish(self, server: str) -> Standing:
        return self.wishes.get(server, AS_LISTED)

    def held_out(self, at: int) -> dict[str, Permit]:
        """The servers that permits keep out for a member whose wall clock shows `at`, in the order of their
        ids. The operator's word counts beside it: whichever is stricter holds.
        """
        found = {
            held.permit.server: held.permit
            for held in self.permits.values()
            if held.permit.phase <= Phase.OUT and at < held.permit.ends
        }
        return dict(sorted(found.items()))

    def next_end(self, at: int) -> int | None:
        """When the next of them ends by that clock."""
        return min(
            (
                held.permit.ends
                for held in self.permits.values()
                if held.permit.phase <= Phase.OUT and at < held.permit.ends
            ),
            default=None,
        )


EMPTY = GroupState(HashTrieMap(), NOTHING_DECLARED, HashTrieMap(), HashTrieMap(), HashTrieMap(), 0, 0, (), 0)


class Packed(msgspec.Struct, frozen=True, array_like=True):
    version: int
    wishes: list[tuple[str, int, int, tuple[float, bool] | None, tuple[str, int, int]]]
    declared: Declared
    permits: list[tuple[Permit, int, bool, int]]
    past: list[tuple[str, str, int, bool, int]]
    drains: list[tuple[str, int]]
    last_permit_entry: int
    commands: int
    unreadable: tuple[UnreadableCommand, ...]
    unreadable_count: int


DECODER = msgspec.msgpack.Decoder(Packed)


def pack(state: GroupState) -> bytes:
    """The same bytes on every member for the same state."""
    wishes = [
        (
            server,
            int(wish.state),
            int(wish.health),
            None if wish.weight is None else (wish.weight.figure, wish.weight.relative),
            (wish.origin.who, wish.origin.at, wish.origin.number),
        )
        for server, wish in sorted(state.wishes.items())
    ]
    permits = [
        (held.permit, held.number, held.done, held.latest) for _, held in sorted(state.permits.items())
    ]
    past = [(*key, one.tries, one.done, one.granted) for key, one in sorted(state.past.items())]
    return msgspec.msgpack.encode(
        Packed(
            VERSION,
            wishes,
            state.declared,
            permits,
            past,
            sorted(state.drains.items()),
            state.last_permit_entry,
            state.commands,
            state.unreadable,
            state.unreadable_count,
        )
    )


def unpack(data: bytes) -> GroupState:
    try:
        version: Any = msgspec.msgpack.decode(data)[0]
    except (msgspec.MsgspecError, ValueError, RecursionError, TypeError, LookupError) as error:
        raise UnreadableStateError(f"no packed state ({error})") from None
    if version != VERSION:
        raise UnreadableStateError(f"packed by version {version!r:.20}, this program reads {VERSION}")
    try:
        packed = DECODER.decode(data)
        wishes = {
            server: Standing(State(state), Health(health), weight and Weight(*weight), Origin(*origin))
            for server, state, health, weight, origin in packed.wishes
        }
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableStateError(str(error)) from None
    return GroupState(
        HashTrieMap(wishes),
        packed.declared,
        HashTrieMap({one[0].id: OpenPermit(*one) for one in packed.permits}),
        HashTrieMap(
            {
                (work, server): ServerHistory(tries, done, granted)
                for work, server, tries, done, granted in packed.past
            }
        ),
        HashTrieMap(dict(packed.drains)),
        packed.last_permit_entry,
        packed.commands,
        packed.unreadable,
        packed.unreadable_count,
    )
