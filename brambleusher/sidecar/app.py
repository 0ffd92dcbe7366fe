"""The sidecar as a whole: its parts put together, started and wound down."""

from __future__ import annotations

import gc
import logging
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from brambleusher.admin import metrics_text as service_figures
from brambleusher.admin.server import DESCRIPTORS as ADMIN_DESCRIPTORS
from brambleusher.admin.server import AdminServer
from brambleusher.decisions.balancer_driver import BalancerDriver, Clock, DecisionObserver, DecisionObservers
from brambleusher.features.capture import Capture, DirSink
from brambleusher.features.metrics_reporter import DROPPED, MetricsReporter
from brambleusher.features.output_queue import OutputQueueStream, OutputWriter
from brambleusher.features.records import server_entry
from brambleusher.features.rewrites import Rewrites
from brambleusher.features.status import DESCRIPTORS, StatusPage
from brambleusher.handover.process_group import ProcessGroup
from brambleusher.handover.process_registry import DESCRIPTORS as HANDOVER_DESCRIPTORS
from brambleusher.handover.process_registry import ProcessStage
from brambleusher.handover.shared_folder import folder_path
from brambleusher.handover.shared_settings import SharedSettings
from brambleusher.handover.state_transfer import TransferredState
from brambleusher.loadbalancing import Balancer
from brambleusher.loadbalancing.api import HostEntry, ListKind, Settings
from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.loadbalancing.connection_admission import ConnectionAdmission
from brambleusher.loadbalancing.host_bans import HostBans
from brambleusher.loadbalancing.state_transfer import MOST_HOSTS
from brambleusher.loadbalancing.zone_aware_balancer import balancer_for
from brambleusher.net.client_listener import ClientListener
from brambleusher.net.endpoint_list import EndpointList, EndpointListError, EndpointListUpdate, decode_update
from brambleusher.net.endpoint_watch import HttpWatch
from brambleusher.net.upstream_pool import UpstreamPool
from brambleusher.observability.counters import Counters
from brambleusher.observability.log_format import configure
from brambleusher.observability.request_counts import RequestCounts
from brambleusher.operator_settings.configuration import CaptureSettings, FiguresSettings, OperatorFile
from brambleusher.operator_settings.section import OperatorError
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Sink, System
from brambleusher.sidecar.configuration import Config, ConfigError, fixed_keys_changed

if TYPE_CHECKING:
    from brambleusher.fronts.mysql.service import MysqlService
    from brambleusher.fronts.mysql.settings import MysqlSettings

log = logging.getLogger(__name__)

SPARE_DESCRIPTORS = 32  # the watch, the listener, the log, files that the runtime opens
ASKING_PART = 1 / 3  # of the descriptors: clients never hold more connections to ask on, says the platform
NODE_PART = 0.4  # of the descriptors: connections to endpoints; the rest is for clients
STDERR = "stderr"
LOG_BYTES = 64 * 1024  # of log lines that wait for standard error, where features write to it too
LISTS_A_SECOND = 50.0  # that a discovery may answer where it is new to a whole fleet
MOVE_PART = 0.2  # of the time in which one must have asked: by then a new discovery has been called
READY_LOOK_SECONDS = 0.02  # between two looks at whether this process can take over
READY_SECONDS = 1.0  # so long the sidecar waits for a fresh list before it serves with the one it had
LEAST_PLACES = 32  # connections of one of several processes, however little memory there is
COLLECT_STEPS = 4  # of a long list: each leaves some hundred records
# After SIGTERM new connections keep coming for 0.2 to 0.4 s, and clients send on those they have until they
# are closed.  SIGKILL comes no sooner than the longest deadline, 3 s where that is longer, and 0.7 s more.
SERVE_ON_SECONDS = 0.45
LONGEST_GRACE_SECONDS, GRACE_BEYOND_SECONDS = 3.0, 0.7
CLOSE_AHEAD_SECONDS = 0.75  # of SIGKILL: resting connections are closed
ANSWER_AHEAD_SECONDS = 0.25  # of SIGKILL: what came after SIGTERM is answered, whatever became of it
ENDING_LOOK_SECONDS = 0.02  # between two looks at whether clients are still connected
# Measured: 11 MB at the start, 17 MB after a minute with 60 connections in use.  A figure too high leaves
# too few connections on a small endpoint, and claims find none: that looks like endpoints that are full.
MEMORY_OF_RUNTIME = 20 * 1024 * 1024
MEMORY_OF_BUFFERS = 2 * 1024 * 1024  # of the runtime's, for features; 16 MB measured with the usual ones on
MEMORY_OF_MYSQL = 48 * 1024 * 1024  # its libraries and what it remembers of statements
MEMORY_PER_SESSION = 48 * 1024  # one that waits has less than half of it
MEMORY_PER_CONNECTION = 64 * 1024  # a body as large as is held, or a piece of one that passes on


