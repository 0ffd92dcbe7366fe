"""The network between real processes: every link runs through relays of ours on loopback.

Each pair of machines has an address of its own (a `Way`), so that a relay knows whose bytes it passes on and
each direction of each link can be late, held, reset, refused or never come up by itself.  What the relays see
is told to taps in the words of virtual time's wire; a process's own reads can't be seen, and are told where
what it does next proves them.
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
HELD_BYTES = 256 * 1024  # that one direction of a connection may hold back
SHORTEST_NS = 2_000_000  # a shorter delay is no delay: a poll's clock has milliseconds
CROSSING_NS = 20_000_000  # what comes so shortly before a close may have crossed it
CONNECT_SECONDS = 1.0
FULL_SECONDS = 0.001  # until bytes are offered again to one who takes none
IP_BIND_ADDRESS_NO_PORT = 24  # ip(7): the port is chosen at connect, per peer
EARLY, CLOSES, SENDS, ANSWERS = range(4)  # the order in which one batch's events are told


class EpollPoller:
    """`select.poll`'s calls over epoll, and a book of how long what was ready had to wait.

    Thousands of listeners make a look at all of them too dear.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._epoll, self._clock = select.epoll(), clock
        self._back: float | None = None
        self.rounds: list[float] = []  # seconds from one poll's return to the next poll

    def register(self, fd: int, events: int, /) -> None:
        """Watch a descriptor."""
        try:
            self._epoll.register(fd, events)
        except FileExistsError:
            self._epoll.modify(fd, events)

    def unregister(self, fd: int, /) -> None:
        """Watch it no more; one that was closed is forgotten already."""
        try:
            self._epoll.unregister(fd)
        except OSError:
            return

    def poll(self, pause_ms: int, /) -> list[tuple[int, int]]:
        """Descriptors and their events."""
        if self._back is not None:
            self.rounds.append(self._clock() - self._back)
        found = self._epoll.poll(pause_ms / 1000, 4096)
        self._back = self._clock() if found else None
        return found


class _Listener(socket.socket):
    """A listening socket that says when it is closed."""

    on_close: Callable[[], None] | None = None

    def close(self) -> None:
        """Close it, once."""
        if self.fileno() >= 0 and self.on_close is not None:
            self.on_close()
        super().close()


class RigSystem(RealSystem):
    """The rig's own process: epoll, and listeners that the network hears of."""

    def __init__(self) -> None:
        self.epoll = EpollPoller(self.monotonic)
        self.heard: Callable[[Address, bool], None] = lambda address, on: None

    def poller(self) -> Poller:
        """The one there is."""
        return self.epoll

    def listen(self, address: Address, backlog: int) -> Socket:
        """A socket that listens; raises `OSError`."""
        plain = super().listen(address, backlog)
        assert isinstance(plain, socket.socket)
        listener = _Listener(fileno=plain.detach())
        listener.setblocking(False)
        at: Address = listener.getsockname()[:2]
        listener.on_close = lambda: self.heard(at, False)
        self.heard(at, True)
        return listener


class Feed:
    """What relays see, told to taps once a round.

    What a sidecar did on several connections between two polls has no order that could be seen.  Its closes
    are told first and its answers last, the order in which it can be held to least; on one connection the
    order stays.
    """

    def __init__(self, stage: RealStage) -> None:
        self._stage = stage
        self._batch: list[tuple[int, str, tuple[Any, ...]]] = []
        self._last: dict[int, int] = {}

    def tell(self, order: int, what: str, conn: RelayedConnection, *args: Any) -> None:
        """One event on a connection."""
        if not self._batch:
            self._stage.scheduler.call_at(0.0, self.flush)
        order = self._last[conn.id] = max(order, self._last.get(conn.id, EARLY))
        self._batch.append((order, what, (conn, *args)))

    def flush(self) -> None:
        """Tell what there is."""
        batch, self._batch = self._batch, []
        self._last.clear()
        for _, what, args in sorted(batch, key=lambda each: each[0]):
            self._stage.tell(what, *args)
        self._stage.stepped()


class RealLink:
    """One way between two machines."""

    def __init__(self) -> None:
        self.latency_ns = self.extra_ns = 0
        self.bytes_per_s = 0.0  # 0: as many as come
        self.cut = False

    def delay(self, size: int) -> int:
        """How long so many bytes take, in ns; 0 where it is too short to tell."""
        delay = self.latency_ns + self.extra_ns
        if self.bytes_per_s:
            delay += int(size / self.bytes_per_s * 1e9)
        return delay if delay >= SHORTEST_NS else 0


