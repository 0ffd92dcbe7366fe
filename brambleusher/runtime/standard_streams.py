"""Standard output and error that never block the process.

A pipe whose reader has stopped would otherwise hold up a process for ever in its next log line. What the
reader does not take is dropped and counted.
"""

from __future__ import annotations

import io
import os
import select
import socket
import stat
import sys
from collections.abc import Callable
from functools import partial

STDOUT_FD, STDERR_FD = 1, 2

Write = Callable[[bytes], int]


class NonBlockingStream(io.TextIOBase):
    """A text stream to a descriptor that drops what can't be written at once.

    Attributes:
        dropped_count: How many writes were dropped, in whole or in part.
    """

    def __init__(self, fd: int) -> None:
        """Write to an open descriptor; if it is closed, everything is dropped."""
        self._write = _open(fd)
        self.dropped_count = 0
        self._is_line_cut = False  # whether the last line that was written lacks its end

    def writable(self) -> bool:
        """Return true."""
        return True

    def write(self, text: str, /) -> int:
        """Write complete lines, or drop them; return the number of characters taken."""
        data = text.encode("utf-8", "backslashreplace")
        if self._is_line_cut:
            data = b"\n" + data
        try:
            written = self._write(data)
        except OSError:
            written = 0
        if written:
            self._is_line_cut = written < len(data)
        if written < len(data):
            self.dropped_count += 1
        return len(text)


def use_non_blocking_output() -> None:
    """Replace standard output and error of this process; for the main program of a process that serves."""
    sys.stdout = NonBlockingStream(STDOUT_FD)
    sys.stderr = NonBlockingStream(STDERR_FD)


def _open(fd: int) -> Write:
    """Return a function that writes to a descriptor, or raises `BlockingIOError` where it would block.

    The descriptor itself is not made non-blocking, since other processes may share its open file.
    """
    try:
        mode = os.fstat(fd).st_mode
    except OSError:
        return _write_nowhere
    if stat.S_ISSOCK(mode):
        sock = socket.socket(fileno=os.dup(fd))
        return lambda data: sock.send(data, socket.MSG_DONTWAIT)
    if stat.S_ISREG(mode):
        return partial(os.write, fd)
    try:
        own_fd = os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC)
    except OSError:
        return partial(_write_if_ready, fd)
    return partial(os.write, own_fd)


def _write_nowhere(_data: bytes) -> int:
    return 0


def _write_if_ready(fd: int, data: bytes) -> int:
    """Write if the descriptor takes bytes now; raise `BlockingIOError` otherwise.

    A pipe that is ready takes `PIPE_BUF` bytes without blocking, unless another process fills it meanwhile.
    """
    poller = select.poll()
    poller.register(fd, select.POLLOUT)
    if not poller.poll(0):
        raise BlockingIOError
    return os.write(fd, data[: select.PIPE_BUF])
