"""Messages between observers and controllers, and their form on the wire."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from brambleusher.controlplane.configuration.commands import Command, command_from_json
from brambleusher.membership.controllers import KnownController, controllers_from_json
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject

RELAY = "relay"  # kind of a request of an observer to a controller
CONTROLLERS_ANNOUNCEMENT = "controllers"  # kind of a controller's message that names the controllers

# Address, zone and region of controllers, as they are announced.
ControllersJson = Sequence[tuple[str, str, str]]


class RequestKind(Enum):
    """What an observer asks for; the values are the form on the wire."""

    SUBMIT = "submit"
    READ = "read"
    APPLIED_INDEX = "index"
    RESOLVE = "resolve"
    CONTROLLERS = "controllers"


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """Have a command committed; the answer is the verdict."""

    command: Command

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        return _request_to_json(RequestKind.SUBMIT, command=self.command.as_json())


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Read the state as a majority has it; the answer is the state."""

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        return _request_to_json(RequestKind.READ)


@dataclass(frozen=True, slots=True)
class AppliedIndexRequest:
    """Ask for the index that the controller has applied."""

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        return _request_to_json(RequestKind.APPLIED_INDEX)


@dataclass(frozen=True, slots=True)
class ResolveRequest:
    """Ask for gateways near a client; the answer is a list of their addresses."""

    zone: str
    region: str

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        return _request_to_json(RequestKind.RESOLVE, zone=self.zone, region=self.region)


@dataclass(frozen=True, slots=True)
class ControllersRequest:
    """Ask which controllers there are."""

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        return _request_to_json(RequestKind.CONTROLLERS)


RelayRequest = SubmitRequest | ReadRequest | AppliedIndexRequest | ResolveRequest | ControllersRequest


def _request_to_json(kind: RequestKind, **fields: object) -> dict[str, object]:
    return {"kind": RELAY, "what": kind.value, **fields}


def request_from_json(data: JsonObject) -> RelayRequest:
    """Return a request from its form on the wire.

    Raises:
        InvalidMessageError: It asks for nothing that is known, or its command can't be read.
    """
    match data.get("what"):
        case RequestKind.SUBMIT.value:
            return SubmitRequest(command_from_json(data.get("command")))
        case RequestKind.READ.value:
            return ReadRequest()
        case RequestKind.APPLIED_INDEX.value:
            return AppliedIndexRequest()
        case RequestKind.RESOLVE.value:
            return ResolveRequest(str(data.get("zone", "")), str(data.get("region", "")))
        case RequestKind.CONTROLLERS.value:
            return ControllersRequest()
        case unknown:
            raise InvalidMessageError(f"a relayed request asks for {unknown!r}")


def reply_to_json(answer: object) -> dict[str, object]:
    """Return a controller's reply; an answer of None means that it has none."""
    return {"answer": answer}


@dataclass(frozen=True, slots=True)
class RelayReply:
    """The reply to a request."""

    answer: object  # its form goes by the request; None where there is none
    is_from_observer: bool
    controllers: list[KnownController]  # that an observer knows

    @classmethod
    def from_json(cls, data: JsonObject) -> RelayReply:
        """Return a reply from its form on the wire.

        Raises:
            InvalidMessageError: An observer names no list of controllers.
        """
        is_from_observer = bool(data.get("observer"))
        controllers = controllers_from_json(data.get("controllers")) if is_from_observer else []
        return cls(data.get("answer"), is_from_observer, controllers)
