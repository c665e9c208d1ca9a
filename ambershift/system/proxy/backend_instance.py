"""What a proxy knows of one instance of a backend: whether it may be used, its load, its failures."""

from __future__ import annotations

from dataclasses import dataclass, field

from ambershift.system.messages.proxy_link import Backend
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

LOAD_REPORT_TTL_NS = NS_PER_SECOND  # A reported load counts for so long.
# How long a backend is avoided after failures: doubled each time, from the initial to the maximal backoff.
BACKOFF_INITIAL_NS = NS_PER_SECOND // 2
BACKOFF_MAX_NS = 5 * NS_PER_SECOND
# A backend that rejects a request is assumed to have at least so many waiting for each slot.
ASSUMED_QUEUE_PER_SLOT = 2
# A backend that responds to none of this proxy's requests for so long, plus twice its mean time, is avoided.
SILENCE_TIMEOUT_MIN_NS = 150 * NS_PER_MS
# A share of failures above this, over at least so many recent attempts, counts as a failing backend.
FAILURE_SHARE_MAX = 0.5
FAILURE_SAMPLE_MIN = 12
RECENT_RESULTS_MAX = 4 * FAILURE_SAMPLE_MIN  # Above it, the counts of recent results are halved.
MEAN_WEIGHT = 8  # Each new response time makes up one part in so many of a moving mean.
# A list from a control node that has just started may lack instances whose next heartbeat is still due.
UNLISTED_GRACE_NS = 3 * NS_PER_SECOND
# Added to a reported warm-up time, which is a little old when it arrives.
COLD_MARGIN_NS = 300 * NS_PER_MS


