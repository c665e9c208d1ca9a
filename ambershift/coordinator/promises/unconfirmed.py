"""What a restart finds in the log beyond the entries that it knows to be committed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ambershift.coordinator.maintenance.words import Phase
from ambershift.coordinator.promises.answers import decode
from ambershift.coordinator.promises.words import Move
from ambershift.coordinator.replication.types import Entry


class SoonerEnd(NamedTuple):
    """A permit ends at `ends`, Unix ns, if `entry` is committed; 0 where it is given back."""

    entry: int
    ends: int


def sooner_ends(entries: Iterable[Entry], committed: int) -> dict[str, SoonerEnd]:
    """The ends that entries after `committed` set, by permit.

    A member that has let a server in has the entry that allowed it on its disk, though perhaps not that it is
    committed. The others no longer count the server as out, so after a restart it must not be held out again;
    let in too soon it breaks no agreement.
    """
    found = dict[str, SoonerEnd]()
    for entry in entries:
        command = decode(entry.command) if entry.number > committed else None
        if isinstance(command, Move):
            ends = command.ends if command.phase <= Phase.OUT else 0
            before = found.get(command.permit)
            found[command.permit] = SoonerEnd(entry.number, min(ends, before.ends) if before else ends)
    return found
