"""Take in: reads the lines of each connection at our own address and passes on what is admitted."""

from __future__ import annotations

from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import lines
from ambershift.coordinator.protocol.words import UnreadableError, show
from ambershift.coordinator.routing.admit import Admit, RefusedError
from ambershift.coordinator.routing.book import Book
from ambershift.coordinator.transport.endings import EndedError, Ending
from ambershift.coordinator.transport.link import Link

UNREADABLE_MOST = 100


class Intake:
    def __init__(self, admit: Admit, put: Callable[[api.Event], None], book: Book) -> None:
        self.admit, self.put, self.book = admit, put, book

    async def serve(self, link: Link, heard: Callable[[Link], None]) -> None:
        """Serve a connection until it ends. Nothing is written to it but answers to its own probes."""
        unreadable = 0
        while True:
            arrived = await link.lines(None)
            heard(link)
            for line in arrived:
                unreadable = 0 if self.take(link, line) else unreadable + 1
            if unreadable > UNREADABLE_MOST:
                raise EndedError(Ending.UNREADABLE, f"over {UNREADABLE_MOST} lines on end")

    def take(self, link: Link, line: bytes) -> bool:
        try:
            message = lines.read(line)
            match message:
                case lines.Probe():
                    link.say(lines.ALIVE)
                case lines.Agent():
                    self.admit.zone(message.zone)
                    self.book.note("collector", zone=message.zone)
                case _:
                    self.put(self.admit.report(message))
                    self.book.count("reports")
        except UnreadableError as error:
            self.book.note("unreadable", why=str(error), line=show(line))
            return False
        except RefusedError as error:
            self.book.note("refused", why=str(error), line=show(line))
        return True
