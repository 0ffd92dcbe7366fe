"""The base of controllers and observers: listeners, settings, startup and graceful shutdown."""

from __future__ import annotations

import logging
import random
from abc import ABC, abstractmethod
from typing import ClassVar

from brambleusher.controller.peer_senders import PeerSenders
from brambleusher.controlplane.admin_listeners import AdminListeners
from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.registry import resolver
from brambleusher.membership.line_connection import LineServer
from brambleusher.membership.process import run_until_signalled
from brambleusher.membership.settings_watch import SettingsWatcher
from brambleusher.observability.log_format import RateLimitedLog
from brambleusher.runtime.build_identity import read_build_id
from brambleusher.runtime.http_server import HttpRequest, HttpResponse
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.runtime.system import System
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)


class ControlPlaneProcess(ABC):
    """A control plane process that serves gateways, operators and registry clients."""

    role: ClassVar[str]
    peer_connections_max: ClassVar[int]

    def __init__(self, system: System, settings: Settings) -> None:
        self.scheduler = Scheduler(system)
        self.settings = settings
        self._rng = random.Random(f"{settings.node_name} {system.wall_ns()}")
        self._senders = PeerSenders(self.scheduler)
        self._is_shutting_down = False
        self._rate_limited_log = RateLimitedLog(log, self.scheduler.now)

    def _listen(self, admin_api: AdminApi, settings_path: str) -> None:
        """Open all listeners; `settings_path` is the settings file to watch, empty for none."""
        settings = self.settings
        self._line_server = LineServer(
            self.scheduler,
            parse_address(settings.peer_address),
            lambda message, _host: self.handle_message(message),
            self._log_invalid_message,
            self.peer_connections_max,
        )
        self._admin_listeners = AdminListeners(self.scheduler, settings.bind, admin_api.handle, self._resolve)
        self._settings_watcher = SettingsWatcher(self.scheduler, settings_path, self._apply_settings)

    # --- lifecycle --------------------------------------------------------------------------------

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until the graceful shutdown is complete."""
        fields = {"role": self.role, "name": self.settings.node_name, "build": read_build_id()}
        log.info("process started", extra={"fields": fields})
        run_until_signalled(self.scheduler, self.begin_graceful_shutdown, self._settings_watcher)

    def begin_graceful_shutdown(self) -> None:
        """Begin the shutdown once: close client connections after their responses, then end the process."""
        if self._is_shutting_down:
            return
        self._is_shutting_down = True
        log.info("graceful shutdown started", extra={"fields": {"role": self.role}})
        self._admin_listeners.close_after_responses()
        self._prepare_shutdown()
        self.scheduler.spawn(self._finish_shutdown, name="graceful_shutdown")

    def _finish_shutdown(self) -> None:
        self._await_shutdown()
        self.scheduler.stop()

    @abstractmethod
    def _prepare_shutdown(self) -> None:
        """Start the actions that must complete before the process may end."""

    @abstractmethod
    def _await_shutdown(self) -> None:
        """Wait until the shutdown actions are complete and the process may end."""

    # --- requests ---------------------------------------------------------------------------------

    @abstractmethod
    def handle_message(self, message: dict[str, object]) -> dict[str, object] | None:
        """Return the reply to another process's message, None if the message gets no reply.

        Raises:
            InvalidMessageError: The message is malformed.
        """

    @abstractmethod
    def find_gateways(self, zone: str, region: str) -> list[str]:
        """Return addresses of gateways for a client in a zone, empty if no gateway is known to be ready."""

    @abstractmethod
    def _apply_seeds(self, settings: Settings) -> None:
        """Apply the seeds of changed settings."""

    def _resolve(self, request: HttpRequest) -> HttpResponse:
        return resolver.respond(request, self.find_gateways, self.settings.bounds.ttl_max_s)

    def _log_invalid_message(self, host: str, reason: str) -> None:
        self._rate_limited_log.warning("invalid peer message", host=host, reason=reason)

    def _apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        self._apply_seeds(settings)
        log.info("settings reloaded", extra={"fields": {"seeds": ",".join(settings.seeds)}})
