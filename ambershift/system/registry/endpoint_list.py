"""The list of backends that all nodes arrive at, from what each hears and from what is held for good."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace

from ambershift.system.registry.records import Instance
from ambershift.system.state_machine import NS_PER_SECOND

RETENTION_NS = (
    600 * NS_PER_SECOND
)  # So long a life is remembered that nobody hears, or that another has replaced.
DRAINING_VERSION, REMOVED_VERSION = 1, 2  # Versions of the item of a life that ends.


class EndpointList:
    """`shown` is the list. A missing life leaves it, unless its service would have none that is ready."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Instance] = {}
        self._endpoint_ids_by_service = defaultdict[str, set[str]](set)  # Ids of these, by service.
        self._newly_superseded = set[str]()
        self.instances: dict[
            str, Instance
        ] = {}  # The newest known of each life that is neither gone nor replaced.
        self.unreported_since: dict[str, int] = {}  # Of these, those that nobody hears, and since when.
        self.superseded_at: dict[str, int] = {}
        self.tombstones: dict[str, int] = {}
        self.collected = frozenset[str]()  # The last lives whose ends are held no more.
        self.ids_by_service = defaultdict[str, set[str]](set)
        self.id_by_address: dict[str, str] = {}  # The life that has an address.

    def is_terminated(self, id: str) -> bool:
        return (
            id in self.superseded_at or id in self.collected or self.tombstones.get(id, 0) >= REMOVED_VERSION
        )

    def set_collected(self, ids: Iterable[str]) -> None:
        self.collected = frozenset(ids)
        for id in self.collected:
            self.tombstones.pop(id, None)

    def take_superseded(self) -> set[str]:
        """Lives that others have replaced at their address since this was asked last."""
        lost, self._newly_superseded = self._newly_superseded, set()
        return lost

    def refresh(
        self, now: int, ids: Iterable[str], best: Callable[[str], Instance | None]
    ) -> tuple[list[Instance], list[str]]:
        """Look again at these lives. Returns what is new or changed on the list, and what is gone."""
        touched = set[str]()
        for id in ids:
            if known := self.instances.get(id):
                touched.add(known.service)
            life = best(id)
            if self.is_terminated(id):
                self._remove(id)
            elif life:
                touched |= self._admit(now, life)
            elif known and id not in self.unreported_since:
                self.unreported_since[id] = now
        put, gone = list[Instance](), list[str]()
        for service in touched:
            self._update_service(now, service, put, gone)
        return put, gone

    def expire(self, now: int) -> list[str]:
        """Lives to look at again, since nobody has heard them for very long."""
        for id, at in list(self.superseded_at.items()):
            if now > at + RETENTION_NS:
                del self.superseded_at[id]
        old = [
            id
            for id, at in self.unreported_since.items()
            if now > at + RETENTION_NS and id not in self.endpoints
        ]
        for id in old:
            self._remove(id)
        return old

    def _admit(self, now: int, life: Instance) -> set[str]:
        """Take a life that is heard; at its address the one that was first heard later stays."""
        touched = {life.service}
        other = self.instances.get(self.id_by_address.get(life.address, ""))
        if other and other.id != life.id and other.address == life.address:
            loser = min(life, other, key=lambda one: (one.first_seen_at, one.id))
            touched.add(loser.service)
            self.superseded_at[loser.id] = now
            self._newly_superseded.add(loser.id)
            self._remove(loser.id)
            if loser is life:
                return touched
        if self.tombstones.get(life.id) == DRAINING_VERSION and not life.draining:
            life = replace(life, draining=True)
        known = self.instances.get(life.id)
        if known and known.service != life.service:
            self.ids_by_service[known.service].discard(life.id)
        self.id_by_address[life.address] = life.id
        self.instances[life.id] = life
        self.ids_by_service[life.service].add(life.id)
        self.unreported_since.pop(life.id, None)
        return touched

    def _remove(self, id: str) -> None:
        self.unreported_since.pop(id, None)
        if known := self.instances.pop(id, None):
            self.ids_by_service[known.service].discard(id)
            if self.id_by_address.get(known.address) == id:
                del self.id_by_address[known.address]

    def _update_service(self, now: int, service: str, put: list[Instance], gone: list[str]) -> None:
        ids = self.ids_by_service[service]
        heard = any(id not in self.unreported_since and not self.instances[id].draining for id in ids)
        visible = {
            id for id in ids if id not in self.unreported_since or not (heard or self.instances[id].draining)
        }
        for id in sorted(visible):
            shown, life = self.endpoints.get(id), self.instances[id]
            if shown is None or not life.is_equivalent(shown, now):
                if shown and shown.service != service:
                    self._endpoint_ids_by_service[shown.service].discard(id)
                self.endpoints[id] = life
                self._endpoint_ids_by_service[service].add(id)
                put.append(life)
        for id in sorted(self._endpoint_ids_by_service[service] - visible):
            del self.endpoints[id]
            self._endpoint_ids_by_service[service].discard(id)
            gone.append(id)
