"""The futures of the watches that wait at this node, completed as their groups change."""

from __future__ import annotations

import asyncio

from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.log_events import WATCH_MET_OLD_COPY
from ambershift.system.control_api.subscriptions import Completion, Subscriptions
from ambershift.system.coordination.groups import Group, PutEvent
from ambershift.system.coordination.replies import Reply
from ambershift.system.state_machine import NS_PER_MS


class GroupWaiters:
    """`Subscriptions` with a clock and a future for each watch."""

    def __init__(self, context: NodeContext) -> None:
        self._monotonic_ns = context.monotonic_ns
        self._log = context.log
        self._subscriptions = Subscriptions()
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    def wait(self, token: int, name: str, after: int, keeps_fresh: bool) -> asyncio.Future[Reply]:
        """The reply to a watch; cancel it to end the wait. Arguments as for `Subscriptions.subscribe`."""
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        now = self._monotonic_ns()
        if (old_copy := self._subscriptions.old_copy(now, name, after)) is not None:
            fields = {"group": name, "after": after, "revision": old_copy.revision}
            self._log(WATCH_MET_OLD_COPY, {**fields, "read_ms_ago": old_copy.age_ns // NS_PER_MS})
        reply = self._subscriptions.subscribe(now, token, name, after, keeps_fresh)
        if reply is not None:
            future.set_result(reply)
            return future
        self._waiting[token] = future

        def end(_: asyncio.Future[Reply]) -> None:
            self._waiting.pop(token, None)
            self._subscriptions.unsubscribe(token, name)

        future.add_done_callback(end)
        return future

    def group_read(self, name: str, group: Group, read_at: int) -> None:
        """An agreed round, begun at `read_at` (ns), has left or read the group so: complete its watches."""
        self._complete(self._subscriptions.update(self._monotonic_ns(), name, group, read_at))

    def retain(self, name: str, group: Group, read_at: int) -> None:
        """Keep the group: other nodes are notified of it and will fetch its events from here."""
        self._subscriptions.retain(self._monotonic_ns(), name, group, read_at)

    def events_fetched(self, name: str, after: int, revision: int, events: tuple[PutEvent, ...]) -> None:
        """Another node has sent all events after a revision: complete the group's watches."""
        self._complete(self._subscriptions.apply_events(name, after, revision, events))

    def revision_to_fetch_after(self, name: str, revision: int) -> int | None:
        """See `Subscriptions.revision_to_fetch_after`."""
        return self._subscriptions.revision_to_fetch_after(name, revision)

    def needs_refresh(self, name: str) -> bool:
        """Whether the group must be read again for a watch that waits."""
        return self._subscriptions.needs_refresh(self._monotonic_ns(), name)

    def groups_to_refresh(self) -> list[str]:
        """All groups that must be read again."""
        return self._subscriptions.groups_to_refresh(self._monotonic_ns())

    def complete_all(self, reply: Reply) -> None:
        """End all waits with this reply."""
        for future in list(self._waiting.values()):
            if not future.done():
                future.set_result(reply)

    def _complete(self, completions: list[Completion]) -> None:
        for completion in completions:
            future = self._waiting.get(completion.token)
            if future is not None and not future.done():
                future.set_result(completion.reply)
