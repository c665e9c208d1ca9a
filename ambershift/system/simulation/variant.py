"""How a broken variant is written down: name, rule broken, what is wrong, and what takes its place."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ambershift.modelcheck.mutants.words import Mutant


def of(name: str, rule: str, sentence: str, owner: Any, target: str, change: Callable[[Any], Any]) -> Mutant:
    return Mutant(name, "drill", rule, sentence, owner, target, change)


def constant(value: Any) -> Callable[[Any], Any]:
    return lambda real: value
