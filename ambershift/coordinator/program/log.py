"""The log: one JSON line an event on standard output, written by a thread that may be held up for ever."""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from typing import Any

import orjson

LINES_MOST = 4096
END_WAIT = 0.2


class LogWriter:
    """Takes lines without waiting. Where the reader has stopped, the oldest lines go and are counted."""

    def __init__(self, file: int, name: str) -> None:
        self.file, self.name = file, name
        self.lines = deque[bytes](maxlen=LINES_MOST)
        self.lost, self.fresh, self.busy = 0, threading.Event(), False
        self.thread = threading.Thread(target=self.run, daemon=True, name="log")
        self.thread.start()

    def write(self, fields: dict[str, Any]) -> None:
        self.lost += len(self.lines) == LINES_MOST
        line = {"time": round(time.time(), 4), "node": self.name, **fields}
        try:
            text = orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE, default=str)
        except orjson.JSONEncodeError:  # Against bytes from outside that are no text: they must end nothing.
            text = orjson.dumps({"event": "unwritable", "line": ascii(line)}) + b"\n"
        self.lines.append(text)
        self.fresh.set()

    def run(self) -> None:
        while True:
            self.fresh.wait()
            self.busy = True
            self.fresh.clear()
            while self.lines:
                if self.lost:
                    lost, self.lost = self.lost, 0
                    self.put(orjson.dumps({"event": "lines_lost", "lines": lost}) + b"\n")
                self.put(self.lines.popleft())
            self.busy = False

    def put(self, data: bytes) -> None:
        try:
            while data:
                data = data[os.write(self.file, data) :]
        except OSError:
            pass  # Nobody reads the log any more; that is no reason to stop.

    def close(self) -> None:
        """Let the thread write what waits, for a moment at most."""
        until = time.monotonic() + END_WAIT
        while (self.lines or self.busy) and time.monotonic() < until:
            time.sleep(0.002)
