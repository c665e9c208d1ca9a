"""Broken variants of how dropped items are forgotten, to be played with `forgetting_soon`."""

from __future__ import annotations

from typing import Any

from ambershift.modelcheck.mutants.words import Mutant
from ambershift.system.configuration import change_request
from ambershift.system.consensus import anti_entropy, item_store, quorum_write, replica
from ambershift.system.messages import tombstones
from ambershift.system.simulation.variant import constant, of


def on_enough(real: Any) -> Any:
    def write(
        self: quorum_write.QuorumWriter, items: Any, deadline: int, done: Any, to_all_voters: bool = False
    ) -> None:
        real(self, items, deadline, done)

    return write


def from_anybody(real: Any) -> Any:
    def merge(self: item_store.ItemStore, items: Any, batch: int | None = None) -> bool:
        taken: bool = real(self, items)
        return taken

    return merge


def never_replaced(real: Any) -> Any:
    def forget(self: item_store.ItemStore, by: tombstones.CollectedTombstones) -> None:
        self.collected = by  # As if it had known the batch before.
        real(self, by)

    return forget


def voted_for_all_the_same(real: Any) -> Any:
    def merge(self: replica.Replica, message: Any) -> bool:
        real(self, message)
        return True

    return merge


def without_the_batch_before(real: Any) -> Any:
    def write(
        self: quorum_write.QuorumWriter, items: Any, deadline: int, done: Any, to_all_voters: bool = False
    ) -> None:
        some = [one for one in items if not to_all_voters or one.key != tombstones.COLLECTED_TOMBSTONES_KEY]
        real(self, some, deadline, done, to_all_voters)

    return write


VARIANTS: tuple[Mutant, ...] = (
    of(
        "forgotten-by-a-majority",
        "CONFIG",
        "drops are forgotten once a majority holds them, though a voter may have the item still",
        quorum_write.QuorumWriter,
        "write",
        on_enough,
    ),
    of(
        "old-copies-are-merged",
        "CONFIG",
        "the configuration of a machine that was away for long is merged",
        item_store.ItemStore,
        "merge",
        from_anybody,
    ),
    of(
        "old-configuration-is-kept",
        "CONFIG",
        "a machine that was away for long keeps what it had, whatever was dropped meanwhile",
        item_store.ItemStore,
        "_collect",
        never_replaced,
    ),
    of(
        "fetched-parts-outlive-a-replacement",
        "CONFIG",
        "what was fetched before the configuration was thrown away counts as here",
        anti_entropy.AntiEntropy,
        "restart",
        constant(lambda self: None),
    ),
    of(
        "puts-of-old-copies-are-acknowledged",
        "LOST",
        "a voter says yes to items that it doesn't take, as their sender was away for long",
        replica.Replica,
        "_merge",
        voted_for_all_the_same,
    ),
    of(
        "batches-not-put-on-all",
        "CONFIG",
        "the next batch is agreed though a voter may miss the one before",
        quorum_write.QuorumWriter,
        "write",
        without_the_batch_before,
    ),
    of(
        "late-calls-judged-without-the-floor",
        "CONFIG",
        "a call of before forgotten drops is judged as if nothing had been dropped",
        change_request.Order,
        "unclear",
        constant(lambda self, held, floor, known: ()),
    ),
)
BY_NAME = {one.name: one for one in VARIANTS}
