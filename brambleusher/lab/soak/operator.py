"""The operator of a soak: changes the configuration, evacuates zones, and reads the current configuration."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus

import h11
import orjson

from brambleusher.lab.soak.records import (
    AcknowledgedChange,
    ConfigurationRead,
    RequestKind,
    SoakRecord,
    ZoneOrder,
)
from brambleusher.lab.soak.wires import DEADLINE_S, HOST, revision_path
from brambleusher.runtime.h11_messages import encode_message, receive_event
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import Address

SERVICES = ("model", "notices")
REQUEST_TIMEOUT_S = 1.0  # the timeout of a request to one controller, after which another one is asked
PAUSE_S = 0.1
CHANGE_TIMEOUT_S = 12.0  # how long one change is retried
TRIES_MAX = 2  # the number of instances to which a route may send one request
LATENCY_TARGET_MS = 500
REVISION_ROUTES_MAX = 60  # a configuration has the routes of this many revisions; a soak has fewer
ROUND_TRIP_S = 0.042  # between an operator and a controller in another region


def configuration(revision: int, weight: int) -> bytes:
    """Return a complete configuration; `weight` makes its contents differ from those of other revisions."""
    routes: list[dict[str, object]] = [
        {
            "name": kind.value,
            "host": HOST,
            "path_prefix": f"/{kind.value}/",
            "kind": "streaming" if kind.is_stream else ("mutating" if kind.runs_once else "idempotent"),
            "deadline_ms": DEADLINE_S * 1000,
            "setpoint_ms": LATENCY_TARGET_MS + weight,
            "split": [{"service": _service(kind), "gain": weight}],
            "tries": 1 if kind.runs_once else TRIES_MAX,
            "resumable": kind is RequestKind.STREAM,
        }
        for kind in RequestKind
    ]
    oldest = max(1, revision - REVISION_ROUTES_MAX + 1)
    routes += [_revision_route(number) for number in range(oldest, revision + 1)]
    services = [{"name": name, "conn_limit": 4000} for name in SERVICES]
    limits = {"idle_ms": 15000}
    return orjson.dumps({"revision": revision, "routes": routes, "services": services, "limits": limits})


def _revision_route(revision: int) -> dict[str, object]:
    """Return a route that exists from a revision on."""
    return {
        "name": f"revision {revision}",
        "host": HOST,
        "path_prefix": revision_path(revision),
        "kind": "idempotent",
        "deadline_ms": DEADLINE_S * 1000,
        "setpoint_ms": LATENCY_TARGET_MS,
        "service": _service(RequestKind.READ),
        "tries": TRIES_MAX,
    }


def _zone_head(order: ZoneOrder) -> h11.Request:
    fields = [("Host", "controller"), ("Content-Length", "0")]
    method = "POST" if order.is_evacuated else "DELETE"
    return h11.Request(method=method, target=f"/api/evacuations/{order.zone}", headers=fields)


def _service(kind: RequestKind) -> str:
    return SERVICES[0] if kind.is_stream else SERVICES[1]


class Operator:
    """Sends each change to controllers chosen at random until one acknowledges it."""

    def __init__(
        self,
        scheduler: Scheduler,
        now: Callable[[], float],
        record: SoakRecord,
        rng: random.Random,
        controllers: dict[str, Address],
    ) -> None:
        self._scheduler, self._now, self._record, self._rng = scheduler, now, record, rng
        self._controllers = controllers
        self._highest_sent_revision = 0  # the highest revision sent so far
        self.changes_in_progress = 0

    @property
    def acknowledged_revision(self) -> int:
        """The newest acknowledged revision, or 0 if there is none."""
        return max((change.revision for change in self._record.changes), default=0)

    def change(self) -> bool:
        """Change the configuration and return whether the change was acknowledged."""
        return self._change(self._current_base())

    def race(self) -> None:
        """Send two concurrent changes on one base revision, of which at most one may be acknowledged."""
        base = self._current_base()
        outcomes: list[bool] = []
        revisions: list[int] = []

        def send() -> None:
            revisions.append(self._highest_sent_revision + 1)
            outcomes.append(self._change(base))

        other = self._scheduler.spawn(send, name="racing change")
        send()
        while not other.done:
            self._scheduler.sleep(PAUSE_S)
        if all(outcomes):
            self._record.conflicts.append((revisions[0], revisions[1]))

    def evacuate(self, zone: str, is_restored: bool) -> None:
        """Evacuate a zone, or end its evacuation if `is_restored` is set."""
        self._send_zone_order(ZoneOrder(zone, not is_restored, self._now()))

    def restore_over_held_up_link(self, zone: str, held_up_s: float) -> None:
        """End the evacuation of a zone by a link that holds the order up, then evacuate the zone again.

        The order is sent again elsewhere after `REQUEST_TIMEOUT_S`, and the held-up bytes arrive later.
        """
        order = ZoneOrder(zone, False, self._now())
        is_kept_open = self._rng.random() < 0.5
        address = self._controllers[self._any()]
        self._scheduler.spawn(
            self._send_held_up, address, _zone_head(order), held_up_s, is_kept_open, name="held-up order"
        )
        self._scheduler.sleep(REQUEST_TIMEOUT_S)
        self._send_zone_order(order)
        self.evacuate(zone, is_restored=False)

    def _send_zone_order(self, order: ZoneOrder) -> None:
        self._record.zone_orders.append(order)
        until = self._now() + CHANGE_TIMEOUT_S
        while self._now() < until and not order.is_acknowledged:
            head = _zone_head(order)
            status, _ = self._request(self._any(), head.method.decode(), head.target.decode())
            if HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR:
                self._record.refused_orders.append((self._now(), f"{order} got {status}"))
                break
            order.is_acknowledged = status == HTTPStatus.OK
            if not order.is_acknowledged:
                self._scheduler.sleep(PAUSE_S)
        order.ended_s = self._now()

    def _send_held_up(
        self, address: Address, head: h11.Request, held_up_s: float, is_kept_open: bool
    ) -> None:
        """Open a connection now, and send an order on it later; its end follows the order by a round trip."""
        arrives_at = self._scheduler.now() + held_up_s
        try:
            stream = Stream.connect(self._scheduler, address, arrives_at)
        except (OSError, TaskTimeoutError):
            return
        try:
            self._scheduler.sleep(arrives_at - self._scheduler.now())
            end = self._scheduler.now() + REQUEST_TIMEOUT_S
            stream.send(encode_message(h11.Connection(h11.CLIENT), head), end)
            if is_kept_open:
                stream.receive(end)
            else:
                self._scheduler.sleep(ROUND_TRIP_S)
        except (OSError, TaskTimeoutError):
            return
        finally:
            stream.close()

    def read(self, controller: str) -> int | None:
        """Read the configuration from one controller; return its revision, or None if there was no answer."""
        asked_s = self._now()
        status, body = self._request(controller, "GET", "/api/config")
        if status != HTTPStatus.OK:
            return None
        revision = int(orjson.loads(body).get("revision", 0))
        self._record.reads.append(ConfigurationRead(controller, asked_s, revision))
        return revision

    def _any(self) -> str:
        return self._rng.choice(list(self._controllers))

    def _current_base(self) -> int:
        """Return the current revision, as answered by any controller."""
        until = self._now() + CHANGE_TIMEOUT_S
        while self._now() < until:
            revision = self.read(self._any())
            if revision is not None:
                return revision
            self._scheduler.sleep(PAUSE_S)
        return self.acknowledged_revision

    def _change(self, base: int) -> bool:
        self._highest_sent_revision = revision = max(self._highest_sent_revision, base) + 1
        body = configuration(revision, self._rng.randint(1, 100))
        self.changes_in_progress += 1
        try:
            return self._send(base, revision, body)
        finally:
            self.changes_in_progress -= 1

    def _send(self, base: int, revision: int, body: bytes) -> bool:
        until = self._now() + CHANGE_TIMEOUT_S
        while self._now() < until:
            status, _ = self._request(self._any(), "PUT", "/api/config", body, {"If-Match": str(base)})
            if status == HTTPStatus.OK:
                self._record.changes.append(AcknowledgedChange(revision, self._now()))
                return True
            if status and status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return False
            self._scheduler.sleep(PAUSE_S)
        return False

    def _request(
        self,
        controller: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a request to a controller; the status is 0 if no complete response came."""
        deadline = self._scheduler.now() + REQUEST_TIMEOUT_S
        protocol = h11.Connection(h11.CLIENT)
        fields = [("Host", "controller"), ("Content-Length", str(len(body))), *(headers or {}).items()]
        head = h11.Request(method=method, target=target, headers=fields)
        try:
            stream = Stream.connect(self._scheduler, self._controllers[controller], deadline)
        except (OSError, TaskTimeoutError):
            return 0, b""
        try:
            stream.send(encode_message(protocol, head, body), deadline)
            return self._read(protocol, stream, deadline)
        except (OSError, TaskTimeoutError, h11.ProtocolError):
            return 0, b""
        finally:
            stream.close()

    @staticmethod
    def _read(protocol: h11.Connection, stream: Stream, deadline: float) -> tuple[int, bytes]:
        status, parts = 0, []
        while True:
            received = receive_event(protocol, stream, deadline)
            if isinstance(received, h11.Response):
                status = received.status_code
            elif isinstance(received, h11.Data):
                parts.append(bytes(received.data))
            elif isinstance(received, h11.EndOfMessage):
                return status, b"".join(parts)
            else:
                return 0, b""
