"""Processor time, memory, medians, spreads and exponents."""

from __future__ import annotations

import gc
import math
import os
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

Found = dict[str, float]  # What one play found: by "name|unit".


def micros(work: Callable[[int], object], times: int) -> float:
    """Processor time of this process for one call, µs; `work` gets the number of the call."""
    gc.collect()
    began = time.process_time_ns()
    for at in range(times):
        work(at)
    return (time.process_time_ns() - began) / times / 1e3


def elsewhere(work: Callable[[], Sequence[bytes]]) -> list[bytes]:
    """What `work` makes in a process of its own, so that its memory isn't counted here."""
    reader, writer = os.pipe()
    if not (child := os.fork()):
        with os.fdopen(writer, "wb") as out:
            out.write(msgspec.msgpack.encode(work()))
        os._exit(0)
    os.close(writer)
    with os.fdopen(reader, "rb") as got:
        data = got.read()
    os.waitpid(child, 0)
    return msgspec.msgpack.decode(data, type=list[bytes])


def megabytes() -> float:
    """Memory of this process that is in use now."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 1e6


def peak_megabytes() -> float:
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 / 1e6 for line in lines if line.startswith("VmHWM"))


def cpu_of(pid: int) -> float:
    """Processor seconds of another process's threads so far, to the nanosecond."""
    return (
        sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir())
        / 1e9
    )


def middle(found: Sequence[float]) -> float:
    return statistics.median(found)


def shown(value: float) -> str:
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{min(digits, 4)}f}"


def spread(found: Sequence[float]) -> str:
    """The median, and how far the least and the most are from it."""
    mid = middle(found)
    if len(set(found)) == 1 or not mid:
        return shown(mid)
    return f"{shown(mid)} ({(min(found) / mid - 1) * 100:+.0f}..{(max(found) / mid - 1) * 100:+.0f} %)"


def exponent(sizes: Sequence[float], values: Sequence[float]) -> str:
    """Growth from the first to the last size: 1 is in proportion."""
    if min(values) <= 0 or sizes[0] == sizes[-1]:
        return "-"
    return f"{math.log(values[-1] / values[0]) / math.log(sizes[-1] / sizes[0]):.2f}"
