"""The settings block `group`: who the members are, where they are reached, and what one of them is.

group {
  name   = "archive"
  me     = "n1"
  listen = "127.0.0.1:7101"
  folder = "/var/lib/ambershift/n1"
  member "n1" { address = "127.0.0.1:7101" }
  member "n2" { address = "127.0.0.1:7202" }
  member "n3" { address = "127.0.0.1:7303" }
}
"""

from __future__ import annotations

import re

import msgspec

from ambershift.coordinator.settings.checks import Complaint, duration, split

NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
VOTERS = (1, 3, 5, 7)
MEMBERS_MOST = 16


class GroupMember(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the others reach this one; one that does not vote holds a further copy."""

    name: str
    address: str
    votes: bool = True


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`clock_ahead` is added to this member's clock, to try clocks that are apart; it may be negative."""

    name: str
    me: str
    listen: str
    folder: str = ""
    clock_bound: str = "1s"
    clock_ahead: str = "0s"
    member: tuple[GroupMember, ...] = ()


def clock_ahead(text: str) -> int | None:
    """Nanoseconds, negative for a clock that is behind; None for what is no such time."""
    digits = text.removeprefix("-")
    if re.fullmatch(r"0(ms|s|m|h)?", digits):
        return 0
    value = duration(digits)
    return None if value is None else -value if text.startswith("-") else value


def check_group(group: Group, complain: Complaint) -> None:
    """What types alone don't tell; keys are named as in the file."""
    if not NAME.fullmatch(group.name):
        raise complain("group.name", f"'{group.name}' is no name of letters, digits, '_', '.' and '-'")
    split(group.listen, "group.listen", complain, "the talk of the members")
    if group.folder and (not group.folder.startswith("/") or "\0" in group.folder):
        raise complain("group.folder", f"'{group.folder}' is no absolute path")
    if duration(group.clock_bound) is None:
        raise complain("group.clock_bound", f'\'{group.clock_bound}\' is no time such as "500ms" or "1s"')
    if clock_ahead(group.clock_ahead) is None:
        raise complain("group.clock_ahead", f'\'{group.clock_ahead}\' is no time such as "2s" or "-2s"')
    names, addresses = dict[str, str](), dict[str, str]()
    for at, one in enumerate(group.member):
        key = f"group.member[{at}]"
        if not NAME.fullmatch(one.name):
            raise complain(key, f"'{one.name}' is no name of letters, digits, '_', '.' and '-'")
        if one.name in names:
            raise complain(key, f"two members are called '{one.name}'; the other is {names[one.name]}")
        names[one.name] = key
        host, port = split(one.address, f"{key}.address", complain, "the talk of the members")
        place = f"{host}:{port}"
        if place in addresses:
            raise complain(f"{key}.address", f"'{place}' is the address of {addresses[place]} too")
        addresses[place] = one.name
    if len(group.member) > MEMBERS_MOST:
        raise complain("group.member", f"{len(group.member)} members; there may be {MEMBERS_MOST}")
    if group.me not in names:
        raise complain("group.me", f"'{group.me}' is not among the members: {', '.join(names) or 'none'}")
    voters = sum(one.votes for one in group.member)
    if voters not in VOTERS:
        raise complain(
            "group.member",
            f"{voters} of the members vote; it takes 1, 3, 5 or 7, as an even "
            "number bears no more losses than the odd one below",
        )
