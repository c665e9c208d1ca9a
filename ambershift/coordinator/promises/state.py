"""The state that the log of a group builds, as one immutable value, and its encoding for snapshots."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from rpds import HashTrieMap

from ambershift.coordinator.admin.types import NO_OVERRIDE, Health, Origin, ServerOverride, State, Weight
from ambershift.coordinator.maintenance.types import Declared, Permit, Phase

FORMAT_VERSION = 1
NOTHING_DECLARED = Declared(0, (), ())


class UnreadableStateError(ValueError):
    """A packed state is malformed or of another format version; nothing of it is used."""


class OpenPermit(NamedTuple):
    """A permit that isn't closed.

    Attributes:
        permit: The permit.
        number: The entry that changed it last.
        done: Whether the work had its time.
        latest_end: The latest `ends` that it ever had. A member that hasn't learned of a sooner end keeps the
            server out until then.
    """

    permit: Permit
    number: int
    done: bool
    latest_end: int


class ServerHistory(NamedTuple):
    """The attempts at one server of a work.

    Attributes:
        tries: How often a permit was granted.
        done: Whether the work was done.
        granted: When a permit was granted last, Unix ns.
    """

    tries: int
    done: bool
    granted: int


class UnreadableCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command in the log that this version can't decode, with the number and time of its entry."""

    number: int
    at: int
    command: bytes


class GroupState(NamedTuple):
    """The state of a group; it is immutable, and later entries make new ones.

    Attributes:
        wishes: What operators want, by server id; servers that are as listed have no wish here.
        declared: The declared maintenance.
        permits: The open permits by id.
        history: The attempts by work and server, for the works that are declared.
        last_drains: By tenant, when a server of it was last drained, Unix ns.
        last_permit_entry: The number of the last entry that changed permits or the declaration.
        command_count: How many operators' commands changed something.
        unreadable: The last commands that could not be decoded.
        unreadable_count: How many there were.
    """

    wishes: HashTrieMap[str, ServerOverride]
    declared: Declared
    permits: HashTrieMap[str, OpenPermit]
    history: HashTrieMap[tuple[str, str], ServerHistory]
    last_drains: HashTrieMap[str, int]
    last_permit_entry: int
    command_count: int
    unreadable: tuple[UnreadableCommand, ...]
    unreadable_count: int

    def wish(self, server: str) -> ServerOverride:
        """Return what operators want of a server."""
        return self.wishes.get(server, NO_OVERRIDE)

    def held_out(self, at: int) -> dict[str, Permit]:
        """Return the servers that permits keep out for a member whose wall clock shows `at`, sorted by id.

        Operators' wishes apply beside the permits; the stricter one decides.
        """
        found = {
            held.permit.server: held.permit
            for held in self.permits.values()
            if held.permit.phase <= Phase.OUT and at < held.permit.ends
        }
        return dict(sorted(found.items()))

    def next_end(self, at: int) -> int | None:
        """Return when the next of these permits ends by that clock; None if there is none."""
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
    """A state as it is encoded in a snapshot; mappings are sorted lists of tuples."""

    version: int
    wishes: list[tuple[str, int, int, tuple[float, bool] | None, tuple[str, int, int]]]
    declared: Declared
    permits: list[tuple[Permit, int, bool, int]]
    history: list[tuple[str, str, int, bool, int]]
    last_drains: list[tuple[str, int]]
    last_permit_entry: int
    command_count: int
    unreadable: tuple[UnreadableCommand, ...]
    unreadable_count: int


_DECODER = msgspec.msgpack.Decoder(Packed)


def pack(state: GroupState) -> bytes:
    """Encode a state; equal states have equal bytes on every member."""
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
        (held.permit, held.number, held.done, held.latest_end) for _, held in sorted(state.permits.items())
    ]
    history = [(*key, one.tries, one.done, one.granted) for key, one in sorted(state.history.items())]
    return msgspec.msgpack.encode(
        Packed(
            FORMAT_VERSION,
            wishes,
            state.declared,
            permits,
            history,
            sorted(state.last_drains.items()),
            state.last_permit_entry,
            state.command_count,
            state.unreadable,
            state.unreadable_count,
        )
    )


def unpack(data: bytes) -> GroupState:
    """Decode a state.

    Raises:
        UnreadableStateError: The data is malformed or of another format version.
    """
    try:
        version: Any = msgspec.msgpack.decode(data)[0]
    except (msgspec.MsgspecError, ValueError, RecursionError, TypeError, LookupError) as error:
        raise UnreadableStateError(f"not a packed state ({error})") from None
    if version != FORMAT_VERSION:
        raise UnreadableStateError(f"format version {version!r:.20}; this program reads {FORMAT_VERSION}")
    try:
        packed = _DECODER.decode(data)
        wishes = {
            server: ServerOverride(State(state), Health(health), weight and Weight(*weight), Origin(*origin))
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
                for work, server, tries, done, granted in packed.history
            }
        ),
        HashTrieMap(dict(packed.last_drains)),
        packed.last_permit_entry,
        packed.command_count,
        packed.unreadable,
        packed.unreadable_count,
    )
