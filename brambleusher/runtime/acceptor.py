"""Takes connections on one address and gives each a task, within a bound on how many are open."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brambleusher.runtime.scheduler import Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import READ, RESOURCE_EXHAUSTION_ERRNOS, Address

log = logging.getLogger(__name__)

BACKLOG = 512
SHORT_PAUSE_S = 0.05  # out of descriptors: connections end in the meantime


class Acceptor:
    """A listening socket and the tasks that serve its connections."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        serve: Callable[[Stream, str], None],
        most: int = 1024,
    ) -> None:
        self._scheduler, self._serve, self._most = scheduler, serve, most
        self._listener = scheduler.system.listen(address, BACKLOG)
        self.open: dict[Stream, Task] = {}
        self._task = scheduler.spawn(self._accept, name="accept")
        self.closed = False

    def close(self) -> None:
        """Take no more connections; those that are open stay."""
        if not self.closed:
            self.closed = True
            self._task.cancel()
            self._listener.close()

    def _accept(self) -> None:
        while not self.closed:
            if len(self.open) >= self._most:
                self._scheduler.sleep(SHORT_PAUSE_S)
                continue
            try:
                sock, peer = self._scheduler.system.accept(self._listener)
            except BlockingIOError:
                self._scheduler.park(None, self._listener, READ)
                continue
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._scheduler.sleep(SHORT_PAUSE_S)
                continue
            stream = Stream(self._scheduler, sock)
            self.open[stream] = self._scheduler.spawn(self._run, stream, peer, name="connection")

    def _run(self, stream: Stream, peer: str) -> None:
        try:
            self._serve(stream, peer)
        except (OSError, TaskTimeoutError):
            return
        finally:
            stream.close()
            self.open.pop(stream, None)
