"""Windows, agreements, plans and settings: checked against simple models, and tables of hard cases."""

import random
from datetime import UTC, datetime, timedelta
from itertools import pairwise
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ambershift.coordinator.maintenance.agreements import CapacityTracker, is_usable
from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.permits import is_clock_skewed
from ambershift.coordinator.maintenance.planning import Plan, plan_maintenance
from ambershift.coordinator.maintenance.types import (
    Agreement,
    Declared,
    Refusal,
    Standing,
    Tenant,
    Trouble,
    Window,
    Work,
)
from ambershift.coordinator.maintenance.windows import (
    InvalidWindowError,
    Span,
    common,
    instant,
    joined,
    occurrences,
    openings,
    tenant_spans,
    without,
)
from ambershift.coordinator.promises.maintenance_rows import plan_rows
from ambershift.coordinator.settings.maintenance import declared
from ambershift.coordinator.settings.model import read_text
from ambershift.coordinator.settings.tree import SettingsError

S = 1_000_000_000
H = 3600 * S


def moment(text: str) -> int:
    return int(datetime.fromisoformat(text).timestamp()) * S


def window(
    zone: str = "UTC",
    start: str = "2026-12-01T02:00:00",
    hours: float = 2,
    rrule: str = "FREQ=DAILY",
    name: str = "night",
) -> Window:
    return Window(name, rrule, start, int(hours * H), zone)


@pytest.mark.parametrize(
    ("zone", "start", "day", "opens", "why"),
    [
        ("Europe/Budapest", "2026-03-01T02:30:00", "2026-03-28", "2026-03-28T01:30Z", "the day before"),
        (
            "Europe/Budapest",
            "2026-03-01T02:30:00",
            "2026-03-29",
            "2026-03-29T01:30Z",
            "02:30 is left out: 03:30",
        ),
        ("Europe/Budapest", "2026-03-01T02:30:00", "2026-03-30", "2026-03-30T00:30Z", "the day behind"),
        (
            "Europe/Budapest",
            "2026-03-01T03:00:00",
            "2026-03-29",
            "2026-03-29T01:00Z",
            "the first that is there",
        ),
        (
            "Europe/Budapest",
            "2026-10-01T02:30:00",
            "2026-10-25",
            "2026-10-25T00:30Z",
            "02:30 comes twice: first",
        ),
        ("Europe/Budapest", "2026-10-01T02:30:00", "2026-10-26", "2026-10-26T01:30Z", "the day behind"),
        (
            "Europe/Budapest",
            "2026-10-01T03:00:00",
            "2026-10-25",
            "2026-10-25T02:00Z",
            "behind the repeated hour",
        ),
        ("America/New_York", "2026-03-01T02:15:00", "2026-03-08", "2026-03-08T07:15Z", "left out"),
        ("America/New_York", "2026-10-01T01:15:00", "2026-11-01", "2026-11-01T05:15Z", "comes twice"),
        (
            "Australia/Lord_Howe",
            "2026-04-01T01:45:00",
            "2026-04-05",
            "2026-04-04T14:45Z",
            "half an hour twice",
        ),
        ("Australia/Lord_Howe", "2026-10-01T02:15:00", "2026-10-04", "2026-10-03T15:45Z", "half left out"),
        ("UTC", "2026-03-01T02:30:00", "2026-03-29", "2026-03-29T02:30Z", "no change of clocks"),
        ("Pacific/Apia", "2011-12-01T02:00:00", "2011-12-30", "2011-12-30T12:00Z", "a whole day left out"),
    ],
)
def test_openings_across_clock_changes(zone: str, start: str, day: str, opens: str, why: str) -> None:
    one = window(zone, start)
    local = datetime.fromisoformat(day + start[10:])
    assert instant(local, ZoneInfo(zone)) == moment(opens), why
    found = openings(one)
    assert found is not None
    # The length is elapsed time, whatever local clocks do meanwhile.
    assert Span(moment(opens), moment(opens) + 2 * H) in found.spans(moment(opens), moment(opens) + 1)


