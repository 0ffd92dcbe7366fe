"""The observer: serves the control plane's callers on a machine without a disk, by asking controllers.

It has no vote, no log and no reading of the platform's list; it keeps nothing but the addresses of
controllers and the registry's last answers, and rests while nobody calls.
"""

from __future__ import annotations

import logging
import random
from typing import Any

from brambleusher.controlplane.admin_listeners import AdminListeners
from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.registry import resolver as registry
from brambleusher.controlplane.relay.client import RelayClient, RemoteState
from brambleusher.controlplane.relay.messages import CONTROLLERS_ANNOUNCEMENT, RELAY
from brambleusher.membership.controllers import Controllers, Locality, controllers_from_json
from brambleusher.membership.line_connection import LineSender, LineServer
from brambleusher.membership.process import run_until_signalled
from brambleusher.membership.settings_watch import SettingsWatcher
from brambleusher.observability.log_format import SparseLog
from brambleusher.runtime.http_server import HttpRequest, HttpResponse
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.runtime.system import System
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

LEARN_EVERY_S = 2.0  # the controllers that there are are asked for so often
LEARN_S = 1.5
RESOLVE_S = 0.7  # clients wait a second for the registry
FRESH_S = 0.4  # an answer of the registry serves all that ask for the same place within this time
USABLE_S = 3.0  # and for so long where no controller answers: gateways that are gone must not be named on
PLACES_MAX = 64
CONNECTIONS_MAX = 300
LEAVE_S = 0.6  # after SIGTERM: to answer what was taken


class Observer:
    """One process that passes calls on."""

    def __init__(self, system: System, settings: Settings, path: str = "") -> None:
        self.scheduler = Scheduler(system)
        self.settings = settings
        self._rng = random.Random(f"{settings.node_name} {system.wall_ns()}")
        here = Locality(settings.zone, settings.region)
        self.controllers = Controllers(self._seeds(settings), self._rng, here)
        self._relay = RelayClient(self.scheduler, self.controllers)
        self._found: dict[tuple[str, str], tuple[float, list[str]]] = {}
        self._senders: dict[str, LineSender] = {}
        self._sparse = SparseLog(log, self.scheduler.now)
        self._leaving = False
        self._lines = LineServer(
            self.scheduler,
            parse_address(settings.peer_address),
            self._message,
            self._invalid,
            CONNECTIONS_MAX,
        )
        orders = AdminApi(self.scheduler, RemoteState(self._relay), frozenset(settings.zones))
        self._listeners = AdminListeners(self.scheduler, settings.bind, orders.handle, self._resolve)
        self._watch = SettingsWatcher(self.scheduler, path, self._settings_changed)
        self.scheduler.spawn(self._learn, name="learn")

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        log.info("observer started", extra={"fields": {"name": self.settings.node_name}})
        run_until_signalled(self.scheduler, self.leave, self._watch)

    def leave(self) -> None:
        """Answer what was taken, and end."""
        if self._leaving:
            return
        self._leaving = True
        self._listeners.close_after_responses()
        self.scheduler.spawn(self._end, name="end")

    def _end(self) -> None:
        self.scheduler.sleep(LEAVE_S)
        self.scheduler.stop()

    def _seeds(self, settings: Settings) -> tuple[str, ...]:
        return tuple(peer for peer in settings.seed_peers() if peer != settings.peer_address)

    def _learn(self) -> None:
        while True:
            self._relay.refresh_controllers(self.scheduler.now() + LEARN_S)
            self.scheduler.sleep(LEARN_EVERY_S * self._rng.uniform(0.8, 1.2))

    # --- the registry ----------------------------------------------------------------------------

    def _resolve(self, request: HttpRequest) -> HttpResponse:
        return registry.respond(request, self._find, self.settings.bounds.ttl_max_s)

    def _find(self, zone: str, region: str) -> list[str]:
        begun = self.scheduler.now()
        at, held = self._found.get((zone, region), (-USABLE_S, []))
        if begun - at < FRESH_S:
            return held
        found = self._relay.resolve(zone, region, begun + RESOLVE_S)
        if found is not None:
            self._keep((zone, region), begun, found)
        elif begun - at >= USABLE_S:
            return []
        return self._found[zone, region][1]

    def _keep(self, place: tuple[str, str], at: float, addresses: list[str]) -> None:
        self._found.pop(place, None)
        self._found[place] = (at, addresses)
        if len(self._found) > PLACES_MAX:
            del self._found[next(iter(self._found))]

    # --- others ----------------------------------------------------------------------------------

    def _message(self, message: dict[str, Any], host: str) -> dict[str, Any] | None:
        """A gateway, an observer or a controller that knows nobody else has this one among its seeds."""
        if message.get("kind") in ("watch", RELAY):
            return {"observer": True, "answer": None, "controllers": self.controllers.announced_as_json()}
        if message.get("kind") == CONTROLLERS_ANNOUNCEMENT:
            self.controllers.set_announced(controllers_from_json(message.get("controllers")))
            return None
        if not message.get("passed"):
            for address in self.controllers.announced_addresses():
                self._send(address, {**message, "passed": True})
        return None

    def _send(self, address: str, message: dict[str, Any]) -> None:
        for gone in [known for known in self._senders if known not in self.controllers.announced_addresses()]:
            self._senders.pop(gone).close()
        if address not in self._senders:
            self._senders[address] = LineSender(self.scheduler, parse_address(address))
        self._senders[address].send(message)

    def _invalid(self, host: str, reason: str) -> None:
        self._sparse.warning("a message can't be read", host=host, why=reason)

    def _settings_changed(self, settings: Settings) -> None:
        self.settings = settings
        self.controllers.set_seeds(self._seeds(settings))
        log.info("settings read again", extra={"fields": {"seeds": ",".join(settings.seeds)}})
