"""The explorer: breadth first, so that the first fault found is one that takes the fewest steps.

One worker or several give the same verdict, the same trace and the same numbers: a level is cut into
chunks, the chunks' successors are taken in in the order in which one worker would have found them.
"""

from __future__ import annotations

import multiprocessing
import resource
import time
from array import array
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec
import numpy as np
from rpds import List

from ambershift.modelcheck.model import Model, Step, fingerprint, write
from ambershift.modelcheck.visited import Plain, Runs, Visited, collision_chance

CHUNK, BATCH = 512, 1 << 15
NO_RAISE, NO_DEADLOCK = "nothing-raises", "no-deadlock"
RAISES = "No machine raises anything, whatever comes."
STUCK = "Nothing deadlocks: where work is left, something can happen."


class Options(NamedTuple):
    """How to explore. `without` names properties that are not looked at."""

    depth: int | None = None
    workers: int = 1
    symmetry: bool = True
    reduction: bool = True
    bits: int = 128
    plain: bool = False
    memory_mb: float = 2048.0
    states: int | None = None
    without: frozenset[str] = frozenset()


class Moment(NamedTuple):
    """One line of a trace: what happened, and what each party believes after it."""

    step: str
    beliefs: list[str]


class Fault(NamedTuple):
    """A property that does not hold, why, and the steps to it by their places among those possible."""

    property: str
    sentence: str
    why: str
    places: tuple[int, ...]


class Result(NamedTuple):
    """`bounded` is "" where all was explored, else what bounded it."""

    model: str
    states: int
    edges: int
    depth: int
    seconds: float
    bytes_a_state: float
    chance: float
    bounded: str
    fault: Fault | None

    @property
    def exhaustive(self) -> bool:
        return not self.bounded


Progress = Callable[[int, int, float], None]


class Found(NamedTuple):
    """A successor as a worker gives it: from where, its place among the steps, and what it is."""

    parent: int
    place: int
    mark: int
    state: bytes
    fault: tuple[str, str] | None


class Level(NamedTuple):
    """A state that waits to be expanded: its number and its form on the wire."""

    number: int
    state: bytes


class Expander:
    """What a worker does with a state: its successors, each judged."""

    def __init__(self, model: Model, options: Options) -> None:
        self.model, self.options = model, options
        self.properties = [one for one in model.properties if one.name not in options.without]

    def judge(self, state: Any) -> tuple[str, str] | None:
        for one in self.properties:
            if (why := one.check(state)) is not None:
                return one.name, why
        return None

    def chosen(self, state: Any) -> list[tuple[int, Step[Any]]]:
        steps = list(enumerate(self.model.steps(state)))
        if self.options.reduction:
            # An ample set of one: a local step may go first, as all else is possible after it as before.
            for place, step in steps:
                if step.local:
                    return [(place, step)]
        return steps

    def expand(self, chunk: list[Level]) -> tuple[int, list[Found]]:
        found, seen, edges = list[Found](), set[int](), 0
        for number, data in chunk:
            state: Any = msgspec.msgpack.decode(data, type=self.model.kind)
            try:
                steps = self.chosen(state)
            except Exception as error:  # The machines that run must take whatever the world does.
                found.append(Found(number, -1, 0, b"", (NO_RAISE, repr(error)[:300])))
                continue
            if not steps and not self.model.done(state) and NO_DEADLOCK not in self.options.without:
                found.append(Found(number, -1, 0, b"", (NO_DEADLOCK, "nothing can happen, and work is left")))
            for place, step in steps:
                edges += 1
                mark = fingerprint(self.model, step.state, self.options.symmetry, self.options.bits)
                if mark not in seen:
                    seen.add(mark)
                    found.append(Found(number, place, mark, write(step.state), self.judge(step.state)))
        return edges, found


expander: Expander | None = None  # In a worker: set once, as the model can't be sent with each chunk.


def set_up(model: Model, options: Options) -> None:
    global expander
    expander = Expander(model, options)


def expand(chunk: list[Level]) -> tuple[int, list[Found]]:
    assert expander is not None
    return expander.expand(chunk)


def explore(model: Model, options: Options, progress: Progress | None = None) -> Result:
    """Explore until all is seen, a bound is met, or a property does not hold; that by the shortest way."""
    result = explore_once(model, options, progress)
    fault = result.fault
    if fault is None or not options.reduction or not any_local(model, fault.places):
        return result
    # Local steps went first, also where the fault needs none of them: a shorter way may be there without.
    shorter = explore_once(model, options._replace(reduction=False, depth=len(fault.places) - 1), progress)
    return shorter if shorter.fault is not None else result


def any_local(model: Model, places: tuple[int, ...]) -> bool:
    state = model.initial()
    for place in places:
        step = list(model.steps(state))[place]
        if step.local:
            return True
        state = step.state
    return False


def explore_once(model: Model, options: Options, progress: Progress | None) -> Result:
    if options.workers <= 1:
        set_up(model, options)
        return run(model, options, lambda chunks: map(expand, chunks), progress)
    # Forked, so that workers have the model, and the machine as a mutant has left it.
    context = multiprocessing.get_context("fork")
    with context.Pool(options.workers, set_up, (model, options)) as pool:
        return run(model, options, lambda chunks: pool.imap(expand, chunks), progress)


