"""Runs the unfinished cells of an experiment: in parallel in virtual time, one by one on sockets."""

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
ProgressCallback = Callable[[str], object]
CellOutcome = CellResult | str  # result of a cell, or its error message


def _interrupt(number: int, frame: object) -> None:
    """Raise KeyboardInterrupt so that the process stops its sidecars before it exits.

    Further signals are ignored: one that interrupted the cleanup would leave sidecars running.
    """
    signal.signal(signal.SIGINT, _ignore_signal)
    signal.signal(signal.SIGTERM, _ignore_signal)
    raise KeyboardInterrupt


def _ignore_signal(number: int, frame: object) -> None:
    """Ignore a signal, because the process is already exiting."""


def _run_in_child(cell: Cell, pipe: Connection) -> None:
    """Run one cell in this process; send its result or error message and the duration in seconds."""
    signal.signal(signal.SIGINT, _interrupt)
    signal.signal(signal.SIGTERM, _interrupt)
    parent = multiprocessing.parent_process()
    if parent is not None and parent.pid is not None:
        signal_on_parent_end(parent.pid)()
    started = RealSystem.monotonic()
    try:
        outcome: CellOutcome = run(cell)
    except Exception as error:
        outcome = f"{type(error).__name__}: {error}"
    except KeyboardInterrupt:
        return
    try:
        pipe.send((outcome, RealSystem.monotonic() - started))
    except (BrokenPipeError, KeyboardInterrupt):
        return  # the parent process has exited


def run_all(
    file: ExperimentFile, cells: list[Cell], out: Path, jobs: int | None, report_progress: ProgressCallback
) -> int:
    """Run the cells missing from the results file, saving each when it finishes; return how many failed."""
    with Store(out, new=True) as store:
        unfinished = store.register_experiment(file, cells)
        done = len(cells) - len(unfinished)
        if done:
            report_progress(f"{done} of {len(cells)} cells are there already")
        failed = 0
        for where, max_jobs in (("virtual", jobs or os.cpu_count() or 1), ("sockets", 1)):
            batch = [cell for cell in unfinished if cell.where == where]
            if batch:
                failed += _run_cells(store, batch, min(max_jobs, len(batch)), report_progress)
    return failed


def _run_cells(store: Store, cells: list[Cell], jobs: int, report_progress: ProgressCallback) -> int:
    """Run at most `jobs` cells at once, each in a new process whose exit discards leftovers of the run."""
    failed, number = 0, 0
    context = multiprocessing.get_context("spawn")
    running: dict[Connection, tuple[SpawnProcess, Cell]] = {}
    waiting = iter(cells)
    try:
        while True:
            while len(running) < jobs and (cell := next(waiting, None)) is not None:
                parent_pipe, child_pipe = context.Pipe(duplex=False)
                child = context.Process(target=_run_in_child, args=(cell, child_pipe))
                child.start()
                child_pipe.close()
                running[parent_pipe] = child, cell
            if not running:
                return failed
            for ready in wait(list(running)):
                assert isinstance(ready, Connection)
                child, cell = running.pop(ready)
                try:
                    outcome, seconds = ready.recv()
                except EOFError:
                    outcome, seconds = "its process has ended", 0.0
                ready.close()
                child.join()
                number += 1
                failed += isinstance(outcome, str)
                report_progress(
                    f"{number}/{len(cells)} {cell.title}: {_store_outcome(store, cell, outcome, seconds)}"
                )
    except KeyboardInterrupt:
        report_progress("stopped: what is done is kept, and the same command continues from there")
        raise
    finally:
        for child, _ in running.values():
            child.terminate()
        for child, _ in running.values():
            child.join(END_SECONDS)


def _store_outcome(store: Store, cell: Cell, outcome: CellOutcome, seconds: float) -> str:
    """Store the outcome of a cell; return a summary for the progress output."""
    if isinstance(outcome, str):
        store.fail(cell, outcome)
        return f"failed: {outcome}"
    store.save(cell, outcome, seconds)
    violations = outcome.figures.get("breaches", 0.0)
    rules = f", {violations:.0f} BREACHES" if violations else ""
    late = ", THE GENERATOR WAS LATE" if outcome.figures.get("was_late") else ""
    return f"{outcome.figures['share.served']:.2%} served{rules}{late}, {seconds:.1f} s"


def print_progress(text: str) -> None:
    """Print a line of progress to stderr."""
    print(text, file=sys.stderr, flush=True)
