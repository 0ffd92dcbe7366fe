"""Measure the control service under load: drains with many subscribers, three kinds of client, and weights.

python benchmarks/control.py             # all tables
python benchmarks/control.py --quick     # 100 subscribers, under 50 s; exits with 1 if a limit is exceeded
python benchmarks/control.py --part drains|growth|clients|weights
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import heapq
import json
import math
import multiprocessing as mp
import os
import queue
import random
import re
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import grpc
import grpc.aio

from brambleusher.lab.control.xds import ASSIGNMENT, STREAM_METHODS, ProxyStandIn
from brambleusher.lab.control.xds_live import (
    Backend,
    ControlProgram,
    LiveDiscovery,
    LiveProxy,
    caller_commands,
    callers,
    entry,
    js_packages_dir,
)
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.fleet_balancer import FleetBalancer, ReportedOutcomes, host_statuses
from brambleusher.loadbalancing.locality_weights import WeightDamper, WeightRounder
from brambleusher.loadbalancing.settings import parse_settings

ROOT = Path(__file__).resolve().parent.parent
LIMIT_MS = 500.0
MS, SECOND = 1_000_000, 1_000_000_000
PROCESSES = 4
_VERSION = re.compile(rb"\x0a.[0-9]+\.([0-9]+)\.", re.S)  # a response begins with its version
_NONCE = re.compile(rb"\x2a[\x01-\x0a]([0-9]{1,10})\Z")
KB_A_SUBSCRIBER = 250.0  # memory limit per subscriber in KB, including the bytes in flight to it
SETTINGS: dict[str, Any] = {
    "zone": "z", "fleet_size": 1,
    "classes": [
        {"name": "look", "promise_ns": 400 * MS, "give_up_ns": 2 * SECOND, "effect": "read_like", "worth": 1},
        {"name": "move", "promise_ns": SECOND, "give_up_ns": 5 * SECOND, "effect": "non_idempotent",
         "worth": 1},
    ],
    "limits": {"max_attempts": 3},
    "safety": {
        "drain_grace_ns": 500 * MS, "cold_ns": 0, "start_capacity": 1, "fall_multiple": 4, "fall_ns": SECOND
    },
}  # fmt: skip


def configuration(folder: Path, discovery: str) -> Path:
    """Write the configuration file of the service and return its path."""
    (folder / "secret").write_text("a secret of the benchmark")
    path = folder / "control.yaml"
    path.write_text(
        json.dumps({
            "name": "bench", "listen": "127.0.0.1:0", "discovery": discovery, "secret_file": "secret",
            "store": {"file": "store.db", "new_ms": 0}, "settings": SETTINGS, "status": "127.0.0.1:0",
            "subscribers": [{"identity": "*", "zone": "z"}],
            "listeners": [{"name": "web", "address": "127.0.0.1:10000"}, {"name": "grpc-web"}],
            "classes": [{"name": "look", "retries": 2}, {"name": "move"}],
        })
    )  # fmt: skip
    return path


@contextlib.contextmanager
def service(nodes: list[dict[str, Any]]) -> Iterator[tuple[ControlProgram, LiveDiscovery]]:
    """Start the control service and its discovery server."""
    with tempfile.TemporaryDirectory() as folder:
        discovery = LiveDiscovery(nodes)
        program = ControlProgram(configuration(Path(folder), discovery.address))
        try:
            yield program, discovery
        finally:
            program.kill()
            discovery.close()


def usage(pid: int) -> tuple[float, float]:
    """Return the processor time in seconds and the memory in MB of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK"), pages * os.sysconf(
        "SC_PAGE_SIZE"
    ) / 2**20