class RelayedConnection:
    """A connection as the taps name it; the fields are those of virtual time's."""

    def __init__(self, number: int, client: End, server: End, relay: Relay) -> None:
        self.id, self.client, self.server, self.relay = number, client, server, relay
        self.silent = False


class _Direction:
    """What comes from one side of a connection and has not been passed on."""

    def __init__(self, side: str, source: Stream, sink: Stream, link: RealLink) -> None:
        self.side, self.source, self.sink, self.link = side, source, sink, link
        self.held: deque[tuple[int, bytes | str]] = deque()  # when due, and bytes, "fin" or "reset"
        self.size = 0
        self.event = Event()  # set for the writer
        self.room = Event()  # set for the reader
        self.busy = False  # the writer is at it
        self.over = False
        self.tasks: list[Task] = []


class Relay:
    """One connection, passed on."""

    def __init__(self, way: Way, sock: Socket) -> None:
        network = way.network
        self.way, self.network, self.stage = way, network, network.stage
        self.scheduler = self.stage.scheduler
        self.near = Stream(self.scheduler, sock)
        self.far: Stream | None = None
        self.directions: list[_Direction] = []
        self.over = self.lost = False
        network.count += 1
        peer = sock.getpeername()[1]  # type: ignore[attr-defined]
        self.conn = RelayedConnection(
            network.count, End(way.client.name, way.client.ip, peer),
            End(way.server.name, *way.told), self,
        )  # fmt: skip
        self._accepted = False
        self._unread, self._arrived_ns = 0, 0  # bytes that a sidecar has not been seen to read

    def run(self) -> None:
        """Connect the other side, and pass on until both ends have come."""
        feed, conn, way = self.network.feed, self.conn, self.way
        feed.tell(EARLY, "opened", conn)
        try:
            self.far = self._connect()
        except (OSError, TaskTimeoutError):
            feed.tell(EARLY, "refused", conn)
            self.scheduler.system.reset(self.near.sock)
            self.near.open = False
            self.end()
            return
        feed.tell(EARLY, "established", conn)
        if not way.server.squeezed:
            self.accepted()
        link = self.network.link
        self.directions = [
            _Direction("client", self.near, self.far, link(way.client, way.server)),
            _Direction("server", self.far, self.near, link(way.server, way.client)),
        ]
        for direction in self.directions:
            task = self.scheduler.spawn(self._read, direction, name="relay")
            direction.tasks.append(task)

    def _connect(self) -> Stream:
        """To its server, from its client's own address."""
        deadline = self.scheduler.now() + CONNECT_SECONDS
        return Stream.connect(self.scheduler, self.way.target, deadline, prepare=self._bind)

    def _bind(self, sock: Socket) -> None:
        assert isinstance(sock, socket.socket)
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((self.way.client.ip, 0))

    def accepted(self) -> None:
        """Its server is known to have it."""
        if not self._accepted:
            self._accepted = True
            self.network.feed.tell(EARLY, "accepted", self.conn)

    # --- one direction --------------------------------------------------------------------------

    def _read(self, direction: _Direction) -> None:
        source, link = direction.source, direction.link
        while not self.over:
            try:
                data = source.receive(None)
            except OSError:
                self._closed(direction, "reset")
                return
            if not data:
                self._closed(direction, "fin")
                return
            self._sent(direction, data)
            delay = link.delay(len(data))
            if direction.busy or delay or self.blocked(direction):
                self._hold(direction, data, delay)
                while direction.size > HELD_BYTES:
                    self.scheduler.park(event=direction.room)
            else:
                self._deliver(direction, data)

    def _hold(self, direction: _Direction, what: bytes | str, delay: int) -> None:
        due = self.stage.now_ns + delay
        if direction.held:
            due = max(due, direction.held[-1][0])
        direction.held.append((due, what))
        direction.size += len(what) if isinstance(what, bytes) else 0
        if not direction.busy:
            direction.busy = True
            direction.tasks.append(self.scheduler.spawn(self._write, direction, name="relay late"))

    def _write(self, direction: _Direction) -> None:
        """Pass on what is held, each at its time, while nothing blocks it."""
        stage, network = self.stage, self.network
        while direction.held and not self.over:
            due, what = direction.held[0]
            if self.blocked(direction):
                network.waiting.add(direction.event)
                self.scheduler.park(event=direction.event)
                continue
            if due > stage.now_ns:
                self.scheduler.sleep((due - stage.now_ns) / 1e9)
                continue
            if due + SHORTEST_NS < stage.now_ns and not network.mended_since(due):
                network.late.append((stage.now_ns - due) / 1e9)
            direction.held.popleft()
            if isinstance(what, bytes):
                direction.size -= len(what)
                direction.room.set()
                self._deliver(direction, what)
            else:
                self._pass_end(direction, what)
        direction.busy = False

    def blocked(self, direction: _Direction) -> bool:
        """Whether nothing passes that way now."""
        way = self.way
        return (
            direction.link.cut or self.conn.silent or self.lost or way.server.gone or way.client.gone
            or way.server.holds or way.client.holds
        )  # fmt: skip

    def _deliver(self, direction: _Direction, data: bytes) -> None:
        view, sock = memoryview(data), direction.sink.sock
        while view and not self.over:
            try:
                view = view[sock.send(view) :]
            except BlockingIOError:
                self.scheduler.sleep(FULL_SECONDS)
            except OSError:  # it has closed: its own direction tells
                return
        feed, conn = self.network.feed, self.conn
        other = "server" if direction.side == "client" else "client"
        feed.tell(EARLY, "arrived", conn, other, data)
        if other == "server" and self.way.server.program:
            self._unread += len(data)
            self._arrived_ns = self.stage.now_ns
        else:
            feed.tell(EARLY, "read", conn, other, data)

    def _sent(self, direction: _Direction, data: bytes) -> None:
        feed, conn, order = self.network.feed, self.conn, EARLY
        if direction.side == "server" and self.way.server.program:
            order = ANSWERS
            self.accepted()
            self._seen_to_read(order)
        elif direction.side == "client" and self.way.client.program:
            order = SENDS
        feed.tell(order, "sent", conn, direction.side, data)

    def _seen_to_read(self, order: int) -> None:
        """A sidecar that answers has read what came before."""
        if self._unread:
            self.network.feed.tell(order, "read", self.conn, "server", bytes(self._unread))
            self._unread = 0

    def _closed(self, direction: _Direction, how: str) -> None:
        """A side has closed, or reset."""
        if direction.over or self.over:
            return
        direction.over = True
        order = EARLY
        mine = self.way.server if direction.side == "server" else self.way.client
        if mine.program:
            order = CLOSES
            # A close in good order says that all was read, unless what came last may have crossed it.
            crossing = self.stage.now_ns - self._arrived_ns <= CROSSING_NS
            if direction.side == "server" and how == "fin" and not crossing:
                self._seen_to_read(order)
        self.network.feed.tell(order, "closed", self.conn, direction.side)
        if direction.busy or self.blocked(direction):
            self._hold(direction, how, 0)
        else:
            self._pass_end(direction, how)

    def _pass_end(self, direction: _Direction, how: str) -> None:
        other = "server" if direction.side == "client" else "client"
        self.network.feed.tell(EARLY, "ended", self.conn, other, how)
        if how == "reset":
            self._break(direction.sink)
            self.end()
            return
        try:
            direction.sink.sock.shutdown(SHUTDOWN_WRITE)
        except OSError:
            self.end()
            return
        if all(each.over and not each.held for each in self.directions):
            self.end()

    # --- the end --------------------------------------------------------------------------------

    def _break(self, stream: Stream) -> None:
        if stream.open:
            stream.open = False
            try:
                self.scheduler.system.reset(stream.sock)
            except OSError:
                return

    def reset(self, sides: str = "client server") -> None:
        """Something on the way resets it."""
        if self.over or self.far is None:
            return
        self.accepted()
        for side, stream in (("client", self.near), ("server", self.far)):
            if side in sides:
                self.network.feed.tell(EARLY, "ended", self.conn, side, "reset")
            self._break(stream)
        self.end()

    def end(self) -> None:
        """Let go of it."""
        if self.over:
            return
        self.over = True
        self.network.relays.pop(self.conn.id, None)
        for direction in self.directions:
            for task in direction.tasks:
                task.cancel()
        for stream in (self.near, self.far):
            if stream is not None and stream.open:
                stream.close()


