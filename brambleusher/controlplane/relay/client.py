"""Relays requests from an observer, which has no disk and no vote, to controllers.

An observer tries one controller after another. Commands are idempotent, since a request may arrive twice.
"""

from __future__ import annotations

import math

from result import Err, Ok

from brambleusher.controlplane.configuration.commands import Command, SetEvacuation, Verdict
from brambleusher.controlplane.configuration.replicated_state import (
    IndexResult,
    NoLeaderError,
    ReadResult,
    SubmitResult,
)
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.controlplane.relay.messages import (
    AppliedIndexRequest,
    ControllersRequest,
    ReadRequest,
    RelayReply,
    RelayRequest,
    ResolveRequest,
    SubmitRequest,
)
from brambleusher.membership.controllers import Controllers, controllers_from_json
from brambleusher.membership.line_connection import LineClient
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.errors import InvalidMessageError

ATTEMPT_TIMEOUT_S = 0.55  # how long to wait for a controller's reply before trying another controller
RETRY_BACKOFF_S = 0.03
IDLE_CONNECTIONS_MAX = 16  # maximum number of idle connections kept per controller
MS_PER_S = 1000
CONNECTION_SLOT = 0  # an observer needs only one slot, since it uses one controller at a time


class RelayClient:
    """Sends requests to controllers, preferably near ones, over pooled connections."""

    def __init__(self, scheduler: Scheduler, controllers: Controllers) -> None:
        self._scheduler, self._controllers = scheduler, controllers
        self._idle: dict[str, list[LineClient]] = {}

    def request(
        self, request: RelayRequest, deadline: float, attempt_timeout_s: float = ATTEMPT_TIMEOUT_S
    ) -> object:
        """Return a controller's answer, or None if no controller answered before the deadline."""
        while (now := self._scheduler.now()) < deadline:
            address = self._controllers.acquire(CONNECTION_SLOT, now)
            answer = self._attempt(address, request, min(attempt_timeout_s, deadline - now))
            if answer is not None:
                self._controllers.record_success(address)
                return answer
            self._controllers.record_failure(address, self._scheduler.now())
            self._scheduler.sleep(RETRY_BACKOFF_S)
        return None

    def _attempt(self, address: str, request: RelayRequest, timeout_s: float) -> object:
        idle = self._idle.setdefault(address, [])
        client = idle.pop() if idle else LineClient(self._scheduler, parse_address(address))
        try:
            reply = RelayReply.from_json(client.send_request(request.as_json(), timeout_s))
        except (OSError, TaskTimeoutError, InvalidMessageError):
            client.close()
            return None
        if reply.is_from_observer:
            self._controllers.record_observer(address, reply.controllers)
        if len(idle) < IDLE_CONNECTIONS_MAX:
            idle.append(client)
        else:
            client.close()
        return reply.answer

    def resolve(self, zone: str, region: str, deadline: float) -> list[str] | None:
        """Return the addresses of gateways near a client, or None if no controller answered."""
        answer = self.request(ResolveRequest(zone, region), deadline)
        return [str(address) for address in answer] if isinstance(answer, list) else None

    def refresh_controllers(self, deadline: float) -> bool:
        """Update the list of controllers; return whether a controller answered with a valid list."""
        try:
            controllers = controllers_from_json(self.request(ControllersRequest(), deadline))
        except InvalidMessageError:
            return False
        self._controllers.set_announced(controllers)
        self._close_connections_except({address for address, _ in controllers})
        return True

    def _close_connections_except(self, addresses: set[str]) -> None:
        for address in [address for address in self._idle if address not in addresses]:
            for client in self._idle.pop(address):
                client.close()


class RemoteState:
    """The replicated state for an observer, which relays every request to a controller."""

    def __init__(self, scheduler: Scheduler, relay: RelayClient) -> None:
        self._scheduler, self._relay = scheduler, relay

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Commit and apply a command, and return its outcome."""
        # A controller has just answered the question for its index, so if it is silent its disks are slow.
        timeout_s = math.inf if isinstance(command, SetEvacuation) else ATTEMPT_TIMEOUT_S
        answer = self._relay.request(SubmitRequest(command), deadline, timeout_s)
        return Ok(Verdict(answer)) if isinstance(answer, str) else Err(NoLeaderError())

    def read(self, deadline: float) -> ReadResult:
        """Return the current state by a linearizable read."""
        answer = self._relay.request(ReadRequest(), deadline)
        return Ok(SharedState.from_json(answer)) if isinstance(answer, dict) else Err(NoLeaderError())

    def read_applied_index(self, at: float, deadline: float, /) -> IndexResult:
        """Return the index that a controller had applied at a time, or later by the time of asking it."""
        age_ms = max(0, int((self._scheduler.now() - at) * MS_PER_S))
        answer = self._relay.request(AppliedIndexRequest(age_ms), deadline)
        return Ok(answer) if isinstance(answer, int) else Err(NoLeaderError())

    def evacuation_fields(self, _zone: str, /) -> dict[str, object]:
        """Return the fields of an observer, which knows nothing of the group."""
        return self.status()

    def status(self) -> dict[str, object]:
        """Return the status of an observer, which has no replica of the state."""
        return {"role": "observer"}
