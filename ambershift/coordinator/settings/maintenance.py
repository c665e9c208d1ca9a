"""The settings blocks of maintenance: tenants with their agreements, windows, works, and the revision.

tenant "games" {
  zones = ["z1", "z2"]
  agreement { capacity = 12  servers_out = 1  apart = "10m"  closed = ["2026-12-24"] }
}
window "night" {
  tenants = ["games"]
  rrule   = "FREQ=DAILY"
  start   = "2026-12-01T02:00:00"
  length  = "2h"
  zone    = "Europe/Budapest"
}
work "kernel" { servers = ["a1", "a2"]  takes = "10m"  before = "2026-12-03T04:00:00Z"  at_once = 2 }
maintenance { revision = 3 }
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Annotated

import msgspec

from ambershift.coordinator.maintenance.types import Agreement, Declared, Tenant, Window, Work
from ambershift.coordinator.maintenance.validation import MAX_CAPACITY
from ambershift.coordinator.maintenance.windows import InvalidWindowError, occurrences, parse_day, parse_zone
from ambershift.coordinator.settings.checks import Complaint, duration

NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class AgreementBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`capacity` is a sum of the list's weights; no `apart` stands for drains that may begin together."""

    capacity: float
    servers_out: Count
    apart: str = ""
    closed: tuple[str, ...] = ()


class TenantBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """No zones named: it uses the servers of all."""

    name: str
    agreement: AgreementBlock
    groups: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    proxies: tuple[int, ...] = ()


class WindowBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    tenants: tuple[str, ...]
    rrule: str
    start: str
    length: str
    zone: str


class WorkBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    servers: tuple[str, ...]
    takes: str
    before: str
    at_once: Count = 0


class MaintenanceBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is declared here takes the place of what a lower revision declared. `drain` is how long a server
    should take to drain.
    """

    revision: Annotated[int, msgspec.Meta(ge=1, le=1 << 62)]
    drain: str = "2m"


def read_moment(text: str) -> int | None:
    """Unix nanoseconds of a time with its offset, such as "2026-12-03T04:00:00Z"; None for any other."""
    if not re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d)?(Z|[+-]\d\d:\d\d)", text, re.ASCII):
        return None
    try:
        passed = datetime.fromisoformat(text) - EPOCH
    except (ValueError, OverflowError):
        return None
    return (passed.days * 86_400 + passed.seconds) * 1_000_000_000


class Blocks(msgspec.Struct, frozen=True):
    """What of a file speaks of maintenance."""

    tenant: tuple[TenantBlock, ...]
    window: tuple[WindowBlock, ...]
    work: tuple[WorkBlock, ...]
    maintenance: MaintenanceBlock | msgspec.UnsetType


def length_of(text: str) -> int:
    return duration(text) or 0


def declared(blocks: Blocks) -> Declared | None:
    """What the blocks declare, which were checked; None where they declare nothing."""
    if not isinstance(blocks.maintenance, MaintenanceBlock):
        return None
    windows = [
        (one, Window(one.name, one.rrule, one.start, length_of(one.length), one.zone))
        for one in blocks.window
    ]
    tenants = tuple(
        Tenant(
            one.name,
            one.groups,
            one.zones,
            one.proxies,
            Agreement(
                one.agreement.capacity,
                one.agreement.servers_out,
                length_of(one.agreement.apart),
                one.agreement.closed,
            ),
            tuple(window for block, window in windows if one.name in block.tenants),
        )
        for one in blocks.tenant
    )
    works = tuple(
        Work(one.name, one.servers, length_of(one.takes), read_moment(one.before) or 0, one.at_once)
        for one in blocks.work
    )
    return Declared(blocks.maintenance.revision, tenants, works)


def check_maintenance(blocks: Blocks, grouped: bool, complain: Complaint) -> None:
    """What types alone don't tell, and what contradicts itself; keys are named as in the file."""
    if not isinstance(blocks.maintenance, MaintenanceBlock):
        for key, found in (("tenant", blocks.tenant), ("window", blocks.window), ("work", blocks.work)):
            if found:
                raise complain(f"{key}[0]", "takes a block 'maintenance' with a revision beside it")
        return
    if not grouped:
        raise complain("maintenance", "takes a group: permits are promises that its members hold")
    time(blocks.maintenance.drain, "maintenance.drain", complain)
    for kind, names in (
        ("tenant", [one.name for one in blocks.tenant]),
        ("window", [one.name for one in blocks.window]),
        ("work", [one.name for one in blocks.work]),
    ):
        check_names(kind, names, complain)
    for at, tenant in enumerate(blocks.tenant):
        check_tenant(tenant, f"tenant[{at}]", complain)
    for at, window in enumerate(blocks.window):
        check_window(window, f"window[{at}]", blocks.tenant, complain)
    for at, work in enumerate(blocks.work):
        check_work(work, f"work[{at}]", complain)
    check_together(blocks, complain)


