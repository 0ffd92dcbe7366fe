"""Exports a sidecar process's state to its successor and imports the state of its predecessor."""

from __future__ import annotations

import logging
from dataclasses import replace

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.features.records import encode_entry
from brambleusher.handover.state_transfer import TransferredState
from brambleusher.loadbalancing.host_bans import HostBans
from brambleusher.loadbalancing.state_transfer import MAX_TRANSFERRED_HOSTS
from brambleusher.net.endpoint_list import EndpointListError, decode_update
from brambleusher.net.upstream_pool import UpstreamPool
from brambleusher.runtime.system import Address
from brambleusher.sidecar.configuration import Config

log = logging.getLogger(__name__)


def address_text(address: Address) -> str:
    """Format an address as `host:port`."""
    return "{}:{}".format(*address)


def import_endpoint_list(config: Config, state: TransferredState) -> Config | None:
    """Return the configuration with the serving process's endpoint list, or None if the list is invalid."""
    try:
        update = decode_update(state.endpoint_list)
    except EndpointListError as error:
        log.warning("transferred state rejected", extra={"fields": {"error": error}})
        return None
    if state.discovery != address_text(config.discovery):
        update = replace(update, version=0)  # versions of another discovery are not comparable
    return replace(config, known=update)


def export_state(
    bans: HostBans, upstream_pool: UpstreamPool, driver: BalancerDriver, list_version: int, discovery: Address
) -> TransferredState | None:
    """Return the state for a successor, or None if the endpoint list is too long to transfer."""
    if len(upstream_pool.listed) > MAX_TRANSFERRED_HOSTS:
        return None
    servers = [
        encode_entry(bans.listed_entry(name) or endpoint.entry, address_text(endpoint.address))
        for name, endpoint in upstream_pool.listed.items()
    ]
    return TransferredState(
        endpoint_list={"version": list_version, "full": True, "servers": servers},
        discovery=address_text(discovery),
        balancer=driver.export_state(),
    )
