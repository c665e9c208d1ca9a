"""Limits what this proxy sends to a cold backend, so that all proxies together stay below its rate."""

from __future__ import annotations

from hashlib import blake2b

from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.state_machine import NS_PER_SECOND

# Two requests of one proxy this far apart are never sent within one second.
MIN_SEND_INTERVAL_NS = NS_PER_SECOND + NS_PER_SECOND // 20
# The share of the rate that the selected proxies are expected to use: how many select themselves is random.
EXPECTED_USE_SHARE = 0.5
MAX_RECORDS = 1000  # Above it, records older than the interval are dropped.


class ColdStartLimiter:
    """Lets each cold backend get one request of this proxy now and then, if the proxy is a selected one.

    A hash of the proxy's and the backend's names selects these proxies: none knows the others, only how many
    there may be.
    """

    def __init__(self, proxy_name: str) -> None:
        """Start without records."""
        self._proxy_name = proxy_name
        self._last_sent: dict[str, int] = {}  # By instance id.

    def may_send(self, instance: BackendInstance, now: int, max_proxies: int, requests_per_s: float) -> bool:
        """Return whether this proxy may send a request to a cold backend now.

        Args:
            instance: The backend.
            now: The monotonic time, in ns.
            max_proxies: How many proxies there may be.
            requests_per_s: What the backend bears from all proxies while it is cold.
        """
        digest = blake2b(f"{self._proxy_name} {instance.id}".encode(), digest_size=4).digest()
        position = int.from_bytes(digest, "big") / 2**32  # Evenly distributed from 0 to 1.
        is_selected = position * max(1, max_proxies) < max(1.0, EXPECTED_USE_SHARE * requests_per_s)
        last_sent = self._last_sent.get(instance.id, -MIN_SEND_INTERVAL_NS)
        return is_selected and now - last_sent >= MIN_SEND_INTERVAL_NS

    def record_sent(self, instance: BackendInstance, now: int) -> None:
        """A request is sent to a cold backend."""
        if len(self._last_sent) > MAX_RECORDS:
            self._last_sent = {
                id: sent_at for id, sent_at in self._last_sent.items() if now - sent_at < MIN_SEND_INTERVAL_NS
            }
        self._last_sent[instance.id] = now
