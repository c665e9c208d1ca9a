"""Structured logging for `run`: structlog's processors, rendered by orjson, through the writer that
never waits.
"""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

from ambershift.coordinator.program.log import LogWriter

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
# The events that the coordinator tells by name only; all others are information.
WARNINGS = {
    "refused",
    "unreadable",
    "list_failed",
    "news_ended",
    "call_ended",
    "order_not_taken",
    "order_not_read",
    "reload_failed",
    "slow_step",
    "probe_left_out",
    "left_out",
    "untold",
    "link_closed",
    "link_refused",
    "folder_set_aside",
    "folder_torn",
    "upkeep_refused",
}
ERRORS = {"failure", "bad_start", "group_halted", "disk_failed", "disk_hangs"}


class Sink:
    """structlog's last station: the fields go to the writer as they are, which renders them by orjson."""

    def __init__(self, write: Callable[[dict[str, Any]], None]) -> None:
        self.write = write

    def msg(self, **fields: Any) -> None:
        self.write(fields)

    debug = info = warning = error = msg


def add_level(logger: Any, method: str, fields: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    return {"level": method, **fields}


def make(writer: LogWriter, level: str) -> Callable[[dict[str, Any]], None]:
    """A function that logs one event, given as its fields, with a level added, and leaves out what is
    below.
    """
    logger = structlog.wrap_logger(
        Sink(writer.write),
        processors=[structlog.contextvars.merge_contextvars, add_level],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )

    def log(fields: dict[str, Any]) -> None:
        event = str(fields.get("event", ""))
        rest = {key: one for key, one in fields.items() if key != "event"}
        method = "error" if event in ERRORS else "warning" if event in WARNINGS else "info"
        getattr(logger, method)(event, **rest)

    return log
