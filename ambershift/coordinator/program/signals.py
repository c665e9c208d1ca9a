"""Signals that ask the program to end."""

from __future__ import annotations

import asyncio
import signal


def stop_event() -> asyncio.Event:
    """An event that SIGTERM or SIGINT sets; from then on neither interrupts anything."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for one in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(one, stop.set)
    return stop
