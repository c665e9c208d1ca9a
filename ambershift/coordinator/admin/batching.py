"""Pace: when the module hears of changed wishes, so that a flood of commands costs the lines of its last
words.

Each wish that the module hears of may cost a line to every proxy, and a message to each that got none in that
turn. So wishes are gathered for a moment, and a server whose wish flips goes by its last word only.
"""

from __future__ import annotations

from collections.abc import Callable

MS = 1_000_000
# Told once no further change has come for QUIET, or GATHER_MOST after the first. A person notices neither.
BATCH_QUIET_NS, MAX_BATCH_DELAY_NS = 20 * MS, 250 * MS
# While so many changes are gathered already, somebody scripts, and what is told would soon be void: up to
# FLOOD_MOST after the first then.
FLOOD_CHANGES, MAX_FLOOD_DELAY_NS = 64, 2_000 * MS
# A step of the module over thousands of servers is longer than QUIET: behind more than a FEW changes more
# may lie unread, and their quiet must outlast a step.
FEW_CHANGES, MANY_CHANGES_QUIET_NS = 8, 150 * MS
# A server told of is told of again this much later at the earliest, doubled with each flip up to the most:
# what flips on and on would fill the channel by itself. Its count is forgotten after a calm spell.
MIN_FLIP_DELAY_NS, MAX_FLIP_DELAY_NS, FLIP_RESET_NS = 500 * MS, 8_000 * MS, 30_000 * MS


class Flips:
    """How often and when a server was told of."""

    __slots__ = ("count", "told")

    def __init__(self) -> None:
        self.count, self.told = 0, 0

    def earliest(self) -> int:
        return self.told + min(MAX_FLIP_DELAY_NS, MIN_FLIP_DELAY_NS << self.count - 1) if self.count else 0


class ChangeBatcher:
    """`lowers` tells whether what waits for a server takes something away from proxies, as things are now.

    Only that is held back by flips: each round of in and out has one such word, so that the rest need not
    wait, and a server that others were given up for must not.
    """

    def __init__(self, would_reduce: Callable[[int], bool]) -> None:
        self.would_reduce = would_reduce
        self.waiting = dict[int, int]()  # Server, and when its first untold change came.
        self.held = set[int]()  # Of these, what waits for something else than time.
        self.last, self.gathered = 0, 0
        self.flips = dict[int, Flips]()

    def note(self, server: int, now: int) -> None:
        if not self.waiting:
            self.gathered = 0
        self.gathered += 1
        self.waiting.setdefault(server, now)
        self.last = now
        self.held.clear()

    def due_at(self, server: int) -> int:
        most = MAX_FLOOD_DELAY_NS if self.gathered > FLOOD_CHANGES else MAX_BATCH_DELAY_NS
        quiet = BATCH_QUIET_NS if self.gathered <= FEW_CHANGES else MANY_CHANGES_QUIET_NS
        gathered = min(self.last + quiet, self.waiting[server] + most)
        flips = self.flips.get(server)
        if flips is not None and flips.earliest() > gathered and self.would_reduce(server):
            return flips.earliest()
        return gathered

    def next_at(self) -> int | None:
        return min((self.due_at(server) for server in self.waiting if server not in self.held), default=None)

    def take(self, now: int) -> list[int]:
        """The servers to tell of now, in the order in which their changes came."""
        due = [server for server in self.waiting if server not in self.held and self.due_at(server) <= now]
        for server in due:
            del self.waiting[server]
        if due:
            self.gathered = 0
        return due

    def hold(self, server: int, since: int) -> None:
        """Not yet, and no time is known: until something was ordered, listed or wished."""
        self.waiting[server] = since
        self.held.add(server)

    def told(self, server: int, now: int) -> None:
        """The module has been told of it what takes something away."""
        flips = self.flips.setdefault(server, Flips())
        if flips.told + FLIP_RESET_NS < now:
            flips.count = 0
        flips.count, flips.told = min(flips.count + 1, 16), now
        if len(self.flips) > 4096:  # Against ids that come and go for years; the calm ones are of no use.
            self.flips = {one: kept for one, kept in self.flips.items() if kept.told + FLIP_RESET_NS > now}

    def flush(self) -> list[int]:
        """All that waits, whatever its time: the program ends."""
        due, self.waiting = list(self.waiting), {}
        self.held.clear()
        return due
