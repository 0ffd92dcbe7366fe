"""A non-blocking TCP connection for tasks: connect, receive and send with deadlines."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable

from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError, Wakeup
from brambleusher.runtime.system import PEEK, READ, SHUTDOWN_WRITE, WRITE, Address, Socket

RECEIVE_BYTES = 64 * 1024
MAX_PORT = 65535
LINGER_SECONDS, LINGER_BYTES = 0.5, 1024 * 1024


_EVENT = Wakeup.EVENT


class WaitInterruptedError(Exception):
    """Raised when a wait is interrupted because its event was set."""


def parse_address(text: str) -> Address:
    """Parse `host:port` into a pair; raise `ValueError` for any other form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


class Stream:
    """A TCP connection on which at most one task waits at a time."""

    __slots__ = ("finished", "open", "scheduler", "sock", "used_at")

    def __init__(self, scheduler: Scheduler, sock: Socket) -> None:
        self.scheduler, self.sock = scheduler, sock
        self.open = True
        self.finished = False  # whether `finish` has shut down the sending side
        self.used_at = scheduler.now()

    @classmethod
    def connect(
        cls,
        scheduler: Scheduler,
        address: Address,
        deadline: float,
        event: Event | None = None,
        prepare: Callable[[Socket], None] | None = None,
    ) -> Stream:
        """Open a connection to `address`; `prepare` is called with the socket before it connects.

        Raises:
            OSError: The connection could not be opened.
            TaskTimeoutError: The deadline has passed.
            WaitInterruptedError: The event was set first.
        """
        sock = scheduler.system.connection()
        stream = cls(scheduler, sock)
        try:
            if prepare is not None:
                prepare(sock)
            code = sock.connect_ex(address)
            if code == errno.EINPROGRESS:
                if scheduler.park(deadline, sock, WRITE, event) is _EVENT:
                    raise WaitInterruptedError
                code = scheduler.system.error_of(sock)
            if code:
                raise OSError(code, os.strerror(code))
        except BaseException:
            stream.close()
            raise
        return stream

    def receive(
        self, deadline: float | None, event: Event | None = None, size: int = RECEIVE_BYTES
    ) -> bytes | None:
        """Wait for at most `size` bytes; return empty bytes at the end, None if the event was set first.

        Raises:
            OSError: The connection failed.
            TaskTimeoutError: The deadline has passed.
        """
        self.scheduler.checkpoint(deadline)
        while True:
            try:
                return self.sock.recv(size)
            except BlockingIOError:
                self._check_deadline(deadline)
                if self.scheduler.park(deadline, self.sock, READ, event) is _EVENT:
                    return None

    def _check_deadline(self, deadline: float | None) -> None:
        """Raise `TaskTimeoutError` after the deadline.

        A park with a deadline in the past returns for bytes that arrive at once, so that a peer that always
        sends some would never be timed out.
        """
        if deadline is not None and self.scheduler.now() >= deadline:
            raise TaskTimeoutError

    def send(self, data: bytes, deadline: float | None) -> None:
        """Send all of `data`; return once the last byte was passed to the operating system."""
        view = memoryview(data)
        while view:
            self.scheduler.checkpoint(deadline)
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self.scheduler.park(deadline, self.sock, WRITE)

    def peek(self) -> bytes | None:
        """Return the first unread byte without consuming it; empty at the end, None if nothing arrived."""
        try:
            return self.sock.recv(1, PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def is_idle(self) -> bool:
        """Return whether the connection is open with no unread data and no pending end of stream."""
        return self.peek() is None

    def finish(self, seconds: float = LINGER_SECONDS, most: int = LINGER_BYTES) -> None:
        """Shut down the sending side and discard incoming bytes, within limits of time and size.

        Closing a socket with unread bytes sends a TCP reset, which can discard the response before the peer
        has read it.
        """
        self.finished = True
        self.sock.shutdown(SHUTDOWN_WRITE)
        deadline, left = self.scheduler.now() + seconds, most
        try:
            while left > 0 and (data := self.receive(deadline)):
                left -= len(data)
        except TaskTimeoutError:
            return

    def close(self) -> None:
        """Close the connection; closing it again has no effect."""
        if self.open:
            self.open = False
            self.sock.close()
