"""What 2429538 and 2b2dd96 left on disk is read back the same, whatever the program calls its parts by now.

`fixtures/stored/README.md` lists file names, tables, keys and registers that stay for good.
"""

from __future__ import annotations

import json
import shutil
import sqlite3
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ambershift.coordinator.group.disk.files import RealFiles
from ambershift.coordinator.group.disk.folder import Folder
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.replication.gossip import messages as heard
from ambershift.coordinator.replication.gossip.store import GossipStore
from ambershift.coordinator.replication.types import Entry, Write
from tests.compatibility.control_node_process import IP, control_node
from tests.compatibility.encoded_forms import STORED, Form
from tests.compatibility.struct_layout import differences, layout, tags

STORED_FOLDER = Path(__file__).parent / "fixtures" / "stored"
FIXED = json.loads((STORED_FOLDER / "forms.json").read_text())
S = 1_000_000_000
WALL = 1_800_000_000 * S
HOUR = 3600 * S
CONTROL_NODES = ["control_node", "control_node_2b2dd96"]  # By 2429538, and by the later commit.
Rows = dict[tuple[str, str], bytes]
ROUTE = {
    "Name": "r-1",
    "Host": "a.example",
    "PathPrefix": "/r-1/",
    "RouteType": "idempotent",
    "TimeoutMs": 2500,
    "Service": "s1",
    "ServingRegions": [],
    "ConfigVersion": "r8",
}
SERVICE = {"Name": "s1", "HealthPath": "/health", "ColdStartS": 3.0, "Tls": False, "ConfigVersion": "r7"}
LIMITS = {"HeaderBytes": 16384, "ConfigVersion": "r7"}


@pytest.fixture
def folder(tmp_path: Path, request: pytest.FixtureRequest) -> Path:
    """A copy of the folder that the test's parameter names."""
    return Path(shutil.copytree(STORED_FOLDER / request.param, tmp_path / "data"))


# Encoded values, one by one.


def test_each_form_has_a_fixture() -> None:
    assert STORED.keys() == FIXED.keys()


@pytest.mark.parametrize("values", ["whole", "defaults"])
@pytest.mark.parametrize("name", FIXED)
def test_fixed_bytes_are_decoded_and_encoded_to_the_same(name: str, values: str) -> None:
    form: Form = STORED[name]
    for tag, text in FIXED[name][values].items():
        data = bytes.fromhex(text)
        assert form.encode(form.decode(data)) == data, tag


@pytest.mark.parametrize("name", FIXED)
def test_tags_and_fields_are_those_of_the_fixture(name: str) -> None:
    kind, fixed = STORED[name].kind, FIXED[name]
    assert tags(kind) == fixed["whole"].keys() == fixed["defaults"].keys()
    assert differences(fixed["layout"], layout(kind)) == []


# A control node's folder.


def read_rows(folder: Path) -> Rows:
    base = sqlite3.connect(folder / "archive.db")
    try:
        assert base.execute("PRAGMA user_version").fetchone() == (1,)
        assert base.execute("SELECT name FROM sqlite_master").fetchall() == [("entries",)]
        return {(kind, name): value for kind, name, value in base.execute("SELECT * FROM entries")}
    finally:
        base.close()


def table(found: dict[str, Any]) -> list[dict[str, Any]]:
    return [dict(zip(found["Columns"], row, strict=True)) for row in found["Rows"]]


def plain_list(folder: Path) -> list[Any]:
    """What `backends.list` holds, behind a digest of 16 bytes."""
    found: list[Any] = msgspec.msgpack.decode((folder / "backends.list").read_bytes()[16:])
    return found


