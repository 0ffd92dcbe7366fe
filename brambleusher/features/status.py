"""The status page: what this sidecar knows of its endpoints, on a port of its own.

Everything it serves is built beforehand, by a timer.  Whoever looks, and however slowly, only has
ready bytes sent to him by one of a few tasks.
"""

from __future__ import annotations

import html
import logging
from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import Any

import orjson

from brambleusher import __version__
from brambleusher.decisions.balancer_driver import AttemptOutcome, ClientRequest, DecisionObserver
from brambleusher.features.row_blocks import RowBlocks
from brambleusher.loadbalancing.api import AttemptStatus, HostState, Settings
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate, state_word
from brambleusher.net.http import HttpError, Message, MessageReader, write_response
from brambleusher.operator_settings.configuration import StatusSettings
from brambleusher.runtime.scheduler import Event, Scheduler, Task, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.runtime.system import RESOURCE_EXHAUSTION_ERRNOS, Socket

log = logging.getLogger(__name__)

MAX_VIEWERS = 8  # connections served at once; others wait in the system's queue
DESCRIPTORS = MAX_VIEWERS + 1
BACKLOG = 16
VIEW_SECONDS = 2.0  # from the accept to the last byte that a viewer takes
NO_DESCRIPTOR_SECONDS = 0.05
MINUTE = 60
ERRORS_KEPT = 3
FEW = 8  # pieces of a page are put together
_NO_ERROR = frozenset({AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.NOT_STARTED})

_STYLE = (
    "body{font-family:sans-serif}table{border-collapse:collapse}td,th{border:1px solid;padding:.2em .5em}"
)


class StatusPage(DecisionObserver):
    """Keeps what the page shows, builds it, serves it."""

    def __init__(
        self,
        settings: StatusSettings,
        served: Settings,
        scheduler: Scheduler,
        standing: Callable[[], dict[str, object] | None] = lambda: None,
    ) -> None:
        self._standing = standing  # what the decisions make of zones, where there are rules on them
        self._port, self._refresh_seconds = settings.port, settings.refresh_ms / 1000
        self._scheduler, self._classes = scheduler, [cls.name for cls in served.classes]
        self._started = scheduler.now()
        self._endpoints: dict[str, Endpoint] = {}
        self._rows = RowBlocks(self._rendered)
        self._errors: dict[str, deque[tuple[int, str]]] = {}
        self._inflight = dict.fromkeys(self._classes, 0)
        self._answers: deque[tuple[int, Counter[str]]] = deque()  # by second, the last minute's
        self._pages: dict[str, list[bytes]] = {}  # in pieces, which several pages share
        self._listener: Socket | None = None
        self.address: tuple[str, int] | None = None  # where it listens
        self._accepting: Task | None = None
        self._refreshing: Task | None = None
        self._viewers: dict[Task, Stream] = {}
        self._room = Event()

    def start(self, host: str) -> None:
        """Listen on the host the sidecar itself listens on; where that can't be, it is logged."""
        try:
            listener = self._scheduler.system.listen((host, self._port), BACKLOG)
        except OSError as error:
            log.error("no status page", extra={"fields": {"port": self._port, "error": error.strerror}})
            return
        self._listener = listener
        self.address = str(listener.getsockname()[0]), int(listener.getsockname()[1])
        log.info("status page", extra={"fields": {"address": "{}:{}".format(*self.address)}})
        while self._rows.step():
            pass
        self._build()
        self._refreshing = self._scheduler.spawn(self._refresh, name="status page")
        self._accepting = self._scheduler.spawn(self._accept_all, listener, name="status")

    @property
    def viewers(self) -> int:
        """Connections being served."""
        return len(self._viewers)

    def stop(self) -> None:
        """Close the listener and the viewers' connections."""
        if self._listener is None:
            return
        for task in (self._accepting, self._refreshing):
            if task is not None:
                task.cancel()
        self._listener.close()
        self._listener = None
        for task, stream in self._viewers.items():
            task.cancel()
            stream.close()

    # --- what is shown --------------------------------------------------------------------------

    def listed(self, update: EndpointListUpdate) -> None:
        """News of the endpoint list; shown at the next refresh."""
        if update.full:
            self._endpoints.clear()
            self._rows = RowBlocks(self._rendered)
        for endpoint in update.endpoints:
            name = endpoint.entry.host
            if endpoint.entry.state is HostState.REMOVED:
                self._endpoints.pop(name, None)
                self._errors.pop(name, None)
                self._rows.removed(name)
            else:
                self._endpoints[name] = endpoint
                self._rows.changed(name)
        if update.full:
            self._errors = {name: kept for name, kept in self._errors.items() if name in self._endpoints}

    def request_accepted(self, request: ClientRequest) -> None:
        """A request was taken."""
        self._inflight[request.request_class] += 1

    def attempt_finished(self, request: ClientRequest, endpoint: str, outcome: AttemptOutcome) -> None:
        """An attempt has ended; what went wrong is kept with its node."""
        if outcome.status not in _NO_ERROR and endpoint in self._endpoints:
            errors = self._errors.setdefault(endpoint, deque(maxlen=ERRORS_KEPT))
            errors.append((int(self._age() * 1000), outcome.status.value))
            self._rows.changed(endpoint)

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """A request is over."""
        self._inflight[request.request_class] -= 1
        if kind is None:
            return
        second = int(self._age())
        if not self._answers or self._answers[-1][0] != second:
            self._forget(second)
            self._answers.append((second, Counter()))
        self._answers[-1][1][request.request_class] += 1

    def _age(self) -> float:
        return self._scheduler.now() - self._started

    def _forget(self, second: int) -> None:
        while self._answers and self._answers[0][0] <= second - MINUTE:
            self._answers.popleft()

    def _refresh(self) -> None:
        """The task: the page anew, now and then; of thousands of rows those that changed, block by block."""
        while True:
            self._scheduler.sleep(self._refresh_seconds)
            for _ in range(len(self._rows)):  # at the most: rows may change all the time
                if not self._rows.step():
                    break
                self._scheduler.breathe()
            self._build()

    def _build(self) -> None:
        now, (rows, servers) = self.snapshot(), self._rows.made()
        for path, kind, body in (
            ("/", "text/html; charset=utf-8", page(now, rows)),
            ("/status.json", "application/json", [orjson.dumps(now)[:-1], b',"servers":[', *servers, b"]}"]),
        ):
            headers = [("Content-Type", kind), ("Cache-Control", "no-store")]
            head = write_response(200, headers, b"", keep_alive=False, length=sum(map(len, body)))
            self._pages[path] = [head, *body] if len(body) > FEW else [head + b"".join(body)]

    def snapshot(self) -> dict[str, Any]:
        """All that is shown but the servers, as of now."""
        self._forget(int(self._age()))
        minute: Counter[str] = Counter()
        for _, answers in self._answers:
            minute.update(answers)
        standing = self._standing()
        return {
            **({} if standing is None else {"zones": standing}),
            "version": __version__,
            "uptime_s": int(self._age()),
            "inflight": dict(self._inflight),
            "answers_per_minute": {name: minute[name] for name in self._classes},
        }

    def _rendered(self, name: str) -> tuple[bytes, bytes]:
        endpoint = self._endpoints[name]
        return row_of(
            {
                "id": name,
                "addr": f"{endpoint.address[0]}:{endpoint.address[1]}",
                "state": state_word(endpoint.entry.state),
                "errors": [{"t_ms": at, "error": error} for at, error in self._errors.get(name, ())],
            }
        )

    # --- viewers --------------------------------------------------------------------------------

    def _accept_all(self, listener: Socket) -> None:
        while True:
            if len(self._viewers) >= MAX_VIEWERS:
                self._scheduler.park(event=self._room)
                continue
            try:
                sock, _ = self._scheduler.system.accept(listener)
            except BlockingIOError:
                self._scheduler.park(sock=listener)
                continue
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    # Guards against a loop at full speed while no descriptor is free.
                    self._scheduler.sleep(NO_DESCRIPTOR_SECONDS)
                continue
            self._view(Stream(self._scheduler, sock))

    def _view(self, stream: Stream) -> None:
        def serve() -> None:
            try:
                self._serve(stream)
            except (OSError, TaskTimeoutError):
                return
            finally:
                stream.close()
                del self._viewers[task]
                self._room.set()

        task = self._scheduler.spawn(serve, name="viewer")
        self._viewers[task] = stream

    def _serve(self, stream: Stream) -> None:
        """One request, one answer, and the connection ends."""
        reader, deadline = MessageReader.requests(), self._scheduler.now() + VIEW_SECONDS
        try:
            while (request := reader.take()) is None:
                data = stream.receive(deadline)
                if not data:
                    return
                reader.feed(data)
            answer = self._answer(request)
        except HttpError as error:
            answer = [write_response(error.status, [], f"{error}\n".encode(), keep_alive=False)]
        for piece in answer:
            stream.send(piece, deadline)
        stream.finish()

    def _answer(self, request: Message) -> list[bytes]:
        method, target = request.start
        found = self._pages.get(target.split("?", 1)[0])
        if found is None:
            raise HttpError(404, "there is / and /status.json")
        if method != "GET":
            return [write_response(405, [("Allow", "GET")], b"only GET\n", keep_alive=False)]
        return found


