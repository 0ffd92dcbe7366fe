"""One incarnation of an instance (a server of requests), as this gateway knows it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from brambleusher.dataplane.upstream_connection import UpstreamConnection
from brambleusher.dataplane.warm_up_budget import WarmUpBudget
from brambleusher.runtime.system import Address

BACKOFF_FIRST_S, BACKOFF_MAX_S = 0.25, 2.0  # after a failed connection, doubled each time
REPLACED_S = 3.0  # until the list has dropped an instance whose address another one has taken


class InstanceStatus(IntEnum):
    """What the list last said of an instance, in the only order in which it changes."""

    READY = 0
    DRAINING = 1
    REMOVED = 2


@dataclass(slots=True, eq=False)
class Instance:
    """Status, slow start, back-off and connections of one instance."""

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
    replaced_until_s: float = 0.0  # another incarnation was found at its address
    warm_up_budget: WarmUpBudget | None = None
    preference_rank: int = 0  # its position in this gateway's order of preference, lowest first
    last_contact_s: float = -math.inf  # when anything came from it last
    connection_count: int = 0
    idle_connections: list[UpstreamConnection] = field(default_factory=list)

    def set_status(self, status: InstanceStatus) -> None:
        """Change the status; an instance that drains or was removed never becomes ready again."""
        self.status = max(self.status, status)

    def record_connect_failure(self, now_s: float) -> None:
        """Back off, for twice as long each time."""
        self.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_FIRST_S, self.backoff_s * 2))
        self.backoff_until_s = now_s + self.backoff_s

    def record_replaced(self, now_s: float) -> None:
        """Back off from an address at which another incarnation answers.

        The list lags behind and will not name this incarnation much longer.
        """
        self.replaced_until_s = now_s + REPLACED_S
        self.backoff_until_s = max(self.backoff_until_s, self.replaced_until_s)

    def record_connected(self) -> None:
        """End the back-off: it accepts connections."""
        self.backoff_s = 0.0
        self.backoff_until_s = self.replaced_until_s
