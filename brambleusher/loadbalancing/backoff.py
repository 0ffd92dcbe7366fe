"""Backoff between two calls for a watch of the endpoint list.

A sidecar must apply a change of the list within some seconds after discovery had it and could be reached,
whatever became of the calls before, so waits are short; and a fleet that calls in one moment overloads
discovery, so they are spread, by the fleet's size.  Pure: times are seconds.
"""

from __future__ import annotations

import random

FIRST_INTERVAL_S = 0.1  # after a watch that brought something
MAX_SMALL_FLEET_S = 0.5  # between two calls that brought nothing, where few sidecars call
MAX_INTERVAL_S = 2.0  # and where many do
FAILED_REQUESTS_PER_S = 100.0  # from a whole fleet: most are rejected at once
JITTER_FRACTION = 0.5  # of an interval


class Backoff:
    """The waits of one sidecar: exponential, with jitter, and counted from the begin of the call before."""

    def __init__(self, sidecars: int, rng: random.Random) -> None:
        self._rng = rng
        self._max_interval_s = min(max(sidecars / FAILED_REQUESTS_PER_S, MAX_SMALL_FLEET_S), MAX_INTERVAL_S)
        self._interval_s = FIRST_INTERVAL_S

    def wait_s(self, has_data: bool, took_s: float) -> float:
        """Return how long to wait after a call that took so long; `has_data`: it brought something.

        The time that a failed call took is part of the wait: one that timed out late is followed at once.
        """
        if has_data:
            self._interval_s = FIRST_INTERVAL_S
        else:
            self._interval_s = min(self._interval_s * 2, self._max_interval_s)
        jitter = (1 - JITTER_FRACTION) + JITTER_FRACTION * self._rng.random()
        wait_s = self._interval_s if has_data else max(self._interval_s - took_s, FIRST_INTERVAL_S)
        return wait_s * jitter
