"""The gateway process: assembles and runs the data plane of one edge machine."""

from __future__ import annotations

import logging
import random
from http import HTTPStatus

from brambleusher.dataplane.attempts import AttemptRunner
from brambleusher.dataplane.configuration_client import ConfigurationClient
from brambleusher.dataplane.configuration_store import ConfigurationStore
from brambleusher.dataplane.connection_pool import ConnectionPool
from brambleusher.dataplane.counters import Counters
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.memory_budget import MemoryBudget
from brambleusher.dataplane.placement import Placement
from brambleusher.dataplane.request_handler import RequestHandler
from brambleusher.dataplane.response_failures import ResponseFailureLog
from brambleusher.dataplane.routing import RouteTable
from brambleusher.dataplane.upstream_client import UpstreamClient
from brambleusher.gateway.client_server import ClientServer
from brambleusher.gateway.gateway_metrics import GatewayMetrics
from brambleusher.gateway.graceful_shutdown import GracefulShutdown
from brambleusher.gateway.metrics_server import MetricsServer
from brambleusher.membership.controllers import Controllers, Locality
from brambleusher.membership.process import run_until_signalled
from brambleusher.membership.settings_watch import SettingsWatcher
from brambleusher.membership.views import Peer, PeerState
from brambleusher.runtime.build_identity import read_build_id
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, HttpServer, json_response
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import parse_address
from brambleusher.runtime.system import System
from brambleusher.wire.metrics_endpoint import MetricsEndpoint
from brambleusher.wire.policy import Policy
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

ROLE = "gateway"
BYTES_PER_MB = 1024 * 1024
NS_PER_MS = 1_000_000
BODY_MEMORY_DIVISOR = 4  # client request bodies may use 1/4 of the machine's memory
RESPONSE_MEMORY_DIVISOR = 8  # incomplete responses may use 1/8 of it
MAINTENANCE_INTERVAL_S = 0.25
DROPS_IDLE_SILENTLY = "pool"  # value in `in_force`: instances may drop idle connections without closing them
READY_PATH = "/api/readiness"
STATUS_PATH = "/api/status"


