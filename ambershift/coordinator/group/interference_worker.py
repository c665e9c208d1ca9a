"""Counting: runs the scores of interference on a thread of their own, off the turns of the coordinator."""

from __future__ import annotations

import asyncio
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from ambershift.coordinator.group.gossip import Gossip
from ambershift.coordinator.group.links.interfaces import log_failure
from ambershift.coordinator.group.links.wire import UnreadableError
from ambershift.coordinator.interference.words import Sample
from ambershift.coordinator.replication.gossip.types import Kind, Record

if TYPE_CHECKING:
    from ambershift.coordinator.interference.engine import Engine

SAMPLES = msgspec.msgpack.Decoder(list[Sample])
SAMPLES_MOST = 8_192  # Of one message.
# Samples and records that may wait for the thread; what is over goes, the oldest first.
WAITING_MOST = 65_536
WANTED = (Kind.MET, Kind.BASELINE)


class Scores(NamedTuple):
    """What the thread made last: rows to show, and by server what part of it neighbours take."""

    rows: tuple[dict[str, Any], ...]
    interfered: dict[str, float]
    eases: dict[str, float]


NOTHING = Scores((), {}, {})


class InterferenceWorker:
    """`make` gives the engine: it and its libraries are loaded on the thread, and only once there is
    something to count. `ease` is told, on the loop, which servers keep what part of their weight.
    """

    def __init__(
        self,
        gossip: Gossip,
        make: Callable[[], Engine],
        servers: Callable[[], list[str]],
        ease: Callable[[dict[str, float]], None],
        note: Callable[..., None],
    ) -> None:
        self.gossip, self.make, self.servers, self.note = gossip, make, servers, note
        self.ease, self.eased = ease, dict[str, float]()
        self.waiting = deque[Sample | Record](maxlen=WAITING_MOST)
        self.scores, self.ending = NOTHING, False
        self.fresh = threading.Event()
        self.loop: asyncio.AbstractEventLoop | None = None
        gossip.news.append(self.hear)

    def open(self) -> None:
        self.loop = asyncio.get_running_loop()
        threading.Thread(target=self.run, name="counting", daemon=True).start()

    def close(self) -> None:
        self.ending = True
        self.fresh.set()

    # On the loop

    def counters(self, name: str, payload: bytes) -> None:
        """From a process beside the coordinator: a msgpack list of samples."""
        try:
            found = SAMPLES.decode(payload)
        except (msgspec.MsgspecError, ValueError) as error:
            raise UnreadableError(f"no samples ({error})") from None
        if len(found) > SAMPLES_MOST:
            raise UnreadableError(f"{len(found)} samples in one message")
        self.waiting.extend(found)
        self.fresh.set()

    def hear(self, now: int, records: list[Record]) -> None:
        found = [record for record in records if record.kind in WANTED]
        if found:
            self.waiting.extend(found)
            self.fresh.set()

    def give(self, puts: list[Any], scores: Scores) -> None:
        now = self.gossip.member.now()
        for put in puts:
            if put.body:
                self.gossip.store.put(now, put.kind, put.key, put.body)
            else:
                self.gossip.store.take_back(now, put.kind, put.key)
        self.scores = scores
        if scores.eases != self.eased:
            self.eased = scores.eases
            self.ease(scores.eases)

    # On the thread

    def run(self) -> None:
        engine: Engine | None = None
        while not self.ending:
            self.fresh.wait()
            if engine is None and not self.ending:
                engine = self.make()
            if engine is not None and not self.ending:
                try:
                    self.turn(engine)
                except Exception as error:  # No score is worth the end of all later ones.
                    log_failure(self.note, "counting", error)
            time.sleep(1.0)

    def turn(self, engine: Engine) -> None:
        samples = list[Sample]()
        for _ in range(len(self.waiting)):
            one = self.waiting.popleft()
            if isinstance(one, Record):
                engine.heard(one)
            else:
                samples.append(one)
        now = time.time_ns()
        if samples:
            engine.samples(now, samples)
        puts = engine.due(now)
        interfered = {server: part for server in self.servers() if (part := engine.interfered(server)) > 0}
        scores = Scores(tuple(row._asdict() for row in engine.rows()), interfered, dict(engine.eases(now)))
        if self.loop is not None and not self.ending:
            self.loop.call_soon_threadsafe(self.give, puts, scores)
