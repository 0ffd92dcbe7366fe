"""The virtual world: the same seed gives the same run; kill, vanish, stall, signals, clocks."""

from __future__ import annotations

import errno
import logging
import os
import signal
import subprocess
import sys
import zlib
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import pairwise
from typing import Any

import greenlet
import pytest

from brambleusher.lab.virtual.network import Connection
from brambleusher.lab.virtual.world import (
    MILLISECOND,
    START_NS,
    Machine,
    Process,
    ProcessLog,
    Tap,
    VirtualSystem,
    World,
    WorldSettings,
)
from brambleusher.runtime.system import READ, WRITE, Socket

SECOND = 1_000_000_000
PLAIN = WorldSettings(split=0.0, short_send=0.0, short_receive=0.0)


class Notes(Tap):
    """Everything that was told, as one line each."""

    def __init__(self) -> None:
        self.lines: list[tuple[Any, ...]] = []
        for name in vars(Tap):
            if not name.startswith("_"):
                setattr(self, name, partial(self._note, name))

    def _note(self, what: str, now: int, about: Connection | Machine, *args: Any) -> None:
        self.lines.append((now, what, about.name if isinstance(about, Machine) else about.id, *args))

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


def test_same_seed_same_run_elsewhere() -> None:
    """In another process, under other hashes."""
    code = "from tests.lab.test_world import trace; import zlib; print(zlib.crc32(repr(trace(5)).encode()))"
    for hashes in ("1", "77"):
        found = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hashes},
            capture_output=True, text=True, check=True,
        )  # fmt: skip
        assert int(found.stdout) == zlib.crc32(repr(trace(5)).encode())


def test_bytes_come_whole_and_in_order() -> None:
    rough = WorldSettings(split=0.9, short_send=0.5, short_receive=0.5, send_buffer=5000, receive_buffer=3000)
    data = bytes(at * 31 % 251 for at in range(40_000))
    heard = bytearray()

    def take(system: VirtualSystem) -> None:
        wait, listener = Waits(system), system.listen(("0.0.0.0", 7), 8)
        wait.on(listener, READ)
        sock, _ = system.accept(listener)
        while wait.on(sock, READ) and (part := sock.recv(7000)):
            heard.extend(part)

    def give(system: VirtualSystem) -> None:
        wait, sock, left = Waits(system), system.connection(), memoryview(data)
        sock.connect_ex(("10.0.0.1", 7))
        while left:
            wait.on(sock, WRITE)
            left = left[sock.send(left) :]
        sock.close()  # the rest of the buffer goes out all the same

    for seed in range(5):
        heard.clear()
        with World(seed, rough) as world:
            taker = world.machine("a", "10.0.0.1").start(take)
            world.run(START_NS + 10 * MILLISECOND)
            world.machine("b", "10.0.0.2").start(give)
            finish(world, taker)
        assert heard == data


# --- processes ----------------------------------------------------------------------------------


def test_a_killed_process_does_nothing_more() -> None:
    after: list[str] = []

    def stubborn(system: VirtualSystem) -> None:
        wait, sock = Waits(system), system.connection()
        sock.connect_ex(("10.0.0.1", 7))
        wait.on(sock, WRITE)
        while True:
            try:
                wait.pause(1000)
            finally:  # all of this meets a dead system
                after.append("begins")
                for deed in (lambda: sock.send(b"more"), system.connection, system.monotonic, sock.close):
                    try:
                        deed()
                    except BaseException as error:
                        after.append(type(error).__name__)
                wait.pause(10)
                after.append("never")

    with World(3, PLAIN) as world:
        notes = Notes()
        world.taps.append(notes)
        world.machine("server", "10.0.0.1").start(echo)
        world.run(START_NS + 10 * MILLISECOND)
        client = world.machine("stubborn", "10.0.0.3").start(stubborn)
        world.run(START_NS + SECOND)
        begun = world.now_ns
        client.kill()
        world.run(START_NS + 2 * SECOND)
        assert after == ["begins", "Killed", "Killed", "Killed"]
        assert client.ended == -signal.SIGKILL and client.descriptors == 0
        late = [line[1:] for line in notes.lines if line[0] >= begun]
        assert late == [
            ("process", "stubborn", "killed"),
            ("closed", 1, "client"),
            ("ended", 1, "server", "fin"),
            ("closed", 1, "server"),
            ("ended", 1, "client", "fin"),
        ]


