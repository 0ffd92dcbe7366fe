"""Keep the newest endpoint list reported by the discovery service.

The list never goes back to an older version.  If discovery starts with an older version, its updates
are tracked separately and take effect once it has caught up.
"""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.loadbalancing.api import HostState
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate


class DiscoveredEndpoints:
    """The newest endpoint list that discovery reported, by host."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self._reported: dict[str, Endpoint] = {}
        self._reported_version: int | None = None

    @property
    def reported_version(self) -> int | None:
        """The version that discovery reported last; lower than `version` if discovery has gone back."""
        return self._reported_version

    @property
    def is_behind(self) -> bool:
        """Whether the version that discovery reports is older than the version of the list."""
        return (
            self.version is not None
            and self._reported_version is not None
            and self._reported_version < self.version
        )

    def update(self, update: EndpointListUpdate) -> Mapping[str, Endpoint | None] | None:
        """Apply an update from discovery.

        Returns:
            The changed endpoints by host, with None for a removed endpoint; None if discovery is behind.
        """
        if update.full:
            self._reported = {}
        for endpoint in update.endpoints:
            if endpoint.entry.state is HostState.REMOVED:
                self._reported.pop(endpoint.entry.host, None)
            else:
                self._reported[endpoint.entry.host] = endpoint
        self._reported_version = update.version
        if self.is_behind:
            return None
        before, self.endpoints = self.endpoints, dict(self._reported)
        self.version = update.version
        changed: dict[str, Endpoint | None] = {
            name: endpoint for name, endpoint in self.endpoints.items() if before.get(name) != endpoint
        }
        changed.update({name: None for name in before if name not in self.endpoints})
        return changed


def has_only_removals(changed: Mapping[str, Endpoint | None]) -> bool:
    """Return whether a change only removes endpoints or makes them not ready."""
    return bool(changed) and all(
        endpoint is None or endpoint.entry.state is not HostState.READY for endpoint in changed.values()
    )
