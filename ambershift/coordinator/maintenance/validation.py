"""Checks of a declaration in the replicated log.

They use nothing that differs between members, such as the time zone data base, so that every member reaches
the same result.
"""

from __future__ import annotations

from math import isfinite

from ambershift.coordinator.maintenance.types import Declared

YEAR_NS = 366 * 86_400 * 1_000_000_000
MAX_CAPACITY = 1e12
MAX_NAME_LENGTH = 100


def find_declaration_error(declared: Declared) -> str:
    """Return what is wrong with a declaration; empty if nothing is.

    Windows are not checked here: they are parsed where they are used.
    """
    for kind, names in (
        ("tenant", [tenant.name for tenant in declared.tenants]),
        ("work", [work.name for work in declared.works]),
    ):
        for name in names:
            if not name or "/" in name or len(name) > MAX_NAME_LENGTH or names.count(name) > 1:
                return (
                    f"{kind} '{name[:MAX_NAME_LENGTH]}' needs a unique name of at most {MAX_NAME_LENGTH} "
                    "characters without '/'"
                )
    for tenant in declared.tenants:
        agreement = tenant.agreement
        if not isfinite(agreement.capacity) or not 0 <= agreement.capacity <= MAX_CAPACITY:
            return f"tenant '{tenant.name}': capacity {agreement.capacity} is out of range"
        if agreement.max_out < 0 or not 0 <= agreement.min_drain_interval_ns <= YEAR_NS:
            return f"tenant '{tenant.name}': servers out or time between drains is out of range"
        if any(not 0 < window.length_ns <= YEAR_NS for window in tenant.windows):
            return f"tenant '{tenant.name}': the length of a window is out of range"
    for work in declared.works:
        if not 0 < work.duration_ns <= YEAR_NS or work.max_concurrent < 0:
            return f"work '{work.name}': duration or servers at once is out of range"
        if len(set(work.servers)) != len(work.servers):
            return f"work '{work.name}' names a server twice"
    return ""
