"""Results of an experiment in SQLite: what is there is not run again."""

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
    """A results file that can't be used."""


class CellResult(Settings, frozen=True):
    """What a cell came to."""

    figures: dict[str, float]
    series: dict[str, list[tuple[float, float]]]
    events: list[tuple[float, str]]
    documents: dict[str, Any] = msgspec.field(default_factory=dict)  # JSON values


class StoredCell(Settings, frozen=True):
    """A cell as the results have it."""

    id: str
    world: str
    demand: str
    settings: str
    seed: int
    where: str
    state: str  # waiting, done, failed
    error: str
    seconds: float
    plan: Cell

    @property
    def title(self) -> str:
        """In words."""
        return self.plan.title


class Store:
    """A results file; raises `StoreError` where it is none."""

    def __init__(self, path: Path, new: bool = False) -> None:
        if not new and not path.is_file():
            raise StoreError(f"{path}: No such file")
        self.path = path
        try:
            # What is only looked at gets no tables, whatever it turns out to be.
            where = path if new else f"{path.resolve().as_uri()}?mode=rw"
            self._base = sqlite3.connect(where, uri=not new)
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None
        try:
            self._open(new)
        except sqlite3.Error as error:
            self._base.close()
            raise StoreError(f"{path}: {error}") from None
        except StoreError:
            self._base.close()
            raise

    def _open(self, new: bool) -> None:
        there = {row[0] for row in self._base.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        if new and (not there or "about" in there):
            self._base.executescript(SCHEMA)
        elif not {"about", "cells"} <= there:
            raise StoreError(f"{self.path}: these are no results of an experiment")
        had = self.about("format")
        if had is None and new:
            self._about("format", str(FORMAT))
        elif had != str(FORMAT):
            raise StoreError(f"{self.path}: the results are of format {had}; only {FORMAT} can be read")

    def __enter__(self) -> Self:
        """Itself."""
        return self

    def __exit__(self, *why: object) -> None:
        """Close it."""
        self._base.close()

    def about(self, name: str) -> str | None:
        """Something said of the experiment."""
        row = self._base.execute("SELECT value FROM about WHERE name = ?", (name,)).fetchone()
        return None if row is None else str(row[0])

    def _about(self, name: str, value: str) -> None:
        with self._base:
            self._base.execute("INSERT OR REPLACE INTO about VALUES (?, ?)", (name, value))

    def begin(self, file: ExperimentFile, cells: Iterable[Cell]) -> list[Cell]:
        """Take in an experiment; says which cells are to be run.  Cells it does not have any more go."""
        self._about("name", file.name)
        self._about("note", file.note)
        self._about("experiment", json.dumps(msgspec.to_builtins(file)))
        wanted = {cell.id: cell for cell in cells}
        with self._base:
            there = {row[0]: row[1] for row in self._base.execute("SELECT id, state FROM cells")}
            for name in there.keys() - wanted.keys():
                for table in ("figures", "series", "events", "documents"):
                    self._base.execute(f"DELETE FROM {table} WHERE cell = ?", (name,))
                self._base.execute("DELETE FROM cells WHERE id = ?", (name,))
            for place, cell in enumerate(wanted.values()):
                self._base.execute(
                    'INSERT INTO cells (id, place, world, demand, settings, seed, "where", plan, state)'
                    " VALUES (?, ?, ?, ?, ?, ?, ?, ?, 'waiting')"
                    " ON CONFLICT (id) DO UPDATE SET place = excluded.place",
                    (
                        cell.id, place, cell.world, cell.demand, cell.settings, cell.seed, cell.where,
                        msgspec.json.encode(cell).decode(),
                    ),
                )  # fmt: skip
        return [cell for cell in wanted.values() if there.get(cell.id) != "done"]

    def save(self, cell: Cell, result: CellResult, seconds: float) -> None:
        """A cell is done: all of it, or nothing."""
        with self._base:
            self._clear(cell.id)
            self._base.executemany(
                "INSERT INTO figures VALUES (?, ?, ?)",
                [(cell.id, name, value) for name, value in result.figures.items()],
            )
            self._base.executemany(
                "INSERT INTO series VALUES (?, ?, ?, ?)",
                [(cell.id, name, at_s, value) for name, row in result.series.items() for at_s, value in row],
            )
            self._base.executemany(
                "INSERT INTO events VALUES (?, ?, ?)", [(cell.id, at_s, text) for at_s, text in result.events]
            )
            self._base.executemany(
                "INSERT INTO documents VALUES (?, ?, ?)",
                [(cell.id, name, json.dumps(value)) for name, value in result.documents.items()],
            )
            self._base.execute(
                "UPDATE cells SET state = 'done', error = '', seconds = ? WHERE id = ?", (seconds, cell.id)
            )

    def fail(self, cell: Cell, error: str) -> None:
        """A cell could not be run; the next time it is tried again."""
        with self._base:
            self._clear(cell.id)
            self._base.execute("UPDATE cells SET state = 'failed', error = ? WHERE id = ?", (error, cell.id))

    def _clear(self, name: str) -> None:
        for table in ("figures", "series", "events", "documents"):
            self._base.execute(f"DELETE FROM {table} WHERE cell = ?", (name,))

    def cells(self) -> list[StoredCell]:
        """All cells in the order of the matrix."""
        rows = self._base.execute(
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
        """What a cell came to, by its id."""
        series: dict[str, list[tuple[float, float]]] = {}
        for what, at_s, value in self._base.execute(
            "SELECT name, at_s, value FROM series WHERE cell = ? ORDER BY name, at_s", (name,)
        ):
            series.setdefault(what, []).append((at_s, value))
        return CellResult(
            figures=self.figures(name),
            series=series,
            events=[
                (at_s, text)
                for at_s, text in self._base.execute(
                    "SELECT at_s, text FROM events WHERE cell = ? ORDER BY at_s", (name,)
                )
            ],
            documents={
                what: json.loads(text)
                for what, text in self._base.execute(
                    "SELECT name, value FROM documents WHERE cell = ?", (name,)
                )
            },
        )

    def figures(self, name: str) -> dict[str, float]:
        """A cell's figures, by its id."""
        return dict(self._base.execute("SELECT name, value FROM figures WHERE cell = ?", (name,)).fetchall())
