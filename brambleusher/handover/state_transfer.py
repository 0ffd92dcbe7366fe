"""Transfer of state from the process that serves to one that starts: its endpoint list, its balancer's state.

The serving process writes one file for each new process, which waits for it for a short time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.handover.shared_folder import JsonObject, SharedFolder, state_file

log = logging.getLogger(__name__)

TRANSFER_TIMEOUT_S = 0.5  # that a new process waits for the state
POLL_INTERVAL_S = 0.01  # between two looks for its file

# The keys on disk.
_ENDPOINT_LIST, _DISCOVERY, _BALANCER = "list", "discovery", "state"


class TransferredStateError(ValueError):
    """Transferred state that can't be used; the message names the key."""


@dataclass(frozen=True, slots=True)
class TransferredState:
    """What a new process starts with.

    Attributes:
        endpoint_list: The endpoint list, as discovery would word it.
        discovery: The address, `host:port`, of the discovery that the list's version belongs to.
        balancer: The balancer's exported state, which its import checks; None where it has none.
    """

    endpoint_list: JsonObject
    discovery: str
    balancer: object = None

    def encode(self) -> JsonObject:
        """Return the form on disk."""
        return {_ENDPOINT_LIST: self.endpoint_list, _DISCOVERY: self.discovery, _BALANCER: self.balancer}

    @classmethod
    def decode(cls, raw: JsonObject) -> TransferredState:
        """Parse the form on disk; the list and the balancer's state are checked by those who use them.

        Raises:
            TransferredStateError: A key is missing or not of its kind.
        """
        endpoint_list = raw.get(_ENDPOINT_LIST)
        if not isinstance(endpoint_list, dict):
            raise TransferredStateError(f"{_ENDPOINT_LIST} is not an object")
        if _DISCOVERY not in raw:
            raise TransferredStateError(f"{_DISCOVERY} is missing")
        return cls(endpoint_list, str(raw[_DISCOVERY]), raw.get(_BALANCER))


def _export_nothing() -> TransferredState | None:
    """Offer no state: the default of a callback."""
    return None


class StateTransfer:
    """Both ends of the transfer; `export` makes what a new process is offered, None for nothing."""

    def __init__(
        self, folder: SharedFolder, export: Callable[[], TransferredState | None] = _export_nothing
    ) -> None:
        self._folder, self._export = folder, export
        self._sent: set[int] = set()  # ids of processes that have been offered the state

    def send(self, pid: int) -> None:
        """Write the state for a new process, once."""
        if pid in self._sent:
            return
        self._sent.add(pid)
        try:
            if (state := self._export()) is not None:
                self._folder.write(state_file(pid), state.encode())
        except Exception as error:
            # Guards against a fault in what is only a help to the new process.
            log.warning("state transfer failed", extra={"fields": {"error": error}}, exc_info=True)

    def receive(self, sleep: Callable[[float], None], now: Callable[[], float]) -> TransferredState | None:
        """Wait for the state that the serving process offers.

        Args:
            sleep: Lets a number of seconds pass.
            now: Tells the time in seconds.

        Returns:
            The state; None where it does not come in time or can't be used, which is logged.
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
