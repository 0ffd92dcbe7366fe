"""Mutations of evacuations, draining instances and the routes in force."""

from __future__ import annotations

from brambleusher.controlplane.applied_index_history import AppliedIndexHistory
from brambleusher.dataplane.configuration_store import ConfigurationStore
from brambleusher.dataplane.instance import Instance, InstanceStatus
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.long_poll_messages import LongPollResponse
from brambleusher.dataplane.routing import RouteTable
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation


@mutation("evacuation-ignored", "gateway", "evacuated zones are used as any other", "evacuated-zone-used")
def _evacuation_ignored(patches: Patches) -> None:
    patches.set(InstanceTable, "set_evacuated_zones", lambda self, zones, now_s: None)


@mutation("draining-used", "gateway", "draining instances are used as any other", "draining-used")
def _draining_used(patches: Patches) -> None:
    def set_status(self: Instance, status: InstanceStatus) -> None:
        if status is not InstanceStatus.DRAINING:
            original(self, status)

    original = patches.set(Instance, "set_status", set_status)


@mutation("old-order-acts", "controller", "a held-up order acts after later ones", "evacuated-zone-used")
def _old_order_acts(patches: Patches) -> None:
    patches.set(AppliedIndexHistory, "index_at", lambda self, time: self._indexes[-1])


@mutation("list-not-applied", "gateway", "only the first instance list is applied", "draining-used")
def _list_not_applied(patches: Patches) -> None:
    def apply(
        self: ConfigurationStore, response: LongPollResponse, now_s: float, confirms_list: bool
    ) -> None:
        if not self._instances.has_list:
            original(self, response, now_s, confirms_list)

    original = patches.set(ConfigurationStore, "_apply_instances", apply)


@mutation("routes-kept", "gateway", "the first configuration stays in force", "route-missing")
def _routes_kept(patches: Patches) -> None:
    def read_routes(self: ConfigurationStore, body: bytes, index: int) -> RouteTable | None:
        return self.routes or original(self, body, index)

    original = patches.set(ConfigurationStore, "_read_routes", read_routes)
