"""What a control node tells while it has no contact with a majority, or had none until now: state by call.

Everything changes at the others meanwhile. What it answers must then be what holds now, or no clear answer:
never what held before, and never that something was taken which the others don't know.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ambershift.system.simulation.calling import Found, Streets
from ambershift.system.simulation.cluster import Cluster
from ambershift.system.simulation.scripts_cluster import _until_done
from ambershift.system.simulation.world import Box

SERVICE = {"Name": "s", "ConfigVersion": "r1", "ConnectionCap": 1}
ROUTE = {"Name": "r", "Host": "h", "PathPrefix": "/", "RouteType": "idempotent", "Service": "s"}
UNCLEAR = (0, 503, 504)
WAIT_S = 0.95  # One try, and no answer for almost a second.


class Story:
    """Five machines; `one` is brought into a state while all changes through `other`."""

    def __init__(self, seed: int = 3) -> None:
        self.cluster = Cluster(seed, loss=0, count=5)
        self.cluster.run(2.5)
        self.streets = Streets(self.cluster, seed)
        self.one, self.other = "10.0.0.2", "10.0.0.4"

    def rpc(self, ip: str, name: str, of: str = "", body: Any = None, patience: float = WAIT_S) -> Found:
        return self.call(ip, "POST", f"/ambershift/rpc?call={name}&of={of}", body, patience)

    def call(self, ip: str, method: str, target: str, body: Any = None, patience: float = WAIT_S) -> Found:
        self.streets.addresses = lambda: [ip]  # type: ignore[method-assign]
        found: Found = _until_done(
            self.cluster, self.streets, self.streets.call(method, target, body, patience, lost=0)
        )
        return found

    def sure(self, name: str, of: str = "", body: Any = None) -> Found:
        found = self.rpc(self.other, name, of, body, 6.0)
        assert found.status == 200, (name, found)
        return found

    def before(self) -> None:
        self.sure("configuration.modify", body={"Upsert": {"Services": [SERVICE]}})
        self.sure("cells.replace", "g.k", {"Value": "old", "AppliesTo": 0})
        self.fence = self.sure("locks.initiate", "l", {"Holder": "a", "HoldMs": 60_000}).body["fence"]
        assert self.call(self.other, "POST", "/ambershift/numbers/n", {}, 6.0).status == 200

    def meanwhile(self) -> None:
        self.sure("configuration.modify", body={"Remove": {"Services": [{**SERVICE, "ConfigVersion": "r2"}]}})
        self.sure("cells.replace", "g.k", {"Value": "new", "AppliesTo": 1})
        self.sure("locks.terminate", "l", {"Holder": "a", "fence": self.fence})
        self.sure("locks.initiate", "l", {"Holder": "b", "HoldMs": 60_000})
        self.sure("evacuation.initiate", "z1")
        for _ in range(3):
            found = self.call(self.other, "POST", "/ambershift/numbers/n", {}, 6.0)
            assert found.status == 200
        self.number = int(found.body["Value"])


def cut(story: Story, out: bool = True, back: bool = True) -> None:
    for ip in story.cluster.boxes.keys() - {story.one}:
        story.cluster.cut |= {(story.one, ip)} if out else set()
        story.cluster.cut |= {(ip, story.one)} if back else set()


def cut_off(story: Story) -> None:
    cut(story)
    story.meanwhile()


def hears_only(story: Story) -> None:
    cut(story, back=False)
    story.meanwhile()


def speaks_only(story: Story) -> None:
    cut(story, out=False)
    story.meanwhile()


def just_cut_off(story: Story) -> None:
    """It has heard the others a moment ago, so that it takes itself for in touch still."""
    story.meanwhile()
    cut(story)


def in_a_minority(story: Story) -> None:
    pair = {story.one, "10.0.0.5"}
    story.cluster.cut |= {
        (a, b) for a in story.cluster.boxes for b in story.cluster.boxes if (a in pair) != (b in pair)
    }
    story.meanwhile()


def just_back(story: Story) -> None:
    story.cluster.kill(story.one)
    story.cluster.run(2)
    story.meanwhile()
    story.cluster.start(story.one)


def back_with_its_cut(story: Story) -> None:
    cut_off(story)
    story.cluster.run(4)
    story.cluster.cut.clear()


def back_without_its_disk(story: Story) -> None:
    story.cluster.wipe(story.one)
    story.meanwhile()
    story.cluster.start(story.one)


def back_without_its_disk_and_cut_off(story: Story) -> None:
    story.cluster.wipe(story.one)
    story.meanwhile()
    cut(story)
    story.cluster.start(story.one)


def awake(story: Story) -> None:
    story.cluster.freeze(story.one)
    story.meanwhile()
    story.cluster.thaw(story.one)


def asked_while_frozen(story: Story) -> None:
    """The call lies in its socket when it wakes, long after its caller gave up."""
    story.cluster.freeze(story.one)
    story.meanwhile()
    story.cluster.at(story.cluster.now + 700_000_000, lambda: story.cluster.thaw(story.one))


def learner(story: Story) -> None:
    story.cluster.boxes["10.0.1.9"] = Box("10.0.1.9", initial=False)
    story.cluster.start("10.0.1.9")
    story.cluster.run(2)
    story.one = "10.0.1.9"
    cut(story)
    story.meanwhile()


STATES: tuple[Callable[[Story], None], ...] = (
    cut_off, hears_only, speaks_only, just_cut_off, in_a_minority, just_back, back_with_its_cut,
    back_without_its_disk, back_without_its_disk_and_cut_off, awake, asked_while_frozen, learner,
)  # fmt: skip


def route_to_a_dropped_service(story: Story) -> None:
    body = {"Upsert": {"Routes": [{**ROUTE, "ConfigVersion": "r3"}]}}
    assert story.rpc(story.one, "configuration.modify", body=body).status in (400, *UNCLEAR)
    heal(story)
    assert story.sure("configuration.retrieve").body["Routes"]["Rows"] == []


def proper_change(story: Story) -> None:
    """Taken by a majority or not at all; never refused, and 200 is told of what all have then."""
    body = {"Upsert": {"Services": [{**SERVICE, "ConfigVersion": "r5"}]}}
    found = story.rpc(story.one, "configuration.modify", body=body)
    assert found.status in (200, *UNCLEAR)
    if found.status != 200:
        story.sure("configuration.modify", body=body)  # The operator goes on to another one.
    heal(story)
    assert len(story.sure("configuration.retrieve").body["Services"]["Rows"]) == 1


def rival_change(story: Story) -> None:
    """Under the version of the drop."""
    body = {"Upsert": {"Services": [{**SERVICE, "ConfigVersion": "r2"}]}}
    assert story.rpc(story.one, "configuration.modify", body=body).status in (409, *UNCLEAR)
    heal(story)
    assert story.sure("configuration.retrieve").body["Services"]["Rows"] == []


def read_back(story: Story) -> None:
    found = story.rpc(story.one, "configuration.retrieve")
    assert found.status in UNCLEAR or found.body["Services"]["Rows"] == []


def evacuation(story: Story) -> None:
    """Taken back at it: if it says so, no later than by then it is so everywhere."""
    found = story.rpc(story.one, "evacuation.terminate", "z1")
    assert found.status in (200, *UNCLEAR)
    heal(story)
    story.sure("configuration.retrieve")
    replica = story.cluster.boxes[story.other].replica
    assert replica is not None
    held = replica.store.items["zone", "z1"]
    assert held.body == b"false" or found.status != 200


def lock(story: Story) -> None:
    found = story.rpc(story.one, "locks.initiate", "l", {"Holder": "c", "HoldMs": 1000})
    assert found.status in (409, *UNCLEAR)


def renewal_by_the_holder_before(story: Story) -> None:
    body = {"Holder": "a", "fence": story.fence, "HoldMs": 1000}
    assert story.rpc(story.one, "locks.heartbeat", "l", body).status in (409, *UNCLEAR)


def number(story: Story) -> None:
    found = story.call(story.one, "POST", "/ambershift/numbers/n", {})
    assert found.status in UNCLEAR or int(found.body["Value"]) > story.number


def cell(story: Story) -> None:
    found = story.rpc(story.one, "cells.retrieve", "g.k")
    assert found.status in UNCLEAR or found.body["Value"] == "new"


def put_over_the_old(story: Story) -> None:
    found = story.rpc(story.one, "cells.replace", "g.k", {"Value": "rival", "AppliesTo": 1})
    assert found.status in (412, *UNCLEAR)
    heal(story)
    assert story.sure("cells.retrieve", "g.k").body["Value"] == "new"


def watch(story: Story) -> None:
    found = story.call(story.one, "GET", "/ambershift/watch/g.?after=1&WaitMs=300")
    assert found.status in UNCLEAR or [one["Value"] for one in found.body["Events"]] == ["new"]


def present_revision(story: Story) -> None:
    found = story.call(story.one, "GET", "/ambershift/watch/g.?after=0&WaitMs=0")
    assert found.status in UNCLEAR or found.body["Revision"] >= 2


CALLS: tuple[Callable[[Story], None], ...] = (
    route_to_a_dropped_service, proper_change, rival_change, read_back, evacuation, lock,
    renewal_by_the_holder_before, number, cell, put_over_the_old, watch, present_revision,
)  # fmt: skip


def heal(story: Story) -> None:
    story.cluster.cut.clear()
    story.cluster.run(4)


@pytest.mark.parametrize("call", CALLS, ids=lambda call: call.__name__)
@pytest.mark.parametrize("state", STATES, ids=lambda state: state.__name__)
def test_node_without_contact_answers_nothing_stale_and_commits_nothing_alone(
    state: Callable[[Story], None], call: Callable[[Story], None]
) -> None:
    story = Story()
    story.before()
    state(story)
    call(story)
    assert story.cluster.failed == []
