"""Clients of a soak; each reuses its connection until a response ends it or the process has gone."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus

import h11
import orjson

from brambleusher.lab.soak.records import (
    ClientAct,
    RequestKind,
    RequestOutcome,
    RequestRecord,
    SoakRecord,
)
from brambleusher.lab.soak.settings import DIRECTORY_PORT
from brambleusher.lab.soak.wires import DEADLINE_S, HOST, GatewayWire, Wire
from brambleusher.runtime.h11_messages import encode_message, receive_event
from brambleusher.runtime.http_client import HttpClient, HttpRequestError
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream, parse_address
from brambleusher.runtime.system import SHUTDOWN_WRITE, Address

RESPONSE_SLACK_S = 1.0  # how long a client waits past the deadline, so that late responses are observed
CONNECT_S = 1.0
RESOLUTION_S = 0.5
ADDRESSES_CACHED_S = 2.0  # how long an answer of the registry is used for new connections
PAUSE_S = (0.0, 0.25)  # the range of the pause between two requests of a client
DISCONNECT_DELAY_S = (0.0, 0.4)
DISCONNECT_PROBABILITY = 0.05  # the share of requests whose client leaves early
EARLY_DISCONNECT_PROBABILITY = 0.8  # the share of requests whose client leaves during `DISCONNECT_CLIENTS`
AHEAD_BYTES = 20 * 1024  # bytes of the next request's body that a client sends before it closes
HALF_CLOSED_S = 1.0  # how long a client still reads after it has shut down its sending side
LONG_PAUSE_PROBABILITY = 0.05
LONG_PAUSE_S = 1.5
REVISION_ROUTE_PROBABILITY = 0.5  # the share of reads that use the route of the newest acknowledged revision


NEXT_REQUEST = f"POST /notice HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {2 * AHEAD_BYTES}\r\n\r\n".encode()

AddressChoice = Callable[[random.Random], str | None]


class Clients:
    """All clients with their shared state: the registry's last answer and how clients leave early."""

    def __init__(
        self,
        scheduler: Scheduler,
        now: Callable[[], float],
        record: SoakRecord,
        rng: random.Random,
        registries: list[str],
        names_by_address: dict[str, str],
    ) -> None:
        """`registries` are addresses that answer resolutions; `names_by_address` has the gateways' names."""
        self._scheduler, self._now, self._record, self._rng = scheduler, now, record, rng
        self._registries, self._names = registries, names_by_address
        self._addresses: list[str] = []
        self._resolved_s = -ADDRESSES_CACHED_S
        self.disconnects_until_s = 0.0
        # How clients leave until `disconnects_until_s`; None means that each client chooses at random.
        self.act: ClientAct | None = None
        self.is_stopped = False
        self.running = 0

    def start(self, count: int) -> None:
        """Start `count` clients that use any gateway."""
        for number in range(count):
            rng = random.Random(f"{self._rng.random()} {number}")
            client = Client(self._scheduler, self._now, rng, GatewayWire())
            self._scheduler.spawn(self._run, client, str(number), self._choose_address, name="client")

    def start_sidecar_clients(self, address: str, name: str, count: int, wire: Wire) -> None:
        """Start `count` clients that use only the sidecar at `address`."""
        self._names[address] = name
        for number in range(count):
            rng = random.Random(f"{self._rng.random()} {name} {number}")
            client = Client(self._scheduler, self._now, rng, wire)
            self._scheduler.spawn(self._run, client, f"{name}-{number}", lambda _rng: address, name="client")

    def _run(self, client: Client, prefix: str, choose_address: AddressChoice) -> None:
        self.running += 1
        sequence = 0
        try:
            while not self.is_stopped:
                sequence += 1
                self._request(client, f"{prefix}-{sequence}", choose_address)
                self._scheduler.sleep(client.pause_s())
        finally:
            client.close()
            self.running -= 1

    def _request(self, client: Client, attempt: str, choose_address: AddressChoice) -> None:
        if not client.is_connected:
            address = choose_address(client.rng)
            if address is None or not client.connect(parse_address(address), self._names[address]):
                return
        record = RequestRecord(
            attempt, client.rng.choice(client.wire.kinds), client.gateway, self._now(), client.is_reused
        )
        if record.kind is RequestKind.READ and client.rng.random() < REVISION_ROUTE_PROBABILITY:
            record.route_revision = max((change.revision for change in self._record.changes), default=0)
        self._record.requests.append(record)
        is_early = self._now() < self.disconnects_until_s
        disconnects = client.rng.random() < (
            EARLY_DISCONNECT_PROBABILITY if is_early else DISCONNECT_PROBABILITY
        )
        if disconnects:
            record.act = (self.act if is_early else None) or client.rng.choice(list(ClientAct))
        client.request(record, client.rng.uniform(*DISCONNECT_DELAY_S) if disconnects else None)

    def _choose_address(self, rng: random.Random) -> str | None:
        if self._now() - self._resolved_s > ADDRESSES_CACHED_S:
            self._resolve(rng)
        known = [address for address in self._addresses if address in self._names]
        return rng.choice(known) if known else None

    def _resolve(self, rng: random.Random) -> None:
        """Ask the registries in random order; the last answer is kept if none of them answers."""
        for registry in rng.sample(self._registries, len(self._registries)):
            client = HttpClient(self._scheduler, parse_address(registry))
            try:
                status, body = client.get(f"/api/resolution?name={HOST}&region=north&zone=n1", RESOLUTION_S)
            except HttpRequestError:
                continue
            finally:
                client.close()
            if status == HTTPStatus.OK:
                self._addresses = orjson.loads(body)["addresses"]
                self._resolved_s = self._now()
                return


