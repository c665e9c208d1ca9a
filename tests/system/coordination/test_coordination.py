"""What callers rely on of locks, numbers and cells, with calls that run late, twice and on any node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ambershift.system.coordination import cells, locks, numbers
from ambershift.system.coordination.groups import MIN_RETAINED_EVENTS, decode_group, group_name
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.coordination.value_deltas import GROUP_DELTAS
from ambershift.system.interfaces import ChangeFunction
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

MACHINES = st.sampled_from((0, 1))
CALLERS = st.sampled_from(("a", "b"))
HOLDS = st.sampled_from((300, 2000))


@dataclass(eq=False)
class InFlightCall:
    """A call in flight: any node may run it, several times, even after its caller has given it up."""

    caller: str
    kind: str
    at: int
    hold: int
    change: ChangeFunction
    fences: dict[str, int]  # The fencing tokens that others had when it was sent.
    results: list[Any] = field(default_factory=list)


class LockCallsInAnyOrder(RuleBasedStateMachine):
    """One lock: each run of a call reads the newest value, as the register's agreement guarantees."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.value: bytes | None = None
        self.since: dict[int, tuple[bytes | None, int]] = {}
        self.in_flight: list[InFlightCall] = []
        self.waits: dict[str, InFlightCall] = {}  # The one call that a caller awaits.
        self.claims: dict[str, tuple[int, int]] = {}  # Fencing token, and when the lease ends.
        self.got: dict[str, int] = {}
        self.count = 0

    @rule(ms=st.sampled_from((1, 400, 2500)))
    def pass_time(self, ms: int) -> None:
        self.now += ms * NS_PER_MS

    @rule(machine=MACHINES)
    def learn(self, machine: int) -> None:
        if machine not in self.since or self.since[machine][0] != self.value:
            self.since[machine] = self.value, self.now

    @rule(caller=CALLERS, hold=HOLDS, renew=st.booleans(), machine=MACHINES)
    def ask_and_hear(self, caller: str, hold: int, renew: bool, machine: int) -> None:
        self.ask(caller, hold, renew)
        self.run_call(self.waits[caller], machine)
        self.hear(self.waits[caller], self.waits[caller].results[0])

    @rule(caller=CALLERS, hold=HOLDS, renew=st.booleans())
    def ask(self, caller: str, hold: int, renew: bool) -> None:
        """A holder renews or gives back, others ask for it. A call awaited before is given up."""
        self.count += 1
        fence, until = self.claims.get(caller, (0, 0))
        if until <= self.now:
            kind, change = "initiate", locks.acquire(caller, hold, str(self.count))
        elif renew:
            kind, change = "heartbeat", locks.renew(caller, fence, hold)
        else:
            kind, change = "terminate", locks.release(caller, fence)
            del self.claims[caller]
        others = {name: got for name, got in self.got.items() if name != caller}
        self.waits[caller] = InFlightCall(caller, kind, self.now, hold, change, others)
        self.in_flight.append(self.waits[caller])

    @precondition(lambda self: self.in_flight)
    @rule(machine=MACHINES, data=st.data(), late=st.booleans())
    def run(self, machine: int, data: Any, late: bool) -> None:
        fresh = [call for call in self.in_flight if not call.results]
        self.run_call(data.draw(st.sampled_from(self.in_flight if late or not fresh else fresh)), machine)

    def run_call(self, call: InFlightCall, machine: int) -> None:
        self.learn(machine)
        outcome = call.change(self.value, self.since[machine][1], self.now)
        if outcome.new_value is not None:
            assert outcome.new_value != self.value
            self.value = outcome.new_value
            self.learn(machine)
        call.results.append(outcome.result)

    @precondition(lambda self: any(call.results for call in self.waits.values()))
    @rule(data=st.data())
    def answer(self, data: Any) -> None:
        call = data.draw(st.sampled_from([call for call in self.waits.values() if call.results]))
        self.hear(call, data.draw(st.sampled_from(call.results)))

    def hear(self, call: InFlightCall, result: Any) -> None:
        del self.waits[call.caller]
        if result.status != 200:
            assert call.kind != "terminate"
            self.claims.pop(call.caller, None)
        elif call.kind == "initiate":
            fence = msgspec.json.decode(result.body)["fence"]
            assert all(fence > got for got in call.fences.values())
            assert fence not in {got for name, got in self.got.items() if name != call.caller}
            self.got[call.caller] = fence
            self.claims[call.caller] = fence, call.at + call.hold * NS_PER_MS
        elif call.kind == "heartbeat":
            fence, until = self.claims.get(call.caller, (0, 0))
            if until > self.now:
                self.claims[call.caller] = fence, call.at + call.hold * NS_PER_MS

    @invariant()
    def one_holder(self) -> None:
        assert sum(until > self.now for _, until in self.claims.values()) <= 1


