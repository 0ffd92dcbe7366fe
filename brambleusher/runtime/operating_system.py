"""Implements the `System` interface of `runtime/system.py` on the operating system."""

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

# From linux/tcp.h and tcp(7): the bytes of tcp_info, and the offsets of tcpi_last_data_recv in milliseconds,
# of tcpi_rtt in microseconds, and of tcpi_total_retrans.
TCP_INFO_BYTES, LAST_DATA_RECEIVED, ROUND_TRIP, RETRANSMISSIONS = 104, 52, 68, 100
SYN_ACK_RETRANSMIT_S = 1.0  # time until an unanswered SYN-ACK is sent again: RFC 6298, section 2


def _tcp_info(sock: socket.socket, offset: int) -> int:
    """Return a field of a connection's tcp_info; 0 if the operating system does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (value,) = struct.unpack_from("=I", info, offset)
    except (OSError, struct.error):
        return 0
    return int(value)


class PairWaker:
    """A waker made of two connected sockets; a write to one makes the other readable."""

    def __init__(self) -> None:
        self._in, self._out = socket.socketpair()
        self._in.setblocking(False)
        self._out.setblocking(False)

    def fileno(self) -> int:
        """Return the descriptor to watch for `READ`."""
        return self._in.fileno()

    def wake(self) -> None:
        """Make the waker's descriptor readable; safe in a signal handler."""
        try:
            self._out.send(b"x")
        except OSError:
            return

    def clear(self) -> None:
        """Reset the waker's descriptor to not readable."""
        try:
            self._in.recv(4096)
        except BlockingIOError:
            return

    def close(self) -> None:
        """Close both sockets."""
        self._in.close()
        self._out.close()


class ThreadWorker:
    """A worker on a daemon thread, which must not use greenlets or the scheduler."""

    def __init__(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> None:
        self._due, self._turn = due, turn
        self.lock = threading.Lock()
        self._wake = threading.Condition(self.lock)
        self._ending = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def wake(self) -> None:
        """Make the thread check `due`; the caller holds the lock."""
        self._wake.notify()

    def end(self, seconds: float) -> None:
        """Finish the due work and stop, waiting at most `seconds`."""
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
    """The `System` of the operating system that this process runs on."""

    # Builtins are used directly, without a wrapper call, as tasks read the clock often.
    monotonic = staticmethod(time.monotonic)
    monotonic_ns = staticmethod(time.monotonic_ns)
    wall_ns = staticmethod(time.time_ns)
    sleep = staticmethod(time.sleep)
    greenlet = staticmethod(greenlet.greenlet)

    def __init__(self) -> None:
        self._reserved: dict[Address, socket.socket] = {}

    def poller(self) -> Poller:
        """Create an empty poll set of descriptors."""
        return select.poll()

    def waker(self) -> Waker:
        """Create a waker from a pair of sockets."""
        return PairWaker()

    def reserve(self, address: Address) -> None:
        """Bind an address for a later call of `listen`; raise `OSError` if it can't be bound.

        Until then connections to the address are refused, and no other process can bind it.
        """
        sock = self._bind(address)
        # Of two sockets that may reuse an address, neither of which listens, both could be bound.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        self._reserved[address] = sock

    def listen(self, address: Address, backlog: int) -> Socket:
        """Create a listening socket; raise `OSError` if the address can't be bound."""
        reserved = self._reserved.pop(address, None)
        listener = self._bind(address) if reserved is None else reserved
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.listen(backlog)
        except BaseException:
            listener.close()
            raise
        return listener

    @staticmethod
    def _bind(address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
        except BaseException:
            sock.close()
            raise
        return sock

    def adopt(self, fd: int) -> Socket:
        """Adopt an inherited listening socket; raise `OSError` if the descriptor is not one."""
        listener = socket.socket(fileno=fd)
        try:
            if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(errno.EINVAL, "the socket does not listen")
            listener.setblocking(False)
            listener.set_inheritable(False)
        except BaseException:
            listener.detach()  # leave the descriptor open, as it was not adopted
            raise
        return listener

    def accept(self, listener: Socket) -> tuple[Socket, str]:
        """Accept a pending connection with its peer's host; raise `BlockingIOError` or `OSError`."""
        assert isinstance(listener, socket.socket)
        sock, peer = listener.accept()
        try:
            self._prepare(sock)
        except OSError:  # the connection was reset in the meantime
            sock.close()
            raise
        return sock, str(peer[0])

    def connection(self) -> Socket:
        """Create an unconnected socket; raise `OSError` if no descriptor is free."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._prepare(sock)
        return sock

    @staticmethod
    def _prepare(sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def reset(self, sock: Socket) -> None:
        """Close a connection with a TCP reset."""
        assert isinstance(sock, socket.socket)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        finally:
            sock.close()

    def error_of(self, sock: Socket) -> int:
        """Return and clear the pending error of a socket; 0 means no error."""
        assert isinstance(sock, socket.socket)
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def seconds_since_data(self, sock: Socket) -> float:
        """Return the seconds since data last arrived on a connection, read or unread; 0 if unknown."""
        assert isinstance(sock, socket.socket)
        return _tcp_info(sock, LAST_DATA_RECEIVED) / 1e3

    def seconds_to_open(self, sock: Socket) -> float:
        """Return the seconds that an accepted connection took to open, at least; 0 if unknown."""
        assert isinstance(sock, socket.socket)
        round_trip_s = _tcp_info(sock, ROUND_TRIP) / 1e6
        is_late = _tcp_info(sock, RETRANSMISSIONS) > 0
        return max(round_trip_s, SYN_ACK_RETRANSMIT_S) if is_late else round_trip_s

    def set_unacknowledged_timeout(self, sock: Socket, seconds: float) -> None:
        """Make a connection fail when sent bytes or probes stay unacknowledged for `seconds`."""
        assert isinstance(sock, socket.socket)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        except OSError:
            return  # unsupported by this operating system; only the deadlines apply

    def on_signal(self, number: int, callback: Callable[[], None]) -> None:
        """Call a function whenever a signal arrives."""

        def handler(_number: int, _frame: FrameType | None) -> None:
            callback()

        signal.signal(number, handler)
        if take_held_signal(number):
            callback()

    def worker(self, name: str, due: Callable[[], bool], turn: Callable[[], None]) -> Worker:
        """Start a worker on a daemon thread."""
        return ThreadWorker(name, due, turn)

    def descriptor_sink(self, fd: int) -> Sink:
        """Create a sink that writes to an open descriptor, such as standard error."""
        return DescriptorSink(fd)

    def file_sink(self, path: str) -> Sink:
        """Create a sink that reopens a file for each write."""
        return FileSink(path)

    def datagram_sink(self, address: Address) -> Sink:
        """Create a sink that sends datagrams of complete lines to one address."""
        return UdpSink(address)
