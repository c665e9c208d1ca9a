"""The endpoint list at which all control nodes arrive, from reported instances and from tombstones."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace

from ambershift.system.registry.records import Instance
from ambershift.system.state_machine import NS_PER_SECOND

# So long an instance is remembered that no control node reports, or that another one has superseded.
RETENTION_NS = 600 * NS_PER_SECOND
# Versions of a tombstone: the instance drains, or it has signed off.
DRAINING_VERSION = 1
REMOVED_VERSION = 2


class EndpointList:
    """The instances that proxies are told of, and what decides on them.

    An instance that nobody reports leaves the list, unless its service would have none left that is ready.
    Times are ns of the steady clock.

    Attributes:
        endpoints: The list, by id.
        instances: The newest state of each instance that has neither ended nor been superseded.
        unreported_since: Which of these no control node reports, and since when.
        superseded_at: Instances whose address a younger one has taken, and when.
        tombstones: Versions of the tombstones, by id.
        collected: Ids of the last instances whose tombstones have been collected.
        ids_by_service: Ids of `instances`, by service.
        id_by_address: The instance that has an address.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Instance] = {}
        self.instances: dict[str, Instance] = {}
        self.unreported_since: dict[str, int] = {}
        self.superseded_at: dict[str, int] = {}
        self.tombstones: dict[str, int] = {}
        self.collected = frozenset[str]()
        self.ids_by_service = defaultdict[str, set[str]](set)
        self.id_by_address: dict[str, str] = {}
        self._endpoint_ids_by_service = defaultdict[str, set[str]](set)
        self._newly_superseded = set[str]()

    def is_terminated(self, id: str) -> bool:
        """Tell whether this instance is never listed again."""
        return (
            id in self.superseded_at or id in self.collected or self.tombstones.get(id, 0) >= REMOVED_VERSION
        )

    def add_tombstone(self, id: str, version: int) -> None:
        """Note a tombstone; an older version than the known one changes nothing."""
        self.tombstones[id] = max(version, self.tombstones.get(id, 0))

    def set_collected(self, ids: Iterable[str]) -> None:
        """Replace the ids of collected tombstones, and drop these tombstones."""
        self.collected = frozenset(ids)
        for id in self.collected:
            self.tombstones.pop(id, None)

    def take_superseded(self) -> set[str]:
        """Return the instances that have been superseded since the last call."""
        superseded = self._newly_superseded
        self._newly_superseded = set()
        return superseded

    def refresh(
        self, now: int, ids: Iterable[str], merged_instance: Callable[[str], Instance | None]
    ) -> tuple[list[Instance], list[str]]:
        """Look again at these instances.

        Args:
            now: Time (ns, steady clock).
            ids: Instances of which a report or a tombstone has changed.
            merged_instance: Returns an instance from all reports of it; None if there are none.

        Returns:
            Endpoints that are new or have changed, and ids of those that have left the list.
        """
        changed_services = set[str]()
        for id in ids:
            if known := self.instances.get(id):
                changed_services.add(known.service)
            instance = merged_instance(id)
            if self.is_terminated(id):
                self._remove(id)
            elif instance:
                changed_services |= self._admit(now, instance)
            elif known and id not in self.unreported_since:
                self.unreported_since[id] = now
        updated = list[Instance]()
        removed = list[str]()
        for service in changed_services:
            self._update_service(service, now, updated, removed)
        return updated, removed

    def expire(self, now: int) -> list[str]:
        """Forget what is older than the retention time; returns ids to refresh."""
        for id, at in list(self.superseded_at.items()):
            if now > at + RETENTION_NS:
                del self.superseded_at[id]
        expired = [
            id
            for id, at in self.unreported_since.items()
            if now > at + RETENTION_NS and id not in self.endpoints
        ]
        for id in expired:
            self._remove(id)
        return expired

    def _admit(self, now: int, instance: Instance) -> set[str]:
        """Add or update a reported instance; returns the services that may change.

        Of two instances at one address, the one that was first seen later has replaced the other.
        """
        changed_services = {instance.service}
        rival = self.instances.get(self.id_by_address.get(instance.address, ""))
        if rival and rival.id != instance.id and rival.address == instance.address:
            superseded = min(instance, rival, key=lambda candidate: (candidate.first_seen_at, candidate.id))
            changed_services.add(superseded.service)
            self.superseded_at[superseded.id] = now
            self._newly_superseded.add(superseded.id)
            self._remove(superseded.id)
            if superseded is instance:
                return changed_services
        if self.tombstones.get(instance.id) == DRAINING_VERSION and not instance.draining:
            instance = replace(instance, draining=True)
        known = self.instances.get(instance.id)
        if known and known.service != instance.service:
            self.ids_by_service[known.service].discard(instance.id)
        self.id_by_address[instance.address] = instance.id
        self.instances[instance.id] = instance
        self.ids_by_service[instance.service].add(instance.id)
        self.unreported_since.pop(instance.id, None)
        return changed_services

    def _remove(self, id: str) -> None:
        self.unreported_since.pop(id, None)
        if known := self.instances.pop(id, None):
            self.ids_by_service[known.service].discard(id)
            if self.id_by_address.get(known.address) == id:
                del self.id_by_address[known.address]

    def _update_service(self, service: str, now: int, updated: list[Instance], removed: list[str]) -> None:
        ids = self.ids_by_service[service]
        has_ready = any(id not in self.unreported_since and not self.instances[id].draining for id in ids)
        listed = {
            id
            for id in ids
            if id not in self.unreported_since or not (has_ready or self.instances[id].draining)
        }
        for id in sorted(listed):
            endpoint = self.endpoints.get(id)
            instance = self.instances[id]
            if endpoint is None or not instance.is_equivalent(endpoint, now):
                if endpoint and endpoint.service != service:
                    self._endpoint_ids_by_service[endpoint.service].discard(id)
                self.endpoints[id] = instance
                self._endpoint_ids_by_service[service].add(id)
                updated.append(instance)
        for id in sorted(self._endpoint_ids_by_service[service] - listed):
            del self.endpoints[id]
            self._endpoint_ids_by_service[service].discard(id)
            removed.append(id)
