"""Execute: carries out commands on the scene. No I/O, no waiting: what must wait is given back as such."""

from __future__ import annotations

from collections.abc import Callable

from ambershift.coordinator.runtime import lookup
from ambershift.coordinator.runtime.catalogue import Kind
from ambershift.coordinator.runtime.changes import BadCommandError
from ambershift.coordinator.runtime.changing import Changing
from ambershift.coordinator.runtime.converse import Converse, usage
from ambershift.coordinator.runtime.grammar import Command
from ambershift.coordinator.runtime.outcomes import Answer, Outcome, error
from ambershift.coordinator.runtime.reading import Reading
from ambershift.coordinator.runtime.scene import Scene
from ambershift.coordinator.runtime.session import Session, Severity

Handler = Callable[[Session, Command, tuple[str, ...]], Outcome]


class Executor(Converse, Reading, Changing):
    def __init__(self, scene: Scene) -> None:
        self.scene = scene

    def run(self, session: Session, command: Command) -> Outcome:
        """Carry out one command, whole or not at all; whatever it wants, the answer is for a person."""
        try:
            return self.handle(session, command)
        except BadCommandError as bad:
            return error(str(bad))

    def handle(self, session: Session, command: Command) -> Outcome:
        found = lookup.find(command.words)
        if found is None or not self.has(found[0]):
            return self.unknown(session, command)
        entry, rest = found
        if session.level < entry.level:
            return error("Permission denied")
        if entry.kind is Kind.REFUSED:
            return error(f"Refused (not-here): '{entry.name}': {entry.note}.")
        if command.payload is not None and "<<" not in entry.usage and entry.path != ("once",):
            return error(f"'{entry.name}' takes no payload.")
        handler: Handler = getattr(self, f"do_{entry.handler}")
        return handler(session, command, rest)

    def unknown(self, session: Session, command: Command) -> Answer:
        near = [one for one in lookup.alike(command.words) if one.level <= session.level and self.has(one)]
        first = f"Unknown command: '{' '.join(command.words)[:80]}'"
        if not near:
            return error(f"{first}. Please enter 'help' to see the commands.")
        return Answer(
            (f"{first}, but maybe one of the following ones is a better match:", *map(usage, near)),
            Severity.ERROR,
        )
