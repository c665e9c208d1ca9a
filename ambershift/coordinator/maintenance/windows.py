"""When maintenance may be: the openings of windows in true time, joined, cut by closed days, and in common.

A local time that a change of clocks leaves out is read with the offset before the change, one that it
repeats is its first; both as RFC 5545 has it. A length is time that passes, not what the wall clock shows.
"""

from __future__ import annotations

import re
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Sequence
from datetime import UTC, date, datetime, timedelta
from functools import lru_cache
from typing import NamedTuple
from zoneinfo import ZoneInfo

from dateutil.rrule import rrulestr

from ambershift.coordinator.maintenance.types import Tenant, Window

SECOND = 1_000_000_000
DAY = 86_400 * SECOND
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
FREQUENCIES = ("DAILY", "WEEKLY", "MONTHLY", "YEARLY")
KEYS = (
    "FREQ",
    "INTERVAL",
    "COUNT",
    "UNTIL",
    "WKST",
    "BYDAY",
    "BYMONTH",
    "BYMONTHDAY",
    "BYSETPOS",
    "BYHOUR",
    "BYMINUTE",
)
DAYS_MOST = (31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31)
PER_DAY_MOST = 48
LENGTH_LEAST = 60 * SECOND


class InvalidWindowError(ValueError):
    """A window that can't be read; `key` says what of it is wrong."""

    def __init__(self, key: str, what: str) -> None:
        super().__init__(what)
        self.key = key


class Span(NamedTuple):
    """From `opens` on, and before `closes`; Unix nanoseconds."""

    opens: int
    closes: int


def parse_zone(name: str) -> ZoneInfo:
    """Raises InvalidWindowError for what is no zone of time."""
    try:
        return ZoneInfo(name)
    except (KeyError, ValueError, OSError):
        raise InvalidWindowError("zone", f"'{name}' is no zone of time such as \"Europe/Budapest\"") from None


def instant(local: datetime, zone: ZoneInfo) -> int:
    """The Unix nanoseconds of a local time."""
    passed = local.replace(tzinfo=zone, fold=0).astimezone(UTC) - EPOCH
    return (passed.days * 86_400 + passed.seconds) * SECOND + passed.microseconds * 1000


def parse_day(text: str) -> date:
    """Raises ValueError for what is no day such as "2026-12-24"."""
    if not re.fullmatch(r"\d{4}-\d\d-\d\d", text, re.ASCII):
        raise ValueError(f"'{text}' is no day such as \"2026-12-24\"")
    return date.fromisoformat(text)


def occurrences(window: Window) -> Iterator[datetime]:
    """The local times of its openings, in order. Raises InvalidWindowError."""
    try:
        if not re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d)?", window.start, re.ASCII):
            raise ValueError
        start = datetime.fromisoformat(window.start)
    except ValueError:
        raise InvalidWindowError(
            "start", f"'{window.start}' is no local time such as \"2026-12-01T02:00:00\""
        ) from None
    check_rule(window.rrule.upper())
    try:
        return iter(rrulestr(window.rrule.upper(), dtstart=start))
    except (ValueError, TypeError, KeyError, IndexError, OverflowError) as error:
        raise InvalidWindowError("rrule", f"'{window.rrule[:80]}' is no recurrence ({error})") from None


def check_rule(rrule: str) -> None:
    """Refuse what would cost the library without bound: rules finer than a day, an interval of none, on
    which it never comes back, and days that no month has, which it looks for to the year 9999.
    """
    parts = dict[str, str]()
    for part in rrule.split(";"):
        key, _, value = part.partition("=")
        if key not in KEYS or key in parts or not re.fullmatch(r"[A-Z0-9,+-]+", value):
            raise InvalidWindowError("rrule", f"'{part[:40]}' is no part of a recurrence such as FREQ=DAILY")
        parts[key] = value
    if (frequency := parts.get("FREQ")) not in FREQUENCIES:
        raise InvalidWindowError("rrule", f"FREQ must be one of {', '.join(FREQUENCIES)}")
    for key in ("INTERVAL", "COUNT"):
        if not re.fullmatch(r"0*[1-9]\d{0,3}", parts.get(key, "1")):
            raise InvalidWindowError("rrule", f"{key} must be a number from 1 to 9999")
    if "COUNT" in parts and "UNTIL" in parts:
        raise InvalidWindowError("rrule", "COUNT and UNTIL can't both stand")
    times = [parts[key].count(",") for key in ("BYHOUR", "BYMINUTE") if key in parts]
    if any(one >= PER_DAY_MOST for one in times) or (all(times) and len(times) > 1):
        raise InvalidWindowError("rrule", f"opens more than {PER_DAY_MOST} times a day")
    if re.search(r"\d", parts.get("BYDAY", "")) and (
        frequency in ("DAILY", "WEEKLY") or "BYMONTHDAY" in parts or "BYSETPOS" in parts
    ):
        raise InvalidWindowError("rrule", "BYDAY counts days only in MONTHLY and YEARLY, and alone")
    if "BYSETPOS" in parts and (
        frequency in ("DAILY", "WEEKLY")
        or "BYDAY" not in parts
        or not re.fullmatch(r"-?[1-4]", parts["BYSETPOS"])
    ):
        raise InvalidWindowError("rrule", "BYSETPOS is -4 to 4, in MONTHLY and YEARLY, beside BYDAY")
    if "BYMONTHDAY" in parts:
        days, months = parts["BYMONTHDAY"], parts.get("BYMONTH", "1")
        if not re.fullmatch(r"-?\d\d?(,-?\d\d?)*", days) or not re.fullmatch(r"\d\d?(,\d\d?)*", months):
            raise InvalidWindowError("rrule", "BYMONTHDAY and BYMONTH must be numbers")
        most = max((DAYS_MOST[int(one) - 1] for one in months.split(",") if 1 <= int(one) <= 12), default=0)
        if not any(1 <= abs(int(one)) <= most for one in days.split(",")):
            raise InvalidWindowError("rrule", "no month of it has such a day")


