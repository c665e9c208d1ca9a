"""What a link's path tells: the version of the messages, who dials, and as what."""

from __future__ import annotations

from dataclasses import dataclass

from ambershift.system.messages.codec import WIRE

CONTROL_NODE, PROXY = "control", "desk"


@dataclass(eq=False)
class PathError(Exception):
    """A path that is not of this version, or names no kind of program that we know."""

    path: str


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who dialled: a control node by its ip, a proxy by its name. `life` is random at each start."""

    kind: str
    name: str
    incarnation: str


def format_path(caller: PeerIdentity) -> str:
    return f"/{WIRE}/{caller.kind}/{caller.name}/{caller.incarnation}"


def parse_path(path: str) -> PeerIdentity:
    """Raises `PathError`."""
    parts = path.split("/")
    if len(parts) != 5 or parts[1] != str(WIRE) or parts[2] not in (CONTROL_NODE, PROXY) or not parts[3]:
        raise PathError(path)
    return PeerIdentity(parts[2], parts[3], parts[4])
