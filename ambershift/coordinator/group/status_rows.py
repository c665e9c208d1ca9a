"""The rows of `show group`, and of permits what the log alone holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ambershift.coordinator.promises.state import GroupState

if TYPE_CHECKING:
    from ambershift.coordinator.group.member import Member

NS_PER_MS = 1_000_000
SECOND = 1_000_000_000
# A member not heard for so long is shown as away, and not as leader: heartbeats come twenty times a second.
AWAY_TIMEOUT_NS = 2 * SECOND


def member_rows(member: Member) -> list[dict[str, Any]]:
    """Return a row for each member, as this one knows it.

    `heard_ms` is -1 for a member that was never heard and for this one; `link` is `up`, or why the
    outgoing link to it is down.
    """
    replica, halted = member.replica, member.halted
    known_rows = replica.member_rows(member.now()) if replica is not None else ()
    rows_by_name = {row.name: row for row in known_rows}
    rows = []
    for name in (*member.spec.voters, *member.spec.learners):
        row, is_local, heard_at = (
            rows_by_name.get(name),
            name == member.spec.name,
            member.last_heard.get(name),
        )
        age = -1 if heard_at is None else member.now() - heard_at
        is_present = is_local or 0 <= age < AWAY_TIMEOUT_NS
        state, why = row.status if row is not None else "unknown", ""
        if not is_present and age >= 0:
            state = "away"
        if is_local and halted is not None:
            state, why = "halted", f"{halted[0]}: {halted[1]}"
        rows.append(
            {
                "name": name,
                "state": state,
                "leader": bool(row and row.is_leader and is_present and not (is_local and halted)),
                "votes": name in member.spec.voters,
                "incarnation": member.startup.incarnation if is_local else row.incarnation if row else 0,
                "committed": (
                    (replica.committed if replica else 0) if is_local else row.committed if row else 0
                ),
                "heard_ms": -1 if is_local or age < 0 else age // NS_PER_MS,
                "link": "-" if is_local else member.links.statistics.states.get(name, "") or "up",
                "why": why,
            }
        )
    return rows


def permit_rows(state: GroupState, wall: int) -> list[dict[str, Any]]:
    """Return a row for each open permit; `wall` is the wall clock, Unix ns."""
    return [
        {
            "permit": held.permit.id,
            "server": held.permit.server,
            "work": held.permit.work,
            "phase": held.permit.phase.name.lower(),
            "ends_ms": (held.permit.ends - wall) // NS_PER_MS,
            "tenants": ",".join(held.permit.tenants),
        }
        for _, held in sorted(state.permits.items())
    ]
