"""Broken permits."""

from __future__ import annotations

from typing import Any

import msgspec

from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.types import Phase
from ambershift.coordinator.promises import permit_controller, state_machine
from ambershift.coordinator.promises.commands import Grant, Move
from ambershift.coordinator.promises.permit_controller import PermitController
from ambershift.coordinator.promises.state import GroupState, OpenPermit
from ambershift.modelcheck.mutants.words import Mutant


def judged_by_anything(real: Any) -> Any:
    """A grant stands whatever was granted since it was judged."""

    def grant(state: GroupState, number: int, at: int, command: Grant) -> Any:
        return real(state, number, at, msgspec.structs.replace(command, based_on=state.last_permit_entry))

    return grant


def no_bound(real: Any) -> Any:
    """What has ended by our clock counts as let in by all."""
    return lambda self, ends: ends


def done_is_dropped(real: Any) -> Any:
    def move(state: GroupState, number: int, command: Move) -> Any:
        held = state.permits.get(command.permit)
        if held is not None:
            permits = state.permits.insert(command.permit, held._replace(done=False))
            state = state._replace(permits=permits)
        return real(state, number, msgspec.structs.replace(command, done=False))

    return move


def ended_ones_are_left(real: Any) -> Any:
    def next_move(self: PermitController, at: int, held: OpenPermit, *words: Any) -> Any:
        if held.permit.phase is Phase.DRAINING and at >= held.permit.ends:
            return None
        return real(self, at, held, *words)

    return next_move


def no_end(real: Any) -> Any:
    """A member keeps out what a permit says, until it learns of another."""
    return lambda self, at: real(self, 0)


TWO = "no-two-break-an-agreement"
MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "permit-granted-by-two",
        "permits",
        TWO,
        "a grant stands, whatever came since it was judged",
        state_machine,
        "grant",
        judged_by_anything,
    ),
    Mutant(
        "permit-ends-without-clock-bound",
        "permits-small",
        TWO,
        "ended by one clock is ended by all",
        Limits,
        "let_in_by_all",
        no_bound,
    ),
    Mutant(
        "permit-without-an-end",
        "permits-small",
        TWO,
        "who learns nothing keeps a server out for good",
        GroupState,
        "held_out",
        no_end,
    ),
    Mutant(
        "closed-before-all-let-in",
        "permits-small",
        TWO,
        "closed while others keep its server out",
        permit_controller,
        "all_let_in",
        lambda real: lambda *words: True,
    ),
    Mutant(
        "done-is-dropped",
        "permits-small",
        "never-drained-twice",
        "that the work is done is not kept",
        state_machine,
        "move",
        done_is_dropped,
    ),
    Mutant(
        "ended-permits-are-left",
        "permits-small",
        "never-forgotten-out",
        "a drain that ran over stays",
        PermitController,
        "next_move",
        ended_ones_are_left,
    ),
    Mutant(
        "grants-with-its-clock-apart",
        "permits",
        "no-grant-while-apart",
        "a leader trusts its own clock",
        permit_controller,
        "is_clock_skewed",
        lambda real: lambda *words: False,
    ),
)
