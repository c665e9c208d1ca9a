"""What the explorer needs of a model: states that are values, the steps out of each, and properties.

A model holds the real machines as values (they are thawed, driven by one step, and frozen again) beside a
small world around them. All that is in a state must be plain: numbers, text, bytes, named tuples and tuples
of these, so that it can be written down, fingerprinted and sent to another process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

import msgspec
import xxhash

State = TypeVar("State")


class Step(NamedTuple, Generic[State]):
    """One thing that may happen.

    `name` tells who did what, for the trace. `fair` names a class of steps of which one must come in the
    end where one is possible all the time. `local` claims three things, without which leaving other steps
    out would not be sound: the step commutes with every step of others that is possible beside it, and
    takes none of them away; no property sees it; and local steps alone make no cycle. A test holds the
    claims on explored states.
    """

    name: str
    state: State
    fair: str = ""
    local: bool = False


Check = Callable[[Any], str | None]


class Property(NamedTuple):
    """A sentence, and a function that gives None where it holds or tells why it doesn't."""

    name: str
    sentence: str
    check: Check


class Liveness(NamedTuple):
    """What must come to an end: `pending` is true in the states that fair steps must leave for good or
    again.
    """

    name: str
    sentence: str
    pending: Callable[[Any], bool]


class Model(Protocol):
    """A world small enough to be explored."""

    @property
    def name(self) -> str: ...

    @property
    def sentence(self) -> str: ...

    @property
    def kind(self) -> type: ...

    @property
    def properties(self) -> tuple[Property, ...]: ...

    @property
    def liveness(self) -> tuple[Liveness, ...]: ...

    @property
    def depth(self) -> int | None:
        """How deep it is explored unless asked otherwise; None: to the end."""

    def initial(self) -> Any: ...

    def steps(self, state: Any) -> Iterator[Step[Any]]: ...

    def orbit(self, state: Any) -> Iterable[Any]:
        """States that differ from this one only by names that mean nothing: all of them, itself among them,
        or
        one that is the same for all.
        """

    def key(self, state: Any) -> Any:
        """What of a state tells it from others; all of it, unless it holds the same thing in two forms."""

    def done(self, state: Any) -> bool:
        """Whether it is all right that nothing can happen any more here."""

    def show(self, state: Any) -> list[str]:
        """What each party believes, a line each, for the trace."""


def prop(check: Check) -> Property:
    """A property from a function whose docstring is its sentence."""
    return Property(check.__name__.replace("_", "-"), " ".join((check.__doc__ or "").split()), check)


class Base:
    """What most models have in common."""

    properties: tuple[Property, ...] = ()
    liveness: tuple[Liveness, ...] = ()
    depth: int | None = None

    def orbit(self, state: Any) -> Iterable[Any]:
        return (state,)

    def key(self, state: Any) -> Any:
        return state

    def done(self, state: Any) -> bool:
        return True

    def show(self, state: Any) -> list[str]:
        return [f"{name}: {value}" for name, value in zip(state._fields, state, strict=True)]


def write(state: Any) -> bytes:
    return msgspec.msgpack.encode(state)


def fingerprint(model: Model, state: Any, symmetry: bool, bits: int = 128) -> int:
    """The same for states that are the same but for names, if symmetry counts."""
    alike = model.orbit(state) if symmetry else (state,)
    data = min(write(model.key(one)) for one in alike)
    return xxhash.xxh3_128_intdigest(data) if bits == 128 else xxhash.xxh3_64_intdigest(data)
