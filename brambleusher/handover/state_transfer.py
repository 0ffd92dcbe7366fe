"""Transfer of the endpoint list and the balancer's state from the serving process to a starting one.

The serving process writes one file for each new process; the new process waits for its file for a short time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.handover.shared_folder import JsonObject, SharedFolder, state_file

log = logging.getLogger(__name__)

TRANSFER_TIMEOUT_S = 0.5  # how long a new process waits for the state
POLL_INTERVAL_S = 0.01  # interval between checks for the state file

# Keys of the JSON object in the file of the transferred state.
_ENDPOINT_LIST, _DISCOVERY, _BALANCER = "list", "discovery", "state"


class TransferredStateError(ValueError):
    """Invalid transferred state; the message names the key."""


@dataclass(frozen=True, slots=True)
class TransferredState:
    """The state that a new process starts with.

    Attributes:
        endpoint_list: The endpoint list in the format of the discovery service.
        discovery: The address (`host:port`) of the discovery service that numbered the list's version.
        balancer: The balancer's exported state, validated on import; None if there is none.
    """

    endpoint_list: JsonObject
    discovery: str
    balancer: object = None

    def encode(self) -> JsonObject:
        """Return the state in its file format."""
        return {_ENDPOINT_LIST: self.endpoint_list, _DISCOVERY: self.discovery, _BALANCER: self.balancer}

    @classmethod
    def decode(cls, raw: JsonObject) -> TransferredState:
        """Parse the file format; the users of the list and of the balancer's state validate them.

        Raises:
            TransferredStateError: A key is missing or its value has the wrong type.
        """
        endpoint_list = raw.get(_ENDPOINT_LIST)
        if not isinstance(endpoint_list, dict):
            raise TransferredStateError(f"{_ENDPOINT_LIST} is not an object")
        if _DISCOVERY not in raw:
            raise TransferredStateError(f"{_DISCOVERY} is missing")
        return cls(endpoint_list, str(raw[_DISCOVERY]), raw.get(_BALANCER))


def _export_nothing() -> TransferredState | None:
    """Return no state; the default for `export`."""
    return None


class StateTransfer:
    """Sends and receives transferred state; `export` returns the state to send, None for none."""

    def __init__(
        self, folder: SharedFolder, export: Callable[[], TransferredState | None] = _export_nothing
    ) -> None:
        self._folder, self._export = folder, export
        self._sent: set[int] = set()  # ids of the processes that the state was sent to

    def send(self, pid: int) -> None:
        """Write the state for a new process, at most once per process."""
        if pid in self._sent:
            return
        self._sent.add(pid)
        try:
            if (state := self._export()) is not None:
                self._folder.write(state_file(pid), state.encode())
        except Exception as error:
            # A failure is only logged: the transferred state is optional for the new process.
            log.warning("state transfer failed", extra={"fields": {"error": error}}, exc_info=True)

    def receive(self, sleep: Callable[[float], None], now: Callable[[], float]) -> TransferredState | None:
        """Wait for the state that the serving process sends.

        Args:
            sleep: Sleeps for a number of seconds.
            now: Returns the current time in seconds.

        Returns:
            The state; None if it does not arrive in time or is invalid, both of which are logged.
        """
        name = state_file(self._folder.pid)
        path, deadline = self._folder.path / name, now() + TRANSFER_TIMEOUT_S
        while not path.exists():
            if now() >= deadline:
                log.warning("state transfer timed out", extra={"fields": {"timeout_s": TRANSFER_TIMEOUT_S}})
                return None
            sleep(POLL_INTERVAL_S)
        try:
            raw = self._folder.read(name)
            return None if raw is None else TransferredState.decode(raw)
        except TransferredStateError as error:
            log.warning("transferred state rejected", extra={"fields": {"error": error}})
            return None
        finally:
            path.unlink(missing_ok=True)
