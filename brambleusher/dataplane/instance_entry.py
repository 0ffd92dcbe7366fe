"""One entry of the platform's instance list, parsed from its form on the wire."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, require_str

MS_PER_S = 1000
DEFAULT_CAPACITY = 1  # of an instance whose entry says nothing, or 0
READY_STATE = "ready"


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """What the list says of one instance."""

    id: str
    service: str
    address: str  # host:port
    zone: str
    capacity: float  # requests that it can serve at once
    warm_up_s: float  # until it is warm; 0 where it is, or where the list does not say
    is_ready: bool

    @classmethod
    def from_json(cls, data: JsonObject) -> InstanceEntry:
        """Return an entry from its form on the wire.

        Raises:
            InvalidMessageError: A field is missing or can't be read.
        """
        return cls(
            id=require_str(data, "id"),
            service=require_str(data, "service"),
            address=require_str(data, "address"),
            zone=str(data.get("zone", "")),
            capacity=_number(data, "capacity", DEFAULT_CAPACITY),
            warm_up_s=_number(data, "warmup_ms", 0) / MS_PER_S,
            is_ready=data.get("state") == READY_STATE,
        )


def _number(data: JsonObject, key: str, default: float) -> float:
    value = data.get(key) or default
    if not isinstance(value, int | float | str):
        raise InvalidMessageError(f"{key} is no number: {value!r:.80}")
    try:
        return float(value)
    except ValueError as error:
        raise InvalidMessageError(f"{key} is no number: {value!r:.80}") from error
