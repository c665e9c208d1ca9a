"""Reads what a coordinator is told at its start."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from ambershift import interface as api
from ambershift.coordinator.protocol import discovery
from ambershift.coordinator.protocol.words import UnreadableError
from ambershift.coordinator.transport.dialler import split_address
from ambershift.policy_settings import (
    FrontSettings,
    PolicySettingsError,
    read_front_settings,
    read_policy_settings,
)

PLACE = "BALANCER_CONFIG"


class BadStartError(Exception):
    """The program can't start with what it was told; the message names the key."""


class Start(NamedTuple):
    name: str
    listen: str
    discovery: str
    relay: str
    seed: int
    sockets: int
    memory_mb: float
    known: discovery.Listing
    terms: api.PolicySettings
    names: FrontSettings
    fixed: dict[str, Any]


class Moved(NamedTuple):
    """What a configuration read anew can change, and the keys in which it differs for nothing."""

    discovery: str
    relay: str
    unheeded: list[str]


MOVING = {"discovery", "relay"}


def read(environment: Mapping[str, str]) -> Start:
    return build(load(environment))


def reread(environment: Mapping[str, str], start: Start) -> Moved:
    """Only the addresses can move in a program that runs; that nothing else can must not hold them up."""
    found = load(environment)
    unheeded = sorted(
        key for key in (found.keys() | start.fixed.keys()) - MOVING if found.get(key) != start.fixed.get(key)
    )
    return Moved(*addresses(found), unheeded)


def load(environment: Mapping[str, str]) -> dict[str, Any]:
    place = environment.get(PLACE)
    if not place:
        raise BadStartError(f"{PLACE} is not set")
    try:
        found = orjson.loads(Path(place).read_bytes())
    except OSError as error:
        raise BadStartError(f"{PLACE}: can't be read ({error.strerror})") from None
    except orjson.JSONDecodeError as error:
        raise BadStartError(f"{PLACE}: not JSON ({error})") from None
    if not isinstance(found, dict):
        raise BadStartError(f"{PLACE}: not an object")
    return found


def build(found: dict[str, Any]) -> Start:
    try:
        known = discovery.build(needed(found, "known", dict))
    except UnreadableError as error:
        raise BadStartError(f"key 'known': {error}") from None
    settings = needed(found, "settings", dict)
    try:
        terms, names = read_policy_settings(settings), read_front_settings(settings)
    except PolicySettingsError as error:
        raise BadStartError(str(error)) from None
    seed = needed(found, "seed", str)
    try:
        number = int(seed, 16)
    except ValueError:
        raise BadStartError("key 'seed' is no hexadecimal number") from None
    limits = needed(found, "limits", dict)
    sockets = needed(limits, "sockets", int, "limits.")
    memory_mb = float(needed(limits, "memory_mb", (int, float), "limits."))
    name, listen = needed(found, "name", str), address(found, "listen")
    return Start(
        name,
        listen,
        *addresses(found),
        number % (1 << 64),
        sockets,
        memory_mb,
        known,
        terms,
        names,
        fixed={key: value for key, value in found.items() if key not in MOVING},
    )


def addresses(found: Mapping[str, Any]) -> tuple[str, str]:
    return address(found, "discovery"), address(needed(found, "relay", dict), "address", "relay.")


def needed(found: Mapping[str, Any], key: str, kind: type | tuple[type, ...], where: str = "") -> Any:
    if key not in found:
        raise BadStartError(f"key '{where}{key}' is missing")
    if not isinstance(found[key], kind) or isinstance(found[key], bool):
        raise BadStartError(f"key '{where}{key}' is of the wrong type")
    return found[key]


def address(found: Mapping[str, Any], key: str, where: str = "") -> str:
    text: str = needed(found, key, str, where)
    try:
        split_address(text)
    except ValueError as error:
        raise BadStartError(f"key '{where}{key}': {error}") from None
    return text
