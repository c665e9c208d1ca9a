"""Broken rows of collectors."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.routing import peers
from ambershift.modelcheck.mutants.words import Mutant


def nothing(real: Any) -> Any:
    return lambda *words: None


def no_time(real: Any) -> Any:
    return lambda self, now: None


def one_bad_is_enough(real: Any) -> Any:
    def record_invalid(self: peers.PeerSession) -> bool:
        self.consecutive_invalid += 1
        return True

    return record_invalid


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "bad-ones-add-up",
        "collector",
        "only-rubbish-ends-a-collector",
        "good reports forgive nothing",
        peers.PeerSession,
        "record_valid",
        nothing,
    ),
    Mutant(
        "one-bad-is-enough",
        "collector",
        "only-rubbish-ends-a-collector",
        "one bad message ends a collector",
        peers.PeerSession,
        "record_invalid",
        one_bad_is_enough,
    ),
    Mutant(
        "first-goes",
        "collector",
        "the-silent-one-goes",
        "the one that joined first goes, silent or not",
        peers.CollectorRegistry,
        "touch",
        nothing,
    ),
    Mutant(
        "strangers-stay",
        "collector",
        "no-stranger-stays",
        "a stranger has all the time it likes",
        peers.PeerSession,
        "remaining_s",
        no_time,
    ),
    Mutant(
        "gone-ones-count",
        "collector",
        "a-zone-holds-three",
        "who left is still in the row of its zone",
        peers.CollectorRegistry,
        "remove",
        nothing,
    ),
    Mutant(
        "harmless-order",
        "collector",
        "",
        "who is heard goes behind by another way",
        peers.CollectorRegistry,
        "touch",
        lambda real: (
            lambda self, link, zone: (self.by_zone[zone].remove(link), self.by_zone[zone].append(link))[0]
        ),
    ),
)
