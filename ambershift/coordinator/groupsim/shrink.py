"""A plan that fails made smaller: parts are left out one by one, as long as it still fails."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ambershift.coordinator.groupsim.plan import CALM, Plan
from ambershift.coordinator.groupsim.world import Verdict, run

TRIES_MOST = 400


def smaller(plan: Plan) -> Iterator[Plan]:
    """Plans with one thing less, the largest things first."""
    for at in range(len(plan.faults)):
        yield plan._replace(faults=plan.faults[:at] + plan.faults[at + 1 :])
    if plan.weather != CALM:
        yield plan._replace(weather=CALM)
        for name in ("lost", "repeated", "late"):
            if getattr(plan.weather, name):
                yield plan._replace(weather=plan.weather._replace(**{name: 0}))
    if any(plan.drift):
        yield plan._replace(drift=(0,) * len(plan.drift))
    if plan.copies:
        yield plan._replace(
            copies=(),
            folders=tuple(one for one in plan.folders if one in plan.voters),
            drift=plan.drift[: len(plan.voters)],
            faults=tuple(
                one
                for one in plan.faults
                if not set(one.who) & set(plan.copies) and not any("," in part for part in one.who)
            ),
        )
    if plan.tight:
        yield plan._replace(tight=False)
    if plan.clients > 1:
        yield plan._replace(clients=plan.clients - 1)


def shrink(plan: Plan, fails: Callable[[Plan], bool] = lambda one: run(one).wrong is not None) -> Plan:
    """The smallest plan found that still fails. What fails may change on the way: any failure is one."""
    tries, goes_on = 0, True
    while goes_on and tries < TRIES_MOST:
        goes_on = False
        for one in smaller(plan):
            tries += 1
            if fails(one):
                plan, goes_on = one, True
                break
    return plan


def told(plan: Plan) -> list[str]:
    """The plan, what happened by it, and what was wrong."""
    found: Verdict = run(plan, traced=True)
    return [*plan.text(), *found.trace]
