"""The state of one request between its arrival and the end of its response."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from brambleusher.dataplane.client_request import ClientRequest
from brambleusher.dataplane.placement import PlacementRequest
from brambleusher.dataplane.rejection_reason import RejectionReason
from brambleusher.dataplane.retry_budget import RetryBudget
from brambleusher.wire.configuration import Route


class ClientWatch(Protocol):
    """Interrupts the task of a request as soon as its client disconnects."""

    def raise_if_left(self) -> None:
        """Check the client's connection now; raises `PeerDisconnectedError` if it is closed."""

    def suspend(self) -> None:
        """Stop watching, so that the request continues even if the client disconnects."""

    def resume(self) -> None:
        """Watch the client's connection again."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """A request, its route, and the outcome of its attempts so far."""

    request: ClientRequest
    route: Route
    placement: PlacementRequest
    retry_budget: RetryBudget
    attempt_id: bytes
    deadline_s: float
    last_event_id: bytes
    client: ClientWatch
    tried: set[str] = field(default_factory=set)
    # Regions in which a connection for this request timed out.
    unresponsive_regions: set[str] = field(default_factory=set)
    attempts_sent: int = 0  # attempts that reached an instance
    possible_runs: int = 0  # number of instances that may have run the request
    rejection_reason: RejectionReason = RejectionReason.NONE

    @property
    def may_have_run(self) -> bool:
        """Whether any instance may have run the request."""
        return self.possible_runs > 0

    @property
    def may_run_again(self) -> bool:
        """Whether the route allows one more instance to run the request."""
        return self.route.is_idempotent and self.possible_runs < max(self.route.max_attempts, 1)

    def begin_run(self) -> None:
        """Mark the point from which an instance may run the request.

        The side effects of a request that may run only once must not be left half done, so from here on it
        is finished even if its client disconnects.  Streams and requests that may run again are cancelled
        with their client.

        Raises:
            PeerDisconnectedError: The client has disconnected already.
        """
        if not self.route.is_cancellable:
            self.client.raise_if_left()
            self.client.suspend()

    def remaining_s(self, now_s: float) -> float:
        """Return the time left until the deadline in seconds."""
        return self.deadline_s - now_s
