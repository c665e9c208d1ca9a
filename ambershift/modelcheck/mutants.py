"""Broken variants of the machines that run, each changed in one place, which the checker must catch.

What a variant breaks is a mistake that somebody could make. The harmless ones change something that does not
matter: to report one of these would be a false alarm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any, NamedTuple
from unittest import mock

from ambershift import interface as api
from ambershift.admin import coverage, desk, pace
from ambershift.admin.words import Stage
from ambershift.attempt.machine import Attempt, Evidence
from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing import compared, peers
from ambershift.coordinator.routing.row import Call, Outcome, Row
from ambershift.policy import TableManager, health
from ambershift.policy.state import State


class Mutant(NamedTuple):
    """`property` is what must be found broken in `model`; "" for a harmless one. `changes` are what is put
    in place
    of what: an owner, a name, and a function that is given the original."""

    name: str
    model: str
    property: str
    sentence: str
    owner: Any
    target: str
    change: Callable[[Any], Any]


@contextmanager
def broken(mutant: Mutant) -> Iterator[None]:
    with mock.patch.object(mutant.owner, mutant.target, mutant.change(getattr(mutant.owner, mutant.target))):
        yield


# The row

def first_is_last(real: Any) -> Any:
    return lambda row: row.calls[-1]


def goes_behind(real: Any) -> Any:
    """A call that is turned away goes to the end of the row."""
    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Busy):
            row.calls.rotate(-1)
        found: Outcome | None = real(row, answer)
        return found
    return answered


def fold_without(word: str) -> Callable[[Any], Any]:
    return lambda real: lambda orders: [one for one in real(orders) if not one.startswith(word)]


def fold_keeps_the_first(real: Any) -> Any:
    return lambda orders: list(reversed(real(list(reversed(orders)))))


def fold_nothing(real: Any) -> Any:
    return lambda orders: list(orders)


def busy_is_done(real: Any) -> Any:
    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Busy):
            row.calls.popleft()
            return None
        found: Outcome | None = real(row, answer)
        return found
    return answered


def rest_is_dropped(real: Any) -> Any:
    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        if isinstance(answer, codec.Done) and answer.taken < len(row.first().orders):
            call = row.calls.popleft()
            return Outcome(call, call.orders[answer.taken], "order_not_taken", call.upto)
        found: Outcome | None = real(row, answer)
        return found
    return answered


def misread_drops_all(real: Any) -> Any:
    return lambda row, call: Outcome(call, call.orders[0], "order_not_read", call.upto)


def parts_settle_the_reply_before(real: Any) -> Any:
    def misread(row: Row, call: Call) -> Outcome:
        found: Outcome = real(row, call)
        if len(call.orders) > 1:
            for at in range(len(call.orders) - 1):
                row.calls[at] = row.calls[at]._replace(upto=call.upto - 1)
        return found
    return misread


def settled_at_the_refusal(real: Any) -> Any:
    def answered(row: Row, answer: codec.Answer) -> Outcome | None:
        upto = row.first().upto
        found: Outcome | None = real(row, answer)
        return found._replace(settled=upto) if found is not None and found.lost else found
    return answered


# The news

def both_begin_anew(real: Any) -> Any:
    def begin(self: compared.Compared, place: int) -> None:
        real(self, place)
        self.streams[place].ahead.clear()
        self.streams[place].stated.clear()
    return begin


def not_compared_while_the_other_is_up(real: Any) -> Any:
    def reconcile(
        self: compared.Compared, stream: Any, other: Any, only: Any = None, just: bool = False
    ) -> None:
        if not (just and other.level):
            real(self, stream, other, only, just)
    return reconcile


def wrong_side(real: Any) -> Any:
    def reconcile(
        self: compared.Compared, stream: Any, other: Any, only: Any = None, just: bool = False
    ) -> None:
        real(self, other, stream, only, just)
    return reconcile


def takes_no_heed_of_what_is_ahead(real: Any) -> Any:
    return lambda self, other: set()


def never_compared(real: Any) -> Any:
    return lambda *words: None


def told_twice(real: Any) -> Any:
    return lambda one, other: False


# Peers

def nothing(real: Any) -> Any:
    return lambda *words: None


def no_time(real: Any) -> Any:
    return lambda self, now: None


def one_bad_is_enough(real: Any) -> Any:
    def unusable(self: peers.Conduct) -> bool:
        self.bad += 1
        return True
    return unusable


# The desk

def refuses_nothing(real: Any) -> Any:
    return lambda *words: None


def heirs_are_here(real: Any) -> Any:
    return lambda *words: False


def lends_nobody(real: Any) -> Any:
    return lambda self, world, now: world


def held_is_dropped(real: Any) -> Any:
    return lambda self, server, since: None


def wishes_are_passed_over(real: Any) -> Any:
    return lambda world, server, warmth, now: world.listed[server]


def applied_once_told(real: Any) -> Any:
    return lambda picture, server, told: Stage.APPLIED if told.entry is not None else Stage.GATHERED


def a_cut_drops_the_row(real: Any) -> Any:
    def push(row: Row, texts: Sequence[str]) -> int:
        while len(row.calls) > 1:
            row.calls.pop()
        folded: int = real(row, texts)
        return folded
    return push


# Attempts

def slips_run_again(real: Any) -> Any:
    def may(self: Attempt, again: Any, bearing: Any, server: int, now: int) -> bool:
        if bearing.repeat is api.Repeat.NON_RETRIABLE:
            bearing = bearing._replace(repeat=api.Repeat.RETRIABLE)
        allowed: bool = real(self, again, bearing, server, now)
        return allowed
    return may


def resets_prove_nothing_ran(real: Any) -> Any:
    return lambda self, evidence, server, sent_at: self


def only_the_last_try_counts(real: Any) -> Any:
    def failed(self: Attempt, evidence: Evidence, server: int, sent_at: int) -> Attempt:
        if evidence is Evidence.NOT_RUN:
            return self._replace(first=-1, since=-1)
        found: Attempt = real(self, evidence, server, sent_at)
        return found
    return failed


def bearing_with(**changes: Any) -> Callable[[Any], Any]:
    def change(real: Any) -> Any:
        return lambda self, again, bearing, server, now: real(
            self, again, bearing._replace(**changes), server, now)
    return change


def one_try_too_many(real: Any) -> Any:
    return lambda self, again, bearing, server, now: real(
        self._replace(tries=max(0, self.tries - 1)), again, bearing, server, now)


# The module

def drains_count_from_the_next_list(real: Any) -> Any:
    def hear_list(self: TableManager, event: api.Listed) -> None:
        """The grace counts from when the list speaks again, and not from when it told of the drain."""
        drains = {one.server for one in event.entries if one.phase == api.Phase.DRAINING}
        real(self, event._replace(entries=tuple(one for one in event.entries if one.server not in drains)))
    return hear_list


def keeps_the_old_table(real: Any) -> Any:
    def join(self: TableManager, event: api.Joined) -> None:
        held = self.proxies[event.proxy].table if event.proxy in self.proxies else None
        real(self, event)
        proxy = self.users[None].pop(event.proxy)
        self.users[held][event.proxy], proxy.table = proxy, held
    return join


def room_for_all(real: Any) -> Any:
    return lambda self, proxies, lines, part: real(self, proxies, lines, part) or True


def tries_once_more(real: Any) -> Any:
    def judge(state: State) -> None:
        real(state)
        state.again = api.Again.ONCE
    return judge


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "later-call-first",
        "row",
        "settled-means-held",
        "a later call is sent before the unknown one",
        Row,
        "first",
        first_is_last,
    ),
    Mutant(
        "turned-away-goes-behind",
        "row",
        "settled-means-held",
        "a call that is turned away goes last",
        Row,
        "answered",
        goes_behind,
    ),
    Mutant(
        "fold-drops-a-bind",
        "row",
        "the-last-word-is-held",
        "folding loses who uses a table",
        codec,
        "fold",
        fold_without("attach"),
    ),
    Mutant(
        "fold-keeps-the-first-word",
        "row",
        "the-last-word-is-held",
        "folding keeps what a later order made void",
        codec,
        "fold",
        fold_keeps_the_first,
    ),
    Mutant(
        "busy-is-done",
        "row",
        "the-last-word-is-held",
        "a call that was turned away counts as carried out",
        Row,
        "answered",
        busy_is_done,
    ),
    Mutant(
        "rest-is-dropped",
        "row",
        "the-last-word-is-held",
        "what follows a refused order is forgotten",
        Row,
        "answered",
        rest_is_dropped,
    ),
    Mutant(
        "misread-drops-all",
        "row",
        "the-last-word-is-held",
        "a misread call is given up whole",
        Row,
        "misread",
        misread_drops_all,
    ),
    Mutant(
        "parts-settle",
        "row",
        "settled-means-held",
        "parts of a folded call settle the reply before",
        Row,
        "misread",
        parts_settle_the_reply_before,
    ),
    Mutant(
        "settled-at-the-refusal",
        "row",
        "settled-means-held",
        "a reply settles while its rest still waits",
        Row,
        "answered",
        settled_at_the_refusal,
    ),
    Mutant(
        "nothing-is-folded",
        "row",
        "what-waits-is-bounded",
        "what waits is not folded",
        codec,
        "fold",
        fold_nothing,
    ),
    Mutant(
        "both-begin-anew",
        "news-small",
        "nothing-is-told-twice",
        "a new connection forgets what the old one told first",
        compared.Compared,
        "begin",
        both_begin_anew,
    ),
    Mutant(
        "not-compared-beside-the-other",
        "news-small",
        "nothing-is-told-twice",
        "what stands is not compared while the other is up",
        compared.Compared,
        "reconcile",
        not_compared_while_the_other_is_up,
    ),
    Mutant(
        "wrong-side",
        "news",
        "nothing-is-told-twice",
        "the news are compared with the other's view",
        compared.Compared,
        "reconcile",
        wrong_side,
    ),
    Mutant(
        "ahead-is-not-heeded",
        "news",
        "nothing-is-told-twice",
        "what the other told first is taken for missed",
        compared.Compared,
        "pending",
        takes_no_heed_of_what_is_ahead,
    ),
    Mutant(
        "never-compared",
        "news-small",
        "what-is-known-is-what-stands",
        "what stands is not compared on return",
        compared.Compared,
        "reconcile",
        never_compared,
    ),
    Mutant(
        "each-is-told",
        "news-small",
        "nothing-is-told-twice",
        "what both bring is told twice",
        compared,
        "same",
        told_twice,
    ),
    Mutant(
        "bad-ones-add-up",
        "collector",
        "only-rubbish-ends-a-collector",
        "good reports forgive nothing",
        peers.Conduct,
        "good",
        nothing,
    ),
    Mutant(
        "one-bad-is-enough",
        "collector",
        "only-rubbish-ends-a-collector",
        "one bad message ends a collector",
        peers.Conduct,
        "unusable",
        one_bad_is_enough,
    ),
    Mutant(
        "first-goes",
        "collector",
        "the-silent-one-goes",
        "the one that joined first goes, silent or not",
        peers.Peers,
        "heard",
        nothing,
    ),
    Mutant(
        "strangers-stay",
        "collector",
        "no-stranger-stays",
        "a stranger has all the time it likes",
        peers.Conduct,
        "time_left",
        no_time,
    ),
    Mutant(
        "gone-ones-count",
        "collector",
        "a-zone-holds-three",
        "who left is still in the row of its zone",
        peers.Peers,
        "left",
        nothing,
    ),
    Mutant(
        "refuses-nothing",
        "admin",
        "an-accepted-command-is-never-lost",
        "the last server may be taken away",
        desk,
        "uncovered",
        refuses_nothing,
    ),
    Mutant(
        "no-heir",
        "admin",
        "commands-leave-no-proxy-with-nothing",
        "a server leaves before its heir is let in",
        desk,
        "heir_is_away",
        heirs_are_here,
    ),
    Mutant(
        "lends-nobody",
        "admin",
        "the-lost-are-stood-in-for",
        "with all others lost the drained stay out",
        coverage.Lender,
        "lend",
        lends_nobody,
    ),
    Mutant(
        "held-is-dropped",
        "admin",
        "an-accepted-command-is-never-lost",
        "a wish that must wait is forgotten",
        pace.Pace,
        "hold",
        held_is_dropped,
    ),
    Mutant(
        "wishes-are-passed-over",
        "admin",
        "an-accepted-command-is-never-lost",
        "the list's word alone is told",
        desk,
        "effective",
        wishes_are_passed_over,
    ),
    Mutant(
        "applied-once-told",
        "admin",
        "what-is-shown-as-applied-is",
        "a wish shows as applied once it is told",
        desk,
        "stage",
        applied_once_told,
    ),
    Mutant(
        "a-cut-drops-the-row",
        "admin",
        "the-lost-are-stood-in-for",
        "what waits in a cut is dropped",
        Row,
        "push",
        a_cut_drops_the_row,
    ),
    Mutant(
        "slips-run-again",
        "attempt-small",
        "no-slip-takes-effect-twice",
        "a slip is sent again after a time-out",
        Attempt,
        "may",
        slips_run_again,
    ),
    Mutant(
        "resets-prove-nothing-ran",
        "attempt-small",
        "no-slip-takes-effect-twice",
        "a reset with bytes sent counts as proof",
        Attempt,
        "failed",
        resets_prove_nothing_ran,
    ),
    Mutant(
        "only-the-last-try-counts",
        "attempt-one-table",
        "deduped-takes-effect-once",
        "a refusal makes the time-out before it forgotten",
        Attempt,
        "failed",
        only_the_last_try_counts,
    ),
    Mutant(
        "outside-the-window",
        "attempt-small",
        "deduped-takes-effect-once",
        "the window of a key does not count",
        Attempt,
        "may",
        bearing_with(window=1 << 60),
    ),
    Mutant(
        "arrives-too-late",
        "attempt-small",
        "deduped-takes-effect-once",
        "the way of a try does not count",
        Attempt,
        "may",
        bearing_with(way=0),
    ),
    Mutant(
        "outside-the-group",
        "attempt-apart",
        "deduped-takes-effect-once",
        "a key is taken for known everywhere",
        Attempt,
        "may",
        bearing_with(everywhere=True),
    ),
    Mutant(
        "one-try-too-many",
        "attempt-small",
        "no-more-tries-than-the-way-allows",
        "the first try is not counted",
        Attempt,
        "may",
        one_try_too_many,
    ),
    Mutant(
        "grace-from-the-wrong-time",
        "policy",
        "a-drained-server-receives-nothing",
        "a drain counts from when the list speaks again",
        TableManager,
        "hear_list",
        drains_count_from_the_next_list,
    ),
    Mutant(
        "keeps-the-old-table",
        "policy",
        "a-proxy-is-not-left-with-nothing",
        "who joins anew is thought to hold its table",
        TableManager,
        "join",
        keeps_the_old_table,
    ),
    Mutant(
        "tries-once-more",
        "policy",
        "no-level-lets-a-flow-run-twice",
        "levels allow a try after a time-out",
        health,
        "judge",
        tries_once_more,
    ),
    # Harmless
    Mutant(
        "harmless-marks-are-dropped",
        "row",
        "",
        "folding leaves out marks, which nobody waits for in a cut",
        codec,
        "fold",
        fold_without("fence"),
    ),
    Mutant(
        "harmless-quiet",
        "admin",
        "",
        "wishes are gathered for twice as long",
        pace,
        "QUIET",
        lambda real: 2 * real,
    ),
    Mutant(
        "harmless-ahead",
        "news",
        "",
        "half as many news may be ahead",
        compared,
        "AHEAD_MOST",
        lambda real: real // 2,
    ),
    Mutant(
        "harmless-order",
        "collector",
        "",
        "who is heard goes behind by another way",
        peers.Peers,
        "heard",
        lambda real: (
            lambda self, link, zone: (self.joined[zone].remove(link), self.joined[zone].append(link))[0]
        ),
    ),
)


def by_name() -> dict[str, Mutant]:
    return {one.name: one for one in MUTANTS}
