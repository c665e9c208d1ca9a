"""What control nodes tell each other of backends, proxies, shares. Owned by `registry/` and `distribution/`.

Each control node tells what it hears itself, as a set of records with an edition that rises with each batch
of changes. Times are spans in ms, counted from the sending: steady clocks of two machines have no relation.
"""

from __future__ import annotations

import msgspec


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """A backend's life as its keeper heard it. `cold`: ms still cold; `age`: ms since it was first heard."""

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
    """A proxy linked to the sender; `age`: ms since its last Hello."""

    name: str
    incarnation: str
    zone: str
    address: str
    ready: bool
    draining: bool
    hello_age_ms: int


class PoolRate(msgspec.Struct, frozen=True, array_like=True):
    """What came to a zone's proxies linked to the sender for a pool, in requests per 100 s."""

    zone: str
    pool: str
    rate: int


class RegistryDelta(msgspec.Struct, frozen=True, array_like=True, tag="rd"):
    """Changes of the sender's records from edition `since` to `upto`; `since` -1: these are all it has.

    `start` is drawn at each start of the process. `gone` has keys of records: "b" and an id, "d" and a
    proxy's name, "f", the zone, a space and the pool. `most` is how many proxies the sender has known at
    once.
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
    """The sender's records stand at this edition, and whom it keeps it heard lately."""

    incarnation: int
    revision: int


class FullStateRequest(msgspec.Struct, frozen=True, array_like=True, tag="ra"):
    """Send me all your records: mine are another edition."""

    revision: int
