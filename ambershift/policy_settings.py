"""Reads the settings that an instance gets at its start: of the decision module, and of a front."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from ambershift import interface as api

NS_PER_MS = 1_000_000


class PolicySettingsError(Exception):
    """Settings that can't be used; the message names the key."""


class FrontSettings(NamedTuple):
    """What a front needs besides the settings of the decision module.

    Attributes:
        zones: Names of the zones, by index.
        groups: Names of the traffic groups, by index.
        load_fields: Names of the loads that servers report.
        proxies: How many proxies there are.
        reports_per_s: How many reports may come in a second.
        may_probe: Whether servers may be probed.
        probe_timeout: The time-out of a probe, ns.
        max_deadline_ms: The longest deadline of a traffic group.
    """

    zones: tuple[str, ...]
    groups: tuple[str, ...]
    load_fields: tuple[str, ...]
    proxies: int
    reports_per_s: float
    may_probe: bool
    probe_timeout: int
    max_deadline_ms: float


def to_ns(ms: float) -> int:
    """Convert ms to whole ns; 0 for what isn't finite."""
    return round(ms * NS_PER_MS) if math.isfinite(ms) else 0


def required(settings: Mapping[str, Any], key: str, where: str = "") -> Any:
    """Return the value of a key.

    Raises:
        PolicySettingsError: It is missing.
    """
    if key not in settings:
        raise PolicySettingsError(f"settings: key '{where}{key}' is missing")
    return settings[key]


def number(settings: Mapping[str, Any], key: str, default: float | None = None, where: str = "") -> float:
    """Return a finite number; a key without a default must be there.

    Raises:
        PolicySettingsError: It is missing or no number.
    """
    value = required(settings, key, where) if default is None else settings.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise PolicySettingsError(f"settings: key '{where}{key}' is not a number")
    return value


def positive(settings: Mapping[str, Any], key: str, default: float | None = None, where: str = "") -> float:
    """Return a number above 0.

    Raises:
        PolicySettingsError: It is missing, no number, or not above 0.
    """
    value = number(settings, key, default, where)
    if value <= 0:
        raise PolicySettingsError(f"settings: key '{where}{key}' is not above 0")
    return value


def section(settings: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    """Return a nested object, empty if the key is missing.

    Raises:
        PolicySettingsError: It is no object.
    """
    value = settings.get(key, {})
    if not isinstance(value, dict):
        raise PolicySettingsError(f"settings: key '{key}' is not an object")
    return value


def filled_list(settings: Mapping[str, Any], key: str) -> list[Any]:
    """Return a list that has entries.

    Raises:
        PolicySettingsError: It is missing, no list, or empty.
    """
    value = required(settings, key)
    if not isinstance(value, list) or not value:
        raise PolicySettingsError(f"settings: key '{key}' must be a list that is not empty")
    return value


IDEMPOTENCY_OF_EFFECT = {
    "free": api.Idempotency.RETRIABLE,
    "guarded": api.Idempotency.DEDUPED,
    "single_shot": api.Idempotency.NON_RETRIABLE,
}


def read_policy_settings(settings: Any) -> api.PolicySettings:
    """Return the settings of the decision module; unknown keys are ignored.

    Raises:
        PolicySettingsError: The settings can't be used.
    """
    if not isinstance(settings, dict):
        raise PolicySettingsError("settings: not an object")
    info, rules = section(settings, "family_info"), section(settings, "rules")
    classes, zones = filled_list(settings, "classes"), filled_list(settings, "zones")
    groups = []
    for at, one in enumerate(classes):
        where = f"classes[{at}]."
        if not isinstance(one, dict):
            raise PolicySettingsError(f"settings: key 'classes[{at}]' is not an object")
        effect = required(one, "effect", where)
        groups.append(
            api.Group(
                budget=to_ns(positive(one, "on_time", None, where)),
                expiry=to_ns(positive(one, "deadline", None, where)),
                utility=number(one, "worth", 1.0, where),
                idempotency=IDEMPOTENCY_OF_EFFECT.get(str(effect), api.Idempotency.NON_RETRIABLE),
                dedup_everywhere=one.get("group", "all") == "all",
                dedup_window=to_ns(number(one, "dedup_window", 0, where)),
            )
        )
    return api.PolicySettings(
        zones=len(zones),
        groups=tuple(groups),
        must_watch=settings.get("discovery") == "subscribe",
        notification_deadline=to_ns(number(rules, "ask_within", 10_000)),
        grace=to_ns(number(rules, "stop_sending_within", None, "rules.")),
        only_draining_binds=bool(rules.get("soft_removal", False)),
        cold=to_ns(number(rules, "cold", 0)),
        cold_share=number(rules, "cold_share", 1.0),
        collapse_multiple=positive(rules, "tip_multiple", 4.0, "rules."),
        blackhole_limit=to_ns(number(info, "blackhole", 3000)),
        lines_per_s=positive(info, "egress_per_s", None, "family_info."),
        message_overhead=number(info, "per_message", 0),
        queue_limit=positive(info, "most_waiting", None, "family_info."),
        message_limit=int(number(info, "messages_most", 0)),
        message_window=to_ns(number(info, "reload_span", 10_000)),
        propagation_delay=to_ns(number(info, "late", 0)),
        max_propagation_delay=to_ns(number(info, "push_delay_max", 0)),
        report_period=to_ns(number(info, "cycle", 1000)),
        admission_mode=str(info.get("admit", "silent")),
        slices=int(number(info, "slices", 0)),
        single_owner=bool(info.get("one_owner", False)),
        in_flight_time=to_ns(number(info, "in_flight_max", 0)),
        lease=to_ns(number(info, "tenure", 0)),
        avoidance_failures=int(number(info, "strikes", 0)),
        expected_proxies=number(info, "proxies", 1) / max(1.0, number(settings, "instances", 1)),
    )


def read_front_settings(settings: Mapping[str, Any]) -> FrontSettings:
    """Return the settings of a front, from settings that `read_policy_settings` has accepted."""
    info, limits = section(settings, "family_info"), section(settings, "limits")
    groups = [str(required(one, "name", f"classes[{at}].")) for at, one in enumerate(settings["classes"])]
    return FrontSettings(
        zones=tuple(str(zone) for zone in settings["zones"]),
        groups=tuple(groups),
        load_fields=tuple(str(one) for one in section(settings, "report").get("fields", ())),
        proxies=int(number(info, "proxies", None, "family_info.")),
        reports_per_s=number(info, "intake_per_s", 1000.0),
        may_probe=bool(limits.get("may_probe", False)),
        probe_timeout=to_ns(number(limits, "dial_timeout", 1000)),
        max_deadline_ms=max(number(one, "deadline") for one in settings["classes"]),
    )
