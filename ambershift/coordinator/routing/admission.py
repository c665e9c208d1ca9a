"""Admission of messages: checks them against the settings and translates them into events of the policy."""

from __future__ import annotations

from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import discovery, lines, relay
from ambershift.id_index import IdIndex
from ambershift.policy_settings import FrontSettings, to_ns

NS_PER_S = 1_000_000_000
# Bounds against figures that are well formed and impossible.
MAX_REQUESTS_PER_PROXY_S = 1000
MIN_REPORT_SPAN_NS = NS_PER_S // 1000
MAX_REPORT_SPAN_NS = 120 * NS_PER_S
MAX_MEAN_IN_DEADLINES = 4  # The longest mean duration, as a multiple of the longest deadline.
RATE_FACTOR = 2  # The report rate allowed, as a multiple of the rate that the settings announce.
# The burst allowed, in seconds of the announced rate: ten seconds of reports at the allowed rate may be late
# and arrive at once.
BURST_S = 20
UNKNOWN_ZONE = -1


class RefusedError(Exception):
    """A well-formed message about something that this coordinator doesn't know, or with impossible values."""


class ReportRateLimiter:
    """A token bucket against floods of valid reports, of which the policy module keeps half a minute."""

    def __init__(self, reports_per_s: float, now: Callable[[], int]) -> None:
        self.tokens_per_ns = RATE_FACTOR * reports_per_s / NS_PER_S
        self.max_tokens = BURST_S * reports_per_s
        self.now = now
        self.tokens, self.updated_at = self.max_tokens, now()

    def acquire(self) -> None:
        """Take one token.

        Raises:
            RefusedError: There is none.
        """
        now = self.now()
        refilled = self.tokens + (now - self.updated_at) * self.tokens_per_ns
        self.tokens, self.updated_at = min(self.max_tokens, refilled), now
        if self.tokens < 1:
            raise RefusedError("more reports than the settings announce")
        self.tokens -= 1


class Admission:
    """Checks messages and replaces the names in them by the indices that the policy module uses."""

    def __init__(self, settings: FrontSettings, now: Callable[[], int]) -> None:
        self.settings = settings
        self.server_index = IdIndex[str]()
        self.rate_limiter = ReportRateLimiter(settings.reports_per_s, now)
        self.max_mean_ms = MAX_MEAN_IN_DEADLINES * settings.max_deadline_ms
        self.addresses = dict[int, str]()
        self.zones = {name: index for index, name in enumerate(settings.zones)}
        self.groups = {name: index for index, name in enumerate(settings.groups)}

    def proxy(self, number: int) -> int:
        """Return a proxy's number.

        Raises:
            RefusedError: The settings have fewer proxies.
        """
        if number >= self.settings.proxies:
            raise RefusedError(f"proxy {number} is beyond the {self.settings.proxies} of the settings")
        return number

    def zone(self, name: str) -> int:
        """Return a zone's index.

        Raises:
            RefusedError: The settings lack it.
        """
        if name not in self.zones:
            raise RefusedError("unknown zone")
        return self.zones[name]

    def loads(self, report: dict[str, float]) -> tuple[float, ...]:
        """Return the figures in the order of the settings; a report that lacks one counts as none."""
        fields = self.settings.load_fields
        return tuple(report[name] for name in fields) if all(name in report for name in fields) else ()

    def report(self, message: lines.Outcomes | lines.Demand) -> api.ServerReport | api.DemandReport:
        """Check and translate a collector's report.

        Raises:
            RefusedError: It names something unknown, its figures are impossible, or there are too many.
        """
        event = self.translate_report(message)
        self.rate_limiter.acquire()  # Last, so that a rejected report uses up no token.
        return event

    def translate_report(self, message: lines.Outcomes | lines.Demand) -> api.ServerReport | api.DemandReport:
        """Check and translate a collector's report, without the limit of their rate.

        Raises:
            RefusedError: It names something unknown, or its figures are impossible.
        """
        span, is_demand = to_ns(message.span_ms), isinstance(message, lines.Demand)
        if not MIN_REPORT_SPAN_NS <= span <= MAX_REPORT_SPAN_NS:
            raise RefusedError("a span that can't be")
        proxies = 1 if is_demand else self.settings.proxies
        max_tries = MAX_REQUESTS_PER_PROXY_S * max(1.0, span / NS_PER_S) * proxies
        if max(message.tries, message.failed) > max_tries:
            raise RefusedError("more tries than there can be")
        if isinstance(message, lines.Demand):
            group = self.groups.get(message.group)
            if group is None:
                raise RefusedError("unknown class")
            return api.DemandReport(self.proxy(message.proxy), group, message.tries, message.failed, span)
        server = self.server_index.lookup(message.server)
        if server is None:
            raise RefusedError("a server that was never listed")
        if message.mean_ms > self.max_mean_ms:
            raise RefusedError("longer than anyone waits")
        return api.ServerReport(
            self.zone(message.zone),
            server,
            message.tries,
            message.failed,
            to_ns(message.mean_ms),
            span,
            self.loads(message.load),
        )

    def joined(self, hello: relay.Hello) -> api.Joined:
        """Translate the join of a proxy.

        A proxy in a zone that the settings lack is served like one without a zone.

        Raises:
            RefusedError: The settings have fewer proxies.
        """
        zone = self.zones.get(hello.zone, UNKNOWN_ZONE)
        return api.Joined(self.proxy(hello.proxy), zone, hello.weight, hello.fresh)

    def applied(self, ack: relay.Ack) -> api.Applied:
        """Translate a proxy's acknowledgement of a mark.

        Raises:
            RefusedError: The settings have fewer proxies.
        """
        return api.Applied(ack.mark, to_ns(ack.took_ms), self.proxy(ack.proxy))

    def forget(self, server: int) -> None:
        """Refuse reports on a server from now on; listed again, it gets another index."""
        self.server_index.forget(server)
        self.addresses.pop(server, None)

    def listed(self, listing: discovery.Listing, cached: bool) -> api.Listed:
        """Translate a list of servers, and give indices to new ones."""
        entries = []
        for one in listing.servers:
            index = self.server_index.index(one.id)
            self.addresses[index] = one.address
            zone = self.zones.get(one.zone, UNKNOWN_ZONE)
            entries.append(api.Entry(index, zone, one.phase, one.weight, to_ns(one.started_ms)))
        return api.Listed(listing.full, cached, tuple(entries))
