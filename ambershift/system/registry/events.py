"""Events and effects of the machine of backends and proxies, beside those that all machines know."""

from __future__ import annotations

from dataclasses import dataclass

from ambershift.system.messages.proxy_link import Hello
from ambershift.system.messages.registry_sync import Flow
from ambershift.system.registry.heartbeats import Beat
from ambershift.system.registry.records import Life
from ambershift.system.state_machine import LogEvent, MessageReceived, Send


@dataclass(frozen=True, slots=True)
class Look:
    """Time has passed. `touch`: enough nodes are heard; `alive`: others heard lately; `peers`: known."""

    touch: bool
    alive: frozenset[str]
    peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Recalled:
    """Lives that were on the list before this process began; `most` proxies were known at once."""

    most: int
    lives: tuple[Life, ...]


@dataclass(frozen=True, slots=True)
class Ended:
    """Items of lives that end have become newer here: id and version."""

    lives: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Cleared:
    """Of these lives, the last cleared, the ends are held no more; nothing is taken of them."""

    lives: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Linked:
    peer: str


@dataclass(frozen=True, slots=True)
class Greeted:
    hello: Hello


@dataclass(frozen=True, slots=True)
class Spoke:
    proxy: str


@dataclass(frozen=True, slots=True)
class Parted:
    proxy: str


@dataclass(frozen=True, slots=True)
class Flowed:
    """What comes to proxies linked here, wherever it differs from what was told before."""

    flows: tuple[Flow, ...]
    gone: tuple[tuple[str, str], ...] = ()


Event = (
    Beat | Look | Recalled | Ended | Cleared | Linked | Greeted | Spoke | Parted | Flowed | MessageReceived
)


@dataclass(frozen=True, slots=True)
class Shown:
    """Effect: what is new or changed on the list, and ids that are gone from it."""

    put: tuple[Life, ...]
    gone: tuple[str, ...]


Effect = Send | LogEvent | Shown
