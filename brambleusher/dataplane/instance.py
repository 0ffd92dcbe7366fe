"""One incarnation of an instance (a backend server that runs requests), as this gateway sees it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from brambleusher.dataplane.upstream_connection import UpstreamConnection
from brambleusher.dataplane.warm_up_budget import WarmUpBudget
from brambleusher.runtime.system import Address

BACKOFF_FIRST_S, BACKOFF_MAX_S = 0.25, 2.0  # back-off after a failed connection, doubled each time
REPLACED_S = 3.0  # back-off from an instance whose address another one has taken, until the list drops it


class InstanceStatus(IntEnum):
    """The status of an instance by the latest instance list; the value never decreases."""

    READY = 0
    DRAINING = 1
    REMOVED = 2


@dataclass(slots=True, eq=False)
class Instance:
    """The status, slow start, back-off and connections of one instance."""

    id: str
    service: str
    address: Address
    zone: str
    region: str
    capacity: float
    status: InstanceStatus = InstanceStatus.READY
    warming_until_s: float = 0.0
    backoff_until_s: float = 0.0
    backoff_s: float = 0.0
    replaced_until_s: float = 0.0  # end of the back-off because another incarnation answered at its address
    warm_up_budget: WarmUpBudget | None = None
    preference_rank: int = 0  # position in this gateway's order of preference; the lowest is preferred
    last_contact_s: float = -math.inf  # time at which bytes last arrived from this instance
    connection_count: int = 0
    idle_connections: list[UpstreamConnection] = field(default_factory=list)

    def set_status(self, status: InstanceStatus) -> None:
        """Set the status; an instance that drains or was removed never becomes ready again."""
        self.status = max(self.status, status)

    def record_connect_failure(self, now_s: float) -> None:
        """Back off after a failed connection, twice as long each time, up to `BACKOFF_MAX_S`."""
        self.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_FIRST_S, self.backoff_s * 2))
        self.backoff_until_s = now_s + self.backoff_s

    def record_replaced(self, now_s: float) -> None:
        """Back off from an address at which another incarnation answers.

        The instance list lags behind and will drop this incarnation soon.
        """
        self.replaced_until_s = now_s + REPLACED_S
        self.backoff_until_s = max(self.backoff_until_s, self.replaced_until_s)

    def record_connected(self) -> None:
        """End the back-off, since the instance accepted a connection."""
        self.backoff_s = 0.0
        self.backoff_until_s = self.replaced_until_s
