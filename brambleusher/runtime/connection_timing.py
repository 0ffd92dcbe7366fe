"""Since when the client of a connection can have sent its next request.

The operating system tells how long a connection took to open and since when its bytes have waited. What it
tells can only make a request older, and differs between systems, so it counts only as far as nothing
contradicts it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream

OPENINGS_COMPARED = 16  # the latest openings of a listener that each opening is compared with
CLOCK_TOLERANCE_S = 0.05  # granularity of the operating system's times, with a margin


@dataclass(frozen=True, slots=True)
class RequestReadiness:
    """When a client can have sent a request at the earliest; times are of the scheduler's clock.

    Attributes:
        since: When the connection was accepted, or when the response before was sent; infinity if unknown.
        unread_s: The seconds before `since` for which the connection or its bytes may have waited.
        opening_s: The seconds by which the connection took longer to open than others.
    """

    since: float = math.inf
    unread_s: float = 0.0
    opening_s: float = 0.0

    @property
    def sent_after(self) -> float:
        """The time before which the client can't have sent the request."""
        return self.since - self.unread_s - self.opening_s


UNKNOWN_READINESS = RequestReadiness()


class ConnectionTiming:
    """Determines the readiness of the connections that one listener accepts."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._listening_since = scheduler.now()
        self._openings_s: deque[float] = deque(maxlen=OPENINGS_COMPARED)

    def of_accepted(self, stream: Stream, accepted_at: float, queued_after: float) -> RequestReadiness:
        """Return the readiness of a connection that entered the accept queue after `queued_after`."""
        unread_s = accepted_at - self._first_bytes_at(stream, accepted_at, queued_after)
        longest_s = max(0.0, accepted_at - unread_s - self._listening_since)
        return RequestReadiness(accepted_at, unread_s, min(self._opening_s(stream), longest_s))

    def _first_bytes_at(self, stream: Stream, accepted_at: float, queued_after: float) -> float:
        """Return when the first bytes have arrived, or `accepted_at` if they came later.

        Bytes can't precede their connection. If the operating system claims that they do, or does not tell,
        they may have waited for as long as this process is known to have fallen behind.
        """
        now = self._scheduler.now()
        waited_s = self._scheduler.system.seconds_since_data(stream.sock)
        is_credible = 0.0 < waited_s <= now - queued_after + CLOCK_TOLERANCE_S
        told_at = now - waited_s if is_credible else accepted_at - self._scheduler.lateness_s
        return min(accepted_at, max(queued_after, told_at))

    def _opening_s(self, stream: Stream) -> float:
        """Return by how many seconds a connection opened more slowly than the fastest of the latest ones.

        What is told of every connection says nothing about one of them.
        """
        self._openings_s.append(self._scheduler.system.seconds_to_open(stream.sock))
        return self._openings_s[-1] - min(self._openings_s)
