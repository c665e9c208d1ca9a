"""Reads the settings file (TOML) and checks the keys that this program needs."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SETTINGS_VARIABLE = "AMBERSHIFT_SETTINGS"  # Environment variable with the path of the file.
MAX_PORT = 65535
INTERNAL_PORT_COUNT = 2


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
        name: The setting `SelfEntity.NodeName`.
        machine_class: The setting `SelfEntity.MachineClass`.
        ip: This machine's ip on the internal network.
        counted: The setting `SelfEntity.Counted`.
        initial: Whether this control node belongs to the first voters.
        data_directory: The data directory; None if the process stores nothing.
        internal_ports: The internal ports; links use the first one.
        seeds: Addresses of control nodes to start from.
        listen_addresses: The address to listen at, by what is served there.
        zones: The region of each zone.
        heartbeat_interval_s: Seconds between the heartbeats of a backend.
        tolerated_losses: How many machines, zones and regions may be lost at the same time.
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


# Key in `Provisions.TimerBounds`, field of `TimerBounds`, and the key's unit in seconds (1 also for plain
# numbers).
TIMER_BOUND_KEYS = (
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


class SettingsReader:
    """Reads values from nested tables, with file and key in each error.

    Attributes:
        file: The path of the file.
        tables: What the file contains.
    """

    def __init__(self, file: str, tables: Mapping[str, Any]) -> None:
        """Read from these tables."""
        self.file = file
        self.tables = tables

    def value(self, key: str, accepted: type | tuple[type, ...], default: Any = None) -> Any:
        """The value at a dotted key.

        Args:
            key: The path through the tables, such as "SelfEntity.Zone".
            accepted: The accepted types. `true` and `false` are no numbers.
            default: The value if the key is absent; None if it has to be present.

        Raises:
            SettingsError: The key is absent without a default, or its value has another type.
        """
        value: Any = self.tables
        for part in key.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        if value is None:
            if default is None:
                raise SettingsError(self.file, key, "is missing")
            return default
        if not isinstance(value, accepted) or (isinstance(value, bool) and accepted is not bool):
            raise SettingsError(self.file, key, f"has the wrong type ({type(value).__name__})")
        return value

    def address(self, key: str, value: Any) -> str:
        """Check an address of the form "ip:port".

        Raises:
            SettingsError: It has another form.
        """
        ip, _, port = str(value).rpartition(":")
        if not ip or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise SettingsError(self.file, key, "is not an address of the form ip:port")
        return str(value)


def read_settings(file: str) -> ProcessSettings:
    """Read and check a settings file. Unknown keys are ignored.

    Raises:
        SettingsError: The file can't be read, or a key is missing or wrong.
    """
    try:
        tables = tomllib.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(file, "", str(error)) from error
    reader = SettingsReader(file, tables)
    value_of = reader.value
    ports = value_of("Network.InternalPorts", list)
    if len(ports) != INTERNAL_PORT_COUNT or not all(
        isinstance(port, int) and 0 < port <= MAX_PORT for port in ports
    ):
        raise SettingsError(file, "Network.InternalPorts", "is not a pair of ports")
    number = (int, float)
    bounds = {}
    for key, field_name, unit_s in TIMER_BOUND_KEYS:
        value = value_of(f"Provisions.TimerBounds.{key}", number, -1)
        if value >= 0:
            bounds[field_name] = value * unit_s
    listen_addresses = {
        key: reader.address(f"Network.Listen.{key}", value)
        for key, value in value_of("Network.Listen", dict).items()
    }
    return ProcessSettings(
        file=file,
        name=value_of("SelfEntity.NodeName", str),
        machine_class=value_of("SelfEntity.MachineClass", str),
        ip=value_of("SelfEntity.IpAddress", str),
        zone=value_of("SelfEntity.Zone", str),
        region=value_of("SelfEntity.Region", str),
        counted=value_of("SelfEntity.Counted", bool, False),
        initial=value_of("SelfEntity.InitialStart", bool, False),
        data_directory=value_of("SelfEntity.DataDirectory", str, "") or None,
        internal_ports=(ports[0], ports[1]),
        seeds=tuple(
            reader.address("Network.SeedNodes", seed) for seed in value_of("Network.SeedNodes", list)
        ),
        listen_addresses=listen_addresses,
        zones=dict(value_of("Network.Zones", dict)),
        heartbeat_interval_s=value_of("Platform.HeartbeatMs", number, 1500) / 1000,
        tolerated_losses=(
            value_of("Provisions.Tolerance.Machines", int, 0),
            value_of("Provisions.Tolerance.Zones", int, 0),
            value_of("Provisions.Tolerance.Regions", int, 0),
        ),
        bounds=TimerBounds(**bounds),
    )
