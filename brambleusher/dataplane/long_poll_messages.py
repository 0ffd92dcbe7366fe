"""Messages of the long poll as a gateway sends and reads them, with their form on the wire."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from brambleusher.dataplane.instance_entry import MS_PER_S, InstanceEntry
from brambleusher.membership.controllers import Locality, controllers_from_json
from brambleusher.membership.views import Peer
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, as_object, require_int, require_list, require_object

LONG_POLL = "watch"  # kind of a gateway's message, on the wire
NO_VERSION = -1

LoadReport = Mapping[str, Sequence[float]]  # what gateways observed, by instance


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The version of an instance list, as the controller that sent it counts."""

    source: str = ""  # name of the controller
    number: int = NO_VERSION


NO_LIST = ListVersion()


@dataclass(frozen=True, slots=True)
class LongPollRequest:
    """Says which versions the gateway has, and asks for newer ones."""

    gateway: Peer
    state_index: int
    list_version: ListVersion
    is_brief: bool | None = None  # respond only that there is an update; None: not said
    load_report: LoadReport | None = None  # of this gateway; None: no exchange is due

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        data: dict[str, object] = {
            "kind": LONG_POLL,
            "me": self.gateway.as_json(),
            "index": self.state_index,
            "source": self.list_version.source,
            "version": self.list_version.number,
        }
        if self.is_brief is not None:
            data["brief"] = self.is_brief
        if self.load_report is not None:
            data["figures"] = self.load_report
        return data


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """The configuration in force, and the evacuated zones."""

    packed_configuration: str  # empty where none is in force yet
    evacuated_zones: frozenset[str]


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """What the other gateways observed of instances, added up."""

    reporters: int
    totals: LoadReport


@dataclass(frozen=True, slots=True)
class LongPollResponse:
    """What a controller has; parts that the gateway has already, or did not ask for, are None.

    List and load are parsed when they are applied: one that can't be read does not delay a configuration.
    """

    state_index: int
    has_quorum_contact: bool
    gateway_count: int
    gateway_rank: int
    controllers: tuple[tuple[str, Locality], ...]
    list_version: ListVersion
    list_age_s: float | None  # None: the controller has no list
    state: StateUpdate | None
    _data: JsonObject

    @classmethod
    def from_json(cls, data: JsonObject) -> LongPollResponse:
        """Return a response from its form on the wire.

        Raises:
            InvalidMessageError: A field is missing or can't be read.
        """
        return cls(
            state_index=require_int(data, "index"),
            has_quorum_contact=bool(data.get("contact")),
            gateway_count=require_int(data, "gateways"),
            gateway_rank=require_int(data, "rank"),
            controllers=_controllers(data),
            list_version=ListVersion(str(data.get("source")), require_int(data, "version")),
            list_age_s=require_int(data, "age_ms") / MS_PER_S if "age_ms" in data else None,
            state=_state(data),
            _data=data,
        )

    def instances(self) -> list[InstanceEntry] | None:
        """Return the instance list.

        Raises:
            InvalidMessageError: An entry can't be read.
        """
        if "instances" not in self._data:
            return None
        entries = require_list(self._data, "instances")
        return [InstanceEntry.from_json(as_object(entry, "an instance")) for entry in entries]

    def fleet_load(self) -> FleetLoad | None:
        """Return what the other gateways observed.

        Raises:
            InvalidMessageError: It can't be read.
        """
        if "figures" not in self._data:
            return None
        totals: dict[str, Sequence[float]] = {}
        for instance_id, metrics in require_object(self._data, "figures").items():
            if not isinstance(metrics, list):
                raise InvalidMessageError(f"the metrics of {instance_id} are no list: {metrics!r:.80}")
            totals[instance_id] = metrics
        return FleetLoad(require_int(self._data, "reporters"), totals)


def _controllers(data: JsonObject) -> tuple[tuple[str, Locality], ...]:
    controllers = data.get("controllers")
    return tuple(controllers_from_json(controllers)) if isinstance(controllers, list) else ()


def _state(data: JsonObject) -> StateUpdate | None:
    if "packed" not in data:
        return None
    packed = data["packed"] or ""
    if not isinstance(packed, str):
        raise InvalidMessageError(f"a packed configuration is no text: {packed!r:.80}")
    return StateUpdate(packed, frozenset(str(zone) for zone in require_list(data, "evacuated")))
