"""Runs the same socket scripts on the loopback interface and on virtual sockets and compares the results.

Error numbers, bytes and poll events are compared exactly. The capacity of a socket buffer depends on Linux
segment sizes, so a script that fills a buffer only checks that the socket blocks, that no data is lost and
that sending continues afterwards. Nothing depends on timing: after each call, the player on the loopback
interface waits for a byte sent after everything else on the same core.
"""

from __future__ import annotations

import errno
import os
import resource
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleusher.lab.virtual.world import START_NS, VirtualSystem, World, WorldSettings
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.system import PEEK, READ, SHUTDOWN_WRITE, WRITE, Socket, System

Step = tuple[Any, ...]
Result = Any
AWAIT_MS = 20_000  # timeout in milliseconds for expected events
EXACT = WorldSettings(split=0.0, short_send=0.0, short_receive=0.0, send_buffer=32768, receive_buffer=32768)
CHUNK = 3000


def error_name(error: OSError) -> str:
    return errno.errorcode[error.errno or 0]


class Player:
    """Runs scripts; subclasses contain the differences between real and virtual sockets."""

    system: System

    def __init__(self) -> None:
        self.socks: dict[str, Socket] = {}
        self.ports: dict[str, int] = {"nobody": 0}
        self.sent: dict[str, int] = {}
        self.received: dict[str, int] = {}
        self.filled: dict[str, int] = {}  # bytes sent to fill a buffer, which differ between systems

    def wait_until_settled(self) -> None:
        raise NotImplementedError

    def wait(self, sock: Socket, events: int, pause_ms: int) -> int:
        poller = self.system.poller()
        poller.register(sock.fileno(), events)
        found = poller.poll(pause_ms)
        poller.unregister(sock.fileno())
        return found[0][1] if found else 0

    def shrink_buffers(self, sock: Socket) -> None:
        """Set small socket buffers if the system needs this."""

    def unused_port(self) -> int:
        """Return a port on which no socket listens."""
        raise NotImplementedError

    @contextmanager
    def descriptors_exhausted(self) -> Iterator[None]:
        """Make all further descriptor allocations fail."""
        raise NotImplementedError
        yield

    def play(self, script: list[Step]) -> list[Result]:
        results = []
        for what, name, *args in script:
            try:
                result: Result = getattr(self, "do_" + what)(name, *args)
            except OSError as error:
                result = error_name(error)
            except ValueError:
                result = "ValueError"
            except KeyError:  # an earlier accept returned no connection
                result = "no such socket"
            results.append(((what, name, *args), result))
            self.wait_until_settled()
        for sock in self.socks.values():
            sock.close()
        return results

    def do_listen(self, name: str, backlog: int) -> Result:
        self.socks[name] = listener = self.system.listen(("127.0.0.1", 0), backlog)
        self.shrink_buffers(listener)
        self.ports[name] = listener.getsockname()[1]
        return listener.getsockname()[0]

    def do_listen_again(self, name: str) -> Result:
        sock = self.system.listen(("127.0.0.1", self.ports[name]), 4)
        self.socks[name] = sock
        return "listens"

    def do_new(self, name: str) -> Result:
        if name in self.socks:
            self.socks[name].close()
        self.socks[name] = sock = self.system.connection()
        self.shrink_buffers(sock)
        return sock.getsockname()

    def do_connect(self, name: str, to: str, host: str = "127.0.0.1") -> Result:
        if name not in self.socks:
            self.do_new(name)
        port = self.unused_port() if to == "nobody" else self.ports[to]
        code = self.socks[name].connect_ex((host, port))
        return errno.errorcode[code] if code else 0

    def do_accept(self, name: str, listener: str) -> Result:
        sock, peer = self.system.accept(self.socks[listener])
        if name in self.socks:
            self.socks[name].close()
        self.socks[name] = sock
        return peer

    def do_send(self, name: str, size: int) -> Result:
        start = self.sent.get(name, 0)
        first = start - self.filled.get(name, 0)
        data = bytes((first + at) * 31 % 251 for at in range(size))
        count = self.socks[name].send(data)
        self.sent[name] = start + count
        return count

    def do_recv(self, name: str, size: int) -> Result:
        data = self.socks[name].recv(size)
        self.received[name] = self.received.get(name, 0) + len(data)
        return data

    def do_peek(self, name: str, size: int) -> Result:
        return self.socks[name].recv(size, PEEK)

    def do_shutdown(self, name: str) -> Result:
        return self.socks[name].shutdown(SHUTDOWN_WRITE)

    def do_close(self, name: str) -> Result:
        return self.socks[name].close()

    def do_abort(self, name: str) -> Result:
        return self.system.reset(self.socks[name])

    def do_poll(self, name: str, events: int) -> Result:
        return self.wait(self.socks[name], events, 0)

    def do_await(self, name: str, events: int) -> Result:
        return self.wait(self.socks[name], events, AWAIT_MS)

    def do_error(self, name: str) -> Result:
        code = self.system.error_of(self.socks[name])
        return errno.errorcode[code] if code else 0

    def do_name(self, name: str) -> Result:
        host, port = self.socks[name].getsockname()
        return host, port > 0

    def do_fileno(self, name: str) -> Result:
        return self.socks[name].fileno() >= 0

    def do_fill(self, name: str) -> Result:
        """Send until the socket accepts no more data after any wait."""
        blocked = 0
        for _ in range(1000):
            try:
                if self.do_send(name, CHUNK):
                    blocked = 0
            except BlockingIOError:
                blocked += 1
                self.wait_until_settled()
            if blocked == 3:
                self.filled[name] = self.sent[name]
                return "blocked"
        return "never blocked"

    def do_drain(self, name: str, from_: str) -> Result:
        """Receive all data that the other end has sent."""
        while self.received.get(name, 0) < self.sent[from_]:
            if not self.wait(self.socks[name], READ, AWAIT_MS):
                return "lost"
            start = self.received.get(name, 0)
            data = self.do_recv(name, 1 << 16)
            if not data:
                return "early end"
            if data != bytes((start + at) * 31 % 251 for at in range(len(data))):
                return "spoilt"
        return "whole"

    def do_starved(self, name: str, what: str, *args: Any) -> Result:
        with self.descriptors_exhausted():
            return getattr(self, "do_" + what)(name, *args)


