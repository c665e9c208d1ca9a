"""Admission: lets through what speaks of known things within bounds, in the module's terms."""

from __future__ import annotations

from collections.abc import Callable

from ambershift import interface as api
from ambershift.coordinator.protocol import discovery, lines, relay
from ambershift.id_index import IdIndex
from ambershift.policy_settings import FrontSettings, to_ns

SECOND = 1_000_000_000
# Against figures that are well formed and can't be: no proxy brings more flows a second, no report spans more
# or less, and no answer takes longer than so many times the longest expiry.
FLOWS_A_SECOND, SPAN_LEAST, SPAN_MOST, EXPIRIES = 1000, SECOND // 1000, 120 * SECOND, 4


class RefusedError(Exception):
    """Well formed, but of something that this coordinator does not know or can't believe."""


class Pace:
    """Against a flood of good lines, of which the module keeps half a minute: lets through twice what the
    settings announce, and what came late, ten seconds of it, at once.
    """

    def __init__(self, per_s: float, now: Callable[[], int]) -> None:
        self.per_ns, self.most, self.now = 2 * per_s / SECOND, 20 * per_s, now
        self.left, self.at = self.most, now()

    def take(self) -> None:
        now = self.now()
        self.left, self.at = min(self.most, self.left + (now - self.at) * self.per_ns), now
        if self.left < 1:
            raise RefusedError("more reports than the settings announce")
        self.left -= 1


class Admission:
    def __init__(self, names: FrontSettings, now: Callable[[], int]) -> None:
        self.settings, self.server_index, self.pace = names, IdIndex[str](), Pace(names.reports_per_s, now)
        self.mean_most = EXPIRIES * names.max_deadline_ms
        self.addresses = dict[int, str]()
        self.zones = {name: at for at, name in enumerate(names.zones)}
        self.groups = {name: at for at, name in enumerate(names.groups)}

    def proxy(self, number: int) -> int:
        if number >= self.settings.proxies:
            raise RefusedError(f"proxy {number} is beyond the {self.settings.proxies} of the settings")
        return number

    def zone(self, name: str) -> int:
        if name not in self.zones:
            raise RefusedError("unknown zone")
        return self.zones[name]

    def loads(self, report: dict[str, float]) -> tuple[float, ...]:
        """The figures in the order of the settings; a report that lacks one counts as none."""
        fields = self.settings.load_fields
        return tuple(report[name] for name in fields) if all(name in report for name in fields) else ()

    def report(self, message: lines.Outcomes | lines.Demand) -> api.ServerReport | api.DemandReport:
        event = self.known(message)
        self.pace.take()  # Last, so that what is refused anyway takes nobody's turn.
        return event

    def known(self, message: lines.Outcomes | lines.Demand) -> api.ServerReport | api.DemandReport:
        span, demand = to_ns(message.span_ms), isinstance(message, lines.Demand)
        if not SPAN_LEAST <= span <= SPAN_MOST:
            raise RefusedError("a span that can't be")
        most = FLOWS_A_SECOND * max(1.0, span / SECOND) * (1 if demand else self.settings.proxies)
        if max(message.tries, message.failed) > most:
            raise RefusedError("more tries than there can be")
        if isinstance(message, lines.Demand):
            group = self.groups.get(message.group)
            if group is None:
                raise RefusedError("unknown class")
            return api.DemandReport(self.proxy(message.proxy), group, message.tries, message.failed, span)
        server = self.server_index.lookup(message.server)
        if server is None:
            raise RefusedError("a server that was never listed")
        if message.mean_ms > self.mean_most:
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
        # One of a zone that the settings lack is served all the same, like one without a zone.
        return api.Joined(self.proxy(hello.proxy), self.zones.get(hello.zone, -1), hello.weight, hello.fresh)

    def applied(self, ack: relay.Ack) -> api.Applied:
        return api.Applied(ack.mark, to_ns(ack.took_ms), self.proxy(ack.proxy))

    def forget(self, server: int) -> None:
        """Reports on it are refused from now on; listed again, it gets another index."""
        self.server_index.forget(server)
        self.addresses.pop(server, None)

    def listed(self, listing: discovery.Listing, cached: bool) -> api.Listed:
        entries = []
        for one in listing.servers:
            index = self.server_index.index(one.id)
            self.addresses[index] = one.address
            entries.append(
                api.Entry(index, self.zones.get(one.zone, -1), one.phase, one.weight, to_ns(one.started_ms))
            )
        return api.Listed(listing.full, cached, tuple(entries))
