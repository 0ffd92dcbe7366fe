"""Messages between observers and controllers, and their wire format."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from brambleusher.controlplane.configuration.commands import Command, command_from_json
from brambleusher.membership.controllers import KnownController, controllers_from_json
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject, require_int

RELAY = "relay"  # value of the "kind" field in requests from an observer to a controller
CONTROLLERS_ANNOUNCEMENT = "controllers"  # value of the "kind" field in messages that list the controllers

# The address, zone and region of each controller, as announced to other processes.
ControllersJson = Sequence[tuple[str, str, str]]


class RequestKind(Enum):
    """The kind of an observer's request; the values are sent on the wire."""

    SUBMIT = "submit"
    READ = "read"
    APPLIED_INDEX = "index"
    RESOLVE = "resolve"
    CONTROLLERS = "controllers"


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """Request to commit a command; the answer is the command's verdict."""

    command: Command

    def as_json(self) -> dict[str, object]:
        """Return the request in its wire format."""
        return _request_to_json(RequestKind.SUBMIT, command=self.command.as_json())


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Request for a linearizable read; the answer is the state."""

    def as_json(self) -> dict[str, object]:
        """Return the request in its wire format."""
        return _request_to_json(RequestKind.READ)


@dataclass(frozen=True, slots=True)
class AppliedIndexRequest:
    """Request for the index up to which the controller had applied the log some milliseconds ago."""

    age_ms: int = 0

    def as_json(self) -> dict[str, object]:
        """Return the request in its wire format; controllers of earlier versions ignore the age."""
        if self.age_ms == 0:
            return _request_to_json(RequestKind.APPLIED_INDEX)
        return _request_to_json(RequestKind.APPLIED_INDEX, age_ms=self.age_ms)


@dataclass(frozen=True, slots=True)
class ResolveRequest:
    """Request for gateways near a client; the answer is a list of their addresses."""

    zone: str
    region: str

    def as_json(self) -> dict[str, object]:
        """Return the request in its wire format."""
        return _request_to_json(RequestKind.RESOLVE, zone=self.zone, region=self.region)


@dataclass(frozen=True, slots=True)
class ControllersRequest:
    """Request for the list of controllers."""

    def as_json(self) -> dict[str, object]:
        """Return the request in its wire format."""
        return _request_to_json(RequestKind.CONTROLLERS)


RelayRequest = SubmitRequest | ReadRequest | AppliedIndexRequest | ResolveRequest | ControllersRequest


def _request_to_json(kind: RequestKind, **fields: object) -> dict[str, object]:
    return {"kind": RELAY, "what": kind.value, **fields}


def request_from_json(data: JsonObject) -> RelayRequest:
    """Parse a request from its wire format.

    Raises:
        InvalidMessageError: The kind of the request is unknown, or its command is invalid.
    """
    match data.get("what"):
        case RequestKind.SUBMIT.value:
            return SubmitRequest(command_from_json(data.get("command")))
        case RequestKind.READ.value:
            return ReadRequest()
        case RequestKind.APPLIED_INDEX.value:
            return AppliedIndexRequest(require_int({"age_ms": 0, **data}, "age_ms"))
        case RequestKind.RESOLVE.value:
            return ResolveRequest(str(data.get("zone", "")), str(data.get("region", "")))
        case RequestKind.CONTROLLERS.value:
            return ControllersRequest()
        case unknown:
            raise InvalidMessageError(f"a relayed request has the unknown kind {unknown!r}")


def reply_to_json(answer: object) -> dict[str, object]:
    """Return a controller's reply in its wire format; an `answer` of None means that the request failed."""
    return {"answer": answer}


@dataclass(frozen=True, slots=True)
class RelayReply:
    """The reply to a relayed request.

    Attributes:
        answer: The answer, whose type depends on the request, or None if the request failed.
        is_from_observer: Whether the reply comes from an observer instead of a controller.
        controllers: The controllers known to the observer that replied; empty if a controller replied.
    """

    answer: object
    is_from_observer: bool
    controllers: list[KnownController]

    @classmethod
    def from_json(cls, data: JsonObject) -> RelayReply:
        """Parse a reply from its wire format.

        Raises:
            InvalidMessageError: The reply comes from an observer and has no valid list of controllers.
        """
        is_from_observer = bool(data.get("observer"))
        controllers = controllers_from_json(data.get("controllers")) if is_from_observer else []
        return cls(data.get("answer"), is_from_observer, controllers)
