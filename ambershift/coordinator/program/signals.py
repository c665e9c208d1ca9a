"""Signals: SIGTERM and SIGINT ask the program to end, SIGHUP to read its configuration anew."""

from __future__ import annotations

import asyncio
import signal


class Signals:
    """Made first of all: from then on SIGHUP, whose default would end the program, ends nothing any more,
    and one that came before anybody could heed it is not lost.
    """

    def __init__(self) -> None:
        self.early = False
        signal.signal(signal.SIGHUP, lambda *_: setattr(self, "early", True))

    def install(self) -> None:
        """From here on signals set events and interrupt nothing."""
        self.stop, self.reload, loop = asyncio.Event(), asyncio.Event(), asyncio.get_running_loop()
        for one in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(one, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)
        if self.early:
            self.reload.set()
