"""The words in which an operator's wish stands: types only, no decision.

Times are whole nanoseconds, servers and zones the small indices of the door, weights figures of the list.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class State(IntEnum):
    """What an operator wants of a server, the milder wish first."""

    READY = 0
    DRAIN = 1
    MAINT = 2


class Health(IntEnum):
    """What an operator says of a server's health."""

    UP = 0
    STOPPING = 1
    DOWN = 2


class Weight(NamedTuple):
    """A weight in place of the listed one: a figure of its own, or a part of what is listed."""

    figure: float
    relative: bool

    def of(self, listed: float) -> float:
        return self.figure * listed if self.relative else self.figure


class Origin(NamedTuple):
    """Who changed something, when, and by which command, counted from 1."""

    who: str
    at: int
    number: int


class ServerOverride(NamedTuple):
    """All that an operator wants of one server; `origin` tells of the last change."""

    state: State
    health: Health
    weight: Weight | None
    origin: Origin

    @property
    def out(self) -> bool:
        return self.state is not State.READY or self.health is not Health.UP

    @property
    def severity(self) -> int:
        """How hard a server is kept out: 0 not at all, 1 it may still be asked for help, 2 better not."""
        if self.state is State.MAINT or self.health is Health.DOWN:
            return 2
        return int(self.out or (self.weight is not None and self.weight.figure == 0))


NO_ORIGIN = Origin("", 0, 0)
NO_OVERRIDE = ServerOverride(State.READY, Health.UP, None, NO_ORIGIN)


class Change(NamedTuple):
    """One wish for one server; what is None stays as it is. `as_listed` takes back a weight."""

    server: int
    state: State | None = None
    health: Health | None = None
    weight: Weight | None = None
    as_listed: bool = False


class Reason(StrEnum):
    """Why a command is refused. The value is the name that answers, events and docs use."""

    NO_SUCH_SERVER = "no-such-server"
    ZONE_WITHOUT_WARM = "zone-without-warm-server"
    GROUP_WITHOUT_WARM = "traffic-group-without-warm-server"
    WEIGHT_OUT_OF_RANGE = "weight-out-of-range"
    TOO_MANY_WAIT = "too-many-changes-wait"
    STOPPING = "stopping"


class Refused(NamedTuple):
    """A command that changes nothing, as it must not; server and zone are -1 where none is meant."""

    reason: Reason
    server: int = -1
    zone: int = -1


class Accepted(NamedTuple):
    """A command that stands; `changed` is empty where it wanted what stood already."""

    number: int
    changed: tuple[int, ...]


class Stage(IntEnum):
    """How far the last wish for a server has come."""

    GATHERED = 0  # Taken; the module hears of it with others.
    TOLD = 1  # The module knows; its orders wait for room in the channel.
    ORDERED = 2  # The orders wait for the relay, or for its answer.
    CARRIED = 3  # The relay has them; not all proxies have answered yet.
    APPLIED = 4  # Every joined proxy has applied them.
