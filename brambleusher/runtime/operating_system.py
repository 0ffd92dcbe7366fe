"""The operating system, as `runtime/system.py` words it."""

from __future__ import annotations

import errno
import select
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable
from types import FrameType

import greenlet

from brambleusher.runtime.signal_holding import take_held_signal
from brambleusher.runtime.sinks import DescriptorSink, FileSink, UdpSink
from brambleusher.runtime.system import Address, Poller, Sink, Socket, Waker, Worker

TCP_INFO_BYTES, LAST_DATA_RECEIVED = 104, 52  # tcp(7), linux/tcp.h: tcpi_last_data_recv, in ms


class PairWaker:
    """Two connected sockets: what is written to one makes the other readable."""

    def __init__(self) -> None:
        self._in, self._out = socket.socketpair()
        self._in.setblocking(False)
        self._out.setblocking(False)

    def fileno(self) -> int:
        """Return the descriptor to watch for `READ`."""
        return self._in.fileno()

    def wake(self) -> None:
        """Make it readable; safe in a signal handler."""
        try:
            self._out.send(b"x")
        except OSError:
            return

    def clear(self) -> None:
        """Make it unreadable again."""
        try:
            self._in.recv(4096)
        except BlockingIOError:
            return

    def close(self) -> None:
        """Close both."""
        self._in.close()
        self._out.close()


class ThreadWorker:
    """A daemon thread; it touches no greenlet and nothing of the scheduler's."""

    def __init__(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> None:
        self._due, self._turn = due, turn
        self.lock = threading.Lock()
        self._wake = threading.Condition(self.lock)
        self._ending = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def wake(self) -> None:
        """Something may be due; the lock is held."""
        self._wake.notify()

    def end(self, seconds: float) -> None:
        """Have what is due done and stop; waits no longer than that."""
        with self._wake:
            self._ending = True
            self._wake.notify()
        self._thread.join(seconds)

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._due():
                    if self._ending:
                        return
                    self._wake.wait()
            self._turn()


class RealSystem:
    """This process on its machine."""

    # Builtins as they are: no call of ours stands between a task and the clock.
    monotonic = staticmethod(time.monotonic)
    monotonic_ns = staticmethod(time.monotonic_ns)
    wall_ns = staticmethod(time.time_ns)
    sleep = staticmethod(time.sleep)
    greenlet = staticmethod(greenlet.greenlet)

    def poller(self) -> Poller:
        """Make a new set of descriptors."""
        return select.poll()

    def waker(self) -> Waker:
        """Make a new pair of sockets."""
        return PairWaker()

    def listen(self, address: Address, backlog: int) -> Socket:
        """Make a socket that listens; raises `OSError`."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(address)
            listener.listen(backlog)
        except BaseException:
            listener.close()
            raise
        return listener

    def adopt(self, fd: int) -> Socket:
        """Take over a listening socket that this process was given; raises `OSError` where it is none."""
        listener = socket.socket(fileno=fd)
        try:
            if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(errno.EINVAL, "it does not listen")
            listener.setblocking(False)
            listener.set_inheritable(False)
        except BaseException:
            listener.detach()  # not ours after all
            raise
        return listener

    def accept(self, listener: Socket) -> tuple[Socket, str]:
        """Accept a connection that waits, with its peer's host; raises `BlockingIOError` and `OSError`."""
        assert isinstance(listener, socket.socket)
        sock, peer = listener.accept()
        try:
            self._prepare(sock)
        except OSError:  # reset before it was looked at
            sock.close()
            raise
        return sock, str(peer[0])

    def connection(self) -> Socket:
        """Make a socket that is not connected yet; raises `OSError`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._prepare(sock)
        return sock

    @staticmethod
    def _prepare(sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def reset(self, sock: Socket) -> None:
        """Close a connection so that its other end sees a reset."""
        assert isinstance(sock, socket.socket)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        finally:
            sock.close()

    def error_of(self, sock: Socket) -> int:
        """Take the error that waits on a socket; 0 for none."""
        assert isinstance(sock, socket.socket)
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def seconds_since_data(self, sock: Socket) -> float:
        """Seconds since bytes last came on a connection, read or not; 0 where the machine does not tell."""
        assert isinstance(sock, socket.socket)
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            (milliseconds,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED)
        except (OSError, struct.error):
            return 0.0
        return float(milliseconds) / 1000

    def set_unacknowledged_timeout(self, sock: Socket, seconds: float) -> None:
        """Have a connection fail once bytes sent, or probes, stay unacknowledged for so long."""
        assert isinstance(sock, socket.socket)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        except OSError:
            return  # the machine has no such bound: deadlines are left

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Have a signal handled."""

        def handler(_number: int, _frame: FrameType | None) -> None:
            call()

        signal.signal(number, handler)
        if take_held_signal(number):
            call()

    def worker(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> Worker:
        """Start a thread."""
        return ThreadWorker(name, due, turn)

    def descriptor_sink(self, fd: int) -> Sink:
        """Make a sink of an open descriptor, such as standard error."""
        return DescriptorSink(fd)

    def file_sink(self, path: str) -> Sink:
        """Make a sink of a file that is opened anew for each write."""
        return FileSink(path)

    def datagram_sink(self, address: Address) -> Sink:
        """Datagrams of whole lines to one address."""
        return UdpSink(address)
