"""Who suffers: jobs outside their normal long enough, in the manner of CPI squared (Zhang et al. 2013).

Kept: a sample is out of line over two standard deviations, and a job suffers when three of five minutes are.
Changed: median and median deviation of log CPI in place of mean and deviation, so that the sufferers among
the samples don't widen the normal; a minute is out of line when the median of its samples is, so that one
stray sample makes none.
"""

from __future__ import annotations

import numpy as np
import numpy.typing as npt

from ambershift.coordinator.interference.normal import Normal

SLOTS_A_MINUTE = 6
MINUTES, OUT_LEAST = 5, 3
USE_LEAST = 0.25  # Cores, as in the paper: an idle job's CPI says little.
SAMPLES_LEAST = 2  # In a minute, for it to count.

Floats = npt.NDArray[np.float64]


def excess(log_cpi: Floats, use: Floats, normal: Normal) -> Floats:
    """How far over its normal each slot is; NaN where the job idled or nothing is known."""
    return np.where(use >= USE_LEAST, log_cpi - normal.middle, np.nan)


def suffers(over: Floats, normal: Normal) -> bool:
    """From the excess in the newest slots, oldest first."""
    out = 0
    for minute in np.array_split(over[-MINUTES * SLOTS_A_MINUTE :], MINUTES):
        known = minute[~np.isnan(minute)]
        out += len(known) >= SAMPLES_LEAST and bool(np.median(known) > normal.threshold - normal.middle)
    return out >= OUT_LEAST


def level(over: Floats) -> float:
    """The median excess of the last five minutes, 0 where nothing is known."""
    known = over[-MINUTES * SLOTS_A_MINUTE :]
    known = known[~np.isnan(known)]
    return float(np.median(known)) if len(known) >= SAMPLES_LEAST * OUT_LEAST else 0.0


def all_slow(overs: Floats, thresholds: Floats) -> npt.NDArray[np.bool_]:
    """Slots in which every job that ran was out of line: the machine was slow, not a neighbour busy.

    `overs` has a row a job. Where one job alone ran there is nobody to blame either way, and nothing said.
    """
    known = ~np.isnan(overs)
    with np.errstate(invalid="ignore"):
        out = overs > thresholds[:, None]
    return np.asarray((known.sum(0) >= 2) & (out | ~known).all(0))
