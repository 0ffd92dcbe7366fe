"""The network between real processes: every connection passes through a relay on loopback.

Each pair of machines has a listening address of its own (a `RelayRoute`).  A relay thus knows whose bytes
it forwards, and each direction of each link can be delayed, held back, reset, refused or left unanswered
separately.  Relays report what they observe to taps, as the same events as the network of virtual time.
They can't observe when a process reads; a read is reported once a later action of the process proves it.
"""

from __future__ import annotations

import errno
import select
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from brambleusher.lab.virtual.network import End
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Event, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import SHUTDOWN_WRITE, Address, Poller, Socket

if TYPE_CHECKING:
    from brambleusher.lab.processes.stage import RealMachine, RealStage

BACKLOG = 512
PENDING_BYTES_MAX = 256 * 1024  # one direction of a connection stops reading while more bytes are queued
DELAY_MIN_NS = 2_000_000  # shorter delays are skipped, since the timeout of a poll is in whole milliseconds
CROSSING_NS = 20_000_000  # bytes that arrive less than this before a close may have crossed the close
CONNECT_SECONDS = 1.0
RETRY_SECONDS = 0.001  # how long to wait before retrying a send to a full socket or a failed accept
IP_BIND_ADDRESS_NO_PORT = 24  # ip(7): bind() picks no port; connect() picks one that is unique for the peer
# Positions in the order in which the events of one batch are reported.
ORDER_FIRST, ORDER_CLOSE, ORDER_SEND, ORDER_ANSWER = range(4)


class EpollPoller:
    """The interface of `select.poll` over epoll; also records how long ready events wait for the next poll.

    Polling thousands of listeners with `select.poll` is too expensive.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._epoll, self._clock = select.epoll(), clock
        self._returned_at: float | None = None
        self.rounds: list[float] = []  # seconds from the return of each poll with events to the next poll

    def register(self, fd: int, events: int, /) -> None:
        """Watch a descriptor for events, or change the events of a watched one."""
        try:
            self._epoll.register(fd, events)
        except FileExistsError:
            self._epoll.modify(fd, events)

    def unregister(self, fd: int, /) -> None:
        """Stop watching a descriptor; epoll has already dropped one that was closed."""
        try:
            self._epoll.unregister(fd)
        except OSError:
            return

    def poll(self, pause_ms: int, /) -> list[tuple[int, int]]:
        """Wait at most `pause_ms` milliseconds, and return ready descriptors with their events."""
        if self._returned_at is not None:
            self.rounds.append(self._clock() - self._returned_at)
        found = self._epoll.poll(pause_ms / 1000, 4096)
        self._returned_at = self._clock() if found else None
        return found


class _Listener(socket.socket):
    """A listening socket that calls `on_close` when it is closed."""

    on_close: Callable[[], None] | None = None

    def close(self) -> None:
        """Close the socket; only the first call invokes `on_close`."""
        if self.fileno() >= 0 and self.on_close is not None:
            self.on_close()
        super().close()


class RigSystem(RealSystem):
    """The operating system of the test rig's process; polls by epoll and reports listeners to the network."""

    def __init__(self) -> None:
        super().__init__()
        self.epoll = EpollPoller(self.monotonic)
        self.set_listening: Callable[[Address, bool], None] = lambda address, on: None

    def poller(self) -> Poller:
        """Return the poller, which is the same for every caller."""
        return self.epoll

    def listen(self, address: Address, backlog: int) -> Socket:
        """Return a listening socket and report its opening and its close; raises `OSError`."""
        plain = super().listen(address, backlog)
        assert isinstance(plain, socket.socket)
        listener = _Listener(fileno=plain.detach())
        listener.setblocking(False)
        at: Address = listener.getsockname()[:2]
        listener.on_close = lambda: self.set_listening(at, False)
        self.set_listening(at, True)
        return listener