def memory_of_features(operator: OperatorFile, most: int) -> int:
    """What the features' buffers may take beyond their usual sizes; raises `OperatorError` if over `most`."""
    kb = 0
    if operator.figures is not None:
        kb += operator.figures.buffer_kb
    if (capture := operator.capture) is not None:
        kb += capture.ring_kb * (2 if capture.dir is None else 3)  # one on its way to each reader
    beyond = max(0, kb * 1024 - MEMORY_OF_BUFFERS)
    if beyond > most:
        # Guards against a sidecar killed for its memory once the ring is full.
        raise OperatorError("capture.ring_kb and figures.buffer_kb don't fit in limits.memory_mb")
    return beyond


@dataclass(frozen=True, slots=True)
class Rooms:
    """What one process may hold: connections to endpoints, and of clients."""

    nodes: int
    clients: int


class Sidecar:
    """One sidecar; `run` serves until it is told to end.  `load` reads its configuration again."""

    def __init__(
        self,
        config: Config,
        load: Callable[[], Config] | None = None,
        operator: OperatorFile | None = None,
        system: System | None = None,
        load_operator: Callable[[], OperatorFile] | None = None,
        make: Callable[[Settings, int], Balancer] = balancer_for,
    ) -> None:
        operator = operator or OperatorFile()
        self.bans, self.service, self._service_said = HostBans(), ClientDraining(), 0
        self._version = 0  # of the list that was told last
        self.config = replace(config, settings=replace(config.settings, zone_rules=operator.zones))
        self._load, self._load_operator = load, load_operator
        config = self.config
        self.system: System = RealSystem() if system is None else system
        self.scheduler = Scheduler(self.system)
        self.clock = Clock(self.system)
        self.counters = Counters()
        self.outputs: dict[str, OutputWriter] = {}  # by where they lead
        self.metrics_reporter = None if operator.figures is None else self._figures(operator.figures)
        self.process_group, balancer_state = self._join(config), None
        if self.process_group is not None and self.process_group.registry.process_count > 1:
            balancer_state = self._import_state(self.process_group)
        config = self.config
        self._operator = operator
        rooms = self._rooms(1.0 if self.process_group is None else self.process_group.shares.connections)
        self.request_counts = RequestCounts(cls.name for cls in config.settings.classes)
        self.upstream_pool = UpstreamPool(
            self.scheduler, config.settings, self.counters, rooms.nodes, self._relayed
        )
        self.admin_server = None if config.admin is None else AdminServer(self.scheduler, self)
        self.admin_address: tuple[str, int] | None = None  # where it listens
        self.capture = None if operator.capture is None else self._capture(operator.capture)
        self.status = (
            None
            if operator.status is None
            else StatusPage(operator.status, config.settings, self.scheduler, self._standing)
        )
        observers: list[DecisionObserver] = [
            each for each in (self.metrics_reporter, self.status) if each is not None
        ]
        self.balancer_driver = BalancerDriver(
            config.settings, config.seed, self.scheduler, self.clock, self.counters,
            DecisionObservers(observers) if observers else None, self.capture, make, balancer_state,
        )  # fmt: skip
        self.endpoint_list = EndpointList(
            self.scheduler,
            HttpWatch(self.scheduler, config.discovery),
            random.Random(config.seed ^ 1),
            self.counters,
            self._listed,
            lambda: self.balancer_driver.update_endpoints(ListKind.FAILED, ()),
            slices=True,
            sidecars=config.settings.fleet_size,
        )
        self.balancer_driver.on_close_idle_connections = self._let_go
        self.balancer_driver.on_subscribe = self.endpoint_list.ask
        self.connection_admission = ConnectionAdmission(
            rooms.clients, max(int(config.limits.sockets * ASKING_PART), 8)
        )
        self.client_listener = ClientListener(
            self.scheduler, self.balancer_driver, self.upstream_pool, self.clock, self.counters,
            self.connection_admission,
            self.is_ready, self._rewrites(operator), self.request_counts, self.service,
        )  # fmt: skip
        self.mysql = None if operator.mysql is None else self._mysql(operator.mysql)
        self._started_at = self.scheduler.now()
        self._ending = self._wound_down = False

    def _rooms(self, part: float) -> Rooms:
        """What a process that takes a part may hold; raises `OperatorError` where features need more."""
        limits, operator = self.config.limits, self._operator
        memory = limits.memory_mb * 1024 * 1024 - MEMORY_OF_RUNTIME  # the least allowed is 32 MB
        memory -= memory_of_features(operator, memory // 2)
        spare = SPARE_DESCRIPTORS + (DESCRIPTORS if operator.status is not None else 0)
        if self.config.admin is not None:
            spare += ADMIN_DESCRIPTORS
        if self.process_group is not None:
            spare += HANDOVER_DESCRIPTORS
        if operator.mysql is not None:
            memory -= self._memory_of_mysql(operator.mysql, memory)
            spare += self._descriptors_of_mysql(operator.mysql, limits.sockets - spare)
        if part < 1:
            memory = int((memory - MEMORY_OF_RUNTIME) * part)  # another process has its own
            memory = max(memory, LEAST_PLACES * MEMORY_PER_CONNECTION)
        places = min(int(limits.sockets * part) - spare, memory // MEMORY_PER_CONNECTION)
        for_nodes = max(int(places * NODE_PART), 8)
        return Rooms(for_nodes, max(places - for_nodes, 8))

    def _join(self, config: Config) -> ProcessGroup | None:
        """Register as one of this sidecar's processes, where the platform lets it be several."""
        self._succeeds = False  # another process serves
        if config.listener_fd is None or config.shared_dir is None:
            return None
        group = ProcessGroup(
            folder_path(config.shared_dir, config.name), self._parted, self._shared, self._export_state
        )
        try:
            self._succeeds = group.registry.join()
        except OSError as error:
            # Guards against a sidecar that doesn't serve for want of what is a help in an upgrade alone.
            log.error("process registry unavailable", extra={"fields": {"error": error}})
            return None
        return group

    def _import_state(self, group: ProcessGroup) -> object:
        """Take over the endpoint list of the process that serves; return its balancer's state."""
        state = group.transfer.receive(self.system.sleep, self.system.monotonic)
        if state is None:
            return None
        try:
            update = decode_update(state.endpoint_list)
        except EndpointListError as error:
            log.warning("transferred state rejected", extra={"fields": {"error": error}})
            return None
        if state.discovery != "{}:{}".format(*self.config.discovery):
            update = replace(update, version=0)  # another discovery's
        self.config = replace(self.config, known=update)
        return state.balancer

    def _export_state(self) -> TransferredState | None:
        if len(self.upstream_pool.listed) > MOST_HOSTS:
            return None
        servers = [
            server_entry(self.bans.listed_entry(name) or endpoint.entry, "{}:{}".format(*endpoint.address))
            for name, endpoint in self.upstream_pool.listed.items()
        ]
        return TransferredState(
            endpoint_list={"version": self._version, "full": True, "servers": servers},
            discovery="{}:{}".format(*self.config.discovery),
            balancer=self.balancer_driver.export_state(),
        )

    def _parted(self) -> None:
        """Other processes came, went or went on: what this one may hold, and send to cold nodes."""
        if self.process_group is None:
            return
        room = self._rooms(self.process_group.shares.connections)
        self.upstream_pool.resize(room.nodes)
        self.connection_admission.max_connections = room.clients
        self.connection_admission.max_active = min(
            room.clients, max(int(self.config.limits.sockets * ASKING_PART), 8)
        )
        self.balancer_driver.set_process_share(self.process_group.shares.sending)

    def _standing(self) -> dict[str, object] | None:
        return self.balancer_driver.zone_status()

    def _output(self, where: str, make: Callable[[], Sink]) -> OutputWriter:
        if where not in self.outputs:
            self.outputs[where] = OutputWriter(make(), where, self.system)
        return self.outputs[where]

    def _stderr(self) -> OutputWriter:
        return self._output(STDERR, lambda: self.system.descriptor_sink(2))

    def _figures(self, settings: FiguresSettings) -> MetricsReporter:
        self.counters.also(DROPPED)
        target = settings.target
        if target.kind == "stderr":
            output = self._stderr()
        elif target.kind == "file":
            output = self._output("figures", lambda: self.system.file_sink(target.path))
        else:
            output = self._output("figures", lambda: self.system.datagram_sink(target.address))
        lane = output.lane(settings.buffer_kb * 1024)
        return MetricsReporter(settings, self.config.settings, self.clock, self.counters, lane)

    def _capture(self, settings: CaptureSettings) -> Capture:
        config, ring = self.config, settings.ring_kb * 1024
        dumps, files = self._stderr().lane(2 * ring), None
        if settings.dir is not None:
            sink = DirSink(settings.dir, config.name, settings.files, ring)
            files = self._output("capture", lambda: sink).lane(ring)
        return Capture(settings, config.settings, config.seed, config.known, dumps, files)

    def _rewrites(self, operator: OperatorFile) -> Rewrites | None:
        if operator.rewrites is None:
            return None
        rewrites = Rewrites(operator.rewrites)
        for name in sorted(rewrites.classes - {cls.name for cls in self.config.settings.classes}):
            log.warning("a rewrite names a class that is not served", extra={"fields": {"class": name}})
        return rewrites

    @staticmethod
    def _memory_of_mysql(settings: MysqlSettings, most: int) -> int:
        need = MEMORY_OF_MYSQL + settings.sessions * MEMORY_PER_SESSION + settings.memory_mb * 1024 * 1024
        if need > most // 2:
            # Guards against a sidecar killed for its memory once its sessions are all there.
            raise OperatorError("mysql.sessions and mysql.memory_mb don't fit in limits.memory_mb")
        return need

    @staticmethod
    def _descriptors_of_mysql(settings: MysqlSettings, most: int) -> int:
        need = settings.sessions + settings.connections_total
        if need > most // 2:
            raise OperatorError("mysql.sessions and mysql.connections_total don't fit in limits.sockets")
        return need

    def _mysql(self, settings: MysqlSettings) -> MysqlService:
        from brambleusher.fronts.mysql.service import MysqlService  # here: it loads what an extra brings

        return MysqlService(
            settings, self.config.settings, self.config.seed, self.scheduler, self.balancer_driver,
            self.clock, self.counters,
        )  # fmt: skip

    def _let_go(self, node: str) -> None:
        self.upstream_pool.close_idle_connections(node)
        if self.mysql is not None:
            self.mysql.nodes.let_go(node)

    def is_ready(self) -> bool:
        """Whether clients may come."""
        waited = self.scheduler.now() - self._started_at >= READY_SECONDS or self.endpoint_list.turned_away
        return self.endpoint_list.fresh or (waited and bool(self.config.known.endpoints))

    def start(self) -> tuple[str, int]:
        """Listen and follow the endpoint list; says where it listens."""
        known = self.config.known
        if self.process_group is not None and (shared := self.process_group.settings.read()) is not None:
            self._shared(shared)  # said before this process began
        self.endpoint_list.hold(known)
        known = self._effective(known)
        self.upstream_pool.update(known)
        self.balancer_driver.start(endpoint.entry for endpoint in known.endpoints)
        self.endpoint_list.start()
        if not self.config.settings.subscribes_to_endpoints:  # the module leaves the list to us
            self.endpoint_list.ask()
        self.scheduler.spawn(self.upstream_pool.close_expired_connections, name="reap")
        if self.metrics_reporter is not None:
            self.metrics_reporter.start(self.scheduler)
        if self.status is not None:
            self.status.update_endpoints(known)
            self.status.start(self.config.listen[0])
        if self.mysql is not None:
            self.mysql.start(known)
        if self.admin_server is not None and self.config.admin is not None:
            try:
                self.admin_address = host, port = self.admin_server.listen(self.config.admin)
            except OSError as error:
                raise ConfigError(f"admin_addr: {error.strerror}") from None
            log.info("admin endpoint", extra={"fields": {"address": f"{host}:{port}"}})
        if self.process_group is not None:
            if self.process_group.registry.process_count > 1:
                self.balancer_driver.set_process_share(self.process_group.shares.sending)
            self.process_group.watch(self.scheduler)
        where = self._listen()
        log.info(
            "listening", extra={"fields": {"node": self.config.name, "address": f"{where[0]}:{where[1]}"}}
        )
        return where

    def _listen(self) -> tuple[str, int]:
        if self.config.listener_fd is None:
            return self.client_listener.listen(self.config.listen)
        try:
            where = self.client_listener.adopt(self.config.listener_fd)
        except OSError as error:
            raise ConfigError(f"NODE_FD: {error.strerror}") from None
        if not self._succeeds:
            self.client_listener.start_accepting()
        self.scheduler.spawn(self._begin_to_serve, name="begin to serve")
        return where

    def _begin_to_serve(self) -> None:
        """The task: accept once this process can serve, and not before: until then the other one does."""
        while not self.is_ready():
            self.scheduler.sleep(READY_LOOK_SECONDS)
        if self._ending:
            return
        self.client_listener.start_accepting()
        if self.process_group is not None:
            self.process_group.registry.set_stage(ProcessStage.SERVING)
        log.info("serving", extra={"fields": {"succeeds": self._succeeds}})

    def run(self) -> None:
        """Serve until `end` was called and nothing is owed any more."""
        self.scheduler.run(self._over)
        if self.capture is not None:
            self.capture.close()
        if self.metrics_reporter is not None:
            self.metrics_reporter.flush()
        for where, output in self.outputs.items():
            if where != STDERR:  # which the counters are yet to go to
                output.close()
        if self.metrics_reporter is not None:
            self.metrics_reporter.count_lost()
        self.counters.report("exit")

    def close(self) -> None:
        """Release what the scheduler holds, and write what waits to be written."""
        if self.admin_server is not None:
            self.admin_server.close()
        if self.process_group is not None:
            self.process_group.registry.leave()
        self.scheduler.close()
        for output in self.outputs.values():
            output.close()

    def begin_graceful_shutdown(self) -> None:
        """Begin to wind down; safe in a signal handler."""
        if not self._ending:
            self._ending = True
            self.scheduler.call_soon(self._serve_on)

    def report(self) -> None:
        """Print the counts soon, and the capture where it is on; safe in a signal handler."""
        self.scheduler.call_soon(self._report)

    def reload_configuration(self) -> None:
        """Read the configuration again soon; safe in a signal handler."""
        self.scheduler.call_soon(self._reload)

    def install_signals(self) -> None:
        """SIGTERM and SIGINT end the sidecar, SIGUSR1 prints the counts, SIGHUP reads the configuration."""
        # Guards against SIGHUP ending the process, which is what it does where nobody handles it.
        self.system.on_signal(signal.SIGHUP, self.reload_configuration)
        self.system.on_signal(signal.SIGTERM, self.begin_graceful_shutdown)
        self.system.on_signal(signal.SIGINT, self.begin_graceful_shutdown)
        self.system.on_signal(signal.SIGUSR1, self.report)

    # --- what operators call --------------------------------------------------------------------

    def is_serving(self) -> bool:
        """Whether this process can serve, wanted or not."""
        return self.client_listener.is_accepting and self.is_ready()

    def metrics_text(self) -> bytes:
        """The figures as they stand."""
        return service_figures.render(
            self.request_counts, len(self.upstream_pool.listed), self.balancer_driver.count_avoided_hosts()
        )

    def take_endpoint_offline(self, node: str) -> bool:
        """Leave an endpoint out from now on; false for one never listed: from when it is."""
        if self._said(node, self.bans.ban):
            return True
        self.bans.ban_when_listed(node, self.clock.now_ns())
        return False

    def put_endpoint_online(self, node: str) -> bool:
        """Use it again from now on; false for one that was never listed."""
        self.bans.cancel_ban_when_listed(node)
        return self._said(node, self.bans.unban)

    def _said(self, node: str, say: Callable[[str, int], HostEntry | None]) -> bool:
        if not self.bans.is_known(node):
            return False
        self._tell(say(node, self.clock.now_ns()))
        self._share()
        return True

    def take_out_of_service(self) -> None:
        """Send clients away; this process runs on."""
        self._want(False, self.clock.now_ns())
        self._share()

    def put_in_service(self) -> None:
        """Take clients again."""
        self._want(True, self.clock.now_ns())
        self._share()

    def _want(self, wanted: bool, said_ns: int) -> None:
        self._service_said = said_ns
        if wanted:
            self.service.resume()
        else:
            self.service.start(self.scheduler.now())
            self.client_listener.start_closing_idle()

    def _share(self) -> None:
        """Tell the other processes of this sidecar what operators have said, and what they will have."""
        if self.process_group is None:
            return

        def merge(shared: SharedSettings | None) -> SharedSettings:
            if shared is not None:
                self._shared(shared)
            return SharedSettings(dict(self.bans.bans), self.service.is_ready, self._service_said)

        self.process_group.settings.update(merge)

    def _shared(self, shared: SharedSettings) -> None:
        """Another process, now or before, was told this by operators: the last call counts."""
        for entry in self.bans.merge(shared.bans):
            self._tell(entry)
        if shared.service_changed_ns > self._service_said:
            self._want(shared.is_in_service, shared.service_changed_ns)

    def _tell(self, entry: HostEntry | None) -> None:
        """What a ban makes of a node, where it makes a difference."""
        if entry is None or (endpoint := self.upstream_pool.listed.get(entry.host)) is None:
            return
        self._told(EndpointListUpdate(self._version, False, (replace(endpoint, entry=entry),)))

    def _effective(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """What bans make of news from discovery."""
        self._version = update.version
        self.bans.record_list(update.full, (endpoint.entry for endpoint in update.endpoints))
        endpoints = tuple(
            endpoint if (entry := self.bans.effective_entry(endpoint.entry)) is endpoint.entry
            else replace(endpoint, entry=entry)
            for endpoint in update.endpoints
        )  # fmt: skip
        return replace(update, endpoints=endpoints)

    def _relayed(self) -> None:
        self.request_counts.attempts_sent += 1

    def _listed(self, update: EndpointListUpdate) -> None:
        self._told(self._effective(update))

    def _told(self, update: EndpointListUpdate) -> None:
        if self.status is not None:
            self.status.update_endpoints(update)
        if self.capture is not None:
            self.capture.listed(update)
        # The connections first: what the module sends from here on goes by the same list.
        self.upstream_pool.update(update)
        if self.mysql is not None:
            self.mysql.nodes.update(update)
        kind = ListKind.FULL if update.full else ListKind.DELTA
        self.balancer_driver.update_endpoints(kind, [endpoint.entry for endpoint in update.endpoints])

    def _report(self) -> None:
        self.counters.report("asked")
        if self.capture is not None:
            self.capture.dump()

    def _reload(self) -> None:
        if self._load is None or self._ending:
            log.info("configuration not read again", extra={"fields": {"ending": self._ending}})
            return
        self._reload_zones()
        try:
            config = self._load()
        except ConfigError as error:
            # The running configuration stays: a file half written must not take a serving sidecar down.
            log.error("bad configuration, the running one stays", extra={"fields": {"reason": error}})
            return
        config = replace(
            config, settings=replace(config.settings, zone_rules=self.config.settings.zone_rules)
        )
        for key in fixed_keys_changed(self.config, config):
            log.warning("can't change in a running sidecar", extra={"fields": {"key": key}})
        host, port = config.discovery
        moved = config.discovery != self.config.discovery
        log.info(
            "configuration read again", extra={"fields": {"discovery": f"{host}:{port}", "moved": moved}}
        )
        if moved:
            self.config = replace(self.config, discovery=config.discovery)
            settings = self.config.settings
            within = min(
                settings.fleet_size / LISTS_A_SECOND, settings.endpoint_poll_deadline_ns / 1e9 * MOVE_PART
            )
            self.endpoint_list.change_over(HttpWatch(self.scheduler, config.discovery), within)

    def _reload_zones(self) -> None:
        """Take the operator file's section on zones; a faulty file, checked whole, changes nothing."""
        if self._load_operator is None:
            return
        try:
            rules = self._load_operator().zones
        except OperatorError as error:
            log.error("bad operator file, the rules on zones stay", extra={"fields": {"reason": error}})
            return
        if self.balancer_driver.change_zone_rules(rules):
            log.info("rules on zones read again", extra={"fields": {"on": rules is not None}})
        else:
            log.warning("can't change in a running sidecar", extra={"fields": {"key": "zones"}})

    def _serve_on(self) -> None:
        handed = self.process_group is not None and self.process_group.registry.has_successor()
        log.info(
            "ending",
            extra={"fields": {"owed": self.balancer_driver.unanswered_requests, "handed_over": handed}},
        )
        if self.process_group is not None:
            self.process_group.registry.set_stage(ProcessStage.DRAINING)
        if handed:
            self.service.retire(self.scheduler.now())
            self.client_listener.hand_over()
            self._wound_down = True
            return
        self.scheduler.spawn(self._wind_down, name="wind down")

    def _wind_down(self) -> None:
        """The task: serve on as long as clients may send and be answered, then close what rests."""
        killed_at = self.scheduler.now() + self._grace_seconds()
        self.client_listener.latest_response_at = killed_at - ANSWER_AHEAD_SECONDS
        self.scheduler.sleep(SERVE_ON_SECONDS)
        while self.client_listener.connections and self.scheduler.now() < killed_at - CLOSE_AHEAD_SECONDS:
            self.scheduler.sleep(ENDING_LOOK_SECONDS)
        self.client_listener.drain()
        self.upstream_pool.close()
        if self.mysql is not None:
            self.mysql.wind_down()
        if self.status is not None:
            self.status.stop()
        self._wound_down = True

    def _grace_seconds(self) -> float:
        """Seconds from SIGTERM to SIGKILL, at the least."""
        longest = max(cls.deadline_ns for cls in self.config.settings.classes) / 1e9
        return min(longest, LONGEST_GRACE_SECONDS) + GRACE_BEYOND_SECONDS

    def _over(self) -> bool:
        open_sessions = 0 if self.mysql is None else self.mysql.front.connections
        return self._wound_down and not self.client_listener.connections and not open_sessions


class Collector:
    """How this process collects garbage.

    Records are short-lived and seldom cyclic: reference counts free them, rare collections suffice.  But a
    long list leaves records by the ten thousand that stay, and a collection that comes upon all of them, or
    upon all that were ever kept, holds everything up for 10 to 40 ms.  So what is young is looked through
    every few steps of such a list, and what is old hardly ever.
    """

    def __init__(self) -> None:
        self._steps = 0
        gc.set_threshold(50_000, 1_000, 50)

    def step(self) -> None:
        """A step of a long list was made."""
        self._steps += 1
        if self._steps % COLLECT_STEPS == 0:
            gc.collect(0)


def serve(
    load: Callable[[], Config],
    operator: OperatorFile | None = None,
    log_format: str = "logfmt",
    load_operator: Callable[[], OperatorFile] | None = None,
    system: System | None = None,
) -> None:
    """Run one sidecar as this process's main program; raises `ConfigError` if it can't be used."""
    collector = Collector()
    sidecar = Sidecar(load(), load, operator, system, load_operator)
    sidecar.endpoint_list.on_step = collector.step
    if STDERR in sidecar.outputs:
        # Guards against a log line that waits, and requests with it, where a feature has filled the pipe.
        configure(stream=OutputQueueStream(sidecar.outputs[STDERR].lane(LOG_BYTES)), form=log_format)
    sidecar.install_signals()
    try:
        try:
            sidecar.start()
        except OSError as error:
            raise ConfigError(f"listen: {error.strerror}") from None
        gc.collect()
        gc.freeze()  # what is there now stays: no later collection looks through it
        sidecar.run()
    finally:
        sidecar.close()
        configure(form=log_format)
