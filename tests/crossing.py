"""Means to force two events to cross: hooks before calls of the sidecar's sockets, and its hub held still.

A hook runs in the sidecar's thread right before the call that it is named for, so what a test does in it has
happened when the call is made, and not a moment before.
"""

from __future__ import annotations

import errno
import os
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.system import Address, Socket
from tests.rig import WAIT, Rig

Hook = Callable[[], None]


class Hooks:
    """Calls to make before calls of sockets, each once; by the kind of socket and the method's name."""

    def __init__(self) -> None:
        self._hooks: dict[tuple[str, str], Hook] = {}
        self.made: list[tuple[str, str]] = []  # calls that had a hook
        self.open = 0  # sockets

    def before(self, kind: str, *methods: str, do: Hook) -> None:
        """Once, before the first of these methods on a socket of this kind."""
        for method in methods:
            self._hooks[kind, method] = do

    def run(self, kind: str, method: str) -> None:
        do = self._hooks.get((kind, method))
        if do is None:
            return
        self._hooks = {key: other for key, other in self._hooks.items() if other is not do}
        self.made.append((kind, method))
        do()


class HookedSocket(socket.socket):
    """A socket with hooks before the calls that end or begin something."""

    hooks: Hooks
    kind: str

    @classmethod
    def of(cls, sock: Socket, kind: str, hooks: Hooks) -> HookedSocket:
        assert isinstance(sock, socket.socket)
        hooked = cls(fileno=sock.detach())
        hooked.setblocking(False)
        hooked.kind, hooked.hooks = kind, hooks
        hooks.open += 1
        return hooked

    def shutdown(self, how: int, /) -> None:
        self.hooks.run(self.kind, "shutdown")
        super().shutdown(how)

    def close(self) -> None:
        if self.fileno() >= 0:
            self.hooks.run(self.kind, "close")
            self.hooks.open -= 1
        super().close()

    def send(self, data: bytes | memoryview, flags: int = 0, /) -> int:  # type: ignore[override]
        self.hooks.run(self.kind, "send")
        return super().send(data, flags)


class HookedSystem(RealSystem):
    """The machine, with hooks on the sockets of clients ("client"), of nodes and discovery ("upstream")."""

    def __init__(self) -> None:
        self.hooks = Hooks()
        self.most_sockets = 1 << 30  # more of them are refused as the system refuses descriptors
        self.most_seen = 0

    def _need_one(self) -> None:
        if self.hooks.open >= self.most_sockets:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        self.most_seen = max(self.most_seen, self.hooks.open + 1)

    def listen(self, address: Address, backlog: int) -> Socket:
        return HookedSocket.of(super().listen(address, backlog), "listener", self.hooks)

    def accept(self, listener: Socket) -> tuple[Socket, str]:
        self._need_one()
        sock, peer = super().accept(listener)
        return HookedSocket.of(sock, "client", self.hooks), peer

    def connection(self) -> Socket:
        self._need_one()
        return HookedSocket.of(super().connection(), "upstream", self.hooks)

    def error_of(self, sock: Socket) -> int:
        """Called when a connect has come up, before anything is sent on it."""
        self.hooks.run("upstream", "connected")
        return super().error_of(sock)


class Patient(unittest.TestCase):
    """A test case that waits for what has to come."""

    def until(self, what: Callable[[], bool], why: str = "") -> None:
        end = time.monotonic() + WAIT
        while not what():
            self.assertLess(time.monotonic(), end, why)
            time.sleep(0.002)


@contextmanager
def held_still(rig: Rig) -> Iterator[None]:
    """The sidecar's hub stands still: what happens here has all happened when it looks again."""
    still, go_on = threading.Event(), threading.Event()

    def hold() -> None:
        still.set()
        go_on.wait(WAIT)

    rig.sidecar.scheduler.call_soon(hold)
    assert still.wait(WAIT)
    try:
        yield
    finally:
        go_on.set()
