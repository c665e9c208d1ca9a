"""Reads the settings file (TOML) and checks the keys that this program needs."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

VARIABLE = "AMBERSHIFT_SETTINGS"


@dataclass(eq=False)
class SettingsError(Exception):
    """The settings can't be used.

    Attributes:
        file: The file's path.
        key: The dotted key; empty if the file can't be read at all.
        reason: What is wrong, as the predicate of a sentence: "is missing".
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """One sentence with file, key and reason."""
        return f"{self.file}: key '{self.key}': {self.reason}"


@dataclass(frozen=True, slots=True)
class TimerBounds:
    """The platform's bounds (`Provisions.TimerBounds`). Times are in seconds, whatever a key's unit."""

    contact: float = 4.0
    acknowledge: float = 6.0
    catch_up: float = 4.0
    drain: float = 3.0
    grace: float = 6.0
    config_apply: float = 3.0
    evacuation: float = 5.0
    reuse_hold: float = 2.0
    history: float = 20.0
    release: float = 1.5
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 0.0
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    ttl_most: float = 5.0


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """The settings of one process. Addresses are "ip:port".

    Attributes:
        file: The path that the settings were read from.
        ip: This machine's ip on the internal network.
        counted: The setting `SelfEntity.Counted`.
        initial: Whether this control node belongs to the first voters.
        folder: The data directory; None if the process stores nothing.
        internal: The internal ports; links use the first one.
        seeds: Addresses of control nodes to start from.
        listen: The address to listen at, by what is served there.
        zones: The region of each zone.
        heartbeat: Seconds between the heartbeats of a backend.
        tolerated: How many machines, zones and regions may be lost at the same time.
    """

    file: str
    name: str
    machine_class: str
    ip: str
    zone: str
    region: str
    counted: bool
    initial: bool
    data_directory: str | None
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    listen_addresses: Mapping[str, str]
    zones: Mapping[str, str]
    heartbeat_interval_s: float
    tolerated_losses: tuple[int, int, int]
    bounds: TimerBounds

    @property
    def seed_ips(self) -> tuple[str, ...]:
        """The ips of the seeds."""
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)


# Key in `TimerBounds`, field of `Bounds`, and the key's unit in seconds (1 also for plain numbers).
BOUNDS = (
    ("ContactMs", "contact", 1e-3),
    ("AckMs", "acknowledge", 1e-3),
    ("CatchUpS", "catch_up", 1),
    ("DrainMs", "drain", 1e-3),
    ("GraceS", "grace", 1),
    ("ConfigApplyMs", "config_apply", 1e-3),
    ("EvacuationMs", "evacuation", 1e-3),
    ("ReuseHoldS", "reuse_hold", 1),
    ("HistoryS", "history", 1),
    ("ReleaseMs", "release", 1e-3),
    ("RetryRatio", "retry_ratio", 1),
    ("RetryWindowS", "retry_window", 1),
    ("RetrySlack", "retry_slack", 1),
    ("ColdOverrun", "cold_overrun", 1),
    ("ColdSlack", "cold_slack", 1),
    ("ttl_max_s", "ttl_most", 1),
)


class Reader:
    """Reads values from nested tables, with file and key in each error."""

    def __init__(self, file: str, found: Mapping[str, Any]) -> None:
        self.file, self.found = file, found

    def take(self, key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        """The value at a dotted key.

        Args:
            key: The path through the tables, such as "SelfEntity.Zone".
            kind: The accepted types. `true` and `false` are no numbers.
            default: The value if the key is absent; None if it has to be present.

        Raises:
            SettingsError: The key is absent without a default, or its value has another type.
        """
        value: Any = self.found
        for part in key.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        if value is None:
            if default is None:
                raise SettingsError(self.file, key, "is missing")
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise SettingsError(self.file, key, f"is of a wrong kind ({type(value).__name__})")
        return value

    def address(self, key: str, value: Any) -> str:
        """Check an address of the form "ip:port".

        Raises:
            SettingsError: It has another form.
        """
        ip, _, port = str(value).rpartition(":")
        if not ip or not port.isdigit() or not 0 < int(port) < 65536:
            raise SettingsError(self.file, key, "is not an address of the form ip:port")
        return str(value)


def read_settings(file: str) -> ProcessSettings:
    """Read and check a settings file. Unknown keys are ignored.

    Raises:
        SettingsError: The file can't be read, or a key is missing or wrong.
    """
    try:
        found = tomllib.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as why:
        raise SettingsError(file, "", str(why)) from why
    reader = Reader(file, found)
    take = reader.take
    ports = take("Network.InternalPorts", list)
    if len(ports) != 2 or not all(isinstance(port, int) and 0 < port < 65536 for port in ports):
        raise SettingsError(file, "Network.InternalPorts", "is not a pair of ports")
    number = (int, float)
    bounds = {}
    for key, name, unit in BOUNDS:
        value = take(f"Provisions.TimerBounds.{key}", number, -1)
        if value >= 0:
            bounds[name] = value * unit
    listen = {
        key: reader.address(f"Network.Listen.{key}", value)
        for key, value in take("Network.Listen", dict).items()
    }
    return ProcessSettings(
        file=file,
        name=take("SelfEntity.NodeName", str),
        machine_class=take("SelfEntity.MachineClass", str),
        ip=take("SelfEntity.IpAddress", str),
        zone=take("SelfEntity.Zone", str),
        region=take("SelfEntity.Region", str),
        counted=take("SelfEntity.Counted", bool, False),
        initial=take("SelfEntity.InitialStart", bool, False),
        data_directory=take("SelfEntity.DataDirectory", str, "") or None,
        internal_ports=(ports[0], ports[1]),
        seeds=tuple(reader.address("Network.SeedNodes", one) for one in take("Network.SeedNodes", list)),
        listen_addresses=listen,
        zones=dict(take("Network.Zones", dict)),
        heartbeat_interval_s=take("Platform.HeartbeatMs", number, 1500) / 1000,
        tolerated_losses=(
            take("Provisions.Tolerance.Machines", int, 0),
            take("Provisions.Tolerance.Zones", int, 0),
            take("Provisions.Tolerance.Regions", int, 0),
        ),
        bounds=TimerBounds(**bounds),
    )