def idle_pair(
    world: World, *, unread: bool = False, sends_later: bool = False
) -> tuple[Process, Process, list[str]]:
    """A server that accepts and reads nothing, and a client that says how its connection ended."""
    ends: list[str] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = Waits(system), system.listen(("0.0.0.0", 7), 8)
        kept = []
        while True:
            wait.on(listener, READ)
            kept.append(system.accept(listener)[0])

    def client(system: VirtualSystem) -> None:
        wait, sock = Waits(system), system.connection()
        sock.connect_ex(("10.0.0.1", 7))
        wait.on(sock, WRITE)
        if unread:
            sock.send(b"never read")
        if sends_later:
            wait.pause(5000)
            sock.send(b"late")
        wait.on(sock, READ)
        try:
            ends.append(repr(sock.recv(10)))
        except OSError as error:
            ends.append(errno.errorcode[error.errno or 0])

    process = world.machine("server", "10.0.0.1").start(server)
    world.run(START_NS + 10 * MILLISECOND)
    other = world.machine("client", "10.0.0.2").start(client)
    world.run(START_NS + 100 * MILLISECOND)
    return process, other, ends


@pytest.mark.parametrize(
    ("unread", "reset", "end"),
    [(False, False, "b''"), (True, False, "ECONNRESET"), (False, True, "ECONNRESET")],
)
def test_what_a_kill_does_to_connections(unread: bool, reset: bool, end: str) -> None:
    with World(1, PLAIN) as world:
        server, _, ends = idle_pair(world, unread=unread)
        server.kill(reset=reset)
        heard: list[bytes] = []
        late = world.machine("late", "10.0.0.3").start(asks(heard))
        world.run(START_NS + SECOND)
        assert ends == [end]
        assert isinstance(late.error, ConnectionRefusedError) and late.ended == 1
        assert b"ConnectionRefusedError" in late.stderr
        server.machine.start(echo)  # and again on the same address
        world.run(world.now_ns + 10 * MILLISECOND)
        late.machine.start(asks(heard))
        world.run(START_NS + 2 * SECOND)
        assert b"".join(heard) == b"hello" * 3


def test_killed_by_its_own_code_and_by_another() -> None:
    with World(1, PLAIN) as world:
        notes = Notes()
        world.taps.append(notes)
        server = world.machine("server", "10.0.0.1").start(echo)
        world.run(START_NS + 10 * MILLISECOND)

        def murderer(system: VirtualSystem) -> None:
            wait, sock = Waits(system), system.connection()
            sock.connect_ex(("10.0.0.1", 7))
            wait.on(sock, WRITE)
            server.kill()
            wait.on(sock, READ)
            system.process.kill()
            sock.send(b"x")

        client = world.machine("client", "10.0.0.2").start(murderer)
        world.run(START_NS + SECOND)
        assert server.ended == client.ended == -signal.SIGKILL
        assert client.error is None and notes.what("sent") == []


def test_the_tasks_of_an_ended_process_are_over() -> None:
    tasks: list[greenlet.greenlet] = []

    def main(system: VirtualSystem) -> None:
        hub = greenlet.getcurrent()
        tasks.append(system.greenlet(lambda: hub.switch(), hub))
        tasks[0].switch()
        raise SystemExit(3)

    with World(1, PLAIN) as world:
        process = world.machine("m", "10.0.0.1").start(main)
        world.run(START_NS + SECOND)
        assert process.ended == 3 and tasks[0].dead and process.error is None


def test_signals() -> None:
    got: list[tuple[str, int]] = []

    def main(system: VirtualSystem) -> None:
        wait, waker = Waits(system), system.waker()

        def on_term() -> None:
            got.append(("term", system.monotonic_ns()))
            waker.wake()

        system.on_signal(signal.SIGTERM, on_term)
        system.on_signal(signal.SIGHUP, lambda: got.append(("hup", system.monotonic_ns())))
        while not waker_set(system, waker.fileno()):
            pass
        wait.pause(5)

    def waker_set(system: VirtualSystem, fd: int) -> bool:
        poller = system.poller()
        poller.register(fd, READ)
        return bool(poller.poll(60_000))

    with World(1, PLAIN) as world:
        process = world.machine("m", "10.0.0.1").start(main)
        world.run(START_NS + SECOND)
        process.signal(signal.SIGHUP)
        world.run(START_NS + 2 * SECOND)
        process.signal(signal.SIGWINCH)  # harmless
        assert process.ended is None
        process.stall(SECOND)
        process.signal(signal.SIGTERM)
        world.run(START_NS + 10 * SECOND)
        assert [name for name, _ in got] == ["hup", "term"]
        assert START_NS + SECOND < got[0][1] < START_NS + SECOND + MILLISECOND
        assert got[1][1] == START_NS + 3 * SECOND  # not before the stall is over
        assert process.ended == 0


