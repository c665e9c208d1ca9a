"""Runs a call that may hang on a daemon thread: neither the event loop nor the program's end waits."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar

Result = TypeVar("Result")


async def run_in_daemon_thread(call: Callable[..., Result], *args: Any) -> Result:
    """Return what `call` returns, or raise what it raises.

    `asyncio.to_thread` uses threads that the interpreter joins at its end; a daemon thread is left behind.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Result] = loop.create_future()

    def finish(result: Result | None, error: BaseException | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)  # type: ignore[arg-type]

    def run() -> None:
        result, raised = None, None
        try:
            result = call(*args)
        except Exception as error:
            raised = error
        with suppress(RuntimeError):  # The loop has ended: there is nobody to tell.
            loop.call_soon_threadsafe(finish, result, raised)

    threading.Thread(target=run, name="off the loop", daemon=True).start()
    return await future
