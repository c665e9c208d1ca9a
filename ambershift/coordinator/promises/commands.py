"""The commands of the replicated log: types only. What is added later must not change how old ones read."""

from __future__ import annotations

import msgspec

from ambershift.coordinator.maintenance.types import Declared, Permit, Phase


class ServerWish(msgspec.Struct, frozen=True, array_like=True):
    """As `admin.words.Change`, by the server's id in the list, which means the same at every member."""

    server: str
    state: int | None = None
    health: int | None = None
    weight: tuple[float, bool] | None = None  # A figure, and whether it is a part of the listed weight.
    as_listed: bool = False


class Wishes(msgspec.Struct, frozen=True, tag="wishes", array_like=True):
    """An operator's command: all of its changes or none. `text` is the whole of what was asked, payload and
    all: the digest under a token is made of it alone.
    """

    who: str
    text: str
    changes: tuple[ServerWish, ...]


class Declare(msgspec.Struct, frozen=True, tag="declare", array_like=True):
    """Tenants, windows and works of a settings file. A higher revision takes the place of a lower one; the
    same revision with other contents is refused.
    """

    declared: Declared


class Grant(msgspec.Struct, frozen=True, tag="grant", array_like=True):
    """Permits of one wave, judged by the leader against `based_on`, the number of the last entry that
    touched permits or what was declared. It stands only if that is still the last: of two leaders that judged
    by the same, one is refused.
    """

    based_on: int
    permits: tuple[Permit, ...]


class Move(msgspec.Struct, frozen=True, tag="move", array_like=True):
    """A permit goes on to a later phase, or gets another end; CLOSED gives it back.

    It stands if the permit itself has not changed since `based_on`, so that moves of several permits that
    were judged by one state all stand. `done` says, on the way to RETURNING, that the work has had its time.
    """

    based_on: int
    permit: str
    phase: Phase
    ends: int
    done: bool = False


class Answered(msgspec.Struct, frozen=True, tag="answered", array_like=True):
    """A refusal by the leader's judgement, written so that its token gets the same answer at every member;
    `text` is that of the refused `Wishes`, and its digest the same.
    """

    text: str
    reason: str
    answer: str


class Nothing(msgspec.Struct, frozen=True, tag="nothing", array_like=True):
    """What a new leader writes first, so that what lies before it gets committed."""


Command = Wishes | Declare | Grant | Move | Answered | Nothing
