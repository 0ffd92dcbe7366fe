"""One entry of the platform's instance list, parsed from its form on the wire."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

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
    def from_json(cls, data: Mapping[str, Any]) -> InstanceEntry:
        """Parse an entry.

        Raises:
            KeyError: The entry has no id, service or address.
            ValueError: A number can't be read.
            TypeError: A value has the wrong type.
        """
        return cls(
            id=data["id"],
            service=str(data["service"]),
            address=data["address"],
            zone=str(data.get("zone", "")),
            capacity=float(data.get("capacity", DEFAULT_CAPACITY) or DEFAULT_CAPACITY),
            warm_up_s=float(data.get("warmup_ms", 0) or 0) / MS_PER_S,
            is_ready=data.get("state") == READY_STATE,
        )
