"""Measure the lateness of the load generator at a rate, with several player and stand-in node processes.

    .venv/bin/python -m benchmarks.load_lateness [--rate 3000] [--seconds 20] [--processes 3] [--nodes 2]

Demand is a Poisson process; nodes work at a hundred times the usual speed.
"""

from __future__ import annotations

import argparse
import multiprocessing
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path

from brambleusher.lab.stand_ins.node import Node
from brambleusher.lab.stand_ins.settings import NodeSettings
from brambleusher.load import demand, synthetic
from brambleusher.load.pacing import Pace
from brambleusher.load.player import PlayOptions
from brambleusher.load.processes import play
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler


class Nobody(list[object]):
    """A list that discards appended items."""

    def append(self, each: object) -> None:
        """Discard the item."""


def serve(pipe: Connection) -> None:
    """Run one node until the process is ended."""
    scheduler = Scheduler(RealSystem())
    settings = NodeSettings(cores=16, speed=100.0, report_fields=())
    node = Node(scheduler, settings, "node", executions=Nobody())  # type: ignore[arg-type]
    pipe.send(node.listen(("127.0.0.1", 0)))
    scheduler.run()


def main() -> None:
    """Print the results."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--rate", type=float, default=3000.0)
    words.add_argument("--seconds", type=float, default=20.0)
    words.add_argument("--processes", type=int, default=3)
    words.add_argument("--nodes", type=int, default=2)
    given = words.parse_args()
    context = multiprocessing.get_context("spawn")
    children, targets = [], []
    try:
        for _ in range(given.nodes):
            mine, theirs = context.Pipe()
            child = context.Process(target=serve, args=(theirs,), daemon=True)
            child.start()
            children.append(child)
            targets.append(mine.recv())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "demand"
            recipe = synthetic.Recipe(seconds=given.seconds, rate=given.rate, burst=None, refused=0.0)
            demand.write(path, synthetic.requests(recipe, 1))
            plan = PlayOptions(targets, Pace(recipe.start_ns))
            results = play(path, plan, given.processes)
        print("\n".join(results.texts()))
    finally:
        for child in children:
            child.terminate()
            child.join()


if __name__ == "__main__":
    main()
