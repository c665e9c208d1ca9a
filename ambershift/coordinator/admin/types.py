"""The types of operators' commands and overrides. They hold no logic beyond their own fields.

Times are integer nanoseconds; servers and zones are the small indices that the coordinator assigns to their
names; weights are on the scale of the server list.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class State(IntEnum):
    """The administrative state that an operator sets for a server, mildest first."""

    READY = 0
    DRAIN = 1
    MAINT = 2


class Health(IntEnum):
    """The health that an operator sets for a server."""

    UP = 0
    STOPPING = 1
    DOWN = 2


class Weight(NamedTuple):
    """A weight that replaces the listed one: absolute, or relative to the listed one."""

    figure: float
    relative: bool

    def of(self, listed: float) -> float:
        """Return the weight that results for a server with this listed weight."""
        return self.figure * listed if self.relative else self.figure


class Origin(NamedTuple):
    """Who made a change, when, and by which command, counted from 1."""

    who: str
    at: int
    number: int


class ServerOverride(NamedTuple):
    """All that an operator has set for one server; `origin` is that of the last change."""

    state: State
    health: Health
    weight: Weight | None
    origin: Origin

    @property
    def out(self) -> bool:
        """Whether the server is to get no new traffic, its weight aside."""
        return self.state is not State.READY or self.health is not Health.UP

    @property
    def severity(self) -> int:
        """How strictly the server is kept out.

        0: not at all; 1: it may be lent if no other server is left; 2: it is lent only after those of
        severity 1.
        """
        if self.state is State.MAINT or self.health is Health.DOWN:
            return 2
        return int(self.out or (self.weight is not None and self.weight.figure == 0))


NO_ORIGIN = Origin("", 0, 0)
NO_OVERRIDE = ServerOverride(State.READY, Health.UP, None, NO_ORIGIN)


class Change(NamedTuple):
    """A change of one server's override; None leaves a field as it is, `as_listed` clears the weight."""

    server: int
    state: State | None = None
    health: Health | None = None
    weight: Weight | None = None
    as_listed: bool = False


class Reason(StrEnum):
    """Why a command is refused. The value is the name in answers, events and documentation."""

    NO_SUCH_SERVER = "no-such-server"
    ZONE_WITHOUT_WARM = "zone-without-warm-server"
    GROUP_WITHOUT_WARM = "traffic-group-without-warm-server"
    WEIGHT_OUT_OF_RANGE = "weight-out-of-range"
    TOO_MANY_WAIT = "too-many-changes-wait"
    STOPPING = "stopping"


class Refused(NamedTuple):
    """The refusal of a command, which changes nothing; server and zone are -1 if the reason has none."""

    reason: Reason
    server: int = -1
    zone: int = -1


class Accepted(NamedTuple):
    """The acceptance of a command; `changed` is empty if its overrides were in force already."""

    number: int
    changed: tuple[int, ...]


class Stage(IntEnum):
    """The progress of the last change of a server's override."""

    GATHERED = 0  # Accepted; it waits in a batch for the decision module.
    TOLD = 1  # The decision module has it; its orders wait for room in the channel.
    ORDERED = 2  # The orders wait for the relay or for its answer.
    CARRIED = 3  # The relay has the orders; some proxies have not confirmed them yet.
    APPLIED = 4  # Every joined proxy has applied them.
