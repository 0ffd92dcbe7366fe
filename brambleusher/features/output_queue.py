"""Queues for output lines (metrics, captures and the log) that a worker thread writes.

Pipes, disks and FIFOs can block even in non-blocking mode, and requests must not wait for them.  The
serving thread therefore only appends to a bounded queue, and a worker thread writes.  The worker uses no
greenlets and no state of the scheduler.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterable

from brambleusher.runtime.sinks import count_lines
from brambleusher.runtime.system import Item, Sink, System, Worker

log = logging.getLogger(__name__)

MAX_BATCH_BYTES = 16 * 1024
CLOSE_TIMEOUT_S = 1.0
ITEM_BYTES = 41  # memory that Python needs for a line in addition to its text, in bytes


class OutputQueue:
    """A queue of lines for a writer; it drops the oldest lines when it exceeds `limit` bytes."""

    def __init__(self, worker: Worker, limit: int) -> None:
        self._lock, self._worker, self._limit = worker.lock, worker, limit
        self._items: deque[Item] = deque()
        self._size = self._taken = self._dropped_lines = 0
        self.is_flush_due = False  # whether the writer should take lines from this queue

    def put(self, items: Iterable[Item]) -> None:
        """Append items, and wake the writer."""
        with self._lock:
            for item in items:
                self._items.append(item)
                self._size += len(item) + ITEM_BYTES
            self._trim()
            self._wake_writer()

    def put_without_wake(self, item: Item) -> None:
        """Append an item without waking the writer until the next flush or until the queue is half full."""
        with self._lock:
            self._items.append(item)
            self._size += len(item) + ITEM_BYTES
            self._trim()
            if self._size * 2 > self._limit:
                self._wake_writer()

    def _trim(self) -> None:
        while self._size + self._taken > self._limit and self._items:
            dropped = self._items.popleft()
            self._size -= len(dropped) + ITEM_BYTES
            self._dropped_lines += dropped.count(b"\n")

    def _wake_writer(self) -> None:
        if self._items and not self.is_flush_due:
            self.is_flush_due = True
            self._worker.wake()

    def flush(self) -> None:
        """Wake the writer to write all queued lines."""
        self.put(())

    def take_lost_count(self) -> int:
        """Return how many lines were lost since the last call."""
        with self._lock:
            dropped_lines, self._dropped_lines = self._dropped_lines, 0
        return dropped_lines

    @property
    def is_drained(self) -> bool:
        """Whether no line is queued and none is being written."""
        with self._lock:
            return not self._items and not self._taken

    def take_batch(self) -> list[Item]:
        """Remove and return the oldest lines; the caller must be the writer and hold the lock.

        The lines count towards the queue's limit until the writer calls `finish_batch`.
        """
        items: list[Item] = []
        while self._items and (not items or self._taken < MAX_BATCH_BYTES):
            item = self._items.popleft()
            items.append(item)
            self._taken += len(item) + ITEM_BYTES
        self._size -= self._taken
        self.is_flush_due = bool(self._items)
        return items

    def finish_batch(self, dropped_lines: int) -> None:
        """Record that the taken lines were written, except `dropped_lines` of them.

        The caller must be the writer and hold the lock.
        """
        self._taken, self._dropped_lines = 0, self._dropped_lines + dropped_lines


class OutputWriter:
    """Writes the lines of one or more queues to a sink, in a worker thread."""

    def __init__(self, sink: Sink, name: str, system: System) -> None:
        self._sink, self._name = sink, name
        self._queues: list[OutputQueue] = []
        self._closing = self._closed = False
        self._worker = system.worker(name, self._has_work, self._write)

    def add_queue(self, limit: int) -> OutputQueue:
        """Add a queue of at most `limit` bytes for the serving thread, and return it."""
        queue = OutputQueue(self._worker, limit)
        with self._worker.lock:
            self._queues.append(queue)
        return queue

    def close(self, seconds: float = CLOSE_TIMEOUT_S) -> None:
        """Write the queued lines and close the sink, but wait at most `seconds` for a slow reader."""
        with self._worker.lock:
            for queue in self._queues:
                queue.is_flush_due = True
            self._closing = True
            self._worker.wake()
        self._worker.end(seconds)

    def _has_work(self) -> bool:
        return any(queue.is_flush_due for queue in self._queues) or (self._closing and not self._closed)

    def _write(self) -> None:
        """Take one batch of lines from each queue that is due, and write the batches to the sink."""
        with self._worker.lock:
            batches = [(queue, queue.take_batch()) for queue in self._queues if queue.is_flush_due]
            is_last = self._closing and not any(queue.is_flush_due for queue in self._queues)
        for queue, items in batches:
            try:
                dropped_lines = self._sink.write(items) if items else 0
            except Exception:
                # One fault must not end the worker, because no more lines would be written to this sink.
                log.exception("output failed", extra={"fields": {"output": self._name}})
                dropped_lines = count_lines(items)
            with self._worker.lock:
                queue.finish_batch(dropped_lines)
        if is_last and not self._closed:
            self._closed = True
            self._sink.close()


class OutputQueueStream:
    """A stream for the log handler that puts lines into a queue, so that logging never blocks."""

    def __init__(self, queue: OutputQueue) -> None:
        self._queue = queue

    def write(self, text: str) -> int:
        """Queue one log line, which must include its line end."""
        self._queue.put((text.encode("utf-8", "backslashreplace"),))
        return len(text)

    def flush(self) -> None:
        """Do nothing, since `write` wakes the writer for each line."""
