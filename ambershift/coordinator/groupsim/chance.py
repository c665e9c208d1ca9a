"""Chance from a seed: the high bits of a linear congruential generator (Knuth's MMIX constants)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")
MULTIPLIER, INCREMENT, MASK = 6364136223846793005, 1442695040888963407, (1 << 64) - 1


class Chance:
    def __init__(self, seed: int, stream: int = 0) -> None:
        self.word = (seed * MULTIPLIER + stream * 0x9E3779B97F4A7C15 + INCREMENT) & MASK
        self.below(2)
        self.below(2)

    def below(self, most: int) -> int:
        """From 0 on, less than `most`, which is below 2**32."""
        self.word = (self.word * MULTIPLIER + INCREMENT) & MASK
        return (self.word >> 32) * most >> 32

    def between(self, least: int, most: int) -> int:
        return least + self.below(most - least + 1)

    def hits(self, thousandths: int) -> bool:
        return self.below(1000) < thousandths

    def choice(self, of: Sequence[T]) -> T:
        return of[self.below(len(of))]

    def some(self, of: Sequence[T], many: int) -> list[T]:
        left = list(of)
        return [left.pop(self.below(len(left))) for _ in range(min(many, len(left)))]
