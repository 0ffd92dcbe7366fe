"""The folder shared by all processes of one sidecar: file names, and how files are read and written.

Processes of two versions of the program read these files; `FORMAT_VERSION` fixes their names and formats.
A file that is truncated, foreign, of another version or missing is read as None; all but missing files are
logged as warnings.
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
MAX_FILE_BYTES = 4 * 1024 * 1024  # larger files are rejected
FILE_MODE, FOLDER_MODE = 0o600, 0o700


def state_file(pid: int) -> str:
    """Return the name of the file with the state transferred to a new process."""
    return f"learnt-{pid}.json"


def folder_path(temporary_dir: str, sidecar_name: str) -> Path:
    """Return the path of the folder that all processes of one sidecar share."""
    return Path(temporary_dir) / ("brambleusher-" + re.sub(r"[^A-Za-z0-9_.]", "_", sidecar_name))


@contextmanager
def open_descriptor(path: Path, flags: int) -> Iterator[int]:
    """Open a file and close its descriptor at the end of the context.

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
        """Create the folder if it does not exist.

        Raises:
            OSError: The folder can't be created.
        """
        self.path.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)

    @contextmanager
    def exclusive_lock(self) -> Iterator[None]:
        """Hold the folder's lock during the context.

        Prevents lost updates when two processes read, change and write the same file.
        """
        with open_descriptor(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT) as descriptor:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield

    def write(self, name: str, values: JsonObject) -> None:
        """Replace a file atomically, so that readers never see a partially written file.

        Raises:
            OSError: The file can't be written.
        """
        path = self.path / name
        temporary = path.with_name(f"{name}.{self.pid}")
        temporary.write_bytes(orjson.dumps({VERSION_KEY: FORMAT_VERSION, **values}))
        temporary.replace(path)

    def read(self, name: str) -> JsonObject | None:
        """Return a file's JSON object; None if it is missing, or if it is unusable, which is logged."""
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
