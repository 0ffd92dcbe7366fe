"""Reserves the addresses of a process before it opens anything else, and waits for those that are in use.

An address may still be used by the process's predecessor, or by an outgoing connection of another program. A
process that ended because of that would come back only after the platform's delay, and might end again.
"""

from __future__ import annotations

import errno
import logging
import math
import os
from collections.abc import Sequence
from typing import Protocol

from brambleusher.runtime.signal_holding import check_shutdown_request
from brambleusher.runtime.system import Address

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.05
WARNING_INTERVAL_S = 5.0


class ReservingSystem(Protocol):
    """The part of a machine that reservations need."""

    def reserve(self, address: Address) -> None:
        """Bind an address for a later call of `listen`; raise `OSError` if it can't be bound."""

    def monotonic(self) -> float:
        """Return the seconds of a monotonic clock."""

    def sleep(self, seconds: float) -> None:
        """Block the whole process."""


def reserve_addresses(
    system: ReservingSystem, addresses: Sequence[Address], wait_max_s: float = math.inf
) -> None:
    """Reserve addresses one after the other, each as soon as it is free.

    Processes that reserve the same addresses in the same order can't wait for each other.

    Args:
        system: The machine.
        addresses: The addresses, in an order that is the same at each start.
        wait_max_s: The longest wait for one address in seconds.

    Raises:
        OSError: An address can't be bound, or is still in use after `wait_max_s`.
        ShutdownRequestedError: The process is told to shut down while it waits.
    """
    for address in addresses:
        _reserve(system, address, wait_max_s)


def _reserve(system: ReservingSystem, address: Address, wait_max_s: float) -> None:
    started_at = system.monotonic()
    warn_at = started_at
    while not _try_to_reserve(system, address):
        check_shutdown_request()
        now = system.monotonic()
        if now - started_at > wait_max_s:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        if now >= warn_at:
            warn_at = now + WARNING_INTERVAL_S
            log.warning("address in use", extra={"fields": _fields(address, now - started_at)})
        system.sleep(RETRY_INTERVAL_S)
    if warn_at > started_at:
        log.info("address reserved", extra={"fields": _fields(address, system.monotonic() - started_at)})


def _try_to_reserve(system: ReservingSystem, address: Address) -> bool:
    """Reserve an address; return false if it is in use."""
    try:
        system.reserve(address)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        return False
    return True


def _fields(address: Address, waited_s: float) -> dict[str, object]:
    host, port = address
    return {"address": f"{host}:{port}", "waited_s": round(waited_s, 2)}
