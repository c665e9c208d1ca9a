"""Tests of a coordinator process over loopback, started as in production, with stand-ins for its peers."""

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


def test_it_starts_from_an_old_list_and_follows_the_current_one(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        assert await running.probe() == b"alive\r\n"
        await until(lambda: running.logged("listed"))
        running.relay.news("hello 3 east 21.5 1")
        table = (await until(running.attached_tables))[3]
        await until(lambda: running.servers_in_table(table) == {"s-1", "s-2", "s-3", "s-4", "s-5", "s-6"})
        assert "wait_ms=400" in running.discovery.asked[0] and "after=3&" in running.discovery.asked[0]

    run_scenario(
        tmp_path,
        scenario,
        listing(3, *(server(number) for number in range(6))),
        listing(9, *(server(number) for number in range(1, 7))),
    )


def test_a_draining_server_is_ejected_and_taken_back_when_it_is_up(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        running.relay.news("hello 3 east 21.5 1")
        await until(running.attached_tables)
        fence = next(order for order in running.relay.carried if order.startswith("fence"))
        running.relay.news(f"ack 3 {fence.split(',')[1]} 120.5")
        running.discovery.change(server(2, "draining"))
        await until(lambda: "eject,s-2" in running.relay.carried)
        running.discovery.change(server(2))
        await until(lambda: "uneject,s-2" in running.relay.carried)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "mood", ["break before", "break after", "mute", "garbage", "endless", "busy", "in pieces"]
)
def test_a_call_with_an_unknown_outcome_is_repeated_before_any_later_one(tmp_path: Path, mood: str) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        running.relay.moods.extend([mood, mood])
        running.relay.news("hello 3 east 21.5 1")
        running.relay.news("hello 4 west 11.5 1")
        first = 1 if mood == "in pieces" else 3
        await until(lambda: running.attached_tables().keys() == {3, 4} and len(running.relay.heard) >= first)
        assert running.relay.heard[0] == running.relay.heard[first - 1]
        assert all(one != running.relay.heard[0] for one in running.relay.heard[first:])

    run_scenario(tmp_path, scenario)


def test_a_rejected_order_is_dropped_and_the_rest_sent(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        running.relay.moods.append("no attach")
        running.relay.news("hello 3 east 21.5 1")
        told = (await until(lambda: running.logged("order_not_taken")))[0]
        await until(lambda: any(order.startswith("fence") for order in running.relay.carried))
        assert told["order"].startswith("attach,3,") and not running.attached_tables()
        assert (
            running.relay.heard[1]
            == running.relay.heard[0][running.relay.heard[0].index(told["order"]) + 1 :]
        )

    run_scenario(tmp_path, scenario)


def test_the_orders_of_a_misread_call_are_sent_singly(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        running.relay.moods.extend(["unread", "unread"])
        running.relay.news("hello 3 east 21.5 1")
        await until(running.attached_tables)
        # A later reply may be merged with what is still queued; unit tests of the queue cover the order of
        # the calls. Here: the first order is sent singly, is lost, and no other is lost with it.
        whole = running.relay.heard[0]
        assert running.relay.heard[1] == whole[:1]
        assert [line["order"] for line in running.logged("order_not_read")] == whole[:1]
        await until(lambda: any(order.startswith("fence") for order in running.relay.carried))
        assert running.servers_in_table(running.attached_tables()[3]) | {whole[0].split(",")[2]} == {
            f"s-{at}" for at in range(6)
        }

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("silent", [False, True])
def test_proxies_are_reconciled_after_both_event_connections_broke_or_fell_silent(
    tmp_path: Path, silent: bool
) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        relay = running.relay
        for proxy in (1, 2, 3):
            relay.news(f"hello {proxy} east 21.5 1")
        await until(lambda: len(running.attached_tables()) == 3 and relay.followed == 2)
        del relay.standing[2]
        relay.standing[4] = "* hello 4 west 9 0\r\n"
        if silent:
            relay.quiet = True
            relay.followers.clear()
            await until(lambda: relay.followed >= 4)
            relay.quiet = False
        else:
            relay.drop()
        await until(lambda: 4 in running.attached_tables() and running.logged("left"))
        assert [line["proxy"] for line in running.logged("joined")] == [1, 2, 3, 4]
        assert [line["proxy"] for line in running.logged("left")] == [2]

    run_scenario(tmp_path, scenario)


def test_one_of_two_event_connections_breaks_and_no_event_is_missed(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        relay = running.relay
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
        assert [line["proxy"] for line in running.logged("joined")] == [1, 2, 1, 3, 1, 4, 1, 5, 1]
        assert [line["proxy"] for line in running.logged("left")] == [1, 1, 1, 1]

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("mood", ["503", "reset", "mute", "garbage", "old", "large"])
def test_a_failed_discovery_call_is_repeated_and_no_change_is_missed(tmp_path: Path, mood: str) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        await until(lambda: running.logged("listed"))
        running.discovery.mood = mood
        await until(lambda: running.logged("list_failed"))
        running.discovery.mood = ""
        running.discovery.change(server(7))
        await until(lambda: running.discovery.asked[-1].startswith("/v1/endpoints?after=6&"))
        running.relay.news("hello 3 east 21.5 1")
        await until(
            lambda: any(
                "s-7" in running.servers_in_table(table) for table in running.attached_tables().values()
            )
        )
        assert len(running.discovery.asked) < 40

    run_scenario(tmp_path, scenario)


def test_a_discovery_service_that_answers_at_once_is_not_flooded(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        await until(lambda: running.logged("listed"))
        running.discovery.mood, before = "eager", len(running.discovery.asked)
        await asyncio.sleep(1.0)
        assert 3 < len(running.discovery.asked) - before < 25
        running.discovery.mood = ""
        running.discovery.change(server(7))
        await until(lambda: running.logged("listed")[-1]["changes"] == {"s-7": "READY"})

    run_scenario(tmp_path, scenario)


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
def test_strangers_are_closed_in_time_and_keep_no_collector_out(
    tmp_path: Path, pieces: list[bytes], wait: float, due: bytes
) -> None:
    async def connect_as_stranger(running: RunningCoordinator) -> bytes:
        heard = b""
        reader, writer = await asyncio.open_connection(*running.address)
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(wait)
            while more := await reader.read(1000):
                heard += more
        writer.close()
        return heard

    async def scenario(running: RunningCoordinator) -> None:
        _, collector = await running.join("east")
        many = asyncio.gather(*(asyncio.wait_for(connect_as_stranger(running), 2.5) for _ in range(300)))
        await asyncio.sleep(0.1)
        _, other = await running.join("west")
        assert await running.probe() == b"alive\r\n"
        answers = await many
        assert sum(due in answer for answer in answers) >= (1 if due else 300)
        for writer in (collector, other):
            writer.write(REPORT[:30])
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(REPORT[30:])
        before = len(running.logged("collector"))
        await asyncio.sleep(0.2)
        assert (collector.is_closing(), other.is_closing(), before) == (False, False, 2)
        assert len(os.listdir(f"/proc/{running.process.pid}/fd")) < 40
        running.process.send_signal(signal.SIGTERM)
        counts = (await until(lambda: running.logged("totals")))[-1]["counts"]
        assert counts["reports"] == 2

    run_scenario(tmp_path, scenario, sockets=256)


MALFORMED_VALUES = ("", "s-zz", "nan", "-3", "1e+30", "38654705664", "[1]", "\xff")


def test_a_malformed_message_is_dropped_and_a_run_of_them_closes_the_connection(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        reader, writer = await running.join("east")
        words, rows = REPORT.decode().split(), 0
        for value in MALFORMED_VALUES:
            for at in range(1, len(words) - 1):
                bad = [*words[:at], words[at].split("=")[0] + "=" + value, *words[at + 1 :]]
                writer.write(" ".join(bad).encode("latin-1") + b"\r\n" + REPORT)
                writer.write(" ".join(words[:at] + words[at + 1 :]).encode() + b"\r\n" + REPORT)
                rows += 2
        writer.write(b"demand proxy=8 class=play tries=1 failed=0 span_ms=1000.0\r\n" + REPORT)
        writer.write(b"agent zone=nowhere\r\n" + REPORT)
        assert await running.probe() == b"alive\r\n"
        assert not reader.at_eof()
        for rubbish in (bytes(range(256)) * 8, b"\x80\r\n" * 20, b"\x80" * 100, REPORT[:40]):
            writer.write(REPORT + rubbish)
            assert await asyncio.wait_for(reader.read(), 1.5) == b""
            reader, writer = await running.join("east")
        running.process.send_signal(signal.SIGTERM)
        counts = (await until(lambda: running.logged("totals")))[-1]["counts"]
        assert counts["reports"] == rows + 2 + 4 and counts["unreadable"] + counts["refused"] >= rows + 2

    run_scenario(tmp_path, scenario)


def test_of_too_many_collectors_of_a_zone_the_one_silent_for_longest_is_closed(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        first, silent, third = [await running.join("east") for _ in range(3)]
        first[1].write(REPORT)
        await asyncio.sleep(0.1)
        last = await running.join("east")
        assert await asyncio.wait_for(silent[0].read(), 1) == b""
        assert not any(reader.at_eof() for reader, _ in (first, third, last))

    run_scenario(tmp_path, scenario)


def test_a_log_that_nobody_reads_blocks_nothing(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        for turn in range(100):
            running.relay.news(("hello 3 east 21.5 1", "bye 3")[turn % 2])
        running.relay.news("hello 5 west 21.5 1")
        await until(lambda: 5 in running.attached_tables())
        assert await running.probe() == b"alive\r\n"
        running.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(running.process.wait(), 1) == 0

    run_scenario(tmp_path, scenario, read=False)


def test_ends_promptly_on_sigterm_with_all_connections_open(tmp_path: Path) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        await until(lambda: running.relay.followed and running.discovery.asked)
        _, writer = await asyncio.open_connection(*running.address)
        running.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(running.process.wait(), 0.7) == 0
        await until(lambda: running.logged("stopped"))
        writer.close()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("times", [1, 3])
def test_a_reload_moves_relay_and_discovery_and_nothing_is_lost(tmp_path: Path, times: int) -> None:
    async def scenario(running: RunningCoordinator) -> None:
        relay, discovery = running.relay, running.discovery
        relay.news("hello 3 east 21.5 1")
        await until(lambda: running.attached_tables() and len(relay.followers) == 2 and discovery.asked)
        old, (news, lists) = list(relay.followers), (relay.places[0], discovery.places[0])
        servers = [await asyncio.start_server(one.serve, "127.0.0.1", 0) for one in (relay, discovery)]
        ports = [one.sockets[0].getsockname()[1] for one in servers]
        for text in (None, "{", "[]", '{"discovery": "127.0.0.1:1", "relay": {}}'):
            before, place = len(running.logged("reload_failed")), tmp_path / "config.json"
            place.write_text(text) if text else place.unlink()
            running.process.send_signal(signal.SIGHUP)
            await until(lambda before=before: len(running.logged("reload_failed")) > before)
        relay.moods.append("mute")  # The call under way has no outcome: it is repeated at the new address.
        discovery.change(server(2, "draining"))
        await until(lambda: not relay.moods)
        changed = configure(1, ports[1], ports[0], listing(1)) | {"settings": {}}
        for _ in range(times):
            place.write_text(json.dumps(changed))
            running.process.send_signal(signal.SIGHUP)
        relay.news("hello 4 west 11.5 1")
        await until(lambda: sum(port == ports[0] for port in relay.places) > 2)
        await until(lambda: all(one.is_closing() for one in old))
        relay.followers = [one for one in relay.followers if one not in old]
        await until(lambda: len(relay.followers) == 2)
        relay.news("bye 3")
        relay.news("hello 5 east 21.5 1")
        await until(lambda: {4, 5} <= running.attached_tables().keys() and "eject,s-2" in relay.carried)
        discovery.change(server(2))
        await until(lambda: "uneject,s-2" in relay.carried)
        assert discovery.places[-1] == ports[1] != lists and relay.places[-1] == ports[0] != news
        repeated = next(at for at, call in enumerate(relay.heard) if "eject,s-2" in call)
        assert relay.heard[repeated] == relay.heard[repeated + 1]
        assert not running.logged("list_failed") and not running.logged("news_ended")
        assert [line["proxy"] for line in running.logged("joined")] == [3, 4, 5]
        assert [line["proxy"] for line in running.logged("left")] == [3]
        assert running.logged("reloaded")[0]["unheeded"] == ["known", "listen", "settings"]
        assert await running.probe() == b"alive\r\n"
        for one in servers:
            one.close()

    run_scenario(tmp_path, scenario)


def test_sighup_stops_nothing_and_reloads_however_early_it_arrives() -> None:
    async def install_and_reload(signals: Signals, early: bool) -> None:
        signals.install()
        assert signals.reload.is_set() == early
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.wait_for(signals.reload.wait(), 1)

    for early in (False, True):
        signals = Signals()
        if early:
            os.kill(os.getpid(), signal.SIGHUP)
        asyncio.run(install_and_reload(signals, early))


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
def test_an_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, change: dict[str, Any], words: str
) -> None:
    async def scenario() -> None:
        process = await start_process(tmp_path, configure(free_port(), 1, 1, listing(1)) | change)
        out, _ = await process.communicate()
        told = [json.loads(line) for line in out.splitlines()]
        assert process.returncode == 2 and len(told) == 1 and words in told[0]["why"]

    asyncio.run(scenario())


def test_an_unreadable_configuration_is_reported_in_one_line(tmp_path: Path) -> None:
    async def scenario(text: str | None) -> None:
        if text is not None:
            (tmp_path / "config.json").write_text(text)
        process = await launch_process(tmp_path)
        out, _ = await process.communicate()
        assert process.returncode == 2 and len(out.splitlines()) == 1 and b"BALANCER_CONFIG" in out

    for text in (None, "{", "[]"):
        asyncio.run(scenario(text))


def test_invalid_input_loses_no_proxy_while_hundreds_join(tmp_path: Path) -> None:
    info = {**SETTINGS["family_info"], "proxies": 640, "egress_per_s": 100_000.0, "most_waiting": 200_000.0}

    async def scenario(running: RunningCoordinator) -> None:
        relay, discovery = running.relay, running.discovery
        reader, writer = await running.join("east")
        for proxy in range(640):
            relay.news(f"hello {proxy} {('east', 'west')[proxy % 2]} 2 0")
            if proxy % 80 == 0:
                relay.news("hello 640 east 2 1")  # The settings have 640 proxies, from 0.
                writer.write(b"outcomes zone=east server=s-1 tries=x failed=0 mean_ms=1 span_ms=1000\r\n")
                writer.write(b"demand proxy=3 class=play tries=5 failed=0 span_ms=1000\r\n")
            if proxy == 320:
                discovery.now = {**discovery.now, "version": 9, "servers": [{"id": 5}]}  # Of the wrong kind.
                discovery.changes.clear()
        strangers = [await asyncio.open_connection(*running.address) for _ in range(100)]
        for _, stranger in strangers[::2]:
            stranger.write(b"GET / HTTP/1.1\r\n\r\n")
        await until(lambda: len(running.attached_tables()) == 640)
        assert await running.probe() == b"alive\r\n"
        await until(lambda: len(running.logged("refused")) >= 8 and len(running.logged("unreadable")) >= 8)
        await until(lambda: running.logged("list_failed"))
        discovery.now = listing(10, *(server(number) for number in range(7)))
        await until(lambda: any("s-6" in order for order in relay.carried))
        assert (
            640 not in running.attached_tables() and not writer.transport.is_closing() and not reader.at_eof()
        )
        for _, stranger in strangers:
            stranger.close()

    run_scenario(tmp_path, scenario, settings={**SETTINGS, "family_info": info})


def test_a_rolling_restart_with_an_old_list_and_moved_discovery_breaks_nothing(
    tmp_path: Path,
) -> None:
    usual = listing(5, *(server(number) for number in range(6)))

    async def restart_all() -> None:
        async with contextlib.AsyncExitStack() as stack:
            coordinators = list[RunningCoordinator]()
            for number in range(3):
                (place := tmp_path / str(number)).mkdir()
                coordinators.append(await stack.enter_async_context(running_coordinator(place, usual, usual)))
            for running in coordinators:
                for proxy, zone in enumerate(("east", "west", "east", "west")):
                    running.relay.news(f"hello {proxy} {zone} 5 1")
                await until(lambda running=running: len(running.attached_tables()) == 4)
            for number, running in enumerate(coordinators):
                for each in coordinators:
                    each.discovery.change(server(number, "draining"))
                for each in coordinators:
                    await until(lambda each=each: f"eject,s-{number}" in each.relay.carried)  # noqa: B023
                running.process.terminate()
                async with asyncio.timeout(5):
                    assert await running.process.wait() == 0
                # Restarted with the initial list, in which all are ready; discovery is at a new address.
                moved = await asyncio.start_server(running.discovery.serve, "127.0.0.1", 0)
                stack.callback(moved.close)
                place, before = tmp_path / str(number) / "config.json", len(running.relay.carried)
                told, asked = json.loads(place.read_text()), len(running.discovery.asked)
                running.process = await launch_process(place.parent)
                log = asyncio.create_task(running.read_log())
                stack.callback(log.cancel)
                await until(lambda: len(running.discovery.asked) > asked)  # noqa: B023
                port = moved.sockets[0].getsockname()[1]
                place.write_text(json.dumps({**told, "discovery": f"127.0.0.1:{port}"}))
                running.process.send_signal(signal.SIGHUP)
                await until(lambda: port in running.discovery.places)  # noqa: B023
                for gone in range(number + 1):
                    await until(lambda: f"eject,s-{gone}" in running.relay.carried[before:])  # noqa: B023
                await until(
                    lambda: all(
                        any(order.startswith(f"attach,{proxy},") for order in running.relay.carried[before:])  # noqa: B023
                        for proxy in range(4)
                    )
                )
            for running in coordinators:
                assert not {"uneject,s-0", "uneject,s-1", "uneject,s-2"} & set(running.relay.carried)
                assert not running.logged("list_failed")

    asyncio.run(restart_all())
