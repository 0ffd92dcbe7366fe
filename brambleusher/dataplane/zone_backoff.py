"""Back-off from zones in which connections time out, as after a power or network failure of a zone.

With many gateways, each one rarely uses a given instance.  Without this back-off, a gateway would run into
the connect timeout of one instance after another, and a request would spend all its attempts in the failed
zone.  A refused connection is not evidence of a zone failure, since the machine is reachable.  This module
does no I/O; times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

UNRESPONSIVE_INSTANCES_MIN = 2  # timeouts in a row, each of another instance, that start a back-off
BACKOFF_FIRST_S, BACKOFF_MAX_S = 0.5, 2.0
TRIAL_S = 0.3  # how long other requests wait while one tests whether the zone has recovered


@dataclass(slots=True)
class _ZoneState:
    # Ids of the instances that timed out since the last successful connection.
    unresponsive: set[str] = field(default_factory=set)
    backoff_until_s: float = 0.0
    backoff_s: float = 0.0

    @property
    def has_evidence(self) -> bool:
        return len(self.unresponsive) >= UNRESPONSIVE_INSTANCES_MIN


class ZoneBackoff:
    """Tracks which zones are tried last, based on this gateway's own connections."""

    def __init__(self) -> None:
        self._zones: dict[str, _ZoneState] = {}

    def record_timeout(self, zone: str, instance_id: str, now_s: float) -> None:
        """Record that a connection to an instance timed out."""
        state = self._zones.setdefault(zone, _ZoneState())
        state.unresponsive.add(instance_id)
        if state.has_evidence and state.backoff_until_s <= now_s + TRIAL_S:
            state.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_FIRST_S, state.backoff_s * 2))
            state.backoff_until_s = now_s + state.backoff_s

    def record_connected(self, zone: str) -> None:
        """Record that an instance of the zone accepted a connection, which ends the back-off."""
        self._zones.pop(zone, None)

    def begin_trial(self, zone: str, now_s: float) -> None:
        """Start a trial request to a zone after its back-off; other requests avoid the zone meanwhile."""
        state = self._zones.get(zone)
        if state is not None and state.has_evidence:
            state.backoff_until_s = max(state.backoff_until_s, now_s + TRIAL_S)

    def zones_in_backoff(self, now_s: float) -> frozenset[str]:
        """Return the zones that are to be tried last."""
        return frozenset(zone for zone, state in self._zones.items() if state.backoff_until_s > now_s)
