"""Functions shared by all listeners: finding the bound address and accepting a connection."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import RESOURCE_EXHAUSTION_ERRNOS, Address, Socket

ACCEPT_RETRY_S = 0.05  # seconds between retries while no descriptor is free, to avoid a busy loop


class OutOfDescriptorsError(OSError):
    """Raised when the process or the machine lacks descriptors or memory for another connection."""


@dataclass(frozen=True, slots=True)
class AcceptedConnection:
    """A connection that was just accepted."""

    stream: Stream
    peer: str  # host of the remote end


def local_address(listener: Socket) -> Address:
    """Return the address that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return str(host), int(port)


def accept_connection(scheduler: Scheduler, listener: Socket) -> AcceptedConnection | None:
    """Accept the next connection from the backlog, or return None if the backlog is empty.

    Connections that were lost before they could be accepted are skipped.

    Raises:
        OutOfDescriptorsError: No descriptor is free; the connection stays in the backlog.
    """
    while True:
        try:
            sock, peer = scheduler.system.accept(listener)
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                raise OutOfDescriptorsError(error.errno, error.strerror) from error
            continue
        return AcceptedConnection(Stream(scheduler, sock), peer)
