"""The observers that a controller has heard of, which it stores on disk; no I/O.

An observer has no disk, and its settings may name only other observers as seeds. Where such observers are
restarted at once, none of them knows a controller, so the controllers have to contact them.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass

from brambleusher.wire.digits import parse_digits
from brambleusher.wire.errors import InvalidMessageError

OBSERVERS_MAX = 32  # beside the controllers in the connections of `PeerSenders`
FORGOTTEN_AFTER_S = 60.0  # without an introduction for this time an observer may be replaced
ANNOUNCEMENT_INTERVAL_S = 3.0  # time between two announcements to an observer
ANNOUNCEMENTS_MAX = 8  # at once
NEVER_S = float("-inf")
PORT_MAX = 65535


@dataclass(slots=True)
class _Times:
    introduced_s: float = NEVER_S
    announced_s: float = NEVER_S


class KnownObservers:
    """Addresses of observers, with the times of their last introduction and of the last announcement."""

    def __init__(self, stored: Iterable[str]) -> None:
        """Start with the addresses that an earlier run of the controller stored."""
        self._times = {address: _Times() for address in list(stored)[:OBSERVERS_MAX]}

    def record_introduction(self, address: str, now: float) -> bool:
        """Record that an observer introduced itself; return whether the addresses have changed.

        Raises:
            InvalidMessageError: The address is not an IPv4 address with a port.
        """
        _check_address(address)
        is_new = address not in self._times
        if is_new and len(self._times) >= OBSERVERS_MAX and not self._drop_longest_silent(now):
            return False
        self._times.setdefault(address, _Times()).introduced_s = now
        return is_new

    def _drop_longest_silent(self, now: float) -> bool:
        address = min(self._times, key=lambda address: self._times[address].introduced_s)
        if now - self._times[address].introduced_s < FORGOTTEN_AFTER_S:
            return False
        del self._times[address]
        return True

    def addresses(self) -> tuple[str, ...]:
        """Return all addresses, sorted."""
        return tuple(sorted(self._times))

    def take_due(self, now: float) -> list[str]:
        """Return the observers that an announcement is due for, and record it as sent.

        At most `ANNOUNCEMENTS_MAX` are returned, those that have waited longest.
        """
        longest = sorted(self._times, key=lambda address: self._times[address].announced_s)
        due = [
            address
            for address in longest[:ANNOUNCEMENTS_MAX]
            if now - self._times[address].announced_s >= ANNOUNCEMENT_INTERVAL_S
        ]
        for address in due:
            self._times[address].announced_s = now
        return due


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    number = parse_digits(port)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise InvalidMessageError(f"an observer's address is not host:port: {address!r:.80}") from error
    if number is None or not 0 < number <= PORT_MAX:
        raise InvalidMessageError(f"an observer's address has no valid port: {address!r:.80}")
