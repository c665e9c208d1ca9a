"""Settings of a control node for tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ambershift.system.settings.process_settings import ProcessSettings, TimerBounds


def control_node_settings(ip: str, **changed: Any) -> ProcessSettings:
    """The settings of a control node at `ip`; `changed` replaces fields."""
    defaults = ProcessSettings(
        file="",
        name=ip,
        machine_class="core",
        ip=ip,
        zone="z",
        region="r",
        counted=True,
        initial=True,
        data_directory=None,
        internal_ports=(7000, 7001),
        seeds=(),
        listen_addresses={},
        zones={},
        heartbeat_interval_s=1.5,
        tolerated_losses=(1, 1, 1),
        bounds=TimerBounds(),
    )
    return replace(defaults, **changed)
