"""The gateway: assembles the data plane of one edge machine, and its life from start to SIGTERM."""

from __future__ import annotations

import logging
import random

import h11

from brambleusher.dataplane.client_connection import NO_MEMORY, BodyMemory, ClientConnection, RequestTooLarge
from brambleusher.dataplane.counters import Counters
from brambleusher.dataplane.instances import Instance, Instances
from brambleusher.dataplane.serving import Serving
from brambleusher.dataplane.upstream import Upstream
from brambleusher.dataplane.watcher import Watcher
from brambleusher.membership.controllers import Controllers, Locality
from brambleusher.membership.process import run_until_signalled
from brambleusher.membership.settings_watch import SettingsWatcher
from brambleusher.membership.views import Peer, PeerState
from brambleusher.runtime.acceptor import Acceptor
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer, json_response
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream, parse_address
from brambleusher.runtime.system import System
from brambleusher.wire.configuration import Limits
from brambleusher.wire.policy import Policy
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

BYTES_A_MB = 1024 * 1024
BODIES_PART = 4  # one over the part of the machine's memory that clients' bodies may take
UPKEEP_S = 0.25
POOL_CONTRACT = "pool"  # in `in_force` where idle connections may be forgotten unseen
CLIENTS_MAX = 2500
READY_PATH = "/api/readiness"
STATUS_PATH = "/api/status"
LEAVE_LEAST_S = 2.6  # after SIGTERM: clients hold the registry's last answer for so long
LEAVE_QUIET_S = 0.6  # without a request for so long the gateway may end
LAST_REQUESTS_S = 3.0  # before SIGKILL: requests that come later are sent elsewhere
LEAVE_MARGIN_S = 0.3  # before SIGKILL the process is over
NOT_YET_S = 0.3  # until a client should come back to a gateway that knows no configuration


