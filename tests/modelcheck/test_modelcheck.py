"""The checker on the machines that run: what holds, what each broken variant is caught by, and the
checker itself.
"""

import contextlib
import json
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ambershift.coordinator.protocol import discovery, http, lines, relay
from ambershift.coordinator.protocol.fields import UnreadableError
from ambershift.coordinator.routing.call_queue import CallQueue
from ambershift.modelcheck import liveness, trace
from ambershift.modelcheck.explore import NO_DEADLOCK, NO_RAISE, Options, explore, explore_once, replay, walk
from ambershift.modelcheck.model import Base, Liveness, Step, prop, write
from ambershift.modelcheck.models.row import RowModel, set_in
from ambershift.modelcheck.mutants import MUTANTS, Mutant, broken
from ambershift.modelcheck.registry import models, usual
from ambershift.modelcheck.visited import Plain, Runs, collision_chance
from tests.coordinator.cli.test_tools import ambershift

# How deep CI goes; `ambershift check-model` goes to the end.
IN_CI = {
    "row": 10,
    "news": 9,
    "collector": None,
    "admin": 6,
    "attempt-small": None,
    "attempt": 9,
    "policy": 3,
    "replication": 2,
    "replication-tokens": None,
    "replication-folders": 2,
    "permits": 5,
}
# A state of these takes a millisecond or more: what they are explored for twice elsewhere, here is once.
SLOW = ("replication", "permits")


@pytest.mark.parametrize("name", usual())
def test_the_machines_that_run_keep_every_property(name: str) -> None:
    result = explore(models()[name], Options(depth=IN_CI[name]))
    assert result.fault is None, trace.text(models()[name], result.fault)
    assert result.exhaustive == (IN_CI[name] is None) and result.states > 200


@pytest.mark.parametrize("mutant", [one for one in MUTANTS if one.property], ids=lambda one: one.name)
def test_each_broken_variant_is_caught_by_the_shortest_way_and_not_without_its_property(
    mutant: Mutant,
) -> None:
    model = models()[mutant.model]
    with broken(mutant):
        result = explore(model, Options())
        assert result.fault is not None and result.fault.property == mutant.property
        length = len(result.fault.places)
        # The way leads there, and no state before its last breaks anything.
        states = [state for _, state in replay(model, result.fault.places)]
        bad = [at for at, state in enumerate(states) if any(one.check(state) for one in model.properties)]
        assert bad == [length]
        if mutant.model.startswith(SLOW):
            return
        other = explore(model, Options(depth=length, without=frozenset(one.name for one in model.properties)))
        assert other.fault is None


@pytest.mark.parametrize("mutant", [one for one in MUTANTS if not one.property], ids=lambda one: one.name)
def test_a_variant_that_changes_nothing_that_matters_is_not_reported(mutant: Mutant) -> None:
    depth = {"row": 9, "admin": 5, "news": 9, "collector": 9}[mutant.model]
    with broken(mutant):
        assert explore(models()[mutant.model], Options(depth=depth)).fault is None


@pytest.mark.parametrize(
    ("name", "change"),
    [
        ("row", None),
        ("collector", None),
        ("attempt-small", None),
        ("news", None),
        ("row", "settled-at-the-refusal"),
        ("collector", "first-goes"),
        ("attempt-small", "slips-run-again"),
        ("news", "each-is-told"),
    ],
)
def test_symmetry_workers_and_sets_change_neither_verdict_nor_length(name: str, change: str | None) -> None:
    model, depth = models()[name], {"row": 7, "collector": 8, "attempt-small": 8, "news": 8}[name]
    found = {one.name: one for one in MUTANTS}
    with broken(found[change]) if change else contextlib.nullcontext():
        results = [
            explore(model, Options(depth=None if change else depth, **options))
            for options in (
                {},
                {"symmetry": False},
                {"reduction": False},
                {"workers": 2},
                {"bits": 64},
                {"plain": True},
            )
        ]
    first = results[0]
    for one in results:
        assert (one.fault is None) == (first.fault is None)
        if first.fault and one.fault:
            assert (one.fault.property, len(one.fault.places)) == (
                first.fault.property,
                len(first.fault.places),
            )
    assert [one.states for one in results[3:]] == [first.states] * 3
    assert min(results[1].states, results[2].states) >= first.states
    if first.fault:  # Workers give the very same way, too.
        assert results[3].fault == first.fault == results[5].fault


