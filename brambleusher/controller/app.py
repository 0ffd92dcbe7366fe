"""The controller: assembles the control plane of one core machine, and its life from start to SIGTERM."""

from __future__ import annotations

import logging
import random
from typing import Any

from brambleusher.controlplane.admin_listeners import AdminListeners
from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.configuration.publisher import ConfigurationPublisher
from brambleusher.controlplane.registry import resolver as registry
from brambleusher.controlplane.registry.instance_list import InstanceListReader
from brambleusher.controlplane.relay.messages import CONTROLLERS_ANNOUNCEMENT, RELAY
from brambleusher.controlplane.relay.server import RelayServer
from brambleusher.controlplane.replica import Replica
from brambleusher.membership.line_connection import LineSender, LineServer
from brambleusher.membership.process import run_until_signalled
from brambleusher.membership.settings_watch import SettingsWatcher
from brambleusher.membership.views import FORGET_S, PartialView, Peer, PeerState
from brambleusher.observability.log_format import SparseLog
from brambleusher.runtime.disk import Disk
from brambleusher.runtime.http_server import HttpRequest, HttpResponse
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.runtime.system import System
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

SHUFFLE_S = 0.6
SENDERS_MAX = 64
LEAVE_S = 1.2  # after SIGTERM: time to hand the lead over and to answer what was taken
LEAVE_LOOK_S = 0.1
KILL_MARGIN_S = 1.0  # before `grace_s` is over the process has ended
CONNECTIONS_MAX = 900