Expanding = Callable[[Iterator[list[Level]]], Iterator[tuple[int, list[Found]]]]


def run(model: Model, options: Options, expanding: Expanding, progress: Progress | None) -> Result:
    started, most = time.monotonic(), model.depth if options.depth is None else options.depth
    visited: Visited = Plain() if options.plain else Runs(options.bits)
    parents, places = array("I"), array("H")
    initial = model.initial()
    visited.add([fingerprint(model, initial, options.symmetry, options.bits)])
    parents.append(0)
    places.append(0)
    frontier, depth, edges, bounded = [Level(0, write(initial))], 0, 0, ""

    def result(fault: Fault | None) -> Result:
        size = (visited.nbytes() + parents.itemsize * len(parents) + places.itemsize * len(places)) / len(
            visited
        )
        return Result(
            model.name,
            len(visited),
            edges,
            depth,
            time.monotonic() - started,
            size,
            collision_chance(len(visited), options.bits),
            bounded,
            fault,
        )

    def way(number: int, last: int) -> tuple[int, ...]:
        back = [last] if last >= 0 else []
        while number:
            back.append(places[number])
            number = parents[number]
        return tuple(reversed(back))

    def fault(found: Found) -> Fault:
        assert found.fault is not None
        name, why = found.fault
        sentence = next(
            (one.sentence for one in model.properties if one.name == name),
            RAISES if name == NO_RAISE else STUCK,
        )
        return Fault(name, sentence, why, way(found.parent, found.place))

    first = Expander(model, options).judge(initial)
    if first is not None:
        return result(fault(Found(0, -1, 0, b"", first)))
    while frontier:
        if most is not None and depth >= most:
            bounded = f"depth {most}"
            break
        depth += 1
        chunks = (frontier[at : at + CHUNK] for at in range(0, len(frontier), CHUNK))
        following, batch = list[Level](), list[Found]()

        def take_in(batch: list[Found], following: list[Level]) -> Fault | None:
            fresh = visited.add([one.mark for one in batch if one.place >= 0])
            real = [one for one in batch if one.place >= 0]
            chosen = [real[at] for at in fresh]
            faults = [one for one in batch if one.place < 0] + [one for one in chosen if one.fault]
            if faults:
                return fault(min(faults, key=lambda one: (one.parent, one.place)))
            for one in chosen:
                parents.append(one.parent)
                places.append(one.place)
                following.append(Level(len(parents) - 1, one.state))
            return None

        for more, found in expanding(chunks):
            edges += more
            batch += found
            if len(batch) >= BATCH:
                if bad := take_in(batch, following):
                    return result(bad)
                batch = []
                if progress:
                    progress(len(visited), depth, time.monotonic() - started)
                if resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024 > options.memory_mb:
                    bounded = f"memory {options.memory_mb:g} MB"
                    return result(None)
                if options.states is not None and len(visited) >= options.states:
                    bounded = f"{options.states} states"
                    return result(None)
        if bad := take_in(batch, following):
            return result(bad)
        frontier = following
        if progress:
            progress(len(visited), depth, time.monotonic() - started)
        if options.states is not None and len(visited) >= options.states:
            bounded = f"{options.states} states"
            break
    return result(None)


def walk(model: Model, seed: int, walks: int, length: int, options: Options) -> Result:
    """Random walks, for worlds too large to explore: the shortest fault among them, and never
    'exhaustive'.
    """
    rng, judge = np.random.default_rng(seed), Expander(model, options)
    started, edges, best, deepest = time.monotonic(), 0, None, 0
    seen = Runs(options.bits)
    for _ in range(walks):
        # The way is a persistent list: each prefix shares its tail with the walk that goes on.
        way: List[int]
        state, way, marks = model.initial(), List(), list[int]()
        for depth in range(1, length + 1):
            try:
                steps = list(model.steps(state))
            except Exception as error:
                best = shorter(best, Fault(NO_RAISE, RAISES, repr(error)[:300], tuple(reversed(list(way)))))
                break
            if not steps:
                break
            at = int(rng.integers(len(steps)))
            state, way, edges = steps[at].state, way.push_front(at), edges + 1
            deepest = max(deepest, depth)
            marks.append(fingerprint(model, state, options.symmetry, options.bits))
            if (found := judge.judge(state)) is not None:
                sentence = next(one.sentence for one in model.properties if one.name == found[0])
                best = shorter(best, Fault(found[0], sentence, found[1], tuple(reversed(list(way)))))
                break
        seen.add(marks)
    return Result(
        model.name,
        len(seen),
        edges,
        deepest,
        time.monotonic() - started,
        seen.nbytes() / max(1, len(seen)),
        collision_chance(len(seen), options.bits),
        f"{walks} random walks of {length} steps",
        best,
    )


def shorter(best: Fault | None, other: Fault) -> Fault:
    return other if best is None or len(other.places) < len(best.places) else best


def replay(model: Model, places: tuple[int, ...]) -> Iterator[tuple[str, Any]]:
    """The states along a way, each with the step to it. A way that does not exist is a ValueError."""
    state = model.initial()
    yield "the beginning", state
    for at, place in enumerate(places):
        steps = list(model.steps(state))
        if not 0 <= place < len(steps):
            raise ValueError(f"step {at + 1}: of {len(steps)} possible ones there is no number {place}")
        state = steps[place].state
        yield steps[place].name, state
