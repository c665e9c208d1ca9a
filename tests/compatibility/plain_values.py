"""What the programs read from settings files, by position and without a name of the program."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from ambershift.coordinator.program import configuration
from ambershift.coordinator.settings import model
from ambershift.system.settings import process_settings


def plain(value: Any) -> Any:
    """Turn records into lists of their fields' values in order, enums into their values."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Mapping):
        return {str(key): plain(one) for key, one in value.items()}
    if isinstance(value, list | tuple | frozenset | set):
        ordered = sorted(value) if isinstance(value, frozenset | set) else value
        return [plain(one) for one in ordered]
    if value is msgspec.UNSET:
        return "unset"
    return value


def read_all(folder: Path) -> dict[str, Any]:
    """Read each settings file of a folder by the program that it belongs to."""
    start = configuration.load({"BALANCER_CONFIG": str(folder / "coordinator.json")})
    return {
        "control": plain(process_settings.read_settings(str(folder / "control.toml")))[1:],
        "proxy": plain(process_settings.read_settings(str(folder / "proxy.toml")))[1:],
        "coordinator": plain(start),
        "own": plain(model.read_file(str(folder / "coordinator.hcl"))),
    }