class Controller:
    """One process of the control plane."""

    def __init__(self, system: System, settings: Settings, disk: Disk, path: str = "") -> None:
        self.scheduler = Scheduler(system)
        self.settings = settings
        self._rng = random.Random(f"{settings.node_name} {system.wall_ns()}")
        self._incarnation = system.wall_ns() // 1_000_000
        self._state = PeerState.READY
        self._senders: dict[str, LineSender] = {}
        self._sparse = SparseLog(log, self.scheduler.now)
        self._publisher: ConfigurationPublisher | None = None
        self.view = PartialView(self._rng)
        self.replica = Replica(
            self.scheduler,
            settings,
            disk,
            self._send,
            self._rng,
            self._changed,
            self._known_controllers,
            self._known_zones,
        )
        self.instances = InstanceListReader(
            self.scheduler,
            settings,
            self._rng,
            lambda: len(self._known_controllers()) + 1,
            self._list_changed,
        )
        self._publisher = ConfigurationPublisher(
            self.scheduler, settings.node_name, self.replica, self.instances, self.view, self._controllers
        )
        self._lines = LineServer(
            self.scheduler,
            parse_address(settings.peer_address),
            self._message,
            self._invalid,
            CONNECTIONS_MAX,
        )
        self._relay = RelayServer(self.scheduler, self.replica, self._find, self._controllers)
        orders = AdminApi(self.scheduler, self.replica, frozenset(settings.zones))
        self._listeners = AdminListeners(self.scheduler, settings.bind, orders.handle, self._resolve)
        self._watch = SettingsWatcher(self.scheduler, path, self._settings_changed)
        self.scheduler.spawn(self._shuffle, name="shuffle")

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        log.info("controller started", extra={"fields": {"name": self.settings.node_name}})
        run_until_signalled(self.scheduler, self.leave, self._watch)

    def leave(self) -> None:
        """Hand the lead over and end soon."""
        if self._state is PeerState.DRAINING:
            return
        self._state = PeerState.DRAINING
        log.info("controller leaves")
        self._listeners.close_after_responses()
        self.replica.begin_graceful_shutdown()
        self.scheduler.spawn(self._end, name="end")

    def _end(self) -> None:
        """End once another has this one's vote; where nobody can get it, once what was taken is answered."""
        begin = self.scheduler.now()
        latest = begin + self.settings.bounds.grace_s - KILL_MARGIN_S
        self.scheduler.sleep(LEAVE_S)
        while self.scheduler.now() < latest and self._needed():
            self.scheduler.sleep(LEAVE_LOOK_S)
        self.scheduler.stop()

    def _needed(self) -> bool:
        """Whether this vote may count while another can still get it, or just got one and this one stays."""
        replacing = len(self.replica.voters()) > self.replica.consensus.required_voters
        return self.replica.has_vote() and (replacing or bool(self._successors()))

    def _successors(self) -> list[str]:
        """Controllers that are there and have no vote yet."""
        voters = self.replica.voters()
        peers = self.view.alive("controller", self.scheduler.now())
        ready = [peer.address for peer in peers if peer.state is not PeerState.DRAINING]
        return [address for address in ready if address not in voters]

    # --- others ----------------------------------------------------------------------------------

    def _changed(self) -> None:
        if self._publisher is not None:
            self._publisher.notify()

    def _list_changed(self, read_here: bool) -> None:
        self._changed()
        if read_here:
            for address in self._known_controllers():
                self._send(address, {"kind": "instances", **self.instances.to_message()})

    def _self(self) -> Peer:
        settings = self.settings
        return Peer(
            settings.node_name,
            "controller",
            settings.peer_address,
            settings.zone,
            settings.region,
            self._state,
            self._incarnation,
        )

    def _known_controllers(self) -> list[str]:
        """Addresses of the other controllers: members, and those heard of lately."""
        now = self.scheduler.now()
        known = {member.address for member in self.replica.consensus.log.members}
        known |= {peer.address for peer in self.view.alive("controller", now)}
        return sorted(known - {self.settings.peer_address, ""})

    def _known_zones(self) -> dict[str, str]:
        """Zones of the other controllers by address."""
        return {address: peer.zone for address, peer in self._heard_controllers().items()}

    def _heard_controllers(self) -> dict[str, Peer]:
        """Controllers by address, as the partial view has them."""
        return {peer.address: peer for peer in self.view.alive("controller", self.scheduler.now(), FORGET_S)}

    def _controllers(self) -> list[tuple[str, str, str]]:
        """Address, zone and region of all controllers; zone and region are empty until they were heard of."""
        heard = self._heard_controllers()
        named = [*self._known_controllers(), self.settings.peer_address]
        return [
            (address, heard[address].zone, heard[address].region) if address in heard else (address, "", "")
            for address in named
        ]

    def _send(self, address: str, message: dict[str, Any]) -> None:
        sender = self._senders.get(address)
        if sender is None:
            if len(self._senders) >= SENDERS_MAX:
                oldest = next(iter(self._senders))
                self._senders.pop(oldest).close()
            sender = self._senders[address] = LineSender(self.scheduler, parse_address(address))
        sender.send({"from": self.settings.peer_address, **message})

    def _message(self, message: dict[str, Any], host: str) -> dict[str, Any] | None:
        kind = message.get("kind")
        if kind == "watch" and self._publisher is not None:
            return self._publisher.handle_long_poll(message)
        if kind == RELAY:
            return self._relay.handle(message)
        if kind == CONTROLLERS_ANNOUNCEMENT:
            return None  # it was meant for an observer
        sender = message.get("from")
        if not isinstance(sender, str):
            raise InvalidMessageError("a message has no sender")
        if kind == "instances":
            self.instances.handle_reading(message)
            return None
        if kind == "shuffle":
            self.view.merge(message.get("sample"), self.scheduler.now())
            return None
        self.replica.handle(message, sender)
        return None

    def _invalid(self, host: str, reason: str) -> None:
        self._sparse.warning("a message can't be read", host=host, why=reason)

    def _shuffle(self) -> None:
        while True:
            now = self.scheduler.now()
            self.view.record_contact(self._self(), now)
            self.view.expire(now)
            others = self._known_controllers() or [
                peer for peer in self.replica.seeds if peer != self.settings.peer_address
            ]
            if others:
                self._send(self._rng.choice(others), {"kind": "shuffle", "sample": self.view.sample(now)})
            self._tell_observers()
            self.scheduler.sleep(SHUFFLE_S * self._rng.uniform(0.8, 1.2))

    def _tell_observers(self) -> None:
        """Seeds that are no controllers may be observers, which after a loss of power know nobody else."""
        known = {*self._known_controllers(), self.settings.peer_address}
        for address in self.replica.seeds:
            if address not in known:
                self._send(address, {"kind": CONTROLLERS_ANNOUNCEMENT, "controllers": self._controllers()})

    def _resolve(self, request: HttpRequest) -> HttpResponse:
        return registry.respond(request, self._find, self.settings.bounds.ttl_max_s)

    def _find(self, zone: str, region: str) -> list[str]:
        """Addresses of gateways for a client of a zone."""
        gateways = self.view.alive("gateway", self.scheduler.now())
        return registry.choose_gateways(gateways, zone, region, self._rng)

    def _settings_changed(self, settings: Settings) -> None:
        self.settings = settings
        self.replica.seeds = settings.seed_peers()
        log.info("settings read again", extra={"fields": {"seeds": ",".join(settings.seeds)}})