class EventFeed:
    """Collects events that relays observe, and reports them to the taps once in each scheduler round.

    The order of a sidecar's actions on several connections between two polls can't be observed.  Its closes
    are reported first and its answers last, which is the most lenient order for the checks.  Events of one
    connection keep their order.
    """

    def __init__(self, stage: RealStage) -> None:
        self._stage = stage
        self._batch: list[tuple[int, str, tuple[Any, ...]]] = []
        self._last: dict[int, int] = {}

    def queue_event(self, order: int, what: str, conn: RelayedConnection, *args: Any) -> None:
        """Add an event of a connection to the batch."""
        if not self._batch:
            self._stage.scheduler.call_at(0.0, self.flush)
        order = self._last[conn.id] = max(order, self._last.get(conn.id, ORDER_FIRST))
        self._batch.append((order, what, (conn, *args)))

    def flush(self) -> None:
        """Report all events of the batch to the taps."""
        batch, self._batch = self._batch, []
        self._last.clear()
        for _, what, args in sorted(batch, key=lambda each: each[0]):
            self._stage.notify_taps(what, *args)
        self._stage.run_step_hooks()


class RealLink:
    """One direction of the link between two machines."""

    def __init__(self) -> None:
        self.latency_ns = self.extra_ns = 0
        self.bytes_per_s = 0.0  # the limit of throughput; 0 means no limit
        self.partitioned = False

    def delay(self, size: int) -> int:
        """Return the delay of `size` bytes in nanoseconds, or 0 if it is too short to be simulated."""
        delay = self.latency_ns + self.extra_ns
        if self.bytes_per_s:
            delay += int(size / self.bytes_per_s * 1e9)
        return delay if delay >= DELAY_MIN_NS else 0


class RelayedConnection:
    """A connection as reported to taps, with the fields of `virtual.network.Connection` that taps use."""

    def __init__(self, number: int, client: End, server: End, relay: Relay) -> None:
        self.id, self.client, self.server, self.relay = number, client, server, relay
        self.blackholed = False


class _Direction:
    """One direction of a relayed connection, with a queue of bytes that are not forwarded yet."""

    def __init__(self, side: str, source: Stream, sink: Stream, link: RealLink) -> None:
        self.side, self.source, self.sink, self.link = side, source, sink, link
        # Due times in nanoseconds, each with bytes to forward, or with "fin" or "reset" for the end.
        self.pending: deque[tuple[int, bytes | str]] = deque()
        self.size = 0
        self.event = Event()  # set to wake the writer task
        self.drained = Event()  # set to wake the reader task after bytes were taken from the queue
        self.writer_running = False
        self.over = False
        self.tasks: list[Task] = []


