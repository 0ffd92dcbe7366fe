"""Assembles a sidecar from its parts.

The runtime behaviour of the parts is in `lifecycle`, `reload`, `operator_actions` and `endpoint_updates`.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from brambleusher.admin import metrics_text
from brambleusher.admin.server import AdminServer
from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.clock import Clock
from brambleusher.decisions.observers import DecisionObserver, DecisionObservers
from brambleusher.handover.process_group import ProcessGroup
from brambleusher.handover.shared_folder import folder_path
from brambleusher.handover.shared_settings import SharedSettings
from brambleusher.handover.state_transfer import TransferredState
from brambleusher.loadbalancing import Balancer
from brambleusher.loadbalancing.api import ListKind, Settings
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.loadbalancing.connection_admission import ConnectionAdmission
from brambleusher.loadbalancing.host_bans import HostBans
from brambleusher.net.client_listener import ClientListener
from brambleusher.net.endpoint_list import EndpointList
from brambleusher.net.endpoint_watch import HttpWatch
from brambleusher.net.upstream_pool import UpstreamPool
from brambleusher.observability.counters import Counters
from brambleusher.observability.request_counts import RequestCounts
from brambleusher.operator_settings.configuration import OperatorFile
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import System
from brambleusher.sidecar import feature_assembly, signals
from brambleusher.sidecar.configuration import Config
from brambleusher.sidecar.connection_budgets import ConnectionBudgets, connection_budgets
from brambleusher.sidecar.endpoint_updates import EndpointUpdates
from brambleusher.sidecar.lifecycle import Lifecycle
from brambleusher.sidecar.operator_actions import OperatorActions
from brambleusher.sidecar.outputs import Outputs
from brambleusher.sidecar.reload import ConfigurationReloader
from brambleusher.sidecar.state_exchange import export_state, import_endpoint_list

if TYPE_CHECKING:
    from brambleusher.features.capture import Capture
    from brambleusher.features.metrics_reporter import MetricsReporter
    from brambleusher.features.rewrites import RuleRewriter
    from brambleusher.features.status import StatusPage
    from brambleusher.fronts.mysql.service import MysqlService

log = logging.getLogger(__name__)

FRESH_LIST_TIMEOUT_S = 1.0  # seconds after which the sidecar serves with its current list


class Sidecar:
    """A sidecar: `start` starts it, `run` serves until `begin_graceful_shutdown`, `close` releases it.

    Args:
        config: The configuration of the sidecar.
        load: Reloads the configuration; None if it never changes.
        operator: The operator file; None disables all features.
        system: The clocks, sockets and threads to use; None selects the operating system.
        load_operator: Reloads the operator file; None if it never changes.
        make_balancer: Creates a balancer from settings and a seed.

    Raises:
        OperatorFileError: An enabled feature can't be built or exceeds the limits.
    """

    def __init__(
        self,
        config: Config,
        load: Callable[[], Config] | None = None,
        operator: OperatorFile | None = None,
        system: System | None = None,
        load_operator: Callable[[], OperatorFile] | None = None,
        make_balancer: Callable[[Settings, int], Balancer] = balancer_for,
    ) -> None:
        self.operator = operator or OperatorFile()
        self.config = replace(config, settings=replace(config.settings, zone_rules=self.operator.zones))
        self.system: System = RealSystem() if system is None else system
        self.scheduler = Scheduler(self.system)
        self.clock = Clock(self.system)
        self.counters = Counters()
        self.outputs = Outputs(self.system)
        self.bans, self.client_draining = HostBans(), ClientDraining()
        self.metrics_reporter = self._build_metrics_reporter()
        self._has_predecessor = False
        self.process_group = self._join_process_group()
        balancer_state = self._import_state()
        self._build_serving_parts(make_balancer, balancer_state)
        self._build_control_parts()
        self._started_at = self.scheduler.now()
        self.lifecycle = Lifecycle(self, self._has_predecessor)
        self.reloader = ConfigurationReloader(self, load, load_operator)

    # --- assembly -------------------------------------------------------------------------------

    def _build_serving_parts(
        self, make_balancer: Callable[[Settings, int], Balancer], balancer_state: object
    ) -> None:
        """Build the parts on the path of a request, from accepting its connection to its endpoint."""
        config, scheduler = self.config, self.scheduler
        budgets = self._connection_budgets()
        self.request_counts = RequestCounts(cls.name for cls in config.settings.classes)
        self.upstream_pool = UpstreamPool(
            scheduler, config.settings, self.counters, budgets.upstream, self.request_counts.count_attempt
        )
        self.capture = self._build_capture()
        self.status = self._build_status()
        self.balancer_driver = BalancerDriver(
            config.settings,
            config.seed,
            scheduler,
            self.clock,
            self.counters,
            observers=self._decision_observers(),
            recorder=self.capture,
            make_balancer=make_balancer,
            state=balancer_state,
            close_idle_connections=self._close_idle_connections,
            subscribe=lambda: self.endpoint_list.request_watch(),
        )
        self.connection_admission = ConnectionAdmission(budgets.clients, budgets.requesting_clients)
        self.client_listener = ClientListener(
            scheduler,
            self.balancer_driver,
            self.upstream_pool,
            self.clock,
            self.counters,
            self.connection_admission,
            self.is_ready,
            self._build_rewrites(),
            self.request_counts,
            self.client_draining,
        )
        self.mysql = self._build_mysql()

    def _build_control_parts(self) -> None:
        """Build the parts that control serving, such as the endpoint list and operator commands."""
        self.endpoint_updates = EndpointUpdates(
            self.bans, self.upstream_pool, self.balancer_driver, self.status, self.capture, self.mysql
        )
        self.endpoint_list = EndpointList(
            self.scheduler,
            HttpWatch(self.scheduler, self.config.discovery),
            random.Random(self.config.seed ^ 1),
            self.counters,
            self.endpoint_updates.receive,
            lambda: self.balancer_driver.update_endpoints(ListKind.FAILED, ()),
            slices=True,
            sidecars=self.config.settings.fleet_size,
        )
        self.operator_actions = OperatorActions(
            self.bans,
            self.client_draining,
            self.scheduler,
            self.clock,
            self.client_listener,
            self.endpoint_updates,
            None if self.process_group is None else self.process_group.settings,
            self.is_ready,
            self._render_metrics,
        )
        has_admin = self.config.admin is not None
        self.admin_server = AdminServer(self.scheduler, self.operator_actions) if has_admin else None
        self.admin_address: tuple[str, int] | None = None  # address of the admin endpoint once it listens

    def _build_metrics_reporter(self) -> MetricsReporter | None:
        if self.operator.metrics is None:
            return None
        return feature_assembly.build_metrics_reporter(
            self.operator.metrics, self.config.settings, self.clock, self.counters, self.outputs, self.system
        )

    def _build_capture(self) -> Capture | None:
        if self.operator.capture is None:
            return None
        return feature_assembly.build_capture(self.operator.capture, self.config, self.outputs)

    def _build_status(self) -> StatusPage | None:
        if self.operator.status is None:
            return None
        return feature_assembly.build_status(
            self.operator.status, self.config.settings, self.scheduler, self._zone_status
        )

    def _build_rewrites(self) -> RuleRewriter | None:
        if self.operator.rewrites is None:
            return None
        return feature_assembly.build_rewrites(self.operator.rewrites, self.config.settings)

    def _build_mysql(self) -> MysqlService | None:
        if self.operator.mysql is None:
            return None
        return feature_assembly.build_mysql(
            self.operator.mysql, self.config, self.scheduler, self.balancer_driver, self.clock, self.counters
        )

    def _decision_observers(self) -> DecisionObserver | None:
        observers: list[DecisionObserver] = [
            feature for feature in (self.metrics_reporter, self.status) if feature is not None
        ]
        return DecisionObservers(observers) if observers else None

    def _connection_budgets(self) -> ConnectionBudgets:
        group = self.process_group
        return connection_budgets(
            self.config,
            self.operator,
            limit_fraction=1.0 if group is None else group.shares.connections,
            has_process_group=group is not None,
        )

    # --- handover -------------------------------------------------------------------------------

    def _join_process_group(self) -> ProcessGroup | None:
        """Register as one of this sidecar's processes if the platform allows several processes."""
        config = self.config
        if config.listener_fd is None or config.shared_dir is None:
            return None
        path = folder_path(config.shared_dir, config.name)
        group = ProcessGroup(path, self._apply_limit_shares, self._apply_shared_settings, self._export_state)
        try:
            self._has_predecessor = group.registry.register()
        except OSError:
            # The process registry is needed only for upgrades, so the sidecar serves without it.
            log.exception("process registry unavailable", extra={"fields": {"folder": path}})
            return None
        return group

    def _import_state(self) -> object:
        """Import the endpoint list of the currently serving process; return its balancer's state."""
        if self.process_group is None or self.process_group.registry.process_count == 1:
            return None
        state = self.process_group.transfer.receive(self.system.sleep, self.system.monotonic)
        config = None if state is None else import_endpoint_list(self.config, state)
        if state is None or config is None:
            return None
        self.config = config
        return state.balancer

    def _export_state(self) -> TransferredState | None:
        return export_state(
            self.bans,
            self.upstream_pool,
            self.balancer_driver,
            self.endpoint_updates.version,
            self.config.discovery,
        )

    def _apply_shared_settings(self, settings: SharedSettings) -> None:
        self.operator_actions.apply_shared(settings)

    def _apply_limit_shares(self) -> None:
        """Update the limits after other processes have started, ended or changed their stage."""
        if self.process_group is None:
            return
        budgets = self._connection_budgets()
        self.upstream_pool.resize(budgets.upstream)
        self.connection_admission.max_connections = budgets.clients
        self.connection_admission.max_active = budgets.requesting_clients
        self.balancer_driver.set_process_share(self.process_group.shares.sending)

    # --- callbacks between the parts ------------------------------------------------------------

    def _close_idle_connections(self, endpoint: str) -> None:
        self.upstream_pool.close_idle_connections(endpoint)
        if self.mysql is not None:
            self.mysql.nodes.close_idle(endpoint)

    def _zone_status(self) -> dict[str, object] | None:
        return self.balancer_driver.zone_status()

    def _render_metrics(self) -> bytes:
        avoided = self.balancer_driver.count_avoided_hosts()
        return metrics_text.render(self.request_counts, len(self.upstream_pool.listed), avoided)

    # --- interface to the main program ----------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether to accept clients, which needs a fresh endpoint list or the end of a timeout."""
        has_waited = self.scheduler.now() - self._started_at >= FRESH_LIST_TIMEOUT_S
        has_waited = has_waited or self.endpoint_list.has_watch_failed
        return self.endpoint_list.has_discovery_answered or (has_waited and bool(self.config.known.endpoints))

    def start(self) -> tuple[str, int]:
        """Start all parts; return the address of the client listener."""
        return self.lifecycle.start()

    def run(self) -> None:
        """Serve until the graceful shutdown is complete."""
        self.lifecycle.run()

    def close(self) -> None:
        """Release all resources of the sidecar."""
        self.lifecycle.close()

    def begin_graceful_shutdown(self) -> None:
        """Schedule a graceful shutdown; safe in a signal handler."""
        self.lifecycle.begin_graceful_shutdown()

    def reload_configuration(self) -> None:
        """Schedule a reload of the configuration; safe in a signal handler."""
        self.scheduler.call_soon(self.reloader.reload)

    def report(self) -> None:
        """Schedule logging the counters and dumping an enabled capture; safe in a signal handler."""
        self.scheduler.call_soon(self._report)

    def _report(self) -> None:
        self.counters.report("asked")
        if self.capture is not None:
            self.capture.dump()

    def install_signal_handlers(self) -> None:
        """Install handlers that shut down on SIGTERM and SIGINT, reload on SIGHUP and report on SIGUSR1."""
        signals.install_signal_handlers(
            self.system, self.begin_graceful_shutdown, self.reload_configuration, self.report
        )
