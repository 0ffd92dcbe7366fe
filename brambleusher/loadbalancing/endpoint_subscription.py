"""When to subscribe to the endpoint list: spread over the fleet, later each time after a failure."""

from __future__ import annotations

import random

from brambleusher.loadbalancing import api

FIRST_WAIT_DIVISOR = 20  # of the time within which discovery has to be asked
LONGEST_WAIT_DIVISOR = 2  # of the same, so that it is kept whatever is drawn


class EndpointSubscription:
    """Exponential backoff with jitter, well inside the limit on time without a call."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng = rng
        self._deadline_ns = settings.endpoint_poll_deadline_ns
        self.due_ns: int | None = None
        self.wait_ns = self._deadline_ns // FIRST_WAIT_DIVISOR

    def schedule_first(self, now: int) -> None:
        """Spread the first call: a fleet that restarts together must not jam discovery."""
        self.due_ns = now + int(self._rng.random() * self.wait_ns)

    def record_failure(self, now: int) -> None:
        """Call again, later each time and never in step."""
        self.wait_ns = min(self.wait_ns * 2, self._deadline_ns // LONGEST_WAIT_DIVISOR)
        self.due_ns = now + int(self.wait_ns * (0.5 + 0.5 * self._rng.random()))

    def record_success(self) -> None:
        """Begin with short waits again."""
        self.wait_ns = self._deadline_ns // FIRST_WAIT_DIVISOR

    def take_due(self, now: int) -> bool:
        """Return whether to call now; it is then not due any more."""
        if self.due_ns is None or now < self.due_ns:
            return False
        self.due_ns = None
        return True
