"""Starts the program as it is deployed and speaks to it over loopback, with stand-ins for the others."""

import asyncio
import contextlib
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from ambershift.coordinator.program.signals import Signals
from tests.support.coordinator_process import (
    SETTINGS,
    RunningCoordinator,
    configure,
    launch_process,
    listing,
    run_scenario,
    running_coordinator,
    server,
    start_process,
    until,
)
from tests.support.policy_model import free_port


def test_starts_from_a_stale_list_and_follows_the_true_one(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        assert await stage.probe() == b"alive\r\n"
        await until(lambda: stage.logged("listed"))
        stage.relay.news("hello 3 east 21.5 1")
        table = (await until(stage.attached_tables))[3]
        await until(lambda: stage.servers_in_table(table) == {"s-1", "s-2", "s-3", "s-4", "s-5", "s-6"})
        assert "wait_ms=400" in stage.discovery.asked[0] and "after=3&" in stage.discovery.asked[0]

    run_scenario(
        tmp_path,
        act,
        listing(3, *(server(number) for number in range(6))),
        listing(9, *(server(number) for number in range(1, 7))),
    )


def test_a_drain_is_ordered_and_its_answer_told(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        stage.relay.news("hello 3 east 21.5 1")
        await until(stage.attached_tables)
        fence = next(order for order in stage.relay.carried if order.startswith("fence"))
        stage.relay.news(f"ack 3 {fence.split(',')[1]} 120.5")
        stage.discovery.change(server(2, "draining"))
        await until(lambda: "eject,s-2" in stage.relay.carried)
        stage.discovery.change(server(2))
        await until(lambda: "uneject,s-2" in stage.relay.carried)

    run_scenario(tmp_path, act)


@pytest.mark.parametrize(
    "mood", ["break before", "break after", "mute", "garbage", "endless", "busy", "in pieces"]
)
def test_a_call_with_no_known_outcome_goes_out_again_before_any_later_one(tmp_path: Path, mood: str) -> None:
    async def act(stage: RunningCoordinator) -> None:
        stage.relay.moods.extend([mood, mood])
        stage.relay.news("hello 3 east 21.5 1")
        stage.relay.news("hello 4 west 11.5 1")
        first = 1 if mood == "in pieces" else 3
        await until(lambda: stage.attached_tables().keys() == {3, 4} and len(stage.relay.heard) >= first)
        assert stage.relay.heard[0] == stage.relay.heard[first - 1]
        assert all(one != stage.relay.heard[0] for one in stage.relay.heard[first:])

    run_scenario(tmp_path, act)


def test_an_order_that_is_not_taken_is_left_out_and_the_rest_sent(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        stage.relay.moods.append("no attach")
        stage.relay.news("hello 3 east 21.5 1")
        told = (await until(lambda: stage.logged("order_not_taken")))[0]
        await until(lambda: any(order.startswith("fence") for order in stage.relay.carried))
        assert told["order"].startswith("attach,3,") and not stage.attached_tables()
        assert stage.relay.heard[1] == stage.relay.heard[0][stage.relay.heard[0].index(told["order"]) + 1 :]

    run_scenario(tmp_path, act)


def test_of_a_call_that_is_not_understood_each_order_goes_out_alone(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        stage.relay.moods.extend(["unread", "unread"])
        stage.relay.news("hello 3 east 21.5 1")
        await until(stage.attached_tables)
        # A later reply may join the row and fold with what still waits there; tests of the row by itself say
        # in which order all goes out. Here: the first goes out alone, is lost, and takes no other with it.
        whole = stage.relay.heard[0]
        assert stage.relay.heard[1] == whole[:1]
        assert [line["order"] for line in stage.logged("order_not_read")] == whole[:1]
        await until(lambda: any(order.startswith("fence") for order in stage.relay.carried))
        assert stage.servers_in_table(stage.attached_tables()[3]) | {whole[0].split(",")[2]} == {
            f"s-{at}" for at in range(6)
        }

    run_scenario(tmp_path, act)


@pytest.mark.parametrize("silent", [False, True])
def test_news_that_break_or_fall_silent_are_compared_on_return(tmp_path: Path, silent: bool) -> None:
    async def act(stage: RunningCoordinator) -> None:
        relay = stage.relay
        for proxy in (1, 2, 3):
            relay.news(f"hello {proxy} east 21.5 1")
        await until(lambda: len(stage.attached_tables()) == 3 and relay.followed == 2)
        del relay.standing[2]
        relay.standing[4] = "* hello 4 west 9 0\r\n"
        if silent:
            relay.quiet = True
            relay.followers.clear()
            await until(lambda: relay.followed >= 4)
            relay.quiet = False
        else:
            relay.drop()
        await until(lambda: 4 in stage.attached_tables() and stage.logged("left"))
        assert [line["proxy"] for line in stage.logged("joined")] == [1, 2, 3, 4]
        assert [line["proxy"] for line in stage.logged("left")] == [2]

    run_scenario(tmp_path, act)


def test_one_of_two_news_connections_breaks_and_nothing_is_missed(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        relay = stage.relay
        relay.news("hello 1 east 21.5 1")
        await until(lambda: relay.followed == 2)
        await asyncio.sleep(0.5)
        for proxy in (2, 3, 4, 5):
            relay.followers.pop(proxy % 2).close()
            relay.news("bye 1")
            relay.news(f"hello {proxy} east 21.5 1")
            relay.news("hello 1 east 21.5 0")
            await until(lambda: len(relay.followers) == 2)
            await asyncio.sleep(0.5)
        assert [line["proxy"] for line in stage.logged("joined")] == [1, 2, 1, 3, 1, 4, 1, 5, 1]
        assert [line["proxy"] for line in stage.logged("left")] == [1, 1, 1, 1]

    run_scenario(tmp_path, act)


@pytest.mark.parametrize("mood", ["503", "reset", "mute", "garbage", "old", "large"])
def test_discovery_that_fails_is_asked_again_and_misses_nothing(tmp_path: Path, mood: str) -> None:
    async def act(stage: RunningCoordinator) -> None:
        await until(lambda: stage.logged("listed"))
        stage.discovery.mood = mood
        await until(lambda: stage.logged("list_failed"))
        stage.discovery.mood = ""
        stage.discovery.change(server(7))
        await until(lambda: stage.discovery.asked[-1].startswith("/v1/endpoints?after=6&"))
        stage.relay.news("hello 3 east 21.5 1")
        await until(
            lambda: any("s-7" in stage.servers_in_table(table) for table in stage.attached_tables().values())
        )
        assert len(stage.discovery.asked) < 40

    run_scenario(tmp_path, act)


def test_discovery_that_answers_at_once_is_not_stormed(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        await until(lambda: stage.logged("listed"))
        stage.discovery.mood, before = "eager", len(stage.discovery.asked)
        await asyncio.sleep(1.0)
        assert 3 < len(stage.discovery.asked) - before < 25
        stage.discovery.mood = ""
        stage.discovery.change(server(7))
        await until(lambda: stage.logged("listed")[-1]["changes"] == {"s-7": "READY"})

    run_scenario(tmp_path, act)


REPORT = b"outcomes zone=east server=s-1 tries=2 failed=0 mean_ms=41.7 span_ms=1000.0 load=util:0.5\r\n"


@pytest.mark.parametrize(
    ("pieces", "wait", "due"),
    [
        ([], 0.0, b""),
        ([b"agent zone=ea"], 0.0, b""),
        ([b"d"] * 60, 0.05, b""),
        ([b"probe\r\n"], 0.0, b"alive"),
        ([b"probe\r\n"] * 60, 0.05, b""),
        ([b"x" * (1 << 20)] * 4, 0.0, b""),
        ([b"\xff\xfe\r\n"], 0.0, b"error"),
        ([b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"], 0.0, b"error"),
        ([b"put,4,s-1,1.5\r\n"], 0.0, b"error"),
        ([b"hello 3 east 1.5 1\r\n"], 0.0, b"error"),
        ([b"agent zone=nowhere\r\n"], 0.0, b"error"),
        ([REPORT], 0.0, b"error"),
        ([b"\r\n" * 50], 0.0, b"error"),
    ],
)
def test_strangers_get_a_close_or_error_in_time_and_keep_no_collector_out(
    tmp_path: Path, pieces: list[bytes], wait: float, due: bytes
) -> None:
    async def strange(stage: RunningCoordinator) -> bytes:
        heard = b""
        reader, writer = await asyncio.open_connection(*stage.address)
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(wait)
            while more := await reader.read(1000):
                heard += more
        writer.close()
        return heard

    async def act(stage: RunningCoordinator) -> None:
        _, collector = await stage.join("east")
        many = asyncio.gather(*(asyncio.wait_for(strange(stage), 2.5) for _ in range(300)))
        await asyncio.sleep(0.1)
        _, other = await stage.join("west")
        assert await stage.probe() == b"alive\r\n"
        answers = await many
        assert sum(due in answer for answer in answers) >= (1 if due else 300)
        for writer in (collector, other):
            writer.write(REPORT[:30])
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(REPORT[30:])
        before = len(stage.logged("collector"))
        await asyncio.sleep(0.2)
        assert (collector.is_closing(), other.is_closing(), before) == (False, False, 2)
        assert len(os.listdir(f"/proc/{stage.process.pid}/fd")) < 40
        stage.process.send_signal(signal.SIGTERM)
        counts = (await until(lambda: stage.logged("totals")))[-1]["counts"]
        assert counts["reports"] == 2

    run_scenario(tmp_path, act, sockets=256)


SPOILT = ("", "s-zz", "nan", "-3", "1e+30", "38654705664", "[1]", "\xff")


def test_a_spoilt_message_costs_itself_alone_and_rubbish_the_connection(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        reader, writer = await stage.join("east")
        words, rows = REPORT.decode().split(), 0
        for spoilt in SPOILT:
            for at in range(1, len(words) - 1):
                bad = [*words[:at], words[at].split("=")[0] + "=" + spoilt, *words[at + 1 :]]
                writer.write(" ".join(bad).encode("latin-1") + b"\r\n" + REPORT)
                writer.write(" ".join(words[:at] + words[at + 1 :]).encode() + b"\r\n" + REPORT)
                rows += 2
        writer.write(b"demand proxy=8 class=play tries=1 failed=0 span_ms=1000.0\r\n" + REPORT)
        writer.write(b"agent zone=nowhere\r\n" + REPORT)
        assert await stage.probe() == b"alive\r\n"
        assert not reader.at_eof()
        for rubbish in (bytes(range(256)) * 8, b"\x80\r\n" * 20, b"\x80" * 100, REPORT[:40]):
            writer.write(REPORT + rubbish)
            assert await asyncio.wait_for(reader.read(), 1.5) == b""
            reader, writer = await stage.join("east")
        stage.process.send_signal(signal.SIGTERM)
        counts = (await until(lambda: stage.logged("totals")))[-1]["counts"]
        assert counts["reports"] == rows + 2 + 4 and counts["unreadable"] + counts["refused"] >= rows + 2

    run_scenario(tmp_path, act)


def test_of_many_collectors_of_a_zone_the_one_silent_for_longest_goes(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        first, silent, third = [await stage.join("east") for _ in range(3)]
        first[1].write(REPORT)
        await asyncio.sleep(0.1)
        last = await stage.join("east")
        assert await asyncio.wait_for(silent[0].read(), 1) == b""
        assert not any(reader.at_eof() for reader, _ in (first, third, last))

    run_scenario(tmp_path, act)


def test_a_log_that_nobody_reads_holds_nothing_up(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        for turn in range(100):
            stage.relay.news(("hello 3 east 21.5 1", "bye 3")[turn % 2])
        stage.relay.news("hello 5 west 21.5 1")
        await until(lambda: 5 in stage.attached_tables())
        assert await stage.probe() == b"alive\r\n"
        stage.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(stage.process.wait(), 1) == 0

    run_scenario(tmp_path, act, read=False)


def test_ends_promptly_on_sigterm_with_all_connections_open(tmp_path: Path) -> None:
    async def act(stage: RunningCoordinator) -> None:
        await until(lambda: stage.relay.followed and stage.discovery.asked)
        _, writer = await asyncio.open_connection(*stage.address)
        stage.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(stage.process.wait(), 0.7) == 0
        await until(lambda: stage.logged("stopped"))
        writer.close()

    run_scenario(tmp_path, act)


@pytest.mark.parametrize("times", [1, 3])
def test_a_new_configuration_moves_both_and_nothing_is_lost(tmp_path: Path, times: int) -> None:
    async def act(stage: RunningCoordinator) -> None:
        relay, discovery = stage.relay, stage.discovery
        relay.news("hello 3 east 21.5 1")
        await until(lambda: stage.attached_tables() and len(relay.followers) == 2 and discovery.asked)
        old, (news, lists) = list(relay.followers), (relay.places[0], discovery.places[0])
        servers = [await asyncio.start_server(one.serve, "127.0.0.1", 0) for one in (relay, discovery)]
        ports = [one.sockets[0].getsockname()[1] for one in servers]
        for text in (None, "{", "[]", '{"discovery": "127.0.0.1:1", "relay": {}}'):
            before, place = len(stage.logged("reload_failed")), tmp_path / "config.json"
            place.write_text(text) if text else place.unlink()
            stage.process.send_signal(signal.SIGHUP)
            await until(lambda before=before: len(stage.logged("reload_failed")) > before)
        relay.moods.append("mute")  # The call under way has no outcome: it goes out again at the new place.
        discovery.change(server(2, "draining"))
        await until(lambda: not relay.moods)
        changed = configure(1, ports[1], ports[0], listing(1)) | {"settings": {}}
        for _ in range(times):
            place.write_text(json.dumps(changed))
            stage.process.send_signal(signal.SIGHUP)
        relay.news("hello 4 west 11.5 1")
        await until(lambda: sum(port == ports[0] for port in relay.places) > 2)
        await until(lambda: all(one.is_closing() for one in old))
        relay.followers = [one for one in relay.followers if one not in old]
        await until(lambda: len(relay.followers) == 2)
        relay.news("bye 3")
        relay.news("hello 5 east 21.5 1")
        await until(lambda: {4, 5} <= stage.attached_tables().keys() and "eject,s-2" in relay.carried)
        discovery.change(server(2))
        await until(lambda: "uneject,s-2" in relay.carried)
        assert discovery.places[-1] == ports[1] != lists and relay.places[-1] == ports[0] != news
        repeated = next(at for at, call in enumerate(relay.heard) if "eject,s-2" in call)
        assert relay.heard[repeated] == relay.heard[repeated + 1]
        assert not stage.logged("list_failed") and not stage.logged("news_ended")
        assert [line["proxy"] for line in stage.logged("joined")] == [3, 4, 5]
        assert [line["proxy"] for line in stage.logged("left")] == [3]
        assert stage.logged("reloaded")[0]["unheeded"] == ["known", "listen", "settings"]
        assert await stage.probe() == b"alive\r\n"
        for one in servers:
            one.close()

    run_scenario(tmp_path, act)


def test_a_signal_to_read_anew_ends_nothing_and_is_heeded_however_early() -> None:
    async def attend(signals: Signals, early: bool) -> None:
        signals.install()
        assert signals.reload.is_set() == early
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.wait_for(signals.reload.wait(), 1)

    for early in (False, True):
        signals = Signals()
        if early:
            os.kill(os.getpid(), signal.SIGHUP)
        asyncio.run(attend(signals, early))


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"relay": {}}, "'relay.address' is missing"),
        ({"seed": "xyz"}, "'seed'"),
        ({"listen": "here"}, "'listen'"),
        ({"settings": {**SETTINGS, "zones": []}}, "'zones'"),
        ({"known": {"version": 1}}, "'known'"),
        (
            {"settings": {**SETTINGS, "classes": [SETTINGS["classes"][0] | {"on_time": 0}]}},
            "'classes[0].on_time'",
        ),
        ({"limits": {"sockets": True}}, "'limits.sockets'"),
        ({"discovery": 5}, "'discovery'"),
        (
            {"settings": {**SETTINGS, "classes": [{"on_time": 1, "deadline": 1, "effect": "free"}]}},
            "'classes[0].name'",
        ),
    ],
)
def test_a_configuration_that_lacks_something_is_told_in_one_line(
    tmp_path: Path, change: dict[str, Any], words: str
) -> None:
    async def act() -> None:
        process = await start_process(tmp_path, configure(free_port(), 1, 1, listing(1)) | change)
        out, _ = await process.communicate()
        told = [json.loads(line) for line in out.splitlines()]
        assert process.returncode == 2 and len(told) == 1 and words in told[0]["why"]

    asyncio.run(act())


def test_without_a_readable_configuration_there_is_no_start(tmp_path: Path) -> None:
    async def act(text: str | None) -> None:
        if text is not None:
            (tmp_path / "config.json").write_text(text)
        process = await launch_process(tmp_path)
        out, _ = await process.communicate()
        assert process.returncode == 2 and len(out.splitlines()) == 1 and b"BALANCER_CONFIG" in out

    for text in (None, "{", "[]"):
        asyncio.run(act(text))


def test_bad_input_loses_no_good_proxy_while_hundreds_join_anew(tmp_path: Path) -> None:
    info = {**SETTINGS["family_info"], "proxies": 640, "egress_per_s": 100_000.0, "most_waiting": 200_000.0}

    async def act(stage: RunningCoordinator) -> None:
        relay, discovery = stage.relay, stage.discovery
        reader, writer = await stage.join("east")
        for proxy in range(640):
            relay.news(f"hello {proxy} {('east', 'west')[proxy % 2]} 2 0")
            if proxy % 80 == 0:
                relay.news("hello 640 east 2 1")  # Beyond the settings.
                writer.write(b"outcomes zone=east server=s-1 tries=x failed=0 mean_ms=1 span_ms=1000\r\n")
                writer.write(b"demand proxy=3 class=play tries=5 failed=0 span_ms=1000\r\n")
            if proxy == 320:
                discovery.now = {**discovery.now, "version": 9, "servers": [{"id": 5}]}  # Of the wrong kind.
                discovery.changes.clear()
        strangers = [await asyncio.open_connection(*stage.address) for _ in range(100)]
        for _, stranger in strangers[::2]:
            stranger.write(b"GET / HTTP/1.1\r\n\r\n")
        await until(lambda: len(stage.attached_tables()) == 640)
        assert await stage.probe() == b"alive\r\n"
        await until(lambda: len(stage.logged("refused")) >= 8 and len(stage.logged("unreadable")) >= 8)
        await until(lambda: stage.logged("list_failed"))
        discovery.now = listing(10, *(server(number) for number in range(7)))
        await until(lambda: any("s-6" in order for order in relay.carried))
        assert (
            640 not in stage.attached_tables() and not writer.transport.is_closing() and not reader.at_eof()
        )
        for _, stranger in strangers:
            stranger.close()

    run_scenario(tmp_path, act, settings={**SETTINGS, "family_info": info})


def test_coordinators_restarted_one_at_a_time_with_an_old_list_and_discovery_moved_break_nothing(
    tmp_path: Path,
) -> None:
    usual = listing(5, *(server(number) for number in range(6)))

    async def whole() -> None:
        async with contextlib.AsyncExitStack() as stack:
            stages = list[RunningCoordinator]()
            for number in range(3):
                (place := tmp_path / str(number)).mkdir()
                stages.append(await stack.enter_async_context(running_coordinator(place, usual, usual)))
            for stage in stages:
                for proxy, zone in enumerate(("east", "west", "east", "west")):
                    stage.relay.news(f"hello {proxy} {zone} 5 1")
                await until(lambda stage=stage: len(stage.attached_tables()) == 4)
            for number, stage in enumerate(stages):
                for each in stages:
                    each.discovery.change(server(number, "draining"))
                for each in stages:
                    await until(lambda each=each: f"eject,s-{number}" in each.relay.carried)  # noqa: B023
                stage.process.terminate()
                async with asyncio.timeout(5):
                    assert await stage.process.wait() == 0
                # Back with the list of the beginning, in which all are ready, and with discovery elsewhere.
                moved = await asyncio.start_server(stage.discovery.serve, "127.0.0.1", 0)
                stack.callback(moved.close)
                place, before = tmp_path / str(number) / "config.json", len(stage.relay.carried)
                told, asked = json.loads(place.read_text()), len(stage.discovery.asked)
                stage.process = await launch_process(place.parent)
                log = asyncio.create_task(stage.read_log())
                stack.callback(log.cancel)
                await until(lambda: len(stage.discovery.asked) > asked)  # noqa: B023
                port = moved.sockets[0].getsockname()[1]
                place.write_text(json.dumps({**told, "discovery": f"127.0.0.1:{port}"}))
                stage.process.send_signal(signal.SIGHUP)
                await until(lambda: port in stage.discovery.places)  # noqa: B023
                for gone in range(number + 1):
                    await until(lambda: f"eject,s-{gone}" in stage.relay.carried[before:])  # noqa: B023
                await until(
                    lambda: all(
                        any(order.startswith(f"attach,{proxy},") for order in stage.relay.carried[before:])  # noqa: B023
                        for proxy in range(4)
                    )
                )
            for stage in stages:
                assert not {"uneject,s-0", "uneject,s-1", "uneject,s-2"} & set(stage.relay.carried)
                assert not stage.logged("list_failed")

    asyncio.run(whole())
