"""Broken replicas. Those that no small world reaches are shown by a seed of the simulation."""

from __future__ import annotations

from typing import Any

from ambershift.coordinator.replication import (
    bootstrap,
    client_requests,
    following,
    leading,
    messages,
    peers,
    pending_requests,
    replica,
    view_change,
)
from ambershift.coordinator.replication.core import Core
from ambershift.coordinator.replication.tokens import TokenTable
from ambershift.coordinator.replication.types import Status
from ambershift.modelcheck.mutants.words import Mutant


def born_at_once(real: Any) -> Any:
    """A blank one takes itself for a member and votes, whatever the others hold."""

    def send_recovery_requests(core: Core, now: int) -> None:
        if core.status is Status.BLANK and core.options.is_voter:
            bootstrap.join_new_group(core, now, peers.known_incarnations(core))

    return send_recovery_requests


def born_with_a_majority(real: Any) -> Any:
    def on_blank_response(core: Core, now: int, sender: str, message: messages.BlankResponse) -> None:
        if core.status is Status.BLANK and message.requester_incarnation == core.incarnation:
            bootstrap.join_new_group(core, now, peers.known_incarnations(core))

    return {**real, messages.BlankResponse: on_blank_response}


def recovered_from_anyone(real: Any) -> Any:
    """What one member tells is enough, leader or not."""

    def on_recovery_response(core: Core, now: int, sender: str, message: messages.RecoveryResponse) -> None:
        if (
            core.status is Status.BLANK
            and message.requester_incarnation == core.incarnation
            and message.is_normal
        ):
            core.transfer = None
            core.status, core.view, core.matched_number = Status.NORMAL, message.view, 0

    return {**real, messages.RecoveryResponse: on_recovery_response}


def recovered_without_the_leader(real: Any) -> Any:
    """Recover after f + 1 answers, though the leader's is not among them."""

    def on_recovery_response(core: Core, now: int, sender: str, message: messages.RecoveryResponse) -> None:
        real[messages.RecoveryResponse](core, now, sender, message)
        counted = bootstrap.crash_consistent_responders(core)
        if (
            core.status is Status.BLANK
            and core.transfer is None
            and len(counted) >= core.options.majority - 1
        ):
            core.status, core.view = Status.NORMAL, max(core.recovery_responses[name][1] for name in counted)

    return {**real, messages.RecoveryResponse: on_recovery_response}


def counts_itself_alone(real: Any) -> Any:
    def advance_commit(core: Core, now: int) -> None:
        for name in core.options.voters:
            core.acknowledged[name] = core.incarnations.get(name, 0), core.log.last_number
        real(core, now)

    return advance_commit


def reads_without_a_round(real: Any) -> Any:
    def await_confirmation(core: Core, reader: Any) -> None:
        if reader.attempt:
            real(core, reader)
        else:
            pending_requests.reply_to_read(
                core, reader.member, reader.incarnation, reader.ticket, core.committed
            )

    return await_confirmation


def any_member_reads(real: Any) -> Any:
    """What is committed here is good enough to read."""

    def read(core: Core, now: int, ticket: int, until: int) -> None:
        real(core, now, ticket, until)
        pending_requests.take_read_index(core, ticket, core.committed)

    return read


def first_log_wins(real: Any) -> Any:
    """Who leads next begins with its own log, older or not."""

    def count_view_change_votes(core: Core, now: int) -> None:
        counted = view_change.current_voters(
            core, {name: held[0] for name, held in core.view_change_votes.items()}
        )
        if len(counted) >= core.options.majority and core.options.me in counted and core.transfer is None:
            leading.start_leading(core, now)

    return count_view_change_votes


def leaves_alone(real: Any) -> Any:
    """One vote, its own, makes a leader."""

    def count_view_change_joiners(core: Core, now: int) -> None:
        if core.status is Status.VIEW_CHANGE and core.leader == core.options.me:
            core.voted = True
            leading.start_leading(core, now)
        else:
            real(core, now)

    return count_view_change_joiners


def tokens_are_forgotten(real: Any) -> Any:
    return lambda self, token: None


def tokens_count_once(real: Any) -> Any:
    """Asked after, a token is forgotten."""

    def get(self: TokenTable, token: str) -> None:
        self.answers.pop(token, None)

    return get


def sends_at_once(real: Any) -> Any:
    return lambda self, to, message: self.send(to, message)


def log_is_durable(real: Any) -> Any:
    return property(lambda self: self.log.last_number)