class Way:
    """One machine's address of another one's port."""

    def __init__(self, network: RealNetwork, client: RealMachine, server: RealMachine, port: int) -> None:
        self.network, self.client, self.server, self.port = network, client, server, port
        self.target = server.address(port)
        self.state = ""
        self._filler: socket.socket | None = None
        self._fillers: set[Address] = set()  # where ours come from
        self._accepting: Task | None = None
        self._listener = self._bound()
        self.address: Address = self._listener.getsockname()[:2]
        # Sidecars are known by where they listen, others by where they are reached.
        self.told: Address = self.target if server.program else self.address
        self.judge()

    def _bound(self) -> socket.socket:
        """A socket with a port that stays its own over `shutdown` and `listen`: one that was asked for."""
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
            except OSError:  # somebody was quicker
                sock.close()
                continue
            return sock
        raise OSError(errno.EADDRINUSE, "no port could be had")

    def judge(self) -> None:
        """Be as the network has it now."""
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
            self._accepting = self.network.stage.scheduler.spawn(self._accept, name="way")
            return
        # Linux leaves connects unanswered while as many wait as `listen` allows: one.
        self._filler = socket.socket()
        self._filler.setblocking(False)
        self._filler.connect_ex(self.address)
        self._fillers.add(self._filler.getsockname()[:2])

    def _accept(self) -> None:
        system, scheduler = self.network.stage.system, self.network.stage.scheduler
        while True:
            try:
                sock, _ = system.accept(self._listener)
            except BlockingIOError:
                scheduler.park(sock=self._listener)
                continue
            except OSError:
                scheduler.sleep(FULL_SECONDS)
                continue
            try:
                if sock.getpeername()[:2] in self._fillers:  # type: ignore[attr-defined]
                    sock.close()
                    continue
                relay = Relay(self, sock)
            except OSError:  # gone before it was looked at
                sock.close()
                continue
            self.network.relays[relay.conn.id] = relay
            scheduler.spawn(relay.run, name="relay")

    def close(self) -> None:
        """Listen no more."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._filler is not None:
            self._filler.close()
        self._listener.close()


class RealNetwork:
    """All ways and relays, and the faults one may cause on them."""

    def __init__(self, stage: RealStage) -> None:
        self.stage = stage
        self.feed = Feed(stage)
        self.relays: dict[int, Relay] = {}
        self.count = 0
        self.late: list[float] = []  # seconds by which held bytes went out after their time
        self.waiting: set[Event] = set()  # of writers that something blocks
        self._links: dict[tuple[str, str], RealLink] = {}
        self._ways: dict[tuple[str, str, int], Way] = {}
        self._ports: dict[Address, tuple[RealMachine, int]] = {}  # who is to listen there
        self._listening: set[Address] = set()
        self._refusing: Counter[tuple[str, int]] = Counter()
        self._changed_ns = 0

    # --- addresses ------------------------------------------------------------------------------

    def own(self, address: Address, machine: RealMachine, port: int) -> None:
        """A machine's port has this real address."""
        self._ports[address] = machine, port

    @property
    def known(self) -> dict[Address, tuple[RealMachine, int]]:
        """Whose real address is which."""
        return self._ports

    def way(self, client: RealMachine, address: Address) -> Way:
        """The way of one machine to an address of another."""
        server, port = self._ports[address]
        key = client.name, server.name, port
        if key not in self._ways:
            self._ways[key] = Way(self, client, server, port)
        return self._ways[key]

    def reachable_address(self, machine: RealMachine, address: Address) -> Address:
        """Where a machine connects to, to reach an address."""
        return self.way(machine, address).address

    def heard(self, address: Address, on: bool) -> None:
        """Somebody listens there, or no longer."""
        (self._listening.add if on else self._listening.discard)(address)
        if address in self._ports:
            server, port = self._ports[address]
            for way in self._ways.values():
                if way.server is server and way.port == port:
                    way.judge()

    def state_of(self, way: Way) -> str:
        """Whether connects come up, are refused, or stay unanswered."""
        client, server = way.client, way.server
        cut = self.link(client, server).cut or self.link(server, client).cut
        if cut or server.gone or client.gone or server.drops_connects:
            return "swallow"
        if self._refusing[server.name, way.port] or way.target not in self._listening:
            return "refuse"
        return "up"

    def judge(self) -> None:
        """Something has changed: ways follow, and what is held is looked at again."""
        self._changed_ns = self.stage.now_ns
        for way in self._ways.values():
            way.judge()
        waiting, self.waiting = self.waiting, set()
        for event in waiting:
            event.set()

    def mended_since(self, when_ns: int) -> bool:
        """Whether what was due then may have waited for a fault to end."""
        return self._changed_ns >= when_ns

    def link(self, from_: RealMachine, to: RealMachine) -> RealLink:
        """The way from one machine to another."""
        key = from_.name, to.name
        if key not in self._links:
            self._links[key] = RealLink()
        return self._links[key]

    def connections(self, machine: RealMachine) -> list[RelayedConnection]:
        """Those to a machine."""
        return [each.conn for each in list(self.relays.values()) if each.way.server is machine]

    def open_at(self, machine: RealMachine) -> int:
        """Connections that a machine has open, either way."""
        return sum(machine in (each.way.server, each.way.client) for each in self.relays.values())

    # --- faults ---------------------------------------------------------------------------------

    def _set_cut(self, a: RealMachine, b: RealMachine, one_way: bool, cut: bool) -> None:
        for pair in ((a, b),) if one_way else ((a, b), (b, a)):
            self.link(*pair).cut = cut
        self.stage.soon(self.judge)

    def cut(self, a: RealMachine, b: RealMachine, one_way: bool = False) -> None:
        """Nothing passes from `a` to `b`, nor back unless `one_way`."""
        self._set_cut(a, b, one_way, True)

    def heal(self, a: RealMachine, b: RealMachine, one_way: bool = False) -> None:
        """It passes again, with what was held."""
        self._set_cut(a, b, one_way, False)

    def slow_link(self, a: RealMachine, b: RealMachine, extra_ns: int) -> None:
        """Both ways take so much longer; 0 ends it."""
        self.link(a, b).extra_ns = self.link(b, a).extra_ns = extra_ns

    def throttle(self, a: RealMachine, b: RealMachine, bytes_per_s: float) -> None:
        """So many bytes a second pass each way at most; 0 ends it."""
        self.link(a, b).bytes_per_s = self.link(b, a).bytes_per_s = bytes_per_s

    def blackhole(self, connection: RelayedConnection) -> None:
        """Nothing passes on it."""
        connection.silent = True

    def stop_blackholing(self, connection: RelayedConnection) -> None:
        """It passes again."""
        connection.silent = False
        self.stage.soon(self.judge)

    def reset(self, connection: RelayedConnection) -> None:
        """Both ends get a reset."""
        connection.relay.reset()

    def refuse(self, machine: RealMachine, port: int) -> None:
        """Connects to a port are refused."""
        _, named = self._ports.get((machine.ip, port), (machine, port))
        self._refusing[machine.name, named] += 1
        self.stage.soon(self.judge)

    def stop_refusing(self, machine: RealMachine, port: int) -> None:
        """They are taken again."""
        _, named = self._ports.get((machine.ip, port), (machine, port))
        self._refusing[machine.name, named] -= 1
        self.stage.soon(self.judge)

    def drop_connects(self, machine: RealMachine) -> None:
        """Connects to a machine stay unanswered."""
        machine.drops_connects = True
        self.stage.soon(self.judge)

    def stop_dropping_connects(self, machine: RealMachine) -> None:
        """They are answered again."""
        machine.drops_connects = False
        self.stage.soon(self.judge)

    def lose(self, machine: RealMachine) -> None:
        """A machine has lost its power: its connections stay as they are, and lead nowhere."""
        for relay in list(self.relays.values()):
            if machine in (relay.way.server, relay.way.client):
                relay.lost = True
        self.stage.soon(self.judge)

    def find(self, machine: RealMachine) -> None:
        """It is back: what it does not know any more is reset."""
        for relay in list(self.relays.values()):
            if relay.lost and machine in (relay.way.server, relay.way.client):
                relay.reset("client" if machine is relay.way.server else "server")
        self.stage.soon(self.judge)

    def close(self) -> None:
        """End it all."""
        for relay in list(self.relays.values()):
            relay.end()
        for way in self._ways.values():
            way.close()
        self._ways.clear()
