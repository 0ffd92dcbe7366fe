"""Sinks on the operating system: descriptors, files and datagrams.  They may block; a worker calls them."""

from __future__ import annotations

import os
import select
import socket
import stat
from collections.abc import Iterable, Iterator

from brambleusher.runtime.system import Address, Item

PIPE_BUF = select.PIPE_BUF  # a pipe takes so much in one piece: a line is not split by another writer's
MAX_DATAGRAM = 1400  # fits an MTU of 1,500 with room for tunnels
PATIENCE_MS = 1000  # for a FIFO whose reader has fallen behind


def count_lines(items: Iterable[Item]) -> int:
    """How many lines the items have."""
    return sum(item.count(b"\n") for item in items)


def pieces(items: Iterable[Item], most: int) -> Iterator[bytes]:
    """Cut the items' lines into pieces of whole lines, of at most so many bytes unless one line has more."""
    piece = bytearray()
    for item in items:
        for line in (item,) if item.count(b"\n") == 1 else item.splitlines(keepends=True):
            if piece and len(piece) + len(line) > most:
                yield bytes(piece)
                piece.clear()
            piece += line
    if piece:
        yield bytes(piece)


class DescriptorSink:
    """An open descriptor, such as standard error; waits for as long as it must."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, items: list[Item]) -> int:
        """Write piece after piece; one that fails is lost."""
        lost = 0
        for piece in pieces(items, PIPE_BUF):
            try:
                _write_all(self._fd, piece, None)
            except OSError:
                lost += piece.count(b"\n")
        return lost

    def close(self) -> None:
        """Do nothing: the descriptor is the process's, not ours."""


class FileSink:
    """A file, opened anew for each write.

    An open descriptor would go on taking lines for a file that was removed or became unwritable.
    """

    def __init__(self, path: str) -> None:
        self._path = path

    def write(self, items: list[Item]) -> int:
        """Append; what does not fit, or finds no file to go to, is lost."""
        # Guards against opening a FIFO that nobody reads, which would wait for a reader.
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK | os.O_CLOEXEC
        try:
            fd = os.open(self._path, flags, 0o644)
        except OSError:
            return count_lines(items)
        lost = 0
        try:
            for piece in pieces(items, PIPE_BUF):
                try:
                    append_whole(fd, piece)
                except OSError:
                    lost += piece.count(b"\n")
        finally:
            os.close(fd)
        return lost

    def close(self) -> None:
        """Nothing is held between writes."""


class UdpSink:
    """Datagrams of whole lines to one collector."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket: socket.socket | None = None

    def write(self, items: list[Item]) -> int:
        """Send; a datagram that is refused is lost, and the next one finds a new socket."""
        lost = 0
        for piece in pieces(items, MAX_DATAGRAM):
            try:
                if len(piece) > MAX_DATAGRAM:
                    raise OSError("the line is too long for a datagram")
                self._connected().send(piece)
            except OSError:
                lost += piece.count(b"\n")
                self.close()
        return lost

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
                raise TimeoutError("the reader has fallen behind") from None


def append_whole(fd: int, data: bytes) -> None:
    """Append all of the data to a file, or nothing of it where the disk is full; raises `OSError`."""
    before = os.fstat(fd)
    try:
        _write_all(fd, data, PATIENCE_MS)
    except OSError:
        # Guards against half a line with the next one stuck to it.
        part = os.fstat(fd).st_size - before.st_size
        if stat.S_ISREG(before.st_mode) and 0 < part < len(data):
            os.ftruncate(fd, before.st_size)
        raise
