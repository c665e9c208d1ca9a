"""The settings of a control node, as tests need them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ambershift.system.settings.local import Bounds, Local


def control_node_settings(ip: str, **changed: Any) -> Local:
    """What the control node at `ip` is told; `changed` replaces fields."""
    plain = Local(
        file="",
        name=ip,
        machine_class="core",
        ip=ip,
        zone="z",
        region="r",
        counted=True,
        initial=True,
        folder=None,
        internal=(7000, 7001),
        seeds=(),
        listen={},
        zones={},
        heartbeat=1.5,
        tolerated=(1, 1, 1),
        bounds=Bounds(),
    )
    return replace(plain, **changed)
