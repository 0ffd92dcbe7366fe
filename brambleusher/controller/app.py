"""The controller process: assembles and runs the control plane of one core machine."""

from __future__ import annotations

from brambleusher.controller.bootstrap_client import BootstrapClient
from brambleusher.controller.messages import MessageKind
from brambleusher.controller.peer_directory import CONTROLLER_ROLE, GATEWAY_ROLE, PeerDirectory
from brambleusher.controller.process import ControlPlaneProcess
from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.configuration.long_poll_messages import LONG_POLL
from brambleusher.controlplane.configuration.publisher import ConfigurationPublisher
from brambleusher.controlplane.registry import resolver
from brambleusher.controlplane.registry.instance_list import InstanceListReader
from brambleusher.controlplane.relay.messages import CONTROLLERS_ANNOUNCEMENT, RELAY
from brambleusher.controlplane.relay.server import RelayServer
from brambleusher.controlplane.replica import Replica
from brambleusher.membership.views import PartialView, Peer, PeerState
from brambleusher.runtime.disk import Disk
from brambleusher.runtime.system import System
from brambleusher.wire.bootstrap_messages import BOOTSTRAP_QUERY, BootstrapAnswer
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.settings import Settings

SHUFFLE_INTERVAL_S = 0.6
SHUFFLE_JITTER = (0.8, 1.2)  # random factor of the interval, so that controllers do not shuffle in step
SHUTDOWN_MIN_S = 1.2  # minimum time after SIGTERM to transfer leadership and answer pending requests
SHUTDOWN_POLL_S = 0.1
KILL_MARGIN_S = 1.0  # the process ends this long before `grace_s` has passed
NS_PER_MS = 1_000_000