class Loopback(Player):
    """Runs scripts on the sockets of the operating system."""

    def __init__(self) -> None:
        super().__init__()
        self.system = RealSystem()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self._out = socket.create_connection(listener.getsockname())
            self._in, _ = listener.accept()
        self._out.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with socket.create_server(("127.0.0.1", 0)) as gone:
            self._nobody: int = gone.getsockname()[1]

    def wait_until_settled(self) -> None:
        # The loopback interface queues packets per core, and this thread is pinned to one core. Three
        # passes cover sent data, the reaction of the peer, and the reaction to that.
        for _ in range(3):
            self._out.send(b"x")
            self._in.recv(1)

    def shrink_buffers(self, sock: Socket) -> None:
        assert isinstance(sock, socket.socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)

    def unused_port(self) -> int:
        return self._nobody

    @contextmanager
    def descriptors_exhausted(self) -> Iterator[None]:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def close(self) -> None:
        self._out.close()
        self._in.close()


class Virtual(Player):
    """Runs scripts on virtual sockets of one simulated machine."""

    def __init__(self, system: VirtualSystem) -> None:
        super().__init__()
        self.system = system
        self._process = system.process
        self._still = system.poller()

    def wait_until_settled(self) -> None:
        self._still.poll(5)  # well below the 1 s after which connects are retried

    def unused_port(self) -> int:
        return 9

    @contextmanager
    def descriptors_exhausted(self) -> Iterator[None]:
        limit, self._process.limit = self._process.limit, 3
        try:
            yield
        finally:
            self._process.limit = limit


@contextmanager
def one_core() -> Iterator[None]:
    cores = os.sched_getaffinity(0)
    os.sched_setaffinity(0, {min(cores)})
    try:
        yield
    finally:
        os.sched_setaffinity(0, cores)


def on_loopback(script: list[Step]) -> list[Result]:
    with one_core():
        player = Loopback()
        try:
            return player.play(script)
        finally:
            player.close()


def on_virtual(script: list[Step], seed: int = 1, settings: WorldSettings = EXACT) -> list[Result]:
    results: list[Result] = []
    with World(seed, settings) as world:
        process = world.machine("m", "10.0.0.1").start(
            lambda system: results.extend(Virtual(system).play(script))
        )
        world.run(START_NS + 3600 * 10**9, until=lambda: process.ended is not None)
        if process.error is not None:
            raise process.error
    return results


# Steps that inspect all visible state of a socket, which may clear its pending error.
LOOK = (
    "poll x RW; poll x R; poll x 0; peek x 10; recv x 10; recv x 10; recv x 10; send x 3; send x 3; error x; "
    "poll x RW; shutdown x; poll x RW; recv x 5; error x"
)
UP = "listen L 4; connect c L; accept s L"
EVENTS = {"R": READ, "W": WRITE, "RW": READ | WRITE}


