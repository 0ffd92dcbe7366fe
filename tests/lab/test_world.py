"""Tests of the virtual world: reproducible runs, processes, signals, clocks, descriptors and faults."""

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


class RecordingTap(Tap):
    """Tap that records every notification as one tuple."""

    def __init__(self) -> None:
        self.lines: list[tuple[Any, ...]] = []
        for name in vars(Tap):
            if not name.startswith("_"):
                setattr(self, name, partial(self._record, name))

    def _record(self, what: str, now: int, about: Connection | Machine, *args: Any) -> None:
        self.lines.append((now, what, about.name if isinstance(about, Machine) else about.id, *args))

    def what(self, *names: str) -> list[tuple[Any, ...]]:
        """Return the records with these names, without their times."""
        return [line[1:] for line in self.lines if line[1] in names]


class BlockingPoller:
    """Blocking waits for programs that use no tasks."""

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
    """Run an echo server that serves one connection after the other."""
    wait, listener = BlockingPoller(system), system.listen(("0.0.0.0", 7), 8)
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


def echo_client(
    received: list[bytes], data: bytes = b"hello", times: int = 3
) -> Callable[[VirtualSystem], None]:
    """Build a program that sends data to the echo server and collects the responses."""

    def main(system: VirtualSystem) -> None:
        wait, sock = BlockingPoller(system), system.connection()
        assert sock.connect_ex(("10.0.0.1", 7)) == errno.EINPROGRESS
        wait.on(sock, WRITE)
        if error := system.error_of(sock):
            raise OSError(error, "connect")
        for _ in range(times):
            sock.send(data)
            wait.on(sock, READ)
            received.append(sock.recv(4096))
        sock.close()

    return main


def start_echo_pair(world: World, received: list[bytes], times: int = 3) -> tuple[Process, Process]:
    """Start an echo server on one machine and a client of it on another."""
    server = world.machine("server", "10.0.0.1").start(echo)
    client = world.machine("client", "10.0.0.2")
    world.run(START_NS + 10 * MILLISECOND)
    return server, client.start(echo_client(received, times=times))


def trace(seed: int) -> list[tuple[Any, ...]]:
    with World(seed) as world:
        recorded = RecordingTap()
        world.taps.append(recorded)
        start_echo_pair(world, [])
        world.run(START_NS + SECOND)
        return recorded.lines


def test_same_seed_same_run() -> None:
    assert trace(5) == trace(5)
    assert trace(5) != trace(6)
    assert len(trace(5)) > 20


def test_same_seed_same_run_elsewhere() -> None:
    """Guards against a run that depends on the process or on its hash seed."""
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
    received = bytearray()

    def receiver(system: VirtualSystem) -> None:
        wait, listener = BlockingPoller(system), system.listen(("0.0.0.0", 7), 8)
        wait.on(listener, READ)
        sock, _ = system.accept(listener)
        while wait.on(sock, READ) and (part := sock.recv(7000)):
            received.extend(part)

    def sender(system: VirtualSystem) -> None:
        wait, sock, left = BlockingPoller(system), system.connection(), memoryview(data)
        sock.connect_ex(("10.0.0.1", 7))
        while left:
            wait.on(sock, WRITE)
            left = left[sock.send(left) :]
        sock.close()  # bytes still in the send buffer are sent after the close

    for seed in range(5):
        received.clear()
        with World(seed, rough) as world:
            receiving_process = world.machine("a", "10.0.0.1").start(receiver)
            world.run(START_NS + 10 * MILLISECOND)
            world.machine("b", "10.0.0.2").start(sender)
            finish(world, receiving_process)
        assert received == data


# --- processes ----------------------------------------------------------------------------------


