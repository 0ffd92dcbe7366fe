"""TCP in virtual time: sockets, listeners, links and their faults.

A connection carries bytes, not packets. A process sees the same errno values and poll bits as on Linux:
`tests/test_network_differential.py` plays the same scripts on both. The names of states and errors are those
of tcp(7), poll(2) and RFC 9293.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from brambleusher.runtime.system import PEEK, READ, SHUTDOWN_WRITE, WRITE, Address

if TYPE_CHECKING:
    from brambleusher.lab.virtual.world import Machine, Process, World

ERR, HUP, NVAL = 8, 16, 32  # POLLERR, POLLHUP and POLLNVAL of poll(2)
CLIENT, SERVER = "client", "server"
FIN, RESET = "fin", "reset"
SECOND = 1_000_000_000
ACK_CHECK_INTERVAL_NS = 1_000_000  # time between two checks for acknowledgements while none come through
FIRST_PORT, LAST_PORT = 32768, 60999  # Linux's range of ephemeral ports
ANY, LOCAL = "0.0.0.0", "127.0.0.1"
# Times at which an unanswered SYN is sent again and the connect times out, in seconds after the first SYN:
# Linux with tcp_syn_retries=6 and tcp_syn_linear_timeouts=4.
SYN_RETRIES_S = (1, 2, 3, 4, 5, 7, 11, 19, 35, 67)
CONNECT_TIMEOUT_S = 131
MIN_RETRANSMIT_NS = 200_000_000  # Linux's minimum retransmission timeout
RETRANSMIT_TIMEOUT_NS = 924 * SECOND  # time after which Linux gives up retransmitting, with tcp_retries2=15


class State:
    """States of a socket, as far as a process can distinguish them."""

    CLOSE: Final = 0
    SYN_SENT: Final = 1
    SYN_RECV: Final = 2
    OPEN: Final = 3  # ESTABLISHED and all later states, which `fin_in` and `shut_send` distinguish


class ConnectState:
    """States of a socket with regard to connect(2), as Linux keeps them in `SS_...` constants."""

    UNCONNECTED: Final = 0
    CONNECTING: Final = 1  # lasts until a second connect(2) call reports the success
    CONNECTED: Final = 2
    DISCONNECTING: Final = 3


class End(NamedTuple):
    """One end of a connection."""

    machine: str
    ip: str
    port: int


class Connection:
    """A connection with both its sockets, from the start of the connect on."""

    __slots__ = ("asked_ns", "blackholed", "client", "client_socket", "id", "server", "server_socket")

    def __init__(self, number: int, client: End, server: End, asked_ns: int) -> None:
        self.id, self.client, self.server, self.asked_ns = number, client, server, asked_ns
        self.client_socket: VirtualSocket | None = None
        self.server_socket: VirtualSocket | None = None
        self.blackholed = False

    def __repr__(self) -> str:
        """Describe the connection by its number, machines and ports."""
        one, other = self.client, self.server
        return f"#{self.id} {one.machine}:{one.port} > {other.machine}:{other.port}"


class Link:
    """One direction of the path between two machines."""

    __slots__ = ("_random", "down", "extra_ns", "from_", "jitter_ns", "latency_ns", "partitioned", "to")

    def __init__(self, world: World, from_: Machine, to: Machine) -> None:
        self.from_, self.to = from_, to
        settings = world.settings
        rng = world.stream(f"link {from_.name} {to.name}")
        if from_ is to:
            low, high = settings.loopback_ns
        else:
            low, high = settings.latency_ns
        self.latency_ns = rng.randint(low, high)
        self.jitter_ns = min(settings.jitter_ns, self.latency_ns) if from_ is to else settings.jitter_ns
        self.extra_ns = 0
        self._random = rng.random
        self.partitioned = False
        self.down = False
        self.update_down()

    def update_down(self) -> None:
        """Recompute whether the link is down."""
        self.down = self.partitioned or self.from_.has_vanished or self.to.has_vanished

    def delay(self) -> int:
        """Draw the transmission delay of the next bytes, in nanoseconds."""
        return self.latency_ns + self.extra_ns + int(self._random() * self.jitter_ns)

    def random(self) -> float:
        """Draw a number from 0 to 1 from this link's own random stream."""
        return self._random()


def os_error(number: int) -> OSError:
    """Build the `OSError` that the operating system raises for an error number."""
    return OSError(number, os.strerror(number))


def parse_octets(host: str) -> list[int]:
    """Return the four numbers of an IPv4 address.

    A host name raises the error of a failed lookup, because the simulated network has no names.
    """
    parts = host.split(".")
    if not all(octet.isascii() and octet.isdigit() and int(octet) < 256 for octet in parts):
        raise OSError(-2, "Name or service not known")
    return [int(octet) for octet in parts]