def test_a_repeated_hour_neither_closes_a_window_early_nor_opens_it_twice() -> None:
    tenant = Tenant(
        "t",
        (),
        (),
        (),
        Agreement(0, 1, 0, ()),
        (
            window("Europe/Budapest", "2026-10-20T02:30:00", 0.5),
            window("Europe/Budapest", "2026-10-20T03:00:00", 1, name="later"),
        ),
    )
    spans = tenant_spans(tenant, moment("2026-10-24T22:00Z"), moment("2026-10-25T12:00Z"))
    # 02:30 to 03:00 of the first pass; the later window starts an hour after that ends.
    assert spans == [
        Span(moment("2026-10-25T00:30Z"), moment("2026-10-25T01:00Z")),
        Span(moment("2026-10-25T02:00Z"), moment("2026-10-25T03:00Z")),
    ]
    spans = tenant_spans(tenant, moment("2026-10-23T22:00Z"), moment("2026-10-24T12:00Z"))
    assert spans == [
        Span(moment("2026-10-24T00:30Z"), moment("2026-10-24T02:00Z"))
    ]  # They touch, and are merged.


SPANS = st.lists(
    st.builds(lambda at, length: Span(at, at + length), st.integers(0, 40), st.integers(0, 9)), max_size=8
)


@settings(derandomize=True, max_examples=400)
@given(SPANS, SPANS)
def test_span_operations_are_set_operations_on_their_moments(first: list[Span], second: list[Span]) -> None:
    def moments(spans: list[Span]) -> set[int]:
        return {at for span in spans for at in range(span.opens, span.closes)}

    one, two = joined(first), joined(second)
    assert moments(one) == moments(first)
    assert all(before.closes < after.opens for before, after in pairwise(one))
    assert moments(common(one, two)) == moments(one) & moments(two)
    assert moments(without(one, two)) == moments(one) - moments(two)


