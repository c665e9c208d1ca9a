"""Shows what simulated processes send, write and answer, so that two versions of the code can be compared.

The hooks pass numbers, strings, bytes and collections of them. An outcome of a call may be an object: an
observer must not let names of its class or fields into what it compares.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

Observer = Callable[[str, int, tuple[Any, ...]], None]
_observers: list[Observer] = []


def observe(kind: str, time_ns: int, *values: Any) -> None:
    """Pass an event to the observers, if there are any.

    `kind` is "send", "write", "answer" or "log"; `time_ns` is simulated time.
    """
    for observer in _observers:
        observer(kind, time_ns, values)


@contextmanager
def observed(observer: Observer) -> Iterator[None]:
    """All simulated worlds of this process are shown to `observer` meanwhile."""
    _observers.append(observer)
    try:
        yield
    finally:
        _observers.remove(observer)
