"""The file with the addresses of observers, which is replaced atomically."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from brambleusher.controlplane.storage.records import decode_line, encode_line
from brambleusher.controlplane.storage.snapshots import publish_atomically
from brambleusher.runtime.disk import Disk
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import require_list

log = logging.getLogger(__name__)

OBSERVERS_FILE = "observers"


def write_observers_file(disk: Disk, addresses: Iterable[str]) -> None:
    """Replace the stored addresses; the call may be repeated after an `OSError`."""
    publish_atomically(disk, OBSERVERS_FILE, encode_line({"observers": list(addresses)}))


def read_observers_file(disk: Disk) -> tuple[str, ...]:
    """Return the stored addresses; empty if there are none, or if they can't be read."""
    if OBSERVERS_FILE not in disk.names():
        return ()
    try:
        data = decode_line(disk.read(OBSERVERS_FILE).rstrip(b"\n"))
        return tuple(str(address) for address in require_list(data, "observers"))
    except InvalidMessageError as error:
        log.warning("observers unreadable", extra={"fields": {"reason": str(error)}})
        return ()
