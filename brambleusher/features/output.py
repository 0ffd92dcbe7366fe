"""The one way out for figures, captures and, beside them, the log: lines, written by a small thread.

Pipes, disks and FIFOs block, whatever they are asked, and requests must not wait for them.  So the
serving thread only appends to a lane, which is bounded, and a daemon thread writes.  That thread
touches no greenlet and nothing of the scheduler's.
"""

from __future__ import annotations

import logging
import os
import select
import socket
import stat
import threading
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Protocol

log = logging.getLogger(__name__)

PIPE_BUF = select.PIPE_BUF  # a pipe takes so much in one piece: a line is not split by another writer's
MAX_DATAGRAM = 1400  # fits an MTU of 1,500 with room for tunnels
TAKEN_AT_ONCE = 16 * 1024
PATIENCE_MS = 1000  # for a FIFO whose reader has fallen behind
EXIT_SECONDS = 1.0
ITEM_BYTES = 41  # what Python holds for a line beside its text

# Whole lines, each with its line end; one item may hold several.
Item = bytes


class Sink(Protocol):
    """Where lines end up; called by the writer's thread alone."""

    def write(self, items: list[Item]) -> int:
        """Write what can be written; says how many lines were lost."""

    def close(self) -> None:
        """Let go of what it holds."""


def count_lines(items: Iterable[Item]) -> int:
    """How many lines the items have."""
    return sum(item.count(b"\n") for item in items)


def pieces(items: Iterable[Item], most: int) -> Iterator[bytes]:
    """The items' lines in pieces of whole lines, of at most so many bytes unless one line has more."""
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
        """The descriptor is the process's, not ours."""


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

    def __init__(self, address: tuple[str, int]) -> None:
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


class Lane:
    """Lines on their way to a writer; the oldest are dropped once they outgrow `limit` bytes."""

    def __init__(self, lock: threading.Lock, wake: threading.Condition, limit: int) -> None:
        self._lock, self._wake, self._limit = lock, wake, limit  # `wake` is a condition on `lock`
        self._items: deque[Item] = deque()
        self._size = self._taken = self._lost = 0
        self.due = False  # the writer may take

    def put(self, items: Iterable[Item]) -> None:
        """Append, and wake the writer."""
        with self._lock:
            for item in items:
                self._items.append(item)
                self._size += len(item) + ITEM_BYTES
            self._trim()
            self._call()

    def hold(self, item: Item) -> None:
        """Append; the writer is woken at the next flush, or once the lane is half full."""
        with self._lock:
            self._items.append(item)
            self._size += len(item) + ITEM_BYTES
            self._trim()
            if self._size * 2 > self._limit:
                self._call()

    def _trim(self) -> None:
        while self._size + self._taken > self._limit and self._items:
            dropped = self._items.popleft()
            self._size -= len(dropped) + ITEM_BYTES
            self._lost += dropped.count(b"\n")

    def _call(self) -> None:
        if self._items and not self.due:
            self.due = True
            self._wake.notify()

    def flush(self) -> None:
        """Have the writer take what there is."""
        self.put(())

    def lost(self) -> int:
        """How many lines were lost since this was asked last."""
        with self._lock:
            lost, self._lost = self._lost, 0
        return lost

    @property
    def idle(self) -> bool:
        """Whether nothing waits and nothing is being written."""
        with self._lock:
            return not self._items and not self._taken

    def take(self) -> list[Item]:
        """For the writer, which holds the lock: the oldest lines; they count until `written`."""
        items: list[Item] = []
        while self._items and (not items or self._taken < TAKEN_AT_ONCE):
            item = self._items.popleft()
            items.append(item)
            self._taken += len(item) + ITEM_BYTES
        self._size -= self._taken
        self.due = bool(self._items)
        return items

    def written(self, lost: int) -> None:
        """For the writer, which holds the lock: what was taken has been written, but for so many lines."""
        self._taken, self._lost = 0, self._lost + lost


class Output:
    """A sink, the thread that writes to it, and the lanes that lead there."""

    def __init__(self, sink: Sink, name: str) -> None:
        self._sink, self._lock = sink, threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._lanes: list[Lane] = []
        self._closing = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def lane(self, limit: int) -> Lane:
        """One more lane, for the serving thread."""
        lane = Lane(self._lock, self._wake, limit)
        with self._lock:
            self._lanes.append(lane)
        return lane

    def close(self, seconds: float = EXIT_SECONDS) -> None:
        """Write what waits; a reader that has fallen behind is not waited for any longer than that."""
        with self._wake:
            self._closing = True
            for lane in self._lanes:
                lane.due = True
            self._wake.notify()
        self._thread.join(seconds)

    def _run(self) -> None:
        while True:
            with self._wake:
                while not (due := [lane for lane in self._lanes if lane.due]):
                    if self._closing:
                        self._sink.close()
                        return
                    self._wake.wait()
                taken = [(lane, lane.take()) for lane in due]
            for lane, items in taken:
                try:
                    lost = self._sink.write(items) if items else 0
                except Exception:
                    # Guards against one fault ending the thread, and with it all that goes this way.
                    log.exception("output failed", extra={"fields": {"output": self._thread.name}})
                    lost = count_lines(items)
                with self._wake:
                    lane.written(lost)


class LaneStream:
    """A stream for the log handler, so that a log line never waits for standard error either."""

    def __init__(self, lane: Lane) -> None:
        self._lane = lane

    def write(self, text: str) -> int:
        """One log line, with its line end."""
        self._lane.put((text.encode("utf-8", "backslashreplace"),))
        return len(text)

    def flush(self) -> None:
        """Each line is on its way already."""
