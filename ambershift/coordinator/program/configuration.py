"""Reads what a coordinator is told at its start."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from ambershift import interface as api
from ambershift.coordinator.protocol import discovery
from ambershift.coordinator.protocol.fields import UnreadableError
from ambershift.coordinator.transport.dialler import split_address
from ambershift.policy_settings import (
    FrontSettings,
    PolicySettingsError,
    read_front_settings,
    read_policy_settings,
)

CONFIG_VARIABLE = "BALANCER_CONFIG"


class ConfigurationError(Exception):
    """The program can't start with what it was told; the message names the key."""


class CoordinatorConfig(NamedTuple):
    name: str
    listen: str
    discovery: str
    relay: str
    seed: int
    max_sockets: int
    memory_mb: float
    initial_listing: discovery.Listing
    policy_settings: api.PolicySettings
    front_settings: FrontSettings
    fixed_keys: dict[str, Any]


class ReloadedConfig(NamedTuple):
    """What a configuration read anew can change, and the keys in which it differs for nothing."""

    discovery: str
    relay: str
    ignored_keys: list[str]


RELOADABLE_KEYS = {"discovery", "relay"}


def load(environment: Mapping[str, str]) -> CoordinatorConfig:
    return build(read_json(environment))


def reload(environment: Mapping[str, str], start: CoordinatorConfig) -> ReloadedConfig:
    """Only the addresses can move in a program that runs; that nothing else can must not hold them up."""
    found = read_json(environment)
    unheeded = sorted(
        key
        for key in (found.keys() | start.fixed_keys.keys()) - RELOADABLE_KEYS
        if found.get(key) != start.fixed_keys.get(key)
    )
    return ReloadedConfig(*addresses(found), unheeded)


def read_json(environment: Mapping[str, str]) -> dict[str, Any]:
    place = environment.get(CONFIG_VARIABLE)
    if not place:
        raise ConfigurationError(f"{CONFIG_VARIABLE} is not set")
    try:
        found = orjson.loads(Path(place).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: can't be read ({error.strerror})") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: not JSON ({error})") from None
    if not isinstance(found, dict):
        raise ConfigurationError(f"{CONFIG_VARIABLE}: not an object")
    return found


def build(found: dict[str, Any]) -> CoordinatorConfig:
    try:
        known = discovery.from_json(needed(found, "known", dict))
    except UnreadableError as error:
        raise ConfigurationError(f"key 'known': {error}") from None
    settings = needed(found, "settings", dict)
    try:
        terms, names = read_policy_settings(settings), read_front_settings(settings)
    except PolicySettingsError as error:
        raise ConfigurationError(str(error)) from None
    seed = needed(found, "seed", str)
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigurationError("key 'seed' is no hexadecimal number") from None
    limits = needed(found, "limits", dict)
    sockets = needed(limits, "sockets", int, "limits.")
    memory_mb = float(needed(limits, "memory_mb", (int, float), "limits."))
    name, listen = needed(found, "name", str), address(found, "listen")
    return CoordinatorConfig(
        name,
        listen,
        *addresses(found),
        number % (1 << 64),
        sockets,
        memory_mb,
        known,
        terms,
        names,
        fixed_keys={key: value for key, value in found.items() if key not in RELOADABLE_KEYS},
    )


def addresses(found: Mapping[str, Any]) -> tuple[str, str]:
    return address(found, "discovery"), address(needed(found, "relay", dict), "address", "relay.")


def needed(found: Mapping[str, Any], key: str, kind: type | tuple[type, ...], where: str = "") -> Any:
    if key not in found:
        raise ConfigurationError(f"key '{where}{key}' is missing")
    if not isinstance(found[key], kind) or isinstance(found[key], bool):
        raise ConfigurationError(f"key '{where}{key}' is of the wrong type")
    return found[key]


def address(found: Mapping[str, Any], key: str, where: str = "") -> str:
    text: str = needed(found, key, str, where)
    try:
        split_address(text)
    except ValueError as error:
        raise ConfigurationError(f"key '{where}{key}': {error}") from None
    return text
