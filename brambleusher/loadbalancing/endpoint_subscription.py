"""Times of subscribing to the endpoint list: spread over the fleet, with backoff after failures."""

from __future__ import annotations

import random

from brambleusher.loadbalancing import api

FIRST_WAIT_DIVISOR = 20  # the first wait is the poll deadline divided by this
# The longest wait is the poll deadline divided by this, so the deadline is kept for any draw.
LONGEST_WAIT_DIVISOR = 2


class EndpointSubscription:
    """Exponential backoff with jitter that stays well within the poll deadline."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng = rng
        self._deadline_ns = settings.endpoint_poll_deadline_ns
        self.due_ns: int | None = None
        self.wait_ns = self._deadline_ns // FIRST_WAIT_DIVISOR

    def schedule_first(self, now: int) -> None:
        """Schedule the first call at random: a whole fleet restarting at once must not overload discovery."""
        self.due_ns = now + int(self._rng.random() * self.wait_ns)

    def record_failure(self, now: int) -> None:
        """Schedule the next call after a failure with a doubled, randomised wait."""
        self.wait_ns = min(self.wait_ns * 2, self._deadline_ns // LONGEST_WAIT_DIVISOR)
        self.due_ns = now + int(self.wait_ns * (0.5 + 0.5 * self._rng.random()))

    def record_success(self) -> None:
        """Reset the wait to its initial length."""
        self.wait_ns = self._deadline_ns // FIRST_WAIT_DIVISOR

    def take_due(self, now: int) -> bool:
        """Return whether a call is due now, and clear the due time if so."""
        if self.due_ns is None or now < self.due_ns:
            return False
        self.due_ns = None
        return True
