"""Drills of whole nodes, a few seeds of many; what the judge finds; and mistakes that it must find."""

from __future__ import annotations

from collections.abc import Callable, Collection

import pytest

from ambershift.modelcheck.mutants.words import broken
from ambershift.system.consensus import sync_responder
from ambershift.system.simulation.histories import Played, play, play_cluster
from ambershift.system.simulation.judging import Judge, Told
from ambershift.system.simulation.operator_history import Change, OperatorHistory, Order, Sight
from ambershift.system.simulation.shrinking import fewest
from ambershift.system.simulation.variants import BY_NAME
from ambershift.system.testbed.histories import Got, Put

KEY = ("route", "r")


@pytest.mark.parametrize("seed", [1, 2, 4, 5, 7, 8, 11, 15])
def test_what_callers_were_told_in_a_drill_keeps_the_rules(seed: int) -> None:
    found = play_cluster(seed)
    assert found.broken == [] and found.told > 30


def test_a_seed_that_once_stood_still_for_ever() -> None:
    """A voter that had lost its disk was chosen with the lost one, and then another machine was replaced."""
    assert play_cluster(77).broken == []


def test_a_seed_is_one_history() -> None:
    assert play_cluster(2) == play_cluster(2)


@pytest.mark.parametrize(
    "variant",
    [
        "one-copy-too-few",
        "fence-reused",
        "hold-counted-from-the-first",
        "read-not-written",
        "watch-tells-nothing-from-memory",
        "tombstone-dropped-early",
        "silence-is-refusal",
    ],
)
def test_a_mistake_is_found(variant: str) -> None:
    with broken(BY_NAME[variant]):
        assert any(play(seed).broken for seed in range(1, 41))


@pytest.mark.parametrize("seed", [2, 4, 11, 18])
def test_a_reading_is_of_one_moment_though_copies_come_in_many_parts(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each item is a part of its own: no route is seen without the service that came with it, or before."""
    monkeypatch.setattr(sync_responder, "PART_BYTES_MAX", 1)
    assert play_cluster(seed).broken == []


def test_a_failure_is_shrunk_to_the_troubles_that_matter() -> None:
    def player(seed: int, seconds: float, skip: Collection[str]) -> Played:
        left = {f"t{at}": "" for at in range(20) if f"t{at}" not in skip}
        return Played(["wrong"] if {"t3", "t11"} <= left.keys() else [], left)

    skip, found = fewest(1, player=player)
    assert found.troubles.keys() == {"t3", "t11"} and found.broken and len(skip) == 18


def told(change: Callable[[Judge], None]) -> list[str]:
    judge = Judge()
    judge.sent_values = {"x": "g.1", "y": "g.1", "z": "g.2", "w": "g.2"}
    judge.puts = [
        Put("g.1", "x", 0, 0, 1, 1, False),
        Put("g.1", "y", 1, 2, 3, 3, False),
        Put("g.2", "z", 0, 2, 3, 2, False),
        Put("g.2", "w", 0, 4, 5, None, True),
    ]
    judge.told["g."] = [
        Told(4, 1, 3, (("g.2", "z", 2), ("g.1", "y", 3))),
        Told(4, 3, 3, ()),
        Told(4, 1, 2, (("g.2", "z", 2),)),
    ]  # Not all at once, but nothing left out.
    change(judge)
    return judge.judge()


@pytest.mark.parametrize(
    ("change", "words"),
    [
        (lambda one: None, ""),
        (lambda one: one.told["g."].append(Told(4, 1, 3, (("g.1", "y", 3),))), "passes over [2]"),
        (
            lambda one: one.told["g."].append(Told(4, 1, 3, (("g.1", "y", 3), ("g.2", "z", 2)))),
            "it tells [3, 2]",
        ),
        (lambda one: one.told["g."].append(Told(4, 2, 2, ())), "up to 2 after 3"),
        (lambda one: one.told["g."].append(Told(4, 3, 4, (("g.2", "w", 4),))), "whose put was refused"),
        (lambda one: one.told["g."].append(Told(4, 3, 4, (("g.2", "v", 4),))), "which nobody put there"),
        (lambda one: one.gets.append(Got("g.1", "y", 4, 4)), "has revisions 3 and 4"),
        (lambda one: one.gets.append(Got("g.1", "x", 1, 4)), "read at 1 after 3"),
    ],
)
def test_each_lie_to_an_application_is_found(change: Callable[[Judge], None], words: str) -> None:
    found = told(change)
    assert any(words in one for one in found) if words else found == []


def seen(version: int, body: str | None, out: bool, sent: float = 9) -> Sight:
    items = {} if body is None else {KEY: (version, {"v": body})}
    return Sight(sent, sent + 1, items, {"z": out})


@pytest.mark.parametrize(
    ("sight", "words"),
    [
        (seen(4, "b", True), ""),
        (seen(7, "c", False), ""),  # What had no clear answer may hold, or not.
        (seen(4, "b", True, 2.5), ""),
        (seen(1, "a", True), "version 1 after 4"),
        (seen(4, "a", True), "never sent so"),
        (seen(9, "d", True), "was refused"),
        (seen(0, None, True), "is missing"),
        (seen(1, "a", False, 1), "False is none of its orders"),
    ],
)
def test_each_lie_to_an_operator_is_found(sight: Sight, words: str) -> None:
    history = OperatorHistory(
        {
            KEY: [
                Change(1, {"v": "a"}, 0, 1),
                Change(4, {"v": "b"}, 2, 3),
                Change(7, {"v": "c"}, 4),
                Change(9, {"v": "d"}, 4, None, True),
            ]
        },
        {"z": [Order(True, 0, 0.5), Order(False, 4), Order(True, 5, None, True)]},
        [sight],
    )
    found = history.judge()
    assert any(words in one for one in found) if words else found == []
