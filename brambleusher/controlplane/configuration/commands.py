"""Commands in the log of the configuration group, and the outcomes of applying them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum

from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, as_object, require_bool, require_int, require_str
from brambleusher.wire.packing import pack

# Prepended to a patch before hashing, so that its digest differs from that of a complete configuration, which
# never begins with these bytes.
PATCH_DIGEST_PREFIX = b"PATCH\n"


class Operation(Enum):
    """The kind of a command; the values are stored in the log."""

    PUT_CONFIGURATION = "put"
    SET_EVACUATION = "evacuate"


class Verdict(Enum):
    """The outcome of applying a command; the values are sent on the wire."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"  # the same change request was accepted before
    STALE = "stale"  # the command is not based on the current revision
    NOT_HIGHER = "not_higher"  # the new revision is not above the current revision
    # The zone was changed after the request can have been sent, so the request may be delayed.
    OUTDATED = "outdated"


def request_digest(base_revision: int, body: bytes) -> str:
    """Return the digest that identifies a change request."""
    return hashlib.sha256(b"%d\n%b" % (base_revision, body)).hexdigest()


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Replaces the configuration of revision `base_revision` by a validated configuration.

    `packed` is the packed body of the new configuration (see `wire.packing`); `digest` identifies the change
    request. A command with an empty body never takes effect: it only determines whether the same request was
    accepted before.
    """

    base_revision: int
    revision: int
    digest: str
    packed: str

    @classmethod
    def from_body(cls, base_revision: int, revision: int, body: bytes) -> PutConfiguration:
        """Return the command for the body of a request that sends a complete configuration."""
        return cls(base_revision, revision, request_digest(base_revision, body), pack(body))

    @classmethod
    def from_patch(
        cls, base_revision: int, revision: int, patch: bytes, merged: bytes | None
    ) -> PutConfiguration:
        """Return the command for the body of a patch request and the merged configuration."""
        digest = request_digest(base_revision, PATCH_DIGEST_PREFIX + patch)
        return cls(base_revision, revision, digest, pack(merged) if merged else "")

    def as_json(self) -> dict[str, object]:
        """Return the command as the JSON object that the log stores."""
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

    `applied_index` is the index up to which the receiving replica had applied the log when the request can
    have been sent at the earliest, or None for commands written by versions that did not record it. It guards
    against delayed requests and copies of them: the command has no effect on a zone that was changed after
    that index.
    """

    zone: str
    is_evacuated: bool
    applied_index: int | None = None

    def as_json(self) -> dict[str, object]:
        """Return the command as the JSON object that the log stores."""
        return {
            "op": Operation.SET_EVACUATION.value,
            "zone": self.zone,
            "evacuated": self.is_evacuated,
            "seen": self.applied_index,
        }


Command = PutConfiguration | SetEvacuation


def command_from_json(value: object) -> Command:
    """Parse a command from the JSON value that the log stores.

    Raises:
        InvalidMessageError: The value is not an object, or a field is missing or of the wrong type.
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
