"""Who waits for which group's puts, and what they are told once this machine knows of some. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from ambershift.system.coordination.cells import events_since
from ambershift.system.coordination.groups import Group, PutEvent
from ambershift.system.coordination.replies import Reply
from ambershift.system.state_machine import NS_PER_SECOND

FRESHNESS_NS = (
    3 * NS_PER_SECOND
)  # Puts may pass this machine by, and word of them be lost: look again after so long.
IDLE_RETENTION_NS = 60 * NS_PER_SECOND


@dataclass(slots=True)
class _WatchedGroup:
    group: Group | None = None
    known_at: int = 0
    asked_at: int = 0
    waiting: dict[int, tuple[int, bool]] = field(default_factory=dict)  # By token: after what, and `here`.


class Subscriptions:
    """Only what is certain may be told here: groups as rounds that came through have left or found them."""

    def __init__(self) -> None:
        self._watched: dict[str, _WatchedGroup] = {}

    def subscribe(self, now: int, token: int, name: str, after: int, here: bool) -> Reply | None:
        """A watch: its answer, or None where it has to wait. Then see `stale`.

        Not `here`: another machine has it too and looks for what is put; this one tells only what it learns.
        """
        watched = self._watched.setdefault(name, _WatchedGroup())
        watched.asked_at = now
        answer = None if watched.group is None else events_since(watched.group, after)
        if answer is None:
            watched.waiting[token] = after, here
        return answer

    def unsubscribe(self, token: int, name: str) -> None:
        watched = self._watched.get(name)
        if watched is not None:
            watched.waiting.pop(token, None)

    def update(self, now: int, name: str, group: Group) -> list[tuple[int, Reply]]:
        """The group stands so at least since now; whom to answer what."""
        watched = self._watched.get(name)
        if watched is None:
            return []
        watched.group, watched.known_at = group, now
        return self._answered(watched, group)

    def retain(self, now: int, name: str, group: Group) -> None:
        """Others will be sent word of this group and ask for it here, whoever watches it here."""
        watched = self._watched.setdefault(name, _WatchedGroup())
        watched.group, watched.known_at, watched.asked_at = group, now, now

    def apply_events(
        self, name: str, after: int, revision: int, events: tuple[PutEvent, ...]
    ) -> list[tuple[int, Reply]]:
        """Another machine knows of all these puts above `after`; whom to answer what. This is not kept, as
        what lies further back isn't known here."""
        watched = self._watched.get(name)
        part = Group(revision, after, {}, events)
        return [] if watched is None else self._answered(watched, part, after)

    def _answered(self, watched: _WatchedGroup, group: Group, least: int = 0) -> list[tuple[int, Reply]]:
        answers = [
            (token, answer)
            for token, (after, _) in watched.waiting.items()
            if after >= least and (answer := events_since(group, after)) is not None
        ]
        for token, _ in answers:
            del watched.waiting[token]
        return answers

    def first_missing_revision(self, name: str, revision: int) -> int | None:
        """Another machine has put up to this revision: above what somebody here wants to hear of it."""
        watched = self._watched.get(name)
        if watched is None or (watched.group is not None and watched.group.revision >= revision):
            return None
        return min((after for after, _ in watched.waiting.values() if after < revision), default=None)

    def needs_refresh(self, now: int, name: str) -> bool:
        """Whether somebody waits on knowledge that is too old, or older than what they have seen."""
        watched = self._watched.get(name)
        afters = [after for after, here in watched.waiting.values() if here] if watched else []
        return bool(
            watched
            and afters
            and (
                watched.group is None
                or now - watched.known_at >= FRESHNESS_NS
                or max(afters) > watched.group.revision
            )
        )

    def groups_to_refresh(self, now: int) -> list[str]:
        """The groups to look at anew. Groups that nobody has asked for in long are forgotten."""
        for name in [
            name
            for name, watched in self._watched.items()
            if not watched.waiting and now - watched.asked_at > IDLE_RETENTION_NS
        ]:
            del self._watched[name]
        return [name for name in self._watched if self.needs_refresh(now, name)]
