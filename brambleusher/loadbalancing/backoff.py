"""Backoff between two watch calls for the endpoint list.

A sidecar must apply a change of the list within a few seconds after discovery knows it and is reachable,
whatever happened to earlier calls, so waits are short. A fleet that calls at the same moment overloads
discovery, so waits are randomised and grow with the size of the fleet. Pure functions of their arguments;
times are in seconds.
"""

from __future__ import annotations

import random

FIRST_INTERVAL_S = 0.1  # wait, in seconds, after a call that returned data
MAX_SMALL_FLEET_S = 0.5  # longest wait, in seconds, between two calls without data in a small fleet
MAX_INTERVAL_S = 2.0  # longest wait, in seconds, in a large fleet
# Target rate of the whole fleet's calls per second while most of them are rejected at once.
FAILED_REQUESTS_PER_S = 100.0
JITTER_FRACTION = 0.5  # fraction of an interval that is drawn at random


class Backoff:
    """Exponential backoff with jitter for one sidecar; waits count from the start of the previous call."""

    def __init__(self, sidecars: int, rng: random.Random) -> None:
        self._rng = rng
        self._max_interval_s = min(max(sidecars / FAILED_REQUESTS_PER_S, MAX_SMALL_FLEET_S), MAX_INTERVAL_S)
        self._interval_s = FIRST_INTERVAL_S

    def wait_s(self, has_data: bool, took_s: float) -> float:
        """Return how many seconds to wait after a call of `took_s`; `has_data` tells if it returned data.

        The duration of a failed call is part of the wait, so a call that timed out late is repeated almost at
        once.
        """
        if has_data:
            self._interval_s = FIRST_INTERVAL_S
        else:
            self._interval_s = min(self._interval_s * 2, self._max_interval_s)
        jitter = (1 - JITTER_FRACTION) + JITTER_FRACTION * self._rng.random()
        wait_s = self._interval_s if has_data else max(self._interval_s - took_s, FIRST_INTERVAL_S)
        return wait_s * jitter
