"""Scene: what commands are carried out on, with the names that people use in place of indices."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from ambershift import interface as api
from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.admin.overlay import effective_entry
from ambershift.coordinator.admin.types import State
from ambershift.coordinator.admin.view import View
from ambershift.coordinator.runtime.common import Common
from ambershift.id_index import IdIndex
from ambershift.policy_settings import FrontSettings

NO_ZONE = "-"  # The zone of servers for which the settings know none.


class Place(NamedTuple):
    """A socket of this API, as `show cli sockets` tells of it."""

    address: str
    level: str
    mode: str


class Relaying(NamedTuple):
    """How the way to the relay stands."""

    address: str
    calls: int


class Scene:
    """Read by handlers; `counts` are the book's, `base` what they were when counters were cleared last."""

    def __init__(
        self,
        controller: AdminController,
        names: FrontSettings,
        door: IdIndex[str],
        addresses: Mapping[int, str],
        now: Callable[[], int],
        counts: Mapping[str, int],
        relaying: Callable[[], Relaying],
        node: str,
        groups: int,
        version: str,
    ) -> None:
        self.controller, self.names, self.door, self.addresses, self.now = (
            controller,
            names,
            door,
            addresses,
            now,
        )
        self.counts, self.relaying = counts, relaying
        self.node, self.groups, self.version = node, groups, version
        self.started, self.pid, self.memory_mb = now(), 0, 0.0
        self.places = tuple[Place, ...]()
        self.connections, self.accepted = 0, 0
        self.base = dict[str, int]()
        self.met_base = dict[int, tuple[int, int]]()
        self.common: Common | None = None  # What the group gives, where there is one.

    def view(self) -> View:
        return self.controller.view(self.now())

    def zone_name(self, zone: int) -> str:
        return self.names.zones[zone] if 0 <= zone < len(self.names.zones) else NO_ZONE

    def zones(self, view: View) -> list[int]:
        """All zones of the settings, and the one of servers without a zone if there are any."""
        return [*range(len(self.names.zones)), *([-1] if -1 in view.inventory.zones else [])]

    def zone(self, name: str) -> int | None:
        if name == NO_ZONE:
            return -1
        return self.names.zones.index(name) if name in self.names.zones else None

    def servers(self, view: View, zone: int) -> list[int]:
        return sorted(view.inventory.members(zone))

    def title(self, view: View, server: int) -> str:
        return f"{self.zone_name(view.inventory.listed[server].zone)}/{self.door.ids[server]}"

    def count(self, name: str) -> int:
        return self.counts.get(name, 0) - self.base.get(name, 0)

    def entry(self, view: View, server: int) -> api.Entry:
        """The server as the module shall see it."""
        return effective_entry(view.inventory, server, self.controller.warmth, view.now)

    def warm_part(self, view: View, server: int) -> float:
        """How much of its cold spell a server has behind it, from 0 to 1."""
        entry, warmth = view.inventory.listed[server], self.controller.warmth
        if warmth.warm(entry, view.now):
            return 1.0
        return max(0.0, (view.now - entry.since) / warmth.cold)

    def status(self, view: View, server: int) -> str:
        """HAProxy's words for a server's state."""
        listed, wish = view.inventory.listed[server], view.inventory.override(server)
        if server in view.inventory.lent:
            return "UP (lent)"
        if wish.state is State.MAINT:
            return "MAINT"
        if listed.phase == api.Phase.GONE:
            return "MAINT (list)"
        if wish.state is State.DRAIN or listed.phase == api.Phase.DRAINING:
            return "DRAIN" if wish.state is State.DRAIN else "DRAIN (list)"
        if wish.health.value:
            return ("", "NOLB", "DOWN")[wish.health]
        return "UP"
