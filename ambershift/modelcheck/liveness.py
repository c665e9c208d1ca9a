"""Liveness: whether what is pending comes to an end, if what is possible all the time happens some time.

The graph of all states is searched for a cycle that fair steps need never leave, or a dead end. Under weak
fairness a strongly connected part of the pending states is such a place, if for each class of fair steps
some state in it has none possible, or some step within it is one. (If the whole part is not, no cycle in it
is: where a class is possible in all its states and none of its steps stays inside, that holds for every
cycle too.)
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from ambershift.modelcheck.explore import Fault
from ambershift.modelcheck.model import Liveness, Model, write

STATES_MOST = 400_000


class Graph(NamedTuple):
    """States by number; `edges[n]` are (place, target, fair class); `parents` lead back to 0."""

    states: list[Any]
    edges: list[list[tuple[int, int, str]]]
    parents: list[tuple[int, int]]
    whole: bool


def build(model: Model, most: int = STATES_MOST) -> Graph:
    """All states, without reductions: cycles through names that were exchanged would be none."""
    numbers, graph = {write(model.key(model.initial())): 0}, Graph([model.initial()], [], [(0, -1)], True)
    at = 0
    while at < len(graph.states):
        row = []
        for place, step in enumerate(model.steps(graph.states[at])):
            key = write(model.key(step.state))
            number = numbers.get(key)
            if number is None:
                if len(numbers) >= most:
                    return graph._replace(whole=False)
                number = numbers[key] = len(numbers)
                graph.states.append(step.state)
                graph.parents.append((at, place))
            row.append((place, number, step.fair))
        graph.edges.append(row)
        at += 1
    return graph


class Verdict(NamedTuple):
    """`cycle` are the places of the steps that may go on for ever behind the fault's own."""

    states: int
    whole: bool
    fault: Fault | None
    cycle: tuple[int, ...]


def check(model: Model, one: Liveness, graph: Graph | None = None) -> Verdict:
    graph = graph or build(model)
    if not graph.whole:
        return Verdict(len(graph.states), False, None, ())
    pending = [one.pending(state) for state in graph.states]
    best: tuple[int, str, tuple[int, ...]] | None = None
    for number, row in enumerate(graph.edges):
        if pending[number] and not row:
            best = nearer(best, (number, "nothing can happen any more", ()))
    for part in strong_parts(graph, pending):
        members = set(part)
        inside = [(number, edge) for number in part for edge in graph.edges[number] if edge[1] in members]
        if not inside:
            continue
        classes = {fair for number in part for _, _, fair in graph.edges[number] if fair}
        taken = {edge[2] for _, edge in inside}
        kept = [
            fair
            for fair in classes
            if fair not in taken
            and all(any(edge[2] == fair for edge in graph.edges[number]) for number in part)
        ]
        if not kept:
            start = min(part)
            best = nearer(best, (start, "it may go on like this for ever", cycle(graph, members, start)))
    if best is None:
        return Verdict(len(graph.states), True, None, ())
    number, why, around = best
    return Verdict(len(graph.states), True, Fault(one.name, one.sentence, why, way(graph, number)), around)


def nearer(
    best: tuple[int, str, tuple[int, ...]] | None, other: tuple[int, str, tuple[int, ...]]
) -> tuple[int, str, tuple[int, ...]]:
    return other if best is None or other[0] < best[0] else best  # Numbers go by distance from the beginning.


def way(graph: Graph, number: int) -> tuple[int, ...]:
    back = []
    while number:
        number, place = graph.parents[number]
        back.append(place)
    return tuple(reversed(back))


def cycle(graph: Graph, members: set[int], start: int) -> tuple[int, ...]:
    """The shortest way from a state back to it inside its part."""
    came, line = dict[int, tuple[int, int]](), [start]
    for number in line:
        for place, target, _ in graph.edges[number]:
            if target in members and target not in came:
                came[target] = number, place
                line.append(target)
        if start in came:
            break
    back, number = [came[start][1]], came[start][0]
    while number != start:
        number, place = came[number][0], came[number][1]
        back.append(place)
    return tuple(reversed(back))


def strong_parts(graph: Graph, pending: list[bool]) -> Iterator[list[int]]:
    """Tarjan's strongly connected parts of the pending states, without recursion."""
    index, low, on, stack, count = dict[int, int](), dict[int, int](), set[int](), list[int](), 0
    for root in range(len(graph.states)):
        if not pending[root] or root in index:
            continue
        work = [(root, 0)]
        while work:
            number, at = work.pop()
            if at == 0:
                index[number] = low[number] = count
                count += 1
                stack.append(number)
                on.add(number)
            row, deeper = graph.edges[number], False
            while at < len(row):
                target = row[at][1]
                at += 1
                if not pending[target]:
                    continue
                if target not in index:
                    work += [(number, at), (target, 0)]
                    deeper = True
                    break
                if target in on:
                    low[number] = min(low[number], index[target])
            if deeper:
                continue
            if low[number] == index[number]:
                part = list[int]()
                while not part or part[-1] != number:
                    part.append(stack.pop())
                    on.discard(part[-1])
                yield part
            if work:
                low[work[-1][0]] = min(low[work[-1][0]], low[number])
