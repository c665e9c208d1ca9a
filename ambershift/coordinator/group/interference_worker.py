"""Runs the interference scoring on a thread of its own, so that it doesn't block the event loop."""

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
from ambershift.coordinator.replication.gossip.types import Record, RecordKind

if TYPE_CHECKING:
    from ambershift.coordinator.interference.engine import Engine

MAX_SAMPLES_PER_MESSAGE = 8_192
MAX_QUEUED = 65_536  # Samples and records for the thread; beyond it the oldest are dropped.
TURN_INTERVAL_S = 1.0
SCORED_KINDS = (RecordKind.INTERFERENCE_EVIDENCE, RecordKind.INTERFERENCE_BASELINE)
_decoder = msgspec.msgpack.Decoder(list[Sample])


class Scores(NamedTuple):
    """The latest result of the thread.

    Attributes:
        rows: What `show interference` lists.
        interfered: By server id, what part of it other jobs on its machine take.
        weight_factors: By server id, what part of its weight a server keeps.
    """

    rows: tuple[dict[str, Any], ...]
    interfered: dict[str, float]
    weight_factors: dict[str, float]


NO_SCORES = Scores((), {}, {})


class InterferenceWorker:
    """Queues samples and records for the scoring engine, and takes over its results.

    The engine and its libraries are loaded by the thread, and only once there is something to score.
    """

    def __init__(
        self,
        gossip: Gossip,
        make_engine: Callable[[], Engine],
        servers: Callable[[], list[str]],
        ease: Callable[[dict[str, float]], None],
        note: Callable[..., None],
    ) -> None:
        """Prepare; `open` starts the thread.

        Args:
            gossip: Where the engine's records come from and go to.
            make_engine: Returns the engine; called on the thread.
            servers: Returns the ids of all servers; called on the thread.
            ease: Called on the loop with the parts of their weights that servers keep, when these change.
            note: Writes a log event.
        """
        self._gossip = gossip
        self._make_engine = make_engine
        self._servers = servers
        self._ease = ease
        self._note = note
        self._applied_factors = dict[str, float]()
        self._queue = deque[Sample | Record](maxlen=MAX_QUEUED)
        self._wake = threading.Event()
        self._closing = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self.scores = NO_SCORES
        gossip.record_listeners.append(self._on_records)

    def open(self) -> None:
        """Start the thread."""
        self._loop = asyncio.get_running_loop()
        threading.Thread(target=self._run, name="counting", daemon=True).start()

    def close(self) -> None:
        """Let the thread end after its present turn."""
        self._closing = True
        self._wake.set()

    # On the event loop.

    def on_counters(self, name: str, payload: bytes) -> None:
        """Queue samples from a process beside the coordinator: a msgpack list.

        Raises:
            UnreadableError: The payload is malformed, or holds too many.
        """
        try:
            samples = _decoder.decode(payload)
        except (msgspec.MsgspecError, ValueError) as error:
            raise UnreadableError(f"no samples ({error})") from None
        if len(samples) > MAX_SAMPLES_PER_MESSAGE:
            raise UnreadableError(f"{len(samples)} samples in one message")
        self._queue.extend(samples)
        self._wake.set()

    def _on_records(self, now: int, records: list[Record]) -> None:
        scored = [record for record in records if record.kind in SCORED_KINDS]
        if scored:
            self._queue.extend(scored)
            self._wake.set()

    def _publish(self, puts: list[Any], scores: Scores) -> None:
        """Publish the engine's records, and take over its scores."""
        now = self._gossip.member.now()
        for put in puts:
            if put.body:
                self._gossip.store.put(now, put.kind, put.key, put.body)
            else:
                self._gossip.store.withdraw(now, put.kind, put.key)
        self.scores = scores
        if scores.weight_factors != self._applied_factors:
            self._applied_factors = scores.weight_factors
            self._ease(scores.weight_factors)

    # On the thread.

    def _run(self) -> None:
        engine: Engine | None = None
        while not self._closing:
            self._wake.wait()
            if engine is None and not self._closing:
                engine = self._make_engine()
            if engine is not None and not self._closing:
                try:
                    self._run_turn(engine)
                except Exception as error:  # One failed turn must not end all later ones.
                    log_failure(self._note, "counting", error)
            time.sleep(TURN_INTERVAL_S)

    def _run_turn(self, engine: Engine) -> None:
        samples = list[Sample]()
        for _ in range(len(self._queue)):
            queued = self._queue.popleft()
            if isinstance(queued, Record):
                engine.heard(queued)
            else:
                samples.append(queued)
        now = time.time_ns()
        if samples:
            engine.samples(now, samples)
        puts = engine.due(now)
        interfered = {server: part for server in self._servers() if (part := engine.interfered(server)) > 0}
        rows = tuple(row._asdict() for row in engine.rows())
        scores = Scores(rows, interfered, dict(engine.eases(now)))
        if self._loop is not None and not self._closing:
            self._loop.call_soon_threadsafe(self._publish, puts, scores)
