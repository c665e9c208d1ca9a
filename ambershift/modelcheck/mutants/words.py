"""What a broken variant is, and how it is put in place."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple
from unittest import mock


class Mutant(NamedTuple):
    """`property` is what must be found broken in `model`; "" for a harmless one. `change` gives what is put
    in place of the owner's `target`, which it is given. `seed`: the simulation shows it by this one, not the
    checker; `beyond`, in the tier beyond the promise.
    """

    name: str
    model: str
    property: str
    sentence: str
    owner: Any
    target: str
    change: Callable[[Any], Any]
    seed: int = 0
    beyond: bool = False


@contextmanager
def broken(mutant: Mutant) -> Iterator[None]:
    with mock.patch.object(mutant.owner, mutant.target, mutant.change(getattr(mutant.owner, mutant.target))):
        yield
