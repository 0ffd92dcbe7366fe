"""Zones in which connections time out: power or network of a whole zone goes at once; pure, times in seconds.

A gateway of many meets each instance seldom.  Where a zone is lost it would wait for one instance of it after
the other, and a request would spend all its attempts there.  An instance that refuses a connection is no
evidence: its machine is there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EVIDENCE = 2  # instances that timed out, and none that took a connection in between
REST_FIRST_S, REST_MOST_S = 0.5, 2.0
TRIAL_S = 0.3  # for one request to find out whether the zone is back, before another may


@dataclass(slots=True)
class _Zone:
    silent: set[str] = field(default_factory=set)  # instances that timed out since one took a connection
    until: float = 0.0
    rest_s: float = 0.0


class ZoneRests:
    """Which zones are tried last, as this gateway's own connections show."""

    def __init__(self) -> None:
        self._zones: dict[str, _Zone] = {}

    def timed_out(self, zone: str, instance: str, now: float) -> None:
        """A connection to an instance did not come up."""
        known = self._zones.setdefault(zone, _Zone())
        known.silent.add(instance)
        if len(known.silent) >= EVIDENCE and known.until <= now + TRIAL_S:
            known.rest_s = min(REST_MOST_S, max(REST_FIRST_S, known.rest_s * 2))
            known.until = now + known.rest_s

    def connected(self, zone: str) -> None:
        """An instance of the zone took a connection."""
        self._zones.pop(zone, None)

    def tried(self, zone: str, now: float) -> None:
        """A request goes to a zone after its rest: others wait for what becomes of it."""
        known = self._zones.get(zone)
        if known is not None and len(known.silent) >= EVIDENCE:
            known.until = max(known.until, now + TRIAL_S)

    def resting(self, now: float) -> frozenset[str]:
        """The zones to be tried last."""
        return frozenset(zone for zone, known in self._zones.items() if known.until > now)
