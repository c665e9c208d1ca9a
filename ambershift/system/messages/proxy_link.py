"""What a proxy (a program that carries traffic) and the control node that looks after it tell each other."""

from __future__ import annotations

import msgspec

from ambershift.system.messages.items import Item


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="fh"):
    """Proxy to control node, first on each link. `life` is random at each start of the process.

    `ready` says that the proxy has merged all and serves; `leaving` that it is about to end.
    `address` is where clients reach it. Sent again whenever `ready` or `leaving` has changed.
    """

    name: str
    incarnation: str
    zone: str
    address: str
    ready: bool
    draining: bool


class ControlNodeAddress(msgspec.Struct, frozen=True, array_like=True):
    """A machine that serves control, reached by others at its `ip` on the internal port."""

    ip: str
    zone: str
    region: str


class ControlNodeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="fc"):
    """Control node to proxy: the sign of life, first on each link and then each 0.4 s.

    `cores`: who serves control; empty where that is as it was told before. `in_touch`: whether this node has
    heard a majority lately. `proxies`: how many proxies there may be at the most. `age_ms`: how long before
    the sending the moment was up to which all that was acknowledged has been told on this link, once the
    proxy has said Hello (`consensus/contact_lease.py`). Nodes of the version before told none, and no sign
    before a
    Hello: a proxy doesn't link to them.
    """

    control_nodes: tuple[ControlNodeAddress, ...]
    has_quorum_contact: bool
    max_proxies: int
    staleness_ms: int


class ItemUpdate(msgspec.Struct, frozen=True, array_like=True, tag="fi"):
    """Control node to proxy: items, merged by the proxy one by one. `complete` with the last of all that a
    majority held after the proxy's Hello: from then on the proxy knows whatever was acknowledged before."""

    items: tuple[Item, ...]
    complete: bool


class Backend(msgspec.Struct, frozen=True, array_like=True):
    """One life of a backend. `cold` is how many ms it is still cold, counted from the arrival of this.

    `unsure`: of the control node's disk, not heard since its start. Whoever knows the life knows better."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    warm_up_ms: int
    unconfirmed: bool = False


class BackendUpdate(msgspec.Struct, frozen=True, array_like=True, tag="fb"):
    """Control node to proxy: lives that are new or changed, and ids of those that are gone.

    `whole` where what is not named is gone too (the first of a link).
    """

    updated: tuple[Backend, ...]
    removed_ids: tuple[str, ...]
    complete: bool


class TableEntry(msgspec.Struct, frozen=True, array_like=True, tag="fl"):
    """Control node to proxy: one line of a table; weight 0 takes it out."""

    pool: str
    table: int
    backend_id: str
    weight: float


class BindTable(msgspec.Struct, frozen=True, array_like=True, tag="fd"):
    """Control node to proxy: use this table for the pool from now on; `lines` are all of it."""

    pool: str
    table: int
    entries: tuple[tuple[str, float], ...]


class EjectBackend(msgspec.Struct, frozen=True, array_like=True, tag="fw"):
    """Control node to proxy: nothing more to this backend, whatever table has it (or let it in again)."""

    backend_id: str
    ejected: bool


class Barrier(msgspec.Struct, frozen=True, array_like=True, tag="fm"):
    """Control node to proxy, and back: all that was sent on this link before has been taken in."""

    number: int


class BackendLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one proxy met at one backend over the report's span."""

    backend_id: str
    attempts: int
    failures: int
    mean_latency_ms: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Proxy to node, once a second: what came for each pool over the last `span` ms, and what was met."""

    interval_ms: int
    requests: dict[str, int]
    backends: tuple[BackendLoad, ...]


ToProxy = ControlNodeHeartbeat | ItemUpdate | BackendUpdate | TableEntry | BindTable | EjectBackend | Barrier
ToControlNode = Hello | LoadReport | Barrier


def pool_name(service: str, home_regions: tuple[str, ...]) -> str:
    """The name of a pool: a service's backends within the homes of a route (none: all regions)."""
    return "|".join((service, *sorted(home_regions)))


def parse_pool_name(pool: str) -> tuple[str, tuple[str, ...]]:
    service, *homes = pool.split("|")
    return service, tuple(homes)


def host_counter_name(host: str, home_regions: tuple[str, ...]) -> str:
    """The name of a sum beside the pools': all requests to a host that has routes with homes (none named), or
    those on its routes with just these homes. No service's name begins so."""
    return "|".join(("@" + host, *sorted(home_regions)))


def parse_host_counter_name(name: str) -> tuple[str, tuple[str, ...]] | None:
    """None for a pool's name."""
    if not name.startswith("@"):
        return None
    host, *homes = name.split("|")
    return host[1:], tuple(homes)