class Controller(ControlPlaneProcess):
    """A controller: one replica of the control plane."""

    role = CONTROLLER_ROLE
    peer_connections_max = 900

    def __init__(self, system: System, settings: Settings, disk: Disk, path: str = "") -> None:
        """Recover the replica from `disk`, create all components and listen."""
        super().__init__(system, settings)
        self._incarnation = system.wall_ns() // NS_PER_MS
        # None while the replica is created, as the replica sends notifications meanwhile.
        self._publisher: ConfigurationPublisher | None = None
        self.view = PartialView(self._rng)
        self._directory = PeerDirectory(
            self.scheduler, self.view, settings.peer_address, self._member_addresses
        )
        self.replica = Replica(
            self.scheduler,
            settings,
            disk,
            self._send,
            self._rng,
            self._notify_gateways,
            self._directory.addresses,
            self._directory.zones,
        )
        self.instances = InstanceListReader(
            self.scheduler, settings, self._rng, self._count_controllers, self._publish_instances
        )
        self._publisher = ConfigurationPublisher(
            self.scheduler,
            settings.node_name,
            self.replica,
            self.instances,
            self.view,
            self._directory.as_json,
        )
        self._bootstrap_client = BootstrapClient(self.scheduler, self.replica)
        self._relay = RelayServer(self.scheduler, self.replica, self.find_gateways, self._directory.as_json)
        self._listen(AdminApi(self.scheduler, self.replica, frozenset(settings.zones)), path)
        self.scheduler.spawn(self._shuffle, name="shuffle")

    # --- lifecycle --------------------------------------------------------------------------------

    def _prepare_shutdown(self) -> None:
        self.replica.begin_graceful_shutdown()

    def _await_shutdown(self) -> None:
        """Wait until another controller has taken over the vote, or pending requests have been answered."""
        deadline_s = self.scheduler.now() + self.settings.bounds.grace_s - KILL_MARGIN_S
        self.scheduler.sleep(SHUTDOWN_MIN_S)
        while self.scheduler.now() < deadline_s and self._is_vote_needed():
            self.scheduler.sleep(SHUTDOWN_POLL_S)

    def _is_vote_needed(self) -> bool:
        """Whether this controller's vote is still needed while its replacement by another one is possible."""
        is_being_replaced = len(self.replica.voters()) > self.replica.consensus.required_voters
        return self.replica.has_vote() and (is_being_replaced or bool(self._successors()))

    def _successors(self) -> list[str]:
        """Return the addresses of controllers that are ready and have no vote yet."""
        voters = self.replica.voters()
        peers = self.view.alive(CONTROLLER_ROLE, self.scheduler.now())
        ready = [peer.address for peer in peers if peer.state is not PeerState.DRAINING]
        return [address for address in ready if address not in voters]

    # --- messages ---------------------------------------------------------------------------------

    def handle_message(self, message: dict[str, object]) -> dict[str, object] | None:
        """Return the reply to another process's message, None if the message gets no reply."""
        kind = message.get("kind")
        if kind == LONG_POLL and self._publisher is not None:
            return self._publisher.handle_long_poll(message)
        if kind == RELAY:
            return self._relay.handle(message)
        if kind == BOOTSTRAP_QUERY:
            return BootstrapAnswer(is_observer=False).as_json()
        if kind == CONTROLLERS_ANNOUNCEMENT:
            return None  # the message is meant for observers
        sender = message.get("from")
        if not isinstance(sender, str):
            raise InvalidMessageError(f"message without a sender: kind {kind!r}")
        if kind == MessageKind.INSTANCE_LIST:
            self.instances.handle_instance_list(message)
        elif kind == MessageKind.OBSERVER:
            self.replica.record_observer(sender)
        elif kind == MessageKind.SHUFFLE:
            self.view.merge(message.get("sample"), self.scheduler.now())
        else:
            self.replica.handle(message, sender)
        return None

    def _send(self, address: str, message: dict[str, object]) -> None:
        self._senders.send(address, {"from": self.settings.peer_address, **message})

    def _notify_gateways(self) -> None:
        if self._publisher is not None:
            self._publisher.notify()

    def _publish_instances(self, is_own_reading: bool) -> None:
        """Notify gateways of a newer list; send a list read by this controller to the other controllers."""
        self._notify_gateways()
        if is_own_reading:
            for address in self._directory.addresses():
                self._send(address, {"kind": MessageKind.INSTANCE_LIST.value, **self.instances.to_message()})

    # --- other controllers ------------------------------------------------------------------------

    def _member_addresses(self) -> list[str]:
        return [member.address for member in self.replica.consensus.log.members]

    def _count_controllers(self) -> int:
        return len(self._directory.addresses()) + 1

    def _describe_self(self) -> Peer:
        settings = self.settings
        return Peer(
            settings.node_name,
            CONTROLLER_ROLE,
            settings.peer_address,
            settings.zone,
            settings.region,
            PeerState.DRAINING if self._is_shutting_down else PeerState.READY,
            self._incarnation,
        )

    def _shuffle(self) -> None:
        """Send a sample of the partial view to a random other controller, repeatedly."""
        while True:
            now_s = self.scheduler.now()
            self.view.record_contact(self._describe_self(), now_s)
            self.view.expire(now_s)
            own_address = self.settings.peer_address
            peers = self._directory.addresses() or [
                address for address in self.replica.seeds if address != own_address
            ]
            if peers:
                peer = self._rng.choice(peers)
                sample = self.view.sample(now_s)
                self._send(peer, {"kind": MessageKind.SHUFFLE.value, "sample": sample})
            self._announce_controllers()
            self._bootstrap_client.check()
            self.scheduler.sleep(SHUFFLE_INTERVAL_S * self._rng.uniform(*SHUFFLE_JITTER))

    def _announce_controllers(self) -> None:
        """Send the list of controllers to processes that may not know any controller after a restart.

        These are the known observers, and the seeds that are not known as controllers.
        """
        due = self.replica.observers.take_due(self.scheduler.now())
        recipients = dict.fromkeys([*self.replica.seeds, *due])
        known = {*self._directory.addresses(), self.settings.peer_address}
        for address in recipients:
            if address not in known:
                controllers = self._directory.as_json()
                self._send(address, {"kind": CONTROLLERS_ANNOUNCEMENT, "controllers": controllers})

    def _apply_seeds(self, settings: Settings) -> None:
        self.replica.seeds = settings.seed_peers()

    # --- the registry -----------------------------------------------------------------------------

    def find_gateways(self, zone: str, region: str) -> list[str]:
        """Return addresses of gateways for a client in a zone, empty if no gateway is known to be ready."""
        gateways = self.view.alive(GATEWAY_ROLE, self.scheduler.now())
        return resolver.choose_gateways(gateways, zone, region, self._rng)
