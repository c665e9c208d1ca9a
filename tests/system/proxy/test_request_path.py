"""The whole path of a proxy on 127.0.0.1: client, uvicorn, proxy, connections, scripted backends."""

import asyncio
import contextlib
import socket
import struct

import pytest

from ambershift.system.messages.items import INSTANCE, Item
from ambershift.system.messages.proxy_link import BackendUpdate, ItemUpdate
from tests.support.proxy_rig import SERVICES, Rig, answer, backend, route, run


async def good(head, body, writer):
    return answer(head, body=b"read:" + body)


def test_requests_pass_unchanged_and_connections_are_kept():
    async def playing():
        async with Rig(good) as rig:
            status, head, body = await rig.ask(
                "/read/a%2Fb/?x=%20y&z",
                left=900,
                more="Connection: x-one\r\nX-One: 1\r\nX-Two: 2\r\nTE: x\r\n",
            )
            assert (status, body) == (200, b"read:") and b"x-server-seal: 1.2" in head
            (sent,) = rig.shelves[0].heads
            assert sent.startswith(b"GET /read/a%2Fb/?x=%20y&z HTTP/1.1\r\n")
            assert b"host: books.example:80" in sent and b"x-target-instance: i-0\r\n" in sent
            assert b"x-attempt-id: a1\r\n" in sent and b"x-two: 2" in sent
            assert b"x-one" not in sent and b"\r\nte:" not in sent
            assert 0 < int(sent.partition(b"x-deadline-remaining: ")[2].partition(b"\r\n")[0]) < 900
            chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n"
            assert (await rig.ask("/write/", "POST", more=chunks))[2] == b"read:abcde"
            assert (await rig.ask("/read/", "DELETE", body=b"xyz"))[2] == b"read:xyz"
            assert rig.shelves[0].connections == 1
            assert [(await rig.ask(path))[0] for path in ("/read", "/other/", "/write/x")] == [404, 404, 200]
            assert rig.proxy.is_idle() and rig.proxy.take_report(1 << 62).requests == {"loans": 4}

    run(playing)


def test_large_answers_stream_and_one_that_breaks_off_does_not_look_complete():
    async def large(head, body, writer):
        whole = answer(head, body=b"x" * 1_000_000)
        if b"/cut" not in head:
            return whole
        writer.write(whole[:700_000])
        await writer.drain()
        await asyncio.sleep(0.02)
        return None

    async def playing():
        async with Rig(large) as rig:
            assert len((await rig.ask())[2]) == 1_000_000
            rig.proxy.admission.in_flight = 500
            assert len((await rig.ask())[2]) == 1_000_000 and rig.proxy.connections.hold < 100_000
            rig.proxy.admission.in_flight = 0
            assert (await rig.ask("/read/cut"))[0] == 0
            assert rig.proxy.is_idle() and not any(
                life.flying for life in rig.proxy.backend_view.instances.values()
            )

    run(playing)


def scripted(*replies):
    """A backend that does these in turn, the last one again and again."""

    def do(head, body, writer):
        reply = replies[min(len(do.seen), len(replies) - 1)]
        do.seen.append(head)
        return reply(head, body, writer)

    do.seen = []
    return do


async def reset(head, body, writer):
    return None


async def silent(head, body, writer):
    return b""


async def away(head, body, writer):
    return answer(head, 503, b"", b"X-Not-Executed: full\r\n")


async def failing(head, body, writer):
    return answer(head, 500, b"own")


async def foreign(head, body, writer):
    return answer(b"x-attempt-id: other\r\n")


async def late(head, body, writer):
    return answer(b"x-attempt-id: other\r\n", body=b"late") + answer(head, body=b"mine")


async def unsealed(head, body, writer):
    return answer(head).replace(b"X-Server-Seal", b"X-Other")


async def garbage(head, body, writer):
    return b"\x00\x01 no answer\r\n\r\n"


async def cut(head, body, writer):
    writer.write(answer(head)[:-2])
    await writer.drain()


async def promise(head, body, writer):
    return answer(head, 429, b"")  # Without saying that it has not run.


async def gave_up(head, body, writer):
    return answer(head, 408, b"")


async def full(head, body, writer):
    return answer(head, 503, b"")


