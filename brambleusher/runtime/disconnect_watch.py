"""Ends a task's wait, whatever it waits for, once the peer that it works for has disconnected."""

from __future__ import annotations

from types import TracebackType

from brambleusher.runtime.peer_presence import PeerPresence
from brambleusher.runtime.scheduler import Scheduler


class PeerDisconnectedError(Exception):
    """The peer that a task works for has closed its connection.

    Not an `OSError`: handlers of the connections that the task itself uses must not take it for theirs.
    """


class DisconnectWatch:
    """Raises `PeerDisconnectedError` in the task that made it, wherever that waits, once its peer has left.

    The task must not receive from the peer's connection meanwhile; it may send.
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
        """Watch, from the start or after `suspend`."""
        if self._fd >= 0:
            return
        sock = self._presence.socket()
        fd = -1 if sock is None else sock.fileno()
        if fd >= 0:
            self._fd = fd
            self._scheduler.watch_readable(fd, self._on_readable)

    def suspend(self) -> None:
        """Let the task go on without its peer, for work that must not be broken off."""
        if self._fd >= 0:
            self._scheduler.unwatch_readable(self._fd)
            self._fd = -1

    def raise_if_left(self) -> None:
        """Look at the connection now, before something is begun that nobody may want.

        Raises:
            PeerDisconnectedError: The peer has left.
        """
        if self._presence.check_left():
            raise PeerDisconnectedError

    def _on_readable(self) -> None:
        if self._presence.check_left():
            self._scheduler.wake(self._task, PeerDisconnectedError())
        elif self._presence.socket() is None:
            self.suspend()
