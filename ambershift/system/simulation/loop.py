"""An event loop of asyncio without I/O for one simulated process: its time and turns are the world's."""

# What would do I/O is left abstract, and asyncio's own callbacks need no types of their arguments here.
# mypy: disable-error-code="override,assignment"

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from contextvars import Context
from typing import Any

from ambershift.system.state_machine import NS_PER_SECOND


def simulated_loop(now: Callable[[], int], post: Callable[[int, asyncio.Handle], None]) -> SimulatedLoop:
    return SimulatedLoop(now, post)  # type: ignore[abstract]


class SimulatedLoop(asyncio.AbstractEventLoop):
    """`post(when, handle)` has `run(handle)` called at `when` (ns), in order, unless the process ended."""

    def __init__(self, now: Callable[[], int], post: Callable[[int, asyncio.Handle], None]) -> None:
        self._now, self._post = now, post

    def time(self) -> float:
        return self._now() / NS_PER_SECOND

    def run(self, handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            with self.current():
                handle._run()

    @contextmanager
    def current(self) -> Iterator[None]:
        """What is called within runs in this process."""
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            yield
        finally:
            asyncio._set_running_loop(before)

    # What asyncio calls.

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self._post(self._now(), handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._post(
            int(when * NS_PER_SECOND) + 1, handle
        )  # Never early, or loops on what is left would turn idly.
        return handle

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine[Any, Any, Any], **named: Any) -> asyncio.Task[Any]:
        return asyncio.Task(coro, loop=self, **named)

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:
        """At once: nothing here blocks."""
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as why:
            future.set_exception(why)
        return future

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Tasks that a killed process leaves pending are no fault."""

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """It is passed over when its time comes."""

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False
