"""Operator commands that ban endpoints and take the sidecar out of service.

All processes of a sidecar share the operators' commands, and the latest command takes effect.
"""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.decisions.clock import Clock
from brambleusher.handover.shared_settings import SharedSettings, SharedSettingsStore
from brambleusher.loadbalancing.api import HostEntry
from brambleusher.loadbalancing.client_draining import ClientDraining
from brambleusher.loadbalancing.host_bans import HostBans
from brambleusher.net.client_listener import ClientListener
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.sidecar.endpoint_updates import EndpointUpdates


class OperatorActions:
    """Executes the commands of the admin endpoint (`admin.server.AdminService`)."""

    def __init__(
        self,
        bans: HostBans,
        client_draining: ClientDraining,
        scheduler: Scheduler,
        clock: Clock,
        client_listener: ClientListener,
        endpoint_updates: EndpointUpdates,
        shared_settings: SharedSettingsStore | None,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self.bans, self._client_draining = bans, client_draining
        # Unix time in nanoseconds of the last command that changed whether the sidecar is in service.
        self._service_changed_ns = 0
        self._scheduler, self._clock = scheduler, clock
        self._client_listener, self._endpoint_updates = client_listener, endpoint_updates
        self._shared_settings = shared_settings
        self._is_ready, self._render_metrics = is_ready, render_metrics

    def is_serving(self) -> bool:
        """Return whether this process is able to serve, whether or not it is in service."""
        return self._client_listener.is_accepting and self._is_ready()

    def metrics_text(self) -> bytes:
        """Return the current metrics in text format."""
        return self._render_metrics()

    def take_endpoint_offline(self, node: str) -> bool:
        """Ban an endpoint; return False if it was never listed, and ban it once it is listed."""
        if self._change_ban(node, self.bans.ban):
            return True
        self.bans.ban_when_listed(node, self._clock.now_ns())
        return False

    def put_endpoint_online(self, node: str) -> bool:
        """Lift an endpoint's ban; return False if the endpoint was never listed."""
        self.bans.cancel_ban_when_listed(node)
        return self._change_ban(node, self.bans.unban)

    def take_out_of_service(self) -> None:
        """Take the sidecar out of service and close client connections; the process keeps running."""
        self._set_service(False, self._clock.now_ns())
        self._publish()

    def put_in_service(self) -> None:
        """Put the sidecar back in service, so that it accepts clients again."""
        self._set_service(True, self._clock.now_ns())
        self._publish()

    def apply_shared(self, settings: SharedSettings) -> None:
        """Apply operator commands that were given to another process of this sidecar."""
        for entry in self.bans.merge(settings.bans):
            self._endpoint_updates.publish_ban(entry)
        if settings.service_changed_ns > self._service_changed_ns:
            self._set_service(settings.is_in_service, settings.service_changed_ns)

    def _change_ban(self, node: str, change: Callable[[str, int], HostEntry | None]) -> bool:
        if not self.bans.is_known(node):
            return False
        self._endpoint_updates.publish_ban(change(node, self._clock.now_ns()))
        self._publish()
        return True

    def _set_service(self, is_in_service: bool, changed_ns: int) -> None:
        self._service_changed_ns = changed_ns
        if is_in_service:
            self._client_draining.resume()
        else:
            self._client_draining.start(self._scheduler.now())
            self._client_listener.start_closing_idle()

    def _publish(self) -> None:
        """Merge this process's operator commands into the settings shared with other processes."""
        if self._shared_settings is not None:
            self._shared_settings.update(self._merge)

    def _merge(self, settings: SharedSettings | None) -> SharedSettings:
        if settings is not None:
            self.apply_shared(settings)
        return SharedSettings(dict(self.bans.bans), self._client_draining.is_ready, self._service_changed_ns)
