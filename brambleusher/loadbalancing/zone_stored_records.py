"""Stored records of zones within a balancer's saved state."""

from __future__ import annotations

from collections.abc import Mapping

from brambleusher.loadbalancing import state_tables
from brambleusher.loadbalancing.stored_records import StoredRecord
from brambleusher.loadbalancing.zone_routing import ZoneRouter
from brambleusher.loadbalancing.zone_state import NodeHealth, Zone

ZONE_RECORDS: Mapping[str, StoredRecord] = {
    "zones": StoredRecord(ZoneRouter, state_tables.ZONE_ROUTER, lambda _: ZoneRouter(None, "", 0, 0)),
    "zone": StoredRecord(Zone, state_tables.ZONE, lambda _: Zone("")),
    "node": StoredRecord(NodeHealth, state_tables.ZONE_NODE, lambda _: NodeHealth()),
}
