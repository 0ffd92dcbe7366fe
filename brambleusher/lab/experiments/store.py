"""Stores the results of an experiment in SQLite, so that finished cells are not run again."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Self

import msgspec

from brambleusher.lab.experiments.plan import Cell, ExperimentFile
from brambleusher.lab.stand_ins.settings import Settings

FORMAT = 1
SCHEMA = """
CREATE TABLE IF NOT EXISTS about (name TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS cells (
    id TEXT PRIMARY KEY, place INTEGER NOT NULL, world TEXT NOT NULL, demand TEXT NOT NULL,
    settings TEXT NOT NULL, seed INTEGER NOT NULL, "where" TEXT NOT NULL, plan TEXT NOT NULL,
    state TEXT NOT NULL, error TEXT NOT NULL DEFAULT '', seconds REAL NOT NULL DEFAULT 0
);
CREATE TABLE IF NOT EXISTS figures (
    cell TEXT NOT NULL, name TEXT NOT NULL, value REAL NOT NULL, PRIMARY KEY (cell, name)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS series (
    cell TEXT NOT NULL, name TEXT NOT NULL, at_s REAL NOT NULL, value REAL NOT NULL,
    PRIMARY KEY (cell, name, at_s)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS events (cell TEXT NOT NULL, at_s REAL NOT NULL, text TEXT NOT NULL);
CREATE INDEX IF NOT EXISTS events_by_cell ON events (cell, at_s);
CREATE TABLE IF NOT EXISTS documents (
    cell TEXT NOT NULL, name TEXT NOT NULL, value TEXT NOT NULL, PRIMARY KEY (cell, name)
);
"""


class StoreError(ValueError):
    """The results file can't be used."""


class CellResult(Settings, frozen=True):
    """The metrics, time series, events and documents that one cell produced."""

    figures: dict[str, float]
    series: dict[str, list[tuple[float, float]]]
    events: list[tuple[float, str]]
    documents: dict[str, Any] = msgspec.field(default_factory=dict)  # JSON values by document name


class StoredCell(Settings, frozen=True):
    """A cell as stored in the results file, with its state."""

    id: str
    world: str
    demand: str
    settings: str
    seed: int
    where: str
    state: str  # one of waiting, done, failed
    error: str
    seconds: float
    plan: Cell

    @property
    def title(self) -> str:
        """Return a readable name of the cell."""
        return self.plan.title


class Store:
    """An open results file; opening a file of another kind raises `StoreError`."""

    def __init__(self, path: Path, new: bool = False) -> None:
        if not new and not path.is_file():
            raise StoreError(f"{path}: No such file")
        self.path = path
        try:
            # Without `new`, no file or table is created: the file may turn out to be another database.
            target = path if new else f"{path.resolve().as_uri()}?mode=rw"
            self._database = sqlite3.connect(target, uri=not new)
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None
        try:
            self._open(new)
        except sqlite3.Error as error:
            self._database.close()
            raise StoreError(f"{path}: {error}") from None
        except StoreError:
            self._database.close()
            raise

    def _open(self, new: bool) -> None:
        existing = {
            row[0] for row in self._database.execute("SELECT name FROM sqlite_master WHERE type = 'table'")
        }
        if new and (not existing or "about" in existing):
            self._database.executescript(SCHEMA)
        elif not {"about", "cells"} <= existing:
            raise StoreError(f"{self.path}: not a results file of an experiment")
        stored_format = self.experiment_property("format")
        if stored_format is None and new:
            self._set_about("format", str(FORMAT))
        elif stored_format != str(FORMAT):
            raise StoreError(
                f"{self.path}: the results are of format {stored_format}; only {FORMAT} can be read"
            )

    def __enter__(self) -> Self:
        """Return the store."""
        return self

    def __exit__(self, *why: object) -> None:
        """Close the results file."""
        self._database.close()

    def experiment_property(self, name: str) -> str | None:
        """Return a property of the experiment, such as its name or note, or None."""
        row = self._database.execute("SELECT value FROM about WHERE name = ?", (name,)).fetchone()
        return None if row is None else str(row[0])

    def _set_about(self, name: str, value: str) -> None:
        with self._database:
            self._database.execute("INSERT OR REPLACE INTO about VALUES (?, ?)", (name, value))

    def register_experiment(self, file: ExperimentFile, cells: Iterable[Cell]) -> list[Cell]:
        """Store an experiment; return the cells still to run.

        Cells that are no longer part of the experiment are deleted with their results.
        """
        self._set_about("name", file.name)
        self._set_about("note", file.note)
        self._set_about("experiment", json.dumps(msgspec.to_builtins(file)))
        cells_by_id = {cell.id: cell for cell in cells}
        with self._database:
            existing = {row[0]: row[1] for row in self._database.execute("SELECT id, state FROM cells")}
            for name in existing.keys() - cells_by_id.keys():
                for table in ("figures", "series", "events", "documents"):
                    self._database.execute(f"DELETE FROM {table} WHERE cell = ?", (name,))
                self._database.execute("DELETE FROM cells WHERE id = ?", (name,))
            for position, cell in enumerate(cells_by_id.values()):
                self._database.execute(
                    'INSERT INTO cells (id, place, world, demand, settings, seed, "where", plan, state)'
                    " VALUES (?, ?, ?, ?, ?, ?, ?, ?, 'waiting')"
                    " ON CONFLICT (id) DO UPDATE SET place = excluded.place",
                    (
                        cell.id, position, cell.world, cell.demand, cell.settings, cell.seed, cell.where,
                        msgspec.json.encode(cell).decode(),
                    ),
                )  # fmt: skip
        return [cell for cell in cells_by_id.values() if existing.get(cell.id) != "done"]

    def save(self, cell: Cell, result: CellResult, seconds: float) -> None:
        """Store the result of a finished cell in one transaction."""
        with self._database:
            self._clear(cell.id)
            self._database.executemany(
                "INSERT INTO figures VALUES (?, ?, ?)",
                [(cell.id, name, value) for name, value in result.figures.items()],
            )
            self._database.executemany(
                "INSERT INTO series VALUES (?, ?, ?, ?)",
                [(cell.id, name, at_s, value) for name, row in result.series.items() for at_s, value in row],
            )
            self._database.executemany(
                "INSERT INTO events VALUES (?, ?, ?)", [(cell.id, at_s, text) for at_s, text in result.events]
            )
            self._database.executemany(
                "INSERT INTO documents VALUES (?, ?, ?)",
                [(cell.id, name, json.dumps(value)) for name, value in result.documents.items()],
            )
            self._database.execute(
                "UPDATE cells SET state = 'done', error = '', seconds = ? WHERE id = ?", (seconds, cell.id)
            )

    def fail(self, cell: Cell, error: str) -> None:
        """Mark a cell as failed; the next run of the experiment tries the cell again."""
        with self._database:
            self._clear(cell.id)
            self._database.execute(
                "UPDATE cells SET state = 'failed', error = ? WHERE id = ?", (error, cell.id)
            )

    def _clear(self, name: str) -> None:
        for table in ("figures", "series", "events", "documents"):
            self._database.execute(f"DELETE FROM {table} WHERE cell = ?", (name,))

    def cells(self) -> list[StoredCell]:
        """Return all cells in the order of the matrix."""
        rows = self._database.execute(
            'SELECT id, world, demand, settings, seed, "where", state, error, seconds, plan FROM cells'
            " ORDER BY place"
        )
        return [
            StoredCell(
                id=row[0], world=row[1], demand=row[2], settings=row[3], seed=row[4], where=row[5],
                state=row[6], error=row[7], seconds=row[8], plan=msgspec.json.decode(row[9], type=Cell),
            )
            for row in rows
        ]  # fmt: skip

    def result(self, name: str) -> CellResult:
        """Return the result of a cell by its id."""
        series: dict[str, list[tuple[float, float]]] = {}
        for item_name, at_s, value in self._database.execute(
            "SELECT name, at_s, value FROM series WHERE cell = ? ORDER BY name, at_s", (name,)
        ):
            series.setdefault(item_name, []).append((at_s, value))
        return CellResult(
            figures=self.metrics(name),
            series=series,
            events=[
                (at_s, text)
                for at_s, text in self._database.execute(
                    "SELECT at_s, text FROM events WHERE cell = ? ORDER BY at_s", (name,)
                )
            ],
            documents={
                item_name: json.loads(text)
                for item_name, text in self._database.execute(
                    "SELECT name, value FROM documents WHERE cell = ?", (name,)
                )
            },
        )

    def metrics(self, name: str) -> dict[str, float]:
        """Return the metrics of a cell by its id."""
        return dict(
            self._database.execute("SELECT name, value FROM figures WHERE cell = ?", (name,)).fetchall()
        )