@settings(derandomize=True, max_examples=150)
@given(
    st.sampled_from(["Europe/Budapest", "America/New_York", "UTC", "Asia/Kathmandu"]),
    st.sampled_from(
        [
            "FREQ=DAILY",
            "FREQ=WEEKLY;BYDAY=MO,SA",
            "FREQ=DAILY;INTERVAL=3",
            "FREQ=DAILY;COUNT=9",
            "FREQ=DAILY;UNTIL=20261105T000000",
            "FREQ=DAILY;BYHOUR=1,2,3",
        ]
    ),
    st.integers(0, 23),
    st.integers(0, 59),
    st.integers(1, 30),
    st.lists(st.integers(20, 40), max_size=3),
    st.integers(0, 400),
)
def test_the_spans_of_a_tenant_equal_a_check_of_every_ten_minutes(
    zone: str, rrule: str, hour: int, minute: int, halves: int, closed: list[int], later: int
) -> None:
    first = datetime(2026, 10, 20, hour, minute)
    one = Window("w", rrule, first.isoformat(), halves * H // 2, zone)
    days = tuple((datetime(2026, 10, 1) + timedelta(days=day)).date().isoformat() for day in set(closed))
    tenant = Tenant("t", (), (), (), Agreement(0, 1, 0, days), (one,))
    since = moment("2026-10-24T00:00Z") + later * 600 * S
    spans = tenant_spans(tenant, since, since + 48 * H)
    hours = [int(part) for part in ["1", "2", "3"]] if "BYHOUR" in rrule else [hour]
    starts = list[datetime]()
    for day in range(60):
        for at in hours:
            local = datetime(2026, 10, 20, at, minute) + timedelta(days=day)
            if (
                local < first
                or ("WEEKLY" in rrule and local.weekday() not in (0, 5))
                or ("INTERVAL" in rrule and day % 3)
                or ("UNTIL" in rrule and local > datetime(2026, 11, 5))
                or ("COUNT" in rrule and len(starts) >= 9)
            ):
                continue
            starts.append(local)
    opened = [(local.replace(tzinfo=ZoneInfo(zone)).astimezone(UTC).timestamp()) for local in starts]
    for at in range(since // S, since // S + 48 * 3600, 600):
        is_open = (
            any(start <= at < start + halves * 1800 for start in opened)
            and datetime.fromtimestamp(at, ZoneInfo(zone)).date().isoformat() not in days
        )
        assert is_open == any(span.opens <= at * S < span.closes for span in spans), at


@pytest.mark.parametrize(
    ("rrule", "what"),
    [
        ("FREQ=SECONDLY", "FREQ must"),
        ("FREQ=HOURLY", "FREQ must"),
        ("", "not a part"),
        ("FREQ", "not a part"),
        ("FREQ=DAILY;INTERVAL=0", "INTERVAL"),
        ("FREQ=DAILY;COUNT=0", "COUNT"),
        ("FREQ=DAILY;COUNT=x", "COUNT"),
        ("FREQ=DAILY;BYSECOND=1,2", "not a part"),
        ("FREQ=DAILY;COUNT=2;UNTIL=20270101", "used together"),
        ("FREQ=DAILY;FREQ=DAILY", "not a part"),
        ("FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", "no month"),
        ("FREQ=DAILY;BYMONTHDAY=32", "no month"),
        ("FREQ=DAILY;BYMONTHDAY=x", "numbers"),
        ("FREQ=DAILY;BYDAY=5MO", "alone"),
        ("FREQ=DAILY;BYHOUR=1,2;BYMINUTE=1,2", "times a day"),
        ("FREQ=MONTHLY;BYSETPOS=9;BYDAY=MO", "BYSETPOS"),
        ("FREQ=DAILY;BYDAY=XX", "not a recurrence rule"),
        ("DTSTART:20200101T000000\nRRULE:FREQ=DAILY", "not a part"),
        ("FREQ=DAILY;UNTIL=20270101T000000Z", "UNTIL"),
    ],
)
def test_invalid_and_unboundedly_expensive_rules_are_refused(rrule: str, what: str) -> None:
    with pytest.raises(InvalidWindowError, match=what):
        occurrences(window(rrule=rrule))
    assert tenant_spans(Tenant("t", (), (), (), Agreement(0, 1, 0, ()), (window(rrule=rrule),)), 0, H) == []


# Plans, against a model that checks every second.

LIMITS = Limits(clock_bound_ns=0, drain_ns=2 * S, warmup_ns=3 * S, planning_horizon_ns=3 * 24 * H)
START = moment("2026-12-02T01:59:00+00:00")


def some_plan(rng: random.Random) -> tuple[Declared, dict[str, Standing], Plan, list[tuple[Work, str, int]]]:
    zones = ["z0", "z1", "z2"]
    servers = dict[str, Standing]()
    for i in range(rng.randint(2, 9)):
        trouble = rng.choice([None, None, None, None, *Trouble])
        servers[f"s{i}"] = Standing(
            f"s{i}",
            rng.choice(zones),
            rng.choice([1.0, 2.0, 0.5]),
            trouble,
            START + rng.randint(1, 300) * S if trouble is Trouble.COLD else 0,
            rng.choice([0.0, 0.0, 0.25, 0.5]),
        )
    tenants = list[Tenant]()
    for i in range(rng.randint(0, 3)):
        mine = tuple(rng.sample(zones, rng.randint(0, 2)))
        whole = sum(one.weight for one in servers.values() if not mine or one.zone in mine)
        windows = tuple(
            window("UTC", f"2026-12-02T02:0{rng.randint(0, 5)}:00", rng.randint(1, 8) / 60, name=f"w{n}")
            for n in range(rng.randint(0, 2))
        )
        tenants.append(
            Tenant(
                f"t{i}",
                (),
                mine,
                (),
                Agreement(
                    whole * rng.choice([0, 0.3, 0.6]),
                    rng.randint(0, 3),
                    rng.choice([0, 0, 30]) * S,
                    rng.choice([(), (), ("2026-12-02",)]),
                ),
                windows,
            )
        )
    names = sorted(servers)
    works = tuple(
        Work(
            f"k{i}",
            tuple(rng.sample(names, rng.randint(1, len(names)))),
            rng.randint(5, 90) * S,
            START + rng.choice([400, 4000, 100_000]) * S,
            rng.choice([0, 0, 1, 2]),
        )
        for i in range(rng.randint(1, 2))
    )
    found = Declared(1, tuple(tenants), works)
    jobs = [(work, server, 0) for work in works for server in (*work.servers, "gone")]
    return found, servers, plan_maintenance(found, jobs, [], {}, servers, START, LIMITS), jobs


@pytest.mark.parametrize("seed", range(150))
def test_plans_keep_every_agreement_at_every_second(seed: int) -> None:
    """Checked from the agreements alone, without the planner's capacity, spans and order."""
    rng = random.Random(seed)
    found, servers, plan, jobs = some_plan(rng)
    assert sorted([(one.work, one.server) for one in (*plan.scheduled, *plan.unscheduled)]) == sorted(
        [(work.name, server) for work, server, _ in jobs]
    )
    assert {(one.server, one.constraint.reason) for one in plan.unscheduled if one.server == "gone"} == {
        ("gone", Refusal.NO_SUCH_SERVER)
    }
    works = {work.name: work for work in found.works}
    for one in plan.scheduled:
        assert one.back == one.at + LIMITS.total_time(works[one.work].duration_ns) <= works[one.work].deadline
    # Servers are out from their start until they are back, so violations can begin only at these times.
    moments = sorted({one.at for one in plan.scheduled})
    for at in moments:
        here = [one for one in plan.scheduled if one.at <= at < one.back]
        out = [one.server for one in here]
        assert len(set(out)) == len(out), "out twice at once"
        for work in found.works:
            assert (
                not work.max_concurrent or sum(one.work == work.name for one in here) <= work.max_concurrent
            )
        for tenant in found.tenants:
            mine = {
                name: one for name, one in servers.items() if not tenant.zones or one.zone in tenant.zones
            }
            if not set(out) & set(mine):
                continue
            good = sum(
                one.weight * (1 - one.interfered)
                for name, one in mine.items()
                if name not in out and is_usable(one, at)
            )
            away = [
                name
                for name, one in mine.items()
                if name in out or (not is_usable(one, at) and one.trouble is not Trouble.LISTED_OUT)
            ]
            assert good >= tenant.agreement.capacity - 1e-6 and len(away) <= tenant.agreement.max_out
    for tenant in found.tenants:
        drains = sorted(
            one.at for one in plan.scheduled if not tenant.zones or servers[one.server].zone in tenant.zones
        )
        assert all(b - a >= tenant.agreement.min_drain_interval_ns for a, b in pairwise(drains))
        for one in plan.scheduled:
            if tenant.zones and servers[one.server].zone not in tenant.zones:
                continue
            for at in range(one.at // S, one.back // S):  # Every second of a drain lies in an opening.
                day = datetime.fromtimestamp(at, UTC)
                assert day.date().isoformat() not in tenant.agreement.closed_days
                assert any(
                    (day - datetime.fromisoformat(w.start + "+00:00")).total_seconds() >= 0
                    and (day - datetime.fromisoformat(w.start + "+00:00")).total_seconds() % 86400 * S
                    < w.length_ns
                    for w in tenant.windows
                )
    # With the nearest sufficient deadline more servers are scheduled.
    for one in plan.unscheduled:
        if one.nearest:
            longer = [
                (
                    work.__class__(
                        work.name,
                        work.servers,
                        work.duration_ns,
                        max(work.deadline, one.nearest),
                        work.max_concurrent,
                    ),
                    server,
                    at,
                )
                for work, server, at in jobs
            ]
            again = Declared(1, found.tenants, tuple({work.name: work for work, _, _ in longer}.values()))
            others = plan_maintenance(again, longer, [], {}, servers, START, LIMITS)
            assert len(others.scheduled) > len(plan.scheduled)
    assert len(plan_rows(plan)) <= len(jobs) * 2


def test_the_order_is_by_interference_and_then_by_deadline() -> None:
    servers = {
        name: Standing(name, "z", 1.0, None, 0, hurt) for name, hurt in {"a": 0.0, "b": 0.4, "c": 0.1}.items()
    }
    tenant = Tenant("t", (), (), (), Agreement(1.4, 1, 0, ()), (window(hours=3),))
    work = Work("k", ("a", "b", "c"), 60 * S, START + 10 * H, 0)
    soon = Work("soon", ("a",), 60 * S, START + 9 * H, 0)
    plan = plan_maintenance(
        Declared(1, (tenant,), (work, soon)),
        [(w, s, 0) for w in (work, soon) for s in w.servers],
        [],
        {},
        servers,
        START,
        LIMITS,
    )
    assert [(one.work, one.server) for one in plan.scheduled] == [
        ("k", "b"),
        ("k", "c"),
        ("soon", "a"),
        ("k", "a"),
    ]


@pytest.mark.parametrize(
    ("agreement", "windows", "before", "reason"),
    [
        (Agreement(2.5, 1, 0, ()), (window(),), 30, Refusal.CAPACITY),
        (Agreement(0, 0, 0, ()), (window(),), 30, Refusal.TOO_MANY_OUT),
        (Agreement(0, 3, 3 * H, ()), (window(),), 3, Refusal.DRAIN_TOO_RECENT),
        (Agreement(0, 3, 0, ("2026-12-02",)), (window(),), 20, Refusal.CLOSED_DAY),
        (Agreement(0, 3, 0, ()), (), 30, Refusal.NO_WINDOW),
        (Agreement(0, 3, 0, ()), (window(start="2026-12-05T02:00:00"),), 30, Refusal.NO_WINDOW),
        (Agreement(0, 3, 0, ()), (window(hours=0.01),), 30, Refusal.WINDOW_TOO_SHORT),
        (Agreement(0, 3, 0, ()), (window(),), 0.005, Refusal.TOO_LATE),
    ],
)
def test_the_constraint_is_reported_with_its_tenant(
    agreement: Agreement, windows: tuple[Window, ...], before: float, reason: Refusal
) -> None:
    servers = {name: Standing(name, "z", 1.0, None, 0) for name in "abc"}
    work = Work("k", tuple("abc"), 60 * S, START + int(before * H), 0)
    found = Declared(1, (Tenant("t", (), (), (), agreement, windows),), (work,))
    plan = plan_maintenance(found, [(work, name, 0) for name in "abc"], [], {}, servers, START, LIMITS)
    assert {one.constraint.reason for one in plan.unscheduled} == {reason}
    assert plan.unscheduled[0].constraint.tenant == ("t" if reason is not Refusal.TOO_LATE else "")


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([None, *Trouble]), st.sampled_from([1.0, 0.1, 2.5]), st.sampled_from([0.0, 0.3])
        ),
        min_size=1,
        max_size=8,
    ),
    st.lists(st.integers(0, 9), max_size=30),
)
def test_capacity_updated_in_steps_equals_capacity_summed_at_once(
    rows: list[tuple[Trouble | None, float, float]], shifts: list[int]
) -> None:
    servers = {
        f"s{i}": Standing(f"s{i}", f"z{i % 2}", weight, trouble, 5 if trouble is Trouble.COLD else 0, hurt)
        for i, (trouble, weight, hurt) in enumerate(rows)
    }
    tenants = [
        Tenant(name, (), zones, (), Agreement(2.0, 2, 0, ()), ())
        for name, zones in (("all", ()), ("one", ("z1",)))
    ]
    tracker = CapacityTracker(tenants, servers, 3)
    for shift in shifts:
        name = f"s{shift}"
        if name in tracker.out:
            tracker.restore(name)
        else:
            tracker.violation_without(name)
            tracker.remove(name)
        summed = CapacityTracker(tenants, servers, 3)
        for one in tracker.out:
            summed.remove(one)
        assert (tracker.capacity, tracker.out_counts) == (summed.capacity, summed.out_counts)


