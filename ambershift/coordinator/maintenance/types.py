"""Tenants, agreements, windows, works and permits: types only, no decision.

Times are whole nanoseconds of Unix time unless a name ends in `_ns` for a length. Servers are known by their
ids in the list.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec


class Agreement(msgspec.Struct, frozen=True, array_like=True):
    """What must hold for a tenant at every moment, as far as maintenance can break it."""

    capacity: float  # Least sum of the warm usable weights of its servers.
    max_out: int  # Servers of its own that may be out at once.
    min_drain_interval_ns: int  # Least time between two drains.
    closed_days: tuple[str, ...]  # Days, such as "2026-12-24", in the tenant's zone of time.


class Window(msgspec.Struct, frozen=True, array_like=True):
    """When maintenance may be: an RFC 5545 recurrence of openings in a zone of time, each of this length."""

    name: str
    rrule: str
    start: str  # Local time of the first opening, such as "2026-12-01T02:00:00".
    length_ns: int
    zone: str  # A name of the IANA data base, such as "Europe/Budapest".


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """A named part of the traffic. It uses the servers of its zones; with no zones named, all."""

    name: str
    groups: tuple[str, ...]
    zones: tuple[str, ...]
    proxies: tuple[int, ...]
    agreement: Agreement
    windows: tuple[Window, ...]


class Work(msgspec.Struct, frozen=True, array_like=True):
    """Take these servers out, each for so long, all before a time. No wave has more than `at_once` servers;
    0: no limit of its own.
    """

    name: str
    servers: tuple[str, ...]
    duration_ns: int
    deadline: int
    max_concurrent: int


class Declared(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    tenants: tuple[Tenant, ...]
    works: tuple[Work, ...]


class Phase(IntEnum):
    """How far a permit has come; it only goes up."""

    DRAINING = 0  # Committed: every coordinator shuts the server out for its proxies.
    OUT = 1  # All that steer have drained it; the work goes on.
    RETURNING = 2  # Let in again where the list has it; it counts as out until it is warm.
    CLOSED = 3


class Permit(msgspec.Struct, frozen=True, array_like=True):
    """A promise to keep one server out, with an end. `ends` bounds DRAINING and OUT by any member's clock:
    each lets the server in at its own `ends`; whoever grants counts it as out until `ends` and twice the
    clock bound.
    """

    id: str  # "WORK/SERVER/N", N counting the tries of that server.
    work: str
    server: str
    phase: Phase
    granted: int
    ends: int
    tenants: tuple[str, ...]
    weight: float  # What it takes away while it is out.


class Trouble(StrEnum):
    """Why a server does not count as usable at this moment."""

    LISTED_OUT = "listed-out"
    WISHED_OUT = "wished-out"
    ILL = "ill"
    CUT = "cut"
    COLD = "cold"
    UNKNOWN = "unknown"


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """One server as the leader's coordinator sees it now, from list, wishes and heard state."""

    server: str
    zone: str
    weight: float
    trouble: Trouble | None
    warm_at: int  # 0: it is warm.
    interfered: float = 0.0  # Part of its capacity that neighbours take, 0 to 1.


class Refusal(StrEnum):
    """What binds where a work can't be laid, or a wave can't be granted now."""

    CAPACITY = "capacity"
    OUT_MOST = "out-most"
    APART = "apart"
    CLOSED_DAY = "closed-day"
    NO_WINDOW = "no-window"
    WINDOW_TOO_SHORT = "window-too-short"
    TOO_LATE = "too-late"
    ALREADY_OUT = "already-out"
    NO_SUCH_SERVER = "no-such-server"
    CLOCK_APART = "clock-apart"
    CHANGED_MEANWHILE = "changed-meanwhile"
