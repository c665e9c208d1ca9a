"""Put on PYTHONPATH of a coordinator by benchmarks.group: keeps the thread's time of each step, and the wait
before it, and writes them to the file of STEPS_FILE when the process is asked to end.
"""

import atexit
import os
import sys
import time

PLACE = os.environ.get("STEPS_FILE", "")
STEPS: list[tuple[int, int]] = []


def instrument() -> None:
    sys.path.insert(0, os.getcwd())
    from ambershift.coordinator.routing.policy_driver import PolicyDriver

    run, submit, asked = PolicyDriver.run_step, PolicyDriver.submit, [0]

    def timed_submit(self, event):  # type: ignore[no-untyped-def]
        if not self.events:
            asked[0] = time.perf_counter_ns()
        submit(self, event)

    def timed_run(self):  # type: ignore[no-untyped-def]
        waited, started = time.perf_counter_ns() - asked[0], time.thread_time_ns()
        run(self)
        STEPS.append((time.thread_time_ns() - started, waited))

    PolicyDriver.run_step, PolicyDriver.submit = timed_run, timed_submit

    def write() -> None:
        with open(PLACE.replace("%", os.environ.get("BALANCER_NAME", "x")), "w") as file:
            file.writelines(f"{took} {waited}\n" for took, waited in STEPS)

    atexit.register(write)


if (PLACE and sys.argv[:1] in (["-m"], ["-c"])) or (PLACE and "ambershift" in " ".join(sys.orig_argv)):
    instrument()
