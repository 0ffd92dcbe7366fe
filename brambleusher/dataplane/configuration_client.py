"""The long-poll client: polls several controllers and passes their responses to the configuration store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.dataplane.configuration_store import ConfigurationStore
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.long_poll_messages import (
    NO_LIST,
    ListVersion,
    LoadReport,
    LongPollRequest,
    LongPollResponse,
)
from brambleusher.membership.controllers import Controllers, controllers_from_json
from brambleusher.membership.line_connection import LineClient
from brambleusher.membership.views import Peer
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject

log = logging.getLogger(__name__)

POLLERS = 2  # controllers polled at once, so that a frozen or partitioned controller delays no update
POLL_TIMEOUT_S = 1.1  # twice the time that a controller holds a poll, plus a round trip between regions
RETRY_PAUSE_S = 0.05
BRIEF_WAIT_S = 0.25  # wait for the primary poller to get an update before another poller requests it as well
LIST_STALE_S = 3.2  # a controller whose instance list is older than this is abandoned for another one
REPORT_INTERVAL_S = 0.8  # how often load reports are exchanged with the other gateways


@dataclass(slots=True)
class _PollState:
    """What one poller knows about the controller that it polls."""

    list_version: ListVersion = NO_LIST  # the list version in the last response of this controller
    is_primary: bool = False  # polls the nearest controller; only it gets large updates and load reports
    is_brief: bool = True  # a poller that is not primary only asks whether there are updates


class ConfigurationClient:
    """Polls several controllers at once, each in its own task."""

    def __init__(
        self,
        scheduler: Scheduler,
        controllers: Controllers,
        instances: InstanceTable,
        store: ConfigurationStore,
        describe_self: Callable[[], Peer],
    ) -> None:
        """Start polling; `describe_self` returns this gateway's entry for the controllers' partial view."""
        self._scheduler, self._controllers = scheduler, controllers
        self._instances, self._store, self._describe_self = instances, store, describe_self
        self._report_due_s = 0.0
        for poller in range(POLLERS):
            scheduler.spawn(self._run, poller, name=f"configuration_poller_{poller}")

    def _run(self, poller: int) -> None:
        while True:
            address = self._controllers.acquire(poller, self._scheduler.now())
            try:
                if self._poll_controller(address, poller):
                    continue
            except (OSError, TaskTimeoutError, InvalidMessageError) as error:
                fields = {"controller": address, "error": repr(error)}
                log.debug("configuration poll failed", extra={"fields": fields})
            self._controllers.record_failure(address, self._scheduler.now())
            self._scheduler.sleep(RETRY_PAUSE_S)

    def _poll_controller(self, address: str, poller: int) -> bool:
        """Poll one controller; return True if a nearer one is available, False if this one is not useful."""
        client = LineClient(self._scheduler, parse_address(address))
        state = _PollState()
        try:
            while True:
                answer = client.send_request(self._request(poller, state).as_json(), POLL_TIMEOUT_S)
                if answer.get("observer"):
                    self._record_observer(address, answer)
                    return False
                response = LongPollResponse.from_json(answer)
                confirms_list = state.is_primary and response.list_version == state.list_version
                self._store.apply(response, confirms_list)
                if not state.is_primary and state.is_brief and self._store.is_behind(response):
                    # The primary poller should get the update; otherwise this poller requests its content.
                    self._scheduler.sleep(BRIEF_WAIT_S)
                    state.is_brief = not self._store.is_behind(response)
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
        is_primary = self._controllers.has_nearest_controller(poller)
        if is_primary and not state.is_primary:
            state.list_version = NO_LIST  # brief responses contain a list version but no list
        state.is_primary = is_primary
        gateway = self._describe_self()
        if is_primary:
            return LongPollRequest(
                gateway, self._store.state_index, state.list_version, load_report=self._due_load_report()
            )
        list_version = state.list_version if state.is_brief else NO_LIST
        return LongPollRequest(gateway, self._store.state_index, list_version, is_brief=state.is_brief)

    def _due_load_report(self) -> LoadReport | None:
        if self._scheduler.now() < self._report_due_s:
            return None
        self._report_due_s = self._scheduler.now() + REPORT_INTERVAL_S
        return self._instances.load_report()

    def _record_observer(self, address: str, answer: JsonObject) -> None:
        self._controllers.record_observer(address, controllers_from_json(answer.get("controllers")))

    def _is_useful(self, response: LongPollResponse) -> bool:
        """Whether the controller is in contact with a majority and its instance list is fresh."""
        age_s = response.list_age_s
        has_fresh_list = not self._instances.has_list or (age_s is not None and age_s < LIST_STALE_S)
        return response.has_quorum_contact and has_fresh_list
