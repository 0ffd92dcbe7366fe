"""One open connection to an instance."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from brambleusher.runtime.streams import Stream


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A stream, the state of HTTP on it, and how long it was idle."""

    stream: Stream
    protocol: h11.Connection
    idle_since_s: float = 0.0
    idle_until_s: float = 0.0
    idle_s: float = 0.0  # before the attempt under way; 0 once a response has come
    handshake_s: float = 0.0

    @property
    def is_reused(self) -> bool:
        """Whether it has carried a request before the one under way."""
        return self.idle_since_s > 0.0
