"""Common: what a group gives to this API, where there is one. Types only."""

from __future__ import annotations

from collections.abc import Awaitable, Sequence
from typing import Any, Protocol

from ambershift.coordinator.admin.types import Change
from ambershift.coordinator.runtime.outcomes import Answer

Rows = list[dict[str, Any]]


class Common(Protocol):
    """Rows are as `show` gives them, with plain values under the names of their columns."""

    def promise(
        self, who: str, token: str, text: str, changes: Sequence[Change], wait: int
    ) -> Awaitable[Answer]:
        """Answered within `wait` ns: done once a majority holds it. `token` is "" where the client has none;
        `text` is what the same token must come with again.
        """

    def refuse(self, token: str, text: str, reason: str, why: str, wait: int) -> Awaitable[Answer]:
        """The answer that stands under this token, this refusal if none does."""

    def read(self, wait: int) -> Awaitable[Answer | None]:
        """None once what this coordinator holds has all that was promised when this was called; else the
        refusal, within `wait` ns.
        """

    def members(self) -> Rows: ...

    def maintenance(self) -> Rows: ...

    def interference(self) -> Rows: ...
