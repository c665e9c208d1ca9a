"""Signals: SIGTERM and SIGINT stop the process, SIGHUP makes it reload its configuration."""

from __future__ import annotations

import asyncio
import signal


class Signals:
    """Handles signals from its creation on.

    Create it first of all: the default of SIGHUP would end the process, and a SIGHUP that arrives before
    `install` isn't lost.
    """

    def __init__(self) -> None:
        self.reload_requested_early = False
        signal.signal(signal.SIGHUP, lambda *_: setattr(self, "reload_requested_early", True))

    def install(self) -> None:
        """From now on, let signals set the events `stop` and `reload`, in the running event loop."""
        self.stop, self.reload, loop = asyncio.Event(), asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)
        if self.reload_requested_early:
            self.reload.set()
