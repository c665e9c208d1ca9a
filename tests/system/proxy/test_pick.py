"""Which backend gets a request: tables, spills, homes, those that leave, fail or are cold; and routes."""

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
from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.cold_start_limiter import ColdGate
from ambershift.system.proxy.routing import Routing
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from tests.support.proxy_rig import PLAIN, SERVICES, ZONES, backend, route, settings

PLACES = ("north", "north", "north", "hill", "hill", "south", "south", "south")


class Hall:
    """A proxy with eight backends of one service, three of its zone in its table; a clock by hand."""

    def __init__(self):
        self.now = 1000 * NS_PER_SECOND
        self.server = ProxyServer(settings(), lambda: self.now, Random(7))
        self.server.handle_message(ControlNodeHeartbeat((), True, 3, 0))
        self.server.handle_message(PLAIN)
        self.tell(*(backend(f"i-{at}", zone=zone) for at, zone in enumerate(PLACES)), whole=True)
        self.server.handle_message(BindTable("loans", 4, (("i-0", 1.0), ("i-1", 1.0), ("i-2", 2.0))))

    def tell(self, *put, gone=(), whole=False):
        self.server.handle_message(BackendUpdate(put, gone, whole))

    def life(self, at):
        return self.server.backend_view.instances[f"i-{at}"]

    def pick(self, pool="loans", tried=()):
        found = self.server.pick(self.server.backend_view.pool(pool), self.now, list(tried), 500 * NS_PER_MS)
        return int(found.id[2:]) if found else None

    def picks(self, pool="loans", times=300):
        return {self.pick(pool) for _ in range(times)}

    def fill(self, *ats, flying=4):
        for at in ats:
            self.life(at).flying, self.life(at).since = flying, self.now


@pytest.fixture
def hall():
    return Hall()


def test_the_table_at_its_weights_and_fewer_in_flight_first(hall):
    counts = [0, 0, 0]
    for _ in range(4000):
        counts[hall.pick()] += 1
    assert 900 < counts[0] < 1100 and 900 < counts[1] < 1100
    hall.life(2).flying = 3
    assert sum(hall.pick() == 2 for _ in range(1000)) < 350  # Half of the draws meet another one.
    hall.server.handle_message(TableEntry("loans", 4, "i-2", 0.0))
    hall.server.handle_message(TableEntry("loans", 4, "i-3", 1.0))
    hall.server.handle_message(TableEntry("loans", 5, "i-5", 1.0))  # A table that is not bound yet.
    assert hall.picks() == {0, 1, 3}
    assert hall.server.handle_message(Barrier(9)) == [Barrier(9)]


def test_what_is_full_spills_to_the_region_then_to_short_queues_then_abroad(hall):
    for life in hall.server.backend_view.instances.values():
        life.work = 100 * NS_PER_MS
    hall.fill(0, 1, 2)
    assert hall.picks() == {3, 4}
    hall.life(3).load_told(hall.now, 1)
    hall.life(4).room = 0
    assert hall.picks() == {0, 1, 2}  # A quarter of 100 ms to wait, of 500 that are left.
    for at in (0, 1, 2, 3):
        hall.life(at).load_told(hall.now, 7)
    assert hall.picks() == {5, 6, 7}
    hall.fill(5, 6, 7)
    for at in (5, 6, 7):
        hall.life(at).load_told(hall.now, 16)
    assert hall.picks() == {0, 1, 2, 3, 5, 6, 7}
    for at in range(8):
        hall.life(at).load_told(hall.now, 17 if at else 3)
    assert hall.picks() == {0}  # The others could not answer in time.
    hall.now += 2 * NS_PER_SECOND  # The load told is too old to go by.
    hall.fill(*range(8), flying=8)
    assert hall.pick() is None


def test_homes_bind_whatever_else_there_is(hall):
    assert hall.picks("loans|down") == {5, 6, 7}
    hall.fill(5, 6, 7, flying=8)
    assert hall.pick("loans|down") is None
    assert hall.pick("loans|far") is None and hall.pick("maps") is None
    assert hall.picks("loans|down|up") == {0, 1, 2, 3, 4}


