"""Lets simulated control nodes forget drops within a second, one at a time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from ambershift.system.consensus import tombstone_collector
from ambershift.system.messages import tombstones
from ambershift.system.state_machine import NS_PER_MS


@contextmanager
def forgetting_soon() -> Iterator[None]:
    """No drop is kept, each is a batch of its own, and two are listed."""
    with (
        patch.object(tombstone_collector, "TOMBSTONES_RETAINED", 0),
        patch.object(tombstone_collector, "BATCH_SIZE", 1),
        patch.object(tombstone_collector, "COLLECTION_INTERVAL_NS", 300 * NS_PER_MS),
        patch.object(tombstones, "LISTED_TOMBSTONES_MAX", 2),
    ):
        yield
