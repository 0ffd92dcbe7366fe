"""Where the metrics of a process are scraped: PORT/PATH, as the deploy file has it in `metrics`."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.wire.errors import WireError

PORT_MAX = 65535


@dataclass(eq=False)
class InvalidMetricsEndpointError(WireError):
    """The text is not PORT/PATH."""

    text: str

    def __str__(self) -> str:
        """Return what was found."""
        return f"metrics: {self.text!r} is not PORT/PATH"


@dataclass(frozen=True, slots=True)
class MetricsEndpoint:
    """A port on the machine's address, and a path that begins with a slash."""

    port: int
    path: str

    @classmethod
    def parse(cls, text: str) -> MetricsEndpoint:
        """Return the endpoint that PORT/PATH names.

        Raises:
            InvalidMetricsEndpointError: It is not of that form.
        """
        port, slash, path = text.partition("/")
        if not slash or not port.isascii() or not port.isdigit() or not 0 < int(port) <= PORT_MAX:
            raise InvalidMetricsEndpointError(text)
        return cls(int(port), slash + path)
