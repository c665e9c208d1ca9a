"""The table at the end of a rehearsal, and whether a promise broke."""

from __future__ import annotations

from collections.abc import Sequence

from ambershift.system.testbed.rig import Rig
from ambershift.system.testbed.settings import CONTROL_NODE, PROXY

# What must be none, in the order of the table.
PROMISES = (
    "ran twice what may run once",
    "mixed answers",
    "ran what no client sent",
    "ran after a promise that it never will",
    "ran at a service it may not reach",
    "ran away from home",
    "sent to a backend that left",
    "sent to a zone evacuated",
    "too much to a cold backend",
    "handled by an old configuration",
    "refused what is allowed",
    "lost at an orderly end",
    "bytes that no request asked for",
    "acknowledged what is invalid",
)
SHOWN = 5
LATE_S, TOO_LATE = 0.25, "  (this machine is too busy for the times above to mean much)"


def quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def table(rig: Rig, differences: Sequence[str], ends: Sequence[str]) -> tuple[list[str], bool]:
    """The lines, and whether all promises were kept."""
    judge, history, counts = rig.judge, rig.history, rig.judge.counts
    order = history.judge()
    served, asked = counts["served"], counts["requests"]
    rows = [
        ("requests", f"{asked}  (tries {counts['tries']})"),
        (
            "  served",
            f"{served}  ({share(served, asked)}; in aim {share(counts['in aim'], asked)}; "
            f"median {quantile(judge.waits, 0.5) * 1e3:.0f} ms, "
            f"99 % within {quantile(judge.waits, 0.99) * 1e3:.0f} ms)",
        ),
        ("  refused", str(counts["refused"])),
        ("  failed", f"{counts['failed']}  {listed(judge.reasons)}"),
        ("answers lost by backends on purpose", str(sum(one.dropped for one in judge.tries.values()))),
        ("directory", f"{counts['directory answered']} answers, {counts['directory failed']} failed"),
        (
            "orders of the operator",
            f"{rig.operator.orders}, {rig.operator.unacknowledged} not acknowledged in time",
        ),
        (
            "application calls",
            f"{history.counts['calls']}, answered "
            f"{share(history.counts['answered'], history.counts['calls'])}, in aim "
            f"{share(history.counts['in aim'], history.counts['calls'])}  "
            f"{listed(history.reasons)}",
        ),
        ("the stand-ins were late by up to", f"{rig.late:.2f} s{TOO_LATE if rig.late > LATE_S else ''}"),
    ]
    lines = ["", *(f"{name:38} {text}" for name, text in rows), ""]
    kept = True
    rules = [(name, judge.faults[name], judge.words.get(name, "")) for name in PROMISES]
    rules += [
        ("order faults of locks, numbers, cells", len(order), "; ".join(order[:SHOWN])),
        ("configuration read back: differences", len(differences), "; ".join(differences[:SHOWN])),
        ("orders not acknowledged", rig.operator.unacknowledged, ""),
        ("processes that ended wrongly", len(ends), "; ".join(ends[:SHOWN])),
    ]
    troubles = {name: found for name, child in rig.children.items() if (found := child.troubles())}
    rules.append(
        (
            "parts that failed on an event",
            sum(map(len, troubles.values())),
            "; ".join(f"{name}: {found[-1]}" for name, found in list(troubles.items())[:SHOWN]),
        )
    )
    for name, count, words in rules:
        kept = kept and count == 0
        lines.append(f"{name:38} {count:<6} {'' if count == 0 else 'BROKEN  ' + words}".rstrip())
    return [*lines, "", *costs(rig)], kept


def costs(rig: Rig) -> list[str]:
    lines = [
        f"{'role':12} {'processes':>9} {'starts':>7} {'processor s':>12} {'most of one':>12} {'peak MiB':>9}"
    ]
    for kind, title in ((PROXY, "proxy"), (CONTROL_NODE, "control")):
        found = rig.of(kind)
        lines.append(
            f"{title:12} {len(found):>9} {sum(one.starts for one in found):>7} "
            f"{sum(one.cpu for one in found):>12.2f} {max(one.cpu for one in found):>12.2f} "
            f"{max(one.peak for one in found):>9.1f}"
        )
    return lines


def share(part: int, whole: int) -> str:
    return f"{100 * part / whole:.2f} %" if whole else "-"


def listed(counts: dict[str, int]) -> str:
    found = sorted(counts.items(), key=lambda one: -one[1])[:SHOWN]
    return f"({', '.join(f'{name}: {count}' for name, count in found)})" if found else ""
