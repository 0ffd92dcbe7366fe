"""Executes the requests that observers relay to this controller."""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from brambleusher.controlplane.configuration.commands import Command
from brambleusher.controlplane.configuration.replicated_state import ReplicatedState
from brambleusher.controlplane.forwarding import COMMAND_TIMEOUT_S
from brambleusher.controlplane.relay.messages import (
    AppliedIndexRequest,
    ControllersJson,
    ControllersRequest,
    ReadRequest,
    RelayRequest,
    ResolveRequest,
    SubmitRequest,
    reply_to_json,
    request_from_json,
)
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.json_fields import JsonObject

MS_PER_S = 1000
RESPONSE_TIMEOUT_S = 0.45  # time limit for a request that changes nothing, with forwarding it to the leader


class RelayServer:
    """Handles relayed requests on a controller."""

    def __init__(
        self,
        scheduler: Scheduler,
        state: ReplicatedState,
        find_gateways: Callable[[str, str], list[str]],
        controllers: Callable[[], ControllersJson],
    ) -> None:
        self._scheduler, self._state = scheduler, state
        self._find_gateways, self._controllers = find_gateways, controllers

    def handle(self, message: JsonObject) -> dict[str, object]:
        """Return the reply to one request.

        Raises:
            InvalidMessageError: The request is invalid.
        """
        request = request_from_json(message)
        timeout_s = COMMAND_TIMEOUT_S if isinstance(request, SubmitRequest) else RESPONSE_TIMEOUT_S
        return reply_to_json(self._answer(request, self._scheduler.now() + timeout_s))

    def _answer(self, request: RelayRequest, deadline: float) -> object:
        match request:
            case SubmitRequest():
                return self._submit(request.command, deadline)
            case ReadRequest():
                state = self._state.read(deadline)
                return None if isinstance(state, Err) else state.ok_value.as_read_json()
            case AppliedIndexRequest():
                at = self._scheduler.now() - request.age_ms / MS_PER_S
                index = self._state.read_applied_index(at, deadline)
                return None if isinstance(index, Err) else index.ok_value
            case ResolveRequest():
                return self._find_gateways(request.zone, request.region)
            case ControllersRequest():
                return self._controllers()

    def _submit(self, command: Command, deadline: float) -> str | None:
        verdict = self._state.submit(command, deadline)
        return None if isinstance(verdict, Err) else verdict.ok_value.value
