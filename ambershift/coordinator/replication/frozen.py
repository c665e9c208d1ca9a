"""Converts a replica's state between two calls into one plain tuple, and back, for the model checker."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.replication.core import Core
from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.tokens import TokenTable
from ambershift.coordinator.replication.types import Status

Frozen = tuple[Any, ...]  # In the order of the attributes of Core.
# Attributes of Core that are empty between two calls or follow from the others.
DERIVED_FIELDS = (
    "options",
    "effects",
    "messages_after_sync",
    "speculative_results",
    "uncommitted_tokens",
    "packed_snapshot",
)


def field_names(core: Core) -> list[str]:
    """The attributes of Core that are part of the frozen tuple."""
    return [name for name in vars(core) if name not in DERIVED_FIELDS]


def freeze(core: Core) -> Frozen:
    """The state as a hashable tuple; only between two calls."""
    assert not core.effects
    assert not core.messages_after_sync
    return tuple(to_plain_value(core, name) for name in field_names(core))


def to_plain_value(core: Core, name: str) -> Any:
    """One attribute as a hashable value."""
    value = getattr(core, name)
    if name == "state":
        return core.options.machine.pack(value)
    if isinstance(value, Log):
        return value.base, value.base_view, tuple(value.entries)
    if isinstance(value, TokenTable):
        return value.all()
    if isinstance(value, dict):
        return tuple(sorted(value.items()))
    if isinstance(value, list):
        return tuple(value)
    return value.value if isinstance(value, Status) else value


def thaw(core: Core, frozen: Frozen) -> Core:
    """Set the attributes of a new Core, which has them in their types, from a frozen tuple."""
    for name, plain in zip(field_names(core), frozen, strict=True):
        present, value = getattr(core, name), plain
        if name == "state":
            value = core.options.machine.unpack(plain)
        elif isinstance(present, Log):
            value = Log(*plain)
        elif isinstance(present, TokenTable):
            value = TokenTable(core.options.tuning.max_tokens, plain)
        elif isinstance(present, dict):
            value = dict(plain)
        elif isinstance(present, list):
            value = list(plain)
        elif isinstance(present, Status):
            value = Status(plain)
        setattr(core, name, value)
    return core
