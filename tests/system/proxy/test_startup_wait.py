"""Requests that arrive before a proxy has the complete configuration."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ambershift.system.messages.proxy_link import ItemUpdate
from ambershift.system.proxy import bounded_event, request_handler
from tests.support import proxy_rig


@pytest.mark.parametrize("max_waiters", [200, 0])
def test_request_waits_at_a_proxy_that_has_just_started(
    monkeypatch: pytest.MonkeyPatch, max_waiters: int
) -> None:
    monkeypatch.setattr(request_handler, "STARTUP_WAIT_S", 10.0)
    monkeypatch.setattr(bounded_event, "MAX_WAITERS", max_waiters)

    async def scenario() -> None:
        async def succeed(head: bytes, body: bytes, writer: Any) -> bytes:
            return proxy_rig.response(head)

        async with proxy_rig.ProxyRig(succeed, items=ItemUpdate(proxy_rig.DEFAULT_ITEMS.items, False)) as rig:
            heads = rig.backends[0].request_heads
            request = asyncio.ensure_future(rig.request())
            if max_waiters:
                while not rig.proxy.admission.in_flight:
                    await asyncio.sleep(0)
                assert not heads
                rig.proxy.handle_message(ItemUpdate((), True))
            status, head, _ = await request
            assert (status, b"retry-after" in head) == ((200, False) if max_waiters else (503, True))
            if not max_waiters:
                monkeypatch.setattr(bounded_event, "MAX_WAITERS", 1)
                monkeypatch.setattr(request_handler, "STARTUP_WAIT_S", 0.0)
                assert (await rig.request())[0] == 503 and not heads

    proxy_rig.run_scenario(scenario)
