"""Life: under which incarnation a member starts, with or without a folder, and what that vouches for."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from ambershift.coordinator.group.disk.files import LockedError, RealFiles
from ambershift.coordinator.group.disk.folder import DiskError, Folder, RefusedError
from ambershift.coordinator.group.spec import MemberSpec
from ambershift.coordinator.promises.answers import encode
from ambershift.coordinator.promises.machine import PromisesMachine
from ambershift.coordinator.promises.words import Nothing
from ambershift.coordinator.replication.replica import Replica
from ambershift.coordinator.replication.types import Saved

Note = Callable[..., None]


class NoFolderError(Exception):
    """The folder can't be had: another process has it, or it is another member's. A person must look."""


class StartupState(NamedTuple):
    """`folder` None: nothing is kept on disk. `failed`: the disk can't be used, and no part is taken. `lost`:
    an earlier life's folder could not be vouched for.
    """

    incarnation: int
    saved: Saved | None
    folder: Folder | None
    failed: str
    lost: bool = False


def begin(spec: MemberSpec, note: Note, least: int = 0, void: str = "") -> StartupState:
    """Waits for the disk. `least` is the lowest incarnation that will do, `void` why a folder counts for
    nothing. Unix time counts incarnations, so that one that lost its folder is newer than it was.
    """
    wall = max(time.time_ns(), least)
    if not spec.folder:
        return StartupState(wall, None, None, "")
    folder = Folder(RealFiles(spec.folder), spec.title, spec.me)
    try:
        opened = folder.open(wall, void)
    except (LockedError, RefusedError) as error:
        raise NoFolderError(str(error)) from None
    except DiskError as error:
        note("disk_failed", why=str(error))
        return StartupState(wall, None, None, str(error))
    if opened.aside:
        note(
            "folder_set_aside",
            why=void or opened.why,
            files=list(opened.aside),
            reason=void or str(opened.fault),
        )
    if opened.torn:
        note("folder_torn", bytes=opened.torn, why="the last write was cut short, and vouched for nothing")
    return StartupState(opened.incarnation, opened.saved, folder, "", opened.lost)


def replica_of(
    spec: MemberSpec, machine: PromisesMachine, life: StartupState, now: int, seed: int
) -> Replica:
    given: dict[str, Any] = {"now": now, "noop": encode(Nothing()), "lost": life.lost}
    return Replica(
        spec.me,
        spec.voters,
        spec.copies,
        machine,
        seed,
        life.incarnation,
        life.saved,
        life.folder is not None,
        **given,
    )