class Relay:
    """A relay for one connection, which forwards bytes in both directions."""

    def __init__(self, route: RelayRoute, sock: Socket) -> None:
        network = route.network
        self.route, self.network, self.stage = route, network, network.stage
        self.scheduler = self.stage.scheduler
        self.client_stream = Stream(self.scheduler, sock)
        self.server_stream: Stream | None = None
        self.directions: list[_Direction] = []
        self.over = self.severed = False
        network.count += 1
        peer = sock.getpeername()[1]  # type: ignore[attr-defined]
        self.conn = RelayedConnection(
            network.count, End(route.client.name, route.client.ip, peer),
            End(route.server.name, *route.reported_address), self,
        )  # fmt: skip
        self._accepted = False
        # The number of bytes that the server is not known to have read, and the time when the last arrived.
        self._unread, self._arrived_ns = 0, 0

    def run(self) -> None:
        """Connect to the server, then start a task for each direction."""
        feed, conn, route = self.network.feed, self.conn, self.route
        feed.queue_event(ORDER_FIRST, "opened", conn)
        try:
            self.server_stream = self._connect()
        except (OSError, TaskTimeoutError):
            feed.queue_event(ORDER_FIRST, "refused", conn)
            self.scheduler.system.reset(self.client_stream.sock)
            self.client_stream.open = False
            self.end()
            return
        feed.queue_event(ORDER_FIRST, "established", conn)
        if not route.server.descriptors_limited:
            self.accepted()
        link = self.network.link
        self.directions = [
            _Direction("client", self.client_stream, self.server_stream, link(route.client, route.server)),
            _Direction("server", self.server_stream, self.client_stream, link(route.server, route.client)),
        ]
        for direction in self.directions:
            task = self.scheduler.spawn(self._read, direction, name="relay")
            direction.tasks.append(task)

    def _connect(self) -> Stream:
        """Connect to the server from the client machine's address."""
        deadline = self.scheduler.now() + CONNECT_SECONDS
        return Stream.connect(self.scheduler, self.route.target, deadline, prepare=self._bind)

    def _bind(self, sock: Socket) -> None:
        assert isinstance(sock, socket.socket)
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((self.route.client.ip, 0))

    def accepted(self) -> None:
        """Report once that the server has accepted the connection."""
        if not self._accepted:
            self._accepted = True
            self.network.feed.queue_event(ORDER_FIRST, "accepted", self.conn)

    # --- one direction --------------------------------------------------------------------------

    def _read(self, direction: _Direction) -> None:
        source, link = direction.source, direction.link
        while not self.over:
            try:
                data = source.receive(None)
            except OSError:
                self._handle_close(direction, "reset")
                return
            if not data:
                self._handle_close(direction, "fin")
                return
            self._report_sent(direction, data)
            delay = link.delay(len(data))
            if direction.writer_running or delay or self.blocked(direction):
                self._enqueue(direction, data, delay)
                while direction.size > PENDING_BYTES_MAX:
                    self.scheduler.park(event=direction.drained)
            else:
                self._deliver(direction, data)

    def _enqueue(self, direction: _Direction, what: bytes | str, delay: int) -> None:
        due = self.stage.now_ns + delay
        if direction.pending:
            due = max(due, direction.pending[-1][0])
        direction.pending.append((due, what))
        direction.size += len(what) if isinstance(what, bytes) else 0
        if not direction.writer_running:
            direction.writer_running = True
            direction.tasks.append(self.scheduler.spawn(self._forward_pending, direction, name="relay late"))

    def _forward_pending(self, direction: _Direction) -> None:
        """Forward queued items at their due times, waiting while a fault blocks this direction."""
        stage, network = self.stage, self.network
        while direction.pending and not self.over:
            due, what = direction.pending[0]
            if self.blocked(direction):
                network.waiting.add(direction.event)
                self.scheduler.park(event=direction.event)
                continue
            if due > stage.now_ns:
                self.scheduler.sleep((due - stage.now_ns) / 1e9)
                continue
            if due + DELAY_MIN_NS < stage.now_ns and not network.changed_since(due):
                network.late.append((stage.now_ns - due) / 1e9)
            direction.pending.popleft()
            if isinstance(what, bytes):
                direction.size -= len(what)
                direction.drained.set()
                self._deliver(direction, what)
            else:
                self._forward_end(direction, what)
        direction.writer_running = False

    def blocked(self, direction: _Direction) -> bool:
        """Whether a fault blocks this direction now."""
        route = self.route
        return (
            direction.link.partitioned or self.conn.blackholed or self.severed or route.server.has_vanished
            or route.client.has_vanished or route.server.stand_ins_paused or route.client.stand_ins_paused
        )  # fmt: skip

    def _deliver(self, direction: _Direction, data: bytes) -> None:
        view, sock = memoryview(data), direction.sink.sock
        while view and not self.over:
            try:
                view = view[sock.send(view) :]
            except BlockingIOError:
                self.scheduler.sleep(RETRY_SECONDS)
            except OSError:  # the receiver has closed, which the opposite direction reports
                return
        feed, conn = self.network.feed, self.conn
        other = "server" if direction.side == "client" else "client"
        feed.queue_event(ORDER_FIRST, "arrived", conn, other, data)
        if other == "server" and self.route.server.runs_sidecar:
            self._unread += len(data)
            self._arrived_ns = self.stage.now_ns
        else:
            feed.queue_event(ORDER_FIRST, "read", conn, other, data)

    def _report_sent(self, direction: _Direction, data: bytes) -> None:
        feed, conn, order = self.network.feed, self.conn, ORDER_FIRST
        if direction.side == "server" and self.route.server.runs_sidecar:
            order = ORDER_ANSWER
            self.accepted()
            self._report_read(order)
        elif direction.side == "client" and self.route.client.runs_sidecar:
            order = ORDER_SEND
        feed.queue_event(order, "sent", conn, direction.side, data)

    def _report_read(self, order: int) -> None:
        """Report that the server has read all bytes received so far, as its answer or its close proves."""
        if self._unread:
            self.network.feed.queue_event(order, "read", self.conn, "server", bytes(self._unread))
            self._unread = 0

    def _handle_close(self, direction: _Direction, how: str) -> None:
        """Handle the end of a direction's source: report it and forward it; `how` is "fin" or "reset"."""
        if direction.over or self.over:
            return
        direction.over = True
        order = ORDER_FIRST
        mine = self.route.server if direction.side == "server" else self.route.client
        if mine.runs_sidecar:
            order = ORDER_CLOSE
            # An orderly close proves that all bytes were read, unless the last ones may have crossed it.
            crossing = self.stage.now_ns - self._arrived_ns <= CROSSING_NS
            if direction.side == "server" and how == "fin" and not crossing:
                self._report_read(order)
        self.network.feed.queue_event(order, "closed", self.conn, direction.side)
        if direction.writer_running or self.blocked(direction):
            self._enqueue(direction, how, 0)
        else:
            self._forward_end(direction, how)

    def _forward_end(self, direction: _Direction, how: str) -> None:
        other = "server" if direction.side == "client" else "client"
        self.network.feed.queue_event(ORDER_FIRST, "ended", self.conn, other, how)
        if how == "reset":
            self._reset_stream(direction.sink)
            self.end()
            return
        try:
            direction.sink.sock.shutdown(SHUTDOWN_WRITE)
        except OSError:
            self.end()
            return
        if all(each.over and not each.pending for each in self.directions):
            self.end()

    # --- ending the connection ------------------------------------------------------------------

    def _reset_stream(self, stream: Stream) -> None:
        if stream.open:
            stream.open = False
            try:
                self.scheduler.system.reset(stream.sock)
            except OSError:
                return

    def reset(self, sides: str = "client server") -> None:
        """Reset the connection towards the named sides, as a middlebox would."""
        if self.over or self.server_stream is None:
            return
        self.accepted()
        for side, stream in (("client", self.client_stream), ("server", self.server_stream)):
            if side in sides:
                self.network.feed.queue_event(ORDER_FIRST, "ended", self.conn, side, "reset")
            self._reset_stream(stream)
        self.end()

    def end(self) -> None:
        """End the relay: cancel its tasks and close both sockets."""
        if self.over:
            return
        self.over = True
        self.network.relays.pop(self.conn.id, None)
        for direction in self.directions:
            for task in direction.tasks:
                task.cancel()
        for stream in (self.client_stream, self.server_stream):
            if stream is not None and stream.open:
                stream.close()


