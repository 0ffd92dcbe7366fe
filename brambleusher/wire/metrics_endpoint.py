"""The endpoint of a process's metrics, given as PORT/PATH in the key `metrics` of the deploy file."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.wire.errors import WireError

PORT_MAX = 65535


@dataclass(eq=False)
class InvalidMetricsEndpointError(WireError):
    """The text is not PORT/PATH."""

    text: str

    def __str__(self) -> str:
        """Return the invalid text with its key, for logs and responses."""
        return f"metrics: {self.text!r} is not PORT/PATH"


@dataclass(frozen=True, slots=True)
class MetricsEndpoint:
    """The port on the machine's address, and the path, which begins with a slash."""

    port: int
    path: str

    @classmethod
    def parse(cls, text: str) -> MetricsEndpoint:
        """Parse an endpoint from the form PORT/PATH.

        Raises:
            InvalidMetricsEndpointError: The text is not of that form.
        """
        port, slash, path = text.partition("/")
        if not slash or not port.isascii() or not port.isdigit() or not 0 < int(port) <= PORT_MAX:
            raise InvalidMetricsEndpointError(text)
        return cls(int(port), slash + path)
