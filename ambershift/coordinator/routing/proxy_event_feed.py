"""Submits the proxy events that the relay sends on two connections to the policy module, each once."""

from __future__ import annotations

from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.admission import Admission, RefusedError
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.stream_merger import StreamMerger


class ProxyEventFeed(StreamMerger):
    """Merges the two streams and submits the events that are admitted."""

    def __init__(
        self, admission: Admission, submit: Callable[[api.Event], None], event_log: EventLog
    ) -> None:
        super().__init__(self.submit_event)
        self.admission, self.submit, self.event_log = admission, submit, event_log

    def submit_event(self, event: codec.ProxyEvent) -> bool:
        """Submit an event; return whether it was admitted."""
        try:
            match event:
                case codec.Hello():
                    self.submit(self.admission.joined(event))
                    self.event_log.record("joined", proxy=event.proxy, zone=event.zone, fresh=event.fresh)
                case codec.Bye():
                    self.submit(api.Left(event.proxy))
                    self.event_log.record("left", proxy=event.proxy)
                case codec.Ack():
                    self.submit(self.admission.applied(event))
                    self.event_log.count("acks")
        except RefusedError as error:
            self.event_log.record("refused", why=str(error))
            return False
        return True