def test_a_killed_process_does_nothing_more() -> None:
    after: list[str] = []

    def loop_forever(system: VirtualSystem) -> None:
        wait, sock = BlockingPoller(system), system.connection()
        sock.connect_ex(("10.0.0.1", 7))
        wait.on(sock, WRITE)
        while True:
            try:
                wait.pause(1000)
            finally:  # every system call from here on raises `Killed`
                after.append("begins")
                for call in (lambda: sock.send(b"more"), system.connection, system.monotonic, sock.close):
                    try:
                        call()
                    except BaseException as error:
                        after.append(type(error).__name__)
                wait.pause(10)
                after.append("never")

    with World(3, PLAIN) as world:
        recorded = RecordingTap()
        world.taps.append(recorded)
        world.machine("server", "10.0.0.1").start(echo)
        world.run(START_NS + 10 * MILLISECOND)
        client = world.machine("stubborn", "10.0.0.3").start(loop_forever)
        world.run(START_NS + SECOND)
        begun = world.now_ns
        client.kill()
        world.run(START_NS + 2 * SECOND)
        assert after == ["begins", "Killed", "Killed", "Killed"]
        assert client.ended == -signal.SIGKILL and client.descriptors == 0
        late = [line[1:] for line in recorded.lines if line[0] >= begun]
        assert late == [
            ("process", "stubborn", "killed"),
            ("closed", 1, "client"),
            ("ended", 1, "server", "fin"),
            ("closed", 1, "server"),
            ("ended", 1, "client", "fin"),
        ]


def start_idle_pair(
    world: World, *, unread: bool = False, sends_later: bool = False
) -> tuple[Process, Process, list[str]]:
    """Start a server that accepts but never reads, and a client that reports how its connection ended."""
    ends: list[str] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = BlockingPoller(system), system.listen(("0.0.0.0", 7), 8)
        kept = []
        while True:
            wait.on(listener, READ)
            kept.append(system.accept(listener)[0])

    def client(system: VirtualSystem) -> None:
        wait, sock = BlockingPoller(system), system.connection()
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
        server, _, ends = start_idle_pair(world, unread=unread)
        server.kill(reset=reset)
        received: list[bytes] = []
        late = world.machine("late", "10.0.0.3").start(echo_client(received))
        world.run(START_NS + SECOND)
        assert ends == [end]
        assert isinstance(late.error, ConnectionRefusedError) and late.ended == 1
        assert b"ConnectionRefusedError" in late.stderr
        server.machine.start(echo)  # a new process listens on the same address
        world.run(world.now_ns + 10 * MILLISECOND)
        late.machine.start(echo_client(received))
        world.run(START_NS + 2 * SECOND)
        assert b"".join(received) == b"hello" * 3


def test_killed_by_its_own_code_and_by_another() -> None:
    with World(1, PLAIN) as world:
        recorded = RecordingTap()
        world.taps.append(recorded)
        server = world.machine("server", "10.0.0.1").start(echo)
        world.run(START_NS + 10 * MILLISECOND)

        def kill_both(system: VirtualSystem) -> None:
            wait, sock = BlockingPoller(system), system.connection()
            sock.connect_ex(("10.0.0.1", 7))
            wait.on(sock, WRITE)
            server.kill()
            wait.on(sock, READ)
            system.process.kill()
            sock.send(b"x")

        client = world.machine("client", "10.0.0.2").start(kill_both)
        world.run(START_NS + SECOND)
        assert server.ended == client.ended == -signal.SIGKILL
        assert client.error is None and recorded.what("sent") == []


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
        wait, waker = BlockingPoller(system), system.waker()

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
        process.signal(signal.SIGWINCH)  # Linux ignores SIGWINCH by default
        assert process.ended is None
        process.stall(SECOND)
        process.signal(signal.SIGTERM)
        world.run(START_NS + 10 * SECOND)
        assert [name for name, _ in got] == ["hup", "term"]
        assert START_NS + SECOND < got[0][1] < START_NS + SECOND + MILLISECOND
        assert got[1][1] == START_NS + 3 * SECOND  # the handler runs only after the stall
        assert process.ended == 0


def test_signal_without_handler_ends_a_process() -> None:
    with World(1, PLAIN) as world:
        server, client = start_echo_pair(world, [], times=1)
        world.run(START_NS + 100 * MILLISECOND)
        assert client.ended == 0 and server.ended is None
        server.signal(signal.SIGTERM)
        assert server.ended == -signal.SIGTERM and not server.machine.listeners


def test_a_stalled_process_is_accepted_for() -> None:
    with World(1, PLAIN) as world:
        recorded = RecordingTap()
        world.taps.append(recorded)
        server = world.machine("server", "10.0.0.1").start(echo)
        world.run(START_NS + 10 * MILLISECOND)
        server.machine.stall(SECOND)
        world.machine("client", "10.0.0.2").start(echo_client([]))
        world.run(START_NS + SECOND)
        assert recorded.what("established", "arrived") == [
            ("established", 1),
            ("arrived", 1, "server", b"hello"),
        ]
        assert recorded.what("accepted", "read") == []
        world.run(START_NS + 2 * SECOND)
        assert ("read", 1, "server", b"hello") in recorded.what("read")


