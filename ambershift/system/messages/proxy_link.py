"""Messages between a proxy, which forwards client requests, and the control node that it is linked to.

The control node pushes configuration items, backends and weighted tables, much as xDS management servers push
to Envoy; the proxy reports its state and its load. Messages of one link arrive in order. Tags and the order
of the fields are the wire format.
"""

from __future__ import annotations

import msgspec

from ambershift.system.messages.items import Item


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="fh"):
    """Proxy to control node: the proxy's state. First on each link, and again whenever it changes.

    Attributes:
        incarnation: Random at each start of the process.
        address: Where clients reach the proxy, as "ip:port".
        ready: Whether the proxy has merged the complete configuration and serves requests.
        draining: Whether the process is about to end.
    """

    name: str
    incarnation: str
    zone: str
    address: str
    ready: bool
    draining: bool


class ControlNodeAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where a control node is reached: at its `ip` on the internal port."""

    ip: str
    zone: str
    region: str


class ControlNodeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="fc"):
    """Control node to proxy: first on each link, and then every 0.4 s.

    A proxy doesn't link to a node whose heartbeat lacks `staleness_ms`, nor to one that sends another message
    first: these are nodes of an earlier version.

    Attributes:
        control_nodes: All control nodes; empty if they are those of the previous heartbeat on this link.
        has_quorum_contact: Whether this node has received messages from a majority of the voters lately.
        max_proxies: Upper bound of how many proxies are running; proxies divide shared budgets by it.
        staleness_ms: Age of the last moment up to which all acknowledged changes have been sent on this link,
            once the proxy has said Hello (`consensus/contact_lease.py`).
    """

    control_nodes: tuple[ControlNodeAddress, ...]
    has_quorum_contact: bool
    max_proxies: int
    staleness_ms: int


class ItemUpdate(msgspec.Struct, frozen=True, array_like=True, tag="fi"):
    """Control node to proxy: items, which the proxy merges one by one.

    Attributes:
        complete: Whether the proxy now has all items that a majority stored at the time of its Hello, and
            with them every change acknowledged before it.
    """

    items: tuple[Item, ...]
    complete: bool


class Backend(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a backend.

    Attributes:
        slots: Requests that it serves at the same time.
        warm_up_ms: How long it still warms up (slow start), counted from the arrival of this message; 0 if it
            is warm.
        unconfirmed: Whether the control node knows it from its disk only and has had no heartbeat of it since
            its own start. What a proxy knows of this incarnation from elsewhere takes precedence.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    warm_up_ms: int
    unconfirmed: bool = False


class BackendUpdate(msgspec.Struct, frozen=True, array_like=True, tag="fb"):
    """Control node to proxy: incarnations that are new or changed, and ids of those that are gone.

    Attributes:
        complete: Whether backends that aren't in `updated` are gone too, as in the first update of a link.
    """

    updated: tuple[Backend, ...]
    removed_ids: tuple[str, ...]
    complete: bool


class TableEntry(msgspec.Struct, frozen=True, array_like=True, tag="fl"):
    """Control node to proxy: a changed entry of a table.

    Attributes:
        table: The table's number; the entry is ignored if the proxy uses another table for the pool.
        weight: The backend's weight; 0 removes it from the table.
    """

    pool: str
    table: int
    backend_id: str
    weight: float


class BindTable(msgspec.Struct, frozen=True, array_like=True, tag="fd"):
    """Control node to proxy: use this table for the pool from now on.

    Attributes:
        table: The table's number.
        entries: All its entries, as pairs of backend id and weight.
    """

    pool: str
    table: int
    entries: tuple[tuple[str, float], ...]


class EjectBackend(msgspec.Struct, frozen=True, array_like=True, tag="fw"):
    """Control node to proxy: send no request to this backend, whichever table has it, or end that.

    Attributes:
        ejected: False to admit the backend again.
    """

    backend_id: str
    ejected: bool


class Barrier(msgspec.Struct, frozen=True, array_like=True, tag="fm"):
    """Control node to proxy, which returns it: all that was sent on this link before has been applied.

    Attributes:
        number: The control node's number of the barrier; rises with each.
    """

    number: int


class BackendLoad(msgspec.Struct, frozen=True, array_like=True):
    """A proxy's results at one backend over the interval of a load report.

    Attributes:
        attempts: Attempts that began within the interval.
        failures: Attempts that failed within the interval.
        mean_latency_ms: Time of the attempts that ended within the interval, divided by `attempts`.
    """

    backend_id: str
    attempts: int
    failures: int
    mean_latency_ms: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Proxy to control node, once a second: requests by pool and results by backend.

    Attributes:
        interval_ms: The time that the report covers.
        requests: Requests that arrived, by the name of a pool or of a host counter.
        backends: Results at each backend that had an attempt.
    """

    interval_ms: int
    requests: dict[str, int]
    backends: tuple[BackendLoad, ...]


ToProxy = ControlNodeHeartbeat | ItemUpdate | BackendUpdate | TableEntry | BindTable | EjectBackend | Barrier
ToControlNode = Hello | LoadReport | Barrier


def pool_name(service: str, home_regions: tuple[str, ...]) -> str:
    """The name of a pool: a service's backends in the home regions of a route (none: in all regions)."""
    return "|".join((service, *sorted(home_regions)))


def parse_pool_name(pool: str) -> tuple[str, tuple[str, ...]]:
    """The service and the home regions that `pool_name` was given."""
    service, *home_regions = pool.split("|")
    return service, tuple(home_regions)


def host_counter_name(host: str, home_regions: tuple[str, ...]) -> str:
    """The name under which a load report counts the requests to a host with home regions.

    Without `home_regions` it counts all of them, else those on its routes with exactly these. No service's
    name begins with "@", so that it can't be mistaken for a pool.
    """
    return "|".join(("@" + host, *sorted(home_regions)))


def parse_host_counter_name(name: str) -> tuple[str, tuple[str, ...]] | None:
    """The host and the home regions of a host counter; None if the name is a pool's."""
    if not name.startswith("@"):
        return None
    host, *home_regions = name.split("|")
    return host[1:], tuple(home_regions)
