"""Which watches wait for which group, and which events complete them. Pure.

Only what is certain is passed on: groups as agreed rounds have left or read them. All times are of the
monotonic clock, in ns.
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
        group: The group as last read; None if it wasn't yet.
        known_at: When it was read.
        used_at: When a watch of it began last.
        waiters: By token.
    """

    group: Group | None = None
    known_at: int = 0
    used_at: int = 0
    waiters: dict[int, _Waiter] = field(default_factory=dict)


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
        reply = None if watched.group is None else events_since(watched.group, after)
        if reply is None:
            watched.waiters[token] = _Waiter(after, keeps_fresh)
        return reply

    def unsubscribe(self, token: int, name: str) -> None:
        """The watch has ended, if it hasn't already."""
        watched = self._watched.get(name)
        if watched is not None:
            watched.waiters.pop(token, None)

    def update(self, now: int, name: str, group: Group) -> list[Completion]:
        """The group was read: it is at least so far. Returns the watches that this completes."""
        watched = self._watched.get(name)
        if watched is None:
            return []
        watched.group = group
        watched.known_at = now
        return self._complete(watched, group)

    def retain(self, now: int, name: str, group: Group) -> None:
        """Keep the group for other nodes' watches, whether or not it is watched here.

        They are notified of it and will fetch its events from here.
        """
        watched = self._watched.setdefault(name, _WatchedGroup())
        watched.group = group
        watched.known_at = now
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

        None if no watch waits here for what was put, or it is known already.
        """
        watched = self._watched.get(name)
        if watched is None or (watched.group is not None and watched.group.revision >= revision):
            return None
        behind = (waiter.after for waiter in watched.waiters.values() if waiter.after < revision)
        return min(behind, default=None)

    def needs_refresh(self, now: int, name: str) -> bool:
        """Whether a watch waits on a reading that is too old, or older than what its caller has seen."""
        watched = self._watched.get(name)
        if watched is None:
            return False
        seen = [waiter.after for waiter in watched.waiters.values() if waiter.keeps_fresh]
        if not seen:
            return False
        if watched.group is None or now - watched.known_at >= FRESHNESS_NS:
            return True
        return max(seen) > watched.group.revision

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
