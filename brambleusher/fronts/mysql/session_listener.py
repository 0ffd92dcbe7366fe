"""Accepts MySQL connections and starts a session for each, up to a limit."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable

from brambleusher.fronts.mysql.channel import Channel
from brambleusher.fronts.mysql.client import Client
from brambleusher.fronts.mysql.constants import Errno
from brambleusher.fronts.mysql.messages import Err
from brambleusher.fronts.mysql.packets import frame
from brambleusher.runtime.listening import (
    ACCEPT_RETRY_S,
    AcceptedConnection,
    OutOfDescriptorsError,
    accept_connection,
    local_address,
)
from brambleusher.runtime.scheduler import Scheduler, Task
from brambleusher.runtime.system import Address, Socket

log = logging.getLogger(__name__)

BACKLOG = 512
MAX_THREAD = 0xFFFFFFFF  # MySQL thread ids have four bytes on the wire


class SessionListener:
    """Accepts connections, and owns the clients that are connected."""

    def __init__(
        self,
        scheduler: Scheduler,
        serve: Callable[[Client], None],
        max_sessions: int,
        max_packet_bytes: int,
    ) -> None:
        """Create a listener; `serve` runs as the task of each client and must call `forget` at its end."""
        self._scheduler, self._serve = scheduler, serve
        self._max_sessions, self._max_packet_bytes = max_sessions, max_packet_bytes
        self.clients: dict[int, Client] = {}  # connected clients by thread id
        self._last_thread = 0
        self._listener: Socket | None = None
        self._task: Task | None = None

    def listen(self, address: Address) -> Address:
        """Bind the address, start to accept connections, and return the bound address."""
        listener = self._listener = self._scheduler.system.listen(address, BACKLOG)
        self._task = self._scheduler.spawn(self._accept_all, listener, name="mysql accept")
        return local_address(listener)

    def close(self) -> None:
        """Stop accepting connections; connected clients stay."""
        if self._task is not None:
            self._task.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def forget(self, client: Client) -> None:
        """Remove a client whose session has ended."""
        self.clients.pop(client.thread, None)

    def _accept_all(self, listener: Socket) -> None:
        while True:
            try:
                accepted = accept_connection(self._scheduler, listener)
            except OutOfDescriptorsError as error:
                log.warning("no descriptor to accept with", extra={"fields": {"error": error.strerror}})
                self._scheduler.sleep(ACCEPT_RETRY_S)
                continue
            if accepted is None:
                self._scheduler.park(sock=listener)
            else:
                self._admit(accepted)

    def _admit(self, accepted: AcceptedConnection) -> None:
        channel = Channel(accepted.stream)
        client = Client(channel, accepted.peer, self._next_thread(), self._max_packet_bytes)
        if len(self.clients) >= self._max_sessions:
            _reject(client)
            return
        self.clients[client.thread] = client
        client.task = self._scheduler.spawn(self._serve, client, name="mysql session")

    def _next_thread(self) -> int:
        """Return a thread id that no connected client has."""
        self._last_thread = self._last_thread % MAX_THREAD + 1
        while self._last_thread in self.clients:
            self._last_thread = self._last_thread % MAX_THREAD + 1
        return self._last_thread


def _reject(client: Client) -> None:
    """Send an error instead of a greeting to a client beyond the limit, without waiting for the socket."""
    error = Err.of(Errno.CON_COUNT, "Too many connections")
    with contextlib.suppress(OSError):
        client.channel.stream.sock.send(frame(error.encode(), 0))
    client.channel.close()
