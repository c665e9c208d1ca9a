"""Changes under versions below the floor, of which no node remembers the content."""

from __future__ import annotations

import msgspec
import pytest

from ambershift.system.configuration.agreement import (
    Accepted,
    Agreement,
    BelowFloor,
    Conflict,
    Outcome,
    Progress,
    decide,
)
from ambershift.system.configuration.change_request import read_order
from ambershift.system.messages.items import OPERATOR_AUTHOR, SERVICE, Item
from ambershift.system.messages.tombstones import (
    CollectedTombstones,
)
from tests.support.configuration_items import drop, route


def decided(held: list[Item], *items: Item, names: tuple[str, ...] = ()) -> Outcome:
    upsert = [
        {**msgspec.json.decode(one.body), "Name": one.name, "ConfigVersion": f"r{one.version[0]}"}
        for one in items
        if one.body is not None
    ]
    remove = [{"Name": one.name, "ConfigVersion": f"r{one.version[0]}"} for one in items if one.body is None]
    document = {"Upsert": {"Routes": upsert}, "Remove": {"Routes": remove}}
    order = read_order(msgspec.json.encode(document))
    told = CollectedTombstones().with_batch([drop("gone", 50)]).as_item
    store = {one.key: one for one in [*held, told]}
    return decide(order, Agreement(0, ()), Progress(0), store)[1]


SERVICE_S = Item(SERVICE, "s", (1, OPERATOR_AUTHOR), b"{}")


@pytest.mark.parametrize(
    ("item", "kind"),
    [
        (route("gone", 40), BelowFloor),  # Dropped, or new: nobody can tell.
        (drop("gone", 50), BelowFloor),
        (route("new", 50), BelowFloor),
        (route("new", 51), Accepted),
        (route("kept", 41), Accepted),  # It is held: its versions are known.
        (route("kept", 30), BelowFloor),  # Overtaken, by a content that isn't remembered any more.
        (drop("kept", 40), Conflict),
        (drop("kept", 42), Accepted),
    ],
)
def test_change_below_the_version_floor_is_neither_accepted_nor_rejected(
    item: Item, kind: type[Outcome]
) -> None:
    assert type(decided([SERVICE_S, route("kept", 40)], item)) is kind