TestLockCallsInAnyOrder = LockCallsInAnyOrder.TestCase
TestLockCallsInAnyOrder.settings = settings(
    max_examples=200, stateful_step_count=20, deadline=None, derandomize=True
)


def run(value: bytes | None, change: ChangeFunction, now: int = 0) -> tuple[bytes | None, int, Any]:
    outcome = change(value, 0, now)
    body = outcome.result.body
    return outcome.new_value or value, outcome.result.status, msgspec.json.decode(body) if body else None


def test_a_lock_is_granted_on_release_and_expiry_only() -> None:
    """Liveness: safety alone would hold if the lock were never granted."""
    value, status, _ = run(None, locks.acquire("a", 1000, "1"))
    late = 1000 * NS_PER_MS + locks.CLOCK_DRIFT_MARGIN_NS
    assert run(value, locks.acquire("b", 1000, "2"), late - 1)[1] == 409
    assert run(value, locks.acquire("b", 1000, "2"), late)[1:] == (200, {"fence": 2})
    assert run(value, locks.renew("a", 1, 1000), late)[1] == 409
    assert run(value, locks.acquire("a", 1000, "3"))[1:] == (200, {"fence": 1})
    assert run(value, locks.renew("a", 2, 1000))[1] == run(value, locks.renew("b", 1, 9))[1] == 409
    given_back, status, _ = run(value, locks.release("a", 1))
    assert status == run(value, locks.release("b", 1))[1] == 200
    assert run(given_back, locks.acquire("b", 1000, "2"))[1:] == (200, {"fence": 2})
    assert run(given_back, locks.acquire("a", 1000, "1"))[1] == 409  # A late run after the release.


def test_delayed_calls_do_not_shorten_a_lease() -> None:
    value, _, _ = run(None, locks.acquire("a", 2000, "1"))
    for delayed in (locks.renew("a", 1, 300), locks.acquire("a", 300, "2")):
        shorter, _, _ = run(value, delayed, 100 * NS_PER_MS)
        assert locks.acquire("b", 300, "3")(shorter, 100 * NS_PER_MS, 1999 * NS_PER_MS).result.status == 409
    asked_anew, _, _ = run(value, locks.acquire("a", 2000, "2"))
    given_back, _, _ = run(asked_anew, locks.release("a", 1))  # Sent before it was acquired again, run after.
    assert run(given_back, locks.acquire("b", 300, "3"))[1] == 409


def test_numbers_rise() -> None:
    value, _, first = run(None, numbers.next_number)
    assert run(value, numbers.next_number)[2]["Value"] > first["Value"]


