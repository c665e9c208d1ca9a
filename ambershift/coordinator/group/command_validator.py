"""Guard: what the leader asks its own desk before it writes a command to the log.

Two operators at two members, each of whom drains one of the last two warm servers of a zone, would each pass
a guard at home. So the leader alone judges, against the wishes that its log holds, committed or not.
"""

from __future__ import annotations

from collections.abc import Callable

from rpds import HashTrieMap

from ambershift.coordinator.admin.coverage import uncovered
from ambershift.coordinator.admin.desk import Desk
from ambershift.coordinator.admin.weigh import weigh
from ambershift.coordinator.admin.words import NEVER, Refused
from ambershift.coordinator.admin.world import World
from ambershift.coordinator.maintenance.words import Phase, Refusal
from ambershift.coordinator.promises.answers import Outcome, refused
from ambershift.coordinator.promises.machine import change_of
from ambershift.coordinator.promises.state import Promises
from ambershift.coordinator.promises.words import Command, Grant, Wishes
from ambershift.id_index import IdIndex


class CommandValidator:
    """`tell` puts a refusal of the desk into words; `apart` tells whether this member's clock is."""

    def __init__(
        self,
        desk: Desk,
        door: IdIndex[str],
        now: Callable[[], int],
        tell: Callable[[Refused], str],
        apart: Callable[[], bool],
    ) -> None:
        self.desk, self.door, self.now, self.tell, self.apart = desk, door, now, tell, apart

    def __call__(self, state: Promises, at: int, command: Command) -> Outcome | None:
        now = self.now()
        match command:
            case Wishes():
                # What this member's list has not can't be judged here, and takes nothing from it.
                known = [
                    (index, one) for one in command.changes if (index := self.known(one.server)) is not None
                ]
                changes = [
                    change._replace(server=index)
                    for index, one in known
                    if (change := change_of(one)) is not None
                ]
                found = weigh(self.world(state), changes, NEVER, self.desk.warmth, now)
                return refused(found.reason, self.tell(found)) if isinstance(found, Refused) else None
            case Grant():
                if self.apart():
                    return refused(Refusal.CLOCK_APART, "the leader's clock is apart from the others'")
                before = self.world(state)
                fresh = {
                    index: permit.ends
                    for permit in command.permits
                    if (index := self.known(permit.server)) is not None
                }
                after = before._replace(permitted=before.permitted.update(fresh))
                bare = uncovered(before, after, list(fresh), self.desk.warmth, now)
                return refused(bare.reason, self.tell(bare)) if bare else None
        return None

    def known(self, server: str) -> int | None:
        index = self.door.lookup(server)
        return index if index is not None and index in self.desk.world.listed else None

    def world(self, state: Promises) -> World:
        """This member's list under the wishes and permits of a state. A permit counts until it is closed: the
        clocks of others may be behind.
        """
        world, wishes = self.desk.world, state.wishes
        standing = world.standing
        # The desk holds most of them already, the very same ones.
        for server, wish in wishes.items():
            if (index := self.known(server)) is not None and world.standing.get(index) is not wish:
                standing = standing.insert(index, wish)
        for index in world.standing:
            if self.door.ids.get(index, "") not in wishes:
                standing = standing.remove(index)
        permitted = {
            index: held.permit.ends
            for held in state.permits.values()
            if held.permit.phase <= Phase.OUT and (index := self.known(held.permit.server)) is not None
        }
        return world._replace(standing=standing, permitted=HashTrieMap(permitted))
