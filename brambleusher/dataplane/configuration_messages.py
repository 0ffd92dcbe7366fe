"""Messages of the long poll between a gateway and a controller, with their form on the wire."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brambleusher.dataplane.instance_entry import MS_PER_S, InstanceEntry
from brambleusher.membership.controllers import Locality, controllers_from_json
from brambleusher.membership.views import Peer
from brambleusher.wire.errors import InvalidMessageError

NO_VERSION = -1
FleetMetrics = dict[str, list[float]]


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The version of an instance list, as the controller that sent it counts."""

    source: str = ""  # name of the controller
    number: int = NO_VERSION


NO_LIST = ListVersion()


@dataclass(frozen=True, slots=True)
class LongPollRequest:
    """Asks for whatever is newer than what the gateway has."""

    gateway: Peer
    state_index: int
    list_version: ListVersion
    brief: bool | None = None  # only whether there is an update, not its content; None: not said
    metrics: FleetMetrics | None = None  # observed by this gateway; None: no exchange is due

    def as_json(self) -> dict[str, Any]:
        """Return the form on the wire."""
        message: dict[str, Any] = {
            "kind": "watch",
            "me": self.gateway.as_json(),
            "index": self.state_index,
            "source": self.list_version.source,
            "version": self.list_version.number,
        }
        if self.brief is not None:
            message["brief"] = self.brief
        if self.metrics is not None:
            message["figures"] = self.metrics
        return message


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """The operators' configuration and evacuations."""

    packed_configuration: str  # empty where no configuration is in force yet
    evacuated_zones: frozenset[str]


@dataclass(frozen=True, slots=True)
class FleetMetricsUpdate:
    """What other gateways observed of each instance, added up."""

    reporters: int
    totals: FleetMetrics


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """A controller's answer to a long poll."""

    state_index: int
    has_quorum_contact: bool
    gateway_count: int
    gateway_rank: int
    list_version: ListVersion
    list_age_s: float | None  # None: the controller has no list
    instances: tuple[InstanceEntry, ...] | None  # None: no other list than the gateway's, or a brief answer
    state: StateUpdate | None  # None: nothing newer, or a brief answer
    metrics: FleetMetricsUpdate | None
    controllers: tuple[tuple[str, Locality], ...]

    @classmethod
    def from_json(cls, data: Mapping[str, Any]) -> ConfigurationUpdate:
        """Parse the form on the wire.

        Raises:
            InvalidMessageError: A key is missing or a value can't be read.
        """
        try:
            return cls(
                state_index=int(data["index"]),
                has_quorum_contact=bool(data.get("contact")),
                gateway_count=int(data["gateways"]),
                gateway_rank=int(data["rank"]),
                list_version=ListVersion(str(data.get("source")), int(data.get("version", NO_VERSION))),
                list_age_s=int(data["age_ms"]) / MS_PER_S if "age_ms" in data else None,
                instances=_instances(data),
                state=_state(data),
                metrics=_metrics(data),
                controllers=_controllers(data),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidMessageError(f"a configuration update can't be read: {error!r}") from error


def _instances(data: Mapping[str, Any]) -> tuple[InstanceEntry, ...] | None:
    if "instances" not in data:
        return None
    return tuple(InstanceEntry.from_json(entry) for entry in data["instances"])


def _state(data: Mapping[str, Any]) -> StateUpdate | None:
    if "packed" not in data:
        return None
    return StateUpdate(data["packed"] or "", frozenset(data["evacuated"]))


def _metrics(data: Mapping[str, Any]) -> FleetMetricsUpdate | None:
    if "figures" not in data:
        return None
    return FleetMetricsUpdate(int(data["reporters"]), data["figures"])


def _controllers(data: Mapping[str, Any]) -> tuple[tuple[str, Locality], ...]:
    controllers = data.get("controllers")
    return tuple(controllers_from_json(controllers)) if isinstance(controllers, list) else ()
