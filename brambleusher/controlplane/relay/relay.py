"""Calls between an observer, which has no disk and no vote, and the controllers that it passes calls on to.

An observer asks one controller after the other.  What it passes on may arrive twice: commands are idempotent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from result import Err, Ok

from brambleusher.controlplane.configuration.commands import Command, Verdict, command_from_json
from brambleusher.controlplane.configuration.replicated_state import (
    IndexResult,
    NoLeaderError,
    ReadResult,
    ReplicatedState,
    SubmitResult,
)
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.membership.controllers import Controllers, controllers_from_json
from brambleusher.membership.line_connection import LineClient
from brambleusher.runtime.scheduler import Scheduler, Timeout
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.errors import InvalidMessageError

RELAYED_S = 0.45  # for a controller to answer, one further hop to the leader included
TRY_S = 0.55  # for the answer to reach the observer, before it asks another controller
LOOK_AGAIN_S = 0.03
IDLE_CLIENTS_MAX = 16
RELAY = "relay"  # an observer asks a controller
CONTROLLERS_ANNOUNCEMENT = "controllers"  # a controller tells an observer which controllers there are

Find = Callable[[str, str], list[str]]
Named = list[tuple[str, str, str]]  # address, zone and region of controllers


class RelayServer:
    """Answers observers on a controller."""

    def __init__(
        self,
        scheduler: Scheduler,
        state: ReplicatedState,
        find: Find,
        controllers: Callable[[], Named],
    ) -> None:
        self._scheduler, self._state = scheduler, state
        self._find, self._controllers = find, controllers

    def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """The answer to one call; raises `InvalidMessageError`."""
        what = message.get("what")
        deadline = self._scheduler.now() + RELAYED_S
        if what == "submit":
            return {"answer": self._submit(message.get("command"), deadline)}
        if what == "read":
            state = self._state.read(deadline)
            return {"answer": None if isinstance(state, Err) else state.ok_value.as_read_json()}
        if what == "index":
            index = self._state.read_applied_index(deadline)
            return {"answer": None if isinstance(index, Err) else index.ok_value}
        if what == "resolve":
            return {"answer": self._find(str(message.get("zone", "")), str(message.get("region", "")))}
        if what == "controllers":
            return {"answer": self._controllers()}
        raise InvalidMessageError(f"a relayed call asks for {what!r}")

    def _submit(self, data: Any, deadline: float) -> str | None:
        try:
            command = command_from_json(data)
        except (KeyError, TypeError) as error:
            raise InvalidMessageError(f"a relayed command can't be read: {error!r}") from error
        verdict = self._state.submit(command, deadline)
        return None if isinstance(verdict, Err) else verdict.ok_value.value


class RelayClient:
    """Calls to controllers, near ones first; keeps connections between calls."""

    def __init__(self, scheduler: Scheduler, controllers: Controllers) -> None:
        self._scheduler, self._controllers = scheduler, controllers
        self._idle: dict[str, list[LineClient]] = {}

    def call(self, what: str, deadline: float, **given: Any) -> Any:
        """What a controller answered; None where none did in time."""
        while (now := self._scheduler.now()) < deadline:
            address = self._controllers.acquire(0, now)
            answer = self._ask(address, {"kind": RELAY, "what": what, **given}, min(TRY_S, deadline - now))
            if answer is not None:
                self._controllers.record_success(address)
                return answer
            self._controllers.record_failure(address, self._scheduler.now())
            self._scheduler.sleep(LOOK_AGAIN_S)
        return None

    def _ask(self, address: str, message: dict[str, Any], timeout_s: float) -> Any:
        kept = self._idle.setdefault(address, [])
        client = kept.pop() if kept else LineClient(self._scheduler, parse_address(address))
        try:
            reply = client.call(message, timeout_s)
            if reply.get("observer"):
                self._controllers.mark_observer(address, controllers_from_json(reply.get("controllers")))
        except (OSError, Timeout, InvalidMessageError):
            client.close()
            return None
        if len(kept) < IDLE_CLIENTS_MAX:
            kept.append(client)
        else:
            client.close()
        return reply.get("answer")

    def refresh_controllers(self, deadline: float) -> bool:
        """Ask for the controllers that there are; whether anybody answered."""
        try:
            named = controllers_from_json(self.call("controllers", deadline))
        except InvalidMessageError:
            return False
        self._controllers.set_announced(named)
        known = {address for address, _ in named}
        for address in [address for address in self._idle if address not in known]:
            for client in self._idle.pop(address):
                client.close()
        return True


class RemoteState:
    """The replicated state as an observer has it: every call goes to a controller."""

    def __init__(self, relay: RelayClient) -> None:
        self._relay = relay

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Have a command applied."""
        answer = self._relay.call("submit", deadline, command=command.as_json())
        return Ok(Verdict(answer)) if isinstance(answer, str) else Err(NoLeaderError())

    def read(self, deadline: float) -> ReadResult:
        """The state as a majority has it at this moment."""
        answer = self._relay.call("read", deadline)
        return Ok(SharedState.from_json(answer)) if isinstance(answer, dict) else Err(NoLeaderError())

    def read_applied_index(self, deadline: float) -> IndexResult:
        """The index that a controller had applied after this call was made."""
        answer = self._relay.call("index", deadline)
        return Ok(answer) if isinstance(answer, int) else Err(NoLeaderError())

    def status(self) -> dict[str, Any]:
        """An observer holds nothing itself."""
        return {"role": "observer"}