@pytest.mark.parametrize(
    "leave",
    [
        lambda hall: hall.server.handle_message(ItemUpdate((Item(INSTANCE, "i-1", (1, ""), b"{}"),), False)),
        lambda hall: hall.tell(backend("i-1", draining=True)),
        lambda hall: hall.tell(gone=("i-1",)),
        lambda hall: hall.server.handle_message(EjectBackend("i-1", True)),
        lambda hall: hall.server.handle_message(ItemUpdate((Item(ZONE, "north", (3, "m"), b"true"),), False)),
    ],
)
def test_nothing_goes_to_what_leaves_though_the_table_has_it_alone(hall, leave):
    hall.server.handle_message(BindTable("loans", 5, (("i-1", 1.0),)))
    assert hall.picks() == {1}
    hall.fill(0, 2, 3, 4, 5, 6, 7, flying=7)
    leave(hall)
    assert 1 not in hall.picks() and hall.picks()
    assert not hall.life(1).open(hall.now) if "i-1" in hall.server.backend_view.instances else True


def test_a_drained_life_stays_out_when_an_older_word_comes_again(hall):
    hall.server.handle_message(ItemUpdate((Item(INSTANCE, "i-1", (2, ""), None),), False))
    hall.tell(backend("i-1"), whole=True)
    hall.server.handle_message(
        ItemUpdate(
            (
                Item(INSTANCE, "i-1", (1, ""), b"{}"),
                Item(INSTANCE, "i-9", (1, ""), b"{}"),
                Item(ZONE, "hill", (1, "m"), b"true"),
            ),
            False,
        )
    )
    hall.tell(backend("i-9"), backend("i-8", zone="hill"))  # Heard of only after their end.
    assert not any(hall.life(at).open(hall.now) for at in (1, 8, 9)) and hall.life(0).named is False


def test_those_not_in_a_new_whole_list_serve_on_for_a_moment(hall):
    hall.tell(backend("i-0"), whole=True)
    assert hall.picks() == {0, 1, 2}
    hall.now += 4 * NS_PER_SECOND
    assert hall.picks() == {0}
    hall.tell()
    assert set(hall.server.backend_view.instances) == {"i-0"}


def test_failures_rest_a_backend_longer_each_time_and_at_most_a_third_of_the_pool(hall):
    for pause in (500, 1000, 2000, 4000, 5000, 5000):
        hall.life(0).started(hall.now)
        hall.life(0).ended_badly(hall.now, NS_PER_MS, proof=True)
        hall.now += (pause - 1) * NS_PER_MS
        assert hall.picks() == {1, 2}
        hall.now += 2 * NS_PER_MS
        assert 0 in hall.picks()
    hall.life(0).started(hall.now)
    assert hall.picks() == {1, 2}  # One request tries it.
    hall.life(0).ended_well(hall.now, NS_PER_MS)
    assert hall.picks() == {0, 1, 2}
    for at in range(8):
        hall.life(at).started(hall.now)
        hall.life(at).ended_badly(hall.now, NS_PER_MS, proof=True)
    assert hall.picks() == {2}  # Of eight that fail alike, two are passed over: the table still has one.
    assert hall.picks("loans|up|down") == {2, 3, 4}


def test_one_that_answers_nobody_is_passed_over_before_its_time_is_up(hall):
    hall.life(0).started(hall.now)
    hall.life(0).mean = 100 * NS_PER_MS
    hall.now += 340 * NS_PER_MS
    assert 0 in hall.picks()
    hall.now += 20 * NS_PER_MS
    assert hall.picks() == {1, 2}


def test_cold_ones_get_nothing_while_half_of_the_pool_is_warm_then_one_now_and_then(hall):
    hall.tell(*(backend(f"i-{at}", zone=PLACES[at], cold=3000) for at in (0, 1, 2)))
    assert hall.picks() == {3, 4}
    hall.fill(3, 4, 5, 6, 7, flying=8)
    assert hall.pick() is None
    hall.tell(*(backend(f"i-{at}", zone=PLACES[at], cold=3000) for at in (3, 4)))
    sent = [hall.pick() for _ in range(10)]
    assert sorted(one for one in sent if isinstance(one, int)) == [0, 1, 2]  # 3 and 4 are choked.
    hall.now += 3400 * NS_PER_MS
    assert hall.picks() == {0, 1, 2}


