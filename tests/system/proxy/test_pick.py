"""Which backend gets a request: tables, spill-over, home regions, failures, cold starts; and routes."""

from random import Random

import pytest

from ambershift.system.messages.items import INSTANCE, ROUTE, ZONE, Item
from ambershift.system.messages.proxy_link import (
    BackendUpdate,
    Barrier,
    BindTable,
    ControlNodeHeartbeat,
    EjectBackend,
    ItemUpdate,
    TableEntry,
)
from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.cold_start_limiter import ColdStartLimiter
from ambershift.system.proxy.routing import Routing
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from tests.support.proxy_rig import DEFAULT_ITEMS, SERVICES, ZONES, backend_record, proxy_settings, route

ZONE_OF_BACKEND = ("north", "north", "north", "hill", "hill", "south", "south", "south")


class PickHarness:
    """A proxy with eight backends of one service; its table has the three of its own zone.

    Attributes:
        now: The monotonic clock of the proxy, in ns.
        server: The proxy.
    """

    def __init__(self):
        self.now = 1000 * NS_PER_SECOND
        self.server = ProxyServer(proxy_settings(), lambda: self.now, Random(7))
        self.server.handle_message(ControlNodeHeartbeat((), True, 3, 0))
        self.server.handle_message(DEFAULT_ITEMS)
        self.update_backends(
            *(backend_record(f"i-{number}", zone=zone) for number, zone in enumerate(ZONE_OF_BACKEND)),
            complete=True,
        )
        self.server.handle_message(BindTable("loans", 4, (("i-0", 1.0), ("i-1", 1.0), ("i-2", 2.0))))

    def update_backends(self, *updated, removed=(), complete=False):
        self.server.handle_message(BackendUpdate(updated, removed, complete))

    def instance(self, number):
        return self.server.backend_view.instances[f"i-{number}"]

    def pick(self, pool="loans", tried=()):
        """The number of the backend that is picked for a response within 500 ms."""
        instance = self.server.pick(
            self.server.backend_view.pool(pool), self.now, list(tried), 500 * NS_PER_MS
        )
        return int(instance.id[2:]) if instance else None

    def picks(self, pool="loans", times=300):
        """The numbers of all backends that are picked in so many times."""
        return {self.pick(pool) for _ in range(times)}

    def set_in_flight(self, *numbers, in_flight=4):
        for number in numbers:
            instance = self.instance(number)
            instance.in_flight, instance.waiting_since = in_flight, self.now


@pytest.fixture
def harness():
    return PickHarness()


def test_table_is_used_by_weight_and_requests_in_flight(harness):
    counts = [0, 0, 0]
    for _ in range(4000):
        counts[harness.pick()] += 1
    assert 900 < counts[0] < 1100 and 900 < counts[1] < 1100
    harness.instance(2).in_flight = 3
    assert sum(harness.pick() == 2 for _ in range(1000)) < 350  # Half of the draws find another backend.
    harness.server.handle_message(TableEntry("loans", 4, "i-2", 0.0))
    harness.server.handle_message(TableEntry("loans", 4, "i-3", 1.0))
    harness.server.handle_message(TableEntry("loans", 5, "i-5", 1.0))  # This table is not bound yet.
    assert harness.picks() == {0, 1, 3}
    assert harness.server.handle_message(Barrier(9)) == [Barrier(9)]


def test_full_backends_spill_to_region_then_short_queues_then_other_regions(harness):
    for instance in harness.server.backend_view.instances.values():
        instance.unqueued_response_ns = 100 * NS_PER_MS
    harness.set_in_flight(0, 1, 2)
    assert harness.picks() == {3, 4}
    harness.instance(3).record_load(harness.now, 1)
    harness.instance(4).max_in_flight = 0
    assert harness.picks() == {0, 1, 2}  # A wait of 25 ms (100 ms for 4 slots), of 500 ms left.
    for number in (0, 1, 2, 3):
        harness.instance(number).record_load(harness.now, 7)
    assert harness.picks() == {5, 6, 7}
    harness.set_in_flight(5, 6, 7)
    for number in (5, 6, 7):
        harness.instance(number).record_load(harness.now, 16)
    assert harness.picks() == {0, 1, 2, 3, 5, 6, 7}
    for number in range(8):
        harness.instance(number).record_load(harness.now, 17 if number else 3)
    assert harness.picks() == {0}  # The others could not respond in time.
    harness.now += 2 * NS_PER_SECOND  # The reported load is outdated.
    harness.set_in_flight(*range(8), in_flight=8)
    assert harness.pick() is None


