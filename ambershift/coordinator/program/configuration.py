"""Reads the configuration file of a coordinator."""

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
RELOADABLE_KEYS = {"discovery", "relay"}
SEED_BITS = 64


class ConfigurationError(Exception):
    """The coordinator can't start with its configuration; the message names the key."""


class CoordinatorConfig(NamedTuple):
    """The configuration of a coordinator; `fixed_keys` is what a reload doesn't change, as in the file."""

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
    """What a reload changes, and the changed keys that it ignores."""

    discovery: str
    relay: str
    ignored_keys: list[str]


def load(environment: Mapping[str, str]) -> CoordinatorConfig:
    """Read and check the file that the environment names.

    Raises:
        ConfigurationError: The file can't be read, or its content is invalid.
    """
    return build(read_json(environment))


def reload(environment: Mapping[str, str], config: CoordinatorConfig) -> ReloadedConfig:
    """Read the file again; other changes than those of addresses are ignored, and don't hold these up.

    Raises:
        ConfigurationError: The file can't be read, or an address in it is invalid.
    """
    found = read_json(environment)
    ignored_keys = sorted(
        key
        for key in (found.keys() | config.fixed_keys.keys()) - RELOADABLE_KEYS
        if found.get(key) != config.fixed_keys.get(key)
    )
    return ReloadedConfig(*addresses(found), ignored_keys)


def read_json(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the JSON object in the file that the environment names.

    Raises:
        ConfigurationError: There is none.
    """
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigurationError(f"{CONFIG_VARIABLE} is not set")
    try:
        found = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: can't be read ({error.strerror})") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: not JSON ({error})") from None
    if not isinstance(found, dict):
        raise ConfigurationError(f"{CONFIG_VARIABLE}: not an object")
    return found


def build(found: dict[str, Any]) -> CoordinatorConfig:
    """Check the content of a configuration file.

    Raises:
        ConfigurationError: It is invalid.
    """
    try:
        initial_listing = discovery.from_json(required(found, "known", dict))
    except UnreadableError as error:
        raise ConfigurationError(f"key 'known': {error}") from None
    settings = required(found, "settings", dict)
    try:
        policy_settings, front_settings = read_policy_settings(settings), read_front_settings(settings)
    except PolicySettingsError as error:
        raise ConfigurationError(str(error)) from None
    seed_text = required(found, "seed", str)
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise ConfigurationError("key 'seed' is no hexadecimal number") from None
    limits = required(found, "limits", dict)
    max_sockets = required(limits, "sockets", int, "limits.")
    memory_mb = float(required(limits, "memory_mb", (int, float), "limits."))
    name, listen = required(found, "name", str), address(found, "listen")
    return CoordinatorConfig(
        name,
        listen,
        *addresses(found),
        seed % (1 << SEED_BITS),
        max_sockets,
        memory_mb,
        initial_listing,
        policy_settings,
        front_settings,
        fixed_keys={key: value for key, value in found.items() if key not in RELOADABLE_KEYS},
    )


def addresses(found: Mapping[str, Any]) -> tuple[str, str]:
    """Return the addresses of the discovery service and of the relay.

    Raises:
        ConfigurationError: One is missing or invalid.
    """
    return address(found, "discovery"), address(required(found, "relay", dict), "address", "relay.")


def required(found: Mapping[str, Any], key: str, kind: type | tuple[type, ...], prefix: str = "") -> Any:
    """Return the value of a key; `prefix` names the object that holds it, for the message.

    Raises:
        ConfigurationError: The key is missing, or its value has another type.
    """
    if key not in found:
        raise ConfigurationError(f"key '{prefix}{key}' is missing")
    if not isinstance(found[key], kind) or isinstance(found[key], bool):
        raise ConfigurationError(f"key '{prefix}{key}' is of the wrong type")
    return found[key]


def address(found: Mapping[str, Any], key: str, prefix: str = "") -> str:
    """Return the value of a key that is an address.

    Raises:
        ConfigurationError: The key is missing, or its value is no address.
    """
    text: str = required(found, key, str, prefix)
    try:
        split_address(text)
    except ValueError as error:
        raise ConfigurationError(f"key '{prefix}{key}': {error}") from None
    return text
