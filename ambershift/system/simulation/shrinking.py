"""A history that fails, made smaller: troubles are left out as long as it still fails, in whatever way."""

from __future__ import annotations

from collections.abc import Callable, Collection

from ambershift.system.simulation.histories import Played, play

TRIES_MOST = 300
Player = Callable[[int, float, Collection[str]], Played]


def _try(player: Player, seed: int, seconds: float, skip: Collection[str]) -> Played:
    try:
        return player(seed, seconds, skip)
    except Exception as why:  # What fails inside is a failure too.
        return Played([f"failed inside: {why!r}"], {})


def fewest(seed: int, seconds: float = 8, player: Player = play) -> tuple[set[str], Played]:
    """Which troubles to skip, and what is left."""
    skip, best = set[str](), _try(player, seed, seconds, ())
    tries, size = 0, max(1, len(best.troubles) // 2)
    while best.broken and tries < TRIES_MOST:
        names = list(best.troubles)
        for at in range(0, len(names), size):
            tries += 1
            less = skip | set(names[at : at + size])
            found = _try(player, seed, seconds, less)
            if found.broken and len(found.troubles) < len(best.troubles):
                skip, best = less, found
                break
        else:
            if size == 1:
                break
            size = max(1, size // 2)
    return skip, best


def shrink(seed: int) -> list[str]:
    """What is left of the history, line by line."""
    _, best = fewest(seed)
    return [f"seed {seed} with the fewest troubles found:", *best.troubles.values(), *best.broken[:10]]
