"""The folder that all processes of one sidecar share: its files' names, and how they are read and written.

Processes of two versions of the program read these files: names and forms are fixed by `FORMAT_VERSION`.
A file that is torn, foreign, of another version or missing reads as None, with a warning.
"""

from __future__ import annotations

import fcntl
import logging
import os
import re
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path

import orjson

log = logging.getLogger(__name__)

JsonObject = Mapping[str, object]

FORMAT_VERSION = 1
VERSION_KEY = "v"
LOCK_FILE = "lock"
SHARED_SETTINGS_FILE = "shared.json"
MAX_FILE_BYTES = 4 * 1024 * 1024  # of a file that is read
FILE_MODE, FOLDER_MODE = 0o600, 0o700


def state_file(pid: int) -> str:
    """Name the file of the state that is transferred to a new process."""
    return f"learnt-{pid}.json"


def folder_path(temporary_dir: str, sidecar_name: str) -> Path:
    """Return the path of the folder that all processes of one sidecar share."""
    return Path(temporary_dir) / ("brambleusher-" + re.sub(r"[^A-Za-z0-9_.]", "_", sidecar_name))


@contextmanager
def open_descriptor(path: Path, flags: int) -> Iterator[int]:
    """Hold a descriptor of a file open.

    Raises:
        OSError: The file can't be opened.
    """
    descriptor = os.open(path, flags | os.O_CLOEXEC, FILE_MODE)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


class SharedFolder:
    """One process's access to the shared folder."""

    def __init__(self, path: Path, pid: int | None = None) -> None:
        self.path = path
        self.pid = os.getpid() if pid is None else pid

    def create(self) -> None:
        """Make the folder unless it is there.

        Raises:
            OSError: It can't be made.
        """
        self.path.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)

    @contextmanager
    def exclusive_lock(self) -> Iterator[None]:
        """Hold the folder's lock.

        Guards against two processes that both read a file, and each overwrite what the other has written.
        """
        with open_descriptor(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT) as descriptor:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield

    def write(self, name: str, values: JsonObject) -> None:
        """Replace a file as a whole, so that no reader sees half of it.

        Raises:
            OSError: The file can't be written.
        """
        path = self.path / name
        temporary = path.with_name(f"{name}.{self.pid}")
        temporary.write_bytes(orjson.dumps({VERSION_KEY: FORMAT_VERSION, **values}))
        temporary.replace(path)

    def read(self, name: str) -> JsonObject | None:
        """Return a file's JSON object; None where it is missing or can't be used, which is logged."""
        try:
            with (self.path / name).open("rb") as file:
                raw = orjson.loads(file.read(MAX_FILE_BYTES + 1))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log.warning("shared file unreadable", extra={"fields": {"file": name, "error": error}})
            return None
        if not isinstance(raw, dict) or raw.get(VERSION_KEY) != FORMAT_VERSION:
            log.warning("shared file version unsupported", extra={"fields": {"file": name}})
            return None
        return raw
