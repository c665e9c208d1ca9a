"""When maintenance is allowed: the openings of windows as spans of Unix time, and operations on spans.

A local time that a change of clocks skips is read with the offset before the change; of one that is repeated,
the first counts. Both are as RFC 5545 says. Lengths are elapsed time, not differences of local times.
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
RULE_PARTS = (
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
DAYS_OF_MONTHS = (31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31)
MAX_OPENINGS_PER_DAY = 48
MIN_LENGTH_NS = 60 * SECOND


class InvalidWindowError(ValueError):
    """A window is invalid; `key` is the settings key that is wrong."""

    def __init__(self, key: str, message: str) -> None:
        """Create the error for a settings key."""
        super().__init__(message)
        self.key = key


class Span(NamedTuple):
    """The time from `opens` until just before `closes`, in Unix nanoseconds."""

    opens: int
    closes: int


def parse_zone(name: str) -> ZoneInfo:
    """Return the time zone of an IANA name.

    Raises:
        InvalidWindowError: There is no such time zone.
    """
    try:
        return ZoneInfo(name)
    except (KeyError, ValueError, OSError):
        raise InvalidWindowError("zone", f"'{name}' is not a time zone such as \"Europe/Budapest\"") from None


def instant(local: datetime, zone: ZoneInfo) -> int:
    """Return the Unix nanoseconds of a local time."""
    elapsed = local.replace(tzinfo=zone, fold=0).astimezone(UTC) - EPOCH
    return (elapsed.days * 86_400 + elapsed.seconds) * SECOND + elapsed.microseconds * 1000


def parse_day(text: str) -> date:
    """Return the date that a text such as "2026-12-24" names.

    Raises:
        ValueError: The text is not such a date.
    """
    if not re.fullmatch(r"\d{4}-\d\d-\d\d", text, re.ASCII):
        raise ValueError(f"'{text}' is not a date such as \"2026-12-24\"")
    return date.fromisoformat(text)


def occurrences(window: Window) -> Iterator[datetime]:
    """Return the local times of the openings of a window, in order.

    Raises:
        InvalidWindowError: The start or the recurrence rule is invalid.
    """
    try:
        if not re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d)?", window.start, re.ASCII):
            raise ValueError
        start = datetime.fromisoformat(window.start)
    except ValueError:
        raise InvalidWindowError(
            "start", f"'{window.start}' is not a local time such as \"2026-12-01T02:00:00\""
        ) from None
    check_rule(window.rrule.upper())
    try:
        return iter(rrulestr(window.rrule.upper(), dtstart=start))
    except (ValueError, TypeError, KeyError, IndexError, OverflowError) as error:
        raise InvalidWindowError(
            "rrule", f"'{window.rrule[:80]}' is not a recurrence rule ({error})"
        ) from None


def check_rule(rrule: str) -> None:
    """Refuse recurrence rules for which the library's work is unbounded.

    Those are rules finer than a day, an interval of 0, with which the library never returns, and days that no
    month has, for which it searches until the year 9999.

    Raises:
        InvalidWindowError: The rule is invalid or refused.
    """
    parts = dict[str, str]()
    for part in rrule.split(";"):
        key, _, value = part.partition("=")
        if key not in RULE_PARTS or key in parts or not re.fullmatch(r"[A-Z0-9,+-]+", value):
            raise InvalidWindowError(
                "rrule", f"'{part[:40]}' is not a part of a recurrence rule such as FREQ=DAILY"
            )
        parts[key] = value
    if (frequency := parts.get("FREQ")) not in FREQUENCIES:
        raise InvalidWindowError("rrule", f"FREQ must be one of {', '.join(FREQUENCIES)}")
    for key in ("INTERVAL", "COUNT"):
        if not re.fullmatch(r"0*[1-9]\d{0,3}", parts.get(key, "1")):
            raise InvalidWindowError("rrule", f"{key} must be a number from 1 to 9999")
    if "COUNT" in parts and "UNTIL" in parts:
        raise InvalidWindowError("rrule", "COUNT and UNTIL can't be used together")
    comma_counts = [parts[key].count(",") for key in ("BYHOUR", "BYMINUTE") if key in parts]
    if any(commas >= MAX_OPENINGS_PER_DAY for commas in comma_counts) or (
        all(comma_counts) and len(comma_counts) > 1
    ):
        raise InvalidWindowError("rrule", f"opens more than {MAX_OPENINGS_PER_DAY} times a day")
    if re.search(r"\d", parts.get("BYDAY", "")) and (
        frequency in ("DAILY", "WEEKLY") or "BYMONTHDAY" in parts or "BYSETPOS" in parts
    ):
        raise InvalidWindowError(
            "rrule", "BYDAY with numbers needs FREQ=MONTHLY or YEARLY, and must stand alone"
        )
    if "BYSETPOS" in parts and (
        frequency in ("DAILY", "WEEKLY")
        or "BYDAY" not in parts
        or not re.fullmatch(r"-?[1-4]", parts["BYSETPOS"])
    ):
        raise InvalidWindowError(
            "rrule", "BYSETPOS must be -4 to 4, and needs BYDAY and FREQ=MONTHLY or YEARLY"
        )
    if "BYMONTHDAY" in parts:
        days, months = parts["BYMONTHDAY"], parts.get("BYMONTH", "1")
        if not re.fullmatch(r"-?\d\d?(,-?\d\d?)*", days) or not re.fullmatch(r"\d\d?(,\d\d?)*", months):
            raise InvalidWindowError("rrule", "BYMONTHDAY and BYMONTH must be numbers")
        longest = max(
            (
                DAYS_OF_MONTHS[int(month) - 1]
                for month in months.split(",")
                if 1 <= int(month) <= len(DAYS_OF_MONTHS)
            ),
            default=0,
        )
        if not any(1 <= abs(int(day)) <= longest for day in days.split(",")):
            raise InvalidWindowError("rrule", "no month of the rule has such a day")


class Openings:
    """The openings of one window, each computed once and only as far ahead as needed."""

    def __init__(self, window: Window) -> None:
        """Parse a window.

        Raises:
            InvalidWindowError: The window is invalid.
        """
        self._zone = parse_zone(window.zone)
        self._length = window.length_ns
        self._remaining = occurrences(window)
        self._starts = list[int]()  # Sorted, Unix ns.

    def spans(self, since: int, until: int) -> list[Span]:
        """Return the openings that overlap the time from `since` to `until`."""
        while not self._starts or self._starts[-1] < until + DAY:
            if (local := next(self._remaining, None)) is None:
                break
            # A change of clocks may swap the order of two close openings.
            insort(self._starts, instant(local, self._zone))
        first = bisect_left(self._starts, since - self._length)
        return [
            Span(opens, opens + self._length)
            for opens in self._starts[first:]
            if opens < until and since < opens + self._length
        ]


@lru_cache(4096)
def openings(window: Window) -> Openings | None:
    """Return the openings of a window; None if it can't be parsed, and then it never opens.

    A member of a newer version may have declared a window that this version can't parse.
    """
    try:
        return Openings(window)
    except InvalidWindowError:
        return None


@lru_cache(4096)
def closed_spans(closed_days: tuple[str, ...], zones: tuple[str, ...]) -> tuple[Span, ...]:
    """Return the closed days as spans.

    A day is closed in each time zone of the tenant's windows, so that the union of them counts.
    """
    found = []
    for name in zones:
        zone = parse_zone(name)
        for text in closed_days:
            start = datetime.combine(parse_day(text), datetime.min.time())
            found.append(Span(instant(start, zone), instant(start + timedelta(days=1), zone)))
    return tuple(joined(found))


def joined(spans: Iterable[Span]) -> list[Span]:
    """Return the union of spans, sorted; spans that overlap or touch are merged."""
    found = list[Span]()
    for span in sorted(spans):
        if found and span.opens <= found[-1].closes:
            found[-1] = Span(found[-1].opens, max(found[-1].closes, span.closes))
        elif span.opens < span.closes:
            found.append(span)
    return found


def common(first: Sequence[Span], second: Sequence[Span]) -> list[Span]:
    """Return the intersection of two sorted lists of spans without overlap."""
    found, i, j = list[Span](), 0, 0
    while i < len(first) and j < len(second):
        span = Span(max(first[i].opens, second[j].opens), min(first[i].closes, second[j].closes))
        if span.opens < span.closes:
            found.append(span)
        if first[i].closes <= second[j].closes:
            i += 1
        else:
            j += 1
    return found


def without(spans: Sequence[Span], closed: Sequence[Span]) -> list[Span]:
    """Return the parts of the sorted `spans` that lie in none of the sorted `closed` spans."""
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
    """Return when a tenant allows maintenance between two times; never if it has no window.

    Args:
        tenant: The tenant.
        since: Start of the time to look at, Unix ns.
        until: End of it.
        closed: Whether to leave out the closed days of the tenant.
    """
    parsed = [(window, one) for window in tenant.windows if (one := openings(window)) is not None]
    spans = joined(span for _, one in parsed for span in one.spans(since, until))
    if not closed:
        return spans
    zones = tuple(sorted({window.zone for window, _ in parsed}))
    try:
        return without(spans, closed_spans(tenant.agreement.closed_days, zones))
    except ValueError:
        return []  # A closed day that can't be parsed may be any day.
