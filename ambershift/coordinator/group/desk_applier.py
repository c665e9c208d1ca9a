"""At the desk: carries out for this coordinator's proxies what the group has promised."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ambershift import interface as api
from ambershift.coordinator.admin.desk import Desk
from ambershift.coordinator.admin.words import AS_LISTED, Standing
from ambershift.coordinator.promises.state import EMPTY, Promises
from ambershift.coordinator.promises.unconfirmed import SoonerEnd
from ambershift.id_index import IdIndex


class DeskApplier:
    """Wishes and permits are held by the servers' ids; what no list has named yet is taken up when one does.

    `ahead` is what the member's wall clock is ahead of the desk's, `moved` tells the front to look again.
    """

    def __init__(
        self, desk: Desk, door: IdIndex[str], now: Callable[[], int], ahead: int, moved: Callable[[], None]
    ) -> None:
        self.desk, self.door, self.now, self.ahead, self.moved = desk, door, now, ahead, moved
        self.state = EMPTY
        self.gathered, self.said = dict[str, None](), list[tuple[str, str]]()
        self.sooner = dict[str, SoonerEnd]()  # By permit, of entries that are not known to be committed.
        self.holds = True  # False while this member's clock is apart: then nothing is kept out by permits.

    def gather(self, state: Promises, servers: Iterable[str], who: str, text: str) -> None:
        """As `wishes`, once `flush` is called: what is applied one after the other is taken as one."""
        self.gathered.update(dict.fromkeys(servers))
        self.said.append((who, one_line(text)))
        self.state = state

    def flush(self) -> None:
        if self.gathered:
            gathered, said = list(self.gathered), self.said
            self.gathered, self.said = {}, []
            self.wishes(self.state, gathered, said)

    def wishes(self, state: Promises, servers: Iterable[str], said: Sequence[tuple[str, str]]) -> None:
        """These servers' wishes are others now; `said` has who said what. All that came together is taken in
        one go: each costs a look through all that waits.
        """
        self.state = state
        found = dict[int, Standing]()
        for server in servers:
            index = self.door.lookup(server)
            if index is not None:
                found[index] = state.wish(server)
        self.desk.adopt(self.now(), found, said)
        self.moved()

    def permits(self, state: Promises) -> None:
        self.state = state
        self.desk.permit(self.now(), self.until())
        self.moved()

    def all(self, state: Promises) -> None:
        """A snapshot took the place of what was known: whatever stands is taken over at once."""
        own = [self.door.ids[one] for one in self.desk.world.standing if one in self.door.ids]
        self.wishes(state, dict.fromkeys((*own, *state.wishes)), [("group", "what stands in the group")])
        self.permits(state)

    def before_list(self, event: api.Listed) -> None:
        """Ahead of the desk: servers that it has not had so far may be wanted out already."""
        fresh = [entry.server for entry in event.entries if entry.server not in self.desk.world.listed]
        for server in fresh if self.state.wishes else ():
            if (wish := self.state.wish(self.door.ids[server])) != AS_LISTED:
                self.desk.ahead[server] = wish
        if fresh and self.state.permits:
            self.desk.permits = self.until()

    def ease(self, parts: dict[str, float]) -> None:
        self.desk.ease(
            self.now(),
            {
                index: part
                for server, part in parts.items()
                if (index := self.door.lookup(server)) is not None
            },
        )
        self.moved()

    def committed(self, number: int) -> None:
        """Entries up to `number` are in the state: from here on it tells of these permits itself."""
        if any(one.entry <= number for one in self.sooner.values()):
            self.sooner = {permit: one for permit, one in self.sooner.items() if one.entry > number}
            self.permits(self.state)

    def hold(self, holds: bool) -> None:
        """Whether this member's clock is near enough to the others' to hold servers out by permits."""
        if holds != self.holds:
            self.holds = holds
            self.permits(self.state)

    def until(self) -> dict[int, int]:
        """The servers that permits keep out, and until when by the desk's clock."""
        if not self.holds:
            return {}
        at = self.now() + self.ahead
        found = dict[int, int]()
        for server, permit in self.state.kept_out(at).items():
            sooner = self.sooner.get(permit.id)
            ends = permit.ends if sooner is None else min(permit.ends, sooner.ends)
            if ends > at and (index := self.door.lookup(server)) is not None:
                found[index] = ends - self.ahead
        return found

    def drained(self, server: str) -> bool:
        """Shut out at every proxy that this coordinator steers, and no try told any more."""
        index = self.door.lookup(server)
        return index is None or index not in self.desk.world.listed or self.desk.drained([index], self.now())

    def held_out(self, server: str) -> bool:
        index = self.door.lookup(server)
        return index is not None and index in self.desk.permits


def one_line(text: str) -> str:
    """A command for a record, which is a line: of its payload only how much there was."""
    first, *payload = text.split("\n")
    return f"{first} of {len(payload)} lines" if payload else first
