"""Which items and backends proxies are sent: all on a Hello, then what is newer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ambershift.system.messages.items import (
    COLLECTED_INSTANCES_KIND,
    INSTANCE,
    Item,
    Key,
    collected_instance_ids,
)
from ambershift.system.messages.proxy_link import Backend, BackendUpdate, ItemUpdate
from ambershift.system.messages.tombstones import COLLECTED_TOMBSTONES_KIND
from ambershift.system.state_machine import Send


@dataclass(slots=True)
class LinkedProxy:
    """What a proxy has been sent on its link.

    Attributes:
        link: Number of the link; another one with each Hello of a new link.
        has_all_items: Whether it was told that it has all items acknowledged before its Hello.
        has_complete_list: Whether it has a complete endpoint list.
    """

    link: int
    has_all_items: bool = False
    has_complete_list: bool = False


class ProxyUpdates:
    """What the linked proxies have been sent of items and of the endpoint list, and what they still lack.

    Attributes:
        sent_items: Items that every linked proxy has been sent.
        proxies: What each linked proxy has been sent, by its name.
        pending_backends: Backends that are new or changed since the last `flush`, by id.
        pending_removed_ids: Backends that are gone since then.
    """

    def __init__(self) -> None:
        """Start without proxies."""
        self.sent_items: dict[Key, Item] = {}
        self.proxies: dict[str, LinkedProxy] = {}
        self.pending_backends: dict[str, Backend] = {}
        self.pending_removed_ids: set[str] = set()
        self._link_count = 0
        # Whether tombstones were collected since, so that `sent_items` may have items that the store dropped.
        self._may_hold_collected = False
        # All of `sent_items` in one message, shared by all proxies that link before it changes.
        self._all_items: ItemUpdate | None = None

    def add_proxy(self, name: str, items: Iterable[Item], backends: BackendUpdate) -> list[Send]:
        """Add a proxy on a new link: it is sent all items, then the endpoint list.

        A list that isn't complete, as this node may not have received all reports yet, removes no backend
        that the proxy knows.
        """
        items = list(items)
        sends = self.update_items(items)
        if self._may_hold_collected:
            self.sent_items = {item.key: item for item in items}
            self._all_items = None
            self._may_hold_collected = False
        self._link_count += 1
        self.proxies[name] = LinkedProxy(self._link_count, has_complete_list=backends.complete)
        self._all_items = self._all_items or ItemUpdate(tuple(self.sent_items.values()), False)
        return [*sends, Send(name, self._all_items), Send(name, backends)]

    def remove_proxy(self, name: str) -> None:
        """Drop a proxy whose link has ended."""
        self.proxies.pop(name, None)

    def update_items(self, items: Iterable[Item]) -> list[Send]:
        """Send proxies those of the items that are newer than what they have been sent."""
        newer = [
            item
            for item in items
            if (sent := self.sent_items.get(item.key)) is not item and (sent is None or item.rank > sent.rank)
        ]
        if not newer:
            return []
        self.sent_items |= {item.key: item for item in newer}
        collected_ids = (
            id
            for item in newer
            if item.kind == COLLECTED_INSTANCES_KIND
            for id in collected_instance_ids(item)
        )
        for id in collected_ids:
            self.sent_items.pop((INSTANCE, id), None)
        self._may_hold_collected = self._may_hold_collected or any(
            item.kind == COLLECTED_TOMBSTONES_KIND for item in newer
        )
        self._all_items = None
        update = ItemUpdate(tuple(newer), False)
        return [Send(name, update) for name in self.proxies]

    def awaiting_completion(self) -> dict[str, int]:
        """Proxies that wait to be told that they have all items, with the numbers of their links."""
        return {name: proxy.link for name, proxy in self.proxies.items() if not proxy.has_all_items}

    def confirm_complete(self, links: dict[str, int], items: Iterable[Item]) -> list[Send]:
        """Tell proxies that they have all items acknowledged before the Hellos of these links.

        Args:
            links: Numbers of the links, by proxy; a proxy that has linked anew since then isn't told.
            items: All items here, after a quorum read that began after those Hellos.
        """
        sends = self.update_items(items)
        for name, link in links.items():
            if (proxy := self.proxies.get(name)) and proxy.link == link:
                proxy.has_all_items = True
                sends.append(Send(name, ItemUpdate((), True)))
        return sends

    def record_backends(self, updated: Iterable[Backend], removed_ids: Iterable[str]) -> None:
        """Record changes of the endpoint list, to be sent with the next `flush`."""
        for backend in updated:
            self.pending_backends[backend.id] = backend
            self.pending_removed_ids.discard(backend.id)
        for id in removed_ids:
            self.pending_backends.pop(id, None)
            self.pending_removed_ids.add(id)

    def flush(self) -> list[Send]:
        """Send the changes of the endpoint list since the last time, in one message."""
        if not self.pending_backends and not self.pending_removed_ids:
            return []
        update = BackendUpdate(
            tuple(self.pending_backends.values()), tuple(sorted(self.pending_removed_ids)), False
        )
        self.pending_backends, self.pending_removed_ids = {}, set()
        return [Send(name, update) for name in self.proxies]

    def send_complete_list(self, backends: Sequence[Backend]) -> list[Send]:
        """Send the endpoint list, which is complete by now, to proxies that have only an incomplete one."""
        recipients = [name for name, proxy in self.proxies.items() if not proxy.has_complete_list]
        for name in recipients:
            self.proxies[name].has_complete_list = True
        complete_list = BackendUpdate(tuple(backends), (), True)
        return [Send(name, complete_list) for name in recipients]
