"""Applies operator bans to endpoint list updates and passes them to the parts that depend on the list."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.features.capture import Capture
from brambleusher.features.status import StatusPage
from brambleusher.loadbalancing.api import HostEntry, ListKind
from brambleusher.loadbalancing.host_bans import HostBans
from brambleusher.net.endpoint_list import EndpointListUpdate
from brambleusher.net.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from brambleusher.fronts.mysql.service import MysqlService


class EndpointUpdates:
    """Distributes endpoint list updates and operator bans to the parts that depend on them."""

    def __init__(
        self,
        bans: HostBans,
        upstream_pool: UpstreamPool,
        driver: BalancerDriver,
        status: StatusPage | None,
        capture: Capture | None,
        mysql: MysqlService | None,
    ) -> None:
        self._bans, self._upstream_pool, self._driver = bans, upstream_pool, driver
        self._status, self._capture, self._mysql = status, capture, mysql
        self.version = 0  # version of the last update from discovery

    def receive(self, update: EndpointListUpdate) -> None:
        """Handle an endpoint list update from discovery."""
        self.publish(self.apply_bans(update))

    def apply_bans(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Return an update from discovery with bans applied, and record its entries."""
        self.version = update.version
        self._bans.record_list(update.full, (endpoint.entry for endpoint in update.endpoints))
        endpoints = tuple(
            endpoint
            if (entry := self._bans.effective_entry(endpoint.entry)) is endpoint.entry
            else replace(endpoint, entry=entry)
            for endpoint in update.endpoints
        )
        return replace(update, endpoints=endpoints)

    def publish(self, update: EndpointListUpdate) -> None:
        """Distribute an update without applying bans to it."""
        if self._status is not None:
            self._status.update_endpoints(update)
        if self._capture is not None:
            self._capture.update_endpoints(update)
        # Update the connections first, so that the balancer's next attempts use the same list.
        self._upstream_pool.update(update)
        if self._mysql is not None:
            self._mysql.nodes.update(update)
        kind = ListKind.FULL if update.full else ListKind.DELTA
        self._driver.update_endpoints(kind, [endpoint.entry for endpoint in update.endpoints])

    def publish_ban(self, entry: HostEntry | None) -> None:
        """Distribute an endpoint entry changed by a ban; do nothing if the ban has no effect."""
        if entry is None or (endpoint := self._upstream_pool.listed.get(entry.host)) is None:
            return
        self.publish(EndpointListUpdate(self.version, False, (replace(endpoint, entry=entry),)))