class Killed(BaseException):
    """Raised by every system call of a process that has ended."""


class VirtualListener:
    """A listening socket."""

    __slots__ = ("backlog", "fd", "host", "machine", "open", "port", "process", "queue")

    def __init__(self, machine: Machine, process: Process, host: str, port: int, backlog: int) -> None:
        self.machine, self.process, self.host, self.port, self.backlog = machine, process, host, port, backlog
        self.fd = -1
        self.queue: deque[VirtualSocket] = deque()
        self.open = True

    # --- methods of `runtime.system.Socket` -----------------------------------------------------

    def fileno(self) -> int:
        """Return the socket's descriptor; -1 once the socket is closed."""
        return self.fd

    def connect_ex(self, address: Address, /) -> int:
        """Return `EISCONN`, as Linux does for a listening socket."""
        self._check()
        return errno.EISCONN

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Raise `ENOTCONN`, as Linux does for a listening socket."""
        self._check()
        if not size:
            return b""
        raise os_error(errno.ENOTCONN)

    def send(self, data: bytes | memoryview, /) -> int:
        """Raise `EPIPE`, as Linux does for a listening socket."""
        self._check()
        raise os_error(errno.EPIPE)

    def shutdown(self, how: int, /) -> None:
        """Do nothing: shutting down the sending side of a listening socket has no effect."""
        self._check()

    def getsockname(self) -> Address:
        """Return the host and port on which the socket listens."""
        self._check()
        return self.host, self.port

    def close(self) -> None:
        """Close the socket; connections that wait to be accepted are reset."""
        if self.fd < 0 or self.process.dead:
            return
        self.process.release(self.fd)
        self.fd = -1
        self.detach(False)

    def _check(self) -> None:
        if self.process.dead:
            raise Killed
        if self.fd < 0:
            raise os_error(errno.EBADF)

    # --- methods for the world ------------------------------------------------------------------

    def mask(self) -> int:
        """Return the socket's current poll bits."""
        return READ if self.queue else 0

    @property
    def full(self) -> bool:
        """Whether the accept queue is full."""
        return len(self.queue) > self.backlog

    def detach(self, abort: bool) -> None:
        """Release the socket after its process has closed it or has ended."""
        self.open = False
        self.machine.listeners.pop(self.port, None)
        while self.queue:
            self.queue.popleft().detach(True)

    def vanish(self) -> None:
        """Drop the socket with its machine, without a word to the peers."""
        self.open = False
        self.machine.listeners.pop(self.port, None)
        while self.queue:
            self.queue.popleft().vanish()


