"""An item of control state: what is held in common, each with a version of its own."""

from __future__ import annotations

import msgspec

# A number that rises, and who made it: AGREED for the operator's versions ("" on disks of earlier programs,
# which lose a tie: nobody may have acknowledged them), the machine for those we make.
Version = tuple[int, str]
AGREED = "agreed"
Key = tuple[str, str]

ROUTE, SERVICE, LIMITS, ZONE, INSTANCE = "route", "service", "limits", "zone", "instance"
CLEARED = "cleared"
CLEARED_INSTANCES_KEY: Key = (CLEARED, "instances")


class Item(msgspec.Struct, frozen=True, array_like=True):
    """`kind` is one of the above. `body` is JSON, None for what is dropped (a tombstone).

    ZONE is an evacuation: body `true` while nothing is to be sent there, `false` after it was taken back.
    INSTANCE is a backend's life that ends: version (1, "") draining, (2, "") gone.
    CLEARED is one item: JSON list of the lives last forgotten. Whoever merges it drops their items and takes
    none of them.
    """

    kind: str
    name: str
    version: Version
    body: bytes | None = None

    @property
    def key(self) -> Key:
        return self.kind, self.name

    @property
    def rank(self) -> tuple[Version, bool, bytes]:
        """Of two items with one key the higher rank holds; with equal versions all choose alike."""
        return self.version, self.body is None, self.body or b""


def cleared_instances(item: Item) -> list[str]:
    """The lives that a CLEARED item names, in the order of their clearing."""
    return msgspec.json.decode(item.body or b"[]", type=list[str])


def newest(first: Item, second: Item) -> Item:
    return second if second.rank > first.rank else first
