"""Broken modules."""

from __future__ import annotations

from typing import Any

from ambershift import interface as api
from ambershift.modelcheck.mutants.words import Mutant
from ambershift.policy import TableManager, health
from ambershift.policy.state import State


def drains_count_from_the_next_list(real: Any) -> Any:
    def update_servers(self: TableManager, event: api.Listed) -> None:
        """The grace counts from when the list speaks again, and not from when it told of the drain."""
        drains = {one.server for one in event.entries if one.phase == api.Phase.DRAINING}
        real(self, event._replace(entries=tuple(one for one in event.entries if one.server not in drains)))

    return update_servers


def keeps_the_old_table(real: Any) -> Any:
    def add_proxy(self: TableManager, event: api.Joined) -> None:
        held = self.proxies[event.proxy].table if event.proxy in self.proxies else None
        real(self, event)
        proxy = self.users[None].pop(event.proxy)
        self.users[held][event.proxy], proxy.table = proxy, held

    return add_proxy


def room_for_all(real: Any) -> Any:
    return lambda self, proxies, lines, part: real(self, proxies, lines, part) or True


def tries_once_more(real: Any) -> Any:
    def evaluate_health(state: State) -> None:
        real(state)
        state.retry_policy = api.RetryPolicy.ONCE

    return evaluate_health


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "grace-from-the-wrong-time",
        "policy",
        "a-drained-server-receives-nothing",
        "a drain counts from when the list speaks again",
        TableManager,
        "update_servers",
        drains_count_from_the_next_list,
    ),
    Mutant(
        "keeps-the-old-table",
        "policy",
        "a-proxy-is-not-left-with-nothing",
        "who joins anew is thought to hold its table",
        TableManager,
        "add_proxy",
        keeps_the_old_table,
    ),
    Mutant(
        "tries-once-more",
        "policy",
        "no-level-lets-a-flow-run-twice",
        "levels allow a try after a time-out",
        health,
        "evaluate_health",
        tries_once_more,
    ),
)
