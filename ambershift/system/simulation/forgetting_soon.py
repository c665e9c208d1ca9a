"""Lets simulated control nodes forget drops within a second, one at a time, and broken variants of it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from ambershift.modelcheck.mutants.words import Mutant
from ambershift.system.configuration import orders
from ambershift.system.consensus import forgetting, store, writing
from ambershift.system.messages import forgotten
from ambershift.system.simulation.variant import constant, of
from ambershift.system.steps import MS


@contextmanager
def forgetting_soon() -> Iterator[None]:
    """No drop is kept, each is a batch of its own, and two are listed."""
    with (
        patch.object(forgetting, "KEPT", 0),
        patch.object(forgetting, "BATCH", 1),
        patch.object(forgetting, "EVERY", 300 * MS),
        patch.object(forgotten, "LISTED", 2),
    ):
        yield


def on_enough(real: Any) -> Any:
    def put(self: writing.Writing, items: Any, deadline: int, done: Any, on_all: bool = False) -> None:
        real(self, items, deadline, done)

    return put


def from_anybody(real: Any) -> Any:
    def merge(self: store.Store, items: Any, batch: int | None = None) -> bool:
        taken: bool = real(self, items)
        return taken

    return merge


def never_replaced(real: Any) -> Any:
    def forget(self: store.Store, by: forgotten.Forgotten) -> None:
        self.forgotten = by  # As if it had known the batch before.
        real(self, by)

    return forget


VARIANTS: tuple[Mutant, ...] = (
    of(
        "forgotten-by-a-majority",
        "CONFIG",
        "drops are forgotten once a majority holds them, though a voter may have the item still",
        writing.Writing,
        "put",
        on_enough,
    ),
    of(
        "old-copies-are-merged",
        "CONFIG",
        "the configuration of a machine that was away for long is merged",
        store.Store,
        "merge",
        from_anybody,
    ),
    of(
        "old-configuration-is-kept",
        "CONFIG",
        "a machine that was away for long keeps what it had, whatever was dropped meanwhile",
        store.Store,
        "_forget",
        never_replaced,
    ),
    of(
        "late-calls-judged-without-the-floor",
        "CONFIG",
        "a call of before forgotten drops is judged as if nothing had been dropped",
        orders.Order,
        "unclear",
        constant(lambda self, held, floor, known: ()),
    ),
)
BY_NAME = {one.name: one for one in VARIANTS}
