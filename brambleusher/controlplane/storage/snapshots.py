"""Snapshot files, which replace the log up to an index and are created atomically."""

from __future__ import annotations

import logging

from brambleusher.controlplane.storage.records import (
    SnapshotFile,
    decode_line,
    encode_line,
    snapshot_file_from_json,
    snapshot_file_to_json,
)
from brambleusher.runtime.disk import Disk
from brambleusher.wire.errors import InvalidMessageError

log = logging.getLogger(__name__)

SNAPSHOT_PREFIX = "snapshot-"  # file name prefix, followed by the index of the last entry in the snapshot
UNFINISHED_PREFIX = "unfinished-"  # file name prefix of a file that is still being written


def publish_atomically(disk: Disk, name: str, data: bytes) -> None:
    """Create a file atomically: write it under another name, sync it, rename it and sync the folder."""
    unfinished = UNFINISHED_PREFIX + name
    if unfinished in disk.names():
        disk.remove(unfinished)
    disk.append(unfinished, data)
    disk.sync(unfinished)
    disk.rename(unfinished, name)
    disk.sync_folder()


def remove_unfinished(disk: Disk) -> None:
    """Remove files whose writing was interrupted."""
    for name in disk.names():
        if name.startswith(UNFINISHED_PREFIX):
            disk.remove(name)


def write_snapshot_file(disk: Disk, file: SnapshotFile) -> str:
    """Write a snapshot and return the name of its file."""
    name = f"{SNAPSHOT_PREFIX}{file.snapshot.index:016d}"
    publish_atomically(disk, name, encode_line(snapshot_file_to_json(file)))
    return name


def read_newest_snapshot(disk: Disk, names: list[str]) -> SnapshotFile | None:
    """Return the newest readable snapshot, or None if there is none."""
    snapshots = [name for name in names if name.startswith(SNAPSHOT_PREFIX)]
    for name in sorted(snapshots, reverse=True):
        try:
            return snapshot_file_from_json(decode_line(disk.read(name).rstrip(b"\n")))
        except InvalidMessageError as error:
            fields = {"name": name, "reason": str(error)}
            log.warning("snapshot unreadable", extra={"fields": fields})
    return None
