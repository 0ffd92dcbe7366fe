"""Requests that a follower forwards to the leader, and the leader's replies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.controlplane.configuration.commands import Command, command_from_json
from brambleusher.controlplane.pending_proposals import PENDING_MAX, PendingResult
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.json_fields import JsonObject, require_int

REQUEST = "forward"  # kinds of messages, on the wire
REPLY = "forwarded"
UNNUMBERED = -1

REPLY_TIMEOUT_S = 0.45  # for the leader to reply; then the leader is looked up anew
RETRY_BACKOFF_S = 0.03

SendMessage = Callable[[str, dict[str, object]], None]


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A follower asks the leader to commit a command, or without one to read the state."""

    number: int
    command: Command | None

    def as_json(self) -> dict[str, object]:
        """Return the form on the wire."""
        if self.command is None:
            return {"kind": REQUEST, "number": self.number, "read": True}
        return {"kind": REQUEST, "number": self.number, "command": self.command.as_json()}

    @classmethod
    def from_json(cls, data: JsonObject) -> ForwardedRequest:
        """Return a request from its form on the wire.

        Raises:
            InvalidMessageError: The number or the command can't be read.
        """
        number = require_int({"number": UNNUMBERED, **data}, "number")
        return cls(number, command_from_json(data["command"]) if "command" in data else None)


def reply_to_json(number: int, answer: object) -> dict[str, object]:
    """Return the form on the wire of a leader's reply; None for a request that it could not serve."""
    return {"kind": REPLY, "number": number, "answer": answer}


class LeaderForwarding:
    """Forwards requests of this replica's callers to the leader, and matches its replies to them."""

    def __init__(self, scheduler: Scheduler, send: SendMessage, first_number: int) -> None:
        """Start with a random `first_number`, so that replies to an earlier process do not match."""
        self._scheduler, self._send = scheduler, send
        self._number = first_number
        self._pending: dict[int, tuple[str, PendingResult[object]]] = {}  # by number, with who was asked

    def forward(self, leader_address: str | None, command: Command | None, deadline: float) -> object:
        """Forward a command, or a read without one; return the leader's answer, None where there is none."""
        if leader_address is None or len(self._pending) >= PENDING_MAX:
            self._scheduler.sleep(RETRY_BACKOFF_S)
            return None
        self._number += 1
        number = self._number
        pending = self.expect_reply(number, leader_address)
        self._send(leader_address, ForwardedRequest(number, command).as_json())
        try:
            answer = pending.wait(self._scheduler, min(deadline, self._scheduler.now() + REPLY_TIMEOUT_S))
        finally:
            del self._pending[number]
        if answer is None:
            self._scheduler.sleep(RETRY_BACKOFF_S)
        return answer

    def expect_reply(self, number: int, address: str) -> PendingResult[object]:
        """Register a request that was sent to a replica."""
        pending: PendingResult[object] = PendingResult()
        self._pending[number] = (address, pending)
        return pending

    def handle_reply(self, data: JsonObject, sender: str) -> None:
        """Resolve the request that a reply is to, if it comes from the replica that was asked."""
        number = data.get("number")
        address, pending = self._pending.get(number, ("", None)) if isinstance(number, int) else ("", None)
        if pending is not None and address == sender:
            pending.resolve(data.get("answer"))
