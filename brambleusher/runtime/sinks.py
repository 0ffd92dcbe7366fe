"""Sinks for descriptors, files and datagrams; they may block and are called by a worker."""

from __future__ import annotations

import os
import select
import socket
import stat
from collections.abc import Iterable, Iterator

from brambleusher.runtime.system import Address, Item

PIPE_BUF = select.PIPE_BUF  # bytes that a pipe writes atomically, so that lines of several writers do not mix
MAX_DATAGRAM = 1400  # bytes; fits an MTU of 1,500 with room for tunnel headers
PATIENCE_MS = 1000  # timeout in milliseconds for a FIFO with a slow reader


def count_lines(items: Iterable[Item]) -> int:
    """Return the number of lines in the items."""
    return sum(item.count(b"\n") for item in items)


def line_chunks(items: Iterable[Item], most: int) -> Iterator[bytes]:
    """Split the items into chunks of complete lines, each at most `most` bytes unless one line is longer."""
    chunk = bytearray()
    for item in items:
        for line in (item,) if item.count(b"\n") == 1 else item.splitlines(keepends=True):
            if chunk and len(chunk) + len(line) > most:
                yield bytes(chunk)
                chunk.clear()
            chunk += line
    if chunk:
        yield bytes(chunk)


class DescriptorSink:
    """Writes to an open descriptor such as standard error, waiting as long as necessary."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, items: list[Item]) -> int:
        """Write the lines chunk by chunk; a chunk that fails is lost."""
        lost_lines = 0
        for chunk in line_chunks(items, PIPE_BUF):
            try:
                _write_all(self._fd, chunk, None)
            except OSError:
                lost_lines += chunk.count(b"\n")
        return lost_lines

    def close(self) -> None:
        """Do nothing, as the descriptor is not owned by this sink."""


class FileSink:
    """Appends to a file that is reopened for each write.

    A descriptor that stays open would accept lines for a file that was removed or became unwritable.
    """

    def __init__(self, path: str) -> None:
        self._path = path

    def write(self, items: list[Item]) -> int:
        """Append lines; lines for which the disk has no space, or that have no file to go to, are lost."""
        # With `O_NONBLOCK`, opening a FIFO without a reader fails immediately instead of blocking.
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK | os.O_CLOEXEC
        try:
            fd = os.open(self._path, flags, 0o644)
        except OSError:
            return count_lines(items)
        lost_lines = 0
        try:
            for chunk in line_chunks(items, PIPE_BUF):
                try:
                    append_atomically(fd, chunk)
                except OSError:
                    lost_lines += chunk.count(b"\n")
        finally:
            os.close(fd)
        return lost_lines

    def close(self) -> None:
        """Do nothing, as no descriptor stays open between writes."""


class UdpSink:
    """Sends datagrams of complete lines to one collector."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket: socket.socket | None = None

    def write(self, items: list[Item]) -> int:
        """Send the lines; a rejected datagram is lost, and the next one uses a new socket."""
        lost_lines = 0
        for chunk in line_chunks(items, MAX_DATAGRAM):
            try:
                if len(chunk) > MAX_DATAGRAM:
                    raise OSError("the line is too long for a datagram")
                self._connected().send(chunk)
            except OSError:
                lost_lines += chunk.count(b"\n")
                self.close()
        return lost_lines

    def _connected(self) -> socket.socket:
        if self._socket is None:
            family, kind, number, _, address = socket.getaddrinfo(*self._address, type=socket.SOCK_DGRAM)[0]
            self._socket = socket.socket(family, kind, number)
            self._socket.setblocking(False)
            self._socket.connect(address)
        return self._socket

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _write_all(fd: int, data: bytes, patience_ms: int | None) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[os.write(fd, view) :]
        except BlockingIOError:
            waiter = select.poll()
            waiter.register(fd, select.POLLOUT)
            if not waiter.poll(patience_ms):
                raise TimeoutError("the reader is too slow") from None


def append_atomically(fd: int, data: bytes) -> None:
    """Append all of the data to a file, or nothing if the disk is full; raise `OSError` on failure."""
    before = os.fstat(fd)
    try:
        _write_all(fd, data, PATIENCE_MS)
    except OSError:
        # Remove a partial line, which would otherwise be joined to the next line.
        written_bytes = os.fstat(fd).st_size - before.st_size
        if stat.S_ISREG(before.st_mode) and 0 < written_bytes < len(data):
            os.ftruncate(fd, before.st_size)
        raise
