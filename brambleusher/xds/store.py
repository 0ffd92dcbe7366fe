"""Durable storage for the position of the newest published view: one row with a MAC in SQLite.

The rollback journal is kept and overwritten, and the row has a fixed size, so that once the files exist a
write needs no additional disk space.  A file that can't be read, or whose row has no valid MAC of this
installation, is renamed, and its content counts as lost.
"""

from __future__ import annotations

import contextlib
import logging
import sqlite3
from pathlib import Path

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.errors import ControlError
from brambleusher.xds.versions import MacSigner

log = logging.getLogger(__name__)

_SCHEMA = "CREATE TABLE IF NOT EXISTS place (id INTEGER PRIMARY KEY CHECK (id = 1), row BLOB NOT NULL)"
_ROW = "{:018d}.{:018d}.{:018d}"  # epoch, version and starts, padded to a fixed number of bytes
_SIDE_FILES = ("-journal", "-wal", "-shm")
BUSY_TIMEOUT_S = 0.2  # how long to wait for a lock that another process holds


class StoreError(OSError):
    """A position could not be written; the position stored before is still intact."""


class Store:
    """The open store file; not safe for concurrent use by several threads."""

    def __init__(self, path: str, signer: MacSigner) -> None:
        """Open or create the store file.

        Raises:
            ControlError: The file can't be opened or created.
        """
        self._path, self._signer = path, signer
        self.floor: ViewPosition | None = None  # the position written last; None if the file is new or lost
        self.starts = 0
        self.had_corrupt_file = False  # whether a file existed and could not be read
        try:
            self._db = self._open()
            self._read()
        except (sqlite3.DatabaseError, ValueError) as error:
            if isinstance(error, sqlite3.OperationalError) and not _is_corruption(error):
                raise ControlError(f"store.file: {path}: {error}") from None
            self._move_aside(str(error))
            try:
                self._db = self._open()
            except sqlite3.Error as retry_error:
                raise ControlError(f"store.file: {path}: {retry_error}") from None
            self.had_corrupt_file = True

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(
            self._path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        try:
            db.execute("PRAGMA journal_mode = PERSIST")
            db.execute("PRAGMA synchronous = FULL")
            db.execute(_SCHEMA)
        except sqlite3.Error:
            db.close()
            raise
        return db

    def _read(self) -> None:
        (check,) = self._db.execute("PRAGMA quick_check(1)").fetchone()
        if check != "ok":
            raise ValueError(str(check))
        row = self._db.execute("SELECT row FROM place WHERE id = 1").fetchone()
        if row is None:
            return
        text, _, mac = bytes(row[0]).decode("ascii").rpartition(".")
        if not self._signer.verify(text, mac):
            raise ValueError("the row has no valid MAC")
        epoch, version, starts = (int(field) for field in text.split("."))
        self.starts = starts
        if epoch:
            self.floor = ViewPosition(epoch, version)

    def _move_aside(self, reason: str) -> None:
        with contextlib.suppress(sqlite3.Error, AttributeError):
            self._db.close()
        renamed = f"{self._path}.bad"
        fields = {"file": self._path, "renamed_to": renamed, "reason": reason}
        log.error("store corrupt, file renamed", extra={"fields": fields})
        for suffix in _SIDE_FILES:
            with contextlib.suppress(OSError):
                Path(self._path + suffix).unlink()
        try:
            Path(self._path).replace(renamed)
        except OSError as error:
            raise ControlError(f"store.file: {self._path}: {error.strerror}") from None

    def record_start(self) -> None:
        """Increment and write the number of times that the service was started.

        Raises:
            StoreError: The number could not be written.
        """
        self.starts += 1
        self._write(self.floor or ViewPosition(0, 0))

    def write(self, position: ViewPosition) -> None:
        """Write a position to durable storage, unless a later position is already stored.

        Raises:
            StoreError: The position could not be written.
        """
        if self.floor is None or position > self.floor:
            self._write(position)
            self.floor = position

    def _write(self, position: ViewPosition) -> None:
        text = _ROW.format(position.epoch, position.version, self.starts)
        row = f"{text}.{self._signer.sign(text)}".encode()
        try:
            self._db.execute(
                "INSERT INTO place VALUES (1, ?) ON CONFLICT (id) DO UPDATE SET row = excluded.row", (row,)
            )
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                self._db.rollback()
            raise StoreError(f"{self._path}: {error}") from None

    def close(self) -> None:
        """Close the store file."""
        self._db.close()


def _is_corruption(error: sqlite3.OperationalError) -> bool:
    return any(text in str(error) for text in ("malformed", "corrupt", "not a database"))
