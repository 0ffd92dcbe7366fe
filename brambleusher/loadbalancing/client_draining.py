"""Client draining: whether a proxy is in service and how long its client connections may stay open.

Pure functions of their arguments; times are in seconds on the caller's clock.
"""

from __future__ import annotations

# Seconds after the drain call during which idle connections may still bring a request; its response asks the
# client to close the connection.
DRAIN_GRACE_S = 1.0
# Drain grace in seconds when another process takes over; later requests may be cut off.
HANDOVER_GRACE_S = 0.65
FIRST_REQUEST_GRACE_S = 0.4  # seconds that a connection accepted after the call has for its first request


class ClientDraining:
    """The state of one proxy: in service, draining, or retired for good."""

    def __init__(self) -> None:
        self.draining_since_s: float | None = None
        self.is_retired = False  # another process has taken over permanently
        # Readiness as shown to an upstream load balancer; stays true when a successor takes over.
        self.is_ready = True
        self._grace_s = DRAIN_GRACE_S

    @property
    def accepts_clients(self) -> bool:
        """Whether client connections may stay open."""
        return self.draining_since_s is None

    def start(self, now: float) -> None:
        """Take the proxy out of service; repeated calls have no effect."""
        self.is_ready = False
        if self.draining_since_s is None:
            self.draining_since_s = now
            self._grace_s = DRAIN_GRACE_S

    def resume(self) -> None:
        """Put the proxy back into service."""
        self.is_ready = True
        if not self.is_retired:
            self.draining_since_s = None

    def retire(self, now: float) -> None:
        """Drain permanently, so that clients move to the process that takes over."""
        if not self.is_retired:
            self.is_retired = True
            self.draining_since_s = now
            self._grace_s = HANDOVER_GRACE_S

    def may_stay_idle(self, now: float, since: float, asked: bool) -> bool:
        """Return whether a connection idle since `since` may stay open; `asked` if it has had a request."""
        if self.draining_since_s is None:
            return True
        if not asked and since > self.draining_since_s:
            return now < since + FIRST_REQUEST_GRACE_S
        return now < self.draining_since_s + self._grace_s
