"""The answer to a call on a register; shared by locks, numbers and cells."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from ambershift.system.coordination.groups import Group


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer.

    Attributes:
        status: The HTTP status.
        body: JSON, or empty.
        group: The group as a call on cells has left or read it, for its watches; None for other calls.
    """

    status: int
    body: bytes = b"{}"
    group: Group | None = None


def json_reply(status: int, **fields: Any) -> Reply:
    """An answer whose body is a JSON object of these fields."""
    return Reply(status, msgspec.json.encode(fields))