def test_a_zone_taken_back_counts_as_cold_until_a_newer_list_says_otherwise(hall):
    for body in (b"true", b"false"):
        hall.server.handle_message(ItemUpdate((Item(ZONE, "north", (len(body), "m"), body),), False))
    hall.now += 1900 * NS_PER_MS
    hall.tell(backend("i-0"))  # May have been said before it was taken back.
    assert hall.picks() == {3, 4}
    hall.now += 200 * NS_PER_MS
    hall.tell(backend("i-1"))
    assert hall.picks() == {1}
    hall.now += 2 * NS_PER_SECOND
    assert hall.picks() == {0, 1, 2}


@pytest.mark.parametrize("proxies", [9, 57, 150])
def test_all_proxies_together_stay_under_a_cold_backends_rate(proxies):
    chance, rate, slack = Random(proxies), 11.0 * 1.5, 5
    for number in range(8):
        life = Life(f"i-{number}", "loans", "", "", "", 4)
        gates = [ColdGate(f"front-{at}") for at in range(proxies)]
        sent = []
        for step in range(400):  # All want to send all the time, in any order.
            now = step * 10 * NS_PER_MS
            for gate in chance.sample(gates, len(gates)):
                if gate.may(life, now, proxies, rate):
                    gate.sent(life, now)
                    sent.append(now)
        assert sent
        worst = max(sum(at <= other < at + NS_PER_SECOND for other in sent) for at in sent)
        assert worst <= rate + slack


def test_routes_by_host_and_longest_prefix_merged_item_by_item_and_never_back():
    routing = Routing()
    routing.merge((route("a", "/", version=5), route("b", "/x/", version=5), route("c", "/x/y/", version=5)))
    found = [routing.find(b"BOOKS.example:81", path) for path in (b"/", b"/x", b"/x/", b"/x/yy", b"/x/y/z?")]
    assert [one.name for one in found] == ["a", "a", "b", "b", "c"]
    assert routing.find(b"other.example", b"/") is None
    routing.merge((Item(ROUTE, "c", (7, "")), route("b", "/x/", version=6, Service="maps")))
    routing.merge((route("c", "/x/y/", version=6), route("b", "/x/", version=5)))
    assert routing.find(b"books.example", b"/x/y/z").name == "b"
    assert routing.find(b"books.example", b"/x/y/z").shares == (("maps", 1.0),)
    routing.merge((route("d", "/x/", version=8), Item(ROUTE, "b", (8, ""))))
    assert routing.find(b"books.example", b"/x/").name == "d"
    routing.merge(Item(ROUTE, name, (9, "")) for name in "acd")
    assert routing.find(b"books.example", b"/x/") is None and routing.route_count == 0


def test_a_proxy_that_nobody_answers_refuses_but_for_a_trial(hall):
    for at in (0, 1, 2):
        hall.life(at).started(hall.now)
    hall.now += NS_PER_SECOND
    assert not hall.server.cut(hall.now)  # All in one zone: that may have gone instead.
    hall.life(5).started(hall.now)
    hall.life(3).started(hall.now)
    hall.now += NS_PER_SECOND
    assert [hall.server.cut(hall.now + at * 30 * NS_PER_MS) for at in range(5)] == [
        False,
        True,
        True,
        True,
        False,
    ]
    hall.life(5).ended_well(hall.now, NS_PER_MS)
    hall.server.isolation.heard = hall.now
    assert not hall.server.cut(hall.now + 50 * NS_PER_MS)


def test_ready_only_after_a_complete_merge_with_a_route():
    server = ProxyServer(settings(), lambda: 0)
    assert ZONES and not server.ready
    server.handle_message(ItemUpdate((route("r", "/"), *SERVICES), False))
    assert not server.hello().ready
    server.handle_message(ItemUpdate((), True))
    assert server.hello().ready and not server.hello().draining
    server.start_draining()
    assert server.hello().draining
