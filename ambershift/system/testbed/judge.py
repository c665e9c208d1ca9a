"""Judges requests: what clients sent and got against what backends ran. Times are steady seconds."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from ambershift.system.testbed.book import Route

PROMISES = (408, 421, 429, 503)  # It has not run and never will.


def seal_of(instance: str, attempt: str, body: bytes) -> str:
    """What a backend puts into `X-Server-Seal`: made of its life, the attempt and the whole body."""
    return f"{instance}.{blake2b(attempt.encode() + body + instance.encode(), digest_size=8).hexdigest()}"


def digest_of(method: str, target: str, body: bytes) -> str:
    return blake2b(f"{method} {target} ".encode() + body, digest_size=8).hexdigest()


@dataclass(slots=True)
class Try:
    """One attempt id as a client sent it, and each run that a backend noted."""

    route: str
    repeatable: bool
    digest: str
    sent: float
    status: int | None = None
    ended: str = ""
    runs: list[tuple[str, str, float]] = field(default_factory=list)  # Instance, service, when.
    dropped: bool = False  # A backend broke off or lost its answer on purpose.


@dataclass
class Form:
    """One version of a route that was sent: which services may run it, and when it was acknowledged."""

    version: int
    services: frozenset[str]
    acknowledged: float | None = None


class Judge:
    """`faults` counts broken promises by name, with a few words on the first of each."""

    def __init__(self, apply_s: float, drain_s: float, evacuation_s: float) -> None:
        self.apply_s, self.drain_s, self.evacuation_s = apply_s, drain_s, evacuation_s
        self.tries = dict[str, Try]()
        self.forms = defaultdict[str, list[Form]](list)
        self.homes = dict[str, tuple[str, ...]]()
        self.dropped = dict[str, float | None]()  # Routes whose drop was sent; since when acknowledged.
        self.left = dict[str, float]()  # Backend lives whose draining was acknowledged, and when.
        self.evacuated = dict[str, float]()  # Zones, since when that is acknowledged.
        self.cold = dict[str, tuple[float, list[float]]]()  # Lives: cold until, arrivals so far.
        self.faults = Counter[str]()
        self.words = dict[str, str]()
        self.counts = Counter[str]()
        self.waits = list[float]()
        self.began, self.notes = time.monotonic(), list[str]()  # A line for each request out of its aim.
        self.reasons = Counter[str]()
        self.lost_spans = list[tuple[str, float, float]]()  # Proxies that ended in order: address, from, to.

    def fault(self, name: str, words: str) -> None:
        self.faults[name] += 1
        self.words.setdefault(name, words)

    # What the operator says.
    def will_send(self, route: Route) -> Form:
        form = Form(route.version, route.services)
        self.forms[route.name].append(form)
        self.homes[route.name] = route.homes
        return form

    def acknowledged(self, form: Form) -> None:
        form.acknowledged = form.acknowledged or time.monotonic()

    def will_drop(self, route: str) -> None:
        self.dropped[route] = None

    def drop_acknowledged(self, route: str) -> None:
        self.dropped[route] = time.monotonic()

    def in_force(self, one: Try) -> bool:
        """Whether each configuration that may hold has the route of this try."""
        first = self.forms[one.route][0].acknowledged
        return first is not None and one.sent > first + self.apply_s and one.route not in self.dropped

    # What backends say.
    def offered(self, instance: str, zone: str, cold: bool, bound: float) -> None:
        """A request came there, whether it is then run or turned away."""
        now = time.monotonic()
        if instance in self.left and now > self.left[instance] + self.drain_s:
            self.fault("sent to a backend that left", f"{instance}, {now - self.left[instance]:.2f} s after")
        if zone in self.evacuated and now > self.evacuated[zone] + self.evacuation_s:
            self.fault("sent to a zone evacuated", f"{zone}, {now - self.evacuated[zone]:.2f} s after")
        if cold:
            _, times = self.cold.setdefault(instance, (now, []))
            times.append(now)
            if sum(one > now - 1 for one in times) > bound:
                self.fault("too much to a cold backend", f"{instance}, more than {bound:g} in a second")

    def ran(self, attempt: str, digest: str, instance: str, service: str, region: str) -> None:
        now = time.monotonic()
        found = self.tries.get(attempt)
        if found is None or found.digest != digest:
            self.fault("ran what no client sent", f"{attempt} at {instance}")
            return
        found.runs.append((instance, service, now))
        if not found.repeatable and len(found.runs) > 1:
            self.fault("ran twice what may run once", f"{attempt}: {found.runs}")
        if not found.repeatable and found.status in PROMISES:
            self.fault("ran after a promise that it never will", f"{attempt}: {found.status}")
        gone = self.dropped.get(found.route)
        if gone and found.sent > gone + self.apply_s:
            self.fault("handled by an old configuration", f"{found.route} at {service}, it is dropped")
        homes = self.homes.get(found.route, ())
        if homes and region not in homes:
            self.fault("ran away from home", f"{found.route} in {region}, homes {homes}")
        forms = self.forms[found.route]
        if not any(service in form.services for form in forms):
            self.fault("ran at a service it may not reach", f"{found.route} at {service}")
        held = [
            form.version
            for form in forms
            if form.acknowledged and found.sent > form.acknowledged + self.apply_s
        ]
        if held and not any(service in form.services for form in forms if form.version >= max(held)):
            self.fault("handled by an old configuration", f"{found.route} at {service}, r{max(held)} holds")

    def broke_off(self, attempt: str) -> None:
        if found := self.tries.get(attempt):
            found.dropped = True

    # What clients say.
    def sends(self, attempt: str, route: Route, digest: str) -> Try:
        made = self.tries[attempt] = Try(route.name, route.repeatable, digest, time.monotonic())
        self.counts["tries"] += 1
        return made

    def answered(self, attempt: str, status: int, echoed: str, seal: str | None, body: bytes) -> bool:
        """Whether it is a success that is what the backend sent."""
        found = self.tries[attempt]
        found.status, found.ended = status, "answered"
        if echoed and echoed != attempt:
            self.fault("mixed answers", f"{attempt} got the answer to {echoed}")
            return False
        if 200 <= status < 300:
            ran = [instance for instance, _, _ in found.runs]
            if not seal or not any(seal == seal_of(instance, attempt, body) for instance in ran):
                self.fault("mixed answers", f"{attempt}: a success that no backend gave")
                return False
            return True
        if status in PROMISES and found.runs and not found.repeatable:
            self.fault("ran after a promise that it never will", f"{attempt}: {status}")
        if 300 <= status < 500 and status not in PROMISES and self.in_force(found):
            self.fault("refused what is allowed", f"{found.route}: {status}")
        return False

    def closed(self, attempt: str, address: str, read: bool, why: str) -> None:
        found = self.tries[attempt]
        found.ended = why
        now = time.monotonic()
        planned = any(proxy == address and begin <= now <= end for proxy, begin, end in self.lost_spans)
        if read and planned and not found.dropped:
            self.fault("lost at an orderly end", f"{attempt} ({found.route}) at {address}: {why}")

    def finished(self, outcome: str, waited: float, in_aim: bool, reason: str, steps: Sequence[str]) -> None:
        """A client's request with all its tries, step by step: "served", "refused" or "failed"."""
        if not in_aim:
            self.notes.append(
                f"{time.monotonic() - self.began:8.3f} s  {outcome:8} after {waited:.3f} s: "
                f"{', '.join(steps)}"
            )
        self.counts["requests"] += 1
        self.counts[outcome] += 1
        if outcome == "served":
            self.waits.append(waited)
            self.counts["in aim"] += in_aim
        else:
            self.reasons[reason] += 1