def quantile(values: list[float], fraction: float) -> float:
    """Return the quantile of `values` at the fraction `part`."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)]


# --- drains with many subscribers ------------------------------------------------------------------


class _LightSubscriber:
    """A subscriber that acknowledges and timestamps each response, and parses only the first.

    The subscriber handles only the few protocol fields that it needs, so that the cores of the machine serve
    the control service and are not spent on parsing for a thousand proxies.
    """

    def __init__(self, name: str, incremental: bool, target: str) -> None:
        self.proxy, self.target = ProxyStandIn(name, "z", incremental), target
        # Arrival time, list version and size in bytes of each response.
        self.came: list[tuple[float, int, int]] = []
        self.complete = asyncio.Event()

    async def run(self, stalls: bool) -> None:
        channel = grpc.aio.insecure_channel(
            self.target,
            options=[("grpc.use_local_subchannel_pool", 1), ("grpc.max_receive_message_length", -1)],
        )
        call = channel.stream_stream(STREAM_METHODS[self.proxy.incremental])()
        for data in self.proxy.connect():
            await call.write(data)
        while (data := await call.read()) is not grpc.aio.EOF:
            at = time.monotonic()
            if self.proxy.is_complete():
                found = _VERSION.match(data)
                self.came.append((at, int(found[1]) if found is not None else 0, len(data)))
                await call.write(_acknowledge(self.proxy, data))
                continue
            for request in self.proxy.receive(data):
                await call.write(request)
            if self.proxy.is_complete():
                self.complete.set()
                if stalls:
                    await asyncio.Event().wait()


def _acknowledge(proxy: ProxyStandIn, data: bytes) -> bytes:
    """Return the acknowledgement of an assignment, found at the end of the response, where the nonce is."""
    found = _NONCE.search(data[-16:])
    if found is None:
        raise ValueError("the response does not end in its nonce")
    return proxy.acknowledge(ASSIGNMENT, found[1].decode())


def subscribers(target: str, names: list[str], pipe: Connection, stalls: int) -> None:
    """Run a process of subscribers; report when all have the list, then new responses at each query."""
    asyncio.run(_subscribers(target, names, pipe, stalls))


async def _subscribers(target: str, names: list[str], pipe: Connection, stalls: int) -> None:
    proxies = [_LightSubscriber(name, bool(at % 2), target) for at, name in enumerate(names)]
    tasks = [asyncio.create_task(each.run(at < stalls)) for at, each in enumerate(proxies)]
    for each in proxies:
        await each.complete.wait()
    pipe.send("complete")
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, pipe.recv) != "end":
        pipe.send([each.came for each in proxies[stalls:]])
        for each in proxies:
            each.came = []
    for task in tasks:
        task.cancel()
    os._exit(0)


@dataclass
class Drains:
    """Results of a run with a number of subscribers and nodes."""

    subscribers: int
    nodes: int
    last_ms: list[float]  # time from each drain to the last receipt, in milliseconds
    kb_each: float
    cpu_ms: float  # processor time per drain, in milliseconds
    bytes_each: int

    def row(self) -> tuple[str, ...]:
        """Format the results as a table row."""
        last = self.last_ms
        return (
            str(self.subscribers), str(self.nodes),
            f"{quantile(last, 0.5):.0f}", f"{quantile(last, 0.99):.0f}", f"{max(last):.0f}",
            f"{self.kb_each:.0f}", f"{self.cpu_ms:.0f}", f"{self.bytes_each / 1024:.0f}",
        )  # fmt: skip


DRAINS_HEAD = ("subscribers", "nodes", "median ms", "99th ms", "worst ms", "KB each", "CPU ms", "update KB")


def drains(count: int, nodes: int, rounds: int) -> Drains:
    """Drain nodes one after another; one subscriber stalls, and a whole list precedes every tenth drain."""
    entries = [entry(f"n{at:05}", 10_000 + at) for at in range(nodes)]
    with service(entries) as (program, discovery):
        context = mp.get_context("spawn")
        pipes, running = [], []

        def begin(names: list[str], stalls: int) -> None:
            ours, theirs = context.Pipe()
            given = (program.addresses["xds"], names, theirs, stalls)
            running.append(context.Process(target=subscribers, args=given, daemon=True))
            running[-1].start()
            pipes.append(ours)

        begin(["first"], 0)  # creates the views, which all subscribers share
        assert pipes[0].recv() == "complete"
        before = usage(program.process.pid)
        names = [f"p{at}" for at in range(count)]
        groups = [group for group in (names[at::PROCESSES] for at in range(PROCESSES)) if group]
        for at, group in enumerate(groups):
            begin(group, int(at == 0))
        for pipe in pipes[1:]:
            assert pipe.recv() == "complete"
        connected = usage(program.process.pid)
        last, cpu, sizes = [], [], []
        reading = count  # includes the first subscriber, excludes the stalled one
        for at in range(rounds):
            victim = entries[at % nodes]
            victim = victim | {"state": "Terminating" if victim["state"] == "Ready" else "Ready"}
            entries[at % nodes] = victim
            if at % 10 == 9:
                discovery.replace_list(entries[: at % nodes] + entries[at % nodes + 1 :])
                entries[at % nodes] = victim = victim | {"state": "Terminating"}
            cpu_before = usage(program.process.pid)[0]
            changed_at = discovery.change(victim)
            until = time.monotonic() + 10
            arrivals: dict[tuple[int, int], float] = {}
            while len(arrivals) < reading and time.monotonic() < until:
                time.sleep(0.02)
                for group_at, pipe in enumerate(pipes):
                    pipe.send("what came")
                    for index, events in enumerate(pipe.recv()):
                        for moment, version, size in events:
                            sizes.append(size)
                            if version >= discovery.version:
                                arrivals.setdefault((group_at, index), moment)
            if len(arrivals) < reading:
                raise RuntimeError(
                    f"{reading - len(arrivals)} of {reading} subscribers heard nothing for 10 s"
                )
            last.append((max(arrivals.values()) - changed_at) * 1000)
            cpu.append((usage(program.process.pid)[0] - cpu_before) * 1000)
        after = usage(program.process.pid)
        for pipe in pipes:
            pipe.send("end")
        for job in running:
            job.join(10)
        kb = (max(connected[1], after[1]) - before[1]) * 1024 / count
        return Drains(count, nodes, last, kb, sum(cpu) / len(cpu), sorted(sizes)[len(sizes) // 2])


# --- three kinds of client ---------------------------------------------------------------------------


def _without(live: LiveProxy, address: str) -> bool:
    return address not in live.proxy.usable()


async def _kinds(rounds: int) -> dict[str, float]:
    """For each kind of client the slowest: a call to the drained node, or receipt, in ms after the notice."""
    seen: queue.Queue[tuple[str, str, float]] = queue.Queue()
    backends = [Backend(f"n{at}", seen) for at in range(6)]
    slowest: dict[str, float] = {}
    listed = [entry(each.name, each.port) for each in backends]
    with service(listed) as (program, discovery), tempfile.TemporaryDirectory() as folder:
        bootstrap = Path(folder) / "bootstrap.json"
        server = {
            "server_uri": program.addresses["xds"], "channel_creds": [{"type": "insecure"}],
            "server_features": ["xds_v3"],
        }  # fmt: skip
        node = {"id": "g", "locality": {"zone": "z"}}
        bootstrap.write_text(json.dumps({"xds_servers": [server], "node": node}))
        commands = caller_commands(ROOT)
        environment = {
            **os.environ,
            "GRPC_XDS_BOOTSTRAP": str(bootstrap),
            "NODE_PATH": str(js_packages_dir(ROOT)),
        }
        live = {}
        for name, incremental in (("stand-in, whole state", False), ("stand-in, incremental", True)):
            live[name] = LiveProxy(ProxyStandIn(name, "z", incremental), program.addresses["xds"])
            live[name].start()
            await live[name].wait_until(live[name].proxy.is_complete)
        with callers(commands, environment) as check:
            for at in range(rounds):
                victim = backends[at % len(backends)]
                await _called(seen, victim.name, set(commands))
                check()
                changed_at = discovery.change(entry(victim.name, victim.port, "Terminating"))
                for name, each in live.items():
                    await each.wait_until(partial(_without, each, f"127.0.0.1:{victim.port}"))
                    slowest[name] = max(slowest.get(name, 0.0), (each.last_response_at - changed_at) * 1000)
                calls: Counter[str] = Counter()
                while any(calls[name] < 20 for name in commands):
                    check()
                    caller, served, moment = await asyncio.to_thread(seen.get, timeout=30)
                    after = (moment - changed_at) * 1000
                    if served == victim.name and after > 0:
                        slowest[caller] = max(slowest.get(caller, 0.0), after)
                    calls[caller] += after > LIMIT_MS
                discovery.change(entry(victim.name, victim.port))
        for name in commands:
            slowest.setdefault(name, 0.0)  # no call of this kind came after a notice
        for each in live.values():
            await each.stop()
    for backend in backends:
        backend.stop()
    return slowest


async def _called(seen: queue.Queue[tuple[str, str, float]], node: str, callers: set[str]) -> None:
    """Wait until every caller calls a node."""
    left = set(callers)
    while left:
        caller, served, _ = await asyncio.to_thread(seen.get, timeout=30)
        if served == node:
            left.discard(caller)


# --- weights ---------------------------------------------------------------------------------------


class Fleet:
    """Endpoints in virtual time, each with its own number of slots, queue and speed."""

    def __init__(self, rng: random.Random, count: int) -> None:
        self.rng = rng
        self.names = [f"n{at:02}" for at in range(count)]
        self.slots = dict.fromkeys(self.names, 4)
        self.speed = {name: rng.choice((0.6, 1.0, 1.0, 1.4)) for name in self.names}
        self.free: dict[str, list[float]] = {name: [0.0] * 4 for name in self.names}
        self.busy_s: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self.recent: dict[str, list[tuple[float, float, float]]] = {name: [] for name in self.names}

    def capacity(self, mean: float) -> float:
        """Return the capacity of all nodes in requests per second, for a mean work in seconds."""
        return sum(self.slots[name] * self.speed[name] / mean for name in self.names)

    def serve(self, name: str, now: float, work: float) -> tuple[float, api.LoadReport]:
        """Return when a request that arrives now is answered, and the node's load report at that time."""
        if not self.free[name]:
            self.free[name] = [0.0]
        begins = max(now, self.free[name][0])
        ends = begins + work / self.speed[name]
        heapq.heapreplace(self.free[name], ends)
        self.busy_s[name] += ends - begins
        self.recent[name].append((now, begins, ends))
        return ends, self.report(name, ends)

    def report(self, name: str, now: float, window: float = 1.0) -> api.LoadReport:
        """Return the slot usage and responses per second of a node over the last `window` seconds."""
        recent = [each for each in self.recent[name] if each[2] > now - 2 * window]
        self.recent[name] = recent
        busy = sum(max(0.0, min(end, now) - max(begin, now - window)) for _, begin, end in recent)
        done = sum(now - window < end <= now for _, _, end in recent)
        return api.LoadReport(min(1.0, busy / window / self.slots[name]), done / window)


