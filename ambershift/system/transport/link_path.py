"""The URL path of a link, by which the dialling end says its message version, its role and its identity."""

from __future__ import annotations

from dataclasses import dataclass

from ambershift.system.messages.codec import WIRE_VERSION

CONTROL_NODE = "control"
PROXY = "desk"
PATH_PARTS = 5  # Of "/VERSION/KIND/NAME/INCARNATION", split at its slashes.


@dataclass(eq=False)
class PathError(Exception):
    """A path of another message version, of an unknown role, or without a name.

    Attributes:
        path: The path as it was received.
    """

    path: str


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """The machine at the dialling end of a link.

    Attributes:
        kind: Its role, `CONTROL_NODE` or `PROXY`.
        name: A control node's ip, or a proxy's name.
        incarnation: Random at each start of the process, so that a restarted one can be told from its
            predecessor.
    """

    kind: str
    name: str
    incarnation: str


def format_path(caller: PeerIdentity) -> str:
    """The path that this machine dials: "/VERSION/KIND/NAME/INCARNATION"."""
    return f"/{WIRE_VERSION}/{caller.kind}/{caller.name}/{caller.incarnation}"


def parse_path(path: str) -> PeerIdentity:
    """Parse a path that `format_path` has made.

    Raises:
        PathError: The path is of another version or of no known role, or lacks a name.
    """
    parts = path.split("/")
    if (
        len(parts) != PATH_PARTS
        or parts[1] != str(WIRE_VERSION)
        or parts[2] not in (CONTROL_NODE, PROXY)
        or not parts[3]
    ):
        raise PathError(path)
    return PeerIdentity(parts[2], parts[3], parts[4])
