"""`ambershift run` with its steps timed: what `runtime_socket` starts, and not for use besides.

The first word is the file for the result, the second `paced`, or `plain` for wishes that are told one by
one, at once; the rest goes to the command line. Each SIGUSR1 appends what was counted since the last, as a
line of JSON.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from ambershift import interface as api
from ambershift.coordinator.admin import batching
from ambershift.coordinator.cli.commands import main
from ambershift.policy import TableManager

LONGEST_US = 10_000_000
inner = TableManager.step
steps = HdrHistogram(1, LONGEST_US, 3)


def timed(self: TableManager, now: int, events: Sequence[api.Event]) -> list[api.Order]:
    started = time.perf_counter_ns()
    orders = inner(self, now, events)
    steps.record_value(max(1, (time.perf_counter_ns() - started) // 1000))
    return orders


def tell(*_: object) -> None:
    with open(sys.argv[1], "a") as file:
        file.write(
            json.dumps(
                {
                    "steps": steps.get_total_count(),
                    **{f"p{at}": steps.get_value_at_percentile(at) for at in (50, 99, 99.9)},
                }
            )
            + "\n"
        )
    steps.reset()


if __name__ == "__main__":
    TableManager.step = timed  # type: ignore[method-assign]
    if sys.argv[2] == "plain":
        batching.BATCH_QUIET_NS = batching.MAX_BATCH_DELAY_NS = batching.MIN_FLIP_DELAY_NS = (
            batching.MAX_FLIP_DELAY_NS
        ) = 0
    signal.signal(signal.SIGUSR1, tell)
    sys.exit(main(sys.argv[3:]))
