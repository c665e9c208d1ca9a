"""A deployment of a given size as messages and settings: items, backends, proxies, control nodes."""

from __future__ import annotations

import functools
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.configuration.change_request import read_order
from ambershift.system.interfaces import ChangeFunction
from ambershift.system.messages import proxy_link, registry_sync
from ambershift.system.messages.items import Item, Key
from ambershift.system.settings.process_settings import ProcessSettings, TimerBounds
from ambershift.system.testbed.book import Route, limits_part, routes_part, services_part

HEARTBEAT, CONTROL_NODES = 1.5, 6


@functools.cache
def names_of(zones: int, regions: int) -> list[str]:
    return [f"region{at % regions:02}-z{at // regions:02}" for at in range(zones)]


@dataclass(frozen=True, slots=True)
class Size:
    """How much there is of each thing."""

    routes: int
    backends: int
    services: int
    proxies: int
    zones: int
    regions: int
    tenants: int

    @property
    def names(self) -> list[str]:
        return names_of(self.zones, self.regions)

    @property
    def places(self) -> dict[str, str]:
        """The region of each zone."""
        return {name: name.partition("-")[0] for name in self.names}


SIZES = (
    Size(77, 270, 8, 56, 6, 3, 2_800),
    Size(770, 2_700, 74, 560, 30, 10, 28_000),
    Size(7_700, 27_000, 740, 5_600, 111, 29, 280_000),
)


def service(at: int) -> str:
    return f"service{at:03}"


def route(size: Size, at: int, version: int = 7) -> Route:
    """Four routes a host; every fourth is split between two services."""
    mine, other = service(at % size.services), service((at + 1) % size.services)
    split = ((mine, 90), (other, 10)) if at % 4 == 2 else ((mine, 100),)
    return Route(f"r-{at:07x}", f"host{at // 4:05}.example", f"/part{at:05}/", at % 2 == 0, split, version)


def items(size: Size) -> tuple[Item, ...]:
    """All items of a first configuration, read as the operator's call is."""
    whole = {
        "Upsert": {
            "Routes": routes_part(route(size, at) for at in range(size.routes)),
            "Services": services_part([service(at) for at in range(size.services)], 7),
            "Limits": limits_part(7),
        },
        "Remove": {"Routes": []},
    }
    return read_order(msgspec.json.encode(whole)).items


def changed(size: Size, at: int, version: int) -> Item:
    """One route in a later version."""
    call = {"Upsert": {"Routes": routes_part([route(size, at % size.routes, version)])}}
    return read_order(msgspec.json.encode(call)).items[0]


def backend(size: Size, at: int, draining: bool = False) -> proxy_link.Backend:
    return proxy_link.Backend(
        f"i-{at:08x}",
        service(at % size.services),
        f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:8080",
        size.names[at // size.services % size.zones],
        6,
        draining,
        0,
    )


def lived(size: Size, at: int) -> registry_sync.InstanceRecord:
    one = backend(size, at)
    return registry_sync.InstanceRecord(
        one.id, one.service, one.address, one.zone, one.slots, 4000, False, 0, 5_000_000
    )


def beat(size: Size, at: int, sequence: int, state: str = "ready") -> bytes:
    one = backend(size, at)
    return msgspec.json.encode(
        {
            "Address": one.address,
            "Information": {
                "Service": one.service,
                "ConfigVersion": "v1",
                "Zone": one.zone,
                "CapacitySlots": one.slots,
            },
            "Condition": {"State": state, "Sequence": sequence, "ColdRemainingMs": 0},
        }
    )


def proxy_name(at: int) -> str:
    return f"front-{at:05}"


def hello(size: Size, at: int, ready: bool = True) -> proxy_link.Hello:
    return proxy_link.Hello(
        proxy_name(at),
        f"{at:016x}",
        size.names[at % size.zones],
        f"10.200.{at >> 8}.{at & 255}:8641",
        ready,
        False,
    )


def attached(size: Size, at: int) -> registry_sync.ProxyLinkRecord:
    one = hello(size, at)
    return registry_sync.ProxyLinkRecord(
        one.name, one.incarnation, one.zone, one.address, True, False, 5_000_000
    )


def bind(size: Size, at: int) -> proxy_link.BindTable:
    """A service's all-servers table."""
    lines = tuple((backend(size, one).id, 6.0) for one in range(at, size.backends, size.services))
    return proxy_link.BindTable(service(at), 111, lines)


def report(size: Size, requests: int = 95) -> proxy_link.LoadReport:
    """A second of a proxy: so many requests, each to a service and a backend in turn."""
    came = {
        service(at % size.services): 1 + (requests - 1 - at) // size.services
        for at in range(min(requests, size.services))
    }
    return proxy_link.LoadReport(
        1000,
        came,
        tuple(
            proxy_link.BackendLoad(backend(size, at).id, 1, 0, 120)
            for at in range(min(requests, size.backends))
        ),
    )


def cores(size: Size) -> tuple[proxy_link.ControlNodeAddress, ...]:
    places = size.places
    return tuple(
        proxy_link.ControlNodeAddress(f"10.128.0.{at + 1}", size.names[at], places[size.names[at]])
        for at in range(CONTROL_NODES)
    )


def local(size: Size, at: int = 0, listen: Mapping[str, str] | None = None) -> ProcessSettings:
    """Settings of a control node or (its zone's) proxy."""
    core = cores(size)[at]
    return ProcessSettings(
        "",
        f"node{at}",
        "core",
        core.ip,
        core.zone,
        core.region,
        True,
        True,
        None,
        (7000, 7001),
        tuple(f"{one.ip}:8080" for one in cores(size)),
        dict(listen or {"Control": f"{core.ip}:8080"}),
        size.places,
        HEARTBEAT,
        (1, 1, 1),
        TimerBounds(),
    )


class Held:
    """A ledger whose puts hold at once and whose others are all there."""

    def __init__(self, size: Size) -> None:
        self.found = cores(size)
        self.held = {one.key: one for one in items(size)}
        self.hearers = list[Callable[[Sequence[Item]], None]]()

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        self.held |= {one.key: one for one in items}
        for heard in self.hearers:
            heard(items)

    async def read_quorum(self, timeout_s: float) -> None:
        pass

    def items(self) -> Mapping[Key, Item]:
        return self.held

    def subscribe(self, on_items: Callable[[Sequence[Item]], None]) -> None:
        self.hearers.append(on_items)

    async def change(self, register: str, change: ChangeFunction, timeout_s: float) -> Any:
        raise NotImplementedError

    def control_nodes(self) -> Sequence[proxy_link.ControlNodeAddress]:
        return self.found

    def contact_age_ms(self) -> int:
        return 200

    def has_quorum_contact(self) -> bool:
        return True

    def is_alive(self, ip: str) -> bool:
        return True

    def is_responsive(self, ip: str) -> bool:
        return True