@dataclass(slots=True, eq=False)
class BackendInstance:
    """One instance (`InstanceId`) of a backend. Points in time are ns on the monotonic clock.

    Attributes:
        region: The region of its zone; empty if the zone is unknown.
        slots: How many requests it executes at once.
        draining: It is about to end.
        retired: It drains or is gone, for good.
        ejected: The control node has excluded it.
        evacuated: Its zone is being evacuated.
        is_listed: The list of the link in use has it.
        usable_until: How long it may be used while it isn't listed.
        cold_until: Until when it is cold after a start.
        header_value: Its id as the value of a header.
        in_flight: Requests of this proxy that it has.
        last_response_at: When it last responded.
        waiting_since: Since when its requests wait without a response to any.
        max_in_flight: How many requests this proxy may have there at once.
        queue_length: Requests waiting there, as last reported, or as assumed after a rejection or a reset.
        load_reported_at: When that was.
        sent_since_load_report: Requests of this proxy since then.
        unqueued_response_ns: Moving mean of the response times while nobody waited there.
        backoff_until: Until when it is avoided after failures.
        backoff_ns: The last backoff; 0 after a success.
        recent_results: Counts of recent attempts and of failures among them.
        attempts: Attempts since the last load report.
        failures: Failures since the last load report.
        total_time_ns: Time of the attempts that ended since the last load report.
        completed: Attempts that `mean_response_ns` is made of.
        mean_response_ns: Moving mean of the time of attempts, failed ones included.
    """

    id: str
    service: str
    address: str
    zone: str
    region: str
    slots: int
    draining: bool = False
    retired: bool = False
    ejected: bool = False
    evacuated: bool = False
    is_listed: bool = True
    usable_until: int = 0
    cold_until: int = 0
    header_value: bytes = b""

    in_flight: int = 0
    last_response_at: int = 0
    waiting_since: int = 0
    max_in_flight: int = 1 << 30
    queue_length: int = 0
    load_reported_at: int = -LOAD_REPORT_TTL_NS
    sent_since_load_report: int = 0
    unqueued_response_ns: int = 0
    backoff_until: int = 0
    backoff_ns: int = 0
    recent_results: list[int] = field(default_factory=lambda: [0, 0])

    attempts: int = 0
    failures: int = 0
    total_time_ns: int = 0
    completed: int = 0
    mean_response_ns: int = 0

    # Whether and how long to use it.

    def is_eligible(self, now: int) -> bool:
        """Whether requests may be sent to it at all, warm-up and failures apart."""
        return not (self.draining or self.retired or self.ejected or self.evacuated) and (
            self.is_listed or now < self.usable_until
        )

    def is_full(self, now: int) -> bool:
        """Whether others should be preferred: this proxy fills it, or it has just reported a queue."""
        return (
            self.in_flight >= self.slots
            or self.in_flight >= self.max_in_flight
            or (self.queue_length > 0 and self._has_recent_load(now))
        )

    def is_overloaded(self) -> bool:
        """Whether one more request of this proxy is too many, whatever the alternatives."""
        return self.in_flight >= 2 * self.slots or self.in_flight >= self.max_in_flight

    def is_avoided(self, now: int) -> bool:
        """Whether it is avoided: after failures, or while it leaves all its requests waiting unusually long.

        After the backoff, one request at a time is sent to it until one succeeds.
        """
        if self.backoff_ns > 0 and (now < self.backoff_until or self.in_flight > 0):
            return True
        return self.in_flight > 0 and now - self.waiting_since > self.silence_timeout_ns()

    def silence_timeout_ns(self) -> int:
        """Return how long it may respond to no request before others are preferred."""
        return SILENCE_TIMEOUT_MIN_NS + 2 * self.mean_response_ns

    def is_silent_since(self, since: int) -> bool:
        """Whether it has responded to no request since then."""
        return self.last_response_at < since

    def expected_wait_ns(self, now: int) -> int:
        """Estimate how long one more request would wait there for a slot."""
        if self._has_recent_load(now):
            requests_ahead = self.queue_length + self.sent_since_load_report
        else:
            requests_ahead = self.in_flight + 1 - self.slots
        return max(0, requests_ahead) * self.unqueued_response_ns // self.slots

    def _has_recent_load(self, now: int) -> bool:
        return now - self.load_reported_at < LOAD_REPORT_TTL_NS

    # Attempts at it.

    def record_load(self, now: int, queue_length: int) -> None:
        """It has so many requests waiting for a slot."""
        self.queue_length, self.load_reported_at, self.sent_since_load_report = queue_length, now, 0

    def record_start(self, now: int) -> None:
        """An attempt starts."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1
        self.sent_since_load_report += 1
        self.attempts += 1

    def record_success(self, now: int, time_ns: int) -> None:
        """An attempt has brought a response, whatever its status."""
        self._record_end(time_ns)
        self.last_response_at = self.waiting_since = now
        self.backoff_ns = 0
        if not self.queue_length or not self._has_recent_load(now):
            self.unqueued_response_ns = _moving_mean(self.unqueued_response_ns, time_ns)
        self.recent_results[0] += 1
        self._fade_results()

    def record_rejection(self, now: int, gone: bool) -> None:
        """It has not executed the request: it is full, or (`gone`) another instance has its address."""
        self.in_flight -= 1
        self.last_response_at = self.waiting_since = now
        self.retired = self.retired or gone
        if not gone:
            self.record_load(now, max(ASSUMED_QUEUE_PER_SLOT * self.slots, self.queue_length))

    def record_failure(self, now: int, time_ns: int, conclusive: bool) -> None:
        """An attempt has failed.

        Args:
            now: The monotonic time.
            time_ns: How long the attempt took.
            conclusive: Whether one such failure is enough to avoid it: no connection, or a reset or silence
                while it responded to no request. Others count only once they are many.
        """
        self._record_end(time_ns)
        self.failures += 1
        self.recent_results[0] += 1
        self.recent_results[1] += 1
        attempts, failures = self.recent_results
        has_many_failures = attempts >= FAILURE_SAMPLE_MIN and failures > FAILURE_SHARE_MAX * attempts
        if (conclusive or has_many_failures) and now >= self.backoff_until:
            self.backoff_ns = min(BACKOFF_MAX_NS, 2 * self.backoff_ns) or BACKOFF_INITIAL_NS
            self.backoff_until = now + self.backoff_ns
        self._fade_results()

    def record_abandoned(self) -> None:
        """An attempt has ended for a reason that says nothing of the backend."""
        self.in_flight -= 1

    def _record_end(self, time_ns: int) -> None:
        self.in_flight -= 1
        self.total_time_ns += time_ns
        self.completed += 1
        self.mean_response_ns = _moving_mean(self.mean_response_ns, time_ns)

    def _fade_results(self) -> None:
        if self.recent_results[0] > RECENT_RESULTS_MAX:
            self.recent_results = [count // 2 for count in self.recent_results]


def _moving_mean(mean_ns: int, sample_ns: int) -> int:
    """Return the mean with one more sample; the first sample is the mean."""
    return mean_ns + (sample_ns - mean_ns) // MEAN_WEIGHT if mean_ns else sample_ns


def instance_from_message(backend: Backend, region: str) -> BackendInstance:
    """Create the record of an instance that a control node lists."""
    return BackendInstance(
        backend.id,
        backend.service,
        backend.address,
        backend.zone,
        region,
        max(1, backend.slots),
        backend.draining,
        header_value=backend.id.encode("latin-1", "replace"),
    )