class RelayRoute:
    """A listening address at which one machine reaches one port of another machine."""

    def __init__(self, network: RealNetwork, client: RealMachine, server: RealMachine, port: int) -> None:
        self.network, self.client, self.server, self.port = network, client, server, port
        self.target = server.address(port)
        self.state = ""
        self._filler: socket.socket | None = None
        # Source addresses of connections that only fill the backlog.
        self._filler_addresses: set[Address] = set()
        self._accepting: Task | None = None
        self._listener = self._bind_listener()
        self.address: Address = self._listener.getsockname()[:2]
        # Taps identify sidecars by the address where they listen, other servers by this listener's address.
        self.reported_address: Address = self.target if server.runs_sidecar else self.address
        self.update()

    def _bind_listener(self) -> socket.socket:
        """Return a socket bound to an explicit port, which it keeps over `shutdown` and `listen`."""
        for _ in range(100):
            probe = socket.socket()
            probe.bind((self.client.ip, 0))
            address = probe.getsockname()
            probe.close()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            try:
                sock.bind(address)
            except OSError:  # another process has taken the probed port
                sock.close()
                continue
            return sock
        raise OSError(errno.EADDRINUSE, "no free port found in 100 attempts")

    def update(self) -> None:
        """Apply the network's current state: accept connects, refuse them, or leave them unanswered."""
        state = self.network.state_of(self)
        if state == self.state:
            return
        before, self.state = self.state, state
        if self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
        if self._filler is not None:
            self._filler.close()
            self._filler = None
        if state == "refuse":
            if before:
                self._listener.shutdown(socket.SHUT_RDWR)
            return
        self._listener.listen(BACKLOG if state == "up" else 0)
        if state == "up":
            self._accepting = self.network.stage.scheduler.spawn(self._accept, name="relay route")
            return
        # Linux leaves connects unanswered while the backlog is full; one connection fills a backlog of 0.
        self._filler = socket.socket()
        self._filler.setblocking(False)
        self._filler.connect_ex(self.address)
        self._filler_addresses.add(self._filler.getsockname()[:2])

    def _accept(self) -> None:
        system, scheduler = self.network.stage.system, self.network.stage.scheduler
        while True:
            try:
                sock, _ = system.accept(self._listener)
            except BlockingIOError:
                scheduler.park(sock=self._listener)
                continue
            except OSError:
                scheduler.sleep(RETRY_SECONDS)
                continue
            try:
                if sock.getpeername()[:2] in self._filler_addresses:  # type: ignore[attr-defined]
                    sock.close()
                    continue
                relay = Relay(self, sock)
            except OSError:  # the connection ended before it was accepted
                sock.close()
                continue
            self.network.relays[relay.conn.id] = relay
            scheduler.spawn(relay.run, name="relay")

    def close(self) -> None:
        """Stop listening."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._filler is not None:
            self._filler.close()
        self._listener.close()


class RealNetwork:
    """All listening addresses and relays between machines, and the network faults that can be injected."""

    def __init__(self, stage: RealStage) -> None:
        self.stage = stage
        self.feed = EventFeed(stage)
        self.relays: dict[int, Relay] = {}
        self.count = 0
        self.late: list[float] = []  # how late queued bytes were forwarded, in seconds
        self.waiting: set[Event] = set()  # events that wake the writers blocked by a fault
        self._links: dict[tuple[str, str], RealLink] = {}
        self._routes: dict[tuple[str, str, int], RelayRoute] = {}
        self._ports: dict[Address, tuple[RealMachine, int]] = {}  # machines and nominal ports by real address
        self._listening: set[Address] = set()
        self._refusing: Counter[tuple[str, int]] = Counter()
        self._changed_ns = 0

    # --- addresses ------------------------------------------------------------------------------

    def register_port(self, address: Address, machine: RealMachine, port: int) -> None:
        """Register the real address of a machine's nominal port."""
        self._ports[address] = machine, port

    @property
    def owners(self) -> dict[Address, tuple[RealMachine, int]]:
        """The machine and the nominal port of each registered real address."""
        return self._ports

    def route(self, client: RealMachine, address: Address) -> RelayRoute:
        """Return the `RelayRoute` from a machine to another machine's address, created at the first call."""
        server, port = self._ports[address]
        key = client.name, server.name, port
        if key not in self._routes:
            self._routes[key] = RelayRoute(self, client, server, port)
        return self._routes[key]

    def reachable_address(self, machine: RealMachine, address: Address) -> Address:
        """Return the address to which a machine connects in order to reach another machine's address."""
        return self.route(machine, address).address

    def set_listening(self, address: Address, on: bool) -> None:
        """Record whether a process listens at an address, and update the routes that lead there."""
        (self._listening.add if on else self._listening.discard)(address)
        if address in self._ports:
            server, port = self._ports[address]
            for route in self._routes.values():
                if route.server is server and route.port == port:
                    route.update()

    def state_of(self, route: RelayRoute) -> str:
        """Return whether connects succeed ("up"), are refused ("refuse") or stay unanswered ("swallow")."""
        client, server = route.client, route.server
        partitioned = self.link(client, server).partitioned or self.link(server, client).partitioned
        if partitioned or server.has_vanished or client.has_vanished or server.drops_connects:
            return "swallow"
        if self._refusing[server.name, route.port] or route.target not in self._listening:
            return "refuse"
        return "up"

    def update(self) -> None:
        """Apply a change of faults: update all routes, and wake the writers that a fault has blocked."""
        self._changed_ns = self.stage.now_ns
        for route in self._routes.values():
            route.update()
        waiting, self.waiting = self.waiting, set()
        for event in waiting:
            event.set()

    def changed_since(self, when_ns: int) -> bool:
        """Whether faults have changed since `when_ns`, so that bytes due then may have waited for a fault."""
        return self._changed_ns >= when_ns

    def link(self, from_: RealMachine, to: RealMachine) -> RealLink:
        """Return the link from one machine to another, created at the first call."""
        key = from_.name, to.name
        if key not in self._links:
            self._links[key] = RealLink()
        return self._links[key]

    def connections(self, machine: RealMachine) -> list[RelayedConnection]:
        """Return the relayed connections to a machine."""
        return [each.conn for each in list(self.relays.values()) if each.route.server is machine]

    def open_connections(self, machine: RealMachine) -> int:
        """Return the number of a machine's open connections, incoming and outgoing."""
        return sum(machine in (each.route.server, each.route.client) for each in self.relays.values())

    # --- faults ---------------------------------------------------------------------------------

    def _set_partitioned(self, a: RealMachine, b: RealMachine, one_way: bool, partitioned: bool) -> None:
        for pair in ((a, b),) if one_way else ((a, b), (b, a)):
            self.link(*pair).partitioned = partitioned
        self.stage.call_soon_once(self.update)

    def partition(self, a: RealMachine, b: RealMachine, one_way: bool = False) -> None:
        """Block all bytes from `a` to `b`, and those from `b` to `a` unless `one_way` is set."""
        self._set_partitioned(a, b, one_way, True)

    def heal(self, a: RealMachine, b: RealMachine, one_way: bool = False) -> None:
        """End a partition between `a` and `b`; the bytes sent during the partition are then forwarded."""
        self._set_partitioned(a, b, one_way, False)

    def set_link_latency(self, a: RealMachine, b: RealMachine, extra_ns: int) -> None:
        """Add a delay in nanoseconds to both directions between `a` and `b`; 0 removes it."""
        self.link(a, b).extra_ns = self.link(b, a).extra_ns = extra_ns

    def throttle(self, a: RealMachine, b: RealMachine, bytes_per_s: float) -> None:
        """Limit each direction between `a` and `b` to a number of bytes per second; 0 removes the limit."""
        self.link(a, b).bytes_per_s = self.link(b, a).bytes_per_s = bytes_per_s

    def blackhole(self, connection: RelayedConnection) -> None:
        """Block both directions of a connection without closing it."""
        connection.blackholed = True

    def stop_blackholing(self, connection: RelayedConnection) -> None:
        """Unblock both directions of a connection."""
        connection.blackholed = False
        self.stage.call_soon_once(self.update)

    def reset(self, connection: RelayedConnection) -> None:
        """Reset a connection towards both ends."""
        connection.relay.reset()

    def refuse_connects(self, machine: RealMachine, port: int) -> None:
        """Refuse new connections to a machine's port."""
        _, named = self._ports.get((machine.ip, port), (machine, port))
        self._refusing[machine.name, named] += 1
        self.stage.call_soon_once(self.update)

    def stop_refusing(self, machine: RealMachine, port: int) -> None:
        """End one refusal of connections to a machine's port."""
        _, named = self._ports.get((machine.ip, port), (machine, port))
        self._refusing[machine.name, named] -= 1
        self.stage.call_soon_once(self.update)

    def drop_connects(self, machine: RealMachine) -> None:
        """Leave new connections to a machine unanswered."""
        machine.drops_connects = True
        self.stage.call_soon_once(self.update)

    def stop_dropping_connects(self, machine: RealMachine) -> None:
        """Answer new connections to a machine again."""
        machine.drops_connects = False
        self.stage.call_soon_once(self.update)

    def power_off(self, machine: RealMachine) -> None:
        """Simulate a machine's loss of power: its connections stay open but nothing passes on them."""
        for relay in list(self.relays.values()):
            if machine in (relay.route.server, relay.route.client):
                relay.severed = True
        self.stage.call_soon_once(self.update)

    def power_on(self, machine: RealMachine) -> None:
        """Simulate a machine's return: its old connections are reset, since it has forgotten them."""
        for relay in list(self.relays.values()):
            if relay.severed and machine in (relay.route.server, relay.route.client):
                relay.reset("client" if machine is relay.route.server else "server")
        self.stage.call_soon_once(self.update)

    def close(self) -> None:
        """End all relays and stop listening everywhere."""
        for relay in list(self.relays.values()):
            relay.end()
        for route in self._routes.values():
            route.close()
        self._routes.clear()