def older_life_counts(real: Any) -> Any:
    """What a life before had vouched for binds nobody."""
    return lambda *words: None


def commits_what_it_has(real: Any) -> Any:
    """A follower applies up to the leader's mark whatever its own log holds there."""

    def commit_up_to(core: Core, number: int) -> Any:
        if not core.leading:
            core.matched_number = max(core.matched_number, min(number, core.log.last_number))
        return real(core, number)

    return commit_up_to


def keeps_its_tail(real: Any) -> Any:
    """Entries of another view in the same places stay."""

    def append_entries(core: Core, entries: Any) -> None:
        real(core, tuple(one for one in entries if one.number > core.log.last_number))

    return append_entries


def nothing_was_written(real: Any) -> Any:
    """A command whose time is over is told as not written."""

    def expire_request(core: Core, ticket: int, want: Any) -> None:
        real(core, ticket, want._replace(open_attempts=()))

    return expire_request


HELD, ORDER, STALE = "acknowledged-is-held", "one-order", "reads-are-not-stale"
GUARDS = "its-own-guards-hold"


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "votes-after-amnesia",
        "replication-small",
        ORDER,
        "a blank one takes itself for one that votes",
        bootstrap,
        "send_recovery_requests",
        born_at_once,
    ),
    Mutant(
        "recovers-from-anyone",
        "replication-small",
        ORDER,
        "one answer of any member ends a recovery",
        replica,
        "HANDLERS",
        recovered_from_anyone,
    ),
    Mutant(
        "acknowledged-before-majority",
        "replication-small",
        HELD,
        "the leader's own log is enough",
        leading,
        "advance_commit",
        counts_itself_alone,
    ),
    Mutant(
        "stale-read",
        "replication",
        STALE,
        "a leader answers reads without a round to a majority",
        leading,
        "await_confirmation",
        reads_without_a_round,
    ),
    Mutant(
        "reads-anywhere",
        "replication",
        STALE,
        "any member answers reads from what it has",
        client_requests,
        "read",
        any_member_reads,
    ),
    Mutant(
        "older-log-wins",
        "replication-small",
        ORDER,
        "a new leader begins with its own log",
        view_change,
        "count_view_change_votes",
        first_log_wins,
    ),
    Mutant(
        "leads-alone",
        "replication-small",
        ORDER,
        "a new leader needs no other vote",
        view_change,
        "count_view_change_joiners",
        leaves_alone,
    ),
    Mutant(
        "tokens-are-forgotten",
        "replication-tokens",
        GUARDS,
        "a token that comes again is written again",
        TokenTable,
        "get",
        tokens_are_forgotten,
    ),
    Mutant(
        "effect-twice",
        "replication-tokens",
        "no-effect-twice",
        "a token is forgotten once asked after",
        TokenTable,
        "get",
        tokens_count_once,
    ),
    Mutant(
        "old-folder-accepted",
        "replication-folders",
        ORDER,
        "a folder behind its member's word is taken",
        peers,
        "check_own_identity",
        older_life_counts,
    ),
    Mutant(
        "vouches-before-sync",
        "replication-folders",
        HELD,
        "what is not on the disk yet counts as held",
        Core,
        "durable",
        log_is_durable,
    ),
)
# `seed` is one whose history shows it; `property` a part of what is told then.
SIMULATED: tuple[Mutant, ...] = (
    Mutant(
        "follower-commits-ahead",
        "simulation",
        "elsewhere",
        "a follower applies what it has up to a mark",
        following,
        "commit_up_to",
        commits_what_it_has,
        36,
    ),
    Mutant(
        "keeps-its-tail",
        "simulation",
        "not done within",
        "entries of older views stay in newer places",
        following,
        "append_entries",
        keeps_its_tail,
        1,
    ),
    Mutant(
        "time-out-is-refusal",
        "simulation",
        "no order explains",
        "what timed out is told as not written",
        pending_requests,
        "expire_request",
        nothing_was_written,
        71,
    ),
    Mutant(
        "recovery-without-the-leader",
        "simulation",
        "in a new group",
        "answers of f members are enough",
        replica,
        "HANDLERS",
        recovered_without_the_leader,
        7,
    ),
    Mutant(
        "birth-with-a-majority",
        "simulation",
        "in a new group",
        "born while a voter may hold something",
        replica,
        "HANDLERS",
        born_with_a_majority,
        5,
        True,
    ),
)