def _row(cells: list[object], tag: str = "td") -> str:
    return "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"


def row_of(server: dict[str, Any]) -> tuple[bytes, bytes]:
    """A server as the page's row and as JSON; whatever came from outside is escaped."""
    errors = ", ".join(f"{error['error']} at {error['t_ms']} ms" for error in server["errors"])
    row = _row([server["id"], server["addr"], server["state"], errors])
    return row.encode() + b"\n", orjson.dumps(server)


def page(now: dict[str, Any], servers: Iterable[bytes]) -> list[bytes]:
    """A snapshot as plain HTML round the servers' rows, in pieces; whatever came from outside is escaped."""
    classes = [
        _row([name, inflight, now["answers_per_minute"][name]]) for name, inflight in now["inflight"].items()
    ]
    zones: list[str] = []
    if (told := now.get("zones")) is not None:
        names = list(told["zones"][0]) if told["zones"] else []
        zones = [
            f"<h2>Zones</h2><p>panic: {told['panic']}, fits nowhere: {told['beyond']}</p><table>",
            _row(list(names), "th"), *(_row(list(zone.values())) for zone in told["zones"]), "</table>",
        ]  # fmt: skip
    before = [
        f'<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>brambleusher</title>'
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>brambleusher {html.escape(now['version'])}</h1><p>up for {now['uptime_s']} s</p>",
        "<h2>Servers</h2><table>", _row(["id", "addr", "state", "last errors"], "th"),
    ]  # fmt: skip
    after = [
        "</table><h2>Requests</h2><table>", _row(["class", "inflight", "answers per minute"], "th"), *classes,
        "</table>", *zones, "</body></html>\n",
    ]  # fmt: skip
    return ["\n".join(before).encode() + b"\n", *servers, "\n".join(after).encode()]
