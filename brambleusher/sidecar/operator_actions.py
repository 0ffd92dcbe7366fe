"""What operators call: bans of endpoints, and taking the sidecar out of service.

All processes of one sidecar share what operators ordered; the last order counts.
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
    """Carries out the calls at the admin endpoint (`admin.server.AdminService`)."""

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
        self._service_changed_ns = 0  # when the last order about the service was given
        self._scheduler, self._clock = scheduler, clock
        self._client_listener, self._endpoint_updates = client_listener, endpoint_updates
        self._shared_settings = shared_settings
        self._is_ready, self._render_metrics = is_ready, render_metrics

    def is_serving(self) -> bool:
        """Return whether this process can serve, in service or not."""
        return self._client_listener.is_accepting and self._is_ready()

    def metrics_text(self) -> bytes:
        """Return the metrics as they stand."""
        return self._render_metrics()

    def take_endpoint_offline(self, node: str) -> bool:
        """Ban an endpoint; return False for one that was never listed, which is banned once it is."""
        if self._change_ban(node, self.bans.ban):
            return True
        self.bans.ban_when_listed(node, self._clock.now_ns())
        return False

    def put_endpoint_online(self, node: str) -> bool:
        """End an endpoint's ban; return False for one that was never listed."""
        self.bans.cancel_ban_when_listed(node)
        return self._change_ban(node, self.bans.unban)

    def take_out_of_service(self) -> None:
        """Send clients away; this process runs on."""
        self._set_service(False, self._clock.now_ns())
        self._publish()

    def put_in_service(self) -> None:
        """Take clients again."""
        self._set_service(True, self._clock.now_ns())
        self._publish()

    def apply_shared(self, settings: SharedSettings) -> None:
        """Take in what operators ordered of another process, now or before this one began."""
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
        """Merge the orders of this process with those of the others."""
        if self._shared_settings is not None:
            self._shared_settings.update(self._merge)

    def _merge(self, settings: SharedSettings | None) -> SharedSettings:
        if settings is not None:
            self.apply_shared(settings)
        return SharedSettings(dict(self.bans.bans), self._client_draining.is_ready, self._service_changed_ns)
