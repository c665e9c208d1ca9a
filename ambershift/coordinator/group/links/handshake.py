"""The handshake of a link: whether a hello is accepted, by name, group, voters and incarnation. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.group.links.wire import WIRE_VERSION, CloseReason, Hello, Refusal, Role


class LocalIdentity(NamedTuple):
    """What this member is now; its incarnation and group id change while it runs.

    Attributes:
        name: Its name.
        group_name: The group's name in the settings.
        voters: The names of the voters in its settings.
        members: The names of all members in its settings.
        incarnation: Its incarnation.
        group_id: The id of the group whose log it holds; empty while it knows none.
    """

    name: str
    group_name: str
    voters: tuple[str, ...]
    members: frozenset[str]
    incarnation: int
    group_id: str


class HandshakeValidator:
    """Accepts or refuses hellos.

    Attributes:
        accepted: The incarnation and the run id under which each member was accepted last, by its name.
    """

    def __init__(self) -> None:
        """Start with no member accepted."""
        self.accepted = dict[str, tuple[int, str]]()

    def check(self, local: LocalIdentity, hello: Hello, loopback: bool = True) -> Refusal | None:
        """Return the refusal of a hello, or None and record its incarnation.

        Args:
            local: This member.
            hello: What the other side sent.
            loopback: Whether the connection comes from this machine.
        """
        if hello.wire != WIRE_VERSION:
            return refusal(CloseReason.UNREADABLE, f"wire version {hello.wire}, here it is {WIRE_VERSION}")
        if hello.title != local.group_name:
            return refusal(
                CloseReason.OTHER_GROUP, f"it is of group '{hello.title[:80]}', not '{local.group_name}'"
            )
        if hello.to != local.name:
            return refusal(CloseReason.UNKNOWN_MEMBER, f"it wants '{hello.to[:80]}'; here is '{local.name}'")
        if hello.role == Role.COUNTERS:
            if not loopback:
                return refusal(CloseReason.UNKNOWN_MEMBER, "counters come from the same machine alone")
            return None
        if hello.role != Role.MEMBER or hello.name not in local.members:
            return refusal(CloseReason.UNKNOWN_MEMBER, f"'{hello.name[:80]}' is not among the members")
        if tuple(sorted(hello.voters)) != tuple(sorted(local.voters)):
            return refusal(
                CloseReason.OTHER_MEMBERS,
                f"its voters are {', '.join(hello.voters)[:400]}; here they are {', '.join(local.voters)}",
            )
        if hello.name == local.name:
            return refusal(CloseReason.CLONED, "this is the member's own name", local.incarnation)
        if hello.group and local.group_id and hello.group != local.group_id:
            return refusal(
                CloseReason.OTHER_GROUP,
                f"it holds what group {hello.group[:80]} promised, not {local.group_id}",
            )
        known_incarnation, known_run = self.accepted.get(hello.name, (0, ""))
        if hello.incarnation < known_incarnation:
            return refusal(
                CloseReason.SUPERSEDED,
                f"'{hello.name}' lives under incarnation {known_incarnation}",
                known_incarnation,
            )
        if hello.incarnation == known_incarnation and known_run and known_run != hello.run:
            return refusal(
                CloseReason.CLONED,
                f"another process is '{hello.name}' under incarnation {known_incarnation}",
                known_incarnation,
            )
        self.accepted[hello.name] = hello.incarnation, hello.run
        return None


def refusal(reason: CloseReason, why: str, known: int = 0) -> Refusal:
    """Return the reply that refuses a hello."""
    return Refusal(reason.value, why, known)
