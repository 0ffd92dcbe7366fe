"""The long-poll messages that a gateway sends and reads, with their wire format."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from brambleusher.dataplane.instance_entry import MS_PER_S, InstanceEntry
from brambleusher.membership.controllers import Locality, controllers_from_json
from brambleusher.membership.views import Peer
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, as_object, require_int, require_list, require_object

LONG_POLL = "watch"  # the `kind` of a gateway's long-poll request on the wire
NO_VERSION = -1

LoadReport = Mapping[str, Sequence[float]]  # metrics that gateways observed, by instance id


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The version of an instance list; each controller numbers its own versions."""

    source: str = ""  # name of the controller that numbered this version
    number: int = NO_VERSION


NO_LIST = ListVersion()


@dataclass(frozen=True, slots=True)
class LongPollRequest:
    """Names the versions that the gateway has, and asks for newer ones."""

    gateway: Peer
    state_index: int
    list_version: ListVersion
    is_brief: bool | None = None  # asks only whether there is an update; None leaves the field out
    load_report: LoadReport | None = None  # this gateway's report; None if no exchange is due

    def as_json(self) -> dict[str, object]:
        """Return the request in its wire format."""
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
    """The configuration in force and the evacuated zones."""

    packed_configuration: str  # empty if no configuration is in force yet
    evacuated_zones: frozenset[str]


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """The metrics that other gateways observed, summed up for each instance."""

    reporters: int
    totals: LoadReport


@dataclass(frozen=True, slots=True)
class LongPollResponse:
    """A controller's current data; parts that the gateway has already, or did not request, are None.

    The instance list and the load are parsed only when applied, so that a malformed list or load does not
    delay a configuration.
    """

    state_index: int
    has_quorum_contact: bool
    gateway_count: int
    gateway_rank: int
    controllers: tuple[tuple[str, Locality], ...]
    list_version: ListVersion
    list_age_s: float | None  # age of the controller's list in seconds; None if it has no list
    state: StateUpdate | None
    _data: JsonObject

    @classmethod
    def from_json(cls, data: JsonObject) -> LongPollResponse:
        """Return a response parsed from its wire format.

        Raises:
            InvalidMessageError: A field is missing or malformed.
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
        """Return the instance list, None if the response has none.

        Raises:
            InvalidMessageError: An entry is malformed.
        """
        if "instances" not in self._data:
            return None
        entries = require_list(self._data, "instances")
        return [InstanceEntry.from_json(as_object(entry, "an instance")) for entry in entries]

    def fleet_load(self) -> FleetLoad | None:
        """Return the load that the other gateways observed, None if the response has none.

        Raises:
            InvalidMessageError: The load is malformed.
        """
        if "figures" not in self._data:
            return None
        totals: dict[str, Sequence[float]] = {}
        for instance_id, metrics in require_object(self._data, "figures").items():
            if not isinstance(metrics, list):
                raise InvalidMessageError(f"the metrics of {instance_id} are not a list: {metrics!r:.80}")
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
        raise InvalidMessageError(f"a packed configuration is not a string: {packed!r:.80}")
    return StateUpdate(packed, frozenset(str(zone) for zone in require_list(data, "evacuated")))
