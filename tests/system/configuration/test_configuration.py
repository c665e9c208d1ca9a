"""Which configurations are valid, and that a configuration reads back as it was sent."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ambershift.system.configuration.change_request import read_order
from ambershift.system.configuration.check import check_document
from ambershift.system.configuration.layout import rows, write_back
from ambershift.system.messages.items import Item, Key, newest

ROUTE = {
    "Name": "r",
    "Host": "a.example",
    "PathPrefix": "/x/",
    "RouteType": "idempotent",
    "TimeoutMs": 1500,
    "TargetMs": 600,
    "Priority": 2,
    "MaxAttempts": 2,
    "ServingRegions": [],
    "ConfigVersion": "r7",
    "Service": "s",
}
SERVICE = {
    "Name": "s",
    "HealthPath": "/health",
    "ConnectionCap": 110,
    "Tls": False,
    "ColdStartS": 3.0,
    "ConfigVersion": "r7",
}
SHARES = [{"Service": "s", "Weight": 90}, {"Service": "t", "Weight": 10}]


def table(*items: Mapping[str, Any]) -> dict[str, Any]:
    columns = list(dict.fromkeys(name for item in items for name in item))
    return {"Columns": columns, "Rows": [[item.get(name) for name in columns] for item in items]}


def document(
    *routes: Mapping[str, Any],
    services: Any = (SERVICE, {**SERVICE, "Name": "t"}),
    remove: Any = None,
    **more: Any,
) -> bytes:
    upsert = {"Routes": table(*routes), "Services": table(*services), **more}
    return msgspec.json.encode({"Upsert": upsert, "Remove": remove or {"Routes": []}})


def merged(held: Mapping[Key, Item], body: bytes) -> dict[Key, Item]:
    found = dict(held)
    for item in read_order(body).items:
        found[item.key] = newest(item, found.get(item.key, item))
    return found


def without(field: str) -> dict[str, Any]:
    return {name: value for name, value in ROUTE.items() if name != field}


@pytest.mark.parametrize(
    "body",
    [
        document(ROUTE),
        document({**ROUTE, "Service": None, "Distribution": SHARES}),
        document({**without("Service"), "Distribution": [SHARES[0], {"Service": "t", "Weight": 0}]}),
        document({**ROUTE, "Distribution": []}),
        document({**ROUTE, "TimeoutMs": 600_000}, {**ROUTE, "Name": "same host and prefix"}),
        document(without("TimeoutMs"), {**ROUTE, "Name": "q", "TimeoutMs": 12.5, "Later": {"a": [1]}}),
        document(ROUTE, {**ROUTE, "ConfigVersion": "r9", "TimeoutMs": 9}),
        document(ROUTE, ROUTE),
        document(remove={"Routes": [{"Name": "never was", "ConfigVersion": "r9"}]}, Limits=None),
        document(Limits={"HeaderBytes": 1, "ConfigVersion": "r0"}, Tenants=[{"Name": "x"}]),
        msgspec.json.encode({"Upsert": {"Routes": [ROUTE], "Services": [SERVICE]}}),
        b'{"Upsert":{},"Remove":{}}',
        b"{}",
    ],
)
def test_valid_document_is_accepted(body: bytes) -> None:
    assert check_document(body) == []


@pytest.mark.parametrize(
    ("body", "item", "field"),
    [
        (document({**ROUTE, "Service": "u"}), "route r", "Service"),
        (document({**ROUTE, "Distribution": [*SHARES, {"Service": "u", "Weight": 1}]}), "route r", "Service"),
        (document(ROUTE, services=[{**SERVICE, "Name": "t"}]), "route r", "Service"),
        (document(ROUTE, remove={"Services": [{"Name": "s", "ConfigVersion": "r8"}]}), "route r", "Service"),
        (document({**ROUTE, "TimeoutMs": 600_001}), "route r", "TimeoutMs"),
        (document({**ROUTE, "TimeoutMs": "1500"}), "route r", "TimeoutMs"),
        (document({**ROUTE, "TimeoutMs": True}), "route r", "TimeoutMs"),
        (document({**ROUTE, "PathPrefix": "x/"}), "route r", "PathPrefix"),
        (document(without("PathPrefix")), "route r", "PathPrefix"),
        (document({**ROUTE, "Host": ""}), "route r", "Host"),
        (document({**ROUTE, "Host": None}), "route r", "Host"),
        (document({**ROUTE, "RouteType": "sometimes"}), "route r", "RouteType"),
        (document({**ROUTE, "RouteType": ["idempotent"]}), "route r", "RouteType"),
        (document(without("Service")), "route r", "Service"),
        (document({**ROUTE, "Distribution": [{"Service": "s", "Weight": 0}]}), "route r", "Distribution"),
        (document({**ROUTE, "Distribution": {"Service": "s"}}), "route r", "Distribution"),
        (document({**ROUTE, "ServingRegions": "riga"}), "route r", "ServingRegions"),
        (document({**ROUTE, "ConfigVersion": "12"}), "route r", "ConfigVersion"),
        (document({**ROUTE, "ConfigVersion": 12}), "route r", "ConfigVersion"),
        (document({**ROUTE, "Name": ""}), "route", "Name"),
        (document(ROUTE, {**ROUTE, "TimeoutMs": 9}), "route r", "Name"),
        (document(services=[{**SERVICE, "ConnectionCap": "many"}]), "service s", "ConnectionCap"),
        (document(Limits={"HeaderBytes": 0, "ConfigVersion": "r1"}), "limits", "HeaderBytes"),
        (document(Limits=[1]), "", "Upsert.Limits"),
        (document(remove={"Routes": [{"Name": "r"}]}), "route r", "ConfigVersion"),
        (document(ROUTE)[:-9], "", ""),
        (b"", "", ""),
        (b"[]", "", ""),
        (b'{"Upsert":3}', "", "Upsert"),
        (b"\xff{}", "", ""),
        (b'{"Upsert":{"Routes":{"Columns":["Name"],"Rows":[["a","b"]]}}}', "", "Upsert.Routes.Rows[0]"),
        (b'{"Upsert":{"Routes":{"Columns":["Name","Name"],"Rows":[]}}}', "", "Upsert.Routes.Columns"),
        (b'{"Upsert":{"Routes":{"Rows":[]}}}', "", "Upsert.Routes.Columns"),
        (b'{"Upsert":{"Routes":{"Columns":[]}}}', "", "Upsert.Routes.Rows"),
        (b'{"Upsert":{"Routes":7}}', "", "Upsert.Routes"),
        (b'{"Upsert":{"Routes":[7]}}', "", "Upsert.Routes"),
        (b"[" * 100_000, "", ""),
    ],
)
def test_invalid_document_is_rejected_with_item_and_field(body: bytes, item: str, field: str) -> None:
    assert (item, field) in [(fault.item, fault.field) for fault in check_document(body)]


def test_references_to_services_are_resolved_in_the_stored_configuration() -> None:
    held = merged({}, document(ROUTE))
    change = document({**ROUTE, "ConfigVersion": "r8", "Service": "t"}, services=())
    assert read_order(change).unknown({}) and not read_order(change).unknown(held)
    drop = document(services=(), remove={"Services": [{"Name": "s", "ConfigVersion": "r9"}]})
    assert read_order(drop).unknown(held)  # The route in force would be left without its service.
    held = merged(merged(held, change), drop)
    assert not read_order(document(ROUTE, services=())).unknown(held)  # A late copy of an older call.
    dangling = read_order(document({**ROUTE, "ConfigVersion": "r9"}, services=())).items[0]
    assert not read_order(drop).unknown({**held, dangling.key: dangling})  # It is dropped already.
    again = document({**ROUTE, "ConfigVersion": "r10"}, services=())
    assert read_order(again).unknown(held)
    assert read_order(document({**ROUTE, "Service": "u"}, services=())).unknown(held)


def test_superseded_route_does_not_hide_a_dangling_reference() -> None:
    held = {one.key: one for one in read_order(document({**ROUTE, "ConfigVersion": "r12"})).items}
    drop = {
        "Upsert": {"Routes": [{**ROUTE, "Service": "t"}], "Services": [{"Name": "t", "ConfigVersion": "r7"}]},
        "Remove": {"Services": [{"Name": "s", "ConfigVersion": "r13"}]},
    }
    assert [one.item for one in read_order(msgspec.json.encode(drop)).unknown(held)] == ["service s"]


TEXTS = st.text('ab/é"', min_size=1, max_size=3)
VALUES = st.one_of(st.booleans(), st.integers(0, 1 << 60), st.floats(0, 1e9), st.lists(TEXTS, max_size=2))
ROUTES = st.fixed_dictionaries(
    {
        "Name": st.sampled_from("abc"),
        "Host": st.just("h"),
        "PathPrefix": TEXTS.map("/".__add__),
        "RouteType": st.just("idempotent"),
        "Service": st.sampled_from("st"),
    },
    optional={
        "TimeoutMs": st.sampled_from((1, 1.5, 600_000)),
        "ServingRegions": st.lists(TEXTS, max_size=2),
        "Distribution": st.just(SHARES),
        "Other": VALUES,
    },
)


@given(st.lists(st.tuples(ROUTES, st.booleans()), min_size=1, max_size=6), st.permutations(range(1, 7)))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_configuration_reads_back_as_it_was_sent(
    calls: list[tuple[dict[str, Any], bool]], versions: list[int]
) -> None:
    """Calls come in any order; of each name the highest version is in force, set or dropped."""
    held: dict[Key, Item] = {}
    highest: dict[str, tuple[int, Any]] = {}
    limits = {"HeaderBytes": 16384, "ConfigVersion": "r7"}
    for (fields, dropped), version in zip(calls, versions, strict=False):
        route = {**fields, "ConfigVersion": f"r{version}"}
        body = document(remove={"Routes": [route]}) if dropped else document(route, Limits=limits)
        held = merged(held, body)
        if version > highest.get(route["Name"], (0, None))[0]:
            highest[route["Name"]] = version, None if dropped else route
    back = msgspec.json.decode(msgspec.json.encode(write_back(held)))
    found = {fields["Name"]: fields for fields in rows("", back["Routes"])}
    assert found == {name: route for name, (_, route) in highest.items() if route}
    assert back.get("Limits") in (limits, None) and len(rows("", back["Services"])) == 2
