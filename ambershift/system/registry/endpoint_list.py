"""The list of backends that all nodes arrive at, from what each hears and from what is held for good."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace

from ambershift.system.registry.records import Life
from ambershift.system.state_machine import NS_PER_SECOND

KEPT = 600 * NS_PER_SECOND  # So long a life is remembered that nobody hears, or that another has replaced.
DRAINING, GONE = 1, 2  # Versions of the item of a life that ends.


class Listing:
    """`shown` is the list. A missing life leaves it, unless its service would have none that is ready."""

    def __init__(self) -> None:
        self.shown: dict[str, Life] = {}
        self._shown = defaultdict[str, set[str]](set)  # Ids of these, by service.
        self._lost = set[str]()
        self.lives: dict[str, Life] = {}  # The newest known of each life that is neither gone nor replaced.
        self.absent: dict[str, int] = {}  # Of these, those that nobody hears, and since when.
        self.replaced: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.cleared = frozenset[str]()  # The last lives whose ends are held no more.
        self.services = defaultdict[str, set[str]](set)
        self.owner: dict[str, str] = {}  # The life that has an address.

    def over(self, id: str) -> bool:
        return id in self.replaced or id in self.cleared or self.ended.get(id, 0) >= GONE

    def clear(self, ids: Iterable[str]) -> None:
        self.cleared = frozenset(ids)
        for id in self.cleared:
            self.ended.pop(id, None)

    def losers(self) -> set[str]:
        """Lives that others have replaced at their address since this was asked last."""
        lost, self._lost = self._lost, set()
        return lost

    def refresh(
        self, now: int, ids: Iterable[str], best: Callable[[str], Life | None]
    ) -> tuple[list[Life], list[str]]:
        """Look again at these lives. Returns what is new or changed on the list, and what is gone."""
        touched = set[str]()
        for id in ids:
            if known := self.lives.get(id):
                touched.add(known.service)
            life = best(id)
            if self.over(id):
                self._forget(id)
            elif life:
                touched |= self._settle(now, life)
            elif known and id not in self.absent:
                self.absent[id] = now
        put, gone = list[Life](), list[str]()
        for service in touched:
            self._show(now, service, put, gone)
        return put, gone

    def tidy(self, now: int) -> list[str]:
        """Lives to look at again, since nobody has heard them for very long."""
        for id, at in list(self.replaced.items()):
            if now > at + KEPT:
                del self.replaced[id]
        old = [id for id, at in self.absent.items() if now > at + KEPT and id not in self.shown]
        for id in old:
            self._forget(id)
        return old

    def _settle(self, now: int, life: Life) -> set[str]:
        """Take a life that is heard; at its address the one that was first heard later stays."""
        touched = {life.service}
        other = self.lives.get(self.owner.get(life.address, ""))
        if other and other.id != life.id and other.address == life.address:
            loser = min(life, other, key=lambda one: (one.born, one.id))
            touched.add(loser.service)
            self.replaced[loser.id] = now
            self._lost.add(loser.id)
            self._forget(loser.id)
            if loser is life:
                return touched
        if self.ended.get(life.id) == DRAINING and not life.draining:
            life = replace(life, draining=True)
        known = self.lives.get(life.id)
        if known and known.service != life.service:
            self.services[known.service].discard(life.id)
        self.owner[life.address] = life.id
        self.lives[life.id] = life
        self.services[life.service].add(life.id)
        self.absent.pop(life.id, None)
        return touched

    def _forget(self, id: str) -> None:
        self.absent.pop(id, None)
        if known := self.lives.pop(id, None):
            self.services[known.service].discard(id)
            if self.owner.get(known.address) == id:
                del self.owner[known.address]

    def _show(self, now: int, service: str, put: list[Life], gone: list[str]) -> None:
        ids = self.services[service]
        heard = any(id not in self.absent and not self.lives[id].draining for id in ids)
        visible = {id for id in ids if id not in self.absent or not (heard or self.lives[id].draining)}
        for id in sorted(visible):
            shown, life = self.shown.get(id), self.lives[id]
            if shown is None or not life.alike(shown, now):
                if shown and shown.service != service:
                    self._shown[shown.service].discard(id)
                self.shown[id] = life
                self._shown[service].add(id)
                put.append(life)
        for id in sorted(self._shown[service] - visible):
            del self.shown[id]
            self._shown[service].discard(id)
            gone.append(id)
