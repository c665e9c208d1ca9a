"""Who causes it, on one node: a victim's excess CPI against all its neighbours' CPU use, paired in time.

All neighbours stand in one regression, so that one who is merely busy at the same times as the culprit is
not blamed for it; the victim's own load and the least excess of the others (what slows all) stand beside.
Each block of five minutes has its own level, which takes out days, deploys and drift. Blocks are the units of
evidence: errors within a block hang together, so the variance is the jackknife's over blocks (CR3, see
Cameron and Miller 2015), and its degrees of freedom fall where few blocks carry the evidence.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np
import numpy.typing as npt

BLOCK = 30  # Slots.
BLOCK_ROWS, BLOCKS_LEAST = 12, 3
PRESENT_LEAST = 0.6  # Of the rows: a neighbour seen less keeps the others' rows, and gets no evidence.
MOVES_LEAST = 0.02  # Cores by which a suspect's use must vary: what never does can't be told from the rest.
ALIKE_MOST = 10.0  # Variance inflation: beyond, two suspects are busy at the same times and none is blamed.
STRAY = 4.0  # Deviations at which a victim's excess is held.

Floats = npt.NDArray[np.float64]


class Finding(NamedTuple):
    """Log CPI a core of the suspect's use; `busy` is how far its use rises, in cores, from calm to busy."""

    slope: float
    error: float
    freedom: float
    busy: float


def demeaned(columns: Floats, blocks: npt.NDArray[np.int64]) -> Floats:
    """Each column without its mean in each block; `blocks` counts from 0 without gaps."""
    sums = np.zeros((int(blocks[-1]) + 1, columns.shape[1]))
    np.add.at(sums, blocks, columns)
    return np.asarray(columns - (sums / np.bincount(blocks)[:, None])[blocks])


def present(uses: Floats, slots: npt.NDArray[np.int64]) -> Floats:
    """Uses with 0 where a job had no sample in a whole block: it was not there, and that is evidence."""
    filled = uses.copy()
    starts = np.flatnonzero(np.diff(slots // BLOCK, prepend=-1))
    if len(starts):
        away = np.logical_and.reduceat(np.isnan(uses), starts, axis=1)
        filled[np.repeat(away, np.diff(starts, append=len(slots)), axis=1)] = 0.0
    return filled


def swings(uses: Floats) -> Floats:
    """How far each job's use rises from calm to busy, in cores; 0 where nothing is known."""
    ordered = np.sort(uses, axis=1)  # What is unknown comes last.
    known = (~np.isnan(uses)).sum(1)
    at = np.arange(len(uses))
    low, high = (ordered[at, np.maximum(0, (known - 1) * part // 10)] for part in (1, 9))
    return np.asarray(np.where(known > 0, high - low, 0.0))


def findings(
    over: Floats, own: Floats, filled: Floats, busy: Floats, common: Floats, slots: npt.NDArray[np.int64]
) -> list[Finding | None]:
    """One a row of `filled`, the uses as `present` gives them. `over`: the victim's excess, NaN where
    unusable; `own`: its use; `busy`: the others' swings; `common`: the least excess of the others, NaN where
    unknown; `slots`: numbers of the slots.
    """
    blocks = slots // BLOCK
    none: list[Finding | None] = [None] * len(filled)
    rows = ~np.isnan(over) & ~np.isnan(own)
    if rows.sum() < BLOCK_ROWS * BLOCKS_LEAST:
        return none
    seen = np.flatnonzero((~np.isnan(filled[:, rows])).mean(1) >= PRESENT_LEAST)
    rows &= ~np.isnan(filled[seen]).any(0)
    numbers, places, sizes = np.unique(blocks[rows], return_inverse=True, return_counts=True)
    if len(numbers):
        rows[rows] = (sizes >= BLOCK_ROWS)[places]
    places = np.unique(blocks[rows], return_inverse=True)[1]
    if not rows.any() or int(places[-1]) + 1 < BLOCKS_LEAST:
        return none
    filler = float(np.nanmedian(common[rows])) if (~np.isnan(common[rows])).any() else 0.0
    controls = np.stack([own[rows], np.where(np.isnan(common[rows]), filler, common[rows])])
    columns = demeaned(np.concatenate([filled[np.ix_(seen, rows)], controls]).T, places)
    y = demeaned(over[rows][:, None], places)[:, 0]
    spread = 1.4826 * float(np.median(np.abs(y)))
    y = demeaned(np.clip(y, -STRAY * spread, STRAY * spread)[:, None], places)[:, 0]
    scale = columns.std(0)
    least = np.concatenate([np.full(len(seen), MOVES_LEAST), np.full(len(controls), 1e-9)])
    used = np.flatnonzero(scale > least)
    found = regression(y, columns[:, used] / scale[used], places)
    for at, one in zip(used, found, strict=True):
        if at < len(seen) and one is not None:
            suspect = int(seen[at])
            none[suspect] = Finding(one[0] / scale[at], one[1] / scale[at], one[2], float(busy[suspect]))
    return none


def regression(
    y: Floats, x: Floats, places: npt.NDArray[np.int64]
) -> list[tuple[float, float, float] | None]:
    """Slope, standard error and degrees of freedom for each column of unit spread."""
    count, width = x.shape
    blocks = int(places[-1]) + 1
    if not width or count - blocks - width < BLOCK_ROWS:
        return [None] * width
    gram = x.T @ x
    inverse = np.linalg.pinv(gram, hermitian=True)
    slopes = inverse @ (x.T @ y)
    rest = y - x @ slopes
    alone = np.diag(inverse)
    if not (alone > 0).all():
        return [None] * width
    parts = x @ inverse / alone  # Each column without what the others explain of it.
    pull, weight = np.zeros((blocks, width)), np.zeros((blocks, width))
    np.add.at(pull, places, parts * rest[:, None])
    np.add.at(weight, places, parts**2)
    weight /= weight.sum(0)
    left = np.maximum(1.0 - weight, 1e-3)
    jackknife = (blocks - 1) / blocks * ((pull / left) ** 2).sum(0) * alone**2
    plain = float(rest @ rest) / (count - blocks - width) * alone
    errors = np.sqrt(np.maximum(jackknife, plain))
    freedom = 1.0 / (weight**2).sum(0) - 1.0
    alike = np.diag(gram) * alone
    return [
        (float(slopes[at]), float(errors[at]), float(freedom[at]))
        if alike[at] <= ALIKE_MOST and freedom[at] >= 1.0 and errors[at] > 0
        else None
        for at in range(width)
    ]