def test_clocks() -> None:
    seen: list[tuple[int, int]] = []

    def main(system: VirtualSystem) -> None:
        wait = BlockingPoller(system)
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
            system.waker()  # needs two descriptors, and only one is free
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
        wait = BlockingPoller(system)
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
        recorded = RecordingTap()
        world.taps.append(recorded)
        server, _, ends = start_idle_pair(world, sends_later=True)
        server.machine.vanish()
        began = len(recorded.lines)
        late = world.machine("late", "10.0.0.3").start(echo_client([]))
        world.run(START_NS + 8 * SECOND)
        assert ends == [] and late.ended is None
        assert [line[1] for line in recorded.lines[began:]] == ["process", "opened", "sent"]
        server.machine.come_back()
        world.run(START_NS + 20 * SECOND)
        assert ends == ["ECONNRESET"]  # the restarted machine has no record of the connection
        assert isinstance(late.error, ConnectionRefusedError)


def test_bytes_that_nobody_acknowledges_are_given_up() -> None:
    with World(1, PLAIN) as world:
        server, _, ends = start_idle_pair(world, sends_later=True)
        server.machine.vanish()
        world.run(START_NS + 900 * SECOND)
        assert ends == []
        world.run(START_NS + 1000 * SECOND)
        assert ends == ["ETIMEDOUT"]


@pytest.mark.parametrize("to", ["server", "client"])
def test_a_connect_over_a_cut_comes_up_later(to: str) -> None:
    with World(1, PLAIN) as world:
        recorded, received = RecordingTap(), list[bytes]()
        world.taps.append(recorded)
        world.network.partition(
            world.machine("client", "10.0.0.2"), world.machine("server", "10.0.0.1"), one_way=True
        )
        if to == "client":
            world.network.heal("client", "server")
            world.network.partition("server", "client", one_way=True)
        world.machines["server"].start(echo)
        world.run(START_NS + 10 * MILLISECOND)
        client = world.machines["client"].start(echo_client(received))
        world.run(START_NS + 2 * SECOND)
        assert recorded.what("opened", "established", "accepted") == [("opened", 1)]
        world.network.heal("client", "server")
        finish(world, client)
        assert recorded.what("established", "accepted") == [("established", 1), ("accepted", 1)]
        assert received == [b"hello"] * 3


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
        recorded, received = RecordingTap(), list[bytes]()
        world.taps.append(recorded)
        conns: list[Connection] = []
        start_echo_pair(world, received, times=40)
        recorded.accepted = lambda now, conn: conns.append(conn)  # type: ignore[method-assign]
        network = world.network
        world.run(until=lambda: len(received) > 10)
        if how == "silence":
            network.blackhole(conns[0])
        else:
            network.partition(
                *(("client", "server") if how == "cut" else ("server", "client")), one_way=how == "back"
            )
        world.run(world.now_ns + SECOND)
        before = len(received)
        world.run(world.now_ns + SECOND)
        assert before == len(received) < 40
        if how == "silence":
            network.stop_blackholing(conns[0])
        else:
            network.heal("server", "client")
        world.run(world.now_ns + 5 * SECOND)
        assert received == [b"hello"] * 40


