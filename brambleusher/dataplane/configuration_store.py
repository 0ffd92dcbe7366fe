"""The gateway's copy of the control plane's state: newer data is applied, older data is ignored."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.long_poll_messages import LongPollResponse
from brambleusher.dataplane.routing import RouteTable
from brambleusher.membership.controllers import Controllers
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire import configuration
from brambleusher.wire.errors import InvalidConfigurationError, InvalidMessageError, WireError
from brambleusher.wire.packing import unpack

log = logging.getLogger(__name__)

LIST_LAG_S = 1.0  # a list from another controller is requested if it is newer by more than this
QUORUM_WAIT_S = 2.0  # how long a gateway without state waits for a controller with a majority
COUNT_WINDOW_S = 30.0  # budgets are divided by the largest count of gateways within this time
COUNT_SAMPLE_S = 1.0  # an unchanged count is recorded again after this interval


class UpdatePart(Enum):
    """A part of a controller's response that is applied independently of the others."""

    CONFIGURATION = "configuration"
    STATE = "state"  # the index of the state, and the evacuated zones
    INSTANCES = "instances"
    FLEET = "fleet"  # the number of gateways, and their load reports


class GatewayCount:
    """Tracks the largest recent count of gateways: dividing by too small a count would exceed the budgets."""

    def __init__(self) -> None:
        self._samples: list[tuple[float, int]] = []

    def record(self, gateways: int, now_s: float) -> float:
        """Record a count; return the largest count within `COUNT_WINDOW_S`, at least 1."""
        self._samples = [(at_s, count) for at_s, count in self._samples if now_s - at_s < COUNT_WINDOW_S]
        samples = self._samples
        if not samples or samples[-1][1] != gateways or now_s - samples[-1][0] > COUNT_SAMPLE_S:
            samples.append((now_s, gateways))
        return float(max(1, *(count for _, count in samples)))


class ConfigurationStore:
    """Holds the routes in force and keeps the instance table up to date."""

    def __init__(
        self,
        scheduler: Scheduler,
        controllers: Controllers,
        instances: InstanceTable,
        on_unusable: Callable[[list[Instance]], None],
    ) -> None:
        """Start without a configuration; `on_unusable` receives instances that drain or were removed."""
        self._scheduler, self._controllers = scheduler, controllers
        self._instances, self._on_unusable = instances, on_unusable
        self.state_index = -1  # log index of the last applied command; -1 before the first one
        self.routes: RouteTable | None = None
        self._started_at_s = scheduler.now()
        self._gateway_count = GatewayCount()
        self.failed_parts: Counter[str] = Counter({part.value: 0 for part in UpdatePart})
        self._errors: list[Exception] = []  # of the response that is being applied

    def is_behind(self, response: LongPollResponse) -> bool:
        """Whether a controller's brief response announces newer data than this gateway has."""
        has_newer_list = False
        if response.list_age_s is not None:
            read_at_s = self._scheduler.now() - response.list_age_s
            has_newer_list = read_at_s > self._instances.list_read_at_s + LIST_LAG_S
        return response.state_index > self.state_index or has_newer_list

    def apply(self, response: LongPollResponse, confirms_list: bool) -> None:
        """Apply newer state and a newer list, each part independently of the others.

        An unreadable configuration is logged and left out: the routes before it stay in force, or the gateway
        stays without routes and not ready, until there is another configuration.

        Args:
            response: The response of any controller.
            confirms_list: Whether the list was taken from this controller and has not changed since.

        Raises:
            InvalidMessageError: A part other than the configuration is malformed; the others are applied.
        """
        now_s = self._scheduler.now()
        self._errors = []
        with self._part(UpdatePart.STATE):
            self._apply_state(response, now_s)
        with self._part(UpdatePart.INSTANCES):
            self._apply_instances(response, now_s, confirms_list)
        with self._part(UpdatePart.FLEET):
            self._apply_fleet(response, now_s)
        if self._errors:
            raise InvalidMessageError(f"cannot apply a configuration update: {self._errors!r}")
        if response.controllers and response.has_quorum_contact:
            self._controllers.set_announced(response.controllers)

    @contextmanager
    def _part(self, part: UpdatePart) -> Iterator[None]:
        """Count and keep an error of one part."""
        try:
            yield
        except (TypeError, ValueError, WireError) as error:
            self.failed_parts[part.value] += 1
            self._errors.append(error)

    def _apply_fleet(self, response: LongPollResponse, now_s: float) -> None:
        self._instances.gateway_count = self._gateway_count.record(response.gateway_count, now_s)
        self._instances.gateway_rank = response.gateway_rank
        load = response.fleet_load()
        if load is not None:
            self._instances.apply_fleet_load(load.reporters, load.totals, now_s)

    def _apply_state(self, response: LongPollResponse, now_s: float) -> None:
        if response.state_index <= self.state_index or response.state is None:
            return
        has_waited = now_s - self._started_at_s >= QUORUM_WAIT_S
        if not response.has_quorum_contact and self.routes is None and not has_waited:
            return  # this controller may have lost contact long ago, and others may have newer state
        packed = response.state.packed_configuration
        routes = self._read_routes(unpack(packed), response.state_index) if packed else None
        self.state_index = response.state_index
        if routes is not None:
            self.routes = routes
            self._instances.services = routes.services
        self._instances.set_evacuated_zones(response.state.evacuated_zones, now_s)

    def _read_routes(self, body: bytes, index: int) -> RouteTable | None:
        """Return the routes of a configuration, None if it is unreadable."""
        try:
            return RouteTable(configuration.parse_stored(body))
        except InvalidConfigurationError as error:
            self._record_unreadable(index, str(error))
            return None

    def _record_unreadable(self, index: int, reason: str) -> None:
        self.failed_parts[UpdatePart.CONFIGURATION.value] += 1
        log.error("configuration unreadable", extra={"fields": {"index": index, "reason": reason}})

    def _apply_instances(self, response: LongPollResponse, now_s: float, confirms_list: bool) -> None:
        if response.list_age_s is None:
            return
        read_at_s = now_s - response.list_age_s
        instances = response.instances() if read_at_s > self._instances.list_read_at_s else None
        if instances is not None:
            self._on_unusable(self._instances.update(instances, read_at_s, now_s))
        elif confirms_list and self._instances.has_list:
            # Without this, an unchanged list would look stale and be requested again.
            self._instances.list_read_at_s = max(self._instances.list_read_at_s, read_at_s)
