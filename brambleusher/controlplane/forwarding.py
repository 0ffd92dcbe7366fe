"""Forwarding of client requests from a follower to the leader, and the leader's replies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.controlplane.configuration.commands import Command, command_from_json
from brambleusher.controlplane.pending_proposals import PENDING_MAX, PendingResult
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.json_fields import JsonObject, require_int

# Values of the "kind" field of messages on the wire.
REQUEST = "forward"
REPLY = "forwarded"
UNNUMBERED = -1  # request number of a message that has none

# How long to wait for the leader's reply before the current leader is determined again. A request to the same
# leader is then sent again, as messages may be lost.
RESEND_INTERVAL_S = 0.45
# How long a leader serves a forwarded command; its caller waits no longer than a second.
COMMAND_TIMEOUT_S = 0.9
RETRY_BACKOFF_S = 0.03

SendMessage = Callable[[str, dict[str, object]], None]


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A follower's request that the leader commit a command, or read the state if `command` is None."""

    number: int
    command: Command | None

    def as_json(self) -> dict[str, object]:
        """Return the request in its wire format."""
        if self.command is None:
            return {"kind": REQUEST, "number": self.number, "read": True}
        return {"kind": REQUEST, "number": self.number, "command": self.command.as_json()}

    @classmethod
    def from_json(cls, data: JsonObject) -> ForwardedRequest:
        """Parse a request from its wire format.

        Raises:
            InvalidMessageError: The number or the command is invalid.
        """
        number = require_int({"number": UNNUMBERED, **data}, "number")
        return cls(number, command_from_json(data["command"]) if "command" in data else None)


def reply_to_json(number: int, answer: object) -> dict[str, object]:
    """Return a leader's reply in its wire format; an `answer` of None means the request was not served."""
    return {"kind": REPLY, "number": number, "answer": answer}


class LeaderForwarding:
    """Forwards requests to the leader, and matches the leader's replies to the requests."""

    def __init__(
        self,
        scheduler: Scheduler,
        send: SendMessage,
        leader_address: Callable[[], str | None],
        first_number: int,
    ) -> None:
        """Create the forwarder.

        Args:
            scheduler: The scheduler of the serving thread.
            send: Sends a message to an address.
            leader_address: Returns the leader's address, or None if no other replica is known as the leader.
            first_number: The number before that of the first request; random, so that replies to an earlier
                process at this address match no request.
        """
        self._scheduler, self._send, self._leader_address = scheduler, send, leader_address
        self._number = first_number
        # Pending requests by number, each with the address that it was sent to.
        self._pending: dict[int, tuple[str, PendingResult[object]]] = {}

    def forward(self, command: Command | None, deadline: float) -> object:
        """Forward a command, or a read if `command` is None.

        Returns:
            The leader's answer, or None if no leader is known, too many requests are pending, the leader has
            changed, or it did not answer in time or could not serve the request.
        """
        leader_address = self._leader_address()
        if leader_address is None or len(self._pending) >= PENDING_MAX:
            self._scheduler.sleep(RETRY_BACKOFF_S)
            return None
        self._number += 1
        number = self._number
        pending = self.expect_reply(number, leader_address)
        try:
            self._request(leader_address, ForwardedRequest(number, command), pending, deadline)
        finally:
            del self._pending[number]
        if pending.result is None:
            self._scheduler.sleep(RETRY_BACKOFF_S)
        return pending.result

    def _request(
        self, leader_address: str, request: ForwardedRequest, pending: PendingResult[object], deadline: float
    ) -> None:
        """Send a request until it has a reply, the leader has changed or the deadline has passed."""
        while self._scheduler.now() < deadline and self._leader_address() == leader_address:
            self._send(leader_address, request.as_json())
            pending.wait(self._scheduler, min(deadline, self._scheduler.now() + RESEND_INTERVAL_S))
            if pending.is_resolved:
                return

    def expect_reply(self, number: int, address: str) -> PendingResult[object]:
        """Register a request to a replica, so that its reply is matched."""
        pending: PendingResult[object] = PendingResult()
        self._pending[number] = (address, pending)
        return pending

    def handle_reply(self, data: JsonObject, sender: str) -> None:
        """Resolve the request with the reply's number, if the reply comes from the replica it was sent to."""
        number = data.get("number")
        address, pending = self._pending.get(number, ("", None)) if isinstance(number, int) else ("", None)
        if pending is not None and address == sender:
            pending.resolve(data.get("answer"))
