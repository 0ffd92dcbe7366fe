"""Interrupts any wait of a task when the peer that the task serves disconnects."""

from __future__ import annotations

from types import TracebackType

from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Scheduler


class PeerDisconnectedError(Exception):
    """Raised when the peer that a task serves has closed its connection.

    This is not an `OSError`, so that error handlers for the task's other connections do not catch it.
    """


class DisconnectWatch:
    """Raises `PeerDisconnectedError` in any wait of the task that created it once the peer disconnects.

    While the watch is active, the task must not receive from the peer's connection, but it may send.
    """

    __slots__ = ("_fd", "_presence", "_scheduler", "_task")

    def __init__(self, scheduler: Scheduler, presence: PeerPresence) -> None:
        self._scheduler, self._presence = scheduler, presence
        self._task = scheduler.current_task
        self._fd = -1

    def __enter__(self) -> DisconnectWatch:
        self.resume()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.suspend()

    def resume(self) -> None:
        """Start watching, or continue after `suspend`."""
        if self._fd >= 0:
            return
        sock = self._presence.socket()
        fd = -1 if sock is None else sock.fileno()
        if fd >= 0:
            self._fd = fd
            self._scheduler.watch_readable(fd, self._on_readable)

    def suspend(self) -> None:
        """Stop watching during work that must complete even if the peer disconnects."""
        if self._fd >= 0:
            self._scheduler.unwatch_readable(self._fd)
            self._fd = -1

    def raise_if_left(self) -> None:
        """Check the connection now, before starting work that the peer may no longer need.

        Raises:
            PeerDisconnectedError: The peer has disconnected.
        """
        if self._presence.check_left():
            raise PeerDisconnectedError

    def _on_readable(self) -> None:
        if self._presence.check_left():
            self._scheduler.wake(self._task, PeerDisconnectedError())
        elif self._presence.socket() is None:
            self.suspend()