def steps(script: str) -> list[Step]:
    """Parse a script into steps; `up` and `look` each expand to several steps."""
    made: list[Step] = []
    for text in script.split("; "):
        what, *args = text.split()
        if what == "up":
            made += steps(UP)
        elif what == "look":
            made += [step for name in args for step in steps(LOOK.replace("x", name))]
        else:
            made.append((what, *(EVENTS.get(arg, int(arg) if arg.isdigit() else arg) for arg in args)))
    return made


SCRIPTS_TEXT = """
a new socket: new c; look c; name c
nothing at all: new c; recv c 0; send c 0; listen L 4; recv L 0; connect c L; recv c 0; send c 0;
    accept s L; recv s 0; send s 0; send c 3; recv s 0; close c; recv s 9; recv s 0; send s 0; close s;
    recv s 0; send s 0
other addresses: listen L 4; connect c L 0.0.0.0; name c; accept s L; name s; connect d L 127.0.0.9; name d;
    error d; connect e nobody 0.0.0.0; error e; connect f L 224.0.0.1; name f; error f; connect f L;
    accept t L; name t
half closed, then connected: listen L 4; new c; shutdown c; connect c L; accept s L; send c 3; poll c RW;
    recv s 3; shutdown c; look s
a closed socket: new c; close c; fileno c; look c; connect c nobody; name c; close c
listening: listen L 4; poll L RW; accept s L; recv L 3; send L 3; connect L nobody; shutdown L; error L;
    connect c L; poll L RW; poll L 0; accept s L; poll L RW
a port that is taken: listen L 4; listen_again L; close L; listen_again L; connect c L; accept s L
connect and look: listen L 4; connect c L; poll c RW; error c; recv c 1; name c; accept s L; poll s RW;
    recv s 1; name s
connect again: listen L 4; connect c L; connect c L; connect c L
connect an accepted one: up; connect s L
accept from a connection: up; accept t c; accept t s
accept from a closed listener: up; close L; accept t L; send c 3; recv s 3
connect to nobody: connect c nobody; look c; connect c nobody
refused, error asked for: connect c nobody; error c; look c
refused, asked by connect: connect c nobody; connect c nobody; poll c RW; connect c nobody; recv c 1;
    recv c 1
refused, then connected: listen L 4; connect c nobody; error c; connect c L; connect c L; accept s L;
    send c 4; recv s 9
refused, then sending: connect c nobody; send c 2; send c 2
refused, then half closed: connect c nobody; shutdown c; error c; poll c RW
bytes there and back: up; send c 10; poll s RW; peek s 4; recv s 4; peek s 100; recv s 100; recv s 1;
    poll s RW; send s 7; send s 5; recv c 9; recv c 9; recv c 9
sent before accept: listen L 4; connect c L; send c 20; accept s L; recv s 50
half close: up; send c 5; shutdown c; poll s RW; poll c RW; recv s 9; recv s 9; recv s 9; send s 6;
    recv c 9; recv c 9; send c 1; send c 1; shutdown c; error c
half close, then the other half: up; shutdown c; send s 3; shutdown s; look c s
both half close: up; shutdown s; shutdown c; poll c RW; poll s RW; shutdown c; shutdown s; connect c L;
    connect s L; look c s
close in order: up; send c 3; close c; poll s RW; poll s 0; recv s 9; recv s 9; shutdown s; poll s RW
close, the other sends: up; close c; send s 3; poll s RW; send s 3; send s 3; recv s 3; error s
close, the other sends and reads: up; close c; send s 3; recv s 3; look s
close, the other sends and asks: up; close c; send s 3; error s; look s
close, then half closed: up; close c; shutdown s; look s
server closes first: up; send s 8; close s; poll c RW; recv c 3; recv c 30; recv c 3; send c 3; poll c RW;
    send c 3; send c 3
close with bytes unread: up; send c 9; close s; look c
close with bytes unread, error asked for: up; send c 9; close s; error c; look c
close with some read: up; send c 9; recv s 4; close s; poll c RW; send c 1
close with bytes unread after an answer: up; send c 9; send s 6; close s; poll c RW; recv c 4; recv c 9;
    recv c 9; recv c 9
close with the end unread: up; shutdown c; close s; look c
close with bytes and the end unread: up; send c 3; shutdown c; close s; look c
half closed, bytes unread, closed: up; send c 3; shutdown s; close s; look c
abort: up; abort c; poll s 0; look s
abort after bytes: up; send c 12; abort c; poll s RW; peek s 5; recv s 5; poll s RW; send s 4; recv s 20;
    recv s 20; recv s 20
abort after a half close: up; shutdown c; abort c; look s
abort after the other's half close: up; shutdown s; abort c; look s
abort after both: up; shutdown s; shutdown c; abort c; look s
abort after a reset: up; abort c; abort s; fileno s
abort while bytes come: up; send s 5; abort c; send s 5; look s
abort while connecting: new c; abort c; poll c R
closed before accept: listen L 4; connect c L; send c 4; close c; accept s L; recv s 9; look s
reset before accept: listen L 4; connect c L; abort c; poll L R; accept s L; look s
reset before accept, after bytes: listen L 4; connect c L; send c 4; abort c; accept s L; error s; look s
the listener closes before accept: listen L 4; connect c L; close L; poll c RW; look c
the listener closes after bytes: listen L 4; connect c L; send c 4; close L; look c
the listener closes after an end: listen L 4; connect c L; shutdown c; close L; look c
nobody listens any more: listen L 4; close L; connect c L; error c
order of accepts: listen L 4; connect c L; connect d L; send d 2; send c 3; accept s L; accept t L;
    accept u L; recv s 9; recv t 9
a full queue: listen L 0; connect c L; connect d L; poll c W; poll d RW; recv d 1; send d 1; connect d L;
    error d; accept s L; accept t L; await d W; accept t L; send d 5; recv t 9
a full queue, given up: listen L 1; connect c L; connect d L; connect e L; poll e RW; shutdown e; look e;
    accept s L; accept t L; accept u L
a full queue, closed: listen L 0; connect c L; connect d L; close d; accept s L; accept t L
buffers full: up; fill c; poll c RW; send c 10; poll s RW; drain s c; await c W; send c 10; recv s 99;
    recv s 99
buffers full, then the end: up; fill c; shutdown c; send c 1; poll c RW; drain s c; await s R; recv s 9;
    poll s R
buffers full, then closed: up; fill s; close s; drain c s; await c R; recv c 9
buffers full, then aborted: up; fill s; abort s; poll c RW; send c 9; send c 9
buffers full, the reader closes: up; fill s; close c; await s W; look s
buffers full both ways: up; fill s; fill c; poll s R; poll c R; drain c s; drain s c; await c W; await s W
no descriptor to accept with: listen L 4; starved s accept L; connect c L; starved s accept L; poll L R;
    accept s L
no descriptor to connect with: listen L 4; starved c new; starved M listen 4; new c
"""
# Scripts by name; an indented line continues the previous line.
SCRIPTS = {
    name: script
    for line in SCRIPTS_TEXT.strip().replace("\n   ", "").splitlines()
    for name, script in [line.split(": ")]
}
assert len(SCRIPTS) >= 40, "at least 40 scripts are required"