def check_names(kind: str, names: Sequence[str], complain: Complaint) -> None:
    for at, name in enumerate(names):
        if not NAME.fullmatch(name):
            raise complain(f"{kind}[{at}]", f"'{name}' is no name of letters, digits, '_', '.' and '-'")
        if name in names[:at]:
            raise complain(f"{kind}[{at}]", f"two {kind}s are called '{name}'")


def time(text: str, key: str, complain: Complaint) -> int:
    if (found := duration(text)) is None:
        raise complain(key, f'\'{text}\' is no time such as "90s", "10m" or "2h", of a day at most')
    return found


def distinct(values: Iterable[object], key: str, complain: Complaint) -> None:
    seen = set[object]()
    for value in values:
        if value in seen or value == "":
            raise complain(key, f"'{value}' is named twice" if value else "has an empty name")
        seen.add(value)


def check_tenant(tenant: TenantBlock, key: str, complain: Complaint) -> None:
    for name, values in (("groups", tenant.groups), ("zones", tenant.zones), ("proxies", tenant.proxies)):
        distinct(values, f"{key}.{name}", complain)
    agreement, key = tenant.agreement, f"{key}.agreement"
    if not 0 <= agreement.capacity <= MAX_CAPACITY:
        raise complain(f"{key}.capacity", f"{agreement.capacity} is no sum of weights")
    if not agreement.servers_out:
        raise complain(f"{key}.servers_out", "0 lets no server out ever, so that no work can be done")
    if agreement.apart:
        time(agreement.apart, f"{key}.apart", complain)
    distinct(agreement.closed, f"{key}.closed", complain)
    for day in agreement.closed:
        try:
            parse_day(day)
        except ValueError as error:
            raise complain(f"{key}.closed", str(error)) from None


def check_window(window: WindowBlock, key: str, tenants: Sequence[TenantBlock], complain: Complaint) -> None:
    known = [tenant.name for tenant in tenants]
    if not window.tenants:
        raise complain(f"{key}.tenants", "names no tenant, so that it opens for nobody")
    distinct(window.tenants, f"{key}.tenants", complain)
    for name in window.tenants:
        if name not in known:
            raise complain(
                f"{key}.tenants", f"no tenant is called '{name}'; there is: {', '.join(known) or 'none'}"
            )
    time(window.length, f"{key}.length", complain)
    try:
        parse_zone(window.zone)
        first = next(occurrences(Window(window.name, window.rrule, window.start, 1, window.zone)), None)
    except InvalidWindowError as error:
        raise complain(f"{key}.{error.key}", str(error)) from None
    if first is None:
        raise complain(f"{key}.rrule", "never opens")


def check_work(work: WorkBlock, key: str, complain: Complaint) -> None:
    if not work.servers:
        raise complain(f"{key}.servers", "names no server")
    distinct(work.servers, f"{key}.servers", complain)
    time(work.takes, f"{key}.takes", complain)
    if read_moment(work.before) is None:
        raise complain(
            f"{key}.before", f"'{work.before}' is no time with its offset such as \"2026-12-03T04:00:00Z\""
        )


def check_together(blocks: Blocks, complain: Complaint) -> None:
    """What is sound alone, and of no use beside the rest."""
    if not blocks.work or not isinstance(blocks.maintenance, MaintenanceBlock):
        return
    least = min(length_of(work.takes) for work in blocks.work) + length_of(blocks.maintenance.drain)
    for at, window in enumerate(blocks.window):
        if length_of(window.length) <= least:
            raise complain(
                f"window[{at}].length",
                f"'{window.length}' is too short for any work: the shortest and its drain take as long",
            )
    opened = {name for window in blocks.window for name in window.tenants}
    for at, tenant in enumerate(blocks.tenant):
        if tenant.name not in opened:
            raise complain(
                f"tenant[{at}]",
                f"no window names '{tenant.name}', so that no work can be done on the servers that it uses",
            )
