"""What may be wrong with a configuration, each with the item and the field it was found in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """`item` is "route NAME", "service NAME" or "limits" ("" for the document as a whole)."""

    item: str
    field: str
    reason: str

    def __str__(self) -> str:
        return ": ".join(part for part in (self.item, self.field, self.reason) if part)


@dataclass(eq=False)
class InvalidError(Exception):
    """A configuration that must not come into force, with all that was found wrong with it."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(map(str, self.faults))