@pytest.mark.timeout(90)
@pytest.mark.parametrize("folder", CONTROL_NODES, indirect=True)
def test_control_node_serves_what_its_folder_holds(folder: Path, tmp_path: Path) -> None:
    with control_node(tmp_path, folder) as node:
        found = node.sure("configuration.retrieve")
        assert table(found["Routes"]) == [ROUTE] and table(found["Services"]) == [SERVICE]
        assert found["Limits"] == LIMITS
        status, members = node.call("GET", "/ambershift/members")
        assert (status, members["Epoch"], [one["Ip"] for one in members["Voters"]]) == (200, 1, [IP])
        # A lock that is held, one that is free, a number, groups of cells.
        assert node.rpc("locks.initiate", "l1", {"Holder": "b", "HoldMs": 1000})[0] == 409
        assert node.sure("locks.initiate", "l1", {"Holder": "a-l1", "HoldMs": 1000}) == {"fence": 1}
        assert node.sure("locks.initiate", "l2", {"Holder": "b", "HoldMs": 1000}) == {"fence": 2}
        assert node.call("POST", "/ambershift/numbers/n1", {}) == (200, {"Value": 4})
        assert node.sure("cells.retrieve", "g1.a") == {"Value": "v3", "Revision": 3}
        assert node.sure("cells.retrieve", "g1.b") == {"Value": {"x": [1, None]}, "Revision": 2}
        assert node.sure("cells.retrieve", "alone") == {"Value": 5, "Revision": 1}
        assert node.call("GET", "/ambershift/watch/g1.?after=1&WaitMs=0") == (
            200,
            {
                "Events": [
                    {"Name": "g1.b", "Value": {"x": [1, None]}, "Revision": 2},
                    {"Name": "g1.a", "Value": "v3", "Revision": 3},
                ],
                "Revision": 3,
            },
        )
        # The content that was overtaken, and a route that was dropped and forgotten since.
        other = {"Upsert": {"Routes": [{**ROUTE, "TimeoutMs": 1400, "ConfigVersion": "r7"}]}}
        assert node.rpc("configuration.modify", body=other)[0] == 409
        late = {**ROUTE, "Name": "r-2", "PathPrefix": "/r-2/", "TimeoutMs": 1500, "ConfigVersion": "r7"}
        assert node.rpc("configuration.modify", body={"Upsert": {"Routes": [late]}})[0] == 503
        events = node.events()
    assert [one["instances"] for one in events if one["n"] == 304] == [2]  # The list of backends.
    assert not [one for one in events if one["n"] in (6, 203, 206, 207, 305)], events
    assert not (folder / "aside").exists()


@pytest.mark.timeout(90)
@pytest.mark.parametrize("folder", CONTROL_NODES, indirect=True)
def test_control_node_keeps_old_rows_beside_new_ones(folder: Path, tmp_path: Path) -> None:
    before = read_rows(folder)
    added = {**ROUTE, "Name": "r-9", "PathPrefix": "/r-9/", "ConfigVersion": "r14"}
    beat = {
        "Address": "127.246.9.1:904",
        "Information": {"Service": "s1", "ConfigVersion": "v1", "Zone": "riga-b", "CapacitySlots": 4},
        "Condition": {"State": "ready", "Sequence": 1, "ColdRemainingMs": 0},
    }
    with control_node(tmp_path, folder) as node:
        node.sure("configuration.modify", body={"Upsert": {"Routes": [added]}})
        node.sure("cells.replace", "g2.a", {"Value": "new"})
        node.sure("instances.heartbeat", "i-4", beat)
        end = time.monotonic() + 30
        while "i-4" not in str(plain_list(folder)) and time.monotonic() < end:
            time.sleep(0.1)
    assert plain_list(folder)[:2] == [1, IP]
    assert ["i-4", "s1", "127.246.9.1:904", "riga-b", 4, 1, False, 0] in [
        one[:8] for one in plain_list(folder)[3]
    ]
    after = read_rows(folder)
    item = msgspec.msgpack.decode(after["items", "route\x1fr-9"])
    assert item[:3] == ["route", "r-9", [14, "agreed"]] and msgspec.json.decode(item[3]) == added
    group = msgspec.msgpack.decode(after["registers", "g/g2."])
    assert msgspec.msgpack.decode(group[3]) == ["g", 1, 0, {"g2.a": ["new", 1]}, [["g2.a", "new", 1]]]
    assert after.keys() - before.keys() == {("items", "route\x1fr-9"), ("registers", "g/g2.")}
    changed = {key for key, value in before.items() if after.get(key) != value}
    assert changed == {("registers", "configuration")}
    with control_node(tmp_path, folder) as node:
        routes = {one["Name"]: one for one in table(node.sure("configuration.retrieve")["Routes"])}
        assert routes == {"r-1": ROUTE, "r-9": added}
        assert node.sure("cells.retrieve", "g2.a") == {"Value": "new", "Revision": 1}
        assert node.sure("cells.retrieve", "g1.a") == {"Value": "v3", "Revision": 3}


