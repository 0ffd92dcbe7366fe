"""One entry of the platform's instance list, parsed from its wire format."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, require_str

MS_PER_S = 1000
DEFAULT_CAPACITY = 1  # capacity of an instance whose entry has none, or 0
READY_STATE = "ready"


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """The instance list's data about one instance."""

    id: str
    service: str
    address: str  # host:port
    zone: str
    capacity: float  # number of requests that the instance can serve at once
    warm_up_s: float  # time in seconds until the instance is warm; 0 if it is, or if the entry has no time
    is_ready: bool

    @classmethod
    def from_json(cls, data: JsonObject) -> InstanceEntry:
        """Return an entry parsed from its wire format.

        Raises:
            InvalidMessageError: A field is missing or malformed.
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
        raise InvalidMessageError(f"{key} is not a number: {value!r:.80}")
    try:
        number = float(value)
    except (OverflowError, ValueError) as error:
        raise InvalidMessageError(f"{key} is not a number: {value!r:.80}") from error
    if not math.isfinite(number):
        raise InvalidMessageError(f"{key} is not finite: {value!r:.80}")
    return number
