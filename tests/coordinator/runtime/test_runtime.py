"""The runtime API over loopback: the program as `run` starts it, with clients good and bad."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from ambershift.coordinator.runtime.client import Client, ClientError, Reply
from ambershift.coordinator.runtime.session import LINE_MOST
from tests.support.coordinator_process import (
    SETTINGS,
    RunningCoordinator,
    configure,
    listing,
    run_scenario,
    server,
    until,
)

Act = Callable[[RunningCoordinator, str], Awaitable[None]]


def runtime(
    place: Path, act: Act, count: int = 6, settings: Any = None, extra: str = "", tcp: int = 0
) -> None:
    """Play with the API on a Unix socket of level admin, and on TCP of level user where a port is given."""
    path = str(place / "r.sock")
    tcp_block = f'tcp "127.0.0.1:{tcp}" {{ level = "user" }}' if tcp else ""
    (place / "run.hcl").write_text(
        f'runtime {{\n socket "{path}" {{ mode = "0600" }}\n {tcp_block}\n {extra}\n}}\n'
    )
    usual = listing(5, *(server(number) for number in range(count)))

    async def whole(stage: RunningCoordinator) -> None:
        stage.relay.answering = True
        await until(lambda: stage.logged("ready"))
        for proxy, zone in ((3, "east"), (4, "west")):
            stage.relay.news(f"hello {proxy} {zone} 21.5 1")
        await until(lambda: stage.attached_tables().keys() == {3, 4})
        await act(stage, path)

    run_scenario(
        place, whole, usual, usual, words=("run", "--settings", str(place / "run.hcl")), settings=settings
    )


async def say(path: str, *commands: str) -> list[Reply]:
    async with Client(path) as client:
        return [await client.run(command) for command in commands]


async def good(path: str, *commands: str) -> list[str]:
    replies = await say(path, *commands)
    assert not [reply for reply in replies if reply.failed], replies
    return [reply.text for reply in replies]


async def raw(path: str, data: bytes, limit: float = 3.0) -> bytes:
    """What a client that speaks to the socket by hand hears until the end; what it can't send is lost."""
    reader, writer = await asyncio.open_unix_connection(path)
    with contextlib.suppress(ConnectionError):
        writer.write(data)
        await writer.drain()
        writer.write_eof()
    heard = b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(limit):
            while more := await reader.read(65536):
                heard += more
    writer.close()
    return heard


def ejects(stage: RunningCoordinator, which: str = "") -> list[str]:
    return [
        order
        for order in stage.relay.carried
        if order.split(",")[0] in ("eject", "uneject") and order.endswith(which)
    ]


