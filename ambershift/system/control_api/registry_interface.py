"""What the control API asks of the list of backends and proxies (`registry/`)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol


class Registry(Protocol):
    async def heartbeat(self, id: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """A backend's beat; HTTP status and answer."""

    async def deregister(self, id: str) -> tuple[int, dict[str, Any]]:
        """A backend's sign-off."""

    def proxy_addresses(self, region: str, zone: str, host: str) -> Sequence[str]:
        """Where clients there may go with requests to the host, the best first."""
