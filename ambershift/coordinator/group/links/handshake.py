"""The gate: whether a hello is let in, by name, group, voters and incarnation. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from ambershift.coordinator.group.links.wire import WIRE_VERSION, CloseReason, Hello, Refusal, Role


class LocalIdentity(NamedTuple):
    """What this member is at the moment; group and incarnation change while it runs."""

    name: str
    title: str
    voters: tuple[str, ...]
    members: frozenset[str]
    incarnation: int
    group: str


class HandshakeValidator:
    """Remembers under which incarnation and run each name was let in last."""

    def __init__(self) -> None:
        self.known = dict[str, tuple[int, str]]()

    def judge(self, mine: LocalIdentity, hello: Hello, loopback: bool = True) -> Refusal | None:
        """The refusal, or None; then its incarnation is the known one."""
        if hello.wire != WIRE_VERSION:
            return refused(CloseReason.UNREADABLE, f"wire version {hello.wire}, here it is {WIRE_VERSION}")
        if hello.title != mine.title:
            return refused(
                CloseReason.OTHER_GROUP, f"it is of group '{hello.title[:80]}', not '{mine.title}'"
            )
        if hello.to != mine.name:
            return refused(CloseReason.UNKNOWN_MEMBER, f"it wants '{hello.to[:80]}'; here is '{mine.name}'")
        if hello.role == Role.COUNTERS:
            if not loopback:
                return refused(CloseReason.UNKNOWN_MEMBER, "counters come from the same machine alone")
            return None
        if hello.role != Role.MEMBER or hello.name not in mine.members:
            return refused(CloseReason.UNKNOWN_MEMBER, f"'{hello.name[:80]}' is not among the members")
        if tuple(sorted(hello.voters)) != tuple(sorted(mine.voters)):
            return refused(
                CloseReason.OTHER_MEMBERS,
                f"its voters are {', '.join(hello.voters)[:400]}; here they are {', '.join(mine.voters)}",
            )
        if hello.name == mine.name:
            return refused(CloseReason.CLONED, "this is the member's own name", mine.incarnation)
        if hello.group and mine.group and hello.group != mine.group:
            return refused(
                CloseReason.OTHER_GROUP, f"it holds what group {hello.group[:80]} promised, not {mine.group}"
            )
        number, run = self.known.get(hello.name, (0, ""))
        if hello.incarnation < number:
            return refused(CloseReason.SUPERSEDED, f"'{hello.name}' lives under incarnation {number}", number)
        if hello.incarnation == number and run and run != hello.run:
            return refused(
                CloseReason.CLONED, f"another process is '{hello.name}' under incarnation {number}", number
            )
        self.known[hello.name] = hello.incarnation, hello.run
        return None


def refused(reason: CloseReason, why: str, known: int = 0) -> Refusal:
    return Refusal(reason.value, why, known)
