"""The observer process: serves clients of the control plane on a machine without a disk.

An observer relays requests to controllers.  It has no vote and no log, and does not read the platform's
instance list.  Its only state is the addresses of controllers and cached registry answers.  While it has no
clients, it only refreshes the list of controllers, and tells them its own address, so that they can contact
it after a restart in which it knows no controller.
"""

from __future__ import annotations

from brambleusher.controller.gateway_lookup import GatewayLookup
from brambleusher.controller.messages import MessageKind
from brambleusher.controller.process import ControlPlaneProcess
from brambleusher.controlplane.bootstrap import ObserverGrant
from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.configuration.long_poll_messages import LONG_POLL
from brambleusher.controlplane.relay.client import RelayClient, RemoteState
from brambleusher.controlplane.relay.messages import CONTROLLERS_ANNOUNCEMENT, RELAY
from brambleusher.membership.controllers import Controllers, Locality, controllers_from_json
from brambleusher.runtime.system import System
from brambleusher.wire.bootstrap_messages import BOOTSTRAP_QUERY, BootstrapQuery
from brambleusher.wire.settings import Settings

REFRESH_INTERVAL_S = 2.0  # how often the list of controllers is refreshed
REFRESH_JITTER = (0.8, 1.2)  # random factor of the interval, so that observers do not refresh in step
REFRESH_TIMEOUT_S = 1.5
INTRODUCTION_INTERVAL_S = 15.0  # how often an observer that has controllers as seeds introduces itself
SHUTDOWN_S = 0.6  # time after SIGTERM to answer pending requests


class Observer(ControlPlaneProcess):
    """An observer: a process that relays requests to controllers."""

    role = "observer"
    peer_connections_max = 300

    def __init__(self, system: System, settings: Settings, path: str = "") -> None:
        """Create all components and listen; `path` is the settings file to watch, empty for none."""
        super().__init__(system, settings)
        locality = Locality(settings.zone, settings.region)
        self.controllers = Controllers(_other_seeds(settings), self._rng, locality)
        self._grant = ObserverGrant(settings.bootstrap)
        self._relay = RelayClient(self.scheduler, self.controllers)
        self._gateway_lookup = GatewayLookup(self.scheduler, self._relay)
        self._introduction_due_s = self.scheduler.now() + INTRODUCTION_INTERVAL_S
        state = RemoteState(self.scheduler, self._relay)
        self._listen(AdminApi(self.scheduler, state, frozenset(settings.zones)), path)
        self.scheduler.spawn(self._refresh_controllers, name="refresh_controllers")

    # --- lifecycle --------------------------------------------------------------------------------

    def _prepare_shutdown(self) -> None:
        """Do nothing, as an observer has no state to hand over."""

    def _await_shutdown(self) -> None:
        self.scheduler.sleep(SHUTDOWN_S)

    # --- messages ---------------------------------------------------------------------------------

    def handle_message(self, message: dict[str, object]) -> dict[str, object] | None:
        """Return the reply to a message, None if the message gets no reply.

        A sender reaches an observer through its seeds, while it knows no controller yet.
        """
        kind = message.get("kind")
        if kind in (LONG_POLL, RELAY):
            return {"observer": True, "answer": None, "controllers": self.controllers.announced_as_json()}
        if kind == BOOTSTRAP_QUERY:
            return self._grant.answer(BootstrapQuery.from_json(message)).as_json()
        if kind == CONTROLLERS_ANNOUNCEMENT:
            self.controllers.set_announced(controllers_from_json(message.get("controllers")))
            return None
        if not message.get("passed"):
            self._forward({**message, "passed": True})
        return None

    def _forward(self, message: dict[str, object]) -> None:
        """Send a message to all controllers; the caller marks it so that no observer forwards it again."""
        addresses = self.controllers.announced_addresses()
        self._senders.close_except(addresses)
        for address in addresses:
            self._senders.send(address, message)

    def _refresh_controllers(self) -> None:
        while True:
            self._relay.refresh_controllers(self.scheduler.now() + REFRESH_TIMEOUT_S)
            self._introduce_self()
            self.scheduler.sleep(REFRESH_INTERVAL_S * self._rng.uniform(*REFRESH_JITTER))

    def _introduce_self(self) -> None:
        """Tell all known controllers the address of this observer, if that is due.

        It is due at once while no seed is a known controller: after a restart the controllers would have to
        contact this observer. Else it would find them by its seeds, unless these change meanwhile.
        """
        controllers, now = self.controllers.announced_addresses(), self.scheduler.now()
        if now < self._introduction_due_s and not set(controllers).isdisjoint(_other_seeds(self.settings)):
            return
        self._introduction_due_s = now + INTRODUCTION_INTERVAL_S
        message = {"kind": MessageKind.OBSERVER.value, "from": self.settings.peer_address}
        for address in controllers:
            self._senders.send(address, message)

    def _apply_seeds(self, settings: Settings) -> None:
        self.controllers.set_seeds(_other_seeds(settings))

    # --- the registry -----------------------------------------------------------------------------

    def find_gateways(self, zone: str, region: str) -> list[str]:
        """Return addresses of gateways for a client in a zone, empty if no gateway is known to be ready."""
        return self._gateway_lookup.find(zone, region)


def _other_seeds(settings: Settings) -> tuple[str, ...]:
    return tuple(address for address in settings.seed_peers() if address != settings.peer_address)
