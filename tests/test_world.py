"""The virtual world: the same seed gives the same run; kill, vanish, stall, signals, clocks."""

from __future__ import annotations

import errno
import signal
from collections.abc import Callable
from typing import Any

from brambleusher.lab.network import Connection
from brambleusher.lab.world import MILLISECOND, START_NS, Machine, Process, Tap, VirtualSystem, World
from brambleusher.runtime.system import READ, WRITE, Socket

SECOND = 1_000_000_000


class Notes(Tap):
    """Everything that was told, as one line each."""

    def __init__(self) -> None:
        self.lines: list[tuple[Any, ...]] = []

    def _note(self, now: int, what: str, *args: Any) -> None:
        self.lines.append((now, what, *args))

    def opened(self, now: int, conn: Connection) -> None:
        self._note(now, "opened", conn.id)

    def established(self, now: int, conn: Connection) -> None:
        self._note(now, "established", conn.id)

    def accepted(self, now: int, conn: Connection) -> None:
        self._note(now, "accepted", conn.id)

    def refused(self, now: int, conn: Connection) -> None:
        self._note(now, "refused", conn.id)

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        self._note(now, "sent", conn.id, side, data)

    def arrived(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        self._note(now, "arrived", conn.id, side, data)

    def read(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        self._note(now, "read", conn.id, side, data)

    def ended(self, now: int, conn: Connection, side: str, how: str) -> None:
        self._note(now, "ended", conn.id, side, how)

    def closed(self, now: int, conn: Connection, side: str) -> None:
        self._note(now, "closed", conn.id, side)

    def process(self, now: int, machine: Machine, what: str) -> None:
        self._note(now, "process", machine.name, what)

    def what(self, *names: str) -> list[tuple[Any, ...]]:
        """The lines with these names, without their times."""
        return [line[1:] for line in self.lines if line[1] in names]


class Waits:
    """Waiting, for programs written without tasks."""

    def __init__(self, system: VirtualSystem) -> None:
        self._poller = system.poller()

    def on(self, sock: Socket, events: int, pause_ms: int = -1) -> int:
        self._poller.register(sock.fileno(), events)
        found = self._poller.poll(pause_ms)
        self._poller.unregister(sock.fileno())
        return found[0][1] if found else 0

    def pause(self, pause_ms: int) -> None:
        self._poller.poll(pause_ms)


def echo(system: VirtualSystem) -> None:
    """Take one connection after the other and send back what comes."""
    wait, listener = Waits(system), system.listen(("0.0.0.0", 7), 8)
    while True:
        wait.on(listener, READ)
        sock, _ = system.accept(listener)
        try:
            while True:
                wait.on(sock, READ)
                if not (data := sock.recv(4096)):
                    break
                while data:
                    wait.on(sock, WRITE)
                    data = data[sock.send(data) :]
        except OSError:
            pass
        sock.close()


def asks(heard: list[bytes], data: bytes = b"hello", times: int = 3) -> Callable[[VirtualSystem], None]:
    """A program that sends to the echo and keeps what comes back."""

    def main(system: VirtualSystem) -> None:
        wait, sock = Waits(system), system.connection()
        assert sock.connect_ex(("10.0.0.1", 7)) == errno.EINPROGRESS
        wait.on(sock, WRITE)
        if error := system.error_of(sock):
            raise OSError(error, "connect")
        for _ in range(times):
            sock.send(data)
            wait.on(sock, READ)
            heard.append(sock.recv(4096))
        sock.close()

    return main


def pair(world: World, heard: list[bytes], times: int = 3) -> tuple[Process, Process]:
    """An echo on one machine, and one that asks it on another."""
    server = world.machine("server", "10.0.0.1").start(echo)
    client = world.machine("client", "10.0.0.2")
    world.run(START_NS + 10 * MILLISECOND)
    return server, client.start(asks(heard, times=times))


def trace(seed: int) -> list[tuple[Any, ...]]:
    with World(seed) as world:
        notes = Notes()
        world.taps.append(notes)
        pair(world, [])
        world.run(START_NS + SECOND)
        return notes.lines


def test_same_seed_same_run() -> None:
    assert trace(5) == trace(5)
    assert trace(5) != trace(6)
    assert len(trace(5)) > 20


def test_signal_without_handler_ends_a_process() -> None:
    with World(1) as world:
        notes = Notes()
        world.taps.append(notes)
        server, client = pair(world, [], times=1)
        world.run(START_NS + 100 * MILLISECOND)
        assert client.ended == 0 and server.ended is None
        server.signal(signal.SIGTERM)
        assert server.ended == -signal.SIGTERM
        assert not server.machine.listeners
        assert ("process", "server", "killed") in notes.what("process")