def test_commands_are_applied_and_flows_end_under_weak_fairness() -> None:
    class Small(RowModel):
        pushes, losses, refusals = 2, 1, 1

    for model in (Small(), models()["attempt-small"]):
        for one in model.liveness:
            verdict = liveness.check(model, one)
            assert verdict.whole and verdict.fault is None and verdict.states > 500


# The checker itself


class Counter(NamedTuple):
    value: int
    other: int


class Toy(Base):
    """Two counters; the first may go round, the second is local: nobody sees it."""

    name, sentence, kind = "toy", "", Counter

    def __init__(self, local: bool = True, fair: str = "on", stuck: bool = False) -> None:
        self.local, self.fair, self.stuck = local, fair, stuck

    @prop
    def small(state: Counter) -> str | None:  # type: ignore[misc]  # noqa: N805 - a property, not a method
        """The first counter stays below four."""
        return "it is four" if state.value == 4 else None

    properties = (small,)
    liveness = (Liveness("ends", "It leaves nought.", lambda state: state.value == 0),)

    def initial(self) -> Counter:
        return Counter(0, 0)

    def steps(self, state: Counter) -> Iterator[Step[Counter]]:
        if state.value < 4 and not self.stuck:
            yield Step("up", state._replace(value=state.value + 1), self.fair)
        if state.other < 3:
            yield Step("aside", state._replace(other=state.other + 1), local=self.local)
        if not self.local:
            yield Step("stay", state)

    def done(self, state: Counter) -> bool:
        return not self.stuck


def test_the_shortest_way_is_found_and_shown_and_can_be_gone_again() -> None:
    model = Toy(local=False)
    result = explore(model, Options())
    assert result.fault is not None and len(result.fault.places) == 4
    shown = "\n".join(trace.text(model, result.fault))
    assert "The first counter stays below four." in shown and shown.count(". up") == 4
    assert [state.value for _, state in replay(model, result.fault.places)] == [0, 1, 2, 3, 4]
    with pytest.raises(ValueError, match="step 1"):
        list(replay(model, (99,)))
    compile(trace.as_test(model, result.fault), "x", "exec")


def test_a_local_step_goes_first_and_hides_nothing() -> None:
    assert (
        len((explore(Toy(), Options()).fault or pytest.fail("no fault was found")).places) == 4
    )  # None of them goes aside.
    reduced, whole = (explore_once(Toy(), Options(reduction=one), None) for one in (True, False))
    assert reduced.fault is not None and whole.fault is not None and reduced.edges < whole.edges
    assert reduced.fault.property == whole.fault.property == "small"


def test_local_steps_of_the_models_are_what_they_claim_to_be() -> None:
    """They commute with all others, take none away, are seen by no property, and there are none that
    cycle.
    """
    for model in (Toy(), *models().values()):
        state, rng = model.initial(), random.Random(1)
        for _ in range(60):
            steps = list(model.steps(state))
            for one in (step for step in steps if step.local):
                for other in (step for step in steps if step is not one):
                    after = {step.name: step.state for step in model.steps(other.state)}
                    assert one.name in after
                    assert after[one.name] in [step.state for step in model.steps(one.state)]
                assert all(each.check(one.state) == each.check(state) for each in model.properties)
            if not steps:
                break
            state = rng.choice(steps).state