class CellCallsInAnyOrder(RuleBasedStateMachine):
    """Puts with and without a revision, sent again at any time, against a plain list of all puts."""

    def __init__(self) -> None:
        super().__init__()
        self.ages = RevisionAges(30 * NS_PER_SECOND)
        self.now = 0
        self.value: bytes | None = None
        self.puts: list[tuple[str, str, int]] = []
        self.put_at: list[int] = []
        self.rejected: set[str] = set()

    def present(self, key: str) -> int:
        return max((revision for name, _, revision in self.puts if name == key), default=0)

    @rule(seconds=st.sampled_from((1, 7, 31)))
    def pass_time(self, seconds: int) -> None:
        self.now += seconds * NS_PER_SECOND

    @rule(
        key=st.sampled_from(("g.a", "g.b", "g.c")),
        off=st.sampled_from((0, 0, 0, 1, None)),
        times=st.sampled_from((1, 1, 40)),
    )
    def put(self, key: str, off: int | None, times: int) -> None:
        for _ in range(times):
            self.put_once(key, f"v{len(self.puts)}.{len(self.rejected)}", off)

    def put_once(self, key: str, value: str, off: int | None) -> None:
        before, present = self.value, self.present(key)
        applies_to = None if off is None else present + off
        self.value, status, answer = run(
            before, cells.compare_and_set(key, value, applies_to, self.ages), self.now
        )
        if off:
            assert (status, answer) == (412, {"Revision": present}) and self.value == before
            self.rejected.add(value)
            return
        assert (status, answer) == (200, {"Revision": len(self.puts) + 1}) and self.value is not None
        self.puts.append((key, value, len(self.puts) + 1))
        self.put_at.append(self.now)
        self.ages.record(group_name(key), len(self.puts), self.now)
        difference = None if before is None else GROUP_DELTAS.diff(before, self.value)
        if before is not None and difference is not None:
            assert GROUP_DELTAS.patch(before, difference) == self.value and len(difference) < 100
        assert difference is not None or len(self.puts) < 4

    @precondition(lambda self: self.puts)
    @rule(data=st.data())
    def send_again(self, data: Any) -> None:
        key, value, revision = data.draw(st.sampled_from(self.puts[-MIN_RETAINED_EVENTS:]))
        for applies_to in (None, 0, revision):
            again = run(self.value, cells.compare_and_set(key, value, applies_to, self.ages), self.now)
            assert again == (self.value, 200, {"Revision": revision})

    @invariant()
    def watch_replies_are_complete(self) -> None:
        group = decode_group(self.value)
        for after in range(len(self.puts) + 1):
            reply = cells.events_since(group, after)
            if reply is not None and reply.status == 410:
                assert (
                    after < len(self.puts) - MIN_RETAINED_EVENTS
                    and self.now - self.put_at[after] >= 30 * NS_PER_SECOND
                )
            elif reply is not None:
                events = msgspec.json.decode(reply.body)["Events"]
                assert [tuple(event.values()) for event in events] == self.puts[after:]
                assert msgspec.json.decode(reply.body)["Revision"] == len(self.puts)
            else:
                assert after == len(self.puts)
        for key in ("g.a", "g.b", "g.c"):
            _, status, found = run(self.value, cells.read(key), self.now)
            if (present := self.present(key)) == 0:
                assert (status, found) == (404, None)
            else:
                assert found == {"Value": self.puts[present - 1][1], "Revision": present}


TestCellCallsInAnyOrder = CellCallsInAnyOrder.TestCase
TestCellCallsInAnyOrder.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)


def test_events_are_pruned_after_the_retention_time() -> None:
    """Otherwise a group would grow without bound."""
    ages, value = RevisionAges(30 * NS_PER_SECOND), None
    for number in range(1, 1001):
        value, _, _ = run(
            value, cells.compare_and_set("g.a", str(number), None, ages), number * NS_PER_SECOND
        )
        ages.record("g.", number, number * NS_PER_SECOND)
    assert len(decode_group(value).events) == MIN_RETAINED_EVENTS


def test_a_delta_is_refused_between_unrelated_values() -> None:
    """Of two concurrent proposals one may be abandoned, and the next be made from the other."""
    ages = RevisionAges(NS_PER_SECOND)
    both = [run(None, cells.compare_and_set("g.a", value, None, ages))[0] for value in ("kept", "given up")]
    after = run(both[0], cells.compare_and_set("g.b", "next", None, ages))[0]
    assert all(both) and after is not None
    assert GROUP_DELTAS.diff(both[0] or b"", after) and GROUP_DELTAS.diff(both[1] or b"", after) is None
    assert GROUP_DELTAS.diff(msgspec.msgpack.encode(1), msgspec.msgpack.encode(2)) is None


def test_group_names_end_at_the_first_dot() -> None:
    assert [group_name(key) for key in ("g1.2d", "g1.a.b", "alone", ".x")] == ["g1.", "g1.", "alone", "."]
