"""Start, handover from a predecessor, graceful shutdown and exit of a sidecar process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from brambleusher.handover.process_registry import ProcessStage
from brambleusher.sidecar.configuration import ConfigError
from brambleusher.sidecar.state_exchange import address_text

if TYPE_CHECKING:
    from brambleusher.sidecar.app import Sidecar

log = logging.getLogger(__name__)

READINESS_POLL_INTERVAL_S = 0.02
# Seconds. After SIGTERM, new connections arrive for another 0.2 to 0.4 s, and clients keep using open
# connections until they are closed. SIGKILL follows no sooner than the longest deadline, or 3 s if that is
# longer, plus 0.7 s.
SERVE_AFTER_SIGTERM_S = 0.45
MAX_GRACE_DEADLINE_S, GRACE_MARGIN_S = 3.0, 0.7
CLOSE_BEFORE_SIGKILL_S = 0.75  # seconds before SIGKILL at which idle connections are closed
# Seconds before SIGKILL by which the last responses are sent, also those to requests that arrived after
# SIGTERM.
RESPOND_BEFORE_SIGKILL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.02
NS_PER_S = 1e9


class Lifecycle:
    """Starts, drains and ends a sidecar process."""

    def __init__(self, sidecar: Sidecar, has_predecessor: bool) -> None:
        self._sidecar = sidecar
        self._has_predecessor = has_predecessor  # whether another process of this sidecar served at the start
        self.is_shutting_down = False
        self.is_drained = False  # whether the process has stopped accepting requests

    # --- start ----------------------------------------------------------------------------------

    def start(self) -> tuple[str, int]:
        """Start all parts; return the address of the client listener.

        Raises:
            ConfigError: The admin address or the listener descriptor is invalid.
            OSError: The client address can't be listened on.
        """
        sidecar = self._sidecar
        self._start_endpoints()
        if sidecar.admin_server is not None and sidecar.config.admin is not None:
            self._start_admin_server(sidecar.config.admin)
        if (group := sidecar.process_group) is not None:
            if group.registry.process_count > 1:
                sidecar.balancer_driver.set_process_share(group.shares.sending)
            group.watch(sidecar.scheduler)
        address = self._listen()
        fields = {"node": sidecar.config.name, "address": address_text(address)}
        log.info("listening", extra={"fields": fields})
        return address

    def _start_endpoints(self) -> None:
        """Apply the configured endpoint list, watch discovery and start the parts that depend on the list."""
        sidecar = self._sidecar
        known = sidecar.config.known
        settings = None if sidecar.process_group is None else sidecar.process_group.settings.read()
        if settings is not None:
            sidecar.operator_actions.apply_shared(settings)  # commands given before this process started
        sidecar.endpoint_list.set_known(known)
        known = sidecar.endpoint_updates.apply_bans(known)
        sidecar.upstream_pool.update(known)
        sidecar.balancer_driver.start(endpoint.entry for endpoint in known.endpoints)
        sidecar.endpoint_list.start()
        # Without a subscription by the balancer, the sidecar has to request the watch of the endpoint list.
        if not sidecar.config.settings.subscribes_to_endpoints:
            sidecar.endpoint_list.request_watch()
        sidecar.scheduler.spawn(sidecar.upstream_pool.close_expired_connections, name="reap")
        if sidecar.metrics_reporter is not None:
            sidecar.metrics_reporter.start(sidecar.scheduler)
        if sidecar.status is not None:
            sidecar.status.update_endpoints(known)
            sidecar.status.start(sidecar.config.listen[0])
        if sidecar.mysql is not None:
            sidecar.mysql.start(known)

    def _start_admin_server(self, admin: tuple[str, int]) -> None:
        sidecar = self._sidecar
        assert sidecar.admin_server is not None
        try:
            sidecar.admin_address = sidecar.admin_server.listen(admin)
        except OSError as error:
            raise ConfigError(f"admin_addr: {error.strerror}") from None
        log.info("admin endpoint", extra={"fields": {"address": address_text(sidecar.admin_address)}})

    def _listen(self) -> tuple[str, int]:
        """Start listening; with an inherited listener, accept only when this process is ready."""
        sidecar = self._sidecar
        if sidecar.config.listener_fd is None:
            return sidecar.client_listener.listen(sidecar.config.listen)
        try:
            address = sidecar.client_listener.adopt(sidecar.config.listener_fd)
        except OSError as error:
            raise ConfigError(f"NODE_FD: {error.strerror}") from None
        if not self._has_predecessor:
            sidecar.client_listener.start_accepting()
        sidecar.scheduler.spawn(self._serve_once_ready, name="serve once ready")
        return address

    def _serve_once_ready(self) -> None:
        """Accept clients once this process is ready, as its predecessor serves until then; runs in a task."""
        sidecar = self._sidecar
        while not sidecar.is_ready():
            sidecar.scheduler.sleep(READINESS_POLL_INTERVAL_S)
        if self.is_shutting_down:
            return
        sidecar.client_listener.start_accepting()
        if sidecar.process_group is not None:
            sidecar.process_group.registry.set_stage(ProcessStage.SERVING)
        log.info("serving", extra={"fields": {"has_predecessor": self._has_predecessor}})

    # --- run and exit ---------------------------------------------------------------------------

    def run(self) -> None:
        """Serve until the graceful shutdown is complete, then flush the features' buffered data."""
        sidecar = self._sidecar
        sidecar.scheduler.run(self.is_finished)
        if sidecar.capture is not None:
            sidecar.capture.close()
        if sidecar.metrics_reporter is not None:
            sidecar.metrics_reporter.flush()
        sidecar.outputs.close_all_but_stderr()
        if sidecar.metrics_reporter is not None:
            sidecar.metrics_reporter.count_lost_lines()
        sidecar.counters.report("exit")

    def is_finished(self) -> bool:
        """Return whether the process is drained and no client connection is open."""
        sidecar = self._sidecar
        open_sessions = 0 if sidecar.mysql is None else sidecar.mysql.front.session_count
        return self.is_drained and not sidecar.client_listener.connections and not open_sessions

    def close(self) -> None:
        """Leave the process group, close the scheduler and flush pending output."""
        sidecar = self._sidecar
        if sidecar.admin_server is not None:
            sidecar.admin_server.close()
        if sidecar.process_group is not None:
            sidecar.process_group.registry.unregister()
        sidecar.scheduler.close()
        sidecar.outputs.close()

    # --- graceful shutdown ----------------------------------------------------------------------

    def begin_graceful_shutdown(self) -> None:
        """Schedule the graceful shutdown; safe in a signal handler, and repeated calls have no effect."""
        if not self.is_shutting_down:
            self.is_shutting_down = True
            self._sidecar.scheduler.call_soon(self._hand_over_or_drain)

    def _hand_over_or_drain(self) -> None:
        """Hand new connections over to a successor if there is one, otherwise drain."""
        sidecar = self._sidecar
        group = sidecar.process_group
        is_handed_over = group is not None and group.registry.has_successor()
        pending = sidecar.balancer_driver.unanswered_requests
        fields = {"pending_requests": pending, "handed_over": is_handed_over}
        log.info("graceful shutdown", extra={"fields": fields})
        if group is not None:
            group.registry.set_stage(ProcessStage.DRAINING)
        if is_handed_over:
            sidecar.client_draining.retire(sidecar.scheduler.now())
            sidecar.client_listener.hand_over()
            self.is_drained = True
            return
        sidecar.scheduler.spawn(self._drain, name="drain")

    def _drain(self) -> None:
        """Serve while requests can still be answered in time, then close idle connections; runs in a task."""
        sidecar = self._sidecar
        sigkill_at = sidecar.scheduler.now() + self._grace_period_s()
        sidecar.client_listener.latest_response_at = sigkill_at - RESPOND_BEFORE_SIGKILL_S
        sidecar.scheduler.sleep(SERVE_AFTER_SIGTERM_S)
        close_at = sigkill_at - CLOSE_BEFORE_SIGKILL_S
        while sidecar.client_listener.connections and sidecar.scheduler.now() < close_at:
            sidecar.scheduler.sleep(DRAIN_POLL_INTERVAL_S)
        sidecar.client_listener.drain()
        sidecar.upstream_pool.close()
        if sidecar.mysql is not None:
            sidecar.mysql.wind_down()
        if sidecar.status is not None:
            sidecar.status.stop()
        self.is_drained = True

    def _grace_period_s(self) -> float:
        """Return the minimum time in seconds between SIGTERM and SIGKILL."""
        longest_deadline_s = max(cls.deadline_ns for cls in self._sidecar.config.settings.classes) / NS_PER_S
        return min(longest_deadline_s, MAX_GRACE_DEADLINE_S) + GRACE_MARGIN_S
