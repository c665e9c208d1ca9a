"""Which scripted world shows which broken variant: those that chance finds seldom, if ever."""

from __future__ import annotations

from collections.abc import Callable

from ambershift.system.simulation import scripts_cluster as cluster
from ambershift.system.simulation import scripts_configuration as configuration
from ambershift.system.simulation import scripts_disks as disks
from ambershift.system.simulation import scripts_voters as voters

Script = Callable[[], list[str]]


def left_behind() -> list[str]:
    return voters.left_behind(1, unsynced=False)


def left_behind_unsynced() -> list[str]:
    """Seeds differ in when the one that dies has written what."""
    return [wrong for seed in (1, 11, 25, 28, 31) for wrong in voters.left_behind(seed, unsynced=True)]


def forgetful() -> list[str]:
    return [wrong for seed in (1, 3, 8) for wrong in voters.forgetful(seed)]


def accepted_alone() -> list[str]:
    return voters.accepted_alone(first=True)


def at_once() -> list[str]:
    return configuration.rivals(1, 0)


SCRIPTS: dict[str, Script] = {
    "complete-from-one": accepted_alone,
    "time-out-is-refusal": left_behind_unsynced,
    "answers-counted-twice": disks.told_twice,
    "acknowledged-before-the-sync": left_behind_unsynced,
    "ballot-reused": forgetful,
    "old-voting-set": left_behind,
    "copy-told-before-the-seal": left_behind_unsynced,
    "registers-copied-while-voting": disks.late_copy,
    "promises-not-handed-on": accepted_alone,
    "hold-without-margin": cluster.fast_clock,
    "late-run-takes-again": disks.late_run,
    "configuration-decided-here": at_once,
    "never-left-out": voters.three_leave,
    "evacuation-without-asking": cluster.stale_copy,
    "late-order-carried-out": cluster.late_order,
    "order-of-one-who-left": cluster.late_order,
    "end-of-connection-awaited-too-briefly": cluster.late_order_of_a_far_operator,
    "stopped-unnoticed": cluster.woken,
}
