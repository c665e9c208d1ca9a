"""How a member starts: its incarnation, and what its folder still holds."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from ambershift.coordinator.group.disk.files import LockedError, RealFiles
from ambershift.coordinator.group.disk.folder import DiskError, Folder, RefusedError
from ambershift.coordinator.group.spec import MemberSpec
from ambershift.coordinator.promises.codec import encode_command
from ambershift.coordinator.promises.commands import Nothing
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.types import PersistedState

Note = Callable[..., None]


class NoFolderError(Exception):
    """The folder is another member's, or another process has it: an operator must look."""


class StartupState(NamedTuple):
    """What a member starts with.

    Attributes:
        incarnation: Its incarnation.
        saved: The durable state; None where there is none.
        folder: Its folder; None where nothing is kept on disk.
        disk_error: Why the disk can't be used, and the member takes no part; empty where it can.
        lost_state: The state of an earlier start was set aside, and none has been recovered since.
    """

    incarnation: int
    saved: PersistedState | None
    folder: Folder | None
    disk_error: str
    lost_state: bool = False


def start_incarnation(
    spec: MemberSpec, note: Note, min_incarnation: int = 0, void_reason: str = ""
) -> StartupState:
    """Open the folder and choose a new incarnation; waits for the disk.

    Incarnations are Unix times in ns, so that a member that lost its folder has a newer one than before.

    Args:
        spec: The member.
        note: Writes a log event.
        min_incarnation: The lowest incarnation that will do.
        void_reason: Why the folder's content must not be used; empty where it may.

    Raises:
        NoFolderError: The folder is another member's, or another process has it.
    """
    wall = max(time.time_ns(), min_incarnation)
    if not spec.folder:
        return StartupState(wall, None, None, "")
    folder = Folder(RealFiles(spec.folder), spec.group_name, spec.name)
    try:
        opened = folder.open(wall, void_reason)
    except (LockedError, RefusedError) as error:
        raise NoFolderError(str(error)) from None
    except DiskError as error:
        note("disk_failed", why=str(error))
        return StartupState(wall, None, None, str(error))
    if opened.aside:
        note(
            "folder_set_aside",
            why=void_reason or opened.why,
            files=list(opened.aside),
            reason=void_reason or str(opened.fault),
        )
    if opened.torn:
        note("folder_torn", bytes=opened.torn, why="the last write was cut short, and never acknowledged")
    return StartupState(opened.incarnation, opened.saved, folder, "", opened.lost)


def create_replica(
    spec: MemberSpec, machine: GroupStateMachine, startup: StartupState, now: int, seed: int
) -> Replica:
    """Return the replica of a member that starts; `now` is in ns."""
    options: dict[str, Any] = {
        "now": now,
        "noop": encode_command(Nothing()),
        "lost_state": startup.lost_state,
    }
    return Replica(
        spec.name,
        spec.voters,
        spec.learners,
        machine,
        seed,
        startup.incarnation,
        startup.saved,
        startup.folder is not None,
        **options,
    )
