"""What the commands of the configuration shard do: the configuration in force and evacuated zones; pure."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.packing import pack

PATCH = b"PATCH\n"  # ahead of a patch in its digest: a whole configuration never begins so
# Of the stored form of the state: fixed by what is on disks and by controllers of other versions.
STATE_KEYS = frozenset({"index", "revision", "packed", "digests", "evacuated", "zones_changed"})
HISTORY_MAX = 4096  # digests of configurations taken; a day holds hundreds


class Verdict(Enum):
    """How a command ended where it was applied."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"  # it had been taken before
    STALE = "stale"  # another version is current
    NOT_HIGHER = "not_higher"  # its revision is not above the current one
    OUTDATED = "outdated"  # its subject was changed after the order was received: it may be an old copy


def digest_of(base: int, order: bytes) -> str:
    """What tells an order from all others."""
    return hashlib.sha256(b"%d\n%b" % (base, order)).hexdigest()


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Command: a checked configuration on top of the revision `base`.

    `packed` is its body (see `wire.packing`); `digest` tells this very order from all others.  Without a
    body it never comes into force, and only finds out whether this very order was taken before.
    """

    base: int
    revision: int
    digest: str
    packed: str

    @classmethod
    def of(cls, base: int, revision: int, body: bytes) -> PutConfiguration:
        """The command for a whole configuration as it was sent."""
        return cls(base, revision, digest_of(base, body), pack(body))

    @classmethod
    def of_patch(cls, base: int, revision: int, patch: bytes, merged: bytes | None) -> PutConfiguration:
        """The command for a patch as it was sent, with what it makes of the configuration `base`."""
        return cls(base, revision, digest_of(base, PATCH + patch), pack(merged) if merged else "")

    def as_json(self) -> dict[str, Any]:
        """The form in the log."""
        return {
            "op": "put",
            "base": self.base,
            "revision": self.revision,
            "digest": self.digest,
            "packed": self.packed,
        }


@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Command: a zone is evacuated, or taken back.

    `seen` is the index up to which the replica that received the order had applied the log at that moment
    (None: written by a version that did not say).  It tells a copy that was held back on its way from a new
    order: what was changed after it does not change again.
    """

    zone: str
    evacuated: bool
    seen: int | None = None

    def as_json(self) -> dict[str, Any]:
        """The form in the log."""
        return {"op": "evacuate", "zone": self.zone, "evacuated": self.evacuated, "seen": self.seen}


Command = PutConfiguration | SetEvacuation


def command_of(data: dict[str, Any]) -> Command:
    """A command from its form in the log; raises `KeyError` where a part is missing."""
    if data["op"] == "put":
        return PutConfiguration(data["base"], data["revision"], data["digest"], data["packed"])
    return SetEvacuation(data["zone"], data["evacuated"], data.get("seen"))


@dataclass(slots=True)
class SharedState:
    """The state that all replicas of the configuration shard agree on."""

    index: int = 0  # of the last command that changed something: the version that gateways hold
    revision: int = 0
    packed: str = ""  # the body of the configuration in force; empty before the first
    digests: list[str] = field(default_factory=list)
    evacuated: list[str] = field(default_factory=list)
    zones_changed: dict[str, int] = field(default_factory=dict)  # index of each zone's last change

    def apply(self, index: int, command: Command) -> Verdict:
        """Apply a committed command; says how it ended."""
        if isinstance(command, PutConfiguration):
            return self._put(index, command)
        return self._evacuate(index, command)

    def _put(self, index: int, command: PutConfiguration) -> Verdict:
        digest = command.digest
        if digest in self.digests:
            return Verdict.REPEATED
        if command.base != self.revision or not command.packed:
            return Verdict.STALE
        if command.revision <= self.revision:
            return Verdict.NOT_HIGHER
        self.index, self.revision, self.packed = index, command.revision, command.packed
        self.digests = [*self.digests, digest][-HISTORY_MAX:]
        return Verdict.ACCEPTED

    def _evacuate(self, index: int, command: SetEvacuation) -> Verdict:
        if (command.zone in self.evacuated) is command.evacuated:
            return Verdict.REPEATED
        if command.seen is not None and command.seen < self.zones_changed.get(command.zone, 0):
            return Verdict.OUTDATED
        rest = [zone for zone in self.evacuated if zone != command.zone]
        self.evacuated = [*rest, command.zone] if command.evacuated else rest
        self.zones_changed = {**self.zones_changed, command.zone: index}
        self.index = index
        return Verdict.ACCEPTED

    def as_json(self) -> dict[str, Any]:
        """The form in snapshots."""
        return {
            "index": self.index,
            "revision": self.revision,
            "packed": self.packed,
            "digests": self.digests,
            "evacuated": self.evacuated,
            "zones_changed": self.zones_changed,
        }

    def answer_as_json(self) -> dict[str, Any]:
        """The form for a reader, who needs nothing of the past."""
        return {**self.as_json(), "digests": []}

    @classmethod
    def from_json(cls, data: dict[str, Any] | None) -> SharedState:
        """The state of a snapshot; an empty one without.  Versions before wrote fewer keys.

        Raises `InvalidMessageError` for keys that this version does not know: it would lose what they hold.
        """
        if data is None:
            return cls()
        if unknown := data.keys() - STATE_KEYS:
            raise InvalidMessageError(f"a state has unknown keys: {', '.join(sorted(unknown))}")
        return cls(
            index=data.get("index", 0),
            revision=data.get("revision", 0),
            packed=data.get("packed", ""),
            digests=data.get("digests", []),
            evacuated=data.get("evacuated", []),
            zones_changed=data.get("zones_changed", {}),
        )