@dataclass
class Day:
    """Results of a day."""

    served: float
    worst: float
    mean: float


def day(
    seed: int,
    proxies: bool,
    use: float,
    limit: float = math.inf,
    nodes: int = 24,
    senders: int = 16,
    seconds: float = 60.0,
) -> Day:
    """Replay the same arrivals, work and slow periods, sent by sidecars or by weighted proxies.

    A proxy with a `limit` (the `requests` circuit breaker of the cluster) rejects requests beyond the limit.

    After a third of the day, one node slows to a fifth of its speed for a third of the day; at half of the
    day another node drains.
    """
    rng = random.Random(seed)
    fleet = Fleet(rng, nodes)
    mean, settings = 0.05, parse_settings(SETTINGS | {"fleet_size": senders})
    latency_target, deadline = 0.4, 2.0
    rate = fleet.capacity(mean) * use
    slow, drained = fleet.names[1], fleet.names[2]
    usual_speed = fleet.speed[slow]
    listed = [api.HostEntry(name, "z", "k", 0, api.HostState.READY) for name in fleet.names]
    served = judged = 0
    events: list[tuple[float, int, str, Any]] = []
    count = 0

    def at(when: float, kind: str, what: object = None) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (when, count, kind, what))

    def ns(seconds_: float) -> int:
        return int(seconds_ * SECOND)

    sidecars = [Balancer(settings, seed * 1000 + each) for each in range(senders)]
    tries: dict[str, int] = {}
    zone = FleetBalancer(settings, seed)
    damper, rounder = WeightDamper(), WeightRounder(0.1)
    weights: dict[str, int] = {}
    current = [
        dict.fromkeys(fleet.names, 0.0) for _ in range(senders)
    ]  # smooth weighted round robin, as in proxies
    gathered: dict[str, list[Any]] = {}
    out = [0] * senders

    def route(sender: int, actions: list[api.Action], now: float) -> None:
        nonlocal judged
        for action in actions:
            if isinstance(action, api.SetTimer):
                at(action.at_ns / SECOND, "timer", sender)
            elif isinstance(action, api.StartAttempt):
                attempt = tries[action.request]
                tries[action.request] += 1
                ends, report = fleet.serve(action.host, now, work[action.request])
                at(ends, "answer", (sender, action.request, attempt, action.host, now, report))
            elif isinstance(action, api.RejectRequest | api.FailRequest):
                arrived.pop(action.request, None)

    def reweigh(step: bool) -> None:
        weights.clear()
        shares = rounder.round(damper.follow(host_statuses(zone), step))
        weights.update({each.host: each.weight for each in shares if each.weight})

    arrived: dict[str, float] = {}
    work: dict[str, float] = {}
    if proxies:
        zone.start(0)
        zone.handle(api.HostListUpdated(api.ListKind.FULL, listed), 0)
        reweigh(False)
        at(1.0, "report")
    else:
        for sender, each in enumerate(sidecars):
            route(sender, each.start(0), 0)
            route(sender, each.handle(api.HostListUpdated(api.ListKind.FULL, list(listed)), 0), 0)
    at(seconds / 3, "slow")
    at(seconds * 2 / 3, "well")
    at(seconds / 2, "drain")
    at(rng.expovariate(rate), "arrival", 0)
    turn = 0
    while events:
        now, _, kind, what = heapq.heappop(events)
        if kind == "arrival":
            if now > seconds:
                continue
            at(now + rng.expovariate(rate), "arrival", what + 1)
            name, work_s, sender = f"r{what}", rng.expovariate(1 / mean), rng.randrange(senders)
            judged += 1
            arrived[name], work[name], tries[name] = now, work_s, 0
            if proxies:
                if out[sender] >= limit:
                    continue
                out[sender] += 1
                current_weights = current[sender]
                total = sum(weights.values())
                for host, weight in weights.items():
                    current_weights[host] += weight
                host = max(weights, key=lambda host: (current_weights[host], host))
                current_weights[host] -= total
                ends, report = fleet.serve(host, now, work_s)
                at(ends, "answered", (sender, host, now, report))
            else:
                route(
                    sender,
                    sidecars[sender].handle(api.RequestArrived(name, "look", None, ns(deadline)), ns(now)),
                    now,
                )
        elif kind == "answered":
            sender, host, began, report = what
            out[sender] -= 1
            served += now - began <= latency_target
            totals = gathered.setdefault(host, [0, 0.0, 0.0, 0.0])
            totals[0] += 1
            totals[1] += now - began
            totals[2] += report.utilisation
            totals[3] += report.throughput
        elif kind == "report":
            for host, (n, took, util, rps) in sorted(gathered.items()):
                outcomes = ReportedOutcomes(
                    host, "look", n, 0, ns(took / n), api.LoadReport(util / n, rps / n)
                )
                zone.record_outcomes(outcomes, ns(now))
            gathered.clear()
            zone.handle(api.TimerFired(0), ns(now))
            turn += 1
            if turn % 2 == 0:  # weights are sent every two seconds
                reweigh(True)
            if now < seconds + 5:
                at(now + 1.0, "report")
        elif kind == "timer":
            if now < seconds + 5:
                route(what, sidecars[what].handle(api.TimerFired(0), ns(now)), now)
        elif kind == "answer":
            sender, name, attempt, host, began, report = what
            if name in arrived:
                served += now - arrived.pop(name) <= latency_target
            event = api.AttemptEnded(name, attempt, host, api.AttemptStatus.OK, ns(now - began), True, report)
            route(sender, sidecars[sender].handle(event, ns(now)), now)
        elif kind in ("slow", "well"):
            fleet.speed[slow] = usual_speed / 5 if kind == "slow" else usual_speed
        elif kind == "drain":
            changed_entries = [api.HostEntry(drained, "z", "k", 0, api.HostState.DRAINING)]
            if proxies:
                zone.handle(api.HostListUpdated(api.ListKind.DELTA, changed_entries), ns(now))
                reweigh(False)
            else:
                for sender, each in enumerate(sidecars):
                    route(
                        sender,
                        each.handle(api.HostListUpdated(api.ListKind.DELTA, list(changed_entries)), ns(now)),
                        now,
                    )
    loads = [fleet.busy_s[name] / fleet.slots[name] / seconds for name in fleet.names if name != drained]
    return Day(served / max(judged, 1), max(loads), sum(loads) / len(loads))


