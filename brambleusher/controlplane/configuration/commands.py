"""Commands of the configuration group's log, and how they may end."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum

from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, as_object, require_bool, require_int, require_str
from brambleusher.wire.packing import pack

PATCH_DIGEST_PREFIX = b"PATCH\n"  # ahead of a patch in its digest: a whole configuration never begins so


class Operation(Enum):
    """Kinds of commands; the values are the stored form."""

    PUT_CONFIGURATION = "put"
    SET_EVACUATION = "evacuate"


class Verdict(Enum):
    """How a command ended where it was applied; the values are the form on the wire."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"  # it had been accepted before
    STALE = "stale"  # another version is current
    NOT_HIGHER = "not_higher"  # its revision is not above the current one
    OUTDATED = "outdated"  # its subject was changed after the request arrived: it may be a delayed copy


def request_digest(base_revision: int, body: bytes) -> str:
    """Return what distinguishes a change request from all others."""
    return hashlib.sha256(b"%d\n%b" % (base_revision, body)).hexdigest()


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Replaces the configuration of `base_revision` by a validated one.

    `packed` is its body (see `wire.packing`); `digest` distinguishes this change request from all others.
    Without a body the command never comes into force, and only finds out whether the request was accepted
    before.
    """

    base_revision: int
    revision: int
    digest: str
    packed: str

    @classmethod
    def from_body(cls, base_revision: int, revision: int, body: bytes) -> PutConfiguration:
        """Return the command for a whole configuration as it was sent."""
        return cls(base_revision, revision, request_digest(base_revision, body), pack(body))

    @classmethod
    def from_patch(
        cls, base_revision: int, revision: int, patch: bytes, merged: bytes | None
    ) -> PutConfiguration:
        """Return the command for a patch as it was sent, with the configuration that it makes of its base."""
        digest = request_digest(base_revision, PATCH_DIGEST_PREFIX + patch)
        return cls(base_revision, revision, digest, pack(merged) if merged else "")

    def as_json(self) -> dict[str, object]:
        """Return the form in the log."""
        return {
            "op": Operation.PUT_CONFIGURATION.value,
            "base": self.base_revision,
            "revision": self.revision,
            "digest": self.digest,
            "packed": self.packed,
        }


@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Evacuates a zone, or ends its evacuation.

    `applied_index` is the index up to which the receiving replica had applied the log when the request
    arrived (None: written by a version that did not record it).  It distinguishes a copy that was delayed on
    its way from a new request: a zone that was changed after that index is not changed again.
    """

    zone: str
    is_evacuated: bool
    applied_index: int | None = None

    def as_json(self) -> dict[str, object]:
        """Return the form in the log."""
        return {
            "op": Operation.SET_EVACUATION.value,
            "zone": self.zone,
            "evacuated": self.is_evacuated,
            "seen": self.applied_index,
        }


Command = PutConfiguration | SetEvacuation


def command_from_json(value: object) -> Command:
    """Return a command from its form in the log.

    Raises:
        InvalidMessageError: It is no object, or a field is missing or of the wrong type.
    """
    data = as_object(value, "a command")
    operation = data.get("op")
    if operation == Operation.PUT_CONFIGURATION.value:
        base_revision, revision = require_int(data, "base"), require_int(data, "revision")
        return PutConfiguration(
            base_revision, revision, require_str(data, "digest"), require_str(data, "packed")
        )
    if operation == Operation.SET_EVACUATION.value:
        return SetEvacuation(require_str(data, "zone"), require_bool(data, "evacuated"), _applied_index(data))
    raise InvalidMessageError(f"a command has the unknown operation {operation!r}")


def _applied_index(data: JsonObject) -> int | None:
    return None if data.get("seen") is None else require_int(data, "seen")
