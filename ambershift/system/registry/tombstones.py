"""Ends of backends' lives, put on enough copies: acknowledged once they are, and forgotten when long over."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec

from ambershift.system.interfaces import NotAppliedError, OutcomeUnknownError, ReplicatedState
from ambershift.system.messages.items import CLEARED_INSTANCES_KEY, INSTANCE, Item, cleared_instances
from ambershift.system.registry.tombstone_expiry import MAX_COLLECTED_IDS

PUT_TIMEOUT_S = 0.8  # A backend waits a second for its acknowledgement.
MAX_REMEMBERED_TOMBSTONES = (
    20_000  # Of these lives we remember that their end is held; others are just put again.
)

HttpAnswer = tuple[int, dict[str, Any]]  # HTTP's status and the body.


class TombstoneWriter:
    """`ip` is this control node's."""

    def __init__(self, ledger: ReplicatedState, ip: str) -> None:
        self._ledger, self._ip = ledger, ip
        self._durable_versions = dict[str, int]()
        self._writes_in_flight = dict[tuple[str, int], asyncio.Task[None]]()
        self._collection: asyncio.Future[None] | None = None

    async def write(self, id: str, version: int, service: str, address: str) -> HttpAnswer:
        """Acknowledge once enough copies hold that this life ends."""
        if self._durable_versions.get(id, 0) < version:
            key = id, version
            if key not in self._writes_in_flight:
                item = Item(
                    INSTANCE, id, (version, ""), msgspec.json.encode({"Service": service, "Address": address})
                )
                self._writes_in_flight[key] = task = asyncio.ensure_future(
                    self._ledger.write([item], PUT_TIMEOUT_S)
                )
                task.add_done_callback(lambda done: self._on_written(key, done))
            try:
                await asyncio.shield(self._writes_in_flight[key])
            except (OutcomeUnknownError, NotAppliedError) as why:
                return 503, {"Error": why.reason}
        return 200, {}

    def _on_written(self, key: tuple[str, int], done: asyncio.Task[None]) -> None:
        self._writes_in_flight.pop(key, None)
        if not done.cancelled() and done.exception() is None:
            if len(self._durable_versions) >= MAX_REMEMBERED_TOMBSTONES:
                self._durable_versions.clear()
            self._durable_versions[key[0]] = max(key[1], self._durable_versions.get(key[0], 0))

    def collect(self, ids: Sequence[str]) -> None:
        """Let all forget the ends of lives that are long over. One node does so; two at once do no harm:
        what the one has told last is held, and the rest comes again."""
        if not ids:
            return
        last = self._ledger.items().get(CLEARED_INSTANCES_KEY)
        told = [*(cleared_instances(last) if last else ()), *ids][-MAX_COLLECTED_IDS:]
        item = Item(
            *CLEARED_INSTANCES_KEY, (last.version[0] + 1 if last else 1, self._ip), msgspec.json.encode(told)
        )
        self._collection = asyncio.ensure_future(self._ledger.write([item], PUT_TIMEOUT_S))
        self._collection.add_done_callback(lambda done: done.cancelled() or done.exception())
