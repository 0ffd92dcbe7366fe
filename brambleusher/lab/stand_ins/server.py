"""Common base of the stand-in servers: a listener, a task for each connection, and shutdown."""

from __future__ import annotations

import logging
from collections.abc import Generator
from contextlib import contextmanager
from typing import TypeVar

from brambleusher.net.http import HttpError
from brambleusher.runtime.scheduler import Event, Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address, Socket

log = logging.getLogger(__name__)

BACKLOG = 512
NO_DESCRIPTOR_SECONDS = 0.05

FaultT = TypeVar("FaultT")


class Connection:
    """An accepted connection; `event` wakes the task that serves it."""

    __slots__ = ("event", "number", "peer", "stream", "task")

    def __init__(self, stream: Stream, peer: str, number: int) -> None:
        self.stream, self.peer, self.number = stream, peer, number
        self.event = Event()
        self.task: Task | None = None


class Server:
    """Accepts connections, and calls `serve` for each connection in a separate task."""

    def __init__(self, scheduler: Scheduler, name: str) -> None:
        self.scheduler, self.name = scheduler, name
        self.connections: dict[int, Connection] = {}  # open connections by number, in order of arrival
        self.accepted = 0
        self.address: Address | None = None
        self._listener: Socket | None = None
        self._accepting: Task | None = None

    def listen(self, address: Address) -> Address:
        """Bind, start accepting connections, and return the bound address."""
        self._listener = self.scheduler.system.listen(address, BACKLOG)
        self._accepting = self.scheduler.spawn(self._accept, self._listener, name=f"{self.name} accept")
        host, port = self._listener.getsockname()[:2]
        self.address = str(host), int(port)
        return self.address

    @property
    def listening(self) -> bool:
        """Whether the server accepts new connections."""
        return self._listener is not None

    def unlisten(self) -> None:
        """Refuse new connections."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
        self._accepting = self._listener = None

    def drop(self, reset: bool) -> None:
        """End all connections, by a reset or by an orderly close."""
        for connection in list(self.connections.values()):
            if connection.task is not None:
                connection.task.cancel()
            if reset:
                self.reset(connection)
            else:
                connection.stream.close()

    def close(self, reset: bool = True) -> None:
        """Close the listener and all connections, as the exit of the process would."""
        self.unlisten()
        self.drop(reset)

    def reset(self, connection: Connection) -> None:
        """Reset a connection."""
        stream = connection.stream
        if stream.open:
            stream.open = False
            self.scheduler.system.reset(stream.sock)

    def serve(self, connection: Connection) -> None:
        """Serve a connection until it ends; the caller closes the connection afterwards."""
        raise NotImplementedError

    def _accept(self, listener: Socket) -> None:
        scheduler = self.scheduler
        while True:
            try:
                sock, peer = scheduler.system.accept(listener)
            except BlockingIOError:
                scheduler.park(sock=listener)
                continue
            except OSError:
                # Prevents a busy loop while no file descriptor is free.
                scheduler.sleep(NO_DESCRIPTOR_SECONDS)
                continue
            self.accepted += 1
            connection = Connection(Stream(scheduler, sock), peer, self.accepted)
            self.connections[connection.number] = connection
            connection.task = scheduler.spawn(self._run, connection, name=self.name)

    def _run(self, connection: Connection) -> None:
        try:
            self.serve(connection)
        except (OSError, TaskTimeoutError):
            return
        except HttpError as error:
            log.debug("unreadable", extra={"fields": {"server": self.name, "reason": error}})
        finally:
            self.connections.pop(connection.number, None)
            connection.stream.close()


class ActiveFaults:
    """The active faults of a server, oldest first; each fault is an object looked up by its class."""

    def __init__(self) -> None:
        self._on: list[object] = []

    def begin(self, fault: object) -> None:
        """Activate a fault."""
        self._on.append(fault)

    def end(self, fault: object) -> None:
        """Deactivate a fault; has no effect for an inactive one."""
        self._on = [each for each in self._on if each is not fault]

    def all(self, kind: type[FaultT]) -> list[FaultT]:
        """Return all active faults of a class."""
        return [each for each in self._on if isinstance(each, kind)] if self._on else []

    def last(self, kind: type[FaultT]) -> FaultT | None:
        """Return the most recently activated fault of a class, or None."""
        found = self.all(kind)
        return found[-1] if found else None

    @contextmanager
    def during(self, fault: object) -> Generator[None, None, None]:
        """Keep a fault active within a block."""
        self.begin(fault)
        try:
            yield
        finally:
            self.end(fault)
