"""Plays a demand over sockets directly to nodes, without sidecars; nodes and players are child processes."""

from __future__ import annotations

import multiprocessing
import signal
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path

from brambleusher.lab.experiments.figures import OutcomeCounter
from brambleusher.lab.experiments.noting import recording_node
from brambleusher.lab.experiments.plan import Cell
from brambleusher.lab.fleets.figures import NodeSpec
from brambleusher.lab.stand_ins.node import Execution
from brambleusher.load import demand
from brambleusher.load.fidelity import ReceivedRequest
from brambleusher.load.player import PlayOptions
from brambleusher.load.processes import play
from brambleusher.load.request import Request
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import Address

NODE_PROCESSES = 2
PLAYER_PROCESSES = 2
START_SECONDS = 60.0


def run_direct(
    cell: Cell, requests: list[Request], plan: PlayOptions, span_s: float
) -> tuple[OutcomeCounter, list[ReceivedRequest], list[Execution], int]:
    """PlayOptions the requests; return outcome counts, received requests, executions and start time in ns."""
    world = cell.figures.world_spec(span_s)
    nodes = [node for node in world.nodes if not node.spare]
    context = multiprocessing.get_context("spawn")
    pipes: list[Connection] = []
    children = []
    try:
        addresses: list[Address] = []
        for process_index in range(min(NODE_PROCESSES, len(nodes))):
            parent_pipe, child_pipe = context.Pipe()
            child = context.Process(
                target=_serve, args=(cell.seed, nodes[process_index::NODE_PROCESSES], child_pipe)
            )
            child.start()
            child_pipe.close()
            pipes.append(parent_pipe)
            children.append(child)
        for pipe in pipes:
            if not pipe.poll(START_SECONDS):
                raise RuntimeError("a node process did not start")
            addresses += pipe.recv()
        with tempfile.TemporaryDirectory(prefix="brambleusher-lab-") as folder:
            path = Path(folder) / "demand"
            demand.write(path, requests)
            results = play(
                path,
                PlayOptions(addresses, plan.pace, plan.timeout_ms, methods=plan.methods, seed=plan.seed),
                PLAYER_PROCESSES,
            )
        received_requests: list[ReceivedRequest] = []
        executions: list[Execution] = []
        for pipe in pipes:
            pipe.send(results.start_ns)
            received, executed = pipe.recv()
            received_requests += received
            executions += executed
        return OutcomeCounter.of(world, results, span_s), received_requests, executions, results.start_ns
    finally:
        for pipe in pipes:
            pipe.close()
        for child in children:
            child.join(5)
            if child.is_alive():
                child.terminate()


def _serve(seed: int, nodes: list[NodeSpec], pipe: Connection) -> None:
    """Run nodes in this process; send their requests and executions when the parent asks for them."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    scheduler = Scheduler(RealSystem())
    received: list[ReceivedRequest] = []
    executions: list[Execution] = []
    addresses = []
    for node_spec in nodes:
        node = recording_node(
            received, lambda: 0, scheduler, node_spec.settings, node_spec.id, seed, executions=executions
        )
        addresses.append(node.listen(("127.0.0.1", 0)))
    pipe.send(addresses)
    while not pipe.poll():
        scheduler.call_at(scheduler.now() + 0.05, scheduler.stop)
        scheduler.run()
    try:
        start_ns = pipe.recv()
    except EOFError:
        return
    pipe.send(([each._replace(at_ns=each.at_ns - start_ns) for each in received], executions))
