"""The whole path of a proxy on 127.0.0.1: client, uvicorn, proxy, connections, scripted backends."""

import asyncio
import contextlib
import socket
import struct

import pytest

from ambershift.system.messages.items import INSTANCE, Item
from ambershift.system.messages.proxy_link import BackendUpdate, ItemUpdate
from tests.support.proxy_rig import SERVICES, ProxyRig, backend_record, response, route, run_scenario


async def succeed(head, body, writer):
    return response(head, body=b"read:" + body)


def test_requests_are_forwarded_unchanged_on_kept_connections():
    async def scenario():
        async with ProxyRig(succeed) as rig:
            status, head, body = await rig.request(
                "/read/a%2Fb/?x=%20y&z",
                remaining_ms=900,
                extra="Connection: x-one\r\nX-One: 1\r\nX-Two: 2\r\nTE: x\r\n",
            )
            assert (status, body) == (200, b"read:") and b"x-server-seal: 1.2" in head
            (sent,) = rig.backends[0].request_heads
            assert sent.startswith(b"GET /read/a%2Fb/?x=%20y&z HTTP/1.1\r\n")
            assert b"host: books.example:80" in sent and b"x-target-instance: i-0\r\n" in sent
            assert b"x-attempt-id: a1\r\n" in sent and b"x-two: 2" in sent
            assert b"x-one" not in sent and b"\r\nte:" not in sent
            assert 0 < int(sent.partition(b"x-deadline-remaining: ")[2].partition(b"\r\n")[0]) < 900
            chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n"
            assert (await rig.request("/write/", "POST", extra=chunks))[2] == b"read:abcde"
            assert (await rig.request("/read/", "DELETE", body=b"xyz"))[2] == b"read:xyz"
            assert rig.backends[0].connections == 1
            statuses = [(await rig.request(path))[0] for path in ("/read", "/other/", "/write/x")]
            assert statuses == [404, 404, 200]
            assert rig.proxy.is_idle() and rig.proxy.take_report(1 << 62).requests == {"loans": 4}

    run_scenario(scenario)


def test_large_responses_stream_and_truncated_ones_are_not_complete():
    async def large(head, body, writer):
        complete = response(head, body=b"x" * 1_000_000)
        if b"/cut" not in head:
            return complete
        writer.write(complete[:700_000])
        await writer.drain()
        await asyncio.sleep(0.02)
        return None

    async def scenario():
        async with ProxyRig(large) as rig:
            assert len((await rig.request())[2]) == 1_000_000
            rig.proxy.admission.in_flight = 500
            assert (
                len((await rig.request())[2]) == 1_000_000
                and rig.proxy.connections.response_buffer_size < 100_000
            )
            rig.proxy.admission.in_flight = 0
            assert (await rig.request("/read/cut"))[0] == 0
            assert rig.proxy.is_idle() and not any(
                instance.in_flight for instance in rig.proxy.backend_view.instances.values()
            )

    run_scenario(scenario)


def scripted(*replies):
    """A script that runs these in turn, and the last one for all further requests."""

    def script(head, body, writer):
        reply = replies[min(len(script.request_heads), len(replies) - 1)]
        script.request_heads.append(head)
        return reply(head, body, writer)

    script.request_heads = []
    return script


async def close_without_response(head, body, writer):
    return None


async def silent(head, body, writer):
    return b""


async def reject_full(head, body, writer):
    return response(head, 503, b"", b"X-Not-Executed: full\r\n")


async def own_error(head, body, writer):
    return response(head, 500, b"own")


async def response_to_another(head, body, writer):
    return response(b"x-attempt-id: other\r\n")


async def stale_response_first(head, body, writer):
    return response(b"x-attempt-id: other\r\n", body=b"late") + response(head, body=b"mine")


async def unsealed(head, body, writer):
    return response(head).replace(b"X-Server-Seal", b"X-Other")


async def malformed(head, body, writer):
    return b"\x00\x01 no answer\r\n\r\n"


async def truncated(head, body, writer):
    writer.write(response(head)[:-2])
    await writer.drain()


async def rate_without_proof(head, body, writer):
    return response(head, 429, b"")  # Without `X-Not-Executed`.


async def timeout_without_proof(head, body, writer):
    return response(head, 408, b"")


async def full_without_proof(head, body, writer):
    return response(head, 503, b"")


async def reject_rate(head, body, writer):
    return response(head, 429, b"", b"X-Not-Executed: rate\r\n")


async def misdirected(head, body, writer):
    return response(head, 421, b"")