@pytest.mark.parametrize("name", SCRIPTS)
def test_script(name: str) -> None:
    script = steps(SCRIPTS[name])
    assert on_virtual(script) == on_loopback(script)


CLIENTS, SERVERS = ["c", "d", "e"], ["s", "t", "u"]
ENDS = [*CLIENTS, *SERVERS]
DRAWN: st.SearchStrategy[Step] = st.one_of(
    st.tuples(st.just("new"), st.sampled_from(CLIENTS)),
    st.tuples(st.just("connect"), st.sampled_from(CLIENTS), st.sampled_from(["L", "L", "nobody"])),
    st.tuples(st.just("connect"), st.sampled_from([*SERVERS, "L"]), st.just("L")),
    st.tuples(st.just("accept"), st.sampled_from(SERVERS), st.sampled_from(["L", "L", "L", "c"])),
    st.tuples(st.just("send"), st.sampled_from(ENDS), st.integers(0, 60)),
    st.tuples(st.just("recv"), st.sampled_from(ENDS), st.integers(0, 90)),
    st.tuples(st.just("peek"), st.sampled_from(ENDS), st.integers(0, 90)),
    st.tuples(st.sampled_from(["shutdown", "close", "abort", "error", "name"]), st.sampled_from(ENDS)),
    st.tuples(st.just("poll"), st.sampled_from(["L", *ENDS]), st.sampled_from([0, *EVENTS.values()])),
    st.tuples(st.sampled_from(["close", "shutdown", "listen_again"]), st.just("L")),
    st.tuples(st.just("starved"), st.sampled_from(SERVERS), st.just("accept"), st.just("L")),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 3), st.lists(DRAWN, max_size=30))
def test_drawn_scripts(backlog: int, script: list[Step]) -> None:
    played: list[Step] = [("listen", "L", backlog), ("connect", "c", "L"), ("accept", "s", "L"), *script]
    assert on_virtual(played) == on_loopback(played)
