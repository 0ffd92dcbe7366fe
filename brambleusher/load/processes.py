"""Run a replay in several processes that start together, and merge their results."""

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
from brambleusher.load.player import Player, PlayOptions
from brambleusher.load.results import Results
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler

START_DELAY_NS = 200_000_000
PROGRESS_INTERVAL_SECONDS = 0.5
READY_TIMEOUT_SECONDS = 60.0
Progress = Callable[[int], None]  # receives the number of requests sent so far


class PlayError(RuntimeError):
    """A player process failed."""


def play(path: Path, plan: PlayOptions, processes: int, progress: Progress | None = None) -> Results:
    """Replay a demand file over real sockets; SIGINT ends the replay early and returns partial results."""
    context = multiprocessing.get_context("spawn")
    pipes: list[Connection] = []
    children = []
    stopping = False

    def stop(number: int, frame: object) -> None:
        nonlocal stopping
        stopping = True

    previous_handler = signal.signal(signal.SIGINT, stop)
    try:
        for partition in range(processes):
            parent_end, child_end = context.Pipe()
            partition_plan = replace(plan, pace=replace(plan.pace, partition=partition, partitions=processes))
            child = context.Process(target=_child, args=(str(path), partition_plan, child_end), daemon=True)
            child.start()
            child_end.close()
            pipes.append(parent_end)
            children.append(child)
        for pipe in pipes:
            if not pipe.poll(READY_TIMEOUT_SECONDS) or _received(pipe) != b"ready":
                raise PlayError("a player process did not start")
        start_ns = time.monotonic_ns() + START_DELAY_NS
        for pipe in pipes:
            pipe.send_bytes(str(start_ns).encode())
        return _collect(pipes, plan, lambda: stopping, progress)
    finally:
        signal.signal(signal.SIGINT, previous_handler)
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
        raise PlayError("a player process ended unexpectedly") from None


def _collect(
    pipes: list[Connection], plan: PlayOptions, stopping: Callable[[], bool], progress: Progress | None
) -> Results:
    total = Results(speed=plan.pace.speed)
    sent = dict.fromkeys(range(len(pipes)), 0)
    open_pipes = {pipe: number for number, pipe in enumerate(pipes)}
    stop_sent = False
    while open_pipes:
        if stopping() and not stop_sent:
            stop_sent = True
            for pipe in open_pipes:
                pipe.send_bytes(b"stop")
        for ready in wait(list(open_pipes), timeout=PROGRESS_INTERVAL_SECONDS):
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


def _child(path: str, plan: PlayOptions, pipe: Connection) -> None:
    """Run a player process; ends silently if the parent process is gone."""
    try:
        _play(path, plan, pipe)
    except (EOFError, BrokenPipeError, ConnectionResetError):
        return


def _play(path: str, plan: PlayOptions, pipe: Connection) -> None:
    """Report readiness, receive the start time, replay with progress reports, and send the results."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent handles SIGINT and sends "stop"
    system = RealSystem()
    scheduler = Scheduler(system)
    results = Results(speed=plan.pace.speed)
    with DemandFile(path) as file:
        player = Player(scheduler, plan, file.requests(), results.add)
        # Collector pauses would delay requests; reference counting alone frees the objects of a request.
        gc.collect()
        gc.freeze()
        gc.set_threshold(100_000, 50, 1000)
        pipe.send_bytes(b"ready")
        results.start_ns = int(pipe.recv_bytes())
        player.start(results.start_ns)
        last_progress = scheduler.now()

        def is_over() -> bool:
            nonlocal last_progress
            if scheduler.now() - last_progress > PROGRESS_INTERVAL_SECONDS:
                last_progress = scheduler.now()
                pipe.send_bytes(b"sent %d" % player.sent)
                if pipe.poll() and pipe.recv_bytes() == b"stop":
                    player.stop()
            return player.done

        scheduler.run(is_over)
        player.close()
    results.connects = player.connects
    pipe.send_bytes(results.encode())