def test_home_regions_restrict_the_pool(harness):
    assert harness.picks("loans|down") == {5, 6, 7}
    harness.set_in_flight(5, 6, 7, in_flight=8)
    assert harness.pick("loans|down") is None
    assert harness.pick("loans|far") is None and harness.pick("maps") is None
    assert harness.picks("loans|down|up") == {0, 1, 2, 3, 4}


@pytest.mark.parametrize(
    "leave",
    [
        lambda harness: harness.server.handle_message(
            ItemUpdate((Item(INSTANCE, "i-1", (1, ""), b"{}"),), False)
        ),
        lambda harness: harness.update_backends(backend_record("i-1", draining=True)),
        lambda harness: harness.update_backends(removed=("i-1",)),
        lambda harness: harness.server.handle_message(EjectBackend("i-1", True)),
        lambda harness: harness.server.handle_message(
            ItemUpdate((Item(ZONE, "north", (3, "m"), b"true"),), False)
        ),
    ],
)
def test_backend_that_leaves_gets_nothing_even_as_the_only_table_entry(harness, leave):
    harness.server.handle_message(BindTable("loans", 5, (("i-1", 1.0),)))
    assert harness.picks() == {1}
    harness.set_in_flight(0, 2, 3, 4, 5, 6, 7, in_flight=7)
    leave(harness)
    assert 1 not in harness.picks() and harness.picks()
    assert (
        not harness.instance(1).is_eligible(harness.now)
        if "i-1" in harness.server.backend_view.instances
        else True
    )


def test_retired_instance_stays_excluded_after_older_messages(harness):
    harness.server.handle_message(ItemUpdate((Item(INSTANCE, "i-1", (2, ""), None),), False))
    harness.update_backends(backend_record("i-1"), complete=True)
    harness.server.handle_message(
        ItemUpdate(
            (
                Item(INSTANCE, "i-1", (1, ""), b"{}"),
                Item(INSTANCE, "i-9", (1, ""), b"{}"),
                Item(ZONE, "hill", (1, "m"), b"true"),
            ),
            False,
        )
    )
    # These two become known only after the items that exclude them.
    harness.update_backends(backend_record("i-9"), backend_record("i-8", zone="hill"))
    assert (
        not any(harness.instance(number).is_eligible(harness.now) for number in (1, 8, 9))
        and harness.instance(0).is_listed is False
    )


def test_unlisted_backends_are_used_for_a_grace_period(harness):
    harness.update_backends(backend_record("i-0"), complete=True)
    assert harness.picks() == {0, 1, 2}
    harness.now += 4 * NS_PER_SECOND
    assert harness.picks() == {0}
    harness.update_backends()
    assert set(harness.server.backend_view.instances) == {"i-0"}


def test_failures_back_off_exponentially_for_at_most_a_third_of_the_pool(harness):
    for backoff_ms in (500, 1000, 2000, 4000, 5000, 5000):
        harness.instance(0).record_start(harness.now)
        harness.instance(0).record_failure(harness.now, NS_PER_MS, conclusive=True)
        harness.now += (backoff_ms - 1) * NS_PER_MS
        assert harness.picks() == {1, 2}
        harness.now += 2 * NS_PER_MS
        assert 0 in harness.picks()
    harness.instance(0).record_start(harness.now)
    assert harness.picks() == {1, 2}  # It gets one request at a time.
    harness.instance(0).record_success(harness.now, NS_PER_MS)
    assert harness.picks() == {0, 1, 2}
    for number in range(8):
        harness.instance(number).record_start(harness.now)
        harness.instance(number).record_failure(harness.now, NS_PER_MS, conclusive=True)
    assert harness.picks() == {2}  # Of eight that fail alike, two are avoided: one of the table is left.
    assert harness.picks("loans|up|down") == {2, 3, 4}


def test_silent_backend_is_avoided_before_its_request_times_out(harness):
    harness.instance(0).record_start(harness.now)
    harness.instance(0).mean_response_ns = 100 * NS_PER_MS
    harness.now += 340 * NS_PER_MS
    assert 0 in harness.picks()
    harness.now += 20 * NS_PER_MS
    assert harness.picks() == {1, 2}


