"""The state machine of the configuration group: configuration in force and evacuated zones, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from brambleusher.controlplane.configuration.commands import (
    Command,
    PutConfiguration,
    SetEvacuation,
    Verdict,
)
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import (
    JsonObject,
    as_object,
    require_int,
    require_list,
    require_object,
    require_str,
)

# Limits how many accepted change requests are remembered to detect repeated ones; a day has hundreds.
ACCEPTED_DIGESTS_MAX = 4096
# Keys of the stored state; stored snapshots and controllers of other versions use them, so they must not
# change.
STATE_KEYS = frozenset({"index", "revision", "packed", "digests", "evacuated", "zones_changed"})


@dataclass(slots=True)
class SharedState:
    """The state that all replicas of the configuration group agree on.

    Attributes:
        index: The log index of the last command that changed the state; gateways use it as the state's
            version.
        revision: The revision of the configuration in force.
        packed: The packed body of the configuration in force, or "" before the first configuration.
        accepted_digests: Digests of the latest accepted change requests, oldest first.
        evacuated_zones: The names of the zones that are evacuated.
        zone_change_index: The log index of the last change of each zone, by zone name.
    """

    index: int = 0
    revision: int = 0
    packed: str = ""
    accepted_digests: list[str] = field(default_factory=list)
    evacuated_zones: list[str] = field(default_factory=list)
    zone_change_index: dict[str, int] = field(default_factory=dict)

    def apply(self, index: int, command: Command) -> Verdict:
        """Apply a committed command and return its outcome."""
        if isinstance(command, PutConfiguration):
            return self._put_configuration(index, command)
        return self._set_evacuation(index, command)

    def _put_configuration(self, index: int, command: PutConfiguration) -> Verdict:
        digest = command.digest
        if digest in self.accepted_digests:
            return Verdict.REPEATED
        if command.base_revision != self.revision or not command.packed:
            return Verdict.STALE
        if command.revision <= self.revision:
            return Verdict.NOT_HIGHER
        self.index, self.revision, self.packed = index, command.revision, command.packed
        self.accepted_digests = [*self.accepted_digests, digest][-ACCEPTED_DIGESTS_MAX:]
        return Verdict.ACCEPTED

    def _set_evacuation(self, index: int, command: SetEvacuation) -> Verdict:
        if self.is_repeated(command):
            return Verdict.REPEATED
        zone, applied_index = command.zone, command.applied_index
        if applied_index is not None and applied_index < self.zone_change_index.get(zone, 0):
            return Verdict.OUTDATED
        others = [other for other in self.evacuated_zones if other != zone]
        self.evacuated_zones = [*others, zone] if command.is_evacuated else others
        self.zone_change_index = {**self.zone_change_index, zone: index}
        self.index = index
        return Verdict.ACCEPTED

    def is_repeated(self, command: SetEvacuation) -> bool:
        """Return whether the command's zone already is in the state that the command asks for."""
        return (command.zone in self.evacuated_zones) is command.is_evacuated

    def as_json(self) -> dict[str, object]:
        """Return the state as the JSON object that snapshots store."""
        return {
            "index": self.index,
            "revision": self.revision,
            "packed": self.packed,
            "digests": self.accepted_digests,
            "evacuated": self.evacuated_zones,
            "zones_changed": self.zone_change_index,
        }

    def as_read_json(self) -> dict[str, object]:
        """Return the state as a JSON object for a reader, without the digests of accepted change requests."""
        return {**self.as_json(), "digests": []}

    @classmethod
    def from_json(cls, value: object) -> SharedState:
        """Parse the state in a snapshot, or return an empty state for None.

        Earlier versions wrote fewer keys, so missing keys get their defaults. Unknown keys are rejected,
        since their content would be lost.

        Raises:
            InvalidMessageError: A field is unknown or of the wrong type.
        """
        if value is None:
            return cls()
        data = as_object(value, "a state")
        if unknown := data.keys() - STATE_KEYS:
            raise InvalidMessageError(f"a state has unknown keys: {', '.join(sorted(unknown))}")
        complete = {**cls().as_json(), **data}
        return cls(
            index=require_int(complete, "index"),
            revision=require_int(complete, "revision"),
            packed=require_str(complete, "packed"),
            accepted_digests=_texts(complete, "digests"),
            evacuated_zones=_texts(complete, "evacuated"),
            zone_change_index=_indexes(complete, "zones_changed"),
        )


def _texts(data: JsonObject, key: str) -> list[str]:
    return [str(text) for text in require_list(data, key)]


def _indexes(data: JsonObject, key: str) -> dict[str, int]:
    indexes = require_object(data, key)
    return {zone: require_int(indexes, zone) for zone in indexes}
