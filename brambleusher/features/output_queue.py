"""The one way out for figures, captures and, beside them, the log: lines, written beside the serving thread.

Pipes, disks and FIFOs block, whatever they are asked, and requests must not wait for them.  So the
serving thread only appends to a lane, which is bounded, and a worker writes.  The worker touches no
greenlet and nothing of the scheduler's.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterable

from brambleusher.runtime.sinks import count_lines
from brambleusher.runtime.system import Item, Sink, System, Worker

log = logging.getLogger(__name__)

TAKEN_AT_ONCE = 16 * 1024
EXIT_SECONDS = 1.0
ITEM_BYTES = 41  # what Python holds for a line beside its text


class OutputQueue:
    """Lines on their way to a writer; the oldest are dropped once they outgrow `limit` bytes."""

    def __init__(self, worker: Worker, limit: int) -> None:
        self._lock, self._worker, self._limit = worker.lock, worker, limit
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
            self._worker.wake()

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


class OutputWriter:
    """A sink, the worker that writes to it, and the lanes that lead there."""

    def __init__(self, sink: Sink, name: str, system: System) -> None:
        self._sink, self._name = sink, name
        self._lanes: list[OutputQueue] = []
        self._closing = self._closed = False
        self._worker = system.worker(name, self._due, self._write)

    def lane(self, limit: int) -> OutputQueue:
        """One more lane, for the serving thread."""
        lane = OutputQueue(self._worker, limit)
        with self._worker.lock:
            self._lanes.append(lane)
        return lane

    def close(self, seconds: float = EXIT_SECONDS) -> None:
        """Write what waits; a reader that has fallen behind is not waited for any longer than that."""
        with self._worker.lock:
            for lane in self._lanes:
                lane.due = True
            self._closing = True
            self._worker.wake()
        self._worker.end(seconds)

    def _due(self) -> bool:
        return any(lane.due for lane in self._lanes) or (self._closing and not self._closed)

    def _write(self) -> None:
        """One turn of the worker: what is due is taken and written."""
        with self._worker.lock:
            taken = [(lane, lane.take()) for lane in self._lanes if lane.due]
            last = self._closing and not any(lane.due for lane in self._lanes)
        for lane, items in taken:
            try:
                lost = self._sink.write(items) if items else 0
            except Exception:
                # Guards against one fault ending the worker, and with it all that goes this way.
                log.exception("output failed", extra={"fields": {"output": self._name}})
                lost = count_lines(items)
            with self._worker.lock:
                lane.written(lost)
        if last and not self._closed:
            self._closed = True
            self._sink.close()


class OutputQueueStream:
    """A stream for the log handler, so that a log line never waits for standard error either."""

    def __init__(self, lane: OutputQueue) -> None:
        self._lane = lane

    def write(self, text: str) -> int:
        """One log line, with its line end."""
        self._lane.put((text.encode("utf-8", "backslashreplace"),))
        return len(text)

    def flush(self) -> None:
        """Each line is on its way already."""
