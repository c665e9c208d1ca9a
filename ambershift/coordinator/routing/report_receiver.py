"""Reads the lines of each connection at the coordinator's own address and submits admitted reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import lines
from ambershift.coordinator.protocol.fields import UnreadableError, printable_prefix
from ambershift.coordinator.routing.admission import Admission, RefusedError
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.peers import CollectorRegistry, PeerKind, PeerSession
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link


class ReportReceiver:
    """Serves collectors and answers probes."""

    def __init__(
        self, admission: Admission, submit: Callable[[api.Event], None], event_log: EventLog
    ) -> None:
        self.admission, self.submit, self.event_log = admission, submit, event_log
        self.collectors = CollectorRegistry[Link]()

    async def serve(self, link: Link, protect: Callable[[Link], None]) -> None:
        """Serve a connection until it ends. A collector is sent nothing but answers to its own probes.

        Args:
            link: The connection.
            protect: Called once the peer has joined as a collector.

        Raises:
            DisconnectedError: The connection has ended.
        """
        clock = asyncio.get_running_loop().time
        session, zone = PeerSession(clock()), ""
        self.apply_line_limits(link, session)
        try:
            while True:
                for line in await link.read_lines(session.remaining_s(clock())):
                    joined_zone = self.process_line(link, session, line)
                    if joined_zone and not zone:
                        zone = joined_zone
                        if evicted := self.collectors.add(link, zone):
                            evicted.disconnect(DisconnectReason.NO_ROOM)
                        protect(link)
                if zone:
                    self.collectors.touch(link, zone)
        except DisconnectedError as error:
            # Only input shows that the peer is no collector; one that was merely too slow may be one.
            invalid_input = error.reason in (DisconnectReason.UNREADABLE, DisconnectReason.TOO_LONG)
            if session.limits.sends_error and invalid_input:
                link.write_nowait(lines.ERROR)
            raise
        finally:
            if zone:
                self.collectors.remove(link, zone)

    def apply_line_limits(self, link: Link, session: PeerSession) -> None:
        """Set the limits of the peer's kind on its connection."""
        link.set_line_limits(session.limits.max_line_bytes, session.limits.line_timeout_s)

    def record_invalid(self, session: PeerSession, why: str) -> None:
        """Count an invalid message.

        Raises:
            DisconnectedError: It was one too many.
        """
        if session.record_invalid():
            raise DisconnectedError(DisconnectReason.UNREADABLE, why)

    def process_line(self, link: Link, session: PeerSession, line: bytes) -> str:
        """Process one line.

        Returns:
            The zone if the line joins as its collector, else an empty string.

        Raises:
            DisconnectedError: The line is invalid, and one too many.
        """
        try:
            message = lines.parse(line)
            match message:
                case lines.Probe():
                    link.write_nowait(lines.ALIVE)
                    return ""  # Counts neither as valid nor as invalid.
                case lines.Agent():
                    self.admission.zone(message.zone)
                    self.event_log.record("collector", zone=message.zone)
                    session.set_kind(PeerKind.COLLECTOR)
                    self.apply_line_limits(link, session)
                    session.record_valid()
                    return message.zone
                case _ if session.kind is PeerKind.STRANGER:
                    raise RefusedError("a report before a joining")
                case _:
                    self.submit(self.admission.report(message))
                    self.event_log.count("reports")
                    session.record_valid()
        except UnreadableError as error:
            self.event_log.record("unreadable", why=str(error), line=printable_prefix(line))
            self.record_invalid(session, str(error))
        except RefusedError as error:
            self.event_log.record("refused", why=str(error), line=printable_prefix(line))
            self.record_invalid(session, str(error))
        return ""
