"""What the control API needs of the registry of backends and proxies (`registry/`)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol


class Registry(Protocol):
    """Backends report to it, and clients find proxies by it."""

    async def heartbeat(self, id: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """A backend's heartbeat. Returns the HTTP status and the answer's fields.

        Raises:
            InvalidCallError: The id or a field of the body is invalid.
        """

    async def deregister(self, id: str) -> tuple[int, dict[str, Any]]:
        """A backend deregisters. Returns the HTTP status and the answer's fields."""

    def proxy_addresses(self, region: str, zone: str, host: str) -> Sequence[str]:
        """The proxies (`ip:port`) for a client at this place and requests to this host, the best first."""
