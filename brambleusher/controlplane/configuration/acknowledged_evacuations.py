"""The leader's record of acknowledged evacuation orders that changed nothing.

The replicated state records the last change of each zone. An order that repeats the state of its zone is
acknowledged without a change, and an order that was sent before it must not take effect after it either.
Replicas of versions without this record apply the same log, so it is kept beside the replicated state, and
orders are rejected before they are appended.
"""

from __future__ import annotations

from brambleusher.controlplane.configuration.commands import SetEvacuation
from brambleusher.controlplane.configuration.state_machine import SharedState

NO_TERM = -1


class AcknowledgedEvacuations:
    """Decides, on the leader, whether an order may have been overtaken by an acknowledged one."""

    def __init__(self) -> None:
        self._term = NO_TERM
        self._term_index = 0
        self._repeated_index: dict[str, int] = {}

    def begin_term(self, term: int, last_index: int) -> None:
        """Forget the orders of an earlier term; their entries are at or below `last_index` of the log."""
        if term != self._term:
            self._term, self._term_index = term, last_index
            self._repeated_index = {}

    def record_repeated(self, zone: str, index: int) -> None:
        """Record that the entry at an index was acknowledged without a change."""
        self._repeated_index[zone] = max(index, self._repeated_index.get(zone, 0))

    def log_fields(self, command: SetEvacuation) -> dict[str, object]:
        """Return what the decision on a command rests on, as fields of a log record."""
        return {
            "zone": command.zone,
            "order_index": command.applied_index,
            "repeated_index": self._repeated_index.get(command.zone, 0),
            "term": self._term,
            "term_index": self._term_index,
        }

    def is_overtaken(self, command: SetEvacuation, state: SharedState) -> bool:
        """Return whether an acknowledged order that changed nothing may be later than the command.

        A command that repeats its zone's state, or that is outdated by it, is left to the replicated state.
        """
        if command.applied_index is None or state.is_repeated(command):
            return False
        acknowledged_index = max(self._term_index, self._repeated_index.get(command.zone, 0))
        changed_index = state.zone_change_index.get(command.zone, 0)
        return changed_index <= command.applied_index < acknowledged_index
