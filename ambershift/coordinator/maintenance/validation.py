"""Whether a declaration can be judged at all: the same answer on every member, whatever its libraries."""

from __future__ import annotations

from math import isfinite

from ambershift.coordinator.maintenance.types import Declared

YEAR = 366 * 86_400 * 1_000_000_000
MAX_CAPACITY = 1e12


def unsound(declared: Declared) -> str:
    """What is wrong with it, "" where nothing is. Windows are looked at where they are read."""
    for what, names in (
        ("tenant", [one.name for one in declared.tenants]),
        ("work", [one.name for one in declared.works]),
    ):
        for name in names:
            if not name or "/" in name or len(name) > 100 or names.count(name) > 1:
                return f"{what} '{name[:100]}' has no name of its own without '/'"
    for tenant in declared.tenants:
        agreement = tenant.agreement
        if not isfinite(agreement.capacity) or not 0 <= agreement.capacity <= MAX_CAPACITY:
            return f"tenant '{tenant.name}': capacity {agreement.capacity} is none"
        if agreement.max_out < 0 or not 0 <= agreement.min_drain_interval_ns <= YEAR:
            return f"tenant '{tenant.name}': servers out and time apart can't be below 0"
        if any(not 0 < window.length_ns <= YEAR for window in tenant.windows):
            return f"tenant '{tenant.name}': a window has no length"
    for work in declared.works:
        if not 0 < work.duration_ns <= YEAR or work.max_concurrent < 0:
            return f"work '{work.name}' takes no time, or less than none at once"
        if len(set(work.servers)) != len(work.servers):
            return f"work '{work.name}' names a server twice"
    return ""
