"""Types of maintenance: tenants, agreements, windows, works and permits. They decide nothing.

Times are whole nanoseconds of Unix time; names that end in `_ns` are lengths. Servers are identified by their
ids in the server list.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec


class Agreement(msgspec.Struct, frozen=True, array_like=True):
    """What maintenance must guarantee to a tenant at every moment."""

    capacity: float  # Minimum sum of the weights of its usable warm servers.
    max_out: int  # Servers of the tenant that may be out at once.
    min_drain_interval_ns: int  # Minimum time between the starts of two drains.
    closed_days: tuple[str, ...]  # Dates such as "2026-12-24", in the time zones of the tenant's windows.


class Window(msgspec.Struct, frozen=True, array_like=True):
    """When maintenance is allowed: an RFC 5545 recurrence of openings, each of the same length."""

    name: str
    rrule: str
    start: str  # Local time of the first opening, such as "2026-12-01T02:00:00".
    length_ns: int
    zone: str  # IANA time zone, such as "Europe/Budapest".


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """A named part of the traffic; it uses the servers of its zones, or of all zones if it names none."""

    name: str
    groups: tuple[str, ...]
    zones: tuple[str, ...]
    proxies: tuple[int, ...]
    agreement: Agreement
    windows: tuple[Window, ...]


class Work(msgspec.Struct, frozen=True, array_like=True):
    """Maintenance of a set of servers: each is taken out for a time, all before a deadline."""

    name: str
    servers: tuple[str, ...]
    duration_ns: int  # How long each server is out for the work itself, without drain and warm-up.
    deadline: int
    max_concurrent: int  # Servers of this work that may be out at once; 0: no limit of its own.


class Declared(msgspec.Struct, frozen=True, array_like=True):
    """The maintenance that the settings declare; a higher revision replaces a lower one."""

    revision: int
    tenants: tuple[Tenant, ...]
    works: tuple[Work, ...]


class Phase(IntEnum):
    """How far a permit has come; it never goes back."""

    DRAINING = 0  # Committed: every coordinator drains the server for its proxies.
    OUT = 1  # Every member that steers proxies has drained the server; the work is under way.
    RETURNING = 2  # Back in service where the list has it; it counts as out until it is warm.
    CLOSED = 3


class Permit(msgspec.Struct, frozen=True, array_like=True):
    """A permit to keep one server out, with an end.

    `ends` limits DRAINING and OUT by the clock of each member: a member lets the server in again at `ends` of
    its own clock, and the leader counts it as out until `ends` plus twice the clock bound.
    """

    id: str  # "WORK/SERVER/N", where N counts the attempts at that server.
    work: str
    server: str
    phase: Phase
    granted: int
    ends: int
    tenants: tuple[str, ...]
    weight: float  # The capacity that is missing while the server is out.


class Trouble(StrEnum):
    """Why a server isn't usable at this moment."""

    LISTED_OUT = "listed-out"
    WISHED_OUT = "wished-out"
    ILL = "ill"
    CUT = "cut"
    COLD = "cold"
    UNKNOWN = "unknown"


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """The state of one server as the leader sees it now, from list, wishes and observations."""

    server: str
    zone: str
    weight: float
    trouble: Trouble | None
    warm_at: int  # 0: it is warm.
    interfered: float = 0.0  # Fraction of its capacity that other jobs on its machine take, 0 to 1.


class Refusal(StrEnum):
    """Why a drain can't be scheduled, or a wave can't be granted now."""

    CAPACITY = "capacity"
    TOO_MANY_OUT = "out-most"
    DRAIN_TOO_RECENT = "apart"
    CLOSED_DAY = "closed-day"
    NO_WINDOW = "no-window"
    WINDOW_TOO_SHORT = "window-too-short"
    TOO_LATE = "too-late"
    ALREADY_OUT = "already-out"
    NO_SUCH_SERVER = "no-such-server"
    CLOCK_SKEWED = "clock-apart"
    CHANGED_MEANWHILE = "changed-meanwhile"
