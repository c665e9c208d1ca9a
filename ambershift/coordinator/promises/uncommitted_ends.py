"""Sooner ends of permits in the entries that a restart finds beyond those it knows to be committed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ambershift.coordinator.maintenance.types import Phase
from ambershift.coordinator.promises.codec import decode_command
from ambershift.coordinator.promises.commands import Move
from ambershift.coordinator.replication.types import Entry


class UncommittedEnd(NamedTuple):
    """The end of a permit if `entry` is committed, in Unix ns; 0 if its server returns."""

    entry: int
    ends: int


def uncommitted_ends(entries: Iterable[Entry], committed: int) -> dict[str, UncommittedEnd]:
    """Return the ends that entries after `committed` set, by permit id.

    A member that has let a server in has the entry that allowed it on disk, but perhaps not the information
    that it is committed. The other members no longer count the server as out, so the member must not keep it
    out again after a restart. Letting it in too soon breaks no agreement.
    """
    found = dict[str, UncommittedEnd]()
    for entry in entries:
        command = decode_command(entry.command) if entry.number > committed else None
        if isinstance(command, Move):
            ends = command.ends if command.phase <= Phase.OUT else 0
            earlier = found.get(command.permit)
            found[command.permit] = UncommittedEnd(entry.number, min(ends, earlier.ends) if earlier else ends)
    return found