class Gateway:
    """One process of the data plane."""

    def __init__(
        self, system: System, settings: Settings, path: str = "", policy: Policy | None = None
    ) -> None:
        self.scheduler = Scheduler(system)
        self.settings = settings
        rng = random.Random(f"{settings.node_name} {system.wall_ns()}")
        self._incarnation = system.wall_ns() // 1_000_000
        self._leaving_at: float | None = None
        self._last_request_at = 0.0
        self._active = 0
        self._clients: set[ClientConnection] = set()
        self._body_memory = BodyMemory(settings.limits.memory_mb * BYTES_A_MB // BODIES_PART)
        policy = policy or Policy()
        self.counters = Counters()
        self.instances = Instances(settings.zones, rng, policy, settings.node_name)
        self._upstream = Upstream(self.scheduler, self.instances, POOL_CONTRACT in settings.in_force, policy)
        self._controllers = Controllers(settings.seed_peers(), rng, Locality(settings.zone, settings.region))
        self._watcher = Watcher(
            self.scheduler, self._controllers, self.instances, self._self, self._close_idle
        )
        self._serving = Serving(
            self.scheduler,
            settings.region,
            settings.bounds,
            self.instances,
            self._upstream,
            self.counters,
            rng,
            policy,
        )
        self._ready = HttpServer(self.scheduler, parse_address(settings.bind.ready), self._answer_ready)
        self._front = Acceptor(self.scheduler, parse_address(settings.bind.front), self._serve, CLIENTS_MAX)
        self._watch = SettingsWatcher(self.scheduler, path, self._settings_changed)
        self.scheduler.spawn(self._upkeep, name="upkeep")

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT and what follows is over."""
        log.info("gateway started", extra={"fields": {"name": self.settings.node_name}})
        run_until_signalled(self.scheduler, self.leave, self._watch)
        log.info("gateway ended", extra={"fields": dict(self.counters.as_json())})

    def leave(self) -> None:
        """Take leave: not ready, connections end with their answers, then the process does."""
        if self._leaving_at is not None:
            return
        self._leaving_at = self.scheduler.now()
        log.info("gateway leaves", extra={"fields": {"active": self._active}})
        for client in self._clients:
            client.ending = True
        self.scheduler.spawn(self._end, name="end")

    @property
    def ready(self) -> bool:
        """Whether clients should come here."""
        known = self._watcher.routes is not None and self.instances.listed
        return known and self._leaving_at is None

    # --- clients ---------------------------------------------------------------------------------

    def _serve(self, stream: Stream, peer: str) -> None:
        routes = self._watcher.routes
        limits = routes.limits if routes is not None else Limits()
        client = ClientConnection(self.scheduler, stream, limits, self._body_memory)
        client.ending = self._leaving_at is not None
        self._clients.add(client)
        try:
            while self._serve_one(client):
                pass
        except h11.LocalProtocolError:
            log.exception("an answer could not be worded")
        finally:
            client.release()
            self._clients.discard(client)

    def _serve_one(self, client: ClientConnection) -> bool:
        """One request; whether another may follow."""
        try:
            request = client.read()
        except h11.RemoteProtocolError as error:
            self.counters.add("bad_request")
            client.error(error.error_status_hint, str(error))
            client.stream.finish()
            return False
        except RequestTooLarge as error:
            self.counters.add("too_large")
            wait = NOT_YET_S if error.status == NO_MEMORY else None
            client.error(error.status, "the request is over the limits", retry_after_s=wait)
            client.stream.finish()
            return False
        if request is None:
            return False
        self._active += 1
        self._last_request_at = self.scheduler.now()
        try:
            routes = self._watcher.routes
            if routes is None or not self.instances.listed or self._too_late():
                attempt_id = request.header(b"x-attempt-id")
                self.counters.add("not_serving")
                client.error(503, "this gateway does not serve now", attempt_id, NOT_YET_S)
            else:
                client.limits = routes.limits
                self._serving.serve(client, request, routes)
        finally:
            self._active -= 1
        if client.ending:
            if client.stream.open:
                client.stream.finish()
            return False
        return client.stream.open and client.next()

    def _too_late(self) -> bool:
        """Whether a request that comes now could be cut off by SIGKILL."""
        if self._leaving_at is None:
            return False
        return self.scheduler.now() > self._leaving_at + self.settings.bounds.grace_s - LAST_REQUESTS_S

    def _end(self) -> None:
        assert self._leaving_at is not None
        last = self._leaving_at + self.settings.bounds.grace_s - LEAVE_MARGIN_S
        earliest = min(self._leaving_at + LEAVE_LEAST_S, last)
        while (now := self.scheduler.now()) < last:
            quiet = self._active == 0 and now - self._last_request_at > LEAVE_QUIET_S
            if now >= earliest and quiet:
                break
            self.scheduler.sleep(0.05)
        self._front.close()
        for client in list(self._clients):
            client.closing = True
            if client.idle:
                client.wake.set()
        while self._active and self.scheduler.now() < last:
            self.scheduler.sleep(0.02)
        self.scheduler.sleep(0.02)
        self.scheduler.stop()

    # --- the rest --------------------------------------------------------------------------------

    def _self(self) -> Peer:
        settings = self.settings
        state = PeerState.READY if self.ready else PeerState.STARTING
        if self._leaving_at is not None:
            state = PeerState.DRAINING
        return Peer(
            settings.node_name,
            "gateway",
            settings.bind.front,
            settings.zone,
            settings.region,
            state,
            self._incarnation,
        )

    def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        if request.path == READY_PATH:
            return json_response(200 if self.ready else 503, {"ready": self.ready})
        if request.path == STATUS_PATH:
            return json_response(200, self.status())
        return json_response(404, {"error": f"{request.method} {request.path} is no call of this gateway"})

    def status(self) -> dict[str, object]:
        """The state as one JSON object."""
        routes = self._watcher.routes
        return {
            "ready": self.ready,
            "version": self._watcher.index,
            "revision": routes.revision if routes is not None else 0,
            "gateways": self.instances.gateways,
            "weights": {name: weights.weights() for name, weights in self.instances.weights.items()},
            "malformed_loads": self._upstream.malformed_loads,
            "counters": self.counters.as_json(),
        }

    def _close_idle(self, instances: list[Instance]) -> None:
        for instance in instances:
            self._upstream.close_idle(instance)

    def _upkeep(self) -> None:
        while True:
            try:
                self.scheduler.park(self.scheduler.now() + UPKEEP_S)
            except TaskTimeoutError:
                self.instances.tick(self.scheduler.now())
                self._upstream.tick(UPKEEP_S)
                for service in list(self.instances.weights):
                    self._upstream.expire(self.instances.of(service))

    def _settings_changed(self, settings: Settings) -> None:
        self._controllers.set_seeds(settings.seed_peers())
        log.info("settings read again", extra={"fields": {"seeds": ",".join(settings.seeds)}})
