"""Whether a proxy is in service for its clients, and what becomes of their connections where it is not.

Pure: times are seconds on the caller's clock.
"""

from __future__ import annotations

# How long after the call idle connections may still bring a request, which is then told to go.
DRAIN_GRACE_S = 1.0
HANDOVER_GRACE_S = 0.65  # the same where another process takes over: a later request may be cut off
FIRST_REQUEST_GRACE_S = 0.4  # that a connection which came after the call has for its first request


class ClientDraining:
    """The state of one proxy: in service, draining, or retired for good."""

    def __init__(self) -> None:
        self.draining_since_s: float | None = None
        self.is_retired = False  # for good: another process takes over
        self.is_ready = True  # what a load balancer in front is told: a successor is as good
        self._grace_s = DRAIN_GRACE_S

    @property
    def accepts_clients(self) -> bool:
        """Whether clients may stay."""
        return self.draining_since_s is None

    def start(self, now: float) -> None:
        """Take the proxy out of service; calling it again changes nothing."""
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
        """Drain for good: another process takes over, and clients are to come to it in good time."""
        if not self.is_retired:
            self.is_retired = True
            self.draining_since_s = now
            self._grace_s = HANDOVER_GRACE_S

    def may_stay_idle(self, now: float, since: float, asked: bool) -> bool:
        """Return whether a connection that is idle since some moment may stay; `asked`: it had a request."""
        if self.draining_since_s is None:
            return True
        if not asked and since > self.draining_since_s:
            return now < since + FIRST_REQUEST_GRACE_S
        return now < self.draining_since_s + self._grace_s
