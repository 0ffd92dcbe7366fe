"""Publishes configuration and instances to gateways by long poll.

A gateway's request names the versions that it has. The response is sent as soon as one of them is outdated,
or after `POLL_TIMEOUT_S`.
"""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.controlplane.configuration.long_poll_messages import (
    FleetLoad,
    LongPollRequest,
    LongPollResponse,
    StateUpdate,
)
from brambleusher.controlplane.registry.instance_list import InstanceListReader
from brambleusher.controlplane.registry.load_reports import FleetLoadReports
from brambleusher.controlplane.replica import Replica
from brambleusher.membership.views import PartialView
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.wire.json_fields import JsonObject

# A poll without an update is answered after this time. Gateways switch to another controller after about
# twice this time without a response.
POLL_TIMEOUT_S = 0.5
# Gateways that polled within this time count as alive; budgets are divided among them.
GATEWAY_ALIVE_S = 10.0


class ConfigurationPublisher:
    """Answers long polls; `notify` wakes the polls that wait for an update."""

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        replica: Replica,
        instances: InstanceListReader,
        view: PartialView,
        controllers: Callable[[], list[tuple[str, str, str]]],
    ) -> None:
        """Create a publisher of the controller's replicated state and instance list.

        Args:
            scheduler: The scheduler of the serving thread.
            name: The name of this controller, sent as the source of its instance list's versions.
            replica: The replica that has the replicated state.
            instances: The reader that has the instance list.
            view: The view that tracks which gateways are alive.
            controllers: Returns the address, zone and region of all controllers.
        """
        self._scheduler, self._name = scheduler, name
        self._replica, self._instances, self._view = replica, instances, view
        self._controllers = controllers
        self._waiting: set[Event] = set()
        self._load_reports = FleetLoadReports()

    def notify(self) -> None:
        """Wake all waiting polls, after the state or the instance list has changed."""
        for event in self._waiting:
            event.set()

    def handle_long_poll(self, message: JsonObject) -> dict[str, object]:
        """Wait for an update and return the response.

        Raises:
            InvalidMessageError: The request is invalid.
        """
        request = LongPollRequest.from_json(message)
        self._view.record_contact(request.gateway, self._scheduler.now())
        load_report = request.load_report()
        if load_report is not None:
            self._load_reports.record(request.gateway.name, load_report, self._scheduler.now())
        self._wait_for_update(request)
        return self._respond(request).as_json()

    def _wait_for_update(self, request: LongPollRequest) -> None:
        deadline = self._scheduler.now() + POLL_TIMEOUT_S
        event = Event()
        self._waiting.add(event)
        try:
            while not self._has_update(request):
                self._scheduler.park(deadline, event=event)
        except TaskTimeoutError:
            pass
        finally:
            self._waiting.discard(event)

    def _has_update(self, request: LongPollRequest) -> bool:
        has_list = self._instances.read_at_s is not None
        return self._has_newer_state(request) or (has_list and self._has_other_list(request))

    def _has_newer_state(self, request: LongPollRequest) -> bool:
        return self._replica.state.index > request.state_index

    def _has_other_list(self, request: LongPollRequest) -> bool:
        known = (request.list_source, request.list_version)
        return known != (self._name, self._instances.version)

    def _respond(self, request: LongPollRequest) -> LongPollResponse:
        now = self._scheduler.now()
        gateways = [peer.name for peer in self._view.alive("gateway", now, GATEWAY_ALIVE_S)]
        name = request.gateway.name
        read_at_s = self._instances.read_at_s
        is_list_due = read_at_s is not None and not request.is_brief and self._has_other_list(request)
        return LongPollResponse(
            state_index=self._replica.state.index,
            has_quorum_contact=self._replica.consensus.has_quorum_contact(now),
            gateway_count=len(gateways),
            gateway_rank=gateways.index(name) if name in gateways else 0,
            controllers=self._controllers(),
            list_source=self._name,
            list_version=self._instances.version,
            list_age_s=now - read_at_s if read_at_s is not None else None,
            state=self._state_update(request),
            instances=self._instances.instances if is_list_due else None,
            fleet_load=self._fleet_load(request, now),
        )

    def _state_update(self, request: LongPollRequest) -> StateUpdate | None:
        if request.is_brief or not self._has_newer_state(request):
            return None
        state = self._replica.state
        return StateUpdate(state.packed, state.evacuated_zones)

    def _fleet_load(self, request: LongPollRequest, now: float) -> FleetLoad | None:
        if not request.has_load_report:
            return None
        return FleetLoad(*self._load_reports.sum_of_others(request.gateway.name, now))
