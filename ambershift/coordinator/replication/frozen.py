"""A replica between two calls as one plain tuple, and back."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.replication.core import Core
from ambershift.coordinator.replication.log import Log
from ambershift.coordinator.replication.tokens import Tokens
from ambershift.coordinator.replication.types import Status

Frozen = tuple[Any, ...]  # In the order of the attributes of Core.
LEFT_OUT = ("fixed", "out", "vouching", "ahead", "open", "serving")  # Empty, or told by the rest.


def names(core: Core) -> list[str]:
    return [name for name in vars(core) if name not in LEFT_OUT]


def freeze(core: Core) -> Frozen:
    assert not core.out
    assert not core.vouching
    return tuple(plain(core, name) for name in names(core))


def plain(core: Core, name: str) -> Any:
    value = getattr(core, name)
    if name == "state":
        return core.fixed.machine.pack(value)
    if isinstance(value, Log):
        return value.base, value.base_view, tuple(value.entries)
    if isinstance(value, Tokens):
        return value.all()
    if isinstance(value, dict):
        return tuple(sorted(value.items()))
    if isinstance(value, list):
        return tuple(value)
    return value.value if isinstance(value, Status) else value


def thaw(core: Core, frozen: Frozen) -> Core:
    for name, value in zip(names(core), frozen, strict=True):
        old = getattr(core, name)
        if name == "state":
            value = core.fixed.machine.unpack(value)
        elif isinstance(old, Log):
            value = Log(*value)
        elif isinstance(old, Tokens):
            value = Tokens(core.fixed.tuning.max_tokens, value)
        elif isinstance(old, dict):
            value = dict(value)
        elif isinstance(old, list):
            value = list(value)
        elif isinstance(old, Status):
            value = Status(value)
        setattr(core, name, value)
    return core
