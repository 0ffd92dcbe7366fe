"""The seam: all that the program gets from the machine it runs on.

The scheduler, the streams and the features reach clocks, sockets, signals, writer threads and standard
error through a `System` alone.  `runtime/operating_system.py` is the operating system's; another one may be a
machine in a virtual world.  Sockets are used as the operating system's are, so that a real one is the
very `socket.socket` and costs nothing more.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Protocol

from greenlet import greenlet

READ, WRITE = 1, 4  # poll(2)'s POLLIN and POLLOUT
POLL_FAILURE_EVENTS = 8 | 16 | 32  # POLLERR, POLLHUP and POLLNVAL, which come unasked
PEEK = 2  # recv(2)'s MSG_PEEK
SHUTDOWN_WRITE = 1  # shutdown(2)'s SHUT_WR
# Errors of accept that concern this process; others concern the connection, which is gone then.
RESOURCE_EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

Address = tuple[str, int]
Item = bytes  # whole lines, each with its line end; one item may hold several


class Socket(Protocol):
    """A TCP socket that never blocks; what would block raises `BlockingIOError`, faults `OSError`."""

    def fileno(self) -> int:
        """Its descriptor; -1 once it is closed."""

    def connect_ex(self, address: Address, /) -> int:
        """Begin to connect; 0, `EINPROGRESS` or what went wrong."""

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Up to so many bytes, empty at the end; with `PEEK` they stay."""

    def send(self, data: bytes | memoryview, /) -> int:
        """Hand over bytes; says how many were taken."""

    def shutdown(self, how: int, /) -> None:
        """`SHUTDOWN_WRITE`."""

    def getsockname(self) -> Address:
        """Return the address it is bound to: host and port first."""

    def close(self) -> None:
        """Close it; bytes unread make that a reset."""


class Poller(Protocol):
    """A set of descriptors to wait on, as `select.poll` has it."""

    def register(self, fd: int, events: int, /) -> object:
        """Watch a descriptor for `READ` or `WRITE`; faults are always told."""

    def unregister(self, fd: int, /) -> None:
        """Watch it no more; `KeyError` where it is not watched."""

    def poll(self, pause_ms: int, /) -> list[tuple[int, int]]:
        """Descriptors and their events, at once if there are any, else after so many ms at the latest."""


class Waker(Protocol):
    """Ends a poll in progress; `wake` may be called in a signal handler."""

    def fileno(self) -> int:
        """Return the descriptor to watch for `READ`."""

    def wake(self) -> None:
        """Make it readable."""

    def clear(self) -> None:
        """Make it unreadable again."""

    def close(self) -> None:
        """Let go of what it holds."""


class Sink(Protocol):
    """Where lines end up; called by its worker alone, and allowed to block."""

    def write(self, items: list[Item]) -> int:
        """Write what can be written; says how many lines were lost."""

    def close(self) -> None:
        """Let go of what it holds."""


class Worker(Protocol):
    """Calls `turn` beside the serving thread as long as `due` says so."""

    @property
    def lock(self) -> AbstractContextManager[object]:
        """Guards what both threads touch; `due` is called with it held, `turn` without."""

    def wake(self) -> None:
        """Something may be due; the lock is held."""

    def end(self, seconds: float) -> None:
        """Have what is due done and stop; waits no longer than that.  Calling it again does nothing."""


class System(Protocol):
    """One machine, as a process on it sees it."""

    def monotonic(self) -> float:
        """Seconds on a clock that only advances."""

    def monotonic_ns(self) -> int:
        """Read the same clock, in nanoseconds."""

    def wall_ns(self) -> int:
        """Unix time in nanoseconds; it may be set, forward or back."""

    def sleep(self, seconds: float) -> None:
        """Stand still, all of this process; only before it serves."""

    def greenlet(self, run: Callable[..., object], parent: greenlet) -> greenlet:
        """Make a greenlet for a task; it is over with the process."""

    def poller(self) -> Poller:
        """Make a new set of descriptors."""

    def waker(self) -> Waker:
        """Make a new waker."""

    def listen(self, address: Address, backlog: int) -> Socket:
        """Make a socket that listens; raises `OSError`."""

    def adopt(self, fd: int) -> Socket:
        """Take over a listening socket that this process was given; raises `OSError` where it is none."""

    def accept(self, listener: Socket) -> tuple[Socket, str]:
        """Accept a connection that waits; returns it and its peer's host.

        Raises `BlockingIOError` where none does, and `OSError`: out of descriptors or memory, or the
        connection was gone before it could be taken.
        """

    def connection(self) -> Socket:
        """Make a socket that is not connected yet; raises `OSError` where no descriptor is free."""

    def reset(self, sock: Socket) -> None:
        """Close a connection so that its other end sees a reset."""

    def error_of(self, sock: Socket) -> int:
        """Take the error that waits on a socket; 0 for none."""

    def seconds_since_data(self, sock: Socket) -> float:
        """Seconds since bytes last came on a connection, read or not; 0 where the machine does not tell."""

    def set_unacknowledged_timeout(self, sock: Socket, seconds: float) -> None:
        """Have a connection fail once sent bytes, or probes on an idle one, stay unacknowledged so long.

        Guards against a peer without power, or behind a cut: it says nothing, and waits would never end.
        """

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Have a signal handled."""

    def worker(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> Worker:
        """Start a worker."""

    def descriptor_sink(self, fd: int) -> Sink:
        """Make a sink of an open descriptor, such as standard error."""

    def file_sink(self, path: str) -> Sink:
        """Make a sink of a file that is opened anew for each write."""

    def datagram_sink(self, address: Address) -> Sink:
        """Datagrams of whole lines to one address."""
