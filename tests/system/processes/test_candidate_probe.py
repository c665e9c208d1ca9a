"""Which control node a proxy's probe chooses, by how long its dials take and how current its answers are."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

import pytest

from ambershift.system.messages import codec
from ambershift.system.messages.proxy_link import ControlNodeHeartbeat
from ambershift.system.node_selection.selector import ControlNodeSelector
from ambershift.system.processes import candidate_probe, candidate_search
from ambershift.system.processes.candidate_search import CandidateSearch
from ambershift.system.state_machine import NS_PER_SECOND

NOW = 1000 * NS_PER_SECOND


class Dialled:
    """What is taken for a connection: it comes up once `up` is set, and then brings `sign`."""

    def __init__(self, sign: ControlNodeHeartbeat) -> None:
        self.up, self.transport, self.sign = asyncio.Event(), Mock(), sign

    async def recv(self) -> bytes:
        return codec.encode(self.sign)


def search_by_dials(dials: dict[str, OSError | Dialled]) -> tuple[CandidateSearch, ControlNodeSelector]:
    """One whose dials come to what is given."""

    async def dial(ip: str) -> Any:
        found = dials[ip]
        if isinstance(found, OSError):
            raise found
        await found.up.wait()
        return found

    selector, links = ControlNodeSelector("p", "z", "r", ()), Mock()
    links.dial = dial
    return CandidateSearch(selector, links, lambda: NOW, Mock()), selector


async def test_proxy_dials_the_next_node_beside_a_silent_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(candidate_probe, "HEDGE_DELAY_S", 0.0)
    silent, there = (Dialled(ControlNodeHeartbeat((), True, 1, 0)) for _ in range(2))
    there.up.set()
    made, selector = search_by_dials({"a": OSError(), "b": silent, "c": there})
    found = await asyncio.wait_for(made.find_current(["a", "b", "c"]), 10)
    assert found is not None and found.ip == "c" and not there.transport.abort.called
    assert list(selector.penalized_until) == ["a"]
    assert await search_by_dials({"a": OSError()})[0].find_current(["a"]) is None


def test_without_a_link_a_current_node_is_preferred_for_a_moment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(candidate_probe, "HEDGE_DELAY_S", 0.0)
    old, late = (
        Dialled(ControlNodeHeartbeat((), False, 1, 60_000)),
        Dialled(ControlNodeHeartbeat((), True, 1, 0)),
    )
    old.up.set()

    async def run(up: bool) -> str:
        made, _ = search_by_dials({"a": old, "b": late})
        if up:
            asyncio.get_running_loop().call_soon(late.up.set)
        else:
            monkeypatch.setattr(candidate_search, "CURRENT_REPLY_WAIT_S", 0.0)
        found = await asyncio.wait_for(made.find_current(["a", "b"]), 10)
        assert found is not None
        return found.ip

    assert asyncio.run(run(False)) == "a" and not old.transport.abort.called
    monkeypatch.undo()
    monkeypatch.setattr(candidate_probe, "HEDGE_DELAY_S", 0.0)
    assert asyncio.run(run(True)) == "b" and old.transport.abort.called


@pytest.mark.parametrize(("age_ms", "taken"), [(0, True), (60_000, False)])
def test_nearer_node_is_chosen_only_if_current(age_ms: int, taken: bool) -> None:
    there = Dialled(ControlNodeHeartbeat((), True, 1, age_ms))
    there.up.set()
    made, selector = search_by_dials({"a": there})
    found = asyncio.run(made.probe_nearer("a"))
    assert (found is not None) == taken and there.transport.abort.called == (not taken)
    assert ("a" in selector.penalized_until) == (not taken)


async def test_node_that_answers_too_late_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(candidate_probe, "HEDGE_DELAY_S", 0.0)
    one, other = (Dialled(ControlNodeHeartbeat((), True, 1, 0)) for _ in range(2))
    asked = candidate_probe.CandidateProbe(search_by_dials({"a": one, "b": other})[0].probe, ["a", "b"], 2)
    one.up.set()
    chosen = await asked.next_reply()
    other.up.set()
    await asyncio.sleep(0)  # It has come up, but is not told any more.
    asked.selected = chosen
    asked.close()
    for _ in range(5):
        await asyncio.sleep(0)
    assert other.transport.abort.called and not one.transport.abort.called
