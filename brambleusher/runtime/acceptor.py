"""Accepts connections on one address and serves each in a task, up to a limit of open connections."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brambleusher.runtime.listening import ACCEPT_RETRY_S, OutOfDescriptorsError, accept_connection
from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

log = logging.getLogger(__name__)

BACKLOG = 512


class Acceptor:
    """A listening socket and the tasks that serve its connections."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        serve: Callable[[Stream, str], None],
        max_connections: int = 1024,
    ) -> None:
        self._scheduler, self._serve, self._max_connections = scheduler, serve, max_connections
        self._listener = scheduler.system.listen(address, BACKLOG)
        self.open: dict[Stream, Task] = {}
        self._queue_empty_at = scheduler.now()  # the latest time at which no connection was pending
        self._queued_after: dict[Stream, float] = {}
        self._task = scheduler.spawn(self._accept, name="accept")
        self.closed = False

    def close(self) -> None:
        """Stop accepting connections; open connections are not closed."""
        if not self.closed:
            self.closed = True
            self._task.cancel()
            self._listener.close()

    def queued_after(self, stream: Stream) -> float:
        """Return a time at which an open connection was not pending yet, close to when it became so."""
        return self._queued_after[stream]

    def _accept(self) -> None:
        while not self.closed:
            if len(self.open) >= self._max_connections:
                self._scheduler.sleep(ACCEPT_RETRY_S)
                continue
            try:
                accepted = accept_connection(self._scheduler, self._listener)
            except OutOfDescriptorsError:
                self._scheduler.sleep(ACCEPT_RETRY_S)
                continue
            if accepted is None:
                self._await_connection()
                continue
            stream, peer = accepted.stream, accepted.peer
            self._queued_after[stream] = self._queue_empty_at
            self.open[stream] = self._scheduler.spawn(self._run, stream, peer, name="connection")

    def _await_connection(self) -> None:
        self._queue_empty_at = self._scheduler.now()
        self._scheduler.park(sock=self._listener)
        self._queue_empty_at = max(self._queue_empty_at, self._scheduler.events_after)

    def _run(self, stream: Stream, peer: str) -> None:
        try:
            self._serve(stream, peer)
        except (OSError, TaskTimeoutError):
            return
        finally:
            stream.close()
            self.open.pop(stream, None)
            self._queued_after.pop(stream, None)
