"""Counter sources beside the members, and `make try`, as processes."""

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from types import SimpleNamespace

import pytest

from ambershift.coordinator.standins import __main__ as trying
from ambershift.coordinator.standins.counting import Counting
from ambershift.coordinator.standins.rig import Rig
from tests.coordinator.group.test_processes import await_wish, run_group, server_name

pytestmark = pytest.mark.timeout(150)


async def scored_pairs(rig: Rig, name: str, nodes: int = 1) -> set[tuple[str, str]]:
    """Return the pairs of jobs that this member has a score for, seen on at least so many nodes."""
    return {
        (row["victim"], row["suspect"])
        for row in await rig.rows(name, "show interference json")
        if row["nodes"] >= nodes
    }


def test_a_lost_counter_source_blocks_nothing_and_a_member_that_lost_its_scores_gets_them_back(
    tmp_path: Path,
) -> None:
    made = list[Counting]()

    def prepare(rig: Rig) -> None:
        made.append(Counting(rig, "100ms", "batch:games:0.1"))
        made[0].prepare()

    async def scenario(rig: Rig) -> None:
        counting = made[0]
        await counting.start()
        try:

            async def pooled() -> bool:
                return all([await scored_pairs(rig, name, 2) for name in rig.names])

            await rig.eventually(pooled, 60, "scores pooled over nodes at every member")
            await counting.lose("n2")
            await rig.kill("n3", wipe=True)
            await rig.tell("n2", f"set weight {server_name(rig, 0)} 3")
            assert await scored_pairs(rig, "n2")  # Scores outlive the source of their counters.
            await rig.start("n3")
            await rig.settled()
            await await_wish(rig, rig.names, server_name(rig, 0), "weight=3")
            await rig.eventually(pooled, 60, "scores at the member that restarted without any")
            await counting.read("n2")
            assert all(process.returncode is None for process in counting.readers.values())
        finally:
            await counting.end()

    run_group(tmp_path, scenario, prepare=prepare)


def test_try_reports_committed_commands_and_the_members_that_hold_them(tmp_path: Path) -> None:
    told = subprocess.run(
        [sys.executable, "-m", "ambershift.coordinator.standins", "--seconds", "5"],
        timeout=140,
        cwd=Path(__file__).parents[3],
        capture_output=True,
        text=True,
        check=False,
    )
    assert told.returncode == 0 and not told.stderr, told.stdout + told.stderr
    lines = [line.partition(" s  ")[2] for line in told.stdout.splitlines()]
    assert lines.count("kept    'maint' of east/s-0 is held by n1, n2, n3") == 3
    assert sum(line.startswith("promised by ") for line in lines) == 3
    assert [line for line in lines if line.startswith("killed n")] and "No rule broke." in told.stdout


@pytest.mark.parametrize("breaks", [True, False])
def test_try_exits_with_whether_a_rule_broke(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, breaks: bool
) -> None:
    @contextlib.asynccontextmanager
    async def rig(*words: object, **given: object) -> AsyncIterator[SimpleNamespace]:
        yield SimpleNamespace(discovery=SimpleNamespace(now={"servers": []}), tail=lambda: "")

    async def run(trial: trying.Trial) -> None:
        trial.rule(True, "held")
        assert not breaks, "no leader"

    monkeypatch.setattr(trying, "Rig", rig)
    monkeypatch.setattr(trying.Trial, "run", run)
    assert asyncio.run(trying.main(1.0, 3, 1, tmp_path)) == int(breaks)
