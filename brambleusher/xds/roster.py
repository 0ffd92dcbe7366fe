"""What discovery says of the nodes, and the newest list that may count.

The list held never goes back: a discovery that comes up with an older list is followed aside until
it has caught up, and what it says meanwhile changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.loadbalancing.api import HostState
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate


class Roster:
    """The list held, by node."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self._told: dict[str, Endpoint] = {}
        self._told_version: int | None = None

    @property
    def told_version(self) -> int | None:
        """The version of discovery's own list; below `version` where that has gone back."""
        return self._told_version

    @property
    def behind(self) -> bool:
        """Whether discovery has gone back behind the list held."""
        return (
            self.version is not None and self._told_version is not None and self._told_version < self.version
        )

    def take(self, update: EndpointListUpdate) -> Mapping[str, Endpoint | None] | None:
        """The nodes that have changed (None: gone); None where the list held stays as it is."""
        if update.full:
            self._told = {}
        for endpoint in update.endpoints:
            if endpoint.entry.state is HostState.REMOVED:
                self._told.pop(endpoint.entry.host, None)
            else:
                self._told[endpoint.entry.host] = endpoint
        self._told_version = update.version
        if self.behind:
            return None
        before, self.endpoints = self.endpoints, dict(self._told)
        self.version = update.version
        changed: dict[str, Endpoint | None] = {
            name: endpoint for name, endpoint in self.endpoints.items() if before.get(name) != endpoint
        }
        changed.update({name: None for name in before if name not in self.endpoints})
        return changed


def only_takes(changed: Mapping[str, Endpoint | None]) -> bool:
    """Whether a change does no more than take nodes out of use."""
    return bool(changed) and all(
        endpoint is None or endpoint.entry.state is not HostState.READY for endpoint in changed.values()
    )
