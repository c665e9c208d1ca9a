"""All sources of the settings: reads every file's rows into samples, and keeps the newest while nobody takes
them.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from ambershift.coordinator.counters.follow import Follower
from ambershift.coordinator.interference.perfcsv import Job, PerfReader
from ambershift.coordinator.interference.words import Sample
from ambershift.coordinator.settings.interference import Interference

KEPT_MOST = 20_000
BATCH = 512
SILENT = 3  # Intervals.


class Sources:
    def __init__(self, settings: Interference, interval_ns: int, note: Callable[..., None]) -> None:
        self.silent_ns = SILENT * interval_ns
        self.waiting = deque[Sample](maxlen=KEPT_MOST)
        self.dropped = 0
        self.readers = dict[str, list[PerfReader]]()
        for source in settings.source:
            for job in source.job:
                reader = PerfReader(Job(source.node, source.kind, job.name, job.tenant, job.cgroup))
                self.readers.setdefault(job.file, []).append(reader)
        self.followers = {file: Follower(file, note) for file in self.readers}

    def poll(self, now: int) -> int:
        """Read what came; how many samples it made."""
        made = 0
        for file, follower in self.followers.items():
            data = follower.read(now, self.silent_ns)
            if not data:
                continue
            for reader in self.readers[file]:
                for sample in reader.feed(data, now):
                    self.dropped += len(self.waiting) == KEPT_MOST
                    self.waiting.append(sample)
                    made += 1
        return made

    def batch(self) -> list[Sample]:
        return [self.waiting.popleft() for _ in range(min(BATCH, len(self.waiting)))]

    def again(self, batch: list[Sample]) -> None:
        """A batch that may not have come: the member tells repeats by their time. The oldest go first."""
        room = KEPT_MOST - len(self.waiting)
        self.dropped += max(0, len(batch) - room)
        self.waiting.extendleft(reversed(batch[len(batch) - min(room, len(batch)) :]))

    def unusable(self) -> Counter[str]:
        total = Counter[str]()
        for readers in self.readers.values():
            for reader in readers:
                total.update({reason.value: count for reason, count in reader.took.items()})
        return total

    def close(self) -> None:
        for follower in self.followers.values():
            follower.close()
