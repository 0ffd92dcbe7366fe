"""Straight to the nodes on sockets: nodes and players in processes of their own."""

from __future__ import annotations

import multiprocessing
import signal
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path

from brambleusher.lab.experiments.figures import Tally
from brambleusher.lab.experiments.noting import noting
from brambleusher.lab.experiments.plan import Cell
from brambleusher.lab.fleets.figures import NodeSpec
from brambleusher.lab.stand_ins.node import Execution
from brambleusher.load import demand
from brambleusher.load.fidelity import Heard
from brambleusher.load.player import Play
from brambleusher.load.processes import play
from brambleusher.load.request import Request
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address

NODE_PROCESSES = 2
PLAYERS = 2
START_SECONDS = 60.0


def run_direct(
    cell: Cell, requests: list[Request], plan: Play, span_s: float
) -> tuple[Tally, list[Heard], list[Execution], int]:
    """Play; gives the tally, what the nodes noted, what they ran, and when it began."""
    world = cell.figures.world_spec(span_s)
    nodes = [node for node in world.nodes if not node.spare]
    context = multiprocessing.get_context("spawn")
    pipes: list[Connection] = []
    children = []
    try:
        addresses: list[Address] = []
        for part in range(min(NODE_PROCESSES, len(nodes))):
            mine, theirs = context.Pipe()
            child = context.Process(target=_serve, args=(cell.seed, nodes[part::NODE_PROCESSES], theirs))
            child.start()
            theirs.close()
            pipes.append(mine)
            children.append(child)
        for pipe in pipes:
            if not pipe.poll(START_SECONDS):
                raise RuntimeError("a process with nodes did not start")
            addresses += pipe.recv()
        with tempfile.TemporaryDirectory(prefix="brambleusher-lab-") as folder:
            path = Path(folder) / "demand"
            demand.write(path, requests)
            results = play(
                path,
                Play(addresses, plan.pace, plan.timeout_ms, methods=plan.methods, seed=plan.seed),
                PLAYERS,
            )
        heard: list[Heard] = []
        executions: list[Execution] = []
        for pipe in pipes:
            pipe.send(results.start_ns)
            noted, ran = pipe.recv()
            heard += noted
            executions += ran
        return Tally.of(world, results, span_s), heard, executions, results.start_ns
    finally:
        for pipe in pipes:
            pipe.close()
        for child in children:
            child.join(5)
            if child.is_alive():
                child.terminate()


def _serve(seed: int, nodes: list[NodeSpec], pipe: Connection) -> None:
    """Some nodes in one process, until it is asked for what they noted."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    scheduler = Scheduler(RealSystem())
    notes: list[Heard] = []
    executions: list[Execution] = []
    addresses = []
    for figures in nodes:
        node = noting(notes, lambda: 0, scheduler, figures.settings, figures.id, seed, executions=executions)
        addresses.append(node.listen(("127.0.0.1", 0)))
    pipe.send(addresses)
    while not pipe.poll():
        scheduler.call_at(scheduler.now() + 0.05, scheduler.stop)
        scheduler.run()
    try:
        start_ns = pipe.recv()
    except EOFError:
        return
    pipe.send(([each._replace(at_ns=each.at_ns - start_ns) for each in notes], executions))
