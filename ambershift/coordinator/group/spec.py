"""What a member is told of its group at the start, from the settings."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.group.links.interfaces import Peer
from ambershift.coordinator.settings.checks import duration
from ambershift.coordinator.settings.group import Group, clock_ahead


class MemberSpec(NamedTuple):
    """Voters and copies stand in the order of their names, the same at all members: leaders follow from it.
    Times are nanoseconds.
    """

    title: str
    me: str
    listen: tuple[str, int]
    folder: str
    voters: tuple[str, ...]
    copies: tuple[str, ...]
    peers: tuple[Peer, ...]
    clock_bound: int
    clock_ahead: int


def spec_of(group: Group) -> MemberSpec:
    """From settings that were checked."""
    members = sorted(group.member, key=lambda one: one.name)
    peers = [Peer(one.name, *place(one.address)) for one in members if one.name != group.me]
    return MemberSpec(
        group.name,
        group.me,
        place(group.listen),
        group.folder,
        tuple(one.name for one in members if one.votes),
        tuple(one.name for one in members if not one.votes),
        tuple(peers),
        duration(group.clock_bound) or 0,
        clock_ahead(group.clock_ahead) or 0,
    )


def place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