class VirtualSocket:
    """One end of a connection, or a socket that is not connected."""

    __slots__ = (
        "_pump_due", "_unacked", "_unsent", "_unsent_size", "_used", "_want_write", "_window",
        "_window_updates", "_write_due", "answered_ns", "conn", "connect_state", "err", "fd",
        "fin_acked_ns", "fin_in", "fin_out", "fin_queued", "host", "last_arrival", "link", "machine",
        "network", "opened_ns", "orphan", "peer", "port", "process", "received_ns", "rx", "rx_size",
        "shut_receive", "shut_send", "side", "state", "unacknowledged_timeout_ns", "undelivered",
        "undelivered_since", "world",
    )  # fmt: skip

    def __init__(self, network: Network, machine: Machine, process: Process | None, state: int) -> None:
        self.network, self.world = network, network.world
        self.machine, self.process, self.state = machine, process, state
        self.fd = -1
        self.host, self.port = ANY, 0
        self.conn: Connection | None = None
        self.side = CLIENT
        self.peer: VirtualSocket | None = None
        self.link: Link | None = None  # link towards the peer
        self.connect_state = ConnectState.UNCONNECTED if state == State.CLOSE else ConnectState.CONNECTED
        self.err = 0
        # `shut_receive` and `shut_send` are the bits of Linux's sk_shutdown; `fin_in` and `fin_out` record
        # whether a FIN was received and sent.
        self.shut_receive = self.shut_send = self.fin_in = self.fin_out = self.orphan = False
        self.rx: deque[bytes] = deque()
        self.rx_size = 0
        # Send buffer: `_used` counts the bytes taken from the process and not acknowledged. Those among them
        # that did not fit into the peer's window wait in `_unsent`.
        self._used = self._unsent_size = 0
        self._unsent: deque[bytes] = deque()
        # Acknowledgements on their way, and window updates on their way: time of arrival, number of bytes.
        self._unacked: deque[tuple[int, int]] = deque()
        self._window = network.settings.receive_buffer
        self._window_updates: deque[tuple[int, int]] = deque()
        self._pump_due = self._write_due = 0  # times of the scheduled pump and write events; 0 for none
        self._want_write = False
        self.fin_queued = False
        self.fin_acked_ns = 0
        self.last_arrival = 0
        self.answered_ns = self.opened_ns = 0  # times of the SYN-ACK and of its acknowledgement; 0 for none
        self.received_ns = 0  # time of the last received bytes on the world's monotonic clock; 0 for none
        self.undelivered: list[Any] = []  # bytes and FIN that a fault keeps from the peer, in order
        self.undelivered_since = 0
        # Time after which unacknowledged bytes end the connection.
        self.unacknowledged_timeout_ns = RETRANSMIT_TIMEOUT_NS

    # --- methods of `runtime.system.Socket` -----------------------------------------------------

    def fileno(self) -> int:
        """Return the socket's descriptor; -1 once the socket is closed."""
        return self.fd

    def connect_ex(self, address: Address, /) -> int:
        """Begin to connect, or report the progress of the connect as a repeated connect(2) call does."""
        process = self.process
        if process is None or process.dead:
            raise Killed
        if self.fd < 0:
            return errno.EBADF
        if self.connect_state == ConnectState.CONNECTED:
            return errno.EISCONN
        if self.connect_state == ConnectState.DISCONNECTING:
            return errno.EINVAL
        if self.connect_state == ConnectState.CONNECTING:
            if self.state == State.SYN_SENT:
                return errno.EALREADY
            if self._closed():
                code, self.err = self.err or errno.ECONNABORTED, 0
                self.disconnect()
                return code
            self.connect_state = ConnectState.CONNECTED
            return 0
        return self._connect(address)

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Read at most `size` bytes, none at the end of the stream; with `PEEK` the bytes stay unread."""
        process = self.process
        if process is None or process.dead:
            raise Killed
        if size <= 0:
            if size < 0:
                raise ValueError("negative buffersize in recv")
            return b""
        if self.fd < 0:
            raise os_error(errno.EBADF)
        if self.rx:
            return self._read(size, flags & PEEK != 0)
        if self.fin_in:
            return b""
        if self.err:
            code, self.err = self.err, 0
            raise os_error(code)
        if self.shut_receive:
            return b""
        if self.state == State.CLOSE:
            raise os_error(errno.ENOTCONN)
        raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")

    def send(self, data: bytes | memoryview, /) -> int:
        """Send bytes and return how many the send buffer took."""
        process = self.process
        if process is None or process.dead:
            raise Killed
        if self.fd < 0:
            raise os_error(errno.EBADF)
        if self.state != State.OPEN or self.shut_send or self.err:
            if self.err:
                code, self.err = self.err, 0
                raise os_error(code)
            if self.state == State.SYN_SENT:
                raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
            raise os_error(errno.EPIPE)
        size = len(data)
        if not size:
            return 0
        network = self.network
        settings = network.settings
        free = settings.send_buffer - self._used
        if free < size:
            self._absorb_acks()
            free = settings.send_buffer - self._used
            if free <= 0:
                raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        if size > 1 and settings.short_send and self.link.random() < settings.short_send:  # type: ignore[union-attr]
            free = min(free, 1 + int(self.link.random() * (size - 1)))  # type: ignore[union-attr]
        taken = bytes(data) if free >= size else bytes(data[:free])
        size = len(taken)
        world = self.world
        if world.taps:
            world.notify_taps("sent", self.conn, self.side, taken)
        self._used += size
        if self._unsent or size > self._window:
            self._unsent.append(taken)
            self._unsent_size += size
            self._pump()
        else:
            self._window -= size
            self._transmit(taken)
        return size

    def shutdown(self, how: int, /) -> None:
        """Shut down the sending side with `SHUTDOWN_WRITE`; the peer gets all sent bytes, then a FIN."""
        process = self.process
        if process is None or process.dead:
            raise Killed
        if self.fd < 0:
            raise os_error(errno.EBADF)
        if how != SHUTDOWN_WRITE:
            raise os_error(errno.EINVAL)
        closed = self._closed()
        if self.connect_state == ConnectState.CONNECTING:
            self.connect_state = (
                ConnectState.CONNECTED if self.state == State.OPEN else ConnectState.DISCONNECTING
            )
        if self.state == State.SYN_SENT:
            self.disconnect()
            self.err = errno.ECONNRESET
        else:
            self.shut_send = True
        self.notify()
        if closed:
            raise os_error(errno.ENOTCONN)
        if self.state == State.OPEN:
            self._send_fin()

    def getsockname(self) -> Address:
        """Return the local host and port."""
        if self.fd < 0:
            raise os_error(errno.EBADF)
        return self.host, self.port

    def close(self) -> None:
        """Close the socket; unread bytes make the close a reset."""
        process = self.process
        if self.fd < 0 or process is None or process.dead:
            return
        process.release(self.fd)
        self.fd = -1
        self.detach(False)

    def abort(self) -> None:
        """Close the socket with a reset, as SO_LINGER with a timeout of 0 does."""
        process = self.process
        if process is None or process.dead:
            raise Killed
        if self.fd < 0:
            raise os_error(errno.EBADF)
        process.release(self.fd)
        self.fd = -1
        self.detach(True)

    def take_error(self) -> int:
        """Return and clear the socket's pending error, as SO_ERROR does; 0 for none."""
        if self.fd < 0:
            raise os_error(errno.EBADF)
        code, self.err = self.err, 0
        return code

    # --- methods for the poller -----------------------------------------------------------------

    def mask(self) -> int:
        """Return the socket's current poll bits."""
        mask = ERR if self.err else 0
        state = self.state
        if state == State.SYN_SENT:
            return mask
        if state == State.CLOSE or (self.shut_receive and self.shut_send):
            mask |= HUP
        if self.rx or self.shut_receive:
            mask |= READ
        if self.shut_send or state == State.CLOSE or self._writable():
            mask |= WRITE
        return mask

    def want_write(self) -> None:
        """Arrange a notification once the socket is writable."""
        self._want_write = True
        self._arm_write()

    def _writable(self) -> bool:
        # Linux reports a socket as writable once at least a third of its buffer is free.
        most = self.network.settings.send_buffer
        if self._used * 3 <= most * 2:
            return True
        self._absorb_acks()
        return self._used * 3 <= most * 2

    def _arm_write(self) -> None:
        """Schedule an event for the time at which the socket becomes writable, if that time is known."""
        if self._write_due:
            return
        most = self.network.settings.send_buffer * 2
        used = self._used
        for when, size in self._unacked:
            used -= size
            if used * 3 <= most:
                # While a fault cuts off acknowledgements, check at intervals: their arrival time is unknown.
                pause = 1 if self._acknowledged() else ACK_CHECK_INTERVAL_NS
                self._write_due = max(when, self.world.now_ns + pause)
                self.world.push(self._write_due, self._write_event)
                return

    def _write_event(self) -> None:
        self._write_due = 0
        if self._want_write:
            if self._writable():
                self._want_write = False
                self.notify()
            else:
                self._arm_write()

    def notify(self) -> None:
        """Tell the process's pollers that the socket's poll bits may have changed."""
        if self.fd >= 0 and self.process is not None:
            self.process.notify_pollers(self.fd)

    # --- receiving ------------------------------------------------------------------------------

    def _read(self, size: int, peek: bool) -> bytes:
        rx = self.rx
        if peek:
            return b"".join(rx)[:size]
        world, settings = self.world, self.network.settings
        size = min(size, self.rx_size)
        if size > 1 and settings.short_receive and self.link.random() < settings.short_receive:  # type: ignore[union-attr]
            size = 1 + int(self.link.random() * (size - 1))  # type: ignore[union-attr]
        first = rx.popleft()
        if len(first) > size:
            rx.appendleft(first[size:])
            data = first[:size]
        elif len(first) == size:
            data = first
        else:
            parts, left = [first], size - len(first)
            while left > 0:
                part = rx.popleft()
                if len(part) > left:
                    rx.appendleft(part[left:])
                    part = part[:left]
                parts.append(part)
                left -= len(part)
            data = b"".join(parts)
        self.rx_size -= size
        if world.taps:
            world.notify_taps("read", self.conn, self.side, data)
        peer = self.peer
        if peer is not None and self.state == State.OPEN:
            peer.add_window_update(world.now_ns + self.link.latency_ns, size)  # type: ignore[union-attr]
        return data

    def add_window_update(self, when: int, size: int) -> None:
        """Record a window update of `size` bytes that arrives at the time `when`."""
        self._window_updates.append((when, size))
        if self._unsent:
            self._pump_at(when)
        elif len(self._window_updates) > 64:
            self._absorb_window_updates()

    # --- sending --------------------------------------------------------------------------------

    def _absorb_window_updates(self) -> None:
        now, credits = self.world.now_ns, self._window_updates
        while credits and credits[0][0] <= now:
            self._window += credits.popleft()[1]

    def _acknowledged(self) -> bool:
        """Tell whether the peer's acknowledgements can reach this end."""
        peer = self.peer
        if peer is None or peer.link is None or peer.link.down:
            return False
        return self.conn is None or not self.conn.blackholed

    def _absorb_acks(self) -> None:
        if not self._acknowledged():
            return
        now, unacked = self.world.now_ns, self._unacked
        while unacked and unacked[0][0] <= now:
            self._used -= unacked.popleft()[1]

    def _pump_at(self, when: int) -> None:
        if not self._pump_due or when < self._pump_due:
            self._pump_due = when
            self.world.push(when, self._pump_event, when)

    def _pump_event(self, when: int) -> None:
        if self._pump_due == when:
            self._pump_due = 0
            self._pump()

    def _pump(self) -> None:
        """Transmit unsent bytes that fit into the peer's window."""
        if self.state != State.OPEN:
            return
        self._absorb_window_updates()
        unsent = self._unsent
        while unsent and self._window > 0:
            part = unsent.popleft()
            if len(part) > self._window:
                unsent.appendleft(part[self._window :])
                part = part[: self._window]
            self._window -= len(part)
            self._unsent_size -= len(part)
            self._transmit(part)
        if unsent:
            if self._window_updates:
                self._pump_at(self._window_updates[0][0])
        elif self.fin_queued:
            self.fin_queued = False
            self.send_segment(FIN)

    def _transmit(self, data: bytes) -> None:
        link, settings = self.link, self.network.settings
        if link is None:
            return
        size = len(data)
        if size > 1 and settings.split and link.random() < settings.split:
            at = 1 + int(link.random() * (size - 1))
            self.send_segment(data[:at])
            self.send_segment(data[at:])
        else:
            self.send_segment(data)

    def send_segment(self, what: Any) -> None:
        """Send bytes, a FIN or a reset to the peer, behind everything sent before."""
        when = self.world.now_ns + self.link.delay()  # type: ignore[union-attr]
        if when <= self.last_arrival:
            when = self.last_arrival + 1
        self.last_arrival = when
        self.world.push(when, self._arrive, what)

    def _arrive(self, what: Any) -> None:
        """Handle the arrival of bytes, a FIN or a reset at the peer's machine."""
        conn, peer = self.conn, self.peer
        if conn is None or peer is None:
            return
        if self.link.down or conn.blackholed:  # type: ignore[union-attr]
            if what is not RESET:  # TCP never retransmits a reset
                self._keep_undelivered(what)
        elif what is not RESET and (self.undelivered or peer.state == State.SYN_RECV):
            self._keep_undelivered(what)
        else:
            self._deliver(what)

    def _keep_undelivered(self, what: Any) -> None:
        if not self.undelivered:
            now = self.undelivered_since = self.world.now_ns
            self.network.with_undelivered[self] = None
            self.world.push(now + self.unacknowledged_timeout_ns, self._unacknowledged, now)
        self.undelivered.append(what)

    def _unacknowledged(self, since: int) -> None:
        """Time out the connection if undelivered bytes have stayed unacknowledged since the time `since`."""
        if self.undelivered and self.undelivered_since == since and not self._closed():
            self.handle_reset(errno.ETIMEDOUT)

    def deliver_undelivered(self) -> None:
        """Deliver everything held back by a fault, if the link passes it now."""
        conn, peer = self.conn, self.peer
        if conn is None or peer is None or self.link.down or conn.blackholed:  # type: ignore[union-attr]
            return
        if peer.state == State.SYN_RECV:
            return
        self.network.with_undelivered.pop(self, None)
        undelivered, self.undelivered = self.undelivered, []
        for what in undelivered:
            self._deliver(what)

    def _deliver(self, what: Any) -> None:
        world, conn, peer = self.world, self.conn, self.peer
        if peer is None or conn is None:
            return
        if what is RESET:
            self.undelivered.clear()
            self.network.with_undelivered.pop(self, None)
            peer.handle_reset()
            return
        if peer._closed():
            peer.send_reset()
            return
        if what is FIN:
            self.fin_acked_ns = world.now_ns + peer.link.latency_ns  # type: ignore[union-attr]
            if world.taps:
                world.notify_taps("ended", conn, peer.side, FIN)
            peer.fin_in = peer.shut_receive = True
            peer.notify()
            return
        if peer.orphan:
            # RFC 1122, 4.2.2.13: a socket that its process has closed answers bytes with a reset.
            peer.state = State.CLOSE
            peer.drop_unsent()
            peer.send_reset()
            return
        size = len(what)
        self._unacked.append((world.now_ns + peer.link.latency_ns, size))  # type: ignore[union-attr]
        if self._want_write:
            self._arm_write()
        if world.taps:
            world.notify_taps("arrived", conn, peer.side, what)
        peer.rx.append(what)
        peer.received_ns = world.now_ns
        peer.rx_size += size
        peer.notify()

    def send_reset(self) -> None:
        """Answer bytes for a closed connection with a reset."""
        if self.link is not None:
            self.send_segment(RESET)

    # --- closing --------------------------------------------------------------------------------

    def _closed(self) -> bool:
        """Tell whether the state is CLOSE, which follows once both FINs are sent and acknowledged."""
        if (
            self.state == State.OPEN
            and self.fin_in
            and self.fin_acked_ns
            and self.world.now_ns >= self.fin_acked_ns
        ):
            self.state = State.CLOSE
        return self.state == State.CLOSE

    def _send_fin(self) -> None:
        """Send a FIN once, behind all unsent bytes."""
        if self.fin_out:
            return
        self.fin_out = True
        if self._unsent:
            self.fin_queued = True
        else:
            self.send_segment(FIN)

    def drop_unsent(self) -> None:
        """Discard the send buffer and everything held back by a fault."""
        self._unsent.clear()
        self._unacked.clear()
        self._used = self._unsent_size = 0
        self.fin_queued = False
        self.undelivered.clear()
        self.network.with_undelivered.pop(self, None)

    def handle_reset(self, why: int = 0) -> None:
        """Close the connection after a reset, or after the error `why` if one is given."""
        if self._closed():
            return
        if why:
            self.err = why
        elif self.state == State.SYN_SENT:
            self.err = errno.ECONNREFUSED
        elif self.fin_in and not self.fin_out:
            self.err = errno.EPIPE
        else:
            self.err = errno.ECONNRESET
        self.state = State.CLOSE
        self.shut_receive = self.shut_send = True
        self.drop_unsent()
        if not why and self.world.taps and self.conn is not None:
            self.world.notify_taps("ended", self.conn, self.side, RESET)
        self.notify()

    def detach(self, abort: bool) -> None:
        """Release the socket after its process has closed it or has ended; `abort` sends a reset."""
        if self.orphan:
            return
        self.orphan = True
        unread = self.rx_size > 0
        self.rx.clear()
        self.rx_size = 0
        world, conn = self.world, self.conn
        if conn is not None and world.taps and self.process is not None:
            world.notify_taps("closed", conn, self.side)
        if self._closed():
            return
        if self.state != State.OPEN:
            self.state = State.CLOSE
        elif unread or (abort and not (self.fin_in and self.fin_out and not self._unsent)):
            self.state = State.CLOSE
            self.drop_unsent()
            self.send_segment(RESET)
        else:
            self.shut_receive = self.shut_send = True
            self._send_fin()

    def vanish(self) -> None:
        """Drop the socket with its machine, without a word to the peer."""
        self.orphan = True
        self.state = State.CLOSE
        self.rx.clear()
        self.rx_size = 0
        self.drop_unsent()

    def disconnect(self) -> None:
        """Return to the unconnected state, as after a failed connect."""
        self.state = State.CLOSE
        self.connect_state, self.host = ConnectState.UNCONNECTED, ANY
        self.conn = self.peer = self.link = None
        self.rx.clear()
        self.rx_size = 0
        self.drop_unsent()
        self._window_updates.clear()
        self._window = self.network.settings.receive_buffer
        self.shut_receive = self.shut_send = self.fin_in = self.fin_out = False

    # --- connecting -----------------------------------------------------------------------------

    def _connect(self, address: Address) -> int:
        network, world, machine = self.network, self.world, self.machine
        host, port = address
        octets = parse_octets(host or ANY)
        if octets[0] >= 224:
            return errno.ENETUNREACH
        if octets[0] in (0, 127):
            target: Machine | None = machine
            self.host, host = LOCAL, LOCAL if octets[0] == 0 else host
        else:
            target, self.host = network.machine_at(host), machine.ip
        self.port = machine.free_port()
        self.conn = network.new_connection(
            End(machine.name, self.host, self.port), End("" if target is None else target.name, host, port)
        )
        self.conn.client_socket = self
        self.connect_state, self.state, self.side = ConnectState.CONNECTING, State.SYN_SENT, CLIENT
        self.fin_in, self.err, self.fin_acked_ns, self.last_arrival = False, 0, 0, 0
        if world.taps:
            world.notify_taps("opened", self.conn)
        if target is None:
            world.push(world.now_ns + CONNECT_TIMEOUT_S * SECOND, self._give_up, self.conn)
            return errno.EINPROGRESS
        self.link = network.link(machine, target)
        world.push(world.now_ns + self.link.delay(), self._syn, self.conn, target, 0)
        return errno.EINPROGRESS

    def _still_connecting(self, conn: Connection) -> bool:
        return self.conn is conn and self.state == State.SYN_SENT

    def _give_up(self, conn: Connection) -> None:
        if self._still_connecting(conn):
            self.state, self.err = State.CLOSE, errno.ETIMEDOUT
            self.shut_receive = self.shut_send = True
            self.notify()

    def _retry_syn(self, conn: Connection, target: Machine, tries: int) -> None:
        """Schedule the next SYN at the time at which Linux sends it, or the timeout after the last one."""
        if not self._still_connecting(conn):
            return
        if tries >= len(SYN_RETRIES_S):
            self.world.push(conn.asked_ns + CONNECT_TIMEOUT_S * SECOND, self._give_up, conn)
            return
        when = conn.asked_ns + SYN_RETRIES_S[tries] * SECOND + self.link.delay()  # type: ignore[union-attr]
        self.world.push(max(when, self.world.now_ns + 1), self._syn, conn, target, tries + 1)

    def _syn(self, conn: Connection, target: Machine, tries: int) -> None:
        """Handle the arrival of a SYN at the target machine."""
        if not self._still_connecting(conn):
            return
        network, world = self.network, self.world
        back = network.link(target, self.machine)
        port = conn.server.port
        listener = target.listeners.get(port)
        if listener is not None and listener.host not in (ANY, conn.server.ip):
            listener = None
        if self.link.down or conn.blackholed or target.drops_connects:  # type: ignore[union-attr]
            self._retry_syn(conn, target, tries)
        elif listener is None or (target.name, port) in network.refusing:
            world.push(world.now_ns + back.delay(), self._refused, conn, back, target, tries)
        elif listener.full:
            self._retry_syn(conn, target, tries)
        else:
            world.push(world.now_ns + back.delay(), self._syn_ack, conn, back, listener, tries)

    def _refused(self, conn: Connection, back: Link, target: Machine, tries: int) -> None:
        if not self._still_connecting(conn):
            return
        if back.down or conn.blackholed:
            self._retry_syn(conn, target, tries)
            return
        self.state, self.err = State.CLOSE, errno.ECONNREFUSED
        self.shut_receive = self.shut_send = True
        if self.world.taps:
            self.world.notify_taps("refused", conn)
        self.notify()

    def _syn_ack(self, conn: Connection, back: Link, listener: VirtualListener, tries: int) -> None:
        """Handle the arrival of a SYN-ACK at the client."""
        if not self._still_connecting(conn):
            return
        if back.down or conn.blackholed:
            self._retry_syn(conn, listener.machine, tries)
            return
        self.state = State.OPEN
        server = VirtualSocket(self.network, listener.machine, None, State.SYN_RECV)
        server.conn, server.side, server.peer, server.link = conn, SERVER, self, back
        server.host, server.port = conn.server.ip, conn.server.port
        server.answered_ns = self.world.now_ns
        self.peer, conn.server_socket = server, server
        if self.world.taps:
            self.world.notify_taps("established", conn)
        when = self.world.now_ns + self.link.delay()  # type: ignore[union-attr]
        self.last_arrival = when
        self.world.push(when, server.acknowledged, listener, 0)
        self.notify()

    def acknowledged(self, listener: VirtualListener, tries: int) -> None:
        """Handle the arrival of the client's ACK: queue the connection for accept()."""
        if self.state != State.SYN_RECV:
            return
        client, conn = self.peer, self.conn
        if client is None or conn is None:
            return
        if self.machine.has_vanished:
            self.state = State.CLOSE
        elif client.link.down or conn.blackholed:  # type: ignore[union-attr]
            self._retry_ack(listener, tries)
        elif not listener.open:
            self.state = State.CLOSE
            self.send_reset()
        elif listener.full:
            # Linux ignores the ACK while the accept queue is full; the client already counts as connected.
            self._retry_ack(listener, tries)
        else:
            self.state = State.OPEN
            self.opened_ns = self.world.now_ns
            listener.queue.append(self)
            if listener.fd >= 0:
                listener.process.notify_pollers(listener.fd)
        if self.state != State.SYN_RECV and client.undelivered:
            client.deliver_undelivered()

    def _retry_ack(self, listener: VirtualListener, tries: int) -> None:
        wait = SECOND if self.peer is None or not self.peer.undelivered else MIN_RETRANSMIT_NS
        self.world.push(self.world.now_ns + (wait << min(tries, 5)), self.acknowledged, listener, tries + 1)