def test_a_clock_is_skewed_if_it_is_too_far_from_the_median() -> None:
    assert not is_clock_skewed([0, 5, -9], 5) and not is_clock_skewed([0], 1) and not is_clock_skewed([], 1)
    assert (
        is_clock_skewed([0, 6, 7], 5)
        and is_clock_skewed([0, -6, -6], 5)
        and not is_clock_skewed([0, 0, 999], 5)
    )
    assert is_clock_skewed([0, 12], 5) and not is_clock_skewed([0, 10], 5)


# Settings

FILE = """group {
  name = "g"
  me = "n1"
  listen = "127.0.0.1:7101"
  member "n1" { address = "127.0.0.1:7101" }
}
tenant "games" {
  zones = ["z1", "z2"]
  agreement {
    capacity = 12
    servers_out = 1
    apart = "10m"
    closed = ["2026-12-24"]
  }
}
window "night" {
  tenants = ["games"]
  rrule = "FREQ=DAILY"
  start = "2026-12-01T02:00:00"
  length = "2h"
  zone = "Europe/Budapest"
}
work "kernel" {
  servers = ["a1", "a2"]
  takes = "10m"
  before = "2026-12-03T04:00:00Z"
}
maintenance {
  revision = 3
}
"""


def test_settings_are_declared_as_written() -> None:
    found = declared(read_text(FILE, "f").blocks)
    assert found == Declared(
        3,
        (
            Tenant(
                "games",
                (),
                ("z1", "z2"),
                (),
                Agreement(12.0, 1, 600 * S, ("2026-12-24",)),
                (window("Europe/Budapest"),),
            ),
        ),
        (Work("kernel", ("a1", "a2"), 600 * S, moment("2026-12-03T04:00:00Z"), 0),),
    )
    assert declared(read_text("", "f").blocks) is None