def test_signal_without_handler_ends_a_process() -> None:
    with World(1, PLAIN) as world:
        server, client = pair(world, [], times=1)
        world.run(START_NS + 100 * MILLISECOND)
        assert client.ended == 0 and server.ended is None
        server.signal(signal.SIGTERM)
        assert server.ended == -signal.SIGTERM and not server.machine.listeners


def test_a_stalled_process_is_accepted_for() -> None:
    with World(1, PLAIN) as world:
        notes = Notes()
        world.taps.append(notes)
        server = world.machine("server", "10.0.0.1").start(echo)
        world.run(START_NS + 10 * MILLISECOND)
        server.machine.stall(SECOND)
        world.machine("client", "10.0.0.2").start(asks([]))
        world.run(START_NS + SECOND)
        assert notes.what("established", "arrived") == [
            ("established", 1),
            ("arrived", 1, "server", b"hello"),
        ]
        assert notes.what("accepted", "read") == []
        world.run(START_NS + 2 * SECOND)
        assert ("read", 1, "server", b"hello") in notes.what("read")


def test_clocks() -> None:
    seen: list[tuple[int, int]] = []

    def main(system: VirtualSystem) -> None:
        wait = Waits(system)
        while True:
            seen.append((system.monotonic_ns(), system.wall_ns()))
            assert abs(system.monotonic() * 1e9 - system.monotonic_ns()) < 1000
            wait.pause(1000)

    with World(1, PLAIN) as world:
        machine = world.machine("m", "10.0.0.1")
        machine.start(main)
        world.at(START_NS + SECOND // 2, lambda: machine.shift_wall(3600 * SECOND))
        world.at(START_NS + 3 * SECOND // 2, lambda: machine.shift_wall(-7200 * SECOND))
        world.run(START_NS + 3 * SECOND)
    steps = [(b[0] - a[0], b[1] - a[1]) for a, b in pairwise(seen)]
    assert all(SECOND <= step[0] < SECOND + MILLISECOND for step in steps)
    assert [round((step[1] - step[0]) / SECOND) for step in steps] == [3600, -7200]


def test_descriptors() -> None:
    found: list[int | str] = []

    def main(system: VirtualSystem) -> None:
        first, second, third = (system.connection() for _ in range(3))
        second.close()
        first.close()
        found.extend([third.fileno(), system.connection().fileno(), system.connection().fileno()])
        try:
            system.waker()  # takes two, and there is one
        except OSError as error:
            found.append(errno.errorcode[error.errno or 0])
        found.append(system.process.descriptors)

    with World(1, PLAIN) as world:
        world.machine("m", "10.0.0.1").start(main, descriptors=7)
        world.run(START_NS + SECOND)
    assert found == [5, 3, 4, "EMFILE", 3]


@pytest.mark.parametrize("unblocked", [True, False])
def test_workers_and_sinks(unblocked: bool) -> None:
    lost: list[int] = []
    items: list[bytes] = []
    waited: list[int] = []

    def main(system: VirtualSystem) -> None:
        wait = Waits(system)
        sinks = [system.descriptor_sink(2), system.file_sink("/log"), system.datagram_sink(("10.0.0.9", 53))]

        def turn() -> None:
            taken, items[:] = items[:], []
            lost.append(sum(sink.write(taken) for sink in sinks))

        worker = system.worker("out", lambda: bool(items), turn)
        for each in (b"one\n", b"two\n", b"three\n"):
            items.append(each)
            with worker.lock:
                worker.wake()
            wait.pause(1000)
        began = system.monotonic_ns()
        worker.end(1.5)
        worker.end(1.5)
        waited.append(system.monotonic_ns() - began)

    with World(1, PLAIN) as world:
        process = world.machine("m", "10.0.0.1").start(main)
        world.run(START_NS + SECOND // 2)
        assert process.stderr == b"one\n" == process.machine.files["/log"]
        assert world.datagrams[0][1:] == ("m", ("10.0.0.9", 53), b"one\n")
        process.sinks["file /log"].fail()
        world.run(START_NS + 3 * SECOND // 2)
        assert lost == [0, 1]
        process.sinks["fd 2"].block()
        world.run(START_NS + 3 * SECOND + SECOND // 10)
        assert process.stderr == b"one\ntwo\n" and process.ended is None
        if unblocked:
            process.sinks["fd 2"].unblock()
        world.run(START_NS + 10 * SECOND)
    assert process.ended == 0
    assert process.stderr.endswith(b"three\n") == unblocked == (waited[0] < SECOND)


# --- faults -------------------------------------------------------------------------------------


def test_a_machine_that_vanishes_and_comes_back() -> None:
    with World(1, PLAIN) as world:
        notes = Notes()
        world.taps.append(notes)
        server, _, ends = idle_pair(world, sends_later=True)
        server.machine.vanish()
        began = len(notes.lines)
        late = world.machine("late", "10.0.0.3").start(asks([]))
        world.run(START_NS + 8 * SECOND)
        assert ends == [] and late.ended is None
        assert [line[1] for line in notes.lines[began:]] == ["process", "opened", "sent"]
        server.machine.come_back()
        world.run(START_NS + 20 * SECOND)
        assert ends == ["ECONNRESET"]  # it does not know the connection
        assert isinstance(late.error, ConnectionRefusedError)


def test_bytes_that_nobody_acknowledges_are_given_up() -> None:
    with World(1, PLAIN) as world:
        server, _, ends = idle_pair(world, sends_later=True)
        server.machine.vanish()
        world.run(START_NS + 900 * SECOND)
        assert ends == []
        world.run(START_NS + 1000 * SECOND)
        assert ends == ["ETIMEDOUT"]


@pytest.mark.parametrize("to", ["server", "client"])
def test_a_connect_over_a_cut_comes_up_later(to: str) -> None:
    with World(1, PLAIN) as world:
        notes, heard = Notes(), list[bytes]()
        world.taps.append(notes)
        world.network.cut(
            world.machine("client", "10.0.0.2"), world.machine("server", "10.0.0.1"), one_way=True
        )
        if to == "client":
            world.network.mend("client", "server")
            world.network.cut("server", "client", one_way=True)
        world.machines["server"].start(echo)
        world.run(START_NS + 10 * MILLISECOND)
        client = world.machines["client"].start(asks(heard))
        world.run(START_NS + 2 * SECOND)
        assert notes.what("opened", "established", "accepted") == [("opened", 1)]
        world.network.mend("client", "server")
        finish(world, client)
        assert notes.what("established", "accepted") == [("established", 1), ("accepted", 1)]
        assert heard == [b"hello"] * 3


def test_logs_go_to_the_process_that_wrote_them() -> None:
    log = logging.getLogger("tests.world")

    def main(system: VirtualSystem) -> None:
        for number in range(200):
            log.warning("%s %d", system.machine.name, number)

    with World(1, WorldSettings(output_bytes=1000)) as world:
        handler = ProcessLog(world)
        log.addHandler(handler)
        try:
            processes = [world.machine(name, f"10.0.0.{at}").start(main) for at, name in enumerate("ab")]
            world.run(START_NS + SECOND)
            log.warning("nobody's")
        finally:
            log.removeHandler(handler)
        for process in processes:
            assert process.stderr.endswith(process.name.encode() + b" 199\n")
            assert len(process.stderr) == 1000 and process.stderr_dropped > 0


@pytest.mark.parametrize("how", ["cut", "back", "silence"])
def test_what_was_cut_comes_later(how: str) -> None:
    with World(1, PLAIN) as world:
        notes, heard = Notes(), list[bytes]()
        world.taps.append(notes)
        conns: list[Connection] = []
        pair(world, heard, times=40)
        notes.accepted = lambda now, conn: conns.append(conn)  # type: ignore[method-assign]
        network = world.network
        world.run(until=lambda: len(heard) > 10)
        if how == "silence":
            network.silence(conns[0])
        else:
            network.cut(
                *(("client", "server") if how == "cut" else ("server", "client")), one_way=how == "back"
            )
        world.run(world.now_ns + SECOND)
        before = len(heard)
        world.run(world.now_ns + SECOND)
        assert before == len(heard) < 40
        if how == "silence":
            network.unsilence(conns[0])
        else:
            network.mend("server", "client")
        world.run(world.now_ns + 5 * SECOND)
        assert heard == [b"hello"] * 40


def test_a_full_buffer_whose_acknowledgements_are_cut_off_is_waited_for_in_few_events() -> None:
    """Guards against a look each nanosecond: one virtual second took for ever."""
    written: list[int] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = Waits(system), system.listen(("0.0.0.0", 7), 0)
        wait.on(listener, READ)
        sock, _ = system.accept(listener)
        while wait.on(sock, READ):
            sock.recv(1000)

    def client(system: VirtualSystem) -> None:
        wait, sock = Waits(system), system.connection()
        sock.connect_ex(("10.0.0.1", 7))
        wait.on(sock, WRITE)
        while True:
            try:
                written.append(sock.send(b"x" * 1000))
            except BlockingIOError:
                wait.on(sock, WRITE)

    with World(1, replace(PLAIN, send_buffer=8000)) as world:
        steps: list[int] = []
        world.machine("server", "10.0.0.1").start(server)
        world.machine("client", "10.0.0.2").start(client)
        world.run(START_NS + SECOND // 10)
        assert written
        world.network.cut("server", "client", one_way=True)
        world.step_done.append(lambda: steps.append(1))
        world.run(world.now_ns + SECOND, lambda: len(steps) > 5000)
        before = len(written)
        assert len(steps) < 5000
        world.run(world.now_ns + SECOND // 10)
        assert len(written) == before
        world.network.mend("server", "client", one_way=True)
        world.run(world.now_ns + SECOND, lambda: len(written) > before)
        assert len(written) > before


def test_what_is_sent_after_a_mend_waits_for_what_was_held() -> None:
    heard = bytearray()

    def server(system: VirtualSystem) -> None:
        wait, listener = Waits(system), system.listen(("0.0.0.0", 7), 0)
        wait.on(listener, READ)
        sock, _ = system.accept(listener)
        while wait.on(sock, READ):
            heard.extend(sock.recv(10))

    def client(system: VirtualSystem) -> None:
        wait, sock = Waits(system), system.connection()
        sock.connect_ex(("10.0.0.1", 7))
        wait.on(sock, WRITE)
        for number in range(100):
            sock.send(bytes([number]))
            wait.pause(10)
        wait.pause(60_000)

    with World(1, PLAIN) as world:
        world.machine("server", "10.0.0.1").start(server)
        world.run(START_NS + 10 * MILLISECOND)
        world.machine("client", "10.0.0.2").start(client)
        world.at(START_NS + 200 * MILLISECOND, lambda: world.network.cut("server", "client"))
        world.at(START_NS + 700 * MILLISECOND, lambda: world.network.mend("server", "client"))
        world.run(START_NS + 10 * SECOND)
    assert heard == bytes(range(100))


def test_faults_of_connects() -> None:
    with World(1, PLAIN) as world:
        notes = Notes()
        world.taps.append(notes)
        server = world.machine("server", "10.0.0.1").start(echo)
        client, heard = world.machine("client", "10.0.0.2"), list[bytes]()
        world.run(START_NS + 10 * MILLISECOND)
        world.network.refuse("server", 7)
        assert isinstance(finish(world, client.start(asks(heard))).error, ConnectionRefusedError)
        world.network.stop_refusing("server", 7)
        world.network.swallow_connects(server.machine)
        waits = client.start(asks(heard))
        world.run(world.now_ns + 2 * SECOND)
        assert waits.ended is None and heard == []
        world.network.stop_swallowing(server.machine)
        assert finish(world, waits).ended == 0 and len(heard) == 3
        world.network.slow_link("client", "server", 100 * MILLISECOND)
        began = world.now_ns
        finish(world, client.start(asks(heard)))
        assert world.now_ns - began > 8 * 100 * MILLISECOND
        nowhere = client.start(lambda system: asks(heard)(system))
        world.network.cut("client", "server", one_way=True)
        world.run(world.now_ns + 140 * SECOND)
        assert isinstance(nowhere.error, TimeoutError)


def finish(world: World, process: Process) -> Process:
    assert world.run(world.now_ns + 10 * SECOND, until=lambda: process.ended is not None)
    return process


def test_a_reset_on_the_way() -> None:
    with World(1, PLAIN) as world:
        conns: list[Connection] = []
        notes = Notes()
        notes.established = lambda now, conn: conns.append(conn)  # type: ignore[method-assign]
        world.taps.append(notes)
        _, _, ends = idle_pair(world)
        world.network.reset(conns[0])
        world.run(START_NS + SECOND)
        assert ends == ["ECONNRESET"] and len(notes.what("ended")) == 2


def test_a_queue_that_fills_between_consent_and_acknowledgement() -> None:
    """Linux: the client is connected, the server is not; its bytes come once there is room."""
    up: list[str] = []
    heard: list[bytes] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = Waits(system), system.listen(("0.0.0.0", 7), 0)
        wait.pause(500)
        for _ in range(4):
            wait.on(listener, READ)
            sock, _ = system.accept(listener)
            wait.on(sock, READ)
            heard.append(sock.recv(10))

    def client(name: str) -> Callable[[VirtualSystem], None]:
        def main(system: VirtualSystem) -> None:
            wait, sock = Waits(system), system.connection()
            sock.connect_ex(("10.0.0.1", 7))
            wait.on(sock, WRITE)
            up.append(name)
            sock.send(name.encode())
            wait.on(sock, READ)

        return main

    with World(1, WorldSettings(latency_ns=(MILLISECOND, MILLISECOND), start_ns=(0, 0))) as world:
        world.machine("server", "10.0.0.1").start(server)
        world.run(START_NS + MILLISECOND)
        for name in "abcd":
            world.machine(name, f"10.0.1.{ord(name)}").start(client(name))
        world.run(START_NS + 400 * MILLISECOND)
        assert sorted(up) == list("abcd")  # all were consented to before the first acknowledgement came
        assert len(world.machines["server"].listeners[7].queue) == 1
        world.run(START_NS + 20 * SECOND)
        assert sorted(heard) == [b"a", b"b", b"c", b"d"]


def test_reset_before_accept_may_be_told_as_aborted() -> None:
    told: list[str] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = Waits(system), system.listen(("0.0.0.0", 7), 4)
        wait.pause(100)
        try:
            system.accept(listener)
        except OSError as error:
            told.append(errno.errorcode[error.errno or 0])

    def client(system: VirtualSystem) -> None:
        wait, sock = Waits(system), system.connection()
        wait.pause(10)
        sock.connect_ex(("10.0.0.1", 7))
        wait.on(sock, WRITE)
        system.reset(sock)

    with World(1, WorldSettings(aborted_accepts=1.0)) as world:
        world.machine("server", "10.0.0.1").start(server)
        world.machine("client", "10.0.0.2").start(client)
        world.run(START_NS + SECOND)
    assert told == ["ECONNABORTED"]


# --- the loop -----------------------------------------------------------------------------------


def test_what_a_tap_raises_ends_the_run_and_not_the_process() -> None:
    class Breach(Exception):
        pass

    class Strict(Tap):
        def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
            raise Breach

    with World(1, PLAIN) as world:
        world.taps.append(Strict())
        _, client = pair(world, [])
        with pytest.raises(Breach):
            world.run(START_NS + SECOND)
        assert client.ended is None


def test_events() -> None:
    with World(1, PLAIN) as world:
        order: list[int] = []
        for at in (30, 10, 20):
            world.at(START_NS + at, lambda at=at: order.append(at))  # type: ignore[misc]
        world.at(START_NS + 15, lambda: order.append(15)).cancel()
        world.after(5, lambda: order.append(world.now_ns - START_NS))
        world.step_done.append(lambda: order.append(-1))
        assert not world.run(START_NS + 25)
        assert order == [5, -1, 10, -1, 20, -1] and world.elapsed_ns == 25
        world.at(0, lambda: order.append(25))  # past: at once
        assert world.run(until=lambda: 30 in order)
        assert order[6:] == [25, -1, 30, -1]

    def ties(seed: int) -> list[int]:
        order: list[int] = []
        with World(seed) as world:
            for number in range(20):
                world.at(START_NS + 1, lambda number=number: order.append(number))  # type: ignore[misc]
            world.run()
        return order

    assert ties(1) == ties(1) != ties(2)
    assert sorted(ties(1)) == list(range(20)) != ties(1)
