"""Sends one-way messages to other processes of the control plane."""

from __future__ import annotations

from collections.abc import Collection

from brambleusher.membership.line_connection import LineSender
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.json_fields import JsonObject

SENDERS_MAX = 64  # connections open at once


class PeerSenders:
    """Keeps one connection to each address that messages are sent to."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._senders: dict[str, LineSender] = {}

    def send(self, address: str, message: JsonObject) -> None:
        """Queue a message; a new connection beyond `SENDERS_MAX` replaces the oldest one."""
        sender = self._senders.get(address)
        if sender is None:
            if len(self._senders) >= SENDERS_MAX:
                self._close(next(iter(self._senders)))
            sender = self._senders[address] = LineSender(self._scheduler, parse_address(address))
        sender.send(message)

    def close_except(self, addresses: Collection[str]) -> None:
        """Close the connections to all addresses except the given ones."""
        for address in [address for address in self._senders if address not in addresses]:
            self._close(address)

    def _close(self, address: str) -> None:
        self._senders.pop(address).close()
