"""The checker of histories: planted faults are found, and what a real register did never is."""

import itertools
import random

import pytest

from ambershift.coordinator.groupsim.history import Kind, Operation, Outcome, after, check, matters

DONE, REFUSED, UNKNOWN = Outcome.DONE, Outcome.REFUSED, Outcome.UNKNOWN


def op(text: str) -> Operation:
    """Such as "a once x 1..5 done t1": client, kind, value, times, outcome, token; `-` for no value."""
    client, kind, value, times, outcome, *token = text.split()
    called, returned = times.split("..")
    return Operation(
        client,
        "k",
        Kind(kind),
        None if value == "-" else value,
        int(called),
        int(returned) if returned else None,
        Outcome(outcome),
        "".join(token),
    )


@pytest.mark.parametrize(
    ("good", "lines"),
    [
        (True, ["a write x 1..2 done", "b read x 3..4 done"]),
        (True, ["a write x 1..5 done", "b read - 2..3 done", "b read x 3..4 done"]),
        (False, ["a write x 1..2 done", "b read - 3..4 done"]),  # A stale read.
        (False, ["a write x 1..2 done", "a write y 3..4 done", "b read x 5..6 done"]),
        (False, ["a write x 1..9 done", "b read x 2..3 done", "c read - 4..5 done"]),  # New, then old.
        (False, ["a write x 1..2 done", "b read x 3..4 done", "b read - 5..6 done"]),  # Lost.
        (False, ["b read z 1..2 done"]),  # Out of nothing.
        (False, ["a write x 1..2 refused", "b read x 3..4 done"]),
        (True, ["a write x 1.. unknown", "b read - 3..4 done", "b read x 5..6 done"]),  # It comes late,
        (True, ["a write x 1.. unknown", "b read - 3..4 done"]),  # or never,
        (False, ["a write x 3.. unknown", "b read x 1..2 done"]),  # but not before it was called,
        (
            False,
            [
                "a write x 1.. unknown",
                "a write y 3..4 done",
                "b read x 5..6 done",
                "b read y 7..8 done",
                "b read x 9..10 done",
            ],
        ),  # nor twice.
        (
            False,
            [
                "a write x 1..9 done",
                "b write y 1..9 done",
                "c read x 2..3 done",
                "c read y 4..5 done",
                "d read x 6..7 done",
            ],
        ),  # Two orders at once.
        (True, ["a once x 1..2 done t", "b write y 3..4 done", "a once x 5..6 done t", "b read y 7..8 done"]),
        (
            False,
            ["a once x 1..2 done t", "b write y 3..4 done", "a once x 5..6 done t", "b read x 7..8 done"],
        ),
        (
            True,
            ["a once x 1.. unknown t", "b write y 3..4 done", "a once x 5..6 done t", "b read y 7..8 done"],
        ),
        (
            True,
            ["a once x 1.. unknown t", "b write y 3..4 done", "a once x 5..6 done t", "b read x 7..8 done"],
        ),
        (
            False,
            [
                "a once x 1.. unknown t",
                "b read x 2..3 done",
                "b write y 4..5 done",
                "a once x 6..7 done t",
                "b read x 8..9 done",
            ],
        ),
    ],
)
def test_each_kind_of_lie_is_found_and_nothing_else(good: bool, lines: list[str]) -> None:
    found = check([op(one) for one in lines])
    assert (found is None) == good
    assert found is None or (found.stuck and "register k" in found.lines()[0])
    # Another register beside it changes nothing, whatever it is called.
    other = [op("z write q 1..2 done")._replace(key=key) for key in "jl"]
    assert (check([*other, *(op(one) for one in lines)]) is None) == good


def test_done_without_an_answer_is_an_error() -> None:
    for times in ("3..", "3..2"):
        with pytest.raises(ValueError, match="without a time"):
            check([op(f"a write x {times} done")])


def real(rng: random.Random, many: int) -> list[Operation]:
    """What a register does whose moments are drawn: linearizable by making."""
    moments, register = list[tuple[int, Operation]](), (None, frozenset[str]())
    for number in range(many):
        at = rng.randrange(10 * many)
        kind = rng.choice(list(Kind))
        outcome = rng.choice([DONE, DONE, DONE, UNKNOWN, REFUSED])
        token = f"t{rng.randrange(many // 3)}" if kind is Kind.ONCE else ""
        moments.append(
            (
                at,
                Operation(
                    f"c{number}",
                    "k",
                    kind,
                    f"v{token or number}",
                    at - rng.randrange(1, 30),
                    at + rng.randrange(1, 30),
                    outcome,
                    token,
                ),
            )
        )
    history = list[Operation]()
    for _, one in sorted(moments, key=lambda pair: pair[0]):
        if one.kind is Kind.READ:
            one = one._replace(value=register[0])
        elif one.outcome is DONE or (one.outcome is UNKNOWN and rng.random() < 0.5):
            register = after(register, one) or register
        history.append(one)
    return history


def by_hand(history: list[Operation]) -> bool:
    """The definition itself: all orders of all that may have happened."""
    found = matters(history)
    done = [one for one in found if one.outcome is DONE]
    maybe = [one for one in found if one.outcome is not DONE]
    for many in range(len(maybe) + 1):
        for extra in itertools.combinations(maybe, many):
            for order in itertools.permutations([*done, *extra]):
                if any(
                    late.outcome is DONE and late.returned is not None and late.returned < early.called
                    for at, early in enumerate(order)
                    for late in order[at + 1 :]
                ):
                    continue
                register = (None, frozenset[str]())
                for one in order:
                    register = after(register, one)  # type: ignore[assignment]
                    if register is None:
                        break
                else:
                    return True
    return False


def test_what_a_register_did_is_always_explained_and_a_changed_answer_as_the_definition_has_it() -> None:
    found = {True: 0, False: 0}
    for seed in range(400):
        rng = random.Random(seed)
        assert check(real(rng, 40)) is None, seed
        small = real(rng, 6)
        reads = [at for at, one in enumerate(small) if one.kind is Kind.READ]
        if reads:
            at = rng.choice(reads)
            small[at] = small[at]._replace(
                value=rng.choice([one.value for one in small] + [None]), outcome=DONE
            )
            good = check(small) is None
            assert good == by_hand(small), (seed, small)
            found[good] += 1
    assert min(found.values()) > 40, found
