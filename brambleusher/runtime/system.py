"""The interface between the program and the machine it runs on.

The scheduler, the streams and the features access clocks, sockets, signals, writer threads and standard
error only through a `System`. `runtime/operating_system.py` implements it for the operating system; tests and
the simulator use implementations for a simulated machine. The `Socket` protocol matches `socket.socket`, so
that a real socket is used directly without overhead.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Protocol

from greenlet import greenlet

READ, WRITE = 1, 4  # POLLIN and POLLOUT of poll(2)
POLL_FAILURE_EVENTS = 8 | 16 | 32  # POLLERR, POLLHUP and POLLNVAL, which are always reported
PEEK = 2  # MSG_PEEK of recv(2)
SHUTDOWN_WRITE = 1  # SHUT_WR of shutdown(2)
# Errors of accept(2) that concern the whole process; any other error means that the connection was lost.
RESOURCE_EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

Address = tuple[str, int]
Item = bytes  # one or more complete lines, each with its line ending


class Socket(Protocol):
    """A non-blocking TCP socket; an operation that would block raises `BlockingIOError`."""

    def fileno(self) -> int:
        """Return the file descriptor, or -1 if the socket is closed."""

    def connect_ex(self, address: Address, /) -> int:
        """Start connecting; return 0, `EINPROGRESS` or the error number."""

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive at most `size` bytes, empty at the end; with `PEEK`, the bytes stay unread."""

    def send(self, data: bytes | memoryview, /) -> int:
        """Send bytes and return how many were accepted."""

    def shutdown(self, how: int, /) -> None:
        """Shut down one direction of the connection; `how` is `SHUTDOWN_WRITE`."""

    def getsockname(self) -> Address:
        """Return the local address, which starts with host and port."""

    def close(self) -> None:
        """Close the socket; with unread bytes, the peer receives a TCP reset."""


class Poller(Protocol):
    """A set of descriptors to wait on, with the interface of `select.poll`."""

    def register(self, fd: int, events: int, /) -> object:
        """Watch a descriptor for `READ` or `WRITE`; errors are always reported."""

    def unregister(self, fd: int, /) -> None:
        """Stop watching a descriptor; raise `KeyError` if it is not watched."""

    def poll(self, pause_ms: int, /) -> list[tuple[int, int]]:
        """Wait at most `pause_ms` milliseconds for events, and return pairs of descriptor and events."""


class Waker(Protocol):
    """Ends a poll in progress; `wake` may be called in a signal handler."""

    def fileno(self) -> int:
        """Return the descriptor to watch for `READ`."""

    def wake(self) -> None:
        """Make the waker's descriptor readable."""

    def clear(self) -> None:
        """Reset the waker's descriptor to not readable."""

    def close(self) -> None:
        """Release the resources of this object."""


class Sink(Protocol):
    """A destination for lines; only its worker calls it, and it may block."""

    def write(self, items: list[Item]) -> int:
        """Write as many lines as possible and return how many lines were lost."""

    def close(self) -> None:
        """Release the resources of this object."""


class Worker(Protocol):
    """Calls `turn` outside the serving thread whenever `due` returns true."""

    @property
    def lock(self) -> AbstractContextManager[object]:
        """Return the lock for data shared with the worker; held during `due`, not during `turn`."""

    def wake(self) -> None:
        """Make the worker check `due`; the caller holds the lock."""

    def end(self, seconds: float) -> None:
        """Finish the due work and stop, waiting at most `seconds`; calling this again has no effect."""


class System(Protocol):
    """The clocks, sockets, signals and threads that a machine offers to a process."""

    def monotonic(self) -> float:
        """Return the seconds of a monotonic clock."""

    def monotonic_ns(self) -> int:
        """Return the time of the monotonic clock in nanoseconds."""

    def wall_ns(self) -> int:
        """Return the Unix time in nanoseconds; this clock may be set forward or back."""

    def sleep(self, seconds: float) -> None:
        """Block the whole process; allowed only before it serves requests."""

    def greenlet(self, run: Callable[..., object], parent: greenlet) -> greenlet:
        """Create a greenlet for a task; the greenlet ends with the process."""

    def poller(self) -> Poller:
        """Create an empty poll set of descriptors."""

    def waker(self) -> Waker:
        """Create a waker that ends a poll in progress."""

    def listen(self, address: Address, backlog: int) -> Socket:
        """Create a listening socket; raise `OSError` if the address can't be bound."""

    def adopt(self, fd: int) -> Socket:
        """Adopt an inherited listening socket; raise `OSError` if the descriptor is not one."""

    def accept(self, listener: Socket) -> tuple[Socket, str]:
        """Accept a pending connection and return it with its peer's host.

        Raise `BlockingIOError` if no connection is pending, and `OSError` if descriptors or memory are
        exhausted or the connection was lost before it was accepted.
        """

    def connection(self) -> Socket:
        """Create an unconnected socket; raise `OSError` if no descriptor is free."""

    def reset(self, sock: Socket) -> None:
        """Close a connection with a TCP reset."""

    def error_of(self, sock: Socket) -> int:
        """Return and clear the pending error of a socket; 0 means no error."""

    def seconds_since_data(self, sock: Socket) -> float:
        """Return the seconds since data last arrived on a connection, read or unread; 0 if unknown."""

    def seconds_to_open(self, sock: Socket) -> float:
        """Return the seconds that an accepted connection took to open, at least; 0 if unknown.

        They begin when the request of the peer to connect was answered, and end when the peer's first
        acknowledgement arrived. The result is meaningful until the first bytes are sent.
        """

    def set_unacknowledged_timeout(self, sock: Socket, seconds: float) -> None:
        """Make a connection fail when sent bytes or keep-alive probes stay unacknowledged for `seconds`.

        A peer that lost power or network sends nothing, and waits on its connection would never end.
        """

    def on_signal(self, number: int, callback: Callable[[], None]) -> None:
        """Call a function whenever a signal arrives."""

    def worker(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> Worker:
        """Start a worker with a name."""

    def descriptor_sink(self, fd: int) -> Sink:
        """Create a sink that writes to an open descriptor, such as standard error."""

    def file_sink(self, path: str) -> Sink:
        """Create a sink that reopens a file for each write."""

    def datagram_sink(self, address: Address) -> Sink:
        """Create a sink that sends datagrams of complete lines to one address."""
