"""The control API answers calls as 2429538 did: status, header names and bodies, byte by byte."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest

from tests.compatibility.control_node_process import control_node

FIXTURES = Path(__file__).parent / "fixtures"


PROCESS_RESUMED = 613  # The event that a node logs once it has been stopped for 0.8 s or more.
MAX_REPLAYS = 3


def replay(work: Path, calls: list[dict[str, Any]]) -> tuple[list[dict[str, Any]], bool]:
    """The answers of a node on a fresh copy of the folder, and whether the node was stopped meanwhile."""
    folder = Path(shutil.copytree(FIXTURES / "stored" / "control_node", work / "data"))
    with control_node(work, folder) as node:
        node.sure("configuration.retrieve")
        answers = [node.exchange(one["method"], one["path"], one["body"]) for one in calls]
        return answers, any(event["n"] == PROCESS_RESUMED for event in node.events())


@pytest.mark.timeout(120)
def test_calls_are_answered_as_in_the_fixture(tmp_path: Path) -> None:
    """A machine that stops the node for 0.8 s makes it answer 503 by design: such a replay shows nothing."""
    calls = json.loads((FIXTURES / "http" / "control_api.json").read_text())
    for number in range(MAX_REPLAYS):
        work = tmp_path / str(number)
        work.mkdir()
        answers, was_stopped = replay(work, calls)
        if not was_stopped:
            break
    for one, answer in zip(calls, answers, strict=True):
        assert answer == one["answer"], (one["method"], one["path"], one["body"])
