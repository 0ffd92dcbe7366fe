"""Durable storage for the place of the newest view that was handed out: one sealed row in SQLite.

The journal is kept and written over, and the row has a fixed size, so that once the files exist a
write needs no further space.  A file that can't be read, or whose row is not sealed by this
installation, is put aside, and what was in it counts as lost.
"""

from __future__ import annotations

import contextlib
import logging
import os
import sqlite3

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.faults import ControlError
from brambleusher.xds.versions import Seal

log = logging.getLogger(__name__)

_SCHEMA = "CREATE TABLE IF NOT EXISTS place (id INTEGER PRIMARY KEY CHECK (id = 1), row BLOB NOT NULL)"
_ROW = "{:018d}.{:018d}.{:018d}"  # epoch, version, starts: always as many bytes
BUSY_MS = 200


class StoreError(OSError):
    """The place could not be written; what is on storage is an earlier one, whole."""


class Store:
    """The file; one thread at a time uses it."""

    def __init__(self, path: str, seal: Seal) -> None:
        """Open or make the file; raises `ControlError` where that can't be done at all."""
        self._path, self._seal = path, seal
        self.floor: ViewPosition | None = None  # what was last written; None: nothing, or it was lost
        self.starts = 0
        self.lost = False  # there was a file, and it could not be read
        try:
            self._db = self._open()
            self._read()
        except (sqlite3.DatabaseError, ValueError) as error:
            if isinstance(error, sqlite3.OperationalError) and not _is_damage(error):
                raise ControlError(f"store.file: {path}: {error}") from None
            self._put_aside(str(error))
            try:
                self._db = self._open()
            except sqlite3.Error as again:
                raise ControlError(f"store.file: {path}: {again}") from None
            self.lost = True

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(
            self._path, timeout=BUSY_MS / 1000, isolation_level=None, check_same_thread=False
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
        (fine,) = self._db.execute("PRAGMA quick_check(1)").fetchone()
        if fine != "ok":
            raise ValueError(str(fine))
        found = self._db.execute("SELECT row FROM place WHERE id = 1").fetchone()
        if found is None:
            return
        text, _, mark = bytes(found[0]).decode("ascii").rpartition(".")
        if not self._seal.good(text, mark):
            raise ValueError("the row has no good seal")
        epoch, version, starts = (int(part) for part in text.split("."))
        self.starts = starts
        if epoch:
            self.floor = ViewPosition(epoch, version)

    def _put_aside(self, reason: str) -> None:
        with contextlib.suppress(sqlite3.Error, AttributeError):
            self._db.close()
        aside = f"{self._path}.bad"
        log.error("store put aside", extra={"fields": {"file": self._path, "as": aside, "reason": reason}})
        for end in ("-journal", "-wal", "-shm"):
            with contextlib.suppress(OSError):
                os.unlink(self._path + end)
        try:
            os.replace(self._path, aside)
        except OSError as error:
            raise ControlError(f"store.file: {self._path}: {error.strerror}") from None

    def begin(self) -> None:
        """Count a start; raises `StoreError`."""
        self.starts += 1
        self._write(self.floor or ViewPosition(0, 0))

    def write(self, place: ViewPosition) -> None:
        """Have a place on durable storage when this returns, unless a later one is; raises `StoreError`."""
        if self.floor is None or place > self.floor:
            self._write(place)
            self.floor = place

    def _write(self, place: ViewPosition) -> None:
        text = _ROW.format(place.epoch, place.version, self.starts)
        row = f"{text}.{self._seal.mark(text)}".encode()
        try:
            self._db.execute(
                "INSERT INTO place VALUES (1, ?) ON CONFLICT (id) DO UPDATE SET row = excluded.row", (row,)
            )
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                self._db.rollback()
            raise StoreError(f"{self._path}: {error}") from None

    def close(self) -> None:
        """Let go of the file."""
        self._db.close()


def _is_damage(error: sqlite3.OperationalError) -> bool:
    return any(word in str(error) for word in ("malformed", "corrupt", "not a database"))