@pytest.mark.timeout(90)
@pytest.mark.parametrize("folder", CONTROL_NODES, indirect=True)
def test_memory_of_forgotten_drops_goes_on_under_its_old_names(folder: Path, tmp_path: Path) -> None:
    """So many drops that one more batch of them is forgotten, which comes after ten seconds."""
    before = read_rows(folder)
    key, name = ("items", "forgotten\x1fconfiguration"), ("registers", "forgotten")
    old = [["route", f"r-{at}", at + 7, at // 4 + 1] for at in (2, 3, 4, 5)]
    drops = [{"Name": f"old-{at}", "ConfigVersion": f"r{at}"} for at in range(20, 1320)]
    with control_node(tmp_path, folder) as node:
        node.sure("configuration.modify", body={"Upsert": {}, "Remove": {"Routes": drops}})
        end = time.monotonic() + 30
        while not any(one["n"] == 211 for one in node.events()) and time.monotonic() < end:
            time.sleep(0.2)
    after = read_rows(folder)
    assert {one for one in after if one[0] != "items"} == {one for one in before if one[0] != "items"}
    _, _, version, body = msgspec.msgpack.decode(after[key])
    batch, floor, listed = msgspec.json.decode(body)
    assert (version, batch, listed[:4]) == ([3, "agreed"], 3, old)
    assert len(listed) == 4 + 256 and {one[3] for one in listed[4:]} == {3}
    assert floor == max(one[2] for one in listed)
    assert msgspec.msgpack.decode(msgspec.msgpack.decode(after[name])[3]) == [batch, floor, listed]


# A group member's folder.

WISH = ["wishes", "ops", "set server s9", [["s9", 2, None, None, False]]]
STATE = [
    1,
    [
        ["s1", 2, 0, [0.5, True], ["ops", WALL + 2, 1]],
        ["s2", 0, 1, None, ["ops", WALL + 2, 1]],
        ["s3", 1, 2, [3.0, False], ["ops", WALL + 2, 1]],
    ],
    [
        4,
        [
            [
                "shop",
                ["gpu"],
                ["z0"],
                [3, 4],
                [2.5, 1, 60 * S, ["2026-12-24"]],
                [["nights", "FREQ=DAILY", "2026-12-01T02:00:00", 2 * HOUR, "Europe/Budapest"]],
            ]
        ],
        [["kernel", ["s4", "s5"], 600 * S, WALL + 48 * HOUR, 1]],
    ],
    [
        [["kernel/s4/1", "kernel", "s4", 1, WALL, WALL + 2 * HOUR, ["shop"], 1.5], 6, True, WALL + 2 * HOUR],
        [["kernel/s5/1", "kernel", "s5", 0, WALL, WALL + HOUR, ["shop"], 1.5], 5, False, WALL + HOUR],
    ],
    [["kernel", "s4", 1, False, WALL], ["kernel", "s5", 1, False, WALL]],
    [["shop", WALL]],
    6,
    1,
    [[4, WALL + 4, b"\xff of a newer program"]],
    1,
]


def plain(value: Any) -> Any:
    """As lists, numbers, texts and bytes: without any name."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))


def entry(number: int, view: int) -> list[Any]:
    return [view, number, WALL + number, f"t{number}", msgspec.msgpack.encode(WISH)]


@pytest.mark.parametrize("folder", ["group_member"], indirect=True)
def test_group_member_recovers_snapshot_and_entries(folder: Path) -> None:
    opened = Folder(RealFiles(str(folder)), "g1", "a").open(WALL + S)
    # Saved, incarnation, fault, why, aside, torn, lost.
    assert tuple(opened)[1:] == (WALL + S, None, "", (), 0, False)
    group, incarnation, view, last_entry_view, committed, snapshot, entries = plain(opened[0])
    assert (group, incarnation, view, last_entry_view, committed) == ("g1-birth", WALL, 3, 2, 8)
    assert entries == [entry(7, 1), entry(8, 1), entry(9, 2), entry(10, 2)]
    number, in_view, state, answers = snapshot
    assert (number, in_view) == (6, 1)
    assert msgspec.msgpack.decode(state) == STATE
    machine = GroupStateMachine()
    assert machine.pack(machine.unpack(state)) == state
    assert [(token, len(digest)) for token, digest, _ in answers] == [(f"t{at}", 16) for at in range(1, 7)]
    assert [msgspec.msgpack.decode(answer) for _, _, answer in answers] == [
        [True, "", "", 0, []],
        [True, "", "", 1, ["s1", "s2", "s3"]],
        [True, "", "", 0, []],
        [False, "unknown", "this program can't read it; a newer one may", 0, []],
        [True, "", "", 0, ["kernel/s4/1", "kernel/s5/1"]],
        [True, "", "", 0, ["kernel/s4/1"]],
    ]


@pytest.mark.parametrize("folder", ["group_member"], indirect=True)
def test_group_member_reads_old_and_new_entries_after_an_append(folder: Path) -> None:
    first = Folder(RealFiles(str(folder)), "g1", "a")
    before = plain(first.open(WALL + S)[0])
    new = Entry(3, 11, WALL + 11, "t11", b"command")
    first.append([Write(1, "g1-birth", WALL + S, 3, 3, 10, (new,), 0, None)])
    first.close()
    assert {one.name for one in folder.iterdir()} == {"lock", "log", "mark"}
    assert (folder / "log").read_bytes()[:12] == b"amberlog\x01\0\0\0"
    assert (folder / "mark").read_bytes()[:8] == b"ambermrk"
    second = Folder(RealFiles(str(folder)), "g1", "a")
    after = plain(second.open(WALL + 2 * S)[0])
    second.close()
    assert after[:5] == ["g1-birth", WALL + S, 3, 3, 10]
    assert after[5] == before[5]
    assert after[6] == [*before[6], plain(new)]


# A coordinator's learned state: it is on no disk, others tell it after a restart.


def test_learned_state_is_read_from_the_bytes_that_another_coordinator_tells() -> None:
    data = (STORED_FOLDER / "learned" / "delta.bin").read_bytes()
    store, now = GossipStore("b", 7), 5000 * S
    answers, news = store.receive(now, heard.decode(data))
    assert answers == []
    found = plain(news)
    assert [one[:5] for one in found] == [
        ["a", WALL, number, kind, key]
        for number, kind, key in [
            (1, 1, "s1"),
            (2, 1, "s2"),
            (3, 1, "s3"),
            (4, 1, "s4"),
            (5, 1, "s5"),
            (6, 2, "s1\x1fz0"),
            (7, 2, "\x1fz0"),
            (8, 2, "\x1fz1"),
        ]
    ]
    bodies = [msgspec.msgpack.decode(one[5]) for one in found]
    assert bodies[:5] == [(1000 - at) * S for at in range(1, 6)]
    assert bodies[5:] == [
        [["s1", 20, 20, 0, 2 * S]],
        [["s2", 40, 0, 50_000_000, 2 * S], ["s3", 40, 1, 50_000_000, 2 * S]],
        [["s4", 40, 0, 50_000_000, 2 * S], ["s5", 40, 2, 50_000_000, 2 * S]],
    ]
    assert [one[6] for one in found] == [*((at + 3) * S for at in range(1, 6)), S, S, S]
    # Told on to a third one, with a record of its own, they are the same bytes.
    store.put(now, 1, "s9", b"x")
    told = plain(store.delta(now, {}))
    assert told[1][1] == plain(heard.decode(data))[1][0]
    assert told[1][0] == ["b", 7, 0, 1, [[1, 1, "s9", b"x", 0]]]
