"""Back-off from zones in which connections time out: power or network of a whole zone fails at once.

One of many gateways uses each instance seldom.  In a failed zone it would wait for the time-out of one
instance after the other, and a request would spend all its attempts there.  A refused connection is no
evidence: the machine is reachable.  Pure; times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

UNRESPONSIVE_INSTANCES_MIN = 2  # that timed out, with no successful connection in between
BACKOFF_FIRST_S, BACKOFF_MAX_S = 0.5, 2.0
TRIAL_S = 0.3  # for one request to find out whether the zone is back, before another may


@dataclass(slots=True)
class _ZoneState:
    unresponsive: set[str] = field(default_factory=set)  # instances that timed out since the last connection
    backoff_until_s: float = 0.0
    backoff_s: float = 0.0

    @property
    def has_evidence(self) -> bool:
        return len(self.unresponsive) >= UNRESPONSIVE_INSTANCES_MIN


class ZoneBackoff:
    """Knows which zones are tried last, from this gateway's own connections."""

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
        """Record that an instance of the zone accepted a connection: the back-off ends."""
        self._zones.pop(zone, None)

    def begin_trial(self, zone: str, now_s: float) -> None:
        """Send a request to a zone after its back-off: others wait for its outcome."""
        state = self._zones.get(zone)
        if state is not None and state.has_evidence:
            state.backoff_until_s = max(state.backoff_until_s, now_s + TRIAL_S)

    def zones_in_backoff(self, now_s: float) -> frozenset[str]:
        """Return the zones to be tried last."""
        return frozenset(zone for zone, state in self._zones.items() if state.backoff_until_s > now_s)
