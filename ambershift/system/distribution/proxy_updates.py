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
    """A proxy on one link: whether it was told that all is merged, and has a complete endpoint list."""

    link: int
    complete: bool = False
    whole: bool = False


class ProxyUpdates:
    """What the linked proxies have been sent of items and of the endpoint list, and what they still lack."""

    def __init__(self) -> None:
        self.sent_items: dict[Key, Item] = {}  # What every proxy that has said Hello has been sent.
        self._forgot = False  # Whether `told` may have what all have forgotten since.
        self._all: ItemUpdate | None = None  # The same in one message, for all that link before it changes.
        self.proxies: dict[str, LinkedProxy] = {}
        self.links = 0
        self.put: dict[str, Backend] = {}
        self.gone: set[str] = set()

    def add_proxy(self, name: str, items: Iterable[Item], backends: BackendUpdate) -> list[Send]:
        """A new link: all items, then the list. Where we may not have heard all yet it takes nothing away."""
        items = list(items)
        newer = self.update_items(items)
        if self._forgot:
            self.sent_items, self._all, self._forgot = {one.key: one for one in items}, None, False
        self.links += 1
        self.proxies[name] = LinkedProxy(self.links, whole=backends.complete)
        self._all = self._all or ItemUpdate(tuple(self.sent_items.values()), False)
        return [*newer, Send(name, self._all), Send(name, backends)]

    def remove_proxy(self, name: str) -> None:
        """Drop a proxy whose link has ended."""
        self.proxies.pop(name, None)

    def update_items(self, items: Iterable[Item]) -> list[Send]:
        """Of these, what proxies have not been sent yet."""
        newer = [
            one
            for one in items
            if (known := self.sent_items.get(one.key)) is not one and (known is None or one.rank > known.rank)
        ]
        if not newer:
            return []
        self.sent_items |= {one.key: one for one in newer}
        for id in (
            id for one in newer if one.kind == COLLECTED_INSTANCES_KIND for id in collected_instance_ids(one)
        ):
            self.sent_items.pop((INSTANCE, id), None)
        self._forgot = self._forgot or any(one.kind == COLLECTED_TOMBSTONES_KIND for one in newer)
        self._all, change = None, ItemUpdate(tuple(newer), False)
        return [Send(name, change) for name in self.proxies]

    def awaiting_completion(self) -> dict[str, int]:
        """Proxies that wait to be told that all is merged, with their link."""
        return {name: one.link for name, one in self.proxies.items() if not one.complete}

    def confirm_complete(self, asked: dict[str, int], items: Iterable[Item]) -> list[Send]:
        """All that was acknowledged before these links' Hellos is merged here."""
        sends = self.update_items(items)
        for name, link in asked.items():
            if (one := self.proxies.get(name)) and one.link == link:
                one.complete = True
                sends.append(Send(name, ItemUpdate((), True)))
        return sends

    def record_backends(self, put: Iterable[Backend], gone: Iterable[str]) -> None:
        """Note changes of the endpoint list, to be sent with the next flush."""
        for one in put:
            self.put[one.id] = one
            self.gone.discard(one.id)
        for id in gone:
            self.put.pop(id, None)
            self.gone.add(id)

    def flush(self) -> list[Send]:
        """Changes of the list since the last time, in one message."""
        if not self.put and not self.gone:
            return []
        change = BackendUpdate(tuple(self.put.values()), tuple(sorted(self.gone)), False)
        self.put, self.gone = {}, set()
        return [Send(name, change) for name in self.proxies]

    def send_complete_list(self, backends: Sequence[Backend]) -> list[Send]:
        """The endpoint list is complete by now: send it to proxies that have only an incomplete one."""
        owed = [name for name, one in self.proxies.items() if not one.whole]
        for name in owed:
            self.proxies[name].whole = True
        whole = BackendUpdate(tuple(backends), (), True)
        return [Send(name, whole) for name in owed]
