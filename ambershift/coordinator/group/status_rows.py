"""Rows: what `show group` tells, and of permits what the log alone holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ambershift.coordinator.promises.state import Promises

if TYPE_CHECKING:
    from ambershift.coordinator.group.member import Member

MS, SECOND = 1_000_000, 1_000_000_000
# Who was not heard for so long is told as away, and leads nobody here: beats come twenty times a second.
AWAY = 2 * SECOND


def member_rows(member: Member) -> list[dict[str, Any]]:
    """A row a member, as this one knows it. `heard_ms` is -1 for who was never heard and for this member
    itself; `link` is `up`, or why the way there does not stand.
    """
    replica, halted, me = member.replica, member.halted, member.spec.me
    found = replica.member_rows(member.now()) if replica is not None else ()
    rows = {row.name: row for row in found}
    names = (*member.spec.voters, *member.spec.copies)
    made = []
    for name in names:
        row, own, at = rows.get(name), name == me, member.heard_at.get(name)
        age = -1 if at is None else member.now() - at
        here = own or 0 <= age < AWAY
        state, why = row.status if row is not None else "unknown", ""
        if not here and age >= 0:
            state = "away"
        if own and halted is not None:
            state, why = "halted", f"{halted[0]}: {halted[1]}"
        made.append(
            {
                "name": name,
                "state": state,
                "leader": bool(row and row.leads and here and not (own and halted)),
                "votes": name in member.spec.voters,
                "incarnation": member.life.incarnation if own else row.incarnation if row else 0,
                "committed": (replica.committed if replica else 0) if own else row.committed if row else 0,
                "heard_ms": -1 if own or age < 0 else age // MS,
                "link": "-" if own else member.links.statistics.states.get(name, "") or "up",
                "why": why,
            }
        )
    return made


def permit_rows(state: Promises, wall: int) -> list[dict[str, Any]]:
    return [
        {
            "permit": held.permit.id,
            "server": held.permit.server,
            "work": held.permit.work,
            "phase": held.permit.phase.name.lower(),
            "ends_ms": (held.permit.ends - wall) // MS,
            "tenants": ",".join(held.permit.tenants),
        }
        for _, held in sorted(state.permits.items())
    ]
