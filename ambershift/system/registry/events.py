"""Events and effects of the machine of backends and proxies, beside those that all machines know."""

from __future__ import annotations

from dataclasses import dataclass

from ambershift.system.messages.proxy_link import Hello
from ambershift.system.messages.registry_sync import PoolRate
from ambershift.system.registry.heartbeats import Heartbeat
from ambershift.system.registry.records import Instance
from ambershift.system.state_machine import LogEvent, MessageReceived, Send


@dataclass(frozen=True, slots=True)
class ContactTick:
    """Time has passed. `touch`: enough nodes are heard; `alive`: others heard lately; `peers`: known."""

    in_contact: bool
    live_peers: frozenset[str]
    peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """Lives that were on the list before this process began; `most` proxies were known at once."""

    max_proxies: int
    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class TombstonesMerged:
    """Items of lives that end have become newer here: id and version."""

    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class TombstonesCollected:
    """Of these lives, the last cleared, the ends are held no more; nothing is taken of them."""

    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerConnected:
    peer: str


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    hello: Hello


@dataclass(frozen=True, slots=True)
class ProxyContacted:
    proxy: str


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    proxy: str


@dataclass(frozen=True, slots=True)
class RatesChanged:
    """What comes to proxies linked here, wherever it differs from what was told before."""

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
    """Effect: what is new or changed on the list, and ids that are gone from it."""

    updated: tuple[Instance, ...]
    removed: tuple[str, ...]


Effect = Send | LogEvent | EndpointsChanged
