"""Endings of attempts, on sockets: silence at each stage, and each pair of endings with three attempts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest

from ambershift.system.messages.proxy_link import ItemUpdate
from tests.support.proxy_rig import SERVICES, ProxyRig, Script, response, route, run_scenario

GOOD_BODY = b"read"


async def succeed(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes:
    return response(head, body=GOOD_BODY)


# Silence until the proxy closes the connection.


def silent_after(size_of: Callable[[bytes], int]) -> Script:
    """A backend that sends `size_of(response)` bytes of its response, and then nothing."""

    async def script(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes:
        complete = response(head, body=b"lost")
        writer.write(complete[: size_of(complete)])
        await writer.drain()
        return b""

    return script


BYTES_BEFORE_SILENCE: dict[str, Callable[[bytes], int]] = {
    "before the head": lambda complete: 0,
    "in the head": lambda complete: 40,
    "at the end of the head": lambda complete: complete.index(b"\r\n\r\n") + 2,
    "before the body": lambda complete: complete.index(b"\r\n\r\n") + 4,
    "in the body": lambda complete: len(complete) - 2,
}


@pytest.mark.parametrize("stage", BYTES_BEFORE_SILENCE)
@pytest.mark.parametrize(("path", "status"), [("/read/", 200), ("/write/", 504)])
def test_only_idempotent_requests_are_retried_after_a_silent_backend(
    stage: str, path: str, status: int
) -> None:
    async def scenario() -> None:
        arrivals = list[int]()

        def counted(number: int, script: Script) -> Script:
            async def count(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes | None:
                arrivals.append(number)
                return await script(head, body, writer)

            return count

        silent, good = counted(0, silent_after(BYTES_BEFORE_SILENCE[stage])), counted(1, succeed)
        async with ProxyRig(silent, good) as rig:
            for _ in range(20):  # So that the retry budget allows a retry.
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            rig.proxy.backend_view.instances["i-1"].in_flight = 5  # Full, so that the other is picked.
            found_status, head, body = await rig.request(path, "PUT", b"x", remaining_ms=1200)
            assert found_status == status and arrivals == ([0, 1] if status == 200 else [0])
            assert body == (GOOD_BODY if status == 200 else b"")
            assert (b"x-server-seal" in head) == (status == 200)

    run_scenario(scenario)


# Pairs of endings, and then a successful response.

Ending = Callable[[bytes], Awaitable[bytes | None]]


async def close(head: bytes) -> bytes | None:
    return None


async def reject_full(head: bytes) -> bytes:
    return response(head, 503, b"", b"X-Not-Executed: full\r\n")


async def reject_rate(head: bytes) -> bytes:
    return response(head, 429, b"", b"X-Not-Executed: rate\r\n")


async def misdirected(head: bytes) -> bytes:
    return response(head, 421, b"")


async def full_without_proof(head: bytes) -> bytes:
    return response(head, 503, b"")


async def own_error(head: bytes) -> bytes:
    return response(head, 500, b"own")


async def malformed(head: bytes) -> bytes:
    return b"\x00\x01 no answer\r\n\r\n"


# The status of a request that isn't idempotent after each; None where it is proved not to have been executed.
ENDINGS: dict[Ending, int | None] = {
    close: 502,
    reject_full: None,
    reject_rate: None,
    misdirected: None,
    full_without_proof: 502,
    own_error: 500,
    malformed: 502,
}
THREE_ATTEMPTS = {"MaxAttempts": 3}
ITEMS = ItemUpdate(
    (
        route("r1", "/read/", **THREE_ATTEMPTS),
        route("w1", "/write/", "non_idempotent", **THREE_ATTEMPTS),
        *SERVICES,
    ),
    True,
)


@pytest.mark.parametrize("first", ENDINGS, ids=lambda ending: ending.__name__)
def test_each_pair_of_endings_before_a_successful_response(first: Ending) -> None:
    async def scenario(second: Ending, path: str) -> None:
        arrivals = list[bytes]()  # Heads of the requests.
        endings = [first, second]

        async def script(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes | None:
            arrivals.append(head)
            if len(arrivals) <= 2:
                return await endings[len(arrivals) - 1](head)
            return response(head, body=GOOD_BODY)

        async with ProxyRig(script, script, script, items=ITEMS) as rig:
            for _ in range(40):
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            status, _, body = await rig.request(path, "PUT", b"x", remaining_ms=1200)
        expected_status, expected_attempts = 200, 3
        if path == "/write/" and ENDINGS[first] is not None:
            expected_status, expected_attempts = ENDINGS[first] or 0, 1
        elif path == "/write/" and ENDINGS[second] is not None:
            expected_status, expected_attempts = ENDINGS[second] or 0, 2
        assert (status, len(arrivals)) == (expected_status, expected_attempts), (
            path,
            [ending.__name__ for ending in endings],
        )
        assert body == {200: GOOD_BODY, 500: b"own"}.get(status, b"")
        assert len({head.partition(b"x-target-instance: ")[2][:3] for head in arrivals}) == expected_attempts

    for second, path in itertools.product(ENDINGS, ("/read/", "/write/")):
        run_scenario(lambda second=second, path=path: scenario(second, path))  # type: ignore[misc]


def test_attempts_stop_at_max_attempts() -> None:
    async def scenario(path: str, status: int) -> None:
        arrivals = list[bytes]()

        async def script(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes | None:
            arrivals.append(head)
            return await reject_full(head)

        async with ProxyRig(script, script, script, script, items=ITEMS) as rig:
            for _ in range(40):
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            found_status, head, _ = await rig.request(path, "PUT", b"x", remaining_ms=1200)
        assert (found_status, len(arrivals)) == (status, 3) and b"retry-after" in head

    for path in ("/read/", "/write/"):
        run_scenario(lambda path=path: scenario(path, 503))  # type: ignore[misc]
