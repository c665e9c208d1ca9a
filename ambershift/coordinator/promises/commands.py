"""The commands of the replicated log. Additions must not change how commands of older logs are decoded."""

from __future__ import annotations

import msgspec

from ambershift.coordinator.maintenance.types import Declared, Permit, Phase


class WishOne(msgspec.Struct, frozen=True, array_like=True):
    """The change of one server: `admin.words.Change` with the id of the list, the same on every member.

    Its `repr`, class name included, is part of the text of a refusal, which is stored with the token.
    """

    server: str
    state: int | None = None
    health: int | None = None
    weight: tuple[float, bool] | None = None  # A number, and whether it is relative to the listed weight.
    as_listed: bool = False


class Wishes(msgspec.Struct, frozen=True, tag="wishes", array_like=True):
    """An operator's command; all of its changes are made or none.

    `text` is the whole request, its payload included. The digest that is kept with a token covers it alone.
    """

    who: str
    text: str
    changes: tuple[WishOne, ...]


class Declare(msgspec.Struct, frozen=True, tag="declare", array_like=True):
    """Tenants, windows and works of a settings file.

    A higher revision replaces a lower one; the same revision with other contents is refused.
    """

    declared: Declared


class Grant(msgspec.Struct, frozen=True, tag="grant", array_like=True):
    """The permits of one wave.

    `based_on` is the last entry that changed permits or the declaration when the leader decided. The grant is
    refused if another such entry came since: of two leaders that decided on the same state, one is refused.
    """

    based_on: int
    permits: tuple[Permit, ...]


class Move(msgspec.Struct, frozen=True, tag="move", array_like=True):
    """Moves a permit to a later phase, or changes its end; CLOSED removes it.

    It takes effect if the permit itself hasn't changed since the entry `based_on`. Moves of several permits
    that were decided on one state therefore all take effect. `done` says, with RETURNING, that the work had
    its time.
    """

    based_on: int
    permit: str
    phase: Phase
    ends: int
    done: bool = False


class Answered(msgspec.Struct, frozen=True, tag="answered", array_like=True):
    """A refusal by the leader, logged so that its token gets the same answer from every member.

    `text` is that of the refused `Wishes`, so that both have the same digest.
    """

    text: str
    reason: str
    answer: str


class Nothing(msgspec.Struct, frozen=True, tag="nothing", array_like=True):
    """A no-op, which a new leader appends first so that the entries before it get committed."""


Command = Wishes | Declare | Grant | Move | Answered | Nothing
