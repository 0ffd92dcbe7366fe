"""The status page with this sidecar's endpoints and requests, served on a separate port.

A timer builds the page in advance.  A request for it, even from a slow client, only sends prepared bytes in
one of a few tasks.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable
from typing import cast

import orjson

from brambleusher import __version__
from brambleusher.decisions.observers import DecisionObserver
from brambleusher.decisions.requests import AttemptOutcome, ClientRequest
from brambleusher.features.row_blocks import RowBlocks
from brambleusher.features.status_rendering import (
    StatusSnapshot,
    ZonesStatus,
    render_page,
    render_server,
)
from brambleusher.features.status_server import DESCRIPTORS, MAX_VIEWERS, StatusServer
from brambleusher.loadbalancing.api import AttemptStatus, HostState, Settings
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate, state_name
from brambleusher.net.http import write_response
from brambleusher.operator_settings.configuration import StatusSettings
from brambleusher.runtime.scheduler import Scheduler, Task

__all__ = ["DESCRIPTORS", "MAX_VIEWERS", "StatusPage"]

log = logging.getLogger(__name__)

MINUTE_S = 60
MAX_ERRORS_PER_ENDPOINT = 3  # the number of recent errors shown for each endpoint
MAX_JOINED_CHUNKS = 8  # a response with at most this many chunks is joined into one
_NO_ERROR = frozenset({AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.NOT_STARTED})


def _no_zones() -> dict[str, object] | None:
    return None


class StatusPage(DecisionObserver):
    """Collects the data of the status page, and builds the page at regular intervals."""

    def __init__(
        self,
        settings: StatusSettings,
        served: Settings,
        scheduler: Scheduler,
        zone_status: Callable[[], dict[str, object] | None] = _no_zones,
    ) -> None:
        """Create the page; `zone_status` returns the balancer's zone status, or None without zone rules."""
        self._zone_status = zone_status
        self._port, self._refresh_interval_s = settings.port, settings.refresh_ms / 1000
        self._scheduler, self._classes = scheduler, [cls.name for cls in served.classes]
        self._started = scheduler.now()
        self._endpoints: dict[str, Endpoint] = {}
        self._rows = RowBlocks(self._render_endpoint)
        self._errors: dict[str, deque[tuple[int, str]]] = {}
        self._inflight = dict.fromkeys(self._classes, 0)
        self._answers: deque[tuple[int, Counter[str]]] = deque()  # responses by class, per second
        self._pages: dict[str, list[bytes]] = {}  # response chunks by path; pages may share chunks
        self._server = StatusServer(scheduler, self._pages)
        self._refreshing: Task | None = None
        self.address: tuple[str, int] | None = None  # the address that the page listens on

    def start(self, host: str) -> None:
        """Listen on `host`, the sidecar's own; a failure to listen is only logged."""
        try:
            self.address = self._server.listen((host, self._port))
        except OSError as error:
            self._log_listen_failed(error)
            return
        log.info("status page listening", extra={"fields": {"address": "{}:{}".format(*self.address)}})
        while self._rows.render_next():
            pass
        self._build()
        self._refreshing = self._scheduler.spawn(self._refresh, name="status page")
        self._server.start()

    def _log_listen_failed(self, error: OSError) -> None:
        fields = {"port": self._port, "error": error.strerror}
        log.error("status page listen failed", extra={"fields": fields})

    @property
    def viewers(self) -> int:
        """The number of connections being served."""
        return self._server.viewers

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._refreshing is not None:
            self._refreshing.cancel()
        self._server.stop()

    # --- observed events ------------------------------------------------------------------------

    def update_endpoints(self, update: EndpointListUpdate) -> None:
        """Apply an endpoint list update, which is shown after the next refresh."""
        if update.full:
            self._endpoints.clear()
            self._rows = RowBlocks(self._render_endpoint)
        for endpoint in update.endpoints:
            name = endpoint.entry.host
            if endpoint.entry.state is HostState.REMOVED:
                self._endpoints.pop(name, None)
                self._errors.pop(name, None)
                self._rows.remove_row(name)
            else:
                self._endpoints[name] = endpoint
                self._rows.mark_changed(name)
        if update.full:
            self._errors = {name: recent for name, recent in self._errors.items() if name in self._endpoints}

    def request_accepted(self, request: ClientRequest) -> None:
        """Count a request that was accepted."""
        self._inflight[request.request_class] += 1

    def attempt_finished(self, _request: ClientRequest, endpoint: str, outcome: AttemptOutcome) -> None:
        """Record the error of a failed attempt for its endpoint."""
        if outcome.status not in _NO_ERROR and endpoint in self._endpoints:
            errors = self._errors.setdefault(endpoint, deque(maxlen=MAX_ERRORS_PER_ENDPOINT))
            errors.append((int(self._age_s() * 1000), outcome.status.value))
            self._rows.mark_changed(endpoint)

    def request_finished(self, request: ClientRequest, kind: str | None, _took_ns: int) -> None:
        """Count a request that has ended."""
        self._inflight[request.request_class] -= 1
        if kind is None:
            return
        second = int(self._age_s())
        if not self._answers or self._answers[-1][0] != second:
            self._drop_before_last_minute(second)
            self._answers.append((second, Counter()))
        self._answers[-1][1][request.request_class] += 1

    def _age_s(self) -> float:
        return self._scheduler.now() - self._started

    def _drop_before_last_minute(self, second: int) -> None:
        while self._answers and self._answers[0][0] <= second - MINUTE_S:
            self._answers.popleft()

    # --- building the page ----------------------------------------------------------------------

    def _refresh(self) -> None:
        """Build the page at regular intervals; render only blocks with changed rows, one block at a time."""
        while True:
            self._scheduler.sleep(self._refresh_interval_s)
            for _ in range(len(self._rows)):  # bounded, since rows may change while blocks are rendered
                if not self._rows.render_next():
                    break
                self._scheduler.yield_until_idle()
            self._build()

    def _build(self) -> None:
        snapshot, (rows, servers) = self.snapshot(), self._rows.rendered_chunks()
        json = [orjson.dumps(snapshot)[:-1], b',"servers":[', *servers, b"]}"]
        self._pages["/"] = _response("text/html; charset=utf-8", render_page(snapshot, rows))
        self._pages["/status.json"] = _response("application/json", json)

    def snapshot(self) -> StatusSnapshot:
        """Return the current status, except for the servers."""
        self._drop_before_last_minute(int(self._age_s()))
        minute: Counter[str] = Counter()
        for _, answers in self._answers:
            minute.update(answers)
        zones = self._zone_status()
        snapshot: StatusSnapshot = {
            "version": __version__,
            "uptime_s": int(self._age_s()),
            "inflight": dict(self._inflight),
            "answers_per_minute": {name: minute[name] for name in self._classes},
        }
        return snapshot if zones is None else {"zones": cast(ZonesStatus, zones), **snapshot}

    def _render_endpoint(self, name: str) -> tuple[bytes, bytes]:
        endpoint = self._endpoints[name]
        errors = self._errors.get(name, ())
        return render_server(
            {
                "id": name,
                "addr": f"{endpoint.address[0]}:{endpoint.address[1]}",
                "state": state_name(endpoint.entry.state),
                "errors": [{"t_ms": at_ms, "error": error} for at_ms, error in errors],
            }
        )


def _response(content_type: str, body: list[bytes]) -> list[bytes]:
    """Return a complete HTTP response as chunks."""
    headers = [("Content-Type", content_type), ("Cache-Control", "no-store")]
    head = write_response(200, headers, b"", keep_alive=False, length=sum(map(len, body)))
    return [head, *body] if len(body) > MAX_JOINED_CHUNKS else [head + b"".join(body)]
