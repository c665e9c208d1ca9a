"""Simulated groups: random schedules of faults, what each broken replica is caught by, and the shrinker."""

import pytest

from ambershift.coordinator.groupsim.chance import Chance
from ambershift.coordinator.groupsim.folder import ContradictionError, Folder
from ambershift.coordinator.groupsim.plan import CALM, Plan, Trouble, plan
from ambershift.coordinator.groupsim.shrink import shrink, told
from ambershift.coordinator.groupsim.world import World, run, run_seed
from ambershift.coordinator.replication.types import Entry, Snapshot, Write
from ambershift.modelcheck.mutants import SIMULATED, Mutant, broken, simulated
from tests.coordinator.cli.test_tools import ambershift


@pytest.mark.parametrize("first", range(1, 151, 30))
def test_random_schedules_within_the_promise_keep_all_of_it(first: int) -> None:
    found = [run_seed(seed) for seed in range(first, first + 30)]
    assert [(one.seed, one.wrong) for one in found if one.wrong] == []
    assert sum(one.done for one in found) > 150
    counts = {name for one in found for name in one.counts}
    assert {"crash", "lose", "cut", "split", "lost", "answer outcome-unknown"} <= counts


def test_beyond_the_promise_it_refuses_and_never_lies() -> None:
    # The last two are groups born anew beside a copy, and beside one that had recovered a part.
    found = [run_seed(seed, True) for seed in (*range(1, 41), 202, 904)]
    assert [(one.seed, one.wrong) for one in found if one.wrong] == []
    assert sum(one.counts.get("answer no-majority", 0) for one in found) > 50


@pytest.mark.parametrize("mutant", SIMULATED, ids=lambda one: one.name)
def test_each_broken_replica_is_shown_within_a_few_seeds(mutant: Mutant) -> None:
    """From its seed on; whatever changes in the replica moves all histories a little."""
    seed = shown(mutant)
    assert run_seed(seed, mutant.beyond).wrong is None


def shown(mutant: Mutant) -> int:
    with broken(mutant):
        for seed in range(mutant.seed, mutant.seed + 200):
            wrong = run_seed(seed, mutant.beyond).wrong
            if wrong is not None and mutant.property in wrong:
                return seed
    raise AssertionError(f"{mutant.name} is not shown from seed {mutant.seed} on")
    told_where = ambershift("check-model", "--mutant", mutant.name)
    assert told_where.returncode == 2 and f"--from {mutant.seed}".encode() in told_where.stderr


def test_a_seed_is_one_history() -> None:
    assert run_seed(5) == run_seed(5) and run_seed(5).history != run_seed(6).history
    assert run(plan(5), traced=True).history == run_seed(5).history


def test_within_the_promise_no_more_voters_forget_than_it_bears() -> None:
    """Looked at from outside, at each event after the birth."""
    for seed in range(1, 21):
        world, most = World(plan(seed)), 0
        look = world.faults.lost
        begin = world.faults.begin

        def begins(fault, world=world, look=look, begin=begin):  # type: ignore[no-untyped-def]
            nonlocal most
            before = len(look())
            begin(fault)
            if before <= (len(world.plan.voters) - 1) // 2:
                most = max(most, len(look()) - (len(world.plan.voters) - 1) // 2)

        world.faults.begin = begins  # type: ignore[method-assign]
        world.run()
        assert most <= 0, seed


def test_a_failing_plan_is_shrunk_to_what_it_needs() -> None:
    mutant = simulated()["time-out-is-refusal"]
    whole = plan(shown(mutant))
    with broken(mutant):
        small = shrink(whole)
        lines = told(small)
    assert run(whole).wrong is None and run(small).wrong is None
    assert len(small.faults) <= len(whole.faults) and small.clients <= whole.clients
    assert "WRONG" in lines[-1] and lines[0].startswith(f"seed {whole.seed}:")

    def fails(one: Plan) -> bool:
        return any(fault.kind is Trouble.LOSE for fault in one.faults)

    least = shrink(next(one for one in map(plan, range(100)) if fails(one) and len(one.faults) > 3), fails)
    assert [fault.kind for fault in least.faults] == [Trouble.LOSE]
    assert (least.weather, least.copies, least.clients, least.tight) == (CALM, (), 1, False)


def entry(number: int) -> Entry:
    return Entry(0, number, 0, f"t{number}", b"")


def test_a_folder_is_what_was_synced_and_no_gap_passes() -> None:
    folder = Folder()
    folder.waiting = [
        Write(1, "g", 1, 0, 0, 0, (entry(1), entry(2), entry(3)), 0, None),
        Write(2, "g", 1, 1, 0, 1, (entry(2),), 2, None),
        Write(3, "g", 1, 1, 0, 2, (entry(3),), 0, Snapshot(2, 0, b"", ())),
    ]
    folder.sync(1)
    assert folder.saved() is not None and [one.number for one in folder.saved().entries] == [1, 2, 3]
    folder.crash(1)
    assert folder.saved() == (saved := folder.saved()) and [one.number for one in saved.entries] == [1, 2]
    folder.synced.append(Write(3, "g", 1, 1, 0, 2, (entry(3),), 0, Snapshot(2, 0, b"", ())))
    saved = folder.saved()
    assert saved is not None and [one.number for one in saved.entries] == [3] and folder.newest() == 3
    folder.synced.append(Write(4, "g", 1, 1, 0, 2, (entry(5),), 0, None))
    with pytest.raises(ContradictionError, match="entry 5 is written behind 3"):
        folder.saved()


def test_chance_is_the_same_from_a_seed_and_even() -> None:
    drawn = [Chance(7).below(10) for _ in range(3)]
    assert len(set(drawn)) == 1
    chance, counts = Chance(1, 2), [0] * 10
    for _ in range(20_000):
        counts[chance.below(10)] += 1
    assert min(counts) > 1800 and max(counts) < 2200
    assert Chance(1, 1).below(1 << 30) != Chance(1, 2).below(1 << 30) != Chance(2, 2).below(1 << 30)
