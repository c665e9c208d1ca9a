"""The commands of the replicated log: types only. What is added later must not change how old ones read."""

from __future__ import annotations

import msgspec

from ambershift.maintenance.words import Declared, Permit, Phase


class WishOne(msgspec.Struct, frozen=True, array_like=True):
    """As `admin.words.Change`, by the server's id in the list, which means the same at every member."""

    server: str
    state: int | None = None
    health: int | None = None
    weight: tuple[float, bool] | None = None  # A figure, and whether it is a part of the listed weight.
    as_listed: bool = False


class Wishes(msgspec.Struct, frozen=True, tag="wishes", array_like=True):
    """An operator's command: all of its changes or none."""

    who: str
    text: str
    changes: tuple[WishOne, ...]


class Declare(msgspec.Struct, frozen=True, tag="declare", array_like=True):
    """Tenants, windows and works of a settings file. A higher revision takes the place of a lower one; the
    same revision with other contents is refused."""

    declared: Declared


class Grant(msgspec.Struct, frozen=True, tag="grant", array_like=True):
    """Permits of one wave, judged by the leader against `based_on`, the number of the last entry that
    touched permits or what was declared. It stands only if that is still the last: of two leaders that judged
    by the same, one is refused."""

    based_on: int
    permits: tuple[Permit, ...]


class Move(msgspec.Struct, frozen=True, tag="move", array_like=True):
    """A permit goes on to a later phase, or gets a later end; CLOSED gives it back."""

    based_on: int
    permit: str
    phase: Phase
    ends: int


class Nothing(msgspec.Struct, frozen=True, tag="nothing", array_like=True):
    """What a new leader writes first, so that what lies before it gets committed."""


Command = Wishes | Declare | Grant | Move | Nothing
