"""Writes tombstones of instances to enough copies, and collects old ones."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec

from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError, ReplicatedState
from ambershift.system.messages.items import COLLECTED_INSTANCES_KEY, INSTANCE, Item, collected_instance_ids
from ambershift.system.registry.tombstone_expiry import MAX_COLLECTED_IDS

PUT_TIMEOUT_S = 0.8  # A backend waits a second for its acknowledgement.
# Of so many instances the durable version is remembered; for others the put is repeated, which does no harm.
MAX_REMEMBERED_TOMBSTONES = 20_000

HttpAnswer = tuple[int, dict[str, Any]]  # HTTP status and JSON body.


class TombstoneWriter:
    """Puts tombstones into the replicated state, once for any number of calls at the same time."""

    def __init__(self, replicated_state: ReplicatedState, ip: str) -> None:
        """`ip` is this control node's; it goes into the versions that it writes."""
        self._replicated_state = replicated_state
        self._ip = ip
        self._durable_versions = dict[str, int]()
        self._writes_in_flight = dict[tuple[str, int], asyncio.Task[None]]()
        self._collection: asyncio.Future[None] | None = None  # Keeps the task from being destroyed.

    async def write(self, id: str, version: int, service: str, address: str) -> HttpAnswer:
        """Acknowledge once enough copies have stored the tombstone.

        Args:
            id: Of the instance.
            version: `endpoint_list.DRAINING_VERSION` or `endpoint_list.REMOVED_VERSION`.
            service: Of the instance; empty if unknown.
            address: Of the instance (ip:port); empty if unknown.

        Returns:
            Status 200, or 503 with the reason.
        """
        if self._durable_versions.get(id, 0) < version:
            key = id, version
            if key not in self._writes_in_flight:
                value = msgspec.json.encode({"Service": service, "Address": address})
                item = Item(INSTANCE, id, (version, ""), value)
                task = asyncio.ensure_future(self._replicated_state.write([item], PUT_TIMEOUT_S))
                self._writes_in_flight[key] = task
                task.add_done_callback(lambda done: self._on_written(key, done))
            try:
                # Shielded: the caller may hang up, and other callers wait for the same write.
                await asyncio.shield(self._writes_in_flight[key])
            except (OutcomeUnknownError, NotAppliedError) as error:
                return 503, {"Error": error.reason}
        return 200, {}

    def collect(self, ids: Sequence[str]) -> None:
        """Make all control nodes drop these tombstones.

        One control node does so. Two at once do no harm: the list of the last writer is stored, and the
        tombstones of the other come again.
        """
        if not ids:
            return
        last = self._replicated_state.items().get(COLLECTED_INSTANCES_KEY)
        collected = [*(collected_instance_ids(last) if last else ()), *ids][-MAX_COLLECTED_IDS:]
        version = last.version[0] + 1 if last else 1
        item = Item(*COLLECTED_INSTANCES_KEY, (version, self._ip), msgspec.json.encode(collected))
        self._collection = asyncio.ensure_future(self._replicated_state.write([item], PUT_TIMEOUT_S))
        # Reads the exception, if any, so that asyncio doesn't report it as unhandled.
        self._collection.add_done_callback(lambda done: done.cancelled() or done.exception())

    def _on_written(self, key: tuple[str, int], task: asyncio.Task[None]) -> None:
        self._writes_in_flight.pop(key, None)
        if not task.cancelled() and task.exception() is None:
            if len(self._durable_versions) >= MAX_REMEMBERED_TOMBSTONES:
                self._durable_versions.clear()
            id, version = key
            self._durable_versions[id] = max(version, self._durable_versions.get(id, 0))
