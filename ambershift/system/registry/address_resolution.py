"""Answers where clients of a place are best served: the addresses of proxies near them."""

from __future__ import annotations

import random
from collections.abc import Callable, Container, Iterable, Mapping, Sequence

from ambershift.system.registry.records import ProxyRecord
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

MAX_ADDRESSES = 64
MIN_NEAR_PROXIES = 2
DIRECTORY_CACHE_NS = 50 * NS_PER_MS  # Stops that the directory is merged anew for each of many clients.
MAX_CACHED_PLACES = 1000  # Callers may name any place.


class AddressResolver:
    """Chooses proxies for a client's place, and caches the choice for a moment."""

    def __init__(
        self,
        zones: Mapping[str, str],
        rng: random.Random,
        reachable_proxies: Callable[[int], Sequence[ProxyRecord]],
    ) -> None:
        """Make a resolver.

        Args:
            zones: Region of each zone.
            rng: Draws the order of each answer.
            reachable_proxies: Returns the proxies that clients may be sent to, at a time (ns, steady clock).
        """
        self._zones = zones
        self._rng = rng
        self._reachable_proxies = reachable_proxies
        self._proxies_at = -NS_PER_SECOND
        self._proxies: Sequence[ProxyRecord] = ()
        self._nearest = dict[tuple[str, str, frozenset[str]], list[str]]()

    def invalidate(self) -> None:
        """Read the directory again at the next call: a proxy has connected."""
        self._proxies_at = -NS_PER_SECOND

    def resolve(self, now: int, region: str, zone: str, homes: frozenset[str]) -> list[str]:
        """Return addresses (ip:port) in an order that varies; empty if no proxy is ready.

        Args:
            now: Time (ns, steady clock).
            region: The client's region; empty if only the zone is known.
            zone: The client's zone; empty if unknown.
            homes: Regions where the client's requests have to be answered; empty for anywhere.
        """
        if now > self._proxies_at + DIRECTORY_CACHE_NS:
            self._proxies_at = now
            self._proxies = self._reachable_proxies(now)
            self._nearest.clear()
        if (addresses := self._nearest.get((region, zone, homes))) is None:
            proxies = nearest_proxies(self._proxies, region, zone, self._zones, homes)
            addresses = [proxy.address for proxy in proxies]
            if len(self._nearest) < MAX_CACHED_PLACES:
                self._nearest[region, zone, homes] = addresses
        return self._rng.sample(addresses, min(len(addresses), MAX_ADDRESSES))


def nearest_proxies(
    proxies: Iterable[ProxyRecord],
    region: str,
    zone: str,
    zones: Mapping[str, str],
    homes: Container[str] = (),
) -> Sequence[ProxyRecord]:
    """Return ready proxies near a client, sorted by name.

    Those of the home regions if there are two; else those of the zone if there are two; else those of the
    region if there is any; else all.

    Args:
        proxies: The proxies to choose from.
        region: The client's region; empty if only the zone is known.
        zone: The client's zone; empty if unknown.
        zones: Region of each zone.
        homes: Regions where all that the client asks for has to be answered, if not near it.
    """
    ready = sorted((proxy for proxy in proxies if proxy.ready and not proxy.draining), key=_by_name)
    at_home = [proxy for proxy in ready if zones.get(proxy.zone) in homes]
    if len(at_home) >= MIN_NEAR_PROXIES:
        return at_home
    in_zone = [proxy for proxy in ready if proxy.zone == zone]
    if len(in_zone) >= MIN_NEAR_PROXIES:
        return in_zone
    region = region or zones.get(zone, "")
    return [proxy for proxy in ready if zones.get(proxy.zone) == region] or ready


def _by_name(proxy: ProxyRecord) -> str:
    return proxy.name
