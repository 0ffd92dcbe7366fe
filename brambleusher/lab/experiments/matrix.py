"""Runs what is left of an experiment: in virtual time on all cores, on sockets one after the other."""

from __future__ import annotations

import multiprocessing
import os
import signal
import sys
from collections.abc import Callable
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from pathlib import Path

from brambleusher.lab.experiments.plan import Cell, ExperimentFile
from brambleusher.lab.experiments.run import run
from brambleusher.lab.experiments.store import CellResult, Store
from brambleusher.lab.processes.parent import signal_on_parent_end
from brambleusher.runtime.operating_system import RealSystem

END_SECONDS = 10.0
Say = Callable[[str], object]
Outcome = CellResult | str  # or what went wrong


def _stop(number: int, frame: object) -> None:
    """Guards against sidecars that outlive the process they were started by: it unwinds, and is let do so."""
    signal.signal(signal.SIGINT, _unheard)
    signal.signal(signal.SIGTERM, _unheard)
    raise KeyboardInterrupt


def _unheard(number: int, frame: object) -> None:
    """The process is ending already."""


def _child(cell: Cell, pipe: Connection) -> None:
    """One cell in a process of its own: its result and seconds, or in words what went wrong."""
    signal.signal(signal.SIGINT, _stop)
    signal.signal(signal.SIGTERM, _stop)
    parent = multiprocessing.parent_process()
    if parent is not None and parent.pid is not None:
        signal_on_parent_end(parent.pid)()
    began = RealSystem.monotonic()
    try:
        outcome: Outcome = run(cell)
    except Exception as error:
        outcome = f"{type(error).__name__}: {error}"
    except KeyboardInterrupt:
        return
    try:
        pipe.send((outcome, RealSystem.monotonic() - began))
    except (BrokenPipeError, KeyboardInterrupt):
        return  # nobody is there to take it


def run_all(file: ExperimentFile, cells: list[Cell], out: Path, jobs: int | None, say: Say) -> int:
    """Run the cells that the results don't have; says how many failed.  What is done is kept at once."""
    with Store(out, new=True) as store:
        left = store.begin(file, cells)
        done = len(cells) - len(left)
        if done:
            say(f"{done} of {len(cells)} cells are there already")
        failed = 0
        for where, most in (("virtual", jobs or os.cpu_count() or 1), ("sockets", 1)):
            batch = [cell for cell in left if cell.where == where]
            if batch:
                failed += _run(store, batch, min(most, len(batch)), say)
    return failed


def _run(store: Store, cells: list[Cell], jobs: int, say: Say) -> int:
    """Cells on so many processes, one for each, so that what a run leaves behind goes with it."""
    failed, number = 0, 0
    context = multiprocessing.get_context("spawn")
    due: dict[Connection, tuple[SpawnProcess, Cell]] = {}
    waiting = iter(cells)
    try:
        while True:
            while len(due) < jobs and (cell := next(waiting, None)) is not None:
                mine, theirs = context.Pipe(duplex=False)
                child = context.Process(target=_child, args=(cell, theirs))
                child.start()
                theirs.close()
                due[mine] = child, cell
            if not due:
                return failed
            for ready in wait(list(due)):
                assert isinstance(ready, Connection)
                child, cell = due.pop(ready)
                try:
                    outcome, seconds = ready.recv()
                except EOFError:
                    outcome, seconds = "its process has ended", 0.0
                ready.close()
                child.join()
                number += 1
                failed += isinstance(outcome, str)
                say(f"{number}/{len(cells)} {cell.title}: {_kept(store, cell, outcome, seconds)}")
    except KeyboardInterrupt:
        say("stopped: what is done is kept, and the same command goes on from there")
        raise
    finally:
        for child, _ in due.values():
            child.terminate()
        for child, _ in due.values():
            child.join(END_SECONDS)


def _kept(store: Store, cell: Cell, outcome: Outcome, seconds: float) -> str:
    """Keep what a cell came to; says it in words."""
    if isinstance(outcome, str):
        store.fail(cell, outcome)
        return f"failed: {outcome}"
    store.save(cell, outcome, seconds)
    broken = outcome.figures.get("breaches", 0.0)
    rules = f", {broken:.0f} BREACHES" if broken else ""
    late = ", THE GENERATOR WAS LATE" if outcome.figures.get("was_late") else ""
    return f"{outcome.figures['share.served']:.2%} served{rules}{late}, {seconds:.1f} s"


def told(text: str) -> None:
    """A line of progress."""
    print(text, file=sys.stderr, flush=True)
