"""Off the loop: a call that may hang, on a daemon thread, so that not even the end of the program waits."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar

Made = TypeVar("Made")


async def run_in_daemon_thread(call: Callable[..., Made], *given: Any) -> Made:
    """As asyncio.to_thread, whose threads the interpreter joins when it ends."""
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Made] = loop.create_future()

    def tell(made: Made | None, error: BaseException | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(made)  # type: ignore[arg-type]

    def run() -> None:
        made, failed = None, None
        try:
            made = call(*given)
        except Exception as error:
            failed = error
        with suppress(RuntimeError):  # The loop has ended: nobody is left to be told.
            loop.call_soon_threadsafe(tell, made, failed)

    threading.Thread(target=run, name="off the loop", daemon=True).start()
    return await future
