"""One open connection to an instance."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from brambleusher.runtime.streams import Stream


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """The stream, the HTTP parser state and the idle times of a connection to an instance."""

    stream: Stream
    protocol: h11.Connection
    idle_since_s: float = 0.0
    idle_until_s: float = 0.0
    idle_s: float = 0.0  # idle time before the current attempt; 0 once a response has arrived
    handshake_s: float = 0.0

    @property
    def is_reused(self) -> bool:
        """Whether the connection carried an earlier request before the current one."""
        return self.idle_since_s > 0.0
