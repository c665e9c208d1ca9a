"""Take in: reads the lines of each connection at our own address and passes on what is admitted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import lines
from ambershift.coordinator.protocol.fields import UnreadableError, show
from ambershift.coordinator.routing.admission import Admission, RefusedError
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.peers import CollectorRegistry, PeerKind, PeerSession
from ambershift.coordinator.transport.disconnect import DisconnectedError, DisconnectReason
from ambershift.coordinator.transport.link import Link


class ReportReceiver:
    def __init__(self, admit: Admission, put: Callable[[api.Event], None], event_log: EventLog) -> None:
        self.admit, self.put, self.event_log = admit, put, event_log
        self.peers = CollectorRegistry[Link]()

    async def serve(self, link: Link, keep: Callable[[Link], None]) -> None:
        """Serve a connection until it ends. A collector is written nothing but answers to its own probes."""
        clock = asyncio.get_running_loop().time
        conduct, zone = PeerSession(clock()), ""
        self.bound(link, conduct)
        try:
            while True:
                for line in await link.read_lines(conduct.remaining_s(clock())):
                    named = self.take(link, conduct, line)
                    if named and not zone:
                        zone = named
                        if gone := self.peers.add(link, zone):
                            gone.disconnect(DisconnectReason.NO_ROOM)
                        keep(link)
                if zone:
                    self.peers.touch(link, zone)
        except DisconnectedError as end:
            # Only what came tells of rubbish; whoever was too slow may be a collector all the same.
            if conduct.limits.sends_error and end.reason in (
                DisconnectReason.UNREADABLE,
                DisconnectReason.TOO_LONG,
            ):
                link.write_nowait(lines.ERROR)
            raise
        finally:
            if zone:
                self.peers.remove(link, zone)

    def bound(self, link: Link, conduct: PeerSession) -> None:
        link.set_line_limits(conduct.limits.max_line_bytes, conduct.limits.line_timeout_s)

    def unusable(self, conduct: PeerSession, why: str) -> None:
        if conduct.record_invalid():
            raise DisconnectedError(DisconnectReason.UNREADABLE, why)

    def take(self, link: Link, conduct: PeerSession, line: bytes) -> str:
        """Pass a message on; of one that joins this tells the zone."""
        try:
            message = lines.parse(line)
            match message:
                case lines.Probe():
                    link.write_nowait(lines.ALIVE)
                    return ""  # Says nothing about the rest that a peer sends.
                case lines.Agent():
                    self.admit.zone(message.zone)
                    self.event_log.record("collector", zone=message.zone)
                    conduct.set_kind(PeerKind.COLLECTOR)
                    self.bound(link, conduct)
                    conduct.record_valid()
                    return message.zone
                case _ if conduct.kind is PeerKind.STRANGER:
                    raise RefusedError("a report before a joining")
                case _:
                    self.put(self.admit.report(message))
                    self.event_log.count("reports")
                    conduct.record_valid()
        except UnreadableError as error:
            self.event_log.record("unreadable", why=str(error), line=show(line))
            self.unusable(conduct, str(error))
        except RefusedError as error:
            self.event_log.record("refused", why=str(error), line=show(line))
            self.unusable(conduct, str(error))
        return ""
