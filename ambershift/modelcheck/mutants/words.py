"""What a broken variant is, and how it is put in place."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple
from unittest import mock


class Mutant(NamedTuple):
    """`property` is what must be found broken in `model`; "" for a harmless one. `changes` are what is put
    in place
    of what: an owner, a name, and a function that is given the original."""

    name: str
    model: str
    property: str
    sentence: str
    owner: Any
    target: str
    change: Callable[[Any], Any]


@contextmanager
def broken(mutant: Mutant) -> Iterator[None]:
    with mock.patch.object(mutant.owner, mutant.target, mutant.change(getattr(mutant.owner, mutant.target))):
        yield