async def encoded(head, body, writer):
    return response(head, extra_headers=b"Content-Encoding: gzip\r\n")


def without_length(head):
    return response(head, body=b"mine").replace(b"Content-Length: 4\r\n", b"Connection: close\r\n")


async def ends_with_the_connection(head, body, writer):
    return without_length(head)  # The end of the connection ends the body.


def set_reset_on_close(writer):
    """Make the end of the connection a reset; otherwise it is a close."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def reset_without_length(head, body, writer):
    """A body that looks complete, but the connection ends with a reset."""
    writer.write(without_length(head)[:-2])
    await writer.drain()
    await asyncio.sleep(0.01)  # So that the bytes are read before the reset discards them.
    set_reset_on_close(writer)


async def reset_at_once(head, body, writer):
    set_reset_on_close(writer)


async def truncated_in_its_head(head, body, writer):
    writer.write(response(head)[:40])
    await writer.drain()


async def responds_twice(head, body, writer):
    return response(head, body=b"mine") + response(head, body=b"again")


# The first backend's reply, and the status of an idempotent request and of another; the second one succeeds.
CASES = [
    (close_without_response, 200, 502),
    (truncated, 200, 502),
    (malformed, 200, 502),
    (response_to_another, 200, 504),
    (unsealed, 200, 502),
    (rate_without_proof, 200, 502),
    (reject_full, 200, 200),
    (own_error, 200, 500),
    (stale_response_first, 200, 200),
    (succeed, 200, 200),
    (timeout_without_proof, 200, 502),  # The status alone proves nothing without `X-Not-Executed`.
    (full_without_proof, 200, 502),
    (reject_rate, 200, 200),
    (misdirected, 200, 200),
    (encoded, 200, 502),
    (ends_with_the_connection, 200, 200),
    (reset_without_length, 200, 502),
    (truncated_in_its_head, 200, 502),
    (reset_at_once, 200, 502),
    (responds_twice, 200, 200),
]
ACCEPTED_FROM_FIRST = (
    stale_response_first,
    ends_with_the_connection,
    responds_twice,
)  # With the body `mine`.


@pytest.mark.parametrize(
    ("reply", "idempotent_status", "other_status"), CASES, ids=[case[0].__name__ for case in CASES]
)
def test_each_ending_at_the_first_backend_for_idempotent_and_other_requests(
    reply, idempotent_status, other_status
):
    async def scenario():
        first, second = scripted(reply), scripted(succeed)
        async with ProxyRig(first, second) as rig:
            rig.proxy.routing.find(b"books.example", b"/read/")
            for _ in range(20):  # So that the retry budget allows a retry.
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            for path, expected_status in (("/read/", idempotent_status), ("/write/", other_status)):
                instances = rig.proxy.backend_view.instances
                instances["i-1"].in_flight = 5  # Full, so that the other is picked.
                before = len(second.request_heads)
                status, head, body = await rig.request(
                    path, "PUT", b"x", attempt_id=path.strip("/"), remaining_ms=400
                )
                assert status == expected_status, path
                assert (status != 200) == (b"x-server-seal" not in head)
                good_body = b"mine" if reply in ACCEPTED_FROM_FIRST else b"read:x"
                assert body == {200: good_body, 500: b"own"}.get(status, b"")
                is_retried = expected_status == 200 and reply not in (succeed, *ACCEPTED_FROM_FIRST)
                assert len(second.request_heads) - before == is_retried
                first_instance = instances["i-0"]
                first_instance.backoff_ns = first_instance.recent_results[1] = 0
                first_instance.queue_length = 0

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/read/", "/write/"])
def test_backend_that_responds_early_reads_only_the_rest_of_that_body(path):
    """The backend responds as soon as it has the head, and reads the body after that."""
    bodies_read = list[bytes]()  # What was read where a body was due.

    async def scenario():
        rig = ProxyRig(succeed)

        async def respond_early(reader, writer):
            backend = rig.backends[0]
            backend.connections += 1
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    request_line, _, headers = head.partition(b"\r\n")
                    head = request_line + b"\r\n" + headers.lower()
                    backend.request_heads.append(head)
                    writer.write(response(head, body=b"soon"))
                    await writer.drain()
                    length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
                    read = b""
                    while len(read) < length and (part := await reader.read(length - len(read))):
                        read += part
                    bodies_read.append(read)
            writer.close()

        rig.backends[0]._serve = respond_early
        bodies = [bytes([number]) * 400_000 for number in (1, 2, 3)]
        async with rig:
            for body in bodies:
                assert (await rig.request(path, "PUT", body=body, remaining_ms=2000))[::2] == (200, b"soon")
        assert len(rig.backends[0].request_heads) == 3
        for read in bodies_read:
            assert read in (body[: len(read)] for body in bodies)

    run_scenario(scenario)
    assert bodies_read


def test_status_tells_whether_the_request_may_have_been_executed():
    async def scenario():
        async with ProxyRig(reject_full, reject_full) as rig:
            rig.proxy.budget("loans").record_request(0)
            status, head, _ = await rig.request("/write/", "POST", b"x")
            assert status == 503 and b"retry-after: 0.1" in head
        async with ProxyRig(silent) as rig:
            started_at = rig.proxy.monotonic_ns()
            assert (await rig.request("/write/", "POST", b"x", remaining_ms=120))[0] == 504
            assert rig.proxy.monotonic_ns() - started_at < 400_000_000
            assert await rig.request(remaining_ms=0) and not rig.proxy.backend_view.instances["i-0"].in_flight
        async with ProxyRig(succeed) as rig:
            rig.backends[0].server.close()
            await rig.backends[0].server.wait_closed()
            assert (await rig.request("/write/", "POST", b"x"))[0] == 503
            assert (await rig.request("/write/", extra=f"Content-Length: {1 << 40}\r\n"))[0] == 413
            assert (await rig.request("/write/", remaining_ms=90, extra="Content-Length: 9\r\n"))[0] == 408
            assert (await rig.request("/none/", "POST", b"x" * 1000))[0] == 404
            assert (await rig.request(attempt_id=""))[0] == 400

    run_scenario(scenario)


def test_hedged_attempt_beside_a_silent_backend_does_not_cancel_the_first():
    async def scenario():
        async with ProxyRig(silent, succeed) as rig:
            for _ in range(20):
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            rig.proxy.backend_view.instances["i-1"].in_flight = 5
            started_at = rig.proxy.monotonic_ns()
            assert (await rig.request(remaining_ms=700))[0] == 200
            assert rig.proxy.monotonic_ns() - started_at < 500_000_000
            assert rig.proxy.is_idle() and not rig.backends[0].connection_ended.is_set()
            await rig.backends[0].connection_ended.wait()  # At the deadline.
            assert rig.proxy.monotonic_ns() - started_at > 600_000_000
            assert (
                rig.proxy.backend_view.instances["i-0"].backoff_ns
                and not rig.proxy.backend_view.instances["i-0"].in_flight
            )

    run_scenario(scenario)


def test_distribution_goes_by_weight_among_services_with_backends():
    shares = [{"Service": "loans", "Weight": 1}, {"Service": "maps", "Weight": 99}]
    items = ItemUpdate((route("r", "/read/", Service=None, Distribution=shares), *SERVICES), True)

    async def scenario():
        async with ProxyRig(succeed, items=items) as rig:
            assert {(await rig.request())[0] for _ in range(5)} == {200}
            rig.proxy.handle_message(BackendUpdate((backend_record("m", service="maps"),), (), False))
            assert {(await rig.request())[0] for _ in range(5)} == {503}  # Nothing listens at its address.
            assert rig.proxy.take_report(1 << 62).requests == {"loans": 5, "maps": 5}

    run_scenario(scenario)


def test_non_idempotent_requests_avoid_connections_with_extra_bytes_or_little_time_left():
    async def extra(head, body, writer):
        return response(head) + (response(head, body=b"twice") if b"/read/extra" in head else b"")

    async def scenario():
        async with ProxyRig(extra) as rig:
            monotonic_ns = rig.proxy.monotonic_ns
            assert (await rig.request("/read/extra"))[0] == 200
            assert (await rig.request("/write/"))[2] == b"read" and rig.backends[0].connections == 2
            assert (await rig.request("/write/"))[0] == 200 and rig.backends[0].connections == 3
            rig.proxy.connections._monotonic_ns = lambda: monotonic_ns() + 6_000_000_000
            assert (await rig.request("/write/"))[0] == 200 and rig.backends[0].connections == 4
            fixed = monotonic_ns() + 9_000_000_000
            rig.proxy.connections._monotonic_ns = lambda: fixed  # Idle for 3 s of the 4 s that it is kept.
            assert (await rig.request("/write/"))[0] == 200 and rig.backends[0].connections == 5
            assert (await rig.request("/read/"))[0] == 200 and rig.backends[0].connections == 5
            rig.proxy.connections._monotonic_ns = lambda: fixed + 3_700_000_000
            assert (await rig.request("/read/"))[0] == 200 and rig.backends[0].connections == 6

    run_scenario(scenario)


def test_idle_connection_that_the_backend_closed_is_not_used():
    async def closing(head, body, writer):
        writer.write(response(head))
        await writer.drain()
        writer.close()
        return b""

    async def scenario():
        async with ProxyRig(closing) as rig:
            for _ in range(3):
                assert (await rig.request("/write/"))[0] == 200
            assert not rig.proxy.backend_view.instances["i-0"].failures

    run_scenario(scenario)


def test_retries_are_charged_to_the_budget_unless_they_were_not_sent():
    async def scenario():
        second = scripted(succeed)
        async with ProxyRig(close_without_response, second) as rig:
            rig.proxy.backend_view.instances["i-1"].in_flight = 5
            assert (await rig.request())[0] == 502 and not second.request_heads
            budget, now = rig.proxy.budget("loans"), rig.proxy.monotonic_ns()
            for _ in range(6):
                budget.record_request(now)  # Enough for one retry.
            rig.backends[1].server.close()
            rig.proxy.backend_view.instances["i-0"].backoff_ns = 0
            assert (await rig.request())[0] == 502
            assert budget.take(rig.proxy.monotonic_ns()) and not budget.take(rig.proxy.monotonic_ns())
        async with ProxyRig(close_without_response, second) as rig:
            rig.proxy.backend_view.instances["i-1"].in_flight = 5
            for _ in range(6):
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            assert (await rig.request())[0] == 200
            assert not rig.proxy.budget("loans").take(rig.proxy.monotonic_ns())

    run_scenario(scenario)


def test_nothing_is_sent_to_a_backend_that_drains_during_the_connect():
    async def scenario():
        first, second = scripted(succeed), scripted(succeed)
        async with ProxyRig(first, second) as rig:
            rig.proxy.backend_view.instances["i-1"].in_flight = 5
            connect = rig.proxy.connections.connect

            async def connect_while_it_drains(instance, timeout_s):
                connection = await connect(instance, timeout_s)
                rig.proxy.handle_message(ItemUpdate((Item(INSTANCE, "i-0", (1, ""), b"{}"),), False))
                return connection

            rig.proxy.connections.connect = connect_while_it_drains
            assert (await rig.request("/write/"))[0] == 200
            assert (len(first.request_heads), len(second.request_heads)) == (0, 1)

    run_scenario(scenario)


def test_reset_while_others_are_served_means_full_rather_than_dead():
    async def reset_some(head, body, writer):
        await asyncio.sleep(0.3 if b"/slow" in head else 0)
        return None if b"/reset" in head else response(head)

    async def scenario():
        async with ProxyRig(reset_some) as rig:
            instance = rig.proxy.backend_view.instances["i-0"]
            slow, lost = await asyncio.gather(rig.request("/write/slow"), rig.request("/write/slow/reset"))
            assert (
                (slow[0], lost[0]) == (200, 502)
                and instance.backoff_ns == 0
                and instance.is_full(rig.proxy.monotonic_ns())
            )
            # The disconnect watch of the slow request must not affect the connection, which is idle again.
            assert (await rig.request())[0] == 200 and rig.backends[0].connections == 2
            await rig.request("/read/reset")
            assert instance.backoff_ns > 0

    run_scenario(scenario)


def test_client_disconnect_ends_the_attempt_and_draining_proxy_closes_connections():
    async def scenario():
        async with ProxyRig(scripted(silent, succeed)) as rig:
            _, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            writer.write(b"GET /write/ HTTP/1.1\r\nHost: books.example\r\nX-Attempt-Id: a\r\n\r\n")
            while not rig.backends[0].request_heads:
                await asyncio.sleep(0.01)
            assert not rig.proxy.is_idle()
            writer.close()
            while not rig.proxy.is_idle():
                await asyncio.sleep(0.01)
            instance = rig.proxy.backend_view.instances["i-0"]
            assert (instance.in_flight, instance.backoff_ns, instance.failures) == (0, 0, 0)
            rig.proxy.start_draining()
            status, head, _ = await rig.request("/read/")
            assert status == 200 and b"\r\nconnection: close" in head
            messages = []

            async def send(message):
                messages.append(message)

            for draining in (False, True):
                rig.proxy.draining = draining
                await rig.proxy(
                    {"type": "http", "server": ("", 2), "raw_path": b"/ambershift/readiness"}, None, send
                )
            assert [message["status"] for message in messages if "status" in message] == [200, 503]

    run_scenario(scenario)