def test_what_may_go_on_for_ever_is_found_unless_fairness_ends_it() -> None:
    assert liveness.check(Toy(False), Toy.liveness[0]).fault is None
    unfair = liveness.check(Toy(False, ""), Toy.liveness[0])
    assert unfair.fault is not None and unfair.cycle and "for ever" in unfair.fault.why
    dead = liveness.check(Toy(True, "", True), Toy.liveness[0])
    assert dead.fault is not None and "nothing can happen" in dead.fault.why
    assert not liveness.check(
        models()["row"], models()["row"].liveness[0], liveness.build(models()["row"], 50)
    ).whole


def test_deadlocks_and_errors_of_the_machines_are_found() -> None:
    stuck = explore(Toy(True, "", True), Options())
    assert stuck.fault is not None and stuck.fault.property == NO_DEADLOCK

    class Raises(Toy):
        def steps(self, state: Counter) -> Iterator[Step[Counter]]:
            if state.value == 2:
                raise RuntimeError("a machine at its end")
            yield from super().steps(state)

    raised = explore(Raises(local=False), Options())
    assert raised.fault is not None and raised.fault.property == NO_RAISE and "its end" in raised.fault.why


@pytest.mark.parametrize(
    ("options", "word"),
    [
        (Options(depth=5), "depth 5"),
        (Options(states=300), "300 states"),
        (Options(memory_mb=1.0), "memory 1 MB"),
    ],
)
def test_bounds_end_with_a_report_and_never_claim_all(options: Options, word: str, monkeypatch: Any) -> None:
    monkeypatch.setattr("ambershift.modelcheck.explore.BATCH", 64)
    result = explore(models()["row"], options)
    assert result.bounded == word and not result.exhaustive and result.fault is None


def test_walks_find_a_fault_in_worlds_too_large_and_say_that_they_are_walks() -> None:
    mutant = next(one for one in MUTANTS if one.name == "busy-is-done")
    with broken(mutant):
        result = walk(models()["row"], 1, 300, 25, Options())
    assert result.fault is not None and result.fault.property != NO_RAISE and "random walks" in result.bounded
    assert walk(models()["policy"], 2, 3, 8, Options()).fault is None


@pytest.mark.parametrize("bits", [64, 128])
@pytest.mark.parametrize("seed", range(5))
def test_runs_hold_what_a_plain_set_holds(bits: int, seed: int) -> None:
    rng, runs, plain = random.Random(seed), Runs(bits), Plain()
    for _ in range(60):
        # Few high words, so that many differ in the low ones alone.
        batch = [
            rng.randrange(8) << 64 | rng.randrange(200) if bits == 128 else rng.randrange(1 << 12)
            for _ in range(rng.randrange(200))
        ]
        assert runs.add(batch) == plain.add(batch)
    assert len(runs) == len(plain) and runs.nbytes() < plain.nbytes() / 3
    assert (
        collision_chance(10**6, 128) < 1e-25 < collision_chance(10**6, 64) < 1e-6
        and collision_chance(2, 1) == 0.5
    )


def test_check_model_on_the_command_line(tmp_path: Path) -> None:
    done = ambershift("check-model", "--model", "attempt-small", "--json", "--workers", "2")
    told = json.loads(done.stdout)
    assert (
        done.returncode == 0
        and told["holds"]
        and told["exhaustive"]
        and told["liveness"] == {"every-flow-ends": "holds"}
    )
    done = ambershift("check-model", "--mutant", "slips-run-again", "--json")
    fault = json.loads(done.stdout)["faults"][0]
    assert (
        done.returncode == 1
        and fault["property"] == "no-slip-takes-effect-twice"
        and len(fault["trace"]) == 6
    )
    way = ",".join(map(str, fault["way"]))
    # Without the mutant that way is not possible: the real machine does not take the step.
    again = ambershift("check-model", "--model", "attempt-small", "--replay", way)
    assert again.returncode == 2 and b"no number" in again.stderr
    again = ambershift(
        "check-model", "--model", "attempt-small", "--mutant", "slips-run-again", "--replay", way
    )
    assert again.returncode == 1 and b"no-slip-takes-effect-twice does not hold" in again.stdout
    listed = ambershift("check-model", "--list").stdout.decode()
    assert "harmless-quiet" in listed and "No call overtakes" in listed
    for words in (["--model", "none"], ["--mutant", "none"], ["--without", "none"], ["--depth", "0"]):
        assert ambershift("check-model", *words).returncode == 2