class Gateway:
    """A gateway: one process of the data plane."""

    def __init__(
        self,
        system: System,
        settings: Settings,
        path: str = "",
        policy: Policy | None = None,
        metrics_endpoint: MetricsEndpoint | None = None,
    ) -> None:
        """Create all components and listen; `path` is the settings file to watch, empty for none."""
        self.scheduler = Scheduler(system)
        self.settings = settings
        policy = policy or Policy()
        rng = random.Random(f"{settings.node_name} {system.wall_ns()}")
        self._incarnation = system.wall_ns() // NS_PER_MS
        self._shutdown = GracefulShutdown(self.scheduler, lambda: self.settings.bounds.grace_s)
        self.counters = Counters()
        self.instances = InstanceTable(settings.zones, rng, policy, settings.node_name)
        drops_idle_silently = DROPS_IDLE_SILENTLY in settings.in_force
        self.connection_pool = ConnectionPool(self.scheduler, self.instances, drops_idle_silently, policy)
        self._failures = ResponseFailureLog(self.scheduler)
        self._upstream = UpstreamClient(self.scheduler, self.instances, self.connection_pool, self._failures)
        locality = Locality(settings.zone, settings.region)
        self.controllers = Controllers(settings.seed_peers(), rng, locality)
        self._configuration = ConfigurationStore(
            self.scheduler, self.controllers, self.instances, self.connection_pool.close_idle
        )
        self._configuration_client = ConfigurationClient(
            self.scheduler, self.controllers, self.instances, self._configuration, self._describe_self
        )
        self._ready_server = HttpServer(
            self.scheduler, parse_address(settings.bind.ready), self._handle_request
        )
        self.body_memory = MemoryBudget(settings.limits.memory_mb * BYTES_PER_MB // BODY_MEMORY_DIVISOR)
        self.response_memory = MemoryBudget(
            settings.limits.memory_mb * BYTES_PER_MB // RESPONSE_MEMORY_DIVISOR
        )
        self._clients = self._client_server(self._request_handler(policy, rng))
        if metrics_endpoint is not None:
            self._serve_metrics(metrics_endpoint)
        self._settings_watcher = SettingsWatcher(self.scheduler, path, self._apply_settings)
        self.scheduler.spawn(self._run_maintenance, name="maintenance")

    def _client_server(self, handler: RequestHandler) -> ClientServer:
        return ClientServer(
            self.scheduler,
            parse_address(self.settings.bind.front),
            handler,
            self.counters,
            self.body_memory,
            lambda: self._configuration.routes,
            self._accepts_requests,
        )

    def _serve_metrics(self, endpoint: MetricsEndpoint) -> None:
        metrics = GatewayMetrics(
            self.scheduler,
            self.counters,
            self._clients,
            self.instances,
            self._configuration,
            self.response_memory,
            self._failures,
        )
        MetricsServer(self.scheduler, self.settings.ip, endpoint, metrics)

    def _request_handler(self, policy: Policy, rng: random.Random) -> RequestHandler:
        settings = self.settings
        placement = Placement(self.instances, settings.region, policy)
        attempts = AttemptRunner(
            self.scheduler, self.instances, placement, self._upstream, self.counters, policy
        )
        return RequestHandler(
            self.scheduler,
            settings.bounds,
            self.instances,
            attempts,
            self.counters,
            rng,
            self._shutdown.can_finish,
            self.response_memory,
        )

    # --- lifecycle --------------------------------------------------------------------------------

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until the graceful shutdown is complete."""
        fields = {"role": ROLE, "name": self.settings.node_name, "build": read_build_id()}
        log.info("process started", extra={"fields": fields})
        run_until_signalled(self.scheduler, self.begin_graceful_shutdown, self._settings_watcher)
        log.info("process stopped", extra={"fields": {"role": ROLE, **self.counters.as_json()}})

    def begin_graceful_shutdown(self) -> None:
        """Become not ready, close connections after their responses, then end the process."""
        self._shutdown.begin(self._clients)

    @property
    def is_ready(self) -> bool:
        """Whether this gateway should receive requests from clients."""
        return self._has_configuration and not self._shutdown.has_begun

    @property
    def _has_configuration(self) -> bool:
        return self._configuration.routes is not None and self.instances.has_list

    @property
    def routes(self) -> RouteTable | None:
        """The routes in force, None before the first configuration arrives."""
        return self._configuration.routes

    def _accepts_requests(self) -> bool:
        return self.instances.has_list and not self._shutdown.is_too_late_for_requests

    def _describe_self(self) -> Peer:
        settings = self.settings
        state = PeerState.READY if self.is_ready else PeerState.STARTING
        if self._shutdown.has_begun:
            state = PeerState.DRAINING
        return Peer(
            settings.node_name,
            ROLE,
            settings.bind.front,
            settings.zone,
            settings.region,
            state,
            self._incarnation,
        )

    # --- status -----------------------------------------------------------------------------------

    def _handle_request(self, request: HttpRequest) -> HttpResponse:
        if request.path == READY_PATH:
            status = HTTPStatus.OK if self.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            return json_response(status, {"ready": self.is_ready})
        if request.path == STATUS_PATH:
            return json_response(HTTPStatus.OK, self.status())
        reason = f"{request.method} {request.path} is no call of this gateway"
        return json_response(HTTPStatus.NOT_FOUND, {"error": reason})

    def status(self) -> dict[str, object]:
        """Return the gateway's status as one JSON object."""
        routes = self.routes
        return {
            "ready": self.is_ready,
            "version": self._configuration.state_index,
            "revision": routes.revision if routes is not None else 0,
            "gateways": self.instances.gateway_count,
            "weights": {name: weights.weights() for name, weights in self.instances.weights.items()},
            "malformed_loads": self._upstream.malformed_loads,
            "counters": self.counters.as_json(),
        }

    # --- maintenance ------------------------------------------------------------------------------

    def _run_maintenance(self) -> None:
        while True:
            try:
                self.scheduler.park(self.scheduler.now() + MAINTENANCE_INTERVAL_S)
            except TaskTimeoutError:
                self.instances.tick(self.scheduler.now())
                self.connection_pool.tick(MAINTENANCE_INTERVAL_S)
                for service in list(self.instances.weights):
                    self.connection_pool.close_expired(self.instances.for_service(service))

    def _apply_settings(self, settings: Settings) -> None:
        """Apply the seeds of changed settings; other changes require a restart."""
        self.controllers.set_seeds(settings.seed_peers())
        log.info("settings reloaded", extra={"fields": {"seeds": ",".join(settings.seeds)}})
