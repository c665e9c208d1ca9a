"""Pools what the nodes found on a pair: random effects over nodes, intervals, and the word over all pairs.

Random effects after DerSimonian and Laird (1986), the variance widened by what the nodes differ beyond it
(Hartung and Knapp 2001) and never narrowed; degrees of freedom after Satterthwaite from the nodes' own. The
correction is Holm's (1979): it holds whatever hangs together, and pairs with one victim do. Benjamini and
Hochberg's bounds the part of wrong ones among the accused; here one wrong word moves a job that did nothing.

All members must come to the same bytes: sums are exactly rounded (`math.fsum`), in the order of the nodes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from scipy.special import stdtr, stdtrit  # type: ignore[import-untyped]

from ambershift.coordinator.interference.records import BUSY, ERROR, FREEDOM, SLOPE, Evidence, Met
from ambershift.coordinator.interference.words import Score

ALPHA = 0.001  # For all pairs of a look; looks that share no sample come every hour.
EFFECT_LEAST = 0.03  # Less than this part of a job's speed is not worth a move.
NODES_LEAST = 2  # Nobody is accused on one node's word: that a node invents can't be seen on it alone.
FREEDOM_LEAST = 5.0  # Over all nodes: fewer, and the tail of t is a guess.
STRAY_NODES, STRAY = 5, 8.0  # With so many nodes, one that is so far off the middle doesn't count.
DIGITS = 6


class Found(NamedTuple):
    """One pair on one node."""

    slope: float
    variance: float
    freedom: float
    busy: float


class Pooled(NamedTuple):
    slope: float
    error: float
    freedom: float
    busy: float
    nodes: int
    strays: int


def on_node(rows: Sequence[Met]) -> Found:
    """Several jobs of the same two groups on one node share its fate: their mean, and no less doubt."""
    count = len(rows)
    return Found(
        math.fsum(one.slope for one in rows) / SLOPE / count,
        math.fsum(one.error**2 for one in rows) / ERROR**2 / count,
        math.fsum(one.freedom for one in rows) / FREEDOM / count,
        math.fsum(one.busy for one in rows) / BUSY / count,
    )


def median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    half = len(ordered) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def without_strays(found: Sequence[Found]) -> list[Found]:
    """A node that invents a slope, or meets something else: one among many counts for nothing."""
    if len(found) < STRAY_NODES:
        return list(found)
    middle = median(one.slope for one in found)
    apart = 1.4826 * median(abs(one.slope - middle) for one in found)
    return [one for one in found if abs(one.slope - middle) <= STRAY * (apart + math.sqrt(one.variance))]


def pool(every: Sequence[Found]) -> Pooled | None:
    found = without_strays(every)
    if not found or math.fsum(one.freedom for one in found) < FREEDOM_LEAST:
        return None
    weights = [1.0 / one.variance for one in found]
    total = math.fsum(weights)
    middle = math.fsum(weight * one.slope for weight, one in zip(weights, found, strict=True)) / total
    apart = math.fsum(weight * (one.slope - middle) ** 2 for weight, one in zip(weights, found, strict=True))
    room = total - math.fsum(weight**2 for weight in weights) / total
    between = max(0.0, (apart - (len(found) - 1)) / room) if room > 0 else 0.0
    weights = [1.0 / (one.variance + between) for one in found]
    total = math.fsum(weights)
    slope = math.fsum(weight * one.slope for weight, one in zip(weights, found, strict=True)) / total
    variance = 1.0 / total
    if len(found) > 1:
        spread = math.fsum(
            weight * (one.slope - slope) ** 2 for weight, one in zip(weights, found, strict=True)
        ) / (len(found) - 1)
        variance *= max(1.0, spread)
    freedom = total**2 / math.fsum(
        weight**2 / one.freedom for weight, one in zip(weights, found, strict=True)
    )
    busy = math.fsum(one.busy for one in found) / len(found)
    return Pooled(slope, math.sqrt(variance), freedom, busy, len(found), len(every) - len(found))


def lost(log_slower: float) -> float:
    """The part of its speed that a job loses when its CPI rises by this logarithm."""
    return max(0.0, -math.expm1(-max(0.0, log_slower)))


def pairs(
    evidence: Iterable[Evidence], liars: frozenset[str] = frozenset()
) -> dict[tuple[str, str], list[Found]]:
    """What was found on each pair of groups, by node in order."""
    rows = dict[tuple[str, str], dict[str, list[Met]]]()
    for one in sorted(evidence, key=lambda one: (one.node, one.job)):
        if one.node not in liars:
            for met in one.met:
                rows.setdefault((one.group, met.suspect), {}).setdefault(one.node, []).append(met)
    return {pair: [on_node(nodes[node]) for node in sorted(nodes)] for pair, nodes in sorted(rows.items())}


def scores(found: Mapping[tuple[str, str], Sequence[Found]]) -> list[Score]:
    """A score for each pair with enough evidence, in the order of the pairs."""
    pooled = {pair: one for pair, rows in sorted(found.items()) if (one := pool(rows)) is not None}
    chances = {pair: float(stdtr(one.freedom, -one.slope / one.error)) for pair, one in pooled.items()}
    corrected, so_far = dict[tuple[str, str], float](), 0.0
    for rank, pair in enumerate(sorted(chances, key=lambda pair: (chances[pair], pair))):
        so_far = max(so_far, min(1.0, chances[pair] * (len(chances) - rank)))
        corrected[pair] = so_far
    made = list[Score]()
    for pair, one in pooled.items():
        reach = float(stdtrit(one.freedom, 0.975)) * one.error
        effect, low, high = (lost((one.slope + off) * one.busy) for off in (0.0, -reach, reach))
        p = corrected[pair]
        made.append(
            Score(
                *pair,
                round(effect, DIGITS),
                round(low, DIGITS),
                round(high, DIGITS),
                float(f"{p:.5g}"),
                one.nodes,
                one.nodes >= NODES_LEAST and p <= ALPHA and effect >= EFFECT_LEAST and low > 0.0,
            )
        )
    return made
