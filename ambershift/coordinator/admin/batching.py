"""Decides when the decision module gets changed overrides, in batches.

Each change that the module gets may cost a line to every proxy, and a message to each proxy that got none in
that turn. So changes are gathered for a short time, and of a server that changes repeatedly only the last
state is sent.
"""

from __future__ import annotations

from collections.abc import Callable

MS = 1_000_000

# A batch is due once no change has come for the quiet time, or the maximum delay after its first change. Both
# are too short for a person to notice.
BATCH_QUIET_NS = 20 * MS
MAX_BATCH_DELAY_NS = 250 * MS

# With more changes gathered than this, they come from a script and would soon supersede what is sent: the
# maximum delay is longer then.
FLOOD_CHANGES = 64
MAX_FLOOD_DELAY_NS = 2_000 * MS

# A step of the module over thousands of servers takes longer than the quiet time. After more than a few
# changes further ones may be unread still, and the quiet time must outlast a step.
FEW_CHANGES = 8
MANY_CHANGES_QUIET_NS = 150 * MS

# The least time between two reductions of one server, doubled with each up to the maximum: a server that
# flaps would fill the channel alone. The count restarts after a calm period.
MIN_FLIP_DELAY_NS = 500 * MS
MAX_FLIP_DELAY_NS = 8_000 * MS
FLIP_RESET_NS = 30_000 * MS
MAX_FLIP_COUNT = 16
# Bounds the memory for ids that come and go over years.
MAX_FLIP_RECORDS = 4096


class Flips:
    """How often a server was reduced lately, and when last."""

    __slots__ = ("count", "last_at")

    def __init__(self) -> None:
        self.count = 0
        self.last_at = 0

    def earliest(self) -> int:
        """Return when the server may be reduced again."""
        if not self.count:
            return 0
        return self.last_at + min(MAX_FLIP_DELAY_NS, MIN_FLIP_DELAY_NS << self.count - 1)


class ChangeBatcher:
    """Gathers servers with changed overrides and releases them in batches.

    Flips delay reductions only: each cycle of out and in contains one, so that the rest need not wait, and a
    server that replaces others that were given up must not.

    Attributes:
        waiting: By server, when its first change that was not sent came.
        held: Those of them that wait for an event instead of a time.
        last: When the last change came.
        gathered: How many changes the batch has.
        flips: By server, its recent reductions.
    """

    def __init__(self, would_reduce: Callable[[int], bool]) -> None:
        """Create an empty batcher.

        Args:
            would_reduce: Returns whether what waits for a server would reduce it, as things are now.
        """
        self.would_reduce = would_reduce
        self.waiting = dict[int, int]()
        self.held = set[int]()
        self.last = 0
        self.gathered = 0
        self.flips = dict[int, Flips]()

    def note(self, server: int, now: int) -> None:
        """Add a change of a server, and release the held ones to be examined again."""
        if not self.waiting:
            self.gathered = 0
        self.gathered += 1
        self.waiting.setdefault(server, now)
        self.last = now
        self.held.clear()

    def due_at(self, server: int) -> int:
        """Return when a waiting server is due."""
        max_delay = MAX_FLOOD_DELAY_NS if self.gathered > FLOOD_CHANGES else MAX_BATCH_DELAY_NS
        quiet = BATCH_QUIET_NS if self.gathered <= FEW_CHANGES else MANY_CHANGES_QUIET_NS
        batch_at = min(self.last + quiet, self.waiting[server] + max_delay)
        flips = self.flips.get(server)
        if flips is not None and flips.earliest() > batch_at and self.would_reduce(server):
            return flips.earliest()
        return batch_at

    def next_at(self) -> int | None:
        """Return when the next server is due, None if none waits for a time."""
        return min((self.due_at(server) for server in self.waiting if server not in self.held), default=None)

    def take(self, now: int) -> list[int]:
        """Remove and return the servers that are due, in the order in which their changes came."""
        due = [server for server in self.waiting if server not in self.held and self.due_at(server) <= now]
        for server in due:
            del self.waiting[server]
        if due:
            self.gathered = 0
        return due

    def hold(self, server: int, since: int) -> None:
        """Let a server wait for no known time: until something is ordered, listed or changed."""
        self.waiting[server] = since
        self.held.add(server)

    def note_reduction(self, server: int, now: int) -> None:
        """Count a reduction of a server that was sent to the module."""
        flips = self.flips.setdefault(server, Flips())
        if flips.last_at + FLIP_RESET_NS < now:
            flips.count = 0
        flips.count = min(flips.count + 1, MAX_FLIP_COUNT)
        flips.last_at = now
        if len(self.flips) > MAX_FLIP_RECORDS:  # A record whose calm period is over has no effect any more.
            self.flips = {
                other: kept for other, kept in self.flips.items() if kept.last_at + FLIP_RESET_NS > now
            }

    def flush(self) -> list[int]:
        """Remove and return all waiting servers, due or not, as the program ends."""
        due, self.waiting = list(self.waiting), {}
        self.held.clear()
        return due
