"""Which watches wait for which group, and which events complete them. Pure.

Only what is certain is passed on: groups as agreed rounds have left or read them. A copy of a group ages, as
other nodes may propose for it: a watch that begins is answered from a copy only as long as no other node can
have pruned the events after its revision. All times are of the monotonic clock, in ns.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ambershift.system.coordination.cells import events_since
from ambershift.system.coordination.groups import Group, PutEvent
from ambershift.system.coordination.replies import Reply
from ambershift.system.state_machine import NS_PER_SECOND

# Puts may be agreed through other nodes, and their notifications be lost: after this a group is read again.
FRESHNESS_NS = 3 * NS_PER_SECOND
# A copy answers watches that begin for so long; it must stay far below the time that pruned events are kept
# beyond `HistoryS`, and above the time that a round may take.
COPY_VALIDITY_NS = NS_PER_SECOND
IDLE_RETENTION_NS = 60 * NS_PER_SECOND  # A group that nobody has watched for so long is forgotten.


class _Waiter(NamedTuple):
    """A watch that waits.

    Attributes:
        after: The revision that its caller has seen.
        keeps_fresh: Whether this node reads the group again for it; else another node does.
    """

    after: int
    keeps_fresh: bool


@dataclass(slots=True)
class _WatchedGroup:
    """A group that is or was watched.

    Attributes:
        group: The copy: the group as last read; None if it wasn't yet.
        read_at: When the round began that read it: the copy has all that was acknowledged before.
        used_at: When a watch of it began last.
        waiters: By token.
    """

    group: Group | None = None
    read_at: int = 0
    used_at: int = 0
    waiters: dict[int, _Waiter] = field(default_factory=dict)

    def store(self, group: Group, read_at: int) -> None:
        """Replace the copy, unless it is newer: rounds may be reported in another order than agreed."""
        if self.group is None or group.revision >= self.group.revision:
            self.group = group
            self.read_at = max(self.read_at, read_at)


class OldCopy(NamedTuple):
    """A copy that has events for a watch but is too old to answer it.

    Attributes:
        revision: The copy's revision.
        age_ns: How long ago it was read.
    """

    revision: int
    age_ns: int


class Completion(NamedTuple):
    """A watch that is complete: its token, and the reply to it."""

    token: int
    reply: Reply


class Subscriptions:
    """The watches that wait at this node, by group."""

    def __init__(self) -> None:
        self._watched: dict[str, _WatchedGroup] = {}

    def subscribe(self, now: int, token: int, name: str, after: int, keeps_fresh: bool) -> Reply | None:
        """A watch begins. Returns its reply, or None where it has to wait; then see `needs_refresh`.

        Args:
            now: The time.
            token: Names this watch.
            name: The group.
            after: The revision that the caller has seen.
            keeps_fresh: Whether this node is to read the group again for it; False if another node does.
        """
        watched = self._watched.setdefault(name, _WatchedGroup())
        watched.used_at = now
        reply = None
        if keeps_fresh and watched.group is not None and now - watched.read_at < COPY_VALIDITY_NS:
            reply = events_since(watched.group, after)
        if reply is None:
            watched.waiters[token] = _Waiter(after, keeps_fresh)
        return reply

    def old_copy(self, now: int, name: str, after: int) -> OldCopy | None:
        """The copy that a watch after this revision isn't answered from; None if there is none."""
        watched = self._watched.get(name)
        if watched is None or watched.group is None or watched.group.revision <= after:
            return None
        age_ns = now - watched.read_at
        return OldCopy(watched.group.revision, age_ns) if age_ns >= COPY_VALIDITY_NS else None

    def unsubscribe(self, token: int, name: str) -> None:
        """The watch has ended, if it hasn't already."""
        watched = self._watched.get(name)
        if watched is not None:
            watched.waiters.pop(token, None)

    def update(self, now: int, name: str, group: Group, read_at: int) -> list[Completion]:
        """The group was read, by a round that began at `read_at`. Returns the watches that this completes.

        A round that took longer than any may, since this process was stopped, completes none.
        """
        watched = self._watched.get(name)
        if watched is None:
            return []
        watched.store(group, read_at)
        return self._complete(watched, group) if now - read_at < FRESHNESS_NS else []

    def retain(self, now: int, name: str, group: Group, read_at: int) -> None:
        """Keep the group for other nodes' watches, whether or not it is watched here.

        They are notified of it and will fetch its events from here.
        """
        watched = self._watched.setdefault(name, _WatchedGroup())
        watched.store(group, read_at)
        watched.used_at = now

    def apply_events(
        self, name: str, after: int, revision: int, events: tuple[PutEvent, ...]
    ) -> list[Completion]:
        """Another node has sent all events after a revision. Returns the watches that this completes.

        The events aren't kept, as the group's earlier events aren't known here.
        """
        watched = self._watched.get(name)
        if watched is None:
            return []
        excerpt = Group(revision=revision, pruned_up_to=after, cells={}, events=events)
        return self._complete(watched, excerpt, minimum_after=after)

    def _complete(self, watched: _WatchedGroup, group: Group, minimum_after: int = 0) -> list[Completion]:
        completions = [
            Completion(token, reply)
            for token, waiter in watched.waiters.items()
            if waiter.after >= minimum_after and (reply := events_since(group, waiter.after)) is not None
        ]
        for completion in completions:
            del watched.waiters[completion.token]
        return completions

    def revision_to_fetch_after(self, name: str, revision: int) -> int | None:
        """Another node has put up to this revision: after which revision are events needed here?

        None if no watch waits here for what was put.
        """
        watched = self._watched.get(name)
        if watched is None:
            return None
        behind = (waiter.after for waiter in watched.waiters.values() if waiter.after < revision)
        return min(behind, default=None)

    def needs_refresh(self, now: int, name: str) -> bool:
        """Whether a watch waits on a copy that is too old, or older than what its caller has seen.

        A copy that has events for a watch that waits was too old to answer it.
        """
        watched = self._watched.get(name)
        if watched is None:
            return False
        seen = [waiter.after for waiter in watched.waiters.values() if waiter.keeps_fresh]
        if not seen:
            return False
        if watched.group is None or now - watched.read_at >= FRESHNESS_NS:
            return True
        return max(seen) > watched.group.revision or min(seen) < watched.group.revision

    def groups_to_refresh(self, now: int) -> list[str]:
        """The groups to read again. Forgets groups that nobody has watched for a long time."""
        idle = [
            name
            for name, watched in self._watched.items()
            if not watched.waiters and now - watched.used_at > IDLE_RETENTION_NS
        ]
        for name in idle:
            del self._watched[name]
        return [name for name in self._watched if self.needs_refresh(now, name)]
