"""What operators and clients read of the cluster: its members, and the proxies to send requests to."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from ambershift.system.control_api.registry_interface import Registry
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.interfaces import ReplicatedState
from ambershift.system.settings.process_settings import ProcessSettings

MAX_RESOLVED_ADDRESSES = 64
RESOLUTION_TTL_S = 2.0


class DirectoryCalls:
    """Answers from what this node knows; nothing is agreed or forwarded."""

    def __init__(self, settings: ProcessSettings, store: ReplicatedState, registry: Registry) -> None:
        self._settings = settings
        self._store = store
        self._registry = registry

    def describe_members(self) -> Reply:
        """For operators: the voters, and how many copies are complete, as this node sees it."""
        members = self._store.membership_status()
        if members is None:
            return json_reply(HTTPStatus.SERVICE_UNAVAILABLE, Cause="not started")
        return Reply(HTTPStatus.OK, msgspec.json.encode(members))

    def resolve(self, parameters: dict[str, str]) -> Reply:
        """For clients: the proxies for a region, zone and host, the best first."""
        region = parameters.get("Region", "")
        zone = parameters.get("Zone", "")
        addresses = list(self._registry.proxy_addresses(region, zone, parameters.get("Name", "")))
        if not addresses:
            return json_reply(HTTPStatus.SERVICE_UNAVAILABLE, Cause="no proxy is known yet")
        ttl_s = min(RESOLUTION_TTL_S, self._settings.bounds.ttl_most)
        return json_reply(HTTPStatus.OK, Addresses=addresses[:MAX_RESOLVED_ADDRESSES], TtlS=ttl_s)
