"""What simulated operators sent and were told, what readers saw of it, and a judge of both.

A change without a clear answer may hold or not. Two changes may carry one version: then one content of it is
agreed, whoever sent it, and the other is never seen and never acknowledged.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ambershift.system.messages.items import ROUTE, SERVICE, Key


@dataclass(slots=True)
class Change:
    """One version of an item as it was sent; `body` None drops it. `at` is when it was acknowledged."""

    version: int
    body: dict[str, Any] | None
    sent: float
    at: float | None = None
    refused: bool = False


@dataclass(slots=True)
class Order:
    """An evacuation (`out`), or that it is taken back."""

    out: bool
    sent: float
    at: float | None = None
    refused: bool = False


@dataclass(slots=True)
class Sight:
    """What was seen of all items, by one who asked at `sent` and was answered at `at`."""

    sent: float
    at: float
    items: dict[Key, tuple[int, dict[str, Any]]]  # Version and body of what stands.
    zones: dict[str, bool] | None  # Where orders can be seen: which zones are evacuated.


@dataclass(slots=True)
class SentCall:
    """A configuration call, and the change of each item in it."""

    document: dict[str, Any]
    changes: dict[Key, Change]
    under_way: int = 0  # How many copies of it are out.

    @property
    def acknowledged(self) -> bool:
        return all(one.at is not None for one in self.changes.values())


@dataclass
class OperatorHistory:
    """All that was sent, and all that was seen."""

    changes: dict[Key, list[Change]] = field(default_factory=dict)
    orders: dict[str, list[Order]] = field(default_factory=dict)
    sights: list[Sight] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    calls: list[SentCall] = field(default_factory=list)

    def has_rival(self, call: SentCall) -> bool:
        """Whether another content was sent under a version that the call names."""
        return any(
            other.version == mine.version and other.body != mine.body
            for key, mine in call.changes.items()
            for other in self.changes.get(key, ())
        )

    def judge(self) -> list[str]:
        found = list(self.notes)
        for sight in self.sights:
            for key in self.changes.keys() | sight.items.keys():
                if wrong := self._item(key, sight):
                    found.append(f"{' '.join(key)} at {sight.at:.3f}: {wrong}")
            found += _dangling(sight)
            for zone, out in (sight.zones or {}).items():
                if not _explained(self.orders.get(zone, []), sight, out):
                    found.append(f"zone {zone} at {sight.at:.3f}: {out} is none of its orders")
        return found + self._contents()

    def _item(self, key: Key, sight: Sight) -> str | None:
        changes = self.changes.get(key, [])
        known = [one for one in changes if one.at is not None and one.at < sight.sent]
        floor = max((one.version for one in known), default=0)
        seen = sight.items.get(key)
        if seen is None:
            # Dropped by what is newer or was acknowledged, or not there yet.
            dropped = any(
                one.body is None
                and (one.version > floor or one in known)
                and one.version >= floor
                and not one.refused
                and one.sent < sight.at
                for one in changes
            )
            return f"is missing, version {floor} was acknowledged" if floor and not dropped else None
        version, body = seen
        of = [one for one in changes if (one.version, one.body) == (version, body) and one.sent < sight.at]
        if not of:
            return f"version {version} was never sent so"
        if all(one.refused for one in of):
            return f"version {version} was refused"
        return f"version {version} after {floor} was acknowledged" if version < floor else None

    def _contents(self) -> list[str]:
        """Versions of which more than one content was acknowledged or seen."""
        contents = defaultdict[tuple[Key, int], set[bytes]](set)
        for key, changes in self.changes.items():
            for one in changes:
                if one.at is not None:
                    contents[key, one.version].add(msgspec.json.encode(one.body, order="sorted"))
        for sight in self.sights:
            for key, (version, body) in sight.items.items():
                contents[key, version].add(msgspec.json.encode(body, order="sorted"))
        return [
            f"{' '.join(key)}: version {version} has {len(some)} contents"
            for (key, version), some in contents.items()
            if len(some) > 1
        ]


def _dangling(sight: Sight) -> list[str]:
    """Routes that stand though the service that they name doesn't."""
    return [
        f"route {name} at {sight.at:.3f}: names {body['Service']}, which does not stand"
        for (kind, name), (_, body) in sight.items.items()
        if kind == ROUTE and "Service" in body and (SERVICE, body["Service"]) not in sight.items
    ]


def _explained(orders: list[Order], sight: Sight, out: bool) -> bool:
    """Orders of a zone are given one after the other; the last one acknowledged holds, or one after it.

    One that never got an answer may have come up after all, but not over one given after it.
    """
    last = max(
        (at for at, one in enumerate(orders) if one.at is not None and one.at < sight.sent), default=-1
    )
    states = {orders[last].out if last >= 0 else False}
    states |= {one.out for one in orders[last + 1 :] if one.sent < sight.at and not one.refused}
    if last < 0:
        states.add(False)
    return out in states
