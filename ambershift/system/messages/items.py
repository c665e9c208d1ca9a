"""Items of replicated control state, each with a version of its own. The higher version wins a merge."""

from __future__ import annotations

import msgspec

# A number that rises, and its author: OPERATOR_AUTHOR for the operator's versions, a control node's ip or ""
# for those that control nodes make. Disks of earlier programs have "" for the operator's versions too; it
# loses a tie, since such a version may never have been acknowledged.
Version = tuple[int, str]
OPERATOR_AUTHOR = "agreed"
Key = tuple[str, str]

ROUTE, SERVICE, LIMITS, ZONE, INSTANCE = "route", "service", "limits", "zone", "instance"
COLLECTED_INSTANCES_KIND = "cleared"
COLLECTED_INSTANCES_KEY: Key = (COLLECTED_INSTANCES_KIND, "instances")


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item of control state.

    ROUTE, SERVICE and LIMITS are the operator's configuration. ZONE is an evacuation: its body is `true`
    while nothing is to be sent to the zone, `false` after that was revoked. INSTANCE is a tombstone of a
    backend's incarnation: version (1, "") says that it drains, (2, "") that it is gone.
    COLLECTED_INSTANCES_KIND is a single item with a JSON list of the incarnations whose tombstones were
    collected last: a store that merges it drops these tombstones and accepts them no more.

    Attributes:
        kind: One of the constants above, or `tombstones.COLLECTED_TOMBSTONES_KIND`.
        name: Identifies the item among those of its kind.
        version: Decides which of two items with one key is newer.
        body: JSON; None if the item was dropped (a tombstone).
    """

    kind: str
    name: str
    version: Version
    body: bytes | None = None

    @property
    def key(self) -> Key:
        """Identifies the item among all versions of it."""
        return self.kind, self.name

    @property
    def rank(self) -> tuple[Version, bool, bytes]:
        """Of two items with one key the one of higher rank wins, on every replica."""
        return self.version, self.body is None, self.body or b""


def collected_instance_ids(item: Item) -> list[str]:
    """The incarnations that a COLLECTED_INSTANCES_KIND item lists, in the order of their collection."""
    return msgspec.json.decode(item.body or b"[]", type=list[str])


def newest(first: Item, second: Item) -> Item:
    """The item of the higher rank; `first` if they rank alike."""
    return second if second.rank > first.rank else first