async def too_many(head, body, writer):
    return answer(head, 429, b"", b"X-Not-Executed: rate\r\n")


async def elsewhere(head, body, writer):
    return answer(head, 421, b"")


async def encoded(head, body, writer):
    return answer(head, more=b"Content-Encoding: gzip\r\n")


def without_length(head):
    return answer(head, body=b"mine").replace(b"Content-Length: 4\r\n", b"Connection: close\r\n")


async def closed(head, body, writer):
    return without_length(head)  # Its end is the connection's.


def resets(writer):
    """The connection's end is a reset, where that of `reset` and `cut` is a close."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def reset_without_length(head, body, writer):
    """As if it were whole, but for how it ends."""
    writer.write(without_length(head)[:-2])
    await writer.drain()
    await asyncio.sleep(0.01)  # So that the bytes are read before the reset throws them away.
    resets(writer)


async def reset_at_once(head, body, writer):
    resets(writer)


async def reset_in_its_head(head, body, writer):
    writer.write(answer(head)[:40])
    await writer.drain()


async def twice(head, body, writer):
    return answer(head, body=b"mine") + answer(head, body=b"again")


# What the first backend does: the statuses a repeatable and another request get, with a good one beside it.
CASES = [
    (reset, 200, 502),
    (cut, 200, 502),
    (garbage, 200, 502),
    (foreign, 200, 504),
    (unsealed, 200, 502),
    (promise, 200, 502),
    (away, 200, 200),
    (failing, 200, 500),
    (late, 200, 200),
    (good, 200, 200),
    (gave_up, 200, 502),  # No promise without the word that it has not run.
    (full, 200, 502),
    (too_many, 200, 200),
    (elsewhere, 200, 200),
    (encoded, 200, 502),
    (closed, 200, 200),
    (reset_without_length, 200, 502),
    (reset_in_its_head, 200, 502),
    (reset_at_once, 200, 502),
    (twice, 200, 200),
]
MINE = (late, closed, twice)  # Answered by the first one itself, with a body of its own.


@pytest.mark.parametrize(("bad", "repeatable", "once"), CASES, ids=[case[0].__name__ for case in CASES])
def test_each_ending_at_the_first_backend_for_both_kinds_of_request(bad, repeatable, once):
    async def playing():
        first, second = scripted(bad), scripted(good)
        async with Rig(first, second) as rig:
            rig.proxy.routing.find(b"books.example", b"/read/")
            for _ in range(20):  # So that the budget allows a repeat.
                rig.proxy.budget("loans").came(rig.proxy.steady())
            for path, wanted in (("/read/", repeatable), ("/write/", once)):
                lives = rig.proxy.backend_view.instances
                lives["i-1"].flying, before = 5, len(second.seen)  # Full: the first one is picked.
                status, head, body = await rig.ask(path, "PUT", b"x", attempt=path.strip("/"), left=400)
                assert status == wanted, path
                assert (status != 200) == (b"x-server-seal" not in head)
                assert body == {200: b"mine" if bad in MINE else b"read:x", 500: b"own"}.get(status, b"")
                more = wanted == 200 and bad not in (good, *MINE)
                assert len(second.seen) - before == more
                lives["i-0"].pause = lives["i-0"].recent[1] = lives["i-0"].waiting = 0

    run(playing)


@pytest.mark.parametrize("path", ["/read/", "/write/"])
def test_a_backend_that_answers_early_gets_nothing_but_the_rest_of_that_body(path):
    """It answers as soon as it has the head, and reads the body after that."""
    got = list[tuple[int, bytes]]()  # Connection, and what was read where a body was due.

    async def playing():
        rig = Rig(good)

        async def early(reader, writer):
            shelf = rig.shelves[0]
            shelf.connections += 1
            number = shelf.connections
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    first, _, rest = head.partition(b"\r\n")
                    head = first + b"\r\n" + rest.lower()
                    shelf.heads.append(head)
                    writer.write(answer(head, body=b"soon"))
                    await writer.drain()
                    length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
                    read = b""
                    while len(read) < length and (part := await reader.read(length - len(read))):
                        read += part
                    got.append((number, read))
            writer.close()

        rig.shelves[0]._serve = early
        bodies = [bytes([number]) * 400_000 for number in (1, 2, 3)]
        async with rig:
            for body in bodies:
                assert (await rig.ask(path, "PUT", body=body, left=2000))[::2] == (200, b"soon")
        assert len(rig.shelves[0].heads) == 3
        for _, read in got:
            assert read in (body[: len(read)] for body in bodies)

    run(playing)
    assert got


def test_what_nobody_can_serve_is_refused_at_once_and_what_may_have_run_is_not_called_refused():
    async def playing():
        async with Rig(away, away) as rig:
            rig.proxy.budget("loans").came(0)
            status, head, _ = await rig.ask("/write/", "POST", b"x")
            assert status == 503 and b"retry-after: 0.1" in head
        async with Rig(silent) as rig:
            began = rig.proxy.steady()
            assert (await rig.ask("/write/", "POST", b"x", left=120))[0] == 504
            assert rig.proxy.steady() - began < 400_000_000
            assert await rig.ask(left=0) and not rig.proxy.backend_view.instances["i-0"].flying
        async with Rig(good) as rig:
            rig.shelves[0].server.close()
            await rig.shelves[0].server.wait_closed()
            assert (await rig.ask("/write/", "POST", b"x"))[0] == 503
            assert (await rig.ask("/write/", more=f"Content-Length: {1 << 40}\r\n"))[0] == 413
            assert (await rig.ask("/write/", left=90, more="Content-Length: 9\r\n"))[0] == 408
            assert (await rig.ask("/none/", "POST", b"x" * 1000))[0] == 404
            assert (await rig.ask(attempt=""))[0] == 400

    run(playing)


def test_beside_a_silent_backend_another_is_tried_and_the_first_is_not_broken_off():
    async def playing():
        async with Rig(silent, good) as rig:
            for _ in range(20):
                rig.proxy.budget("loans").came(rig.proxy.steady())
            rig.proxy.backend_view.instances["i-1"].flying = 5
            began = rig.proxy.steady()
            assert (await rig.ask(left=700))[0] == 200
            assert rig.proxy.steady() - began < 500_000_000
            assert rig.proxy.is_idle() and not rig.shelves[0].ended.is_set()
            await rig.shelves[0].ended.wait()  # At the deadline.
            assert rig.proxy.steady() - began > 600_000_000
            assert (
                rig.proxy.backend_view.instances["i-0"].pause
                and not rig.proxy.backend_view.instances["i-0"].flying
            )

    run(playing)


def test_a_distribution_goes_by_weight_and_past_a_service_that_has_nobody():
    shares = [{"Service": "loans", "Weight": 1}, {"Service": "maps", "Weight": 99}]
    items = ItemUpdate((route("r", "/read/", Service=None, Distribution=shares), *SERVICES), True)

    async def playing():
        async with Rig(good, items=items) as rig:
            assert {(await rig.ask())[0] for _ in range(5)} == {200}
            rig.proxy.handle_message(BackendUpdate((backend("m", service="maps"),), (), False))
            assert {(await rig.ask())[0] for _ in range(5)} == {503}  # Nobody is at that address.
            assert rig.proxy.take_report(1 << 62).requests == {"loans": 5, "maps": 5}

    run(playing)


def test_extra_bytes_and_old_connections_are_not_used_for_a_request_that_may_run_once():
    async def extra(head, body, writer):
        return answer(head) + (answer(head, body=b"twice") if b"/read/extra" in head else b"")

    async def playing():
        async with Rig(extra) as rig:
            steady = rig.proxy.steady
            assert (await rig.ask("/read/extra"))[0] == 200
            assert (await rig.ask("/write/"))[2] == b"read" and rig.shelves[0].connections == 2
            assert (await rig.ask("/write/"))[0] == 200 and rig.shelves[0].connections == 3
            rig.proxy.connections._steady = lambda: steady() + 6_000_000_000
            assert (await rig.ask("/write/"))[0] == 200 and rig.shelves[0].connections == 4
            later = steady() + 9_000_000_000
            rig.proxy.connections._steady = lambda: later  # 3 s old, of 4 that it is kept.
            assert (await rig.ask("/write/"))[0] == 200 and rig.shelves[0].connections == 5
            assert (await rig.ask("/read/"))[0] == 200 and rig.shelves[0].connections == 5
            rig.proxy.connections._steady = lambda: later + 3_700_000_000
            assert (await rig.ask("/read/"))[0] == 200 and rig.shelves[0].connections == 6

    run(playing)


def test_an_idle_connection_that_the_backend_closed_is_not_used():
    async def closing(head, body, writer):
        writer.write(answer(head))
        await writer.drain()
        writer.close()
        return b""

    async def playing():
        async with Rig(closing) as rig:
            for _ in range(3):
                assert (await rig.ask("/write/"))[0] == 200
            assert not rig.proxy.backend_view.instances["i-0"].bad

    run(playing)


def test_a_repeat_is_paid_out_of_the_budget_and_one_that_did_not_go_out_is_given_back():
    async def playing():
        second = scripted(good)
        async with Rig(reset, second) as rig:
            rig.proxy.backend_view.instances["i-1"].flying = 5
            assert (await rig.ask())[0] == 502 and not second.seen
            budget, now = rig.proxy.budget("loans"), rig.proxy.steady()
            for _ in range(6):
                budget.came(now)  # Enough for one.
            rig.shelves[1].server.close()
            rig.proxy.backend_view.instances["i-0"].pause = 0
            assert (await rig.ask())[0] == 502
            assert budget.take(rig.proxy.steady()) and not budget.take(rig.proxy.steady())
        async with Rig(reset, second) as rig:
            rig.proxy.backend_view.instances["i-1"].flying = 5
            for _ in range(6):
                rig.proxy.budget("loans").came(rig.proxy.steady())
            assert (await rig.ask())[0] == 200 and not rig.proxy.budget("loans").take(rig.proxy.steady())

    run(playing)


def test_nothing_is_sent_to_a_backend_that_drains_while_we_connect():
    async def playing():
        first, second = scripted(good), scripted(good)
        async with Rig(first, second) as rig:
            rig.proxy.backend_view.instances["i-1"].flying = 5
            opening = rig.proxy.connections.open

            async def slowly(life, within):
                wire = await opening(life, within)
                rig.proxy.handle_message(ItemUpdate((Item(INSTANCE, "i-0", (1, ""), b"{}"),), False))
                return wire

            rig.proxy.connections.open = slowly
            assert (await rig.ask("/write/"))[0] == 200
            assert (len(first.seen), len(second.seen)) == (0, 1)

    run(playing)


def test_a_reset_while_others_are_answered_makes_it_full_rather_than_dead():
    async def some(head, body, writer):
        await asyncio.sleep(0.3 if b"/slow" in head else 0)
        return None if b"/reset" in head else answer(head)

    async def playing():
        async with Rig(some) as rig:
            life = rig.proxy.backend_view.instances["i-0"]
            slow, lost = await asyncio.gather(rig.ask("/write/slow"), rig.ask("/write/slow/reset"))
            assert (slow[0], lost[0]) == (200, 502) and life.pause == 0 and life.full(rig.proxy.steady())
            # The slow one's watch over its client must not touch the connection that is idle again.
            assert (await rig.ask())[0] == 200 and rig.shelves[0].connections == 2
            await rig.ask("/read/reset")
            assert life.pause > 0

    run(playing)


def test_a_client_that_leaves_ends_the_try_and_a_proxy_that_leaves_says_so():
    async def playing():
        async with Rig(scripted(silent, good)) as rig:
            _, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            writer.write(b"GET /write/ HTTP/1.1\r\nHost: books.example\r\nX-Attempt-Id: a\r\n\r\n")
            while not rig.shelves[0].heads:
                await asyncio.sleep(0.01)
            assert not rig.proxy.is_idle()
            writer.close()
            while not rig.proxy.is_idle():
                await asyncio.sleep(0.01)
            life = rig.proxy.backend_view.instances["i-0"]
            assert (life.flying, life.pause, life.bad) == (0, 0, 0)
            rig.proxy.start_draining()
            status, head, _ = await rig.ask("/read/")
            assert status == 200 and b"\r\nconnection: close" in head
            said = []

            async def send(message):
                said.append(message)

            for leaving in (False, True):
                rig.proxy.draining = leaving
                await rig.proxy(
                    {"type": "http", "server": ("", 2), "raw_path": b"/ambershift/readiness"}, None, send
                )
            assert [one["status"] for one in said if "status" in one] == [200, 503]

    run(playing)
