"""What the stand-ins share: settings of a small world, lists of servers, and waiting for something."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "play", "on_time": 500.0, "deadline": 2000.0, "effect": "free", "worth": 1.0},
        {"name": "slip", "on_time": 500.0, "deadline": 2000.0, "effect": "single_shot", "worth": 3.0},
    ],
    "zones": ["east", "west"],
    "discovery": "subscribe",
    "family_info": {
        "egress_per_s": 1000.0,
        "most_waiting": 2000.0,
        "per_message": 3.0,
        "proxies": 8,
        "admit": "fraction",
        "late": 100.0,
        "push_delay_max": 200.0,
    },
    "limits": {"may_probe": True, "dial_timeout": 250.0},
    "report": {"fields": ["util"], "via": "piggyback"},
    "rules": {"ask_within": 2000.0, "cold": 1000.0, "cold_share": 0.3, "stop_sending_within": 3000.0},
}


def server(number: int, state: str = "up") -> dict[str, Any]:
    return {
        "id": f"s-{number}",
        "addr": f"127.0.0.1:{9000 + number}",
        "zone": ["east", "west"][number % 2],
        "kind": "m2",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def listing(version: int, *servers: dict[str, Any], full: bool = True) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": list(servers)}


async def until(what: Callable[[], Any], limit: float = 10.0) -> Any:
    async with asyncio.timeout(limit):
        while not (found := what()):
            await asyncio.sleep(0.01)
    return found
