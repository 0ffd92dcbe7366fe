"""What operators are told of requests, counted where their other ends know of it too.

An answer counts when its last byte is written, an attempt when its request's last byte is.  A request that
its client left counts as ended and as nothing else; one answered in part has failed.  What can't be read
as a request was never taken.
"""

from __future__ import annotations

from collections.abc import Iterable

SERVED, REFUSED, FAILED = "fulfilled", "throttled", "faulted"


class Tally:
    """Counts since the process began."""

    __slots__ = ("ends", "open", "relayed")

    def __init__(self, classes: Iterable[str]) -> None:
        self.ends = {name: {SERVED: 0, REFUSED: 0, FAILED: 0} for name in classes}
        self.open = 0  # taken and not ended
        self.relayed = 0  # claims written whole
