"""What simulated clusters send, write and answer is as recorded; what digests take in and leave out."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec
import pytest

from ambershift.system.simulation.observing import observe, observed
from benchmarks.behaviour_digest import Digest, played, read

DIGESTS = Path(__file__).parent / "fixtures" / "behaviour-digests.txt"
SEEDS = {  # Among those with the fewest messages.
    "control": (2, 8, 22, 102, 122, 127),
    "fleet": (4, 8, 29, 57, 58, 73),
    "forgetting": (7, 12, 17, 28, 52, 77),
}


@pytest.mark.parametrize(("kind", "seed"), [(kind, seed) for kind, seeds in SEEDS.items() for seed in seeds])
def test_a_seed_is_played_as_recorded(kind: str, seed: int) -> None:
    assert played((kind, seed)) == read(DIGESTS)[kind, seed]


@dataclass(frozen=True)
class Refused:
    version: int


@dataclass(frozen=True)
class Denied:
    number: int


class Row(msgspec.Struct):
    name: str
    body: bytes


def line(*values: object) -> str:
    digest = Digest()
    with observed(digest):
        for at, one in enumerate(values):
            observe("answer", at, one)
    return digest.line("control", 1)


def test_names_of_classes_and_fields_are_left_out() -> None:
    assert line(Refused(3), Refused(4)) == line(Denied(3), Denied(4))


@pytest.mark.parametrize(
    "values",
    [
        (Refused(3), Refused(5)),
        (Refused(3), Denied(4)),
        (Refused(4), Refused(3)),
        (Refused(3),),
        (Refused(3), None),
        (3, 4),
        (Row("3", b""), Row("4", b"")),
    ],
)
def test_values_their_order_and_which_are_of_one_class_are_taken_in(values: tuple[object, ...]) -> None:
    assert line(Refused(3), Refused(4)) != line(*values)


def test_sets_are_taken_in_whatever_their_order() -> None:
    assert line({"b", "a"}, frozenset({1, 2})) == line(frozenset({"a", "b"}), {2, 1})


def test_the_time_and_the_kind_of_an_event_are_taken_in() -> None:
    found = set[str]()
    for kind, time_ns in (("send", 1), ("send", 2), ("write", 1)):
        digest = Digest()
        digest(kind, time_ns, ("a", b"b"))
        found.add(digest.line("fleet", 1).split()[2])
    assert len(found) == 3


def test_a_value_that_cannot_be_taken_in_without_names_is_refused() -> None:
    with pytest.raises(TypeError, match="no form without names"):
        line(object())


def test_nothing_is_shown_after_the_observer_has_left() -> None:
    digest = Digest()
    with observed(digest):
        observe("send", 1)
    observe("send", 2)
    assert digest.counts == {"send": 1}