class Openings:
    """One window's openings, found once each and only as far as somebody asks."""

    def __init__(self, window: Window) -> None:
        """Raises InvalidWindowError."""
        self.zone, self.length = parse_zone(window.zone), window.length_ns
        self.rest, self.found = occurrences(window), list[int]()

    def spans(self, since: int, until: int) -> list[Span]:
        """Those that are open at some moment from `since` on, and before `until`."""
        while not self.found or self.found[-1] < until + DAY:
            if (local := next(self.rest, None)) is None:
                break
            # A change of clocks may swap two that lie close.
            insort(self.found, instant(local, self.zone))
        at = bisect_left(self.found, since - self.length)
        return [
            Span(opens, opens + self.length)
            for opens in self.found[at:]
            if opens < until and since < opens + self.length
        ]


@lru_cache(4096)
def openings(window: Window) -> Openings | None:
    """None where this program can't read it, a newer one that declared it may: it never opens then."""
    try:
        return Openings(window)
    except InvalidWindowError:
        return None


@lru_cache(4096)
def closed_spans(closed: tuple[str, ...], zones: tuple[str, ...]) -> tuple[Span, ...]:
    """The closed days as spans, in each zone of time of the tenant's windows: the stricter counts."""
    found = []
    for name in zones:
        zone = parse_zone(name)
        for text in closed:
            start = datetime.combine(parse_day(text), datetime.min.time())
            found.append(Span(instant(start, zone), instant(start + timedelta(days=1), zone)))
    return tuple(joined(found))


def joined(spans: Iterable[Span]) -> list[Span]:
    """What they cover together; spans that overlap or touch become one."""
    found = list[Span]()
    for span in sorted(spans):
        if found and span.opens <= found[-1].closes:
            found[-1] = Span(found[-1].opens, max(found[-1].closes, span.closes))
        elif span.opens < span.closes:
            found.append(span)
    return found


def common(first: Sequence[Span], second: Sequence[Span]) -> list[Span]:
    """Where both are open; each in order and without overlap."""
    found, at, to = list[Span](), 0, 0
    while at < len(first) and to < len(second):
        span = Span(max(first[at].opens, second[to].opens), min(first[at].closes, second[to].closes))
        if span.opens < span.closes:
            found.append(span)
        if first[at].closes <= second[to].closes:
            at += 1
        else:
            to += 1
    return found


def without(spans: Sequence[Span], closed: Sequence[Span]) -> list[Span]:
    """What is left of the first where none of the second is."""
    found = list[Span]()
    for span in spans:
        opens = span.opens
        for gap in closed:
            if gap.closes <= opens or gap.opens >= span.closes:
                continue
            if opens < gap.opens:
                found.append(Span(opens, gap.opens))
            opens = max(opens, gap.closes)
        if opens < span.closes:
            found.append(Span(opens, span.closes))
    return found


def tenant_spans(tenant: Tenant, since: int, until: int, closed: bool = True) -> list[Span]:
    """When this tenant lets maintenance be, or would without its closed days. Without a window it never
    does.
    """
    found = [(window, one) for window in tenant.windows if (one := openings(window)) is not None]
    spans = joined(span for _, one in found for span in one.spans(since, until))
    if not closed:
        return spans
    zones = tuple(sorted({window.zone for window, _ in found}))
    try:
        return without(spans, closed_spans(tenant.agreement.closed_days, zones))
    except ValueError:
        return []  # A closed day that can't be read may be any day.
