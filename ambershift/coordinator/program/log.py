"""The log: one JSON line for each event, written by a thread that may block for ever."""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from typing import Any

import orjson

MAX_QUEUED_LINES = 4096
CLOSE_TIMEOUT_S = 0.2
CLOSE_POLL_INTERVAL_S = 0.002


class LogWriter:
    """Queues lines without waiting. If the reader has stopped, the oldest lines are dropped and counted."""

    def __init__(self, file_descriptor: int, node_name: str) -> None:
        self.file_descriptor, self.node_name = file_descriptor, node_name
        self.lines = deque[bytes](maxlen=MAX_QUEUED_LINES)
        self.dropped_lines, self.lines_available, self.is_writing = 0, threading.Event(), False
        self.thread = threading.Thread(target=self.run, daemon=True, name="log")
        self.thread.start()

    def write(self, fields: dict[str, Any]) -> None:
        """Queue one line."""
        self.dropped_lines += len(self.lines) == MAX_QUEUED_LINES
        line = {"time": round(time.time(), 4), "node": self.node_name, **fields}
        try:
            encoded = orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE, default=str)
        except orjson.JSONEncodeError:  # Outside input that is no valid text must not end anything.
            encoded = orjson.dumps({"event": "unwritable", "line": ascii(line)}) + b"\n"
        self.lines.append(encoded)
        self.lines_available.set()

    def run(self) -> None:
        """Write the queued lines, for ever; the body of the thread."""
        while True:
            self.lines_available.wait()
            self.is_writing = True
            self.lines_available.clear()
            while self.lines:
                if self.dropped_lines:
                    dropped, self.dropped_lines = self.dropped_lines, 0
                    self.write_bytes(orjson.dumps({"event": "lines_lost", "lines": dropped}) + b"\n")
                self.write_bytes(self.lines.popleft())
            self.is_writing = False

    def write_bytes(self, data: bytes) -> None:
        """Write to the file, blocking until all is written."""
        try:
            while data:
                data = data[os.write(self.file_descriptor, data) :]
        except OSError:
            pass  # The reader of the log has gone; that is no reason to stop.

    def close(self) -> None:
        """Let the thread write the queued lines, for `CLOSE_TIMEOUT_S` at most."""
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        while (self.lines or self.is_writing) and time.monotonic() < deadline:
            time.sleep(CLOSE_POLL_INTERVAL_S)
