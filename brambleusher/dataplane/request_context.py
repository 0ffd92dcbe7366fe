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
    """Ends the wait of a request's task once its client has left."""

    def raise_if_left(self) -> None:
        """Look at the client's connection now; raises `PeerDisconnectedError` where it has left."""

    def suspend(self) -> None:
        """Go on without the client."""

    def resume(self) -> None:
        """Watch the client again."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """A request, its route, and what its attempts have shown so far."""

    request: ClientRequest
    route: Route
    placement: PlacementRequest
    retry_budget: RetryBudget
    attempt_id: bytes
    deadline_s: float
    last_event_id: bytes
    client: ClientWatch
    tried: set[str] = field(default_factory=set)
    unresponsive_regions: set[str] = field(
        default_factory=set
    )  # in which a connection for this request timed out
    attempts_sent: int = 0  # that reached an instance
    possible_runs: int = 0  # instances that may have run it
    rejection_reason: RejectionReason = RejectionReason.NONE

    @property
    def may_have_run(self) -> bool:
        """Whether any instance may have run it."""
        return self.possible_runs > 0

    @property
    def may_run_again(self) -> bool:
        """Whether its route allows one more instance to run it."""
        return self.route.is_idempotent and self.possible_runs < max(self.route.max_attempts, 1)

    def begin_run(self) -> None:
        """Prepare for an instance to run the request from now on.

        What a request that may run once does beside its response must not be left half done: from here on it
        is finished without its client.  Streams and requests that may run again end with their client.

        Raises:
            PeerDisconnectedError: The client has left already.
        """
        if not self.route.is_cancellable:
            self.client.raise_if_left()
            self.client.suspend()

    def remaining_s(self, now_s: float) -> float:
        """Return the time left until the deadline."""
        return self.deadline_s - now_s
