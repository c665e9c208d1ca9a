"""Requests that come before a proxy has its first items."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ambershift.system.messages.proxy_link import ItemUpdate
from ambershift.system.proxy import bounded_event, request_handler
from tests.support import proxy_rig


@pytest.mark.parametrize("most", [200, 0])
def test_request_waits_a_moment_at_a_proxy_that_has_just_started(
    monkeypatch: pytest.MonkeyPatch, most: int
) -> None:
    monkeypatch.setattr(request_handler, "WAIT", 10.0)
    monkeypatch.setattr(bounded_event, "MOST", most)

    async def playing() -> None:
        async def well(head: bytes, body: bytes, writer: Any) -> bytes:
            return proxy_rig.answer(head)

        async with proxy_rig.Rig(well, items=ItemUpdate(proxy_rig.PLAIN.items, False)) as rig:
            heads = rig.shelves[0].heads
            asked = asyncio.ensure_future(rig.ask())
            if most:
                while not rig.proxy.admission.in_flight:
                    await asyncio.sleep(0)
                assert not heads
                rig.proxy.handle_message(ItemUpdate((), True))
            status, head, _ = await asked
            assert (status, b"retry-after" in head) == ((200, False) if most else (503, True))
            if not most:
                monkeypatch.setattr(bounded_event, "MOST", 1)
                monkeypatch.setattr(request_handler, "WAIT", 0.0)
                assert (await rig.ask())[0] == 503 and not heads

    proxy_rig.run(playing)
