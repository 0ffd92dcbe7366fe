"""Relays requests from an observer, which has no disk and no vote, to controllers.

An observer tries one controller after the other.  A request may arrive twice: commands are idempotent.
"""

from __future__ import annotations

from result import Err, Ok

from brambleusher.controlplane.configuration.commands import Command, Verdict
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

ATTEMPT_TIMEOUT_S = 0.55  # for a controller's reply, before another controller is tried
RETRY_BACKOFF_S = 0.03
IDLE_CONNECTIONS_MAX = 16  # kept to each controller
CONNECTION_SLOT = 0  # an observer talks to one controller at a time


class RelayClient:
    """Calls controllers, near ones first; keeps connections between requests."""

    def __init__(self, scheduler: Scheduler, controllers: Controllers) -> None:
        self._scheduler, self._controllers = scheduler, controllers
        self._idle: dict[str, list[LineClient]] = {}

    def request(self, request: RelayRequest, deadline: float) -> object:
        """Return what a controller answered; None where none did before the deadline."""
        while (now := self._scheduler.now()) < deadline:
            address = self._controllers.acquire(CONNECTION_SLOT, now)
            answer = self._attempt(address, request, min(ATTEMPT_TIMEOUT_S, deadline - now))
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
            reply = RelayReply.from_json(client.call(request.as_json(), timeout_s))
        except (OSError, TaskTimeoutError, InvalidMessageError):
            client.close()
            return None
        if reply.is_from_observer:
            self._controllers.mark_observer(address, reply.controllers)
        if len(idle) < IDLE_CONNECTIONS_MAX:
            idle.append(client)
        else:
            client.close()
        return reply.answer

    def resolve(self, zone: str, region: str, deadline: float) -> list[str] | None:
        """Return addresses of gateways near a client; None where no controller answered."""
        answer = self.request(ResolveRequest(zone, region), deadline)
        return [str(address) for address in answer] if isinstance(answer, list) else None

    def refresh_controllers(self, deadline: float) -> bool:
        """Ask which controllers there are; whether any answered."""
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
    """The replicated state as an observer has it: every request goes to a controller."""

    def __init__(self, relay: RelayClient) -> None:
        self._relay = relay

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Have a command committed and applied."""
        answer = self._relay.request(SubmitRequest(command), deadline)
        return Ok(Verdict(answer)) if isinstance(answer, str) else Err(NoLeaderError())

    def read(self, deadline: float) -> ReadResult:
        """Return the state as a majority has it at this moment."""
        answer = self._relay.request(ReadRequest(), deadline)
        return Ok(SharedState.from_json(answer)) if isinstance(answer, dict) else Err(NoLeaderError())

    def read_applied_index(self, deadline: float, /) -> IndexResult:
        """Return the index that a controller had applied after this request was made."""
        answer = self._relay.request(AppliedIndexRequest(), deadline)
        return Ok(answer) if isinstance(answer, int) else Err(NoLeaderError())

    def status(self) -> dict[str, object]:
        """Return the status of an observer, which holds no state itself."""
        return {"role": "observer"}