@pytest.mark.parametrize(
    ("old", "new", "line", "words"),
    [
        ('tenants = ["games"]', 'tenants = ["game"]', 17, "no tenant is called 'game'; there is: games"),
        ('tenants = ["games"]', "tenants = []", 17, "opens for nobody"),
        ("FREQ=DAILY", "FREQ=DALY", 18, "FREQ must be one of"),
        ("FREQ=DAILY", "FREQ=DAILY;UNTIL=20250101", 18, "never opens"),
        ("2026-12-01T02:00:00", "2026-13-01T02:00:00", 19, "not a local time"),
        ("2026-12-01T02:00:00", "2026-12-01T02:00:00Z", 19, "not a local time"),
        ('length = "2h"', 'length = "11m"', 20, "too short for any work"),
        ('length = "2h"', 'length = "two"', 20, "no time such as"),
        ("Europe/Budapest", "Europe/Budapset", 21, "not a time zone"),
        ("Europe/Budapest", "../../etc/passwd", 21, "not a time zone"),
        ("servers_out = 1", "servers_out = 0", 11, "lets no server out ever"),
        ("servers_out = 1", "servers_out = -1", 11, "int"),
        ("capacity = 12", "capacity = -1", 10, "no sum of weights"),
        ("capacity = 12", "capacity = 10000000000000", 10, "no sum of weights"),
        ('apart = "10m"', 'apart = "10 minutes"', 12, "no time such as"),
        ("2026-12-24", "2026-02-30", 13, "closed"),
        ("2026-12-24", "24.12.2026", 13, "not a date such as"),
        ('["a1", "a2"]', '["a1", "a1"]', 24, "named twice"),
        ('["a1", "a2"]', "[]", 24, "names no server"),
        ('takes = "10m"', 'takes = "0m"', 25, "no time such as"),
        ("2026-12-03T04:00:00Z", "2026-12-03T04:00:00", 26, "with its offset"),
        ("  revision = 3\n", "", 28, "revision"),
        ("revision = 3", "revision = 0", 29, "int"),
        ("maintenance {\n  revision = 3\n}\n", "", 7, "takes a block 'maintenance'"),
        ('window "night"', 'window "a/b"', 16, "no name of letters"),
        (
            'work "kernel" {',
            'work "kernel" {\n  servers = ["z"]\n  takes = "1m"\n'
            '  before = "2026-12-03T04:00:00Z"\n}\nwork "kernel" {',
            28,
            "two works are called",
        ),
        (
            'tenant "games" {',
            'tenant "more" {\n  agreement {\n    capacity = 1\n    servers_out = 1\n  }\n}\ntenant "games" {',
            7,
            "no window names 'more'",
        ),
    ],
)
def test_an_invalid_setting_is_reported_with_file_line_and_key(
    old: str, new: str, line: int, words: str
) -> None:
    with pytest.raises(SettingsError, match=f"f:{line}: .*{words}"):
        read_text(FILE.replace(old, new, 1), "f")


def test_maintenance_requires_a_group() -> None:
    with pytest.raises(SettingsError, match="key 'maintenance': takes a group"):
        read_text(FILE.partition("tenant")[1] + FILE.partition("tenant")[2], "f")
