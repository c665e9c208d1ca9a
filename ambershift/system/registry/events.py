"""Events and effects of the registry's state machine, besides those that all state machines know."""

from __future__ import annotations

from dataclasses import dataclass

from ambershift.system.messages.proxy_link import Hello
from ambershift.system.messages.registry_sync import PoolRate
from ambershift.system.registry.heartbeats import Heartbeat
from ambershift.system.registry.records import Instance
from ambershift.system.state_machine import LogEvent, MessageReceived, PeerConnected, Send


@dataclass(frozen=True, slots=True)
class ContactTick:
    """Time has passed.

    Attributes:
        in_contact: This control node has heard from enough of the others lately.
        live_peers: Ips of the others that it has heard from lately.
        peers: Ips of all others that are known.
    """

    in_contact: bool
    live_peers: frozenset[str]
    peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """The endpoint list of the process before this one.

    Attributes:
        max_proxies: The most proxies that it knew at once.
    """

    max_proxies: int
    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class TombstonesMerged:
    """Tombstones have arrived or become newer.

    Attributes:
        versions: Instance id and version of each.
    """

    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class TombstonesCollected:
    """The tombstones of these instances have been dropped; nothing is accepted of the instances any more.

    Attributes:
        ids: The last collected ones, some of which may be known.
    """

    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """A proxy linked here has said `Hello`, for the first time or again."""

    hello: Hello


@dataclass(frozen=True, slots=True)
class ProxyContacted:
    """A proxy linked here has sent a message of any kind; `proxy` is its name."""

    proxy: str


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """The link of a proxy has ended; `proxy` is its name."""

    proxy: str


@dataclass(frozen=True, slots=True)
class RatesChanged:
    """Request rates at the proxies linked here that differ from what was reported before.

    Attributes:
        removed: Zone and pool of rates that no longer exist.
    """

    rates: tuple[PoolRate, ...]
    removed: tuple[tuple[str, str], ...] = ()


Event = (
    Heartbeat
    | ContactTick
    | SnapshotLoaded
    | TombstonesMerged
    | TombstonesCollected
    | PeerConnected
    | ProxyConnected
    | ProxyContacted
    | ProxyDisconnected
    | RatesChanged
    | MessageReceived
)


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """Effect: endpoints that are new or have changed, and ids of those that have left the list."""

    updated: tuple[Instance, ...]
    removed: tuple[str, ...]


Effect = Send | LogEvent | EndpointsChanged