class Client:
    """One client with at most one connection."""

    def __init__(
        self, scheduler: Scheduler, now: Callable[[], float], rng: random.Random, wire: Wire
    ) -> None:
        self._scheduler, self._now, self.rng, self.wire = scheduler, now, rng, wire
        self._stream: Stream | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self.gateway = ""
        self.is_reused = False

    @property
    def is_connected(self) -> bool:
        """Whether the client has a connection that it may use."""
        return self._stream is not None

    def pause_s(self) -> float:
        """Draw the time in seconds before the client's next request."""
        is_long = self.rng.random() < LONG_PAUSE_PROBABILITY
        return LONG_PAUSE_S if is_long else self.rng.uniform(*PAUSE_S)

    def connect(self, address: Address, gateway: str) -> bool:
        """Open a connection and return whether that succeeded."""
        self.close()
        try:
            self._stream = Stream.connect(self._scheduler, address, self._scheduler.now() + CONNECT_S)
        except (OSError, TaskTimeoutError):
            return False
        self._protocol = h11.Connection(h11.CLIENT)
        self.gateway, self.is_reused = gateway, False
        return True

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def request(self, record: RequestRecord, disconnect_delay_s: float | None) -> None:
        """Send a request, read its response, and record the outcome in `record`."""
        is_reusable = False
        try:
            self._send(record)
            is_reusable = self._receive(record, disconnect_delay_s)
        except TaskTimeoutError:
            left = disconnect_delay_s is not None
            record.outcome = RequestOutcome.LEFT if left else RequestOutcome.TIMED_OUT
            if record.act is ClientAct.HALF_CLOSE:
                self._half_close(record)
                return
        except (OSError, h11.RemoteProtocolError):
            if record.sent_s is not None:
                record.outcome = RequestOutcome.CLOSED
        record.ended_s = self._now()
        self.is_reused = True
        if not is_reusable or record.act is ClientAct.CLOSE_AHEAD:
            self.close()

    def _half_close(self, record: RequestRecord) -> None:
        """Shut down the sending side, from when on the client counts as having left, and read for a while."""
        assert self._stream is not None
        record.ended_s = self._now()
        try:
            self._stream.sock.shutdown(SHUTDOWN_WRITE)
            deadline = self._scheduler.now() + HALF_CLOSED_S
            while self._stream.receive(deadline):
                pass
        except (OSError, TaskTimeoutError):
            pass
        self.close()

    def _send(self, record: RequestRecord) -> None:
        assert self._stream is not None
        data = encode_message(self._protocol, self.wire.head(record), self.wire.body(record))
        if record.act is ClientAct.CLOSE_AHEAD:
            data += NEXT_REQUEST + b"x" * AHEAD_BYTES
        self._stream.send(data, self._scheduler.now() + CONNECT_S)
        record.sent_s = self._now()

    def _receive(self, record: RequestRecord, disconnect_delay_s: float | None) -> bool:
        """Read the response and return whether the connection may be used again."""
        assert self._stream is not None
        wait_s = DEADLINE_S + RESPONSE_SLACK_S if disconnect_delay_s is None else disconnect_delay_s
        deadline = self._scheduler.now() + wait_s
        while True:
            received = receive_event(self._protocol, self._stream, deadline)
            if isinstance(received, h11.Response):
                record.status = received.status_code
                record.answered_attempt = self.wire.answered_attempt(record, dict(received.headers))
            elif isinstance(received, h11.Data):
                record.body += bytes(received.data)
            elif isinstance(received, h11.EndOfMessage):
                record.outcome = RequestOutcome.COMPLETE
                break
            else:
                raise ConnectionResetError("the connection ended before the response")
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
            return True
        return False


def registry_addresses(controller_ips: list[str]) -> list[str]:
    """Return the addresses at which clients look up which gateways to use."""
    return [f"{ip}:{DIRECTORY_PORT}" for ip in controller_ips]
