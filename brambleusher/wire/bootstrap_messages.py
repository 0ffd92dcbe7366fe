"""Messages by which the first group of controllers is formed, and their encoding as JSON objects."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.wire.json_fields import JsonObject, require_bool, require_str

BOOTSTRAP_QUERY = "bootstrap"  # value of the "kind" field in queries


@dataclass(frozen=True, slots=True)
class BootstrapQuery:
    """A controller without a group asks a seed whether that seed is an observer.

    Attributes:
        identity: The identity of the controller.
        requests_grant: Whether it also requests the seed's grant to form a group of its own.
    """

    identity: str
    requests_grant: bool

    def as_json(self) -> dict[str, object]:
        """Return the query in its wire format."""
        return {"kind": BOOTSTRAP_QUERY, "identity": self.identity, "requests_grant": self.requests_grant}

    @classmethod
    def from_json(cls, data: JsonObject) -> BootstrapQuery:
        """Parse a query from its wire format.

        Raises:
            InvalidMessageError: A field is missing or of the wrong type.
        """
        return cls(require_str(data, "identity"), require_bool(data, "requests_grant"))


@dataclass(frozen=True, slots=True)
class BootstrapAnswer:
    """The answer to a `BootstrapQuery`.

    Attributes:
        is_observer: Whether the process that answers is an observer, which never has a vote.
        is_granted: Whether the sender of the query has the grant of this observer.
    """

    is_observer: bool
    is_granted: bool = False

    def as_json(self) -> dict[str, object]:
        """Return the answer in its wire format."""
        return {"observer": self.is_observer, "granted": self.is_granted}

    @classmethod
    def from_json(cls, data: JsonObject) -> BootstrapAnswer:
        """Parse an answer from its wire format.

        Raises:
            InvalidMessageError: A field is missing or of the wrong type.
        """
        return cls(require_bool(data, "observer"), require_bool(data, "granted"))
