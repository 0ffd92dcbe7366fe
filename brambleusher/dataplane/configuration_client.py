"""The long poll's client: follows controllers and applies what is newer, never what is older."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.dataplane.instance import Instance
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.long_poll_messages import (
    NO_LIST,
    ListVersion,
    LoadReport,
    LongPollRequest,
    LongPollResponse,
)
from brambleusher.dataplane.routing import RouteTable
from brambleusher.membership.controllers import Controllers, controllers_from_json
from brambleusher.membership.line_connection import LineClient
from brambleusher.membership.views import Peer
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import parse_address
from brambleusher.wire import configuration
from brambleusher.wire.errors import InvalidConfigurationError, InvalidMessageError
from brambleusher.wire.json_fields import JsonObject
from brambleusher.wire.packing import unpack

log = logging.getLogger(__name__)

POLLERS = 2  # controllers followed at once: one that freezes or is partitioned off delays nothing
POLL_TIMEOUT_S = 1.1  # twice the time that a controller holds a poll, and a round trip between regions
RETRY_PAUSE_S = 0.05
BRIEF_WAIT_S = 0.25  # for an update to come from the other controller before it is asked for twice
LIST_LAG_S = 1.0  # behind another controller's reading: then that one is worth having
LIST_STALE_S = 3.2  # a controller whose reading of the list is older is left for another
REPORT_INTERVAL_S = 0.8  # at which load reports are exchanged with the other gateways
QUORUM_WAIT_S = 2.0  # after the start, for a controller with a majority, before another's state is applied
COUNT_WINDOW_S = 30.0  # the largest count of gateways within this time shares the budgets
COUNT_SAMPLE_S = 1.0


@dataclass(slots=True)
class _PollState:
    """What one poller knows of the controller that it follows."""

    list_version: ListVersion = NO_LIST  # that this controller last named
    is_primary: bool = False  # it follows the nearest controller: it alone takes large updates and metrics
    is_brief: bool = True  # where it is not: whether it asks for the content of updates


class GatewayCount:
    """The largest count of gateways lately: budgets that are shared by too few would be exceeded."""

    def __init__(self) -> None:
        self._samples: list[tuple[float, int]] = []

    def record(self, gateways: int, now_s: float) -> float:
        """Record a count; return the largest of the window, at least 1."""
        self._samples = [(at_s, count) for at_s, count in self._samples if now_s - at_s < COUNT_WINDOW_S]
        samples = self._samples
        if not samples or samples[-1][1] != gateways or now_s - samples[-1][0] > COUNT_SAMPLE_S:
            samples.append((now_s, gateways))
        return float(max(1, *(count for _, count in samples)))


class ConfigurationClient:
    """Owns the gateway's copy of the control plane's state."""

    def __init__(
        self,
        scheduler: Scheduler,
        controllers: Controllers,
        instances: InstanceTable,
        describe_self: Callable[[], Peer],
        on_unusable: Callable[[list[Instance]], None],
    ) -> None:
        """Start to poll; `on_unusable` gets instances that drain or were removed."""
        self._scheduler, self._controllers = scheduler, controllers
        self._instances, self._describe_self, self._on_unusable = instances, describe_self, on_unusable
        self.state_index = -1  # of the last applied command
        self.routes: RouteTable | None = None
        self._report_due_s = 0.0
        self._started_at_s = scheduler.now()
        self._gateway_count = GatewayCount()
        for poller in range(POLLERS):
            scheduler.spawn(self._run, poller, name=f"configuration_poller_{poller}")

    # --- polling ----------------------------------------------------------------------------------

    def _run(self, poller: int) -> None:
        while True:
            address = self._controllers.acquire(poller, self._scheduler.now())
            try:
                if self._follow(address, poller):
                    continue
            except (OSError, TaskTimeoutError, InvalidMessageError) as error:
                fields = {"controller": address, "error": repr(error)}
                log.debug("configuration poll failed", extra={"fields": fields})
            self._controllers.record_failure(address, self._scheduler.now())
            self._scheduler.sleep(RETRY_PAUSE_S)

    def _follow(self, address: str, poller: int) -> bool:
        """Poll one controller until it is no use (False) or a nearer one is available (True)."""
        client = LineClient(self._scheduler, parse_address(address))
        state = _PollState()
        try:
            while True:
                answer = client.call(self._request(poller, state).as_json(), POLL_TIMEOUT_S)
                if answer.get("observer"):
                    self._record_observer(address, answer)
                    return False
                response = LongPollResponse.from_json(answer)
                confirms_list = state.is_primary and response.list_version == state.list_version
                self._apply(response, confirms_list)
                if not state.is_primary and state.is_brief and self._is_behind(response):
                    # The other controller should bring it; if it does not, this one is asked for its content.
                    self._scheduler.sleep(BRIEF_WAIT_S)
                    state.is_brief = not self._is_behind(response)
                    continue
                state.is_brief = True
                state.list_version = response.list_version
                if not self._is_useful(response):
                    return False
                self._controllers.record_success(address)
                if self._controllers.is_nearer_available(poller, address, self._scheduler.now()):
                    return True
        finally:
            client.close()

    def _request(self, poller: int, state: _PollState) -> LongPollRequest:
        is_primary = self._controllers.holds_nearest(poller)
        if is_primary and not state.is_primary:
            state.list_version = NO_LIST  # no list was taken from brief answers, though they name one
        state.is_primary = is_primary
        gateway = self._describe_self()
        if is_primary:
            return LongPollRequest(
                gateway, self.state_index, state.list_version, load_report=self._due_load_report()
            )
        list_version = state.list_version if state.is_brief else NO_LIST
        return LongPollRequest(gateway, self.state_index, list_version, is_brief=state.is_brief)

    def _due_load_report(self) -> LoadReport | None:
        if self._scheduler.now() < self._report_due_s:
            return None
        self._report_due_s = self._scheduler.now() + REPORT_INTERVAL_S
        return self._instances.load_report()

    def _record_observer(self, address: str, answer: JsonObject) -> None:
        self._controllers.mark_observer(address, controllers_from_json(answer.get("controllers")))

    def _is_behind(self, response: LongPollResponse) -> bool:
        """Whether a controller that answered briefly has what this gateway still lacks."""
        has_newer_list = False
        if response.list_age_s is not None:
            read_at_s = self._scheduler.now() - response.list_age_s
            has_newer_list = read_at_s > self._instances.list_read_at_s + LIST_LAG_S
        return response.state_index > self.state_index or has_newer_list

    def _is_useful(self, response: LongPollResponse) -> bool:
        """Whether a controller is in contact with a majority and its list is fresh."""
        age_s = response.list_age_s
        has_fresh_list = not self._instances.has_list or (age_s is not None and age_s < LIST_STALE_S)
        return response.has_quorum_contact and has_fresh_list

    # --- applying ---------------------------------------------------------------------------------

    def _apply(self, response: LongPollResponse, confirms_list: bool) -> None:
        """Apply what is newer; `confirms_list`: the list that was taken from there has not changed."""
        now_s = self._scheduler.now()
        try:
            self._apply_state(response, now_s)
            self._apply_instances(response, now_s, confirms_list)
            self._instances.gateway_count = self._gateway_count.record(response.gateway_count, now_s)
            self._instances.gateway_rank = response.gateway_rank
            load = response.fleet_load()
            if load is not None:
                self._instances.apply_fleet_load(load.reporters, load.totals, now_s)
        except (TypeError, ValueError, InvalidConfigurationError) as error:
            raise InvalidMessageError(f"a configuration can't be applied: {error!r}") from error
        if response.controllers and response.has_quorum_contact:
            self._controllers.set_announced(response.controllers)

    def _apply_state(self, response: LongPollResponse, now_s: float) -> None:
        if response.state_index <= self.state_index or response.state is None:
            return
        has_waited = now_s - self._started_at_s >= QUORUM_WAIT_S
        if not response.has_quorum_contact and self.routes is None and not has_waited:
            return  # it may have lost contact long ago, and others have newer state
        packed = response.state.packed_configuration
        routes = RouteTable(configuration.read_checked(unpack(packed))) if packed else None
        self.state_index = response.state_index
        if routes is not None:
            self.routes = routes
            self._instances.services = routes.services
        self._instances.set_evacuated_zones(response.state.evacuated_zones, now_s)

    def _apply_instances(self, response: LongPollResponse, now_s: float, confirms_list: bool) -> None:
        if response.list_age_s is None:
            return
        read_at_s = now_s - response.list_age_s
        instances = response.instances() if read_at_s > self._instances.list_read_at_s else None
        if instances is not None:
            self._on_unusable(self._instances.update(instances, read_at_s, now_s))
        elif confirms_list and self._instances.has_list:
            # Otherwise a list that does not change would seem to grow old, and be requested again.
            self._instances.list_read_at_s = max(self._instances.list_read_at_s, read_at_s)