def test_cold_backends_are_used_sparsely_and_only_while_less_than_half_is_warm(harness):
    harness.update_backends(
        *(
            backend_record(f"i-{number}", zone=ZONE_OF_BACKEND[number], warm_up_ms=3000)
            for number in (0, 1, 2)
        )
    )
    assert harness.picks() == {3, 4}
    harness.set_in_flight(3, 4, 5, 6, 7, in_flight=8)
    assert harness.pick() is None
    harness.update_backends(
        *(backend_record(f"i-{number}", zone=ZONE_OF_BACKEND[number], warm_up_ms=3000) for number in (3, 4))
    )
    sent = [harness.pick() for _ in range(10)]
    assert sorted(one for one in sent if isinstance(one, int)) == [0, 1, 2]  # 3 and 4 are overloaded.
    harness.now += 3400 * NS_PER_MS
    assert harness.picks() == {0, 1, 2}


def test_zone_is_cold_after_evacuation_until_a_newer_list_says_otherwise(harness):
    for body in (b"true", b"false"):
        harness.server.handle_message(ItemUpdate((Item(ZONE, "north", (len(body), "m"), body),), False))
    harness.now += 1900 * NS_PER_MS
    # This list may have been made before the end of the evacuation.
    harness.update_backends(backend_record("i-0"))
    assert harness.picks() == {3, 4}
    harness.now += 200 * NS_PER_MS
    harness.update_backends(backend_record("i-1"))
    assert harness.picks() == {1}
    harness.now += 2 * NS_PER_SECOND
    assert harness.picks() == {0, 1, 2}


@pytest.mark.parametrize("proxies", [9, 57, 150])
def test_all_proxies_together_stay_under_a_cold_backends_rate(proxies):
    random, rate, slack = Random(proxies), 11.0 * 1.5, 5
    for number in range(8):
        instance = BackendInstance(f"i-{number}", "loans", "", "", "", 4)
        limiters = [ColdStartLimiter(f"front-{at}") for at in range(proxies)]
        sent = []
        for step in range(400):  # All proxies want to send all the time, in random order.
            now = step * 10 * NS_PER_MS
            for limiter in random.sample(limiters, len(limiters)):
                if limiter.may_send(instance, now, proxies, rate):
                    limiter.record_sent(instance, now)
                    sent.append(now)
        assert sent
        most_per_second = max(sum(start <= at < start + NS_PER_SECOND for at in sent) for start in sent)
        assert most_per_second <= rate + slack


def test_routes_are_found_by_longest_prefix_and_merged_by_version():
    routing = Routing()
    routing.merge((route("a", "/", version=5), route("b", "/x/", version=5), route("c", "/x/y/", version=5)))
    found = [routing.find(b"BOOKS.example:81", path) for path in (b"/", b"/x", b"/x/", b"/x/yy", b"/x/y/z?")]
    assert [one.name for one in found] == ["a", "a", "b", "b", "c"]
    assert routing.find(b"other.example", b"/") is None
    routing.merge((Item(ROUTE, "c", (7, "")), route("b", "/x/", version=6, Service="maps")))
    routing.merge((route("c", "/x/y/", version=6), route("b", "/x/", version=5)))
    assert routing.find(b"books.example", b"/x/y/z").name == "b"
    assert routing.find(b"books.example", b"/x/y/z").services == (("maps", 1.0),)
    routing.merge((route("d", "/x/", version=8), Item(ROUTE, "b", (8, ""))))
    assert routing.find(b"books.example", b"/x/").name == "d"
    routing.merge(Item(ROUTE, name, (9, "")) for name in "acd")
    assert routing.find(b"books.example", b"/x/") is None and routing.route_count == 0


def test_partitioned_proxy_rejects_all_but_trial_requests(harness):
    for number in (0, 1, 2):
        harness.instance(number).record_start(harness.now)
    harness.now += NS_PER_SECOND
    assert not harness.server.should_reject(harness.now)  # All are in one zone: that may have failed instead.
    harness.instance(5).record_start(harness.now)
    harness.instance(3).record_start(harness.now)
    harness.now += NS_PER_SECOND
    assert [harness.server.should_reject(harness.now + step * 30 * NS_PER_MS) for step in range(5)] == [
        False,
        True,
        True,
        True,
        False,
    ]
    harness.instance(5).record_success(harness.now, NS_PER_MS)
    harness.server.partition_detector.last_response_at = harness.now
    assert not harness.server.should_reject(harness.now + 50 * NS_PER_MS)


def test_ready_only_after_a_complete_merge_with_a_route():
    server = ProxyServer(proxy_settings(), lambda: 0)
    assert ZONES and not server.ready
    server.handle_message(ItemUpdate((route("r", "/"), *SERVICES), False))
    assert not server.hello().ready
    server.handle_message(ItemUpdate((), True))
    assert server.hello().ready and not server.hello().draining
    server.start_draining()
    assert server.hello().draining