# The same machines at larger sizes, and the codecs


class RowAtSize(RuleBasedStateMachine):
    """The row with dozens of things to set, whatever order pushes and outcomes come in."""

    def __init__(self) -> None:
        super().__init__()
        self.row, self.wanted, self.held = CallQueue(), dict[str, str](), ()

    @rule(
        orders=st.lists(
            st.tuples(st.sampled_from(["eject", "uneject"]), st.integers(0, 30)), min_size=1, max_size=8
        )
    )
    def push(self, orders: list[tuple[str, int]]) -> None:
        texts = [f"{kind},s{server}" for kind, server in orders]
        self.row.push(texts)
        for kind, server in orders:
            self.wanted[f"shut s{server}"] = "out" if kind == "eject" else "in"

    @rule(fate=st.sampled_from(["done", "done", "busy", "lost", "carried and lost"]))
    def call(self, fate: str) -> None:
        if not self.row.calls:
            return
        call = self.row.head()
        if fate in ("done", "carried and lost"):
            for order in call.orders:
                self.held = set_in(self.held, order)
        if fate == "done":
            outcome = self.row.on_answer(relay.Done(len(call.orders)))
            assert outcome is not None and outcome.lost_order is None
        elif fate == "busy":
            assert self.row.on_answer(relay.Busy()) is None
        assert fate == "done" or self.row.head() == call

    @invariant()
    def the_last_word_is_held_once_nothing_waits(self) -> None:
        if not self.row.calls:
            assert dict(self.held) == self.wanted
        assert sum(len(call.orders) for call in list(self.row.calls)[1:]) <= len(self.wanted) + 8


RowAtSize.TestCase.settings = settings(
    derandomize=True, database=None, max_examples=60, stateful_step_count=40, deadline=None
)
TestRowAtSize = RowAtSize.TestCase


def read_http(data: bytes) -> None:
    exchange = http.Exchange("a:1")
    exchange.encode_request("/")
    exchange.receive(data)


@pytest.mark.parametrize(
    "read",
    [lines.parse, relay.parse_event, lambda data: relay.parse_answer(data, 3), discovery.parse, read_http],
)
@pytest.mark.parametrize(
    "base",
    [
        b"outcomes zone=a server=s tries=2 failed=1 mean_ms=4 span_ms=9",
        b"* hello 17 a 21.5 1",
        b"OK 2",
        b'{"version":4,"full":true,"servers":[{"id":"s","state":"up","weight":1}]}',
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    ],
)
def test_no_input_raises_anything_but_the_codecs_own_error(read: Any, base: bytes) -> None:
    rng = random.Random(len(base))
    for _ in range(600):
        data = bytearray(base)
        for _ in range(rng.randint(0, 4)):
            at = rng.randrange(len(data) + 1)
            match rng.randrange(3):
                case 0:
                    data[at:at] = bytes(rng.randrange(256) for _ in range(rng.randint(1, 6)))
                case 1:
                    del data[at : at + rng.randint(1, 4)]
                case 2:
                    data[at : at + 1] = bytes([rng.randrange(256)])
        with contextlib.suppress(UnreadableError):
            read(bytes(data))


@pytest.mark.parametrize("name", [name for name in models() if name != "policy"])
def test_what_a_state_holds_survives_being_written_down(name: str) -> None:
    model, rng = models()[name], random.Random(3)
    state = model.initial()
    for _ in range(40):
        assert msgspec.msgpack.decode(write(state), type=model.kind) == state
        steps = list(model.steps(state))
        if not steps:
            break
        state = rng.choice(steps).state
