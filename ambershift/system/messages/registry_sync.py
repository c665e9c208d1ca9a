"""Messages by which control nodes share what they know of backends, proxies and request rates.

Used by `registry/` and `distribution/`. Each control node sends what it knows at first hand, as a set of
records with a revision that rises with each batch of changes. Times are spans in ms, counted from the
sending, since the steady clocks of two machines have no relation. Tags and the order of the fields are the
wire format.
"""

from __future__ import annotations

import msgspec


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a backend, as the control node that receives its heartbeats knows it.

    Attributes:
        slots: Requests that it serves at the same time.
        sequence: Number of its newest heartbeat.
        warm_up_ms: How much longer it warms up (ms); 0 if it is warm.
        age_ms: Time since its first heartbeat (ms).
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    sequence: int
    draining: bool
    warm_up_ms: int
    age_ms: int


class ProxyLinkRecord(msgspec.Struct, frozen=True, array_like=True):
    """A proxy linked to the sender.

    Attributes:
        incarnation: Drawn by the proxy at each start of its process.
        address: Where clients reach it (ip:port).
        ready: It has the complete configuration and serves.
        draining: It is about to stop.
        hello_age_ms: Time since its last `Hello` (ms).
    """

    name: str
    incarnation: str
    zone: str
    address: str
    ready: bool
    draining: bool
    hello_age_ms: int


class PoolRate(msgspec.Struct, frozen=True, array_like=True):
    """Request rate of a pool at the proxies of a zone that are linked to the sender.

    Attributes:
        pool: The pool, or another counter's name (`proxy_link.host_counter_name`).
        rate: Requests per 100 s.
    """

    zone: str
    pool: str
    rate: int


class RegistryDelta(msgspec.Struct, frozen=True, array_like=True, tag="rd"):
    """Changes of the sender's records from `base_revision` to `revision`.

    Attributes:
        incarnation: Drawn at each start of the sender's process.
        base_revision: Revision that the changes apply to; -1: these are all records of the sender.
        revision: Revision after the changes.
        removed: Keys of removed records (`registry.records`): "b" and an instance's id, "d" and a proxy's
            name, or "f", the zone, a space and the pool.
        max_proxies: The most proxies that the sender has known at once.
    """

    incarnation: int
    base_revision: int
    revision: int
    instances: tuple[InstanceRecord, ...]
    proxies: tuple[ProxyLinkRecord, ...]
    rates: tuple[PoolRate, ...]
    removed: tuple[str, ...]
    max_proxies: int


class RevisionAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag="rp"):
    """The sender's records are at this revision, and all that it reports has sent heartbeats in time.

    Attributes:
        incarnation: Drawn at each start of the sender's process.
    """

    incarnation: int
    revision: int


class FullStateRequest(msgspec.Struct, frozen=True, array_like=True, tag="ra"):
    """Asks for all records: the sender's copy is at another revision.

    Attributes:
        revision: Of the sender's copy; -1 if it has none of this incarnation.
    """

    revision: int
