"""What may be wrong with a configuration, with the item and the field where it was found."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One reason why a configuration is invalid.

    Attributes:
        item: "route NAME", "service NAME" or "limits"; empty for the document as a whole.
        field: The field's name, or the path of a part of the document such as "Upsert.Routes".
        reason: What is wrong, as the predicate of a sentence: "is not a positive number".
    """

    item: str
    field: str
    reason: str

    def __str__(self) -> str:
        """One line: item, field and reason."""
        return ": ".join(part for part in (self.item, self.field, self.reason) if part)


@dataclass(eq=False)
class InvalidError(Exception):
    """A configuration that must not come into force.

    Attributes:
        faults: All that was found wrong with it.
    """

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """All faults in one line."""
        return "; ".join(map(str, self.faults))
