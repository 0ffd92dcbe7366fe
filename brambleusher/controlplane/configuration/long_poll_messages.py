"""Messages of the long poll as a controller reads and answers them, with their form on the wire."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brambleusher.controlplane.registry.instance_list import RawInstance
from brambleusher.controlplane.registry.load_reports import LoadReport, MetricTotals, parse_report
from brambleusher.membership.views import Peer, peer_from_json
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject

LONG_POLL = "watch"  # kind of a gateway's message, on the wire
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class LongPollRequest:
    """A gateway says which versions it has, and asks for newer ones."""

    gateway: Peer
    state_index: int  # of the state that it has
    list_source: object  # name of the controller whose instance list it has
    list_version: int  # as that controller counts
    is_brief: (
        bool  # answer only that there is an update: the gateway gets its content from another controller
    )
    has_load_report: bool  # whether an exchange of what gateways observed of instances is due
    raw_load_report: object  # not parsed: a gateway whose report can't be read is alive nevertheless

    @classmethod
    def from_json(cls, data: JsonObject) -> LongPollRequest:
        """Return a request from its form on the wire.

        Raises:
            InvalidMessageError: A field is missing or can't be read.
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
        """Return what the gateway observed of instances; None where no exchange is due.

        Raises:
            InvalidMessageError: The report can't be read.
        """
        return parse_report(self.raw_load_report) if self.has_load_report else None


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """The configuration in force, as it is packed, and the evacuated zones."""

    packed: str
    evacuated_zones: list[str]


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """What the other gateways observed of instances, added up."""

    reporters: int
    totals: MetricTotals


@dataclass(frozen=True, slots=True)
class LongPollResponse:
    """What a controller has; parts that the gateway has already, or did not ask for, are None."""

    state_index: int
    has_quorum_contact: bool
    gateway_count: int
    gateway_rank: int
    controllers: Sequence[tuple[str, str, str]]  # address, zone and region of each
    list_source: str
    list_version: int
    list_age_s: float | None  # None: this controller has no list yet
    state: StateUpdate | None
    instances: list[RawInstance] | None
    fleet_load: FleetLoad | None

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
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
