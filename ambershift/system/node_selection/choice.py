"""Decides, without I/O, which control node a desk dials and when it leaves one."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from ambershift.system.messages.fronts import Core
from ambershift.system.steps import MS, SECOND

SILENT = 1600 * MS  # A sign of life comes each half second.
APART = 1200 * MS  # How long one may be out of touch with the others before it is left.
PENALTY = 4 * SECOND  # How long one that failed us is tried after all others.
NEARER = 5 * SECOND  # How long a link must have stood well before a nearer control node is tried.


def weight(name: str, ip: str) -> bytes:
    """Rendezvous hashing: of equally near ones each desk has an order of its own."""
    return blake2b(f"{name} {ip}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class Choice:
    name: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    cores: tuple[Core, ...] = ()
    failed: dict[str, int] = field(default_factory=dict)
    linked: str | None = None
    since: int = 0
    heard: int = 0
    apart: int | None = None

    def candidates(self, now: int) -> list[str]:
        """All control nodes known, the one to try first in front."""
        known = {core.ip: (core.zone != self.zone) + (core.region != self.region) for core in self.cores}
        for ip in self.seeds:
            known.setdefault(ip, 3)
        return sorted(known, key=lambda ip: (now < self.failed.get(ip, 0), known[ip], weight(self.name, ip)))

    def up(self, now: int, ip: str) -> None:
        self.linked, self.since, self.heard, self.apart = ip, now, now, None

    def fail(self, now: int, ip: str) -> None:
        """It did not answer a dial, broke off, was silent, or out of touch."""
        self.failed[ip] = now + PENALTY
        if self.linked == ip:
            self.linked = None

    def hear(self, now: int, cores: Sequence[Core], in_touch: bool) -> None:
        self.heard = now
        self.cores = tuple(cores) or self.cores
        self.apart = None if in_touch else self.apart or now

    def alive(self, now: int) -> None:
        self.heard = now

    def leave(self, now: int) -> str:
        """Why the link in use is to be given up; empty while it is good."""
        if self.linked is None:
            return ""
        if now - self.heard > SILENT:
            return "silent"
        return "out of touch" if self.apart is not None and now - self.apart > APART else ""

    def nearer(self, now: int) -> str | None:
        """One that is nearer than the one in use, to be dialled beside it; None where there is none."""
        if self.linked is None or now - self.since < NEARER:
            return None
        first = self.candidates(now)[0]
        zones = {core.ip: (core.zone != self.zone) + (core.region != self.region) for core in self.cores}
        if first != self.linked and zones.get(first, 3) < zones.get(self.linked, 3):
            return first
        return None

    def reseed(self, seeds: Iterable[str]) -> None:
        """The settings file has changed."""
        self.seeds = tuple(seeds)
