"""News: what the relay tells of the proxies on two connections alike, told to the module once."""

from __future__ import annotations

from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import relay as codec
from ambershift.coordinator.routing.admission import Admission, RefusedError
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.coordinator.routing.stream_merger import StreamMerger


class ProxyEventFeed(StreamMerger):
    """Hands what the comparing tells to the module, if it is admitted."""

    def __init__(self, admit: Admission, put: Callable[[api.Event], None], event_log: EventLog) -> None:
        super().__init__(self.hand_on)
        self.admit, self.put, self.event_log = admit, put, event_log

    def hand_on(self, news: codec.ProxyEvent) -> bool:
        try:
            match news:
                case codec.Hello():
                    self.put(self.admit.joined(news))
                    self.event_log.record("joined", proxy=news.proxy, zone=news.zone, fresh=news.fresh)
                case codec.Bye():
                    self.put(api.Left(news.proxy))
                    self.event_log.record("left", proxy=news.proxy)
                case codec.Ack():
                    self.put(self.admit.applied(news))
                    self.event_log.count("acks")
        except RefusedError as error:
            self.event_log.record("refused", why=str(error))
            return False
        return True
