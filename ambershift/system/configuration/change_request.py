"""Parses a `configuration.modify` body into a change request: the items that it sets and drops."""

from __future__ import annotations

from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.configuration import field_validation as checks
from ambershift.system.configuration.errors import Fault, InvalidError
from ambershift.system.configuration.layout import LISTS, Fields, rows, unreadable, without_null
from ambershift.system.messages.items import LIMITS, ROUTE, SERVICE, Item, Key, newest

LIMITS_NAME = "limits"


@dataclass(frozen=True, slots=True)
class Order:
    """A change request whose items are valid, each by itself.

    Attributes:
        items: One item for each name, that of the highest version.
        names: The services that each route refers to, by the route's key.
    """

    items: tuple[Item, ...]
    names: Mapping[Key, tuple[str, ...]]

    def unknown(self, held: Mapping[Key, Item]) -> tuple[Fault, ...]:
        """Dangling references: routes that refer to a service that is unknown or is dropped by this request.

        A route that a higher version has superseded changes nothing, so that for it a service that was ever
        known is enough: rejecting that request would reject a valid one that arrives again.

        Args:
            held: The items in force before this request, dropped ones included.
        """
        after = dict(held)
        for item in self.items:
            after[item.key] = newest(item, after.get(item.key, item))
        return (
            *(
                fault
                for item in self.items
                if item.kind == ROUTE
                for fault in self._unknown(item, held, after)
            ),
            *self._bereft(held, after),
        )

    def unclear(
        self, held: Mapping[Key, Item], floor: int, known: Container[tuple[str, str, int]]
    ) -> tuple[Item, ...]:
        """Undecidable items: it can't be known any more whether they are new, superseded or dropped.

        Args:
            held: The items in force before this request, dropped ones included.
            floor: The collected-up-to version: tombstones up to it have been collected.
            known: The superseded versions (kind, name, version) whose contents are remembered.
        """
        after = {**held, **{item.key: item for item in self.items}}
        return tuple(item for item in self.items if self._is_unclear(item, held, after, floor, known))

    def _is_unclear(
        self,
        item: Item,
        held: Mapping[Key, Item],
        after: Mapping[Key, Item],
        floor: int,
        known: Container[tuple[str, str, int]],
    ) -> bool:
        version = item.version[0]
        if item.key not in held:
            return version <= floor
        if held[item.key].version[0] <= version:
            return False
        nameless = any((SERVICE, name) not in after for name in self.names.get(item.key, ()))
        return nameless or (version <= floor and (*item.key, version) not in known)

    def _bereft(self, held: Mapping[Key, Item], after: Mapping[Key, Item]) -> Iterator[Fault]:
        """Services that this request drops though a route that stays refers to them.

        Routes of this request are checked by `_unknown`, unless a higher version of them is in force.
        """
        own = set(self.items)
        dropped = {
            item.name
            for item in self.items
            if item.kind == SERVICE and item.body is None and not _overtaken(item, held)
        }
        for route in after.values() if dropped else ():
            if route.kind == ROUTE and route.body is not None and route not in own:
                for name in dropped.intersection(checks.services_of(msgspec.json.decode(route.body))):
                    yield Fault(f"service {name}", "Name", f"is dropped, but route {route.name} names it")

    def _unknown(self, route: Item, held: Mapping[Key, Item], after: Mapping[Key, Item]) -> Iterator[Fault]:
        """References of one route of this request to services that are unknown or dropped."""
        overtaken = _overtaken(route, held)
        for name in self.names.get(route.key, ()):
            service = after.get((SERVICE, name))
            if service is None or (service.body is None and not overtaken):
                yield Fault(f"route {route.name}", "Service", f"names the unknown service {name}")


def same_content(one: Item, other: Item) -> bool:
    """Whether two items have equal content, whatever the order of their fields."""
    if one.body is None or other.body is None:
        return one.body is other.body
    return one.body == other.body or msgspec.json.decode(one.body) == msgspec.json.decode(other.body)


def _overtaken(item: Item, held: Mapping[Key, Item]) -> bool:
    """Whether this version of the item, or a higher one, is in force already."""
    known = held.get(item.key)
    return known is not None and known.version >= item.version


def read_order(body: bytes) -> Order:
    """Parse the body of a call.

    Raises:
        InvalidError: With all faults that show without knowing the configuration in force.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
        raise unreadable("", f"can't be read: {why}") from why
    if not isinstance(document, dict):
        raise unreadable("", "is not an object")
    upsert, remove = _part(document, "Upsert"), _part(document, "Remove")
    found: list[Fault] = []
    items: dict[Key, Item] = {}
    names: dict[Key, tuple[str, ...]] = {}
    for kind, fields, dropped in _entries(upsert, remove):
        item = _item(kind, fields, dropped, found)
        if item is None:
            continue
        other = items.get(item.key)
        if other is not None and other.version == item.version and other.body != item.body:
            found.append(Fault(_label(kind, item.name), "Name", "stands twice with one version"))
        if other is None or newest(other, item) is item:
            items[item.key] = item
            names[item.key] = () if dropped or kind != ROUTE else tuple(checks.services_of(fields))
    if found:
        raise InvalidError(tuple(found))
    return Order(tuple(items.values()), names)


def _part(document: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    part = document.get(name)
    if part is None:
        return {}
    if not isinstance(part, dict):
        raise unreadable(name, "is not an object")
    return part


def _entries(upsert: Mapping[str, Any], remove: Mapping[str, Any]) -> Iterator[tuple[str, Fields, bool]]:
    """Kind, fields, and whether it is dropped, of each item in the body."""
    for part, where, dropped in ((upsert, "Upsert", False), (remove, "Remove", True)):
        for name, kind in LISTS:
            for fields in rows(f"{where}.{name}", part.get(name)):
                yield kind, fields, dropped
        limits = part.get("Limits")
        if limits is None or (dropped and limits == []):
            continue
        if not isinstance(limits, dict):
            raise unreadable(f"{where}.Limits", "is not an object")
        yield LIMITS, without_null(limits), dropped


def _item(kind: str, fields: Fields, dropped: bool, found: list[Fault]) -> Item | None:
    """The item; None, with its faults added to `found`, if it is invalid."""
    before = len(found)
    name = LIMITS_NAME if kind == LIMITS else fields.get("Name")
    if not isinstance(name, str) or not name:
        found.append(Fault(kind, "Name", "is empty"))
        return None
    label = _label(kind, name)
    version = _version(fields.get("ConfigVersion"))
    if version is None:
        found.append(Fault(label, "ConfigVersion", "is not of the form r12"))
    if not dropped:
        found.extend(Fault(label, field, reason) for field, reason in checks.faults(kind, fields))
    if version is None or len(found) > before:
        return None
    return Item(kind, name, (version, ""), None if dropped else msgspec.json.encode(fields))


def _version(found: Any) -> int | None:
    if not isinstance(found, str) or not found.startswith("r"):
        return None
    digits = found[1:]
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= 18 else None


def _label(kind: str, name: str) -> str:
    return LIMITS if kind == LIMITS else f"{kind} {name}"
