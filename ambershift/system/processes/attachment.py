"""Keeps a proxy attached to a control node: dials, watches the link, and switches to a better node."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Any, Protocol

from ambershift.system.messages.proxy_link import LoadReport
from ambershift.system.node_selection.selector import ControlNodeSelector, max_configuration_age_ns
from ambershift.system.processes.attachment_log import AbandonReason, AttachmentLog
from ambershift.system.processes.candidate_search import CandidateSearch, Dialer
from ambershift.system.processes.control_link import ControlLink, SendQueueFactory
from ambershift.system.processes.locality import LocalityCounter
from ambershift.system.processes.metrics import Metric
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.transport.link_path import PROXY, PeerIdentity

LINK_CHECK_INTERVAL_S = 0.1


class ProxyLinks(Dialer, SendQueueFactory, Protocol):
    """What an attachment needs of `transport.links.Links`, or of simulated links."""


def proxy_identity(settings: ProcessSettings) -> PeerIdentity:
    """How this proxy names itself to the nodes it dials; another identity at each start."""
    return PeerIdentity(PROXY, settings.name, secrets.token_hex(4))


class Attachment:
    """Keeps one link to a control node in use; `node_selection.selector` decides to which."""

    def __init__(
        self,
        settings: ProcessSettings,
        server: ProxyServer,
        links: ProxyLinks,
        steady: Callable[[], int],
        log: Callable[[int, dict[str, Any]], None],
    ) -> None:
        """Start without a link; `run` dials.

        Args:
            settings: The proxy's settings; seeds, zone and bounds count here.
            server: The proxy that the messages are for.
            links: Dials, and makes the send queues.
            steady: The steady clock, in ns.
            log: Writes an event, by its number and fields.
        """
        self.selector = ControlNodeSelector(
            settings.name,
            settings.zone,
            settings.region,
            settings.seed_ips,
            max_configuration_age_ns(settings.name, settings.bounds),
        )
        locality = LocalityCounter(settings.zone, settings.region)
        self.events = AttachmentLog(self.selector, locality, steady, log)
        self.search = CandidateSearch(self.selector, links, steady, self.events)
        self.link = ControlLink(self.selector, server, links, steady, log, self.events)
        self._steady = steady
        self._link_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Keep a link in use until cancelled."""
        try:
            while True:
                await self._maintain_link()
                await self.search.wait_background(LINK_CHECK_INTERVAL_S)
        finally:
            self.search.cancel_background()

    async def _maintain_link(self) -> None:
        now = self._steady()
        if self._link_task is not None and self.selector.is_link_silent(now):
            self.events.abandoned(AbandonReason.SILENT)
            self._close_link()
        reply = self.search.take_background_reply()
        if reply is None and (self._link_task is None or self._link_task.done()):
            self.search.cancel_background()
            reply = await self.search.find_current(self.selector.candidates(now))
        if reply is not None:
            self.search.cancel_background()
            self._close_link()
            self._link_task = asyncio.ensure_future(self.link.run(reply.ip, reply.connection))
        else:
            self.search.start_background(now)

    def _close_link(self) -> None:
        """Give up the link in use, if there is one."""
        if self._link_task is None:
            return
        self._link_task.cancel()
        self._link_task = None
        if self.selector.linked_ip is not None:
            self.selector.record_failure(self._steady(), self.selector.linked_ip)

    def send_hello(self) -> None:
        """Tell the control node what this proxy is, if that has changed."""
        self.link.send_hello()

    def send_report(self, report: LoadReport) -> None:
        """Tell the control node what this proxy has carried."""
        self.link.send_report(report)

    def metrics(self) -> list[Metric]:
        """The metrics of the link."""
        return self.events.metrics(linked=self.link.outbox is not None)