class Network:
    """All links and connections, with methods that inject faults into them.

    Machines are given as `Machine` or by name. Processes get no notice of an injected fault.
    """

    def __init__(self, world: World) -> None:
        self.world, self.settings = world, world.settings
        self._links: dict[tuple[str, str], Link] = {}
        self._connections = 0
        # Sockets with bytes held back by a fault, in the order in which the faults took effect.
        self.with_undelivered: dict[VirtualSocket, None] = {}
        self.refusing: dict[tuple[str, int], None] = {}

    def reachable_address(self, machine: Machine, address: Address) -> Address:
        """Return the address by which a machine reaches `address`; in virtual time they are the same."""
        return address

    def connections(self, machine: Machine) -> list[Connection]:
        """Return the connections of the last process started on a machine, sorted by descriptor."""
        process = machine.process
        if process is None or process.dead:
            return []
        sockets = [sock for _, sock in sorted(process.fds.items()) if isinstance(sock, VirtualSocket)]
        return [sock.conn for sock in sockets if sock.conn is not None]

    # --- faults ---------------------------------------------------------------------------------

    def partition(self, a: Machine | str, b: Machine | str, one_way: bool = False) -> None:
        """Drop everything sent from `a` to `b`, and from `b` to `a` unless `one_way`, without any notice."""
        self._set_partitioned(a, b, one_way, True)

    def heal(self, a: Machine | str, b: Machine | str, one_way: bool = False) -> None:
        """End a partition; bytes sent during it arrive after a delay set by TCP's retransmission timers."""
        self._set_partitioned(a, b, one_way, False)
        self.retransmit_undelivered()

    def set_link_latency(self, a: Machine | str, b: Machine | str, extra_ns: int) -> None:
        """Add `extra_ns` to the latency of both directions; 0 ends the fault."""
        one, other = self._machine(a), self._machine(b)
        for link in (self.link(one, other), self.link(other, one)):
            link.extra_ns = extra_ns

    def throttle(self, a: Machine | str, b: Machine | str, bytes_per_s: float) -> None:
        """Raise `NotImplementedError`, because virtual links have no bandwidth; use real processes."""
        raise NotImplementedError("links in virtual time can't be throttled")

    def blackhole(self, connection: Connection) -> None:
        """Drop everything sent on a connection, whose ends both stay open."""
        connection.blackholed = True

    def stop_blackholing(self, connection: Connection) -> None:
        """Let a connection pass bytes again."""
        connection.blackholed = False
        self.retransmit_undelivered()

    def reset(self, connection: Connection) -> None:
        """Reset both ends of a connection, as a middlebox might."""
        for end in (connection.client_socket, connection.server_socket):
            if end is not None and end.state != State.CLOSE:
                end.handle_reset()

    def refuse_connects(self, machine: Machine | str, port: int) -> None:
        """Refuse connects to a port, even if a process listens there."""
        self.refusing[self._machine(machine).name, port] = None

    def stop_refusing(self, machine: Machine | str, port: int) -> None:
        """Let connects to a port through again."""
        self.refusing.pop((self._machine(machine).name, port), None)

    def drop_connects(self, machine: Machine | str) -> None:
        """Leave connects to a machine unanswered; open connections keep working."""
        self._machine(machine).drops_connects = True

    def stop_dropping_connects(self, machine: Machine | str) -> None:
        """Answer connects to a machine again; pending connects succeed at their next SYN."""
        self._machine(machine).drops_connects = False

    # --- methods for the world ------------------------------------------------------------------

    def link(self, from_: Machine, to: Machine) -> Link:
        """Return the link from one machine to another, and create it on first use."""
        key = from_.name, to.name
        link = self._links.get(key)
        if link is None:
            link = self._links[key] = Link(self.world, from_, to)
        return link

    def update_down(self) -> None:
        """Recompute which links are down, after a machine has vanished or come back."""
        for link in self._links.values():
            link.update_down()

    def retransmit_undelivered(self) -> None:
        """Schedule the retransmission of undelivered bytes that can pass now, when TCP would send them."""
        now = self.world.now_ns
        for sock in list(self.with_undelivered):
            if sock.conn is None or sock.conn.blackholed or sock.link is None or sock.link.down:
                continue
            # Retransmission timeouts double, so the next try is at most as far off as the outage was long.
            longest = min(
                max(MIN_RETRANSMIT_NS, now - sock.undelivered_since), self.settings.max_retransmit_ns
            )
            self.world.push(now + 1 + int(sock.link.random() * longest), sock.deliver_undelivered)

    def machine_at(self, ip: str) -> Machine | None:
        """Return the machine with an IP address; None if there is none."""
        return self.world.machines_by_ip.get(ip)

    def new_connection(self, client: End, server: End) -> Connection:
        """Create a connection with the next number."""
        self._connections += 1
        return Connection(self._connections, client, server, self.world.now_ns)

    def _set_partitioned(self, a: Machine | str, b: Machine | str, one_way: bool, partitioned: bool) -> None:
        one, other = self._machine(a), self._machine(b)
        for link in (self.link(one, other),) if one_way else (self.link(one, other), self.link(other, one)):
            link.partitioned = partitioned
            link.update_down()

    def _machine(self, which: Machine | str) -> Machine:
        return self.world.machines[which] if isinstance(which, str) else which
