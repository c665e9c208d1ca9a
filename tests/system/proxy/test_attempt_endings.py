"""Endings of tries, on sockets: silence at each stage, and each pair of endings with three attempts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest

from ambershift.system.messages.proxy_link import ItemUpdate
from tests.support.proxy_rig import SERVICES, ProxyRig, Script, response, route, run_scenario

WANTED = b"read"


async def good(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes:
    return response(head, body=WANTED)


# Silence, so long that nobody waits for its end.


def silent_after(size: Callable[[bytes], int]) -> Script:
    """`size` says how many bytes of an answer come before the silence."""

    async def script(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes:
        whole = response(head, body=b"lost")
        writer.write(whole[: size(whole)])
        await writer.drain()
        return b""

    return script


STAGES: dict[str, Callable[[bytes], int]] = {
    "before the head": lambda whole: 0,
    "in the head": lambda whole: 40,
    "at the end of the head": lambda whole: whole.index(b"\r\n\r\n") + 2,
    "before the body": lambda whole: whole.index(b"\r\n\r\n") + 4,
    "in the body": lambda whole: len(whole) - 2,
}


@pytest.mark.parametrize("stage", STAGES)
@pytest.mark.parametrize(("path", "status"), [("/read/", 200), ("/write/", 504)])
def test_only_idempotent_requests_are_retried_after_a_silent_backend(
    stage: str, path: str, status: int
) -> None:
    async def scenario() -> None:
        arrivals = list[int]()

        def counted(number: int, script: Script) -> Script:
            async def do(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes | None:
                arrivals.append(number)
                return await script(head, body, writer)

            return do

        silent, well = counted(0, silent_after(STAGES[stage])), counted(1, good)
        async with ProxyRig(silent, well) as rig:
            for _ in range(20):  # So that the budget allows a further try.
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            rig.proxy.backend_view.instances["i-1"].in_flight = 5  # Full: the first one is picked.
            found, head, body = await rig.request(path, "PUT", b"x", remaining_ms=1200)
            assert found == status and arrivals == ([0, 1] if status == 200 else [0])
            assert body == (WANTED if status == 200 else b"")
            assert (b"x-server-seal" in head) == (status == 200)

    run_scenario(scenario)


# Pairs of endings, then a good answer.

Ending = Callable[[bytes], Awaitable[bytes | None]]


async def closes(head: bytes) -> bytes | None:
    return None


async def not_run_full(head: bytes) -> bytes:
    return response(head, 503, b"", b"X-Not-Executed: full\r\n")


async def not_run_rate(head: bytes) -> bytes:
    return response(head, 429, b"", b"X-Not-Executed: rate\r\n")


async def not_here(head: bytes) -> bytes:
    return response(head, 421, b"")


async def unproved_full(head: bytes) -> bytes:
    return response(head, 503, b"")


async def fails(head: bytes) -> bytes:
    return response(head, 500, b"own")


async def no_answer(head: bytes) -> bytes:
    return b"\x00\x01 no answer\r\n\r\n"


# What a request that runs once at most is told after each; None: it is proved not to have run.
ENDINGS: dict[Ending, int | None] = {
    closes: 502,
    not_run_full: None,
    not_run_rate: None,
    not_here: None,
    unproved_full: 502,
    fails: 500,
    no_answer: 502,
}
THREE = {"MaxAttempts": 3}
ITEMS = ItemUpdate(
    (route("r1", "/read/", **THREE), route("w1", "/write/", "non_idempotent", **THREE), *SERVICES), True
)


@pytest.mark.parametrize("first", ENDINGS, ids=lambda one: one.__name__)
def test_each_pair_of_endings_before_a_successful_response(first: Ending) -> None:
    async def scenario(second: Ending, path: str) -> None:
        arrivals = list[bytes]()
        turns = [first, second]

        async def script(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes | None:
            arrivals.append(head)
            return await turns[len(arrivals) - 1](head) if len(arrivals) <= 2 else response(head, body=WANTED)

        async with ProxyRig(script, script, script, items=ITEMS) as rig:
            for _ in range(40):
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            status, _, body = await rig.request(path, "PUT", b"x", remaining_ms=1200)
        tried = [first, second]
        wanted, many = 200, 3
        if path == "/write/" and ENDINGS[first] is not None:
            wanted, many = ENDINGS[first] or 0, 1
        elif path == "/write/" and ENDINGS[second] is not None:
            wanted, many = ENDINGS[second] or 0, 2
        assert (status, len(arrivals)) == (wanted, many), (path, [one.__name__ for one in tried])
        assert body == {200: WANTED, 500: b"own"}.get(status, b"")
        assert len({head.partition(b"x-target-instance: ")[2][:3] for head in arrivals}) == many

    for second, path in itertools.product(ENDINGS, ("/read/", "/write/")):
        run_scenario(lambda second=second, path=path: scenario(second, path))  # type: ignore[misc]


def test_attempts_stop_at_max_attempts() -> None:
    async def scenario(path: str, status: int) -> None:
        arrivals = list[bytes]()

        async def script(head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bytes | None:
            arrivals.append(head)
            return await not_run_full(head)

        async with ProxyRig(script, script, script, script, items=ITEMS) as rig:
            for _ in range(40):
                rig.proxy.budget("loans").record_request(rig.proxy.monotonic_ns())
            found, head, _ = await rig.request(path, "PUT", b"x", remaining_ms=1200)
        assert (found, len(arrivals)) == (status, 3) and b"retry-after" in head

    for path in ("/read/", "/write/"):
        run_scenario(lambda path=path: scenario(path, 503))  # type: ignore[misc]
