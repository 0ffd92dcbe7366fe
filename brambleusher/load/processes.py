"""A play in several processes, which begin together; their results come out as one."""

from __future__ import annotations

import gc
import multiprocessing
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from multiprocessing.connection import Connection, wait
from pathlib import Path

from brambleusher.load.demand import DemandFile
from brambleusher.load.player import Play, Player
from brambleusher.load.results import Results
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler

LEAD_NS = 200_000_000
BEAT_SECONDS = 0.5
READY_SECONDS = 60.0
Progress = Callable[[int], None]  # told how many requests have been sent so far


class PlayError(RuntimeError):
    """A process that played has come to a bad end."""


def play(path: Path, plan: Play, processes: int, progress: Progress | None = None) -> Results:
    """Play a demand file against real sockets; SIGINT ends it early, with what there is by then."""
    context = multiprocessing.get_context("spawn")
    pipes: list[Connection] = []
    children = []
    stopping = False

    def stop(number: int, frame: object) -> None:
        nonlocal stopping
        stopping = True

    before = signal.signal(signal.SIGINT, stop)
    try:
        for part in range(processes):
            mine, theirs = context.Pipe()
            share = replace(plan, pace=replace(plan.pace, partition=part, partitions=processes))
            child = context.Process(target=_child, args=(str(path), share, theirs), daemon=True)
            child.start()
            theirs.close()
            pipes.append(mine)
            children.append(child)
        for pipe in pipes:
            if not pipe.poll(READY_SECONDS) or _received(pipe) != b"ready":
                raise PlayError("a process that plays did not start")
        start_ns = time.monotonic_ns() + LEAD_NS
        for pipe in pipes:
            pipe.send_bytes(str(start_ns).encode())
        return _collect(pipes, plan, lambda: stopping, progress)
    finally:
        signal.signal(signal.SIGINT, before)
        for pipe in pipes:
            pipe.close()
        for child in children:
            child.join(5)
            if child.is_alive():
                child.terminate()


def _received(pipe: Connection) -> bytes:
    try:
        return pipe.recv_bytes()
    except (EOFError, OSError):
        raise PlayError("a process that plays has ended") from None


def _collect(
    pipes: list[Connection], plan: Play, stopping: Callable[[], bool], progress: Progress | None
) -> Results:
    total = Results(speed=plan.pace.speed)
    sent = dict.fromkeys(range(len(pipes)), 0)
    open_pipes = {pipe: number for number, pipe in enumerate(pipes)}
    told = False
    while open_pipes:
        if stopping() and not told:
            told = True
            for pipe in open_pipes:
                pipe.send_bytes(b"stop")
        for ready in wait(list(open_pipes), timeout=BEAT_SECONDS):
            assert isinstance(ready, Connection)
            data = _received(ready)
            if data.startswith(b"sent "):
                sent[open_pipes[ready]] = int(data[5:])
                if progress is not None:
                    progress(sum(sent.values()))
            else:
                total.merge(Results.decode(data))
                del open_pipes[ready]
    return total


def _child(path: str, plan: Play, pipe: Connection) -> None:
    """One process; it ends without a word where the one that started it has ended."""
    try:
        _play(path, plan, pipe)
    except (EOFError, BrokenPipeError, ConnectionResetError):
        return


def _play(path: str, plan: Play, pipe: Connection) -> None:
    """Says that it is ready, is told when to begin, says how far it is, sends its results."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent has it, and tells
    system = RealSystem()
    scheduler = Scheduler(system)
    results = Results(speed=plan.pace.speed)
    with DemandFile(path) as file:
        player = Player(scheduler, plan, file.requests(), results.add)
        # Guards against pauses of the collector: what a request leaves behind is freed by reference counts.
        gc.collect()
        gc.freeze()
        gc.set_threshold(100_000, 50, 1000)
        pipe.send_bytes(b"ready")
        results.start_ns = int(pipe.recv_bytes())
        player.start(results.start_ns)
        beat = scheduler.now()

        def over() -> bool:
            nonlocal beat
            if scheduler.now() - beat > BEAT_SECONDS:
                beat = scheduler.now()
                pipe.send_bytes(b"sent %d" % player.sent)
                if pipe.poll() and pipe.recv_bytes() == b"stop":
                    player.stop()
            return player.done

        scheduler.run(over)
        player.close()
    results.connects = player.connects
    pipe.send_bytes(results.encode())
