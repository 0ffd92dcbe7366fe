"""Requests and responses of the long poll between gateways and controllers, and their wire format."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brambleusher.controlplane.registry.instance_list import RawInstance
from brambleusher.controlplane.registry.load_reports import LoadReport, MetricTotals, parse_report
from brambleusher.membership.views import Peer, peer_from_json
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject

LONG_POLL = "watch"  # value of the message's "kind" field on the wire
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class LongPollRequest:
    """A gateway's request for updates newer than the versions that it has.

    Attributes:
        gateway: The gateway that polls.
        state_index: The index of the replicated state that the gateway has.
        list_source: The name of the controller whose instance list the gateway has.
        list_version: The version of that list, as counted by that controller.
        is_brief: Whether to report only that there is an update, without its content: the gateway gets the
            content from another controller.
        has_load_report: Whether the gateway sent a load report and expects the sum of the other gateways'.
        raw_load_report: The load report before parsing; a gateway with an invalid report still counts as
            alive.
    """

    gateway: Peer
    state_index: int
    list_source: object
    list_version: int
    is_brief: bool
    has_load_report: bool
    raw_load_report: object

    @classmethod
    def from_json(cls, data: JsonObject) -> LongPollRequest:
        """Parse a request from its wire format.

        Raises:
            InvalidMessageError: A field is missing or invalid.
        """
        gateway = peer_from_json(data.get("me"))
        state_index, list_version = data.get("index"), data.get("version")
        if not isinstance(state_index, int) or not isinstance(list_version, int):
            raise InvalidMessageError(f"a long poll has no versions: {state_index!r}, {list_version!r}")
        return cls(
            gateway,
            state_index,
            data.get("source"),
            list_version,
            bool(data.get("brief")),
            "figures" in data,
            data.get("figures"),
        )

    def load_report(self) -> LoadReport | None:
        """Return the gateway's measurements of instances, or None if the request has no load report.

        Raises:
            InvalidMessageError: The report is invalid.
        """
        return parse_report(self.raw_load_report) if self.has_load_report else None


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """The packed configuration in force, and the evacuated zones."""

    packed: str
    evacuated_zones: list[str]


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Sum of the other gateways' load reports."""

    reporters: int
    totals: MetricTotals


@dataclass(frozen=True, slots=True)
class LongPollResponse:
    """A controller's response; parts that the gateway already has or did not ask for are None.

    Attributes:
        state_index: The index of the controller's replicated state.
        has_quorum_contact: Whether the controller is in contact with a quorum.
        gateway_count: How many gateways the controller considers alive.
        gateway_rank: The position of the polling gateway among the alive gateways, from 0.
        controllers: The address, zone and region of each controller.
        list_source: The name of this controller, which counts the versions of its instance list.
        list_version: The version of the controller's instance list.
        list_age_s: The age of that list in seconds, or None if the controller has no list yet.
        state: The configuration and the evacuated zones.
        instances: The instance list.
        fleet_load: The sum of the other gateways' load reports.
    """

    state_index: int
    has_quorum_contact: bool
    gateway_count: int
    gateway_rank: int
    controllers: Sequence[tuple[str, str, str]]
    list_source: str
    list_version: int
    list_age_s: float | None
    state: StateUpdate | None
    instances: list[RawInstance] | None
    fleet_load: FleetLoad | None

    def as_json(self) -> dict[str, object]:
        """Return the response in its wire format."""
        data: dict[str, object] = {
            "index": self.state_index,
            "contact": self.has_quorum_contact,
            "gateways": self.gateway_count,
            "rank": self.gateway_rank,
            "controllers": self.controllers,
            "source": self.list_source,
            "version": self.list_version,
        }
        if self.state is not None:
            data["packed"], data["evacuated"] = self.state.packed, self.state.evacuated_zones
        if self.list_age_s is not None:
            data["age_ms"] = int(self.list_age_s * MS_PER_S)
        if self.instances is not None:
            data["instances"] = self.instances
        if self.fleet_load is not None:
            data["reporters"], data["figures"] = self.fleet_load.reporters, self.fleet_load.totals
        return data
