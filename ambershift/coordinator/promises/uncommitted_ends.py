"""What a restart finds in the log beyond the entries that it knows to be committed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ambershift.coordinator.maintenance.types import Phase
from ambershift.coordinator.promises.codec import decode_command
from ambershift.coordinator.promises.commands import Move
from ambershift.coordinator.replication.types import Entry


class UncommittedEnd(NamedTuple):
    """A permit ends at `ends`, Unix ns, if `entry` is committed; 0 where it is given back."""

    entry: int
    ends: int


def uncommitted_ends(entries: Iterable[Entry], committed: int) -> dict[str, UncommittedEnd]:
    """The ends that entries after `committed` set, by permit.

    A member that has let a server in has the entry that allowed it on its disk, though perhaps not that it is
    committed. The others no longer count the server as out, so after a restart it must not be held out again;
    let in too soon it breaks no agreement.
    """
    found = dict[str, UncommittedEnd]()
    for entry in entries:
        command = decode_command(entry.command) if entry.number > committed else None
        if isinstance(command, Move):
            ends = command.ends if command.phase <= Phase.OUT else 0
            before = found.get(command.permit)
            found[command.permit] = UncommittedEnd(entry.number, min(ends, before.ends) if before else ends)
    return found
