"""An observer's lookup of gateways: queries controllers and caches their answers."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.controlplane.relay.client import RelayClient
from brambleusher.runtime.scheduler import Scheduler

RESOLVE_TIMEOUT_S = 0.7  # below the 1 s that clients wait for the registry
CACHE_FRESH_S = 0.4  # cached answers are reused for this long, as many clients of a zone ask at once
CACHE_STALE_S = 3.0  # cached answers older than this may name stopped gateways and are not used
CACHED_ZONES_MAX = 64  # entries in the cache; beyond this the oldest one is dropped


@dataclass(frozen=True, slots=True)
class _CachedAnswer:
    asked_at_s: float
    addresses: list[str]


class GatewayLookup:
    """Finds gateways for the clients of a zone, with a cache for each zone."""

    def __init__(self, scheduler: Scheduler, relay: RelayClient) -> None:
        self._scheduler, self._relay = scheduler, relay
        self._cache: dict[tuple[str, str], _CachedAnswer] = {}

    def find(self, zone: str, region: str) -> list[str]:
        """Return addresses of gateways; use a cached answer if no controller answers in time."""
        key = (zone, region)
        begin_s = self._scheduler.now()
        cached = self._cache.get(key, _CachedAnswer(-CACHE_STALE_S, []))
        if begin_s - cached.asked_at_s < CACHE_FRESH_S:
            return cached.addresses
        found = self._relay.resolve(zone, region, begin_s + RESOLVE_TIMEOUT_S)
        if found is not None:
            self._store(key, _CachedAnswer(begin_s, found))
        elif begin_s - cached.asked_at_s >= CACHE_STALE_S:
            return []
        return self._cache[key].addresses

    def _store(self, key: tuple[str, str], answer: _CachedAnswer) -> None:
        self._cache.pop(key, None)
        self._cache[key] = answer
        if len(self._cache) > CACHED_ZONES_MAX:
            del self._cache[next(iter(self._cache))]