def test_one_shot_and_interactive_as_by_hand(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        assert await raw(path, b"show version; show cli level\nshow info\n") == b"0.2.0\n\nadmin\n\n"
        heard = await raw(path, b"prompt\nshow version\n\nquit\n")
        assert heard == b"\n> 0.2.0\n\n> > "
        heard = await raw(path, b"prompt timed\nprompt timed\n")
        assert heard.startswith(b"\n[0:00:0") and heard.endswith(b"] > \n> ")
        heard = await raw(path, b"prompt i\nuser;disable server east/s-0\nshow cli level\n")
        assert heard == b"\n\nPermission denied\n\nuser\n\n"
        assert b"did you" not in await raw(path, b"shwo info\n")
        assert b"show info" in await raw(path, b"show inof\n")
        assert await raw(path, b"set severity-output string;nonsense\n") == (
            b"\n[err]:Unknown command: 'nonsense'. Please enter 'help' to see the commands.\n\n"
        )
        heard = await raw(path, b"apply << END\n")  # A pattern is one word with <<, so this is no payload.
        assert b"takes the commands as its payload" in heard

    runtime(tmp_path, act)


def test_show_commands_agree_with_what_the_relay_was_told(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        await good(
            path,
            "set server east/s-0 state drain",
            "set weight west/s-1 50%",
            "wait 3s srv-applied east/s-0",
            "wait 3s srv-applied west/s-1",
        )
        tables, pending, stat, state, info, weight, backend = await good(
            path,
            "show tables json",
            "show pending json",
            "show stat json",
            "show servers state",
            "show info json",
            "get weight west/s-1",
            "show backend",
        )
        told = dict[tuple[int, str], float]()
        for words in (order.split(",") for order in stage.relay.carried):
            if words[0] == "put":
                told[int(words[1]), words[2]] = float(words[3])
        shown = {(row["table"], row["server"].split("/")[1]): row["weight"] for row in json.loads(tables)}
        assert shown == {key: weight for key, weight in told.items() if weight}
        assert (
            json.loads(pending) == []
            and weight == "0.5 (initial 1)"
            and backend.split() == ["#", "name", "east", "west"]
        )
        rows = [{one["field"]["name"]: one["value"]["value"] for one in row} for row in json.loads(stat)]
        assert {row["svname"]: row["status"] for row in rows} == {
            "s-0": "DRAIN",
            **{f"s-{at}": "UP" for at in range(1, 6)},
            "BACKEND": "UP",
        }
        fields = {line.split()[3]: line.split() for line in state.splitlines()[2:]}
        assert (fields["s-0"][5:9], fields["s-1"][5:9]) == (["3", "8", "1", "1"], ["2", "0", "0.5", "1"])
        found = {one["field"]["name"]: one["value"]["value"] for one in json.loads(info)}
        assert found["Servers_draining"] == 1 and found["Wishes_standing"] == 2
        assert found["Proxies_joined"] == 2
        assert found["Replies_settled"] == found["Replies_ordered"]
        events = (await good(path, "show events admin"))[0].splitlines()
        assert [line.split()[2] for line in events] == ["command", "command"] and "set weight" in events[1]

    runtime(tmp_path, act)


def test_a_command_again_by_others_at_once_or_after_a_lost_answer_acts_once(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        async def lost(token: str) -> None:
            """Sends, and is gone before the answer."""
            _, writer = await asyncio.open_unix_connection(path)
            writer.write(f"once {token} disable server east/s-0\n".encode())
            await writer.drain()
            writer.transport.abort()

        await asyncio.gather(*(good(path, "disable server east/s-0") for _ in range(8)), lost("a"), lost("a"))
        await good(path, "wait 3s srv-applied east/s-0", "disable server east/s-0")
        assert ejects(stage) == ["eject,s-0"]
        # After a contrary word of another, the repeat of an old command by its token must not act either.
        await good(path, "enable server east/s-0", "wait 3s srv-applied east/s-0")
        assert await raw(path, b"once a disable server east/s-0\n") == b"\n"
        assert b"used for another command" in await raw(path, b"once a disable server east/s-2\n")
        await good(path, "wait 3s srv-applied east/s-0")
        assert ejects(stage) == ["eject,s-0", "uneject,s-0"]
        assert (await good(path, "show info"))[0].count("Commands_accepted: 2") == 1

    runtime(tmp_path, act)


@pytest.mark.parametrize("moved", [False, True])
def test_commands_of_a_cut_wait_in_order_and_go_out_as_one_folded_reply(tmp_path: Path, moved: bool) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        relay = stage.relay
        relay.moods.extend(["mute"] * 1000)
        before = len(relay.heard)
        await good(path, "disable server east/s-0")  # The call under way when the cut begins.
        # Or the one of a beat of the module just before: then this one waits behind it with the others.
        await until(lambda: len(relay.heard) > before)
        first = relay.heard[-1]
        await good(path, "disable server west/s-1", "set weight west/s-3 0", "disable server east/s-2")
        await until_stage(path, "ordered", "east/s-0", "west/s-1", "west/s-3", "east/s-2")
        await good(path, "enable server east/s-2", "set weight west/s-3 50%")
        await until_stage(path, "ordered", "east/s-0", "west/s-1", "west/s-3", "east/s-2")
        assert not ejects(stage) and (await say(path, "wait 10 srv-applied east/s-0"))[0].failed
        servers = []
        if moved:
            servers = [await asyncio.start_server(relay.serve, "127.0.0.1", 0)]
            changed = json.loads((tmp_path / "config.json").read_text())
            changed["relay"]["address"] = f"127.0.0.1:{servers[0].sockets[0].getsockname()[1]}"
            (tmp_path / "config.json").write_text(json.dumps(changed))
            stage.process.send_signal(signal.SIGHUP)
            await until(lambda: stage.logged("reloaded"))
        at = len(relay.heard)
        relay.moods.clear()
        await good(
            path, *(f"wait 5s srv-applied {one}" for one in ("east/s-0", "west/s-1", "west/s-3", "east/s-2"))
        )
        calls = relay.heard[at:]
        while calls[0] == first:  # Its outcome was not known: it goes out again, before any later one.
            calls.pop(0)
        folded, orders = calls[0], [order.rsplit(",", 1)[0] for call in calls for order in call]
        assert "eject,s-1" in folded and folded.count("uneject,s-2") == 1 and "eject,s-2" not in folded
        assert ejects(stage) == ["eject,s-0", "eject,s-1", "uneject,s-2"]
        assert max(map(orders.count, [one for one in orders if one.startswith("put")])) == 1
        assert (await good(path, "get weight west/s-3", "show pending json")) == ["0.5 (initial 1)", "[]"]
        for one in servers:
            one.close()

    runtime(tmp_path, act)


async def until_stage(path: str, stage: str, *servers: str) -> None:
    loop, rows = asyncio.get_running_loop(), []
    async with Client(path) as client:
        until = loop.time() + 10
        while loop.time() < until:
            rows = json.loads((await client.run("show pending json")).text)
            if {row["server"] for row in rows if row["stage"] == stage} >= set(servers):
                return
            await asyncio.sleep(0.02)
    raise AssertionError(rows)


def test_a_flood_ends_at_the_last_words_within_the_channel_and_holds_nothing_up(tmp_path: Path) -> None:
    info = SETTINGS["family_info"] | {"most_waiting": 400.0, "messages_most": 60, "reload_span": 10000}

    async def act(stage: RunningCoordinator, path: str) -> None:
        stage.relay.channel.__init__(info)
        for proxy in (0, 1, 2, 5, 6, 7):
            stage.relay.news(f"hello {proxy} {['east', 'west'][proxy % 2]} 21.5 1")
        _, collector = await stage.join("east")
        await until(lambda: len(stage.attached_tables()) == 8)
        stage.relay.channel.lines = 0
        chance, wanted = random.Random(5), dict[str, bool]()
        names = [f"{['east', 'west'][at % 2]}/s-{at}" for at in range(32)]
        fresh = [(chance.choice(names), chance.random() < 0.5) for _ in range(666)]
        # Every other one is sent twice by the same client; a server belongs to one client, so that there is
        # a last.
        rows: list[list[str]] = [[] for _ in range(50)]
        for at, (name, out) in enumerate(fresh):
            text = f"{'disable' if out else 'enable'} server {name}"
            rows[names.index(name)] += [text] * (1 + (at % 2 or at > 664))
            wanted[name] = out
        for at in range(32, 50):  # The rest read, or repeat what another client has said last.
            rows[at] = ["show stat", "show servers state", "show info"] * 3
        assert sum("server " in text for row in rows for text in row) >= 999
        loop = asyncio.get_running_loop()
        started, refused = loop.time(), []

        async def client(row: list[str]) -> None:
            async with Client(path) as one:
                for text in row:
                    if (reply := await one.run(text)).failed:
                        refused.append(reply)

        async def probes() -> list[float]:
            took = []
            while len(took) < 20:
                at = loop.time()
                collector.write(b"demand proxy=3 class=play tries=9 failed=0 span_ms=1000.0\r\n")
                assert await stage.probe() == b"alive\r\n"
                took.append(loop.time() - at)
            return took

        *_, took = await asyncio.gather(*map(client, rows), probes())
        lasted = loop.time() - started
        assert not refused and lasted < 20 and max(took) < 1.0
        for name in names:
            await good(path, f"wait 20s srv-applied {name}")
        out = {name.split("/")[1] for name, away in wanted.items() if away}
        last = {order.split(",")[1]: order.startswith("eject") for order in ejects(stage)}
        assert {one for one, away in last.items() if away} == out
        # Told one by one they are over 300 lines; gathered, a few where the flood outlasts the gathering.
        assert len(ejects(stage)) <= len(out) + 32 * (1 + lasted / 2)
        assert stage.relay.channel.most <= info["most_waiting"]
        assert stage.relay.channel.messages_most(10.0) <= info["messages_most"]
        assert not stage.logged("slow_step") and not stage.logged("failure")
        stage.process.send_signal(signal.SIGTERM)
        assert (await until(lambda: stage.logged("totals")))[-1]["counts"]["reports"] == 20

    runtime(tmp_path, act, 40, SETTINGS | {"family_info": info})


def test_the_lists_word_and_the_operators(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        stage.discovery.change(server(0, "draining"))
        await until(lambda: "eject,s-0" in stage.relay.carried)
        await good(
            path, "enable server east/s-0", "set server west/s-1 state drain", "wait 3s srv-applied west/s-1"
        )
        stage.discovery.change(server(1))  # Told as ready again, and kept out all the same.
        await until(lambda: stage.logged("listed")[-1]["changes"] == {"s-1": "READY"})
        replies = await say(
            path,
            "disable server east/s-99",
            "disable server north/s-1",
            "disable server s-1",
            "disable server west/s-0",
            "get weight east/nobody",
        )
        assert [reply.failed for reply in replies] == [True] * 5
        assert "No such server 's-99'" in replies[0].text and "the zones are: east, west" in replies[1].text
        assert "Require 'backend/server'" in replies[2].text and "in backend 'west'" in replies[3].text
        stage.discovery.change(server(1, "removed"))
        await until(lambda: stage.logged("listed")[-1]["changes"] == {"s-1": "GONE"})
        import time

        back = server(1) | {"started_ms": round(time.time() * 1000), "weight": 4.0}
        stage.discovery.change(back)
        await until(lambda: stage.logged("listed")[-1]["changes"] == {"s-1": "READY"})
        assert ejects(stage) == ["eject,s-0", "eject,s-1"]
        await good(path, "set weight west/s-1 256", "enable server west/s-1", "wait 5s srv-applied west/s-1")
        assert ejects(stage) == ["eject,s-0", "eject,s-1", "uneject,s-1"]
        # Cold as it is, it gets a part of the listed 4 first, whatever the operator's 256; and 256 once warm.
        await until(lambda: any(order.endswith("s-1,256") for order in stage.relay.carried))
        lines = [
            float(order.split(",")[3])
            for order in stage.relay.carried
            if order.startswith("put") and order.split(",")[2] == "s-1" and not order.endswith(",s-1,1")
        ]
        assert [line for line in lines if line != 256.0 and line > 4.0] == []

    runtime(tmp_path, act)


def test_a_server_leaves_only_once_its_heir_is_let_in(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        await good(path, "disable server east/s-0", "wait 3s srv-applied east/s-0")
        async with Client(path) as client:
            assert not (await client.run("apply", "disable server east/s-2\nenable server east/s-0")).failed
            assert not (await client.run("wait 5s srv-applied east/*")).failed
        assert ejects(stage) == ["eject,s-0", "uneject,s-0", "eject,s-2"]

    runtime(tmp_path, act, 4)


def test_the_last_warm_one_is_refused_by_name_and_after_a_loss_the_drained_is_lent(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        await good(path, "disable server east/s-0", "wait 3s srv-applied east/s-0")
        replies = await say(
            path,
            "disable server east/s-2",
            "set weight east/s-2 0",
            "set server east/s-2 health down",
            "disable server west/*",
            "set server east/* state drain",
        )
        assert ["zone-without-warm-server" in reply.text for reply in replies] == [True] * 5
        assert all(reply.failed and "zone " in reply.text for reply in replies)
        assert (
            "traffic-group-without-warm-server"
            in (await raw(path, b"apply <<\ndisable server east/*\ndisable server west/*\n\n")).decode()
        )
        errors = (await good(path, "show errors"))[0].splitlines()
        assert len(errors) == 6 and all("refused" in line for line in errors)
        before = len(stage.relay.heard)
        stage.discovery.change(*(server(at, "draining") for at in (1, 2, 3)))
        await until(lambda: "uneject,s-0" in stage.relay.carried)
        calls = stage.relay.heard[before:]
        away = next(at for at, call in enumerate(calls) if "eject,s-2" in call)
        assert next(at for at, call in enumerate(calls) if "uneject,s-0" in call) - away <= 1
        assert "lent" in (await good(path, "show servers conn", "show errors"))[1]
        assert "UP (lent)" in (await good(path, "show stat"))[0]
        stage.discovery.change(server(2))
        await until(lambda: ejects(stage, "s-0")[-1] == "eject,s-0")

    runtime(tmp_path, act, 4)


@pytest.mark.parametrize(
    ("data", "due"),
    [
        (b"x" * (2 << 20), b"a line may have"),
        (b"show info" * 3, b""),
        (b"\0\0\0\n", b"control character"),
        (b"\xff\xfe\n", b"not UTF-8"),
        (b"show info;" * 10_000 + b"\n", b"a line may have"),
        (b"a;" * 4000 + b"\n", b"more than 1024 commands"),
        (b"prompt i\n" + b"\\\n", b"ends in a backslash"),
        (b"prompt i\n" + b"help\n" * 3000, b"The following commands"),
        (b"apply <<\n" + b"yyyyyyyyy\n" * 30_000, b"payload is over"),
        (b"apply <<\ndisable server east/s-0\nshow info\n\n", b"line 2 of the payload"),
        (b"<<\n", b"payload with no command"),
        (b"show info <<\n\n", b"takes no payload"),
        (b"set weight east/s-0 300\n", b"between 0 and 256"),
        (b"set weight east/s-0 101%\n", b"between 0 and 100%"),
        (b"set weight east/s-0 -1\n", b"between 0 and 256"),
        (b"set weight east/s-0 1e9\n", b"Trailing garbage"),
        (b"set server east/s-0 addr 10.0.0.1\n", b"discovery tells"),
        (b"add server east/x\n", b"discovery's to tell"),
        (b"set rate-limit sessions global 5\n", b"decision module's to set"),
        (b"wait 99999999d\n", b"longer than a day"),
        ("show stat \u00b2 -1 -1\n".encode(), b"no whole number"),
        (b"show stat 1 -1 -1\n", b"No such backend"),
        (b"show stat " + b"9" * 5000 + b" -1 -1\n", b"no whole number"),
        (b"show errors x\n", b"no whole number"),
        (b"wait x\n", b"is no delay"),
        (b"show stat 1\n", b"takes <zone>"),
        (b"\n;;;  ;\n", b""),
    ],
)
def test_bad_clients_get_an_answer_or_a_close_and_change_nothing(
    tmp_path: Path, data: bytes, due: bytes
) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        heard = await raw(path, data, 8.0)
        assert due in heard and len(heard) < 40 << 20
        assert (await good(path, "show info"))[0].count("Commands_accepted: 0") == 1
        assert await stage.probe() == b"alive\r\n"

    runtime(tmp_path, act)


def test_hundreds_of_clients_keep_no_operator_out_and_memory_and_descriptors_bounded(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        def used() -> tuple[int, int]:
            status = Path(f"/proc/{stage.process.pid}/status").read_text()
            memory = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
            return memory, len(os.listdir(f"/proc/{stage.process.pid}/fd"))

        async with Client(path) as operator:
            assert not (await operator.run("show info")).failed
            before, connection = used(), operator.writer
            crowd = []
            for at in range(300):
                one = socket.socket(socket.AF_UNIX)
                one.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    one.connect(path)
                with contextlib.suppress(OSError):
                    one.send(
                        (b"half a li", b"prompt i\nshow stat;" * 50 + b"\n", b"apply <<\nenable", b"")[at % 4]
                    )
                crowd.append(one)
                await asyncio.sleep(0.002)
            assert not (await operator.run("disable server east/s-0")).failed
            assert not (await operator.run("wait 3s srv-applied east/s-0")).failed
            assert await stage.probe() == b"alive\r\n"
            assert operator.writer is connection  # Not a new one, which the client would make by itself.
            after = used()
            assert after[1] - before[1] <= 16 + 8 and after[0] - before[0] < 16 * 1024
            for one in crowd:
                one.close()
        await until(lambda: used()[1] <= before[1] + 1)

    runtime(tmp_path, act, extra="max_connections = 16")


def test_one_who_never_reads_is_cut_off_and_costs_little(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        one = socket.socket(socket.AF_UNIX)
        one.connect(path)
        one.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            one.send(b"prompt i\n")
            while True:
                one.send(b"show stat;show stat;show stat;show stat;show stat\n" * 20)
        assert (await good(path, "show version")) == ["0.2.0"]
        await until(lambda: stage.logged("runtime_ended"), 12.0)
        assert stage.logged("runtime_ended")[0]["how"] == "unread"
        one.close()

    runtime(tmp_path, act, 40)


def test_levels_and_two_sockets(tmp_path: Path) -> None:
    from tests.support.policy_model import free_port

    port = free_port()

    async def act(stage: RunningCoordinator, path: str) -> None:
        place = f"127.0.0.1:{port}"
        replies = await say(
            place,
            "show cli level",
            "disable server east/s-0",
            "show errors",
            "operator",
            "set weight east/s-0 5",
            "wait 1",
            "show stat",
        )
        assert replies[0].text == "user" and [one.failed for one in replies] == [
            False,
            True,
            True,
            True,
            True,
            True,
            False,
        ]
        assert {one.text for one in replies[1:6]} == {"Permission denied"}
        assert "unix@" in (await good(path, "show cli sockets"))[0]
        assert os.stat(path).st_mode & 0o777 == 0o600
        assert not ejects(stage)

    runtime(tmp_path, act, tcp=port)


def test_sigterm_in_the_middle_answers_or_refuses_and_leaves_no_file(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        waiting = asyncio.create_task(say(path, "wait 60s srv-drained west/s-1"))
        half, writer = await asyncio.open_unix_connection(path)
        writer.write(b"prompt i\nshow version\napply <<\ndisable server west/s-1\n")
        assert await half.readuntil(b"0.2.0\n\n")
        await good(path, "disable server east/s-0")  # Gathered, not told yet, when the signal comes.
        stage.process.send_signal(signal.SIGTERM)
        assert "Interrupted" in (await asyncio.wait_for(waiting, 2))[0].text
        assert b"nothing of this was done" in await asyncio.wait_for(half.read(), 2)
        assert await asyncio.wait_for(stage.process.wait(), 0.7) == 0
        assert ejects(stage) == ["eject,s-0"] and not os.path.exists(path)
        writer.close()

    runtime(tmp_path, act)


def test_events_are_followed_as_they_come(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        async with Client(path) as client:
            lines = client.follow("show events admin -nw")
            first = asyncio.ensure_future(anext(lines))
            async with asyncio.timeout(10):  # Again and again, as nobody tells when it has begun to follow.
                while not first.done():
                    await good(path, "disable server east/s-0", "enable server east/s-0")
            assert "able server east/s-0" in first.result()
            await lines.aclose()
        async with asyncio.timeout(5):  # And who has heard enough holds no place.
            while "CurrConns: 1" not in (await good(path, "show info"))[0]:
                await asyncio.sleep(0.02)

    runtime(tmp_path, act)


@pytest.mark.parametrize(
    ("kind", "words"),
    [
        ("stale", ""),
        ("file", "no socket"),
        ("long", "107"),
        ("folder", "can't listen"),
        ("live", "running program"),
        ("port", "can't listen"),
    ],
)
def test_places_that_are_taken_or_can_not_be_had(tmp_path: Path, kind: str, words: str) -> None:
    path, block = str(tmp_path / "r.sock"), ""
    if kind == "file":
        Path(path).write_text("mine")
    elif kind in ("stale", "live"):
        one = socket.socket(socket.AF_UNIX)
        one.bind(path)
        if kind == "live":
            one.listen()
        else:
            one.close()
    elif kind == "long":
        path = "/tmp/" + "x" * 120
    elif kind == "folder":
        path = str(tmp_path / "nowhere" / "r.sock")
    else:
        taken = socket.create_server(("127.0.0.1", 0))
        block = f'tcp "127.0.0.1:{taken.getsockname()[1]}" {{}}'
    (tmp_path / "run.hcl").write_text(f'runtime {{\n socket "{path}" {{}}\n {block}\n}}\n')

    async def act() -> None:
        from tests.support.coordinator_process import start_process
        from tests.support.policy_model import free_port

        process = await start_process(
            tmp_path,
            configure(free_port(), 1, 1, listing(1)),
            words=("run", "--settings", str(tmp_path / "run.hcl")),
        )
        assert process.stdout is not None
        if not words:
            await asyncio.wait_for(process.stdout.readuntil(b"runtime_open"), 10)
            assert (await good(path, "show version")) == ["0.2.0"]
            process.terminate()
            await process.wait()
            return
        out, _ = await asyncio.wait_for(process.communicate(), 10)
        assert process.returncode == 2 and words in out.decode() and "runtime" in out.decode()
        if kind == "file":
            assert Path(path).read_text() == "mine"
        assert kind != "port" or not os.path.exists(path)

    asyncio.run(act())


def test_a_client_without_a_coordinator_says_so(tmp_path: Path) -> None:
    with pytest.raises(ClientError, match="can't connect"):
        asyncio.run(say(str(tmp_path / "none.sock"), "show info"))


def test_lines_of_the_longest_length_are_taken(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator, path: str) -> None:
        text = b"show version;" + b" " * (LINE_MOST - 13)
        assert await raw(path, text + b"\n") == b"0.2.0\n\n"
        assert b"a line may have" in await raw(path, text + b" \n")

    runtime(tmp_path, act)
