"""How long to wait before the next call for a watch of the endpoint list.

A sidecar is held to a change of the list some seconds after discovery had it and could be reached, whatever
became of the calls before, so waits are short; and a fleet that calls in one moment jams discovery, so they
are spread, by the fleet's size.  Pure: times are seconds.
"""

from __future__ import annotations

import random

FIRST_SECONDS = 0.1  # after a watch that brought something
MAX_SMALL_FLEET_S = 0.5  # between two calls that brought nothing, where few sidecars call
MAX_INTERVAL_S = 2.0  # and where many do
CALLS_A_SECOND = 100.0  # that failed, from a whole fleet: most are refused at once


class Backoff:
    """The waits of one sidecar: exponential, with jitter, and counted from the begin of the call before."""

    def __init__(self, sidecars: int, rng: random.Random) -> None:
        self._rng = rng
        self._most = min(max(sidecars / CALLS_A_SECOND, MAX_SMALL_FLEET_S), MAX_INTERVAL_S)
        self._interval = FIRST_SECONDS

    def pause(self, heard: bool, took: float) -> float:
        """Seconds to wait after a call that took so long; `heard` says that it brought something.

        The time that a failed call took is part of the wait: one that was given up late is followed at once.
        """
        self._interval = FIRST_SECONDS if heard else min(self._interval * 2, self._most)
        spread = 0.5 + 0.5 * self._rng.random()
        wait = self._interval if heard else max(self._interval - took, FIRST_SECONDS)
        return wait * spread