def test_a_full_buffer_whose_acknowledgements_are_cut_off_is_waited_for_in_few_events() -> None:
    """Guards against a check at every nanosecond, with which one virtual second never finished."""
    written: list[int] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = BlockingPoller(system), system.listen(("0.0.0.0", 7), 0)
        wait.on(listener, READ)
        sock, _ = system.accept(listener)
        while wait.on(sock, READ):
            sock.recv(1000)

    def client(system: VirtualSystem) -> None:
        wait, sock = BlockingPoller(system), system.connection()
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
        world.network.partition("server", "client", one_way=True)
        world.step_hooks.append(lambda: steps.append(1))
        world.run(world.now_ns + SECOND, lambda: len(steps) > 5000)
        before = len(written)
        assert len(steps) < 5000
        world.run(world.now_ns + SECOND // 10)
        assert len(written) == before
        world.network.heal("server", "client", one_way=True)
        world.run(world.now_ns + SECOND, lambda: len(written) > before)
        assert len(written) > before


def test_what_is_sent_after_a_mend_waits_for_what_was_held() -> None:
    received = bytearray()

    def server(system: VirtualSystem) -> None:
        wait, listener = BlockingPoller(system), system.listen(("0.0.0.0", 7), 0)
        wait.on(listener, READ)
        sock, _ = system.accept(listener)
        while wait.on(sock, READ):
            received.extend(sock.recv(10))

    def client(system: VirtualSystem) -> None:
        wait, sock = BlockingPoller(system), system.connection()
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
        world.at(START_NS + 200 * MILLISECOND, lambda: world.network.partition("server", "client"))
        world.at(START_NS + 700 * MILLISECOND, lambda: world.network.heal("server", "client"))
        world.run(START_NS + 10 * SECOND)
    assert received == bytes(range(100))


def test_faults_of_connects() -> None:
    with World(1, PLAIN) as world:
        recorded = RecordingTap()
        world.taps.append(recorded)
        server = world.machine("server", "10.0.0.1").start(echo)
        client, received = world.machine("client", "10.0.0.2"), list[bytes]()
        world.run(START_NS + 10 * MILLISECOND)
        world.network.refuse_connects("server", 7)
        assert isinstance(finish(world, client.start(echo_client(received))).error, ConnectionRefusedError)
        world.network.stop_refusing("server", 7)
        world.network.drop_connects(server.machine)
        waits = client.start(echo_client(received))
        world.run(world.now_ns + 2 * SECOND)
        assert waits.ended is None and received == []
        world.network.stop_dropping_connects(server.machine)
        assert finish(world, waits).ended == 0 and len(received) == 3
        world.network.set_link_latency("client", "server", 100 * MILLISECOND)
        began = world.now_ns
        finish(world, client.start(echo_client(received)))
        assert world.now_ns - began > 8 * 100 * MILLISECOND
        nowhere = client.start(lambda system: echo_client(received)(system))
        world.network.partition("client", "server", one_way=True)
        world.run(world.now_ns + 140 * SECOND)
        assert isinstance(nowhere.error, TimeoutError)


def finish(world: World, process: Process) -> Process:
    assert world.run(world.now_ns + 10 * SECOND, until=lambda: process.ended is not None)
    return process


def test_a_reset_on_the_way() -> None:
    with World(1, PLAIN) as world:
        conns: list[Connection] = []
        recorded = RecordingTap()
        recorded.established = lambda now, conn: conns.append(conn)  # type: ignore[method-assign]
        world.taps.append(recorded)
        _, _, ends = start_idle_pair(world)
        world.network.reset(conns[0])
        world.run(START_NS + SECOND)
        assert ends == ["ECONNRESET"] and len(recorded.what("ended")) == 2


def test_a_queue_that_fills_between_consent_and_acknowledgement() -> None:
    """Checks Linux's behaviour: the client counts as connected before the server accepts the ACK.

    The client's bytes arrive once the accept queue has room.
    """
    up: list[str] = []
    received: list[bytes] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = BlockingPoller(system), system.listen(("0.0.0.0", 7), 0)
        wait.pause(500)
        for _ in range(4):
            wait.on(listener, READ)
            sock, _ = system.accept(listener)
            wait.on(sock, READ)
            received.append(sock.recv(10))

    def client(name: str) -> Callable[[VirtualSystem], None]:
        def main(system: VirtualSystem) -> None:
            wait, sock = BlockingPoller(system), system.connection()
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
        assert sorted(up) == list("abcd")  # every SYN was answered before the first ACK came
        assert len(world.machines["server"].listeners[7].queue) == 1
        world.run(START_NS + 20 * SECOND)
        assert sorted(received) == [b"a", b"b", b"c", b"d"]


def test_reset_before_accept_may_be_told_as_aborted() -> None:
    told: list[str] = []

    def server(system: VirtualSystem) -> None:
        wait, listener = BlockingPoller(system), system.listen(("0.0.0.0", 7), 4)
        wait.pause(100)
        try:
            system.accept(listener)
        except OSError as error:
            told.append(errno.errorcode[error.errno or 0])

    def client(system: VirtualSystem) -> None:
        wait, sock = BlockingPoller(system), system.connection()
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
        _, client = start_echo_pair(world, [])
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
        world.step_hooks.append(lambda: order.append(-1))
        assert not world.run(START_NS + 25)
        assert order == [5, -1, 10, -1, 20, -1] and world.elapsed_ns == 25
        world.at(0, lambda: order.append(25))  # a time in the past runs at once
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
