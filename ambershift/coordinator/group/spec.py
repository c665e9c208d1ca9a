"""What a member knows of itself and its group at the start, from the settings."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.group.links.interfaces import Peer
from ambershift.coordinator.settings.checks import duration
from ambershift.coordinator.settings.group import Group, clock_ahead


class MemberSpec(NamedTuple):
    """A member and its group.

    Voters and learners are sorted by name, so in the same order at all members: leaders follow from it.

    Attributes:
        group_name: The group's name.
        name: This member's name.
        listen: The host and port it accepts links at.
        folder: Its folder; empty where nothing is kept on disk.
        voters: The names of the members that vote.
        learners: The names of the members that hold the log without a vote.
        peers: The other members.
        clock_bound: How far a clock may be from the median of the members' clocks, ns.
        clock_ahead: How far this member's wall clock is set ahead of the system's, ns.
    """

    group_name: str
    name: str
    listen: tuple[str, int]
    folder: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    peers: tuple[Peer, ...]
    clock_bound: int
    clock_ahead: int


def spec_of(group: Group) -> MemberSpec:
    """Return the spec for a block of the settings that was already checked."""
    members = sorted(group.member, key=lambda member: member.name)
    peers = [
        Peer(member.name, *split_address(member.address)) for member in members if member.name != group.me
    ]
    return MemberSpec(
        group.name,
        group.me,
        split_address(group.listen),
        group.folder,
        tuple(member.name for member in members if member.votes),
        tuple(member.name for member in members if not member.votes),
        tuple(peers),
        duration(group.clock_bound) or 0,
        clock_ahead(group.clock_ahead) or 0,
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