def weights(seeds: int, nodes: int, seconds: float) -> list[tuple[str, ...]]:
    """Run days with three kinds of sender at three levels of utilization."""
    senders = 16
    rows: list[tuple[str, ...]] = []
    limit = nodes * 4 * 2 / senders  # allows twice as many open requests as the nodes have slots
    for use in (0.5, 0.7, 0.85):
        for name, proxies, most in (
            ("sidecars", False, math.inf),
            ("weighted proxies", True, math.inf),
            ("weighted proxies with a limit", True, limit),
        ):
            days = [day(seed, proxies, use, most, nodes, senders, seconds) for seed in range(seeds)]
            served = sum(each.served for each in days) / seeds
            worst, mean = sum(each.worst for each in days) / seeds, sum(each.mean for each in days) / seeds
            rows.append((name, f"{use:.0%}", f"{served:.1%}", f"{worst:.2f}", f"{worst / mean:.2f}"))
    return rows


# --- tables ------------------------------------------------------------------------------------------


def table(title: str, head: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Print a table."""
    widths = [max(len(row[at]) for row in [head, *rows]) for at in range(len(head))]
    print(f"\n{title}", flush=True)
    for row in [head, *rows]:
        cells = [
            row[0].ljust(widths[0]),
            *(cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)),
        ]
        print("  ".join(cells))


def main() -> int:
    """Print the tables; returns 1 if a limit is exceeded."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--quick", action="store_true")
    words.add_argument("--part", choices=("drains", "growth", "clients", "weights"))
    given = words.parse_args()
    parts = [given.part] if given.part else ["drains", "growth", "clients", "weights"]
    if given.quick and not given.part:
        parts.remove("growth")
    missed = []
    if "drains" in parts:
        made = drains(100, 2000, 30) if given.quick else drains(1000, 2000, 100)
        table(
            f"from a drain's notice to the last receipt, {len(made.last_ms)} drains",
            DRAINS_HEAD,
            [made.row()],
        )
        if max(made.last_ms) > LIMIT_MS:
            missed.append(f"the slowest drain took {max(made.last_ms):.0f} ms")
        if made.kb_each > KB_A_SUBSCRIBER * (2 if given.quick else 1):
            missed.append(f"a subscriber costs {made.kb_each:.0f} KB")
    if "growth" in parts:
        sizes = [(10, 2000), (100, 2000), (1000, 2000), (1000, 20), (1000, 200)]
        rows = [drains(count, nodes, 20).row() for count, nodes in sizes]
        table("how it grows, 20 drains each", DRAINS_HEAD, rows)
    if "clients" in parts:
        slowest = asyncio.run(_kinds(2 if given.quick else 6))
        rows = [(name, f"{ms:.1f}") for name, ms in sorted(slowest.items())]
        table(
            "slowest ms after the notice: the last call to the drained node, or the news' receipt",
            ("client", "ms"),
            rows,
        )
        missed += [f"{name} took {ms:.0f} ms" for name, ms in slowest.items() if ms > LIMIT_MS]
    if "weights" in parts:
        rows = weights(1, 12, 30.0) if given.quick else weights(3, 24, 60.0)
        table("the same days", ("sent by", "use", "in the aim", "worst node's load", "of the mean"), rows)
    for each in missed:
        print(f"missed: {each}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
