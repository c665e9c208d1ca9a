"""Decisions on operators' calls: one content for each version, and each call as a whole."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ambershift.system.configuration.agreement import (
    REFUSED_MOST,
    SUPERSEDED_MOST,
    Accepted,
    Agreement,
    Behind,
    Conflict,
    Invalid,
    Progress,
    Proposal,
    decide,
    read_agreement,
)
from ambershift.system.configuration.change_request import Order, read_order
from ambershift.system.messages.items import OPERATOR_AUTHOR, Item, Key

START = Agreement(0, ())


def services(**caps: tuple[int, int | None]) -> Order:
    """Each name with its version and its cap; None drops it."""
    upsert = [
        {"Name": name, "ConfigVersion": f"r{version}", "ConnectionCap": cap}
        for name, (version, cap) in caps.items()
        if cap is not None
    ]
    remove = [
        {"Name": name, "ConfigVersion": f"r{version}"} for name, (version, cap) in caps.items() if cap is None
    ]
    document: dict[str, Any] = {"Upsert": {"Services": upsert}, "Remove": {"Services": remove}}
    return read_order(msgspec.json.encode(document))


def names(items: tuple[Item, ...]) -> list[tuple[str, int]]:
    return [(one.name, one.version[0]) for one in items]


def test_first_content_of_a_version_wins_and_a_call_is_decided_as_a_whole() -> None:
    progress, held = Progress(0), dict[Key, Item]()
    one, outcome = decide(services(a=(5, 1), b=(5, 1)), START, progress, held)
    assert isinstance(outcome, Accepted) and names(outcome.to_store) == [("a", 5), ("b", 5)]
    assert outcome.end == 2 and {item.version[1] for item in one.recent} == {OPERATOR_AUTHOR}
    after, refused = decide(services(c=(6, 1), a=(5, 2)), one, progress, held)
    assert isinstance(refused, Conflict) and names(refused.items) == [("a", 5)]
    assert after.recent == one.recent  # Nothing of the call is agreed, new items neither.
    again, same = decide(services(a=(5, 1), b=(5, 1)), one, progress, held)
    assert again == one and same == outcome


def test_superseded_version_is_still_checked_against_its_content() -> None:
    progress, held = Progress(0), dict[Key, Item]()
    one, _ = decide(services(a=(5, 1)), START, progress, held)
    two, _ = decide(services(a=(7, 2)), one, progress, held)
    assert isinstance(decide(services(a=(5, 1)), two, progress, held)[1], Accepted)
    assert isinstance(decide(services(a=(5, 3)), two, progress, held)[1], Conflict)
    # A version that came late keeps the content that it came with, though that was never in force.
    three, late = decide(services(a=(6, 1)), two, progress, held)
    assert isinstance(late, Accepted) and three.recent == two.recent
    assert isinstance(decide(services(a=(6, 2)), three, progress, held)[1], Conflict)
    assert isinstance(decide(services(a=(6, None)), three, progress, held)[1], Conflict)


def test_node_that_may_lack_settled_items_does_not_decide() -> None:
    value = msgspec.msgpack.encode(Agreement(3, ()))
    progress = Progress()
    change = Proposal(services(a=(5, 1)), progress, {})
    assert change(None, 0, 0).result == Behind(0)  # What stores held before the first agreement counts, too.
    assert change(value, 0, 0).result == Behind(3)
    progress.has_read(2)
    assert change(value, 0, 0).result == Behind(3) and change(value, 0, 0).new_value is None
    assert not change.tried
    progress.has_read(3)
    assert isinstance(change(value, 0, 0).result, Accepted)
    # Behind after another node's write: its own write may have been agreed nevertheless.
    assert isinstance(change(msgspec.msgpack.encode(Agreement(4, ())), 0, 0).result, Behind) and change.tried


def test_items_stay_in_the_register_until_a_majority_stores_them() -> None:
    progress, held = Progress(0), dict[Key, Item]()
    one, first = decide(services(a=(1, 1), b=(1, 1)), START, progress, held)
    two, _ = decide(services(c=(2, 1)), one, progress, held)
    assert names(two.recent) == [("a", 1), ("b", 1), ("c", 2)]
    assert isinstance(first, Accepted)
    progress.has_stored(first.end)
    three, third = decide(services(d=(3, 1)), two, progress, {item.key: item for item in first.to_store})
    assert names(three.recent) == [("c", 2), ("d", 3)] and three.settled == 2 and three.end == 4
    assert isinstance(third, Accepted) and names(third.to_store) == [("c", 2), ("d", 3)]
    # Another node, which knows less, stores all that is listed, and keeps it listed.
    four, fourth = decide(services(e=(4, 1)), three, Progress(2), {item.key: item for item in first.to_store})
    assert four.settled == 2 and isinstance(fourth, Accepted)
    assert names(fourth.to_store) == [("c", 2), ("d", 3), ("e", 4)]


def test_items_on_the_disk_of_an_earlier_version_count_as_agreed_and_are_stored_again() -> None:
    old = services(a=(5, 1)).items[0]
    held = {old.key: old}
    after, outcome = decide(services(a=(5, 1)), START, Progress(0), held)
    assert after == START and outcome == Accepted((old,), 0)
    assert isinstance(decide(services(a=(5, 2)), START, Progress(0), held)[1], Conflict)
    # Other content was agreed than the one that no majority stored: it wins, however they compare.
    agreed = msgspec.structs.replace(services(a=(5, None)).items[0], version=(5, OPERATOR_AUTHOR))
    for content in (1, 2, None):
        assert agreed.rank > services(a=(5, content)).items[0].rank


def test_rejected_call_stays_rejected_and_the_memory_of_calls_is_bounded() -> None:
    progress, held = Progress(0), dict[Key, Item]()
    route = {"Name": "r", "Host": "h", "PathPrefix": "/", "RouteType": "idempotent", "Service": "s"}
    call = read_order(msgspec.json.encode({"Upsert": {"Routes": [{**route, "ConfigVersion": "r9"}]}}))
    one, outcome = decide(call, START, progress, held)
    assert isinstance(outcome, Invalid) and one.recent == ()
    two, _ = decide(services(s=(1, 1)), one, progress, held)
    assert isinstance(decide(call, two, progress, held)[1], Invalid)
    for version in range(2, 10 * SUPERSEDED_MOST):
        two, _ = decide(services(s=(version, version)), two, progress, held)
        two, _ = decide(services(s=(version, 0)), two, progress, held)
        progress.has_stored(two.end)
    assert len(two.superseded) == SUPERSEDED_MOST and len(two.refused) == REFUSED_MOST
    assert len(two.recent) == 1 and read_agreement(msgspec.msgpack.encode(two)) == two


CALLS = st.lists(
    st.dictionaries(
        st.sampled_from("abc"), st.tuples(st.integers(1, 4), st.sampled_from((1, 2, None))), min_size=1
    ),
    max_size=12,
)


@settings(derandomize=True, max_examples=200)
@given(calls=CALLS, storing=st.lists(st.booleans(), min_size=12, max_size=12))
def test_each_version_gets_one_content_for_any_calls(calls: list[Any], storing: list[bool]) -> None:
    """Two nodes in turn, each with its own store that is read before it decides."""
    agreement = START
    progresses = (Progress(), Progress())
    stored = dict[Key, Item]()
    contents = dict[tuple[Key, int], bytes | None]()
    for number, (call, stores) in enumerate(zip(calls, storing, strict=False)):
        order, progress = services(**call), progresses[number % 2]
        progress.has_read(agreement.settled)
        after, outcome = decide(order, agreement, progress, dict(stored))
        assert after.end >= agreement.end and after.settled >= agreement.settled
        if isinstance(outcome, Accepted):
            for item in order.items:
                assert contents.setdefault((item.key, item.version[0]), item.body) == item.body
            if stores:
                for item in outcome.to_store:
                    if item.key not in stored or item.rank > stored[item.key].rank:
                        stored[item.key] = item
                progress.has_stored(outcome.end)
        else:
            assert after.recent == agreement.recent
        agreement = after
