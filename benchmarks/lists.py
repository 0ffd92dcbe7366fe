"""Measure the cost of lists of thousands of nodes: a change, a whole list, the worst tick, memory per node.

Prints two tables.  The first measures the decisions alone: a `Balancer` with traffic, by the time that the
handling of one event takes.  The second measures a whole sidecar on loopback (status page on) with a
discovery server, a node behind all addresses and a client: the cost of one change including parsing, the
time of a whole list, and the delay that the list causes to a request.  Both use the processor time of the
one working thread, so that other load on the machine has no effect; only "told" is wall time.  Client and
node run in the sidecar's scheduler.  The time of a request is the processor time of the thread between its
first byte and its response, minus that of a typical request without a list, so that the rest is list work.

    python -m benchmarks.lists [--nodes 12,200,2000,20000] [--quick]

Exits with 1 if, at the largest number of nodes, a change costs the decisions 0.3 ms or more (95th
percentile), the worst tick takes 3 ms or more, a request is delayed by more than 5 ms, or a drain within a
whole list takes effect after more than 500 ms.
"""

from __future__ import annotations

import argparse
import gc
import io
import json
import queue
import random
import socket
import statistics
import sys
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.net.http import MessageReader
from brambleusher.observability.log_format import configure
from brambleusher.operator_settings.configuration import parse_operator_file
from brambleusher.runtime.streams import Stream
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config
from brambleusher.sidecar.garbage_collection import GarbageCollectionPolicy

MS = 1_000_000
MAX_CHANGE_MS, MAX_TICK_MS, MAX_DELAY_MS, MAX_EFFECT_MS = 0.3, 3.0, 5.0, 500.0
ZONES = ("a", "b", "c", "d")
WAIT = 30.0
QUICK_RULES = 2000  # node limit of a quick run with zone rules, which examine all nodes and are slow
SETTINGS: dict[str, Any] = {
    "zone": "a", "fleet_size": 50, "membership_mode": "subscribe", "worth_by": "work",
    "classes": [
        {"name": "look", "promise_ns": 10**9, "give_up_ns": 2 * 10**9, "effect": "read_like", "worth": 1.0}
    ],
    "limits": {
        "max_attempts": 3, "max_retry_after_ns": 2 * 10**9, "retry_after": True,
        "connect_timeout_ns": 250_000_000, "conn_idle_ns": 30 * 10**9,
    },
    "safety": {
        "drain_grace_ns": 5 * 10**8, "must_ask_in_ns": 10**10, "cold_ns": 21 * 10**9,
        "start_capacity": 0.17, "fall_multiple": 4.0, "fall_ns": 3 * 10**9,
    },
    "telemetry": {"names": ["throughput", "utilization"]},
}  # fmt: skip


def cpu_ms(action: Callable[[], object]) -> float:
    """Return the processor time of a call in this thread, in milliseconds."""
    began = time.thread_time_ns()
    action()
    return (time.thread_time_ns() - began) / MS


def quantile(values: Iterable[float], fraction: float = 0.95) -> float:
    """Return the quantile of `values` at `fraction`, which lies between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


# --- the decisions alone --------------------------------------------------------------------------


class DecisionBench:
    """A balancer with traffic in virtual time; times each list, change and tick."""

    def __init__(self, nodes: int, seed: int, rules: bool) -> None:
        self.rng, self.now, self.count = random.Random(seed), 0, nodes
        settings = api.Settings(
            zone="a",
            classes=(api.RequestClass("look", 100 * MS, 1000 * MS, 1.0),),
            fleet_size=50, max_attempts=3, drain_release_ns=500 * MS, connection_idle_timeout_ns=30_000 * MS,
            warm_up_ns=21_000 * MS, initial_capacity=0.17, connection_price=0.1,
            report_fields=("utilization", "throughput"), zone_rules=api.ZoneRules() if rules else None,
        )  # fmt: skip
        self.balancer: Balancer = balancer_for(settings, seed)
        self.balancer.start(0)
        self.requests, self.ticks = 0, [0.0]
        self.due: list[tuple[int, str, str]] = []

    def entry(self, at: int, state: api.HostState = api.HostState.READY, started: int = 0) -> api.HostEntry:
        """Return the list entry of a host by number."""
        return api.HostEntry(f"node-{at:05d}", ZONES[at % 4], f"kind-{at % 3}", at % 50, state, 1.0, started)

    def apply_full_list(self) -> float:
        """Apply a whole list and return the time in milliseconds."""
        event = api.HostListUpdated(api.ListKind.FULL, [self.entry(at) for at in range(self.count)])
        return cpu_ms(lambda: self.balancer.handle(event, self.now))

    def change(self, state: api.HostState, at: int) -> float:
        """Apply one change and return the time in milliseconds."""
        event = api.HostListUpdated(api.ListKind.DELTA, [self.entry(at, state)])
        return cpu_ms(lambda: self.balancer.handle(event, self.now))

    def traffic(self, seconds: float, rate: float) -> None:
        """Send requests at a rate, with a mean response time of 20 ms and a tick every 12 ms."""
        end, tick = self.now + int(seconds * 1e9), self.now
        while self.now < end:
            self.now += int(self.rng.expovariate(rate) * 1e9)
            while tick <= self.now:
                took = cpu_ms(lambda: self.balancer.handle(api.TimerFired(0), self.now))
                self.ticks.append(took)
                tick += 12 * MS
            self.requests += 1
            arrived = api.RequestArrived(f"q{self.requests}", "look", None, 1000 * MS)
            for action in self.balancer.handle(arrived, self.now):
                if isinstance(action, api.StartAttempt):
                    latency = int(self.rng.expovariate(1 / 20) * MS)
                    self.due.append((self.now + latency, action.request, action.host))
            for item in [item for item in self.due if item[0] <= self.now]:
                self.due.remove(item)
                report = api.LoadReport(0.2 + self.rng.random() * 0.3, 80.0)
                self.balancer.handle(
                    api.AttemptEnded(item[1], 0, item[2], api.AttemptStatus.OK, 20 * MS, True, report),
                    self.now,
                )


def decisions(nodes: int, rounds: int, rules: bool = False) -> list[float]:
    """Return milliseconds for a change (mean, 95th percentile, worst), a whole list and the worst tick."""
    changes: list[float] = []
    wholes, worst = [], []
    for seed in range(rounds):
        run = DecisionBench(nodes, seed, rules)
        wholes.append(run.apply_full_list())
        gc.collect()
        run.traffic(0.5, 200)
        mine = []
        for _ in range(40):
            at = run.rng.randrange(nodes)
            states = (api.HostState.DRAINING, api.HostState.REMOVED, api.HostState.READY)
            mine += [run.change(state, at) for state in states]
            run.traffic(0.02, 200)
        run.traffic(0.5, 1500)  # a burst brings more hosts into use
        run.traffic(0.5, 50)
        changes += mine
        worst.append(max(run.ticks))
    # The smallest worst tick over the runs, since any excess comes from other load on the machine.
    return [statistics.mean(changes), quantile(changes), max(changes), min(wholes), min(worst)]


# --- a whole sidecar ------------------------------------------------------------------------------


class Discovery:
    """A discovery thread that serves one watch at a time and writes given texts."""

    def __init__(self, first: bytes) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.texts: queue.Queue[bytes | None] = queue.Queue()
        self.texts.put(first)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        watch, _ = self.listener.accept()
        watch.recv(65536)
        watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            try:
                text = self.texts.get(timeout=1.0)
            except queue.Empty:
                text = b""
            if text is None:
                return
            watch.sendall(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    def end(self) -> None:
        """End the thread."""
        self.texts.put(None)
        self.thread.join(WAIT)
        self.listener.close()


def text_of(entries: list[dict[str, Any]], version: int, full: bool) -> bytes:
    """Return a list as discovery encodes it."""
    return json.dumps({"version": version, "full": full, "servers": entries}).encode()


def entries_of(nodes: int, address: str, names: str = "node") -> list[dict[str, Any]]:
    """Return list entries that share one address."""
    return [
        {"id": f"{names}-{at:05d}", "addr": address, "zone": ZONES[at % 4], "kind": f"kind-{at % 3}",
         "cell": at % 50, "state": "Ready", "weight": 1.0, "started_ms": 0}
        for at in range(nodes)
    ]  # fmt: skip


@dataclass
class ListDelays:
    """Milliseconds of a list: longest request delay, and times until all nodes and a drain took effect."""

    request_delay_ms: float
    all_ms: float
    drain_ms: float


class Run:
    """A sidecar with its surroundings, driven by a task in its own scheduler."""

    def __init__(self, nodes: int, quick: bool, collector: GarbageCollectionPolicy) -> None:
        self.nodes, self.requests, self.usual = nodes, 500 if quick else 1500, 0.0
        self.node = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.node.setblocking(False)
        self.where = "{}:{}".format(*self.node.getsockname())
        self.discovery = Discovery(text_of(entries_of(nodes, self.where), 1, True))
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 0, "full": True, "servers": []}, "settings": SETTINGS,
        }  # fmt: skip
        self.sidecar = Sidecar(
            parse_config(json.dumps(config).encode(), {}),
            operator=parse_operator_file(b"status: {port: 0, refresh_ms: 1000}"),
        )
        self.sidecar.endpoint_list.on_step = collector.step
        self.scheduler = self.sidecar.scheduler
        self.version, self.asked = 1, 0
        self.times: list[float] = []
        self.changes: list[float] = []
        self.lists: dict[str, ListDelays] = {}
        self.failed: BaseException | None = None

    def run(self) -> None:
        """Run everything; re-raises the exception of the driver."""
        address = self.sidecar.start()
        self.scheduler.spawn(self._accept)
        self.scheduler.spawn(self._guarded, address)
        self.sidecar.run()
        self.sidecar.close()
        self.discovery.end()
        self.node.close()
        if self.failed is not None:
            raise self.failed

    def _guarded(self, address: tuple[str, int]) -> None:
        try:
            self._drive(address)
        except Exception as error:  # noqa: BLE001 - raised again in the main task once the sidecar has ended
            self.failed = error
        self.sidecar.begin_graceful_shutdown()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.scheduler.system.accept(self.node)
            except BlockingIOError:
                self.scheduler.park(sock=self.node)
                continue
            self.scheduler.spawn(self._answer, Stream(self.scheduler, sock))

    def _answer(self, stream: Stream) -> None:
        reader = MessageReader.requests()
        answer = b'HTTP/1.1 200 OK\r\nServer-Load: {"qps":40.0,"util":0.3}\r\nContent-Length: 2\r\n\r\nok'
        while data := stream.receive(None):
            reader.feed(data)
            while reader.take() is not None:
                stream.send(answer, None)

    def _request(self, stream: Stream) -> float:
        """Return the milliseconds of processor time from the first byte of a request to its response."""
        self.asked += 1
        began = time.thread_time_ns()
        stream.send(
            b"GET /look HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nRequest-Class: look\r\n"
            b"Request-Timeout-Ms: 1900\r\n\r\n" % self.asked,
            None,
        )
        reader = MessageReader.responses()
        while (answer := reader.take()) is None:
            data = stream.receive(self.scheduler.now() + WAIT)
            if not data:
                raise RuntimeError("the sidecar closed the connection")
            reader.feed(data)
        if answer.status != 200:
            raise RuntimeError(f"a request was answered {answer.status}")
        return (time.thread_time_ns() - began) / MS

    def _wait(self, there: Callable[[], bool]) -> None:
        until = self.scheduler.now() + WAIT
        while not there():
            if self.scheduler.now() > until:
                raise RuntimeError("a list was not taken in time")
            self.scheduler.sleep(0.001)

    def _is_all_applied(self, lists: int) -> bool:
        taken = self.sidecar.counters.count("lists_taken")
        slices = self.sidecar.endpoint_list._slices
        return taken >= lists and (slices is None or not slices.waiting)

    def _drive(self, address: tuple[str, int]) -> None:
        self._wait(lambda: self._is_all_applied(1))
        gc.collect()
        stream = Stream.connect(self.scheduler, address, self.scheduler.now() + WAIT)
        for _ in range(100):
            self._request(stream)
        baseline = []
        for _ in range(self.requests):
            baseline.append(self._request(stream))
            self.scheduler.sleep(0.0005)
        self.usual = statistics.median(baseline)
        self.lists["none"] = ListDelays(max(baseline) - self.usual, 0.0, 0.0)
        drains = entries_of(self.nodes, self.where)
        drains[-1]["state"] = "Terminating"
        self.lists["the same, one drains"] = self._apply_list(stream, drains)
        others = [*entries_of(self.nodes - 1, self.where, "other"), drains[-1]]
        others[-1] = {**others[-1], "state": "Terminating", "started_ms": 1}
        self.lists["all others"] = self._apply_list(stream, others)
        self._measure_changes(others)

    def _apply_list(self, stream: Stream, entries: list[dict[str, Any]]) -> ListDelays:
        """Apply a whole list while requests continue."""
        self.version += 1
        text, count, last = text_of(entries, self.version, True), self.sidecar.counters, entries[-1]
        gc.collect()  # collects garbage of the preparation, which is not work of the sidecar
        lists, times, effect_ms = count.count("lists_taken") + 1, [], [0.0, 0.0]
        began = self.scheduler.now()
        self.discovery.texts.put(text)

        def watch() -> None:
            def has_drain_applied() -> bool:
                machine = self.sidecar.upstream_pool.listed.get(last["id"])
                return machine is not None and machine.entry.started_ns == last["started_ms"] * MS and (
                    machine.entry.state is api.HostState.DRAINING
                )  # fmt: skip

            self._wait(has_drain_applied)
            effect_ms[1] = (self.scheduler.now() - began) * 1000
            self._wait(lambda: self._is_all_applied(lists))
            effect_ms[0] = (self.scheduler.now() - began) * 1000

        self.scheduler.spawn(watch)
        while not effect_ms[0] and self.scheduler.now() - began < WAIT:
            times.append(self._request(stream))
            self.scheduler.sleep(0.0005)
        until = self.scheduler.now() + 1.5  # includes the new status page, built after the list was applied
        while self.scheduler.now() < until:
            times.append(self._request(stream))
            self.scheduler.sleep(0.0005)
        return ListDelays(max(times) - self.usual, *effect_ms)

    def _measure_changes(self, entries: list[dict[str, Any]]) -> None:
        rng = random.Random(7)
        for at in range(200):
            self.version += 1
            entry = rng.choice(entries)
            entry["state"] = ("Terminating", "Ready")[at % 2]
            text = text_of([entry], self.version, False)
            self.changes.append(cpu_ms(lambda text=text: self.sidecar.endpoint_list._apply(text)))  # type: ignore[misc]
            if at % 10 == 0:
                self.scheduler.sleep(0.001)


def memory(nodes: int, operator: bytes) -> float:
    """Return the memory of a sidecar per node, in bytes, after applying its list."""
    text = json.dumps({"version": 1, "full": True, "servers": entries_of(nodes, "127.0.0.1:9")}).encode()
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "2a",
        "known": {"version": 0, "full": True, "servers": []}, "settings": SETTINGS,
    }  # fmt: skip
    sidecar = Sidecar(parse_config(json.dumps(config).encode(), {}), operator=parse_operator_file(operator))
    sidecar.start()
    failed: list[BaseException] = []

    def take() -> None:
        try:
            gc.collect()
            tracemalloc.start()
            sidecar.endpoint_list._apply(text)
            slices = sidecar.endpoint_list._slices
            while slices is not None and slices.waiting:
                sidecar.scheduler.sleep(0.001)
            sidecar.scheduler.sleep(1.5 if sidecar.status is not None else 0.0)
            while sidecar.status is not None and sidecar.status._rows._stale:
                sidecar.scheduler.sleep(0.001)
            gc.collect()
        except Exception as error:  # noqa: BLE001 - raised again in the main task once the sidecar has ended
            failed.append(error)
        sidecar.begin_graceful_shutdown()

    sidecar.scheduler.spawn(take)
    sidecar.run()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sidecar.close()
    if failed:
        raise failed[0]
    return used_bytes / nodes


# --- tables ---------------------------------------------------------------------------------------


def main() -> int:
    """Print the tables; returns 1 if a limit is exceeded."""
    parser = argparse.ArgumentParser(description="What lists of thousands cost.")
    parser.add_argument("--nodes", default="12,200,2000,20000")
    parser.add_argument("--quick", action="store_true", help="fewer rounds: under 50 s")
    args = parser.parse_args()
    sizes = [int(count) for count in args.nodes.split(",")]
    configure(stream=io.StringIO())
    collector = GarbageCollectionPolicy()
    missed: list[str] = []

    def gate(what: str, figure: float, most: float) -> None:
        if figure >= most:
            missed.append(f"{what}: {figure:.2f} ms, should be under {most:g}")

    print("The decisions, ms of processor time")
    print(f"{'nodes':>7} {'zones':>6} {'change':>8} {'95 of 100':>10} {'worst':>8} {'whole':>8} {'tick':>8}")
    for nodes in sizes:
        for rules in (False, True) if nodes <= QUICK_RULES or not args.quick else (False,):
            row = decisions(nodes, 2 if args.quick or rules else 5, rules)
            print(
                f"{nodes:7} {'rules' if rules else '-':>6} {row[0]:8.3f} {row[1]:10.3f} {row[2]:8.3f} "
                f"{row[3]:8.1f} {row[4]:8.2f}"
            )
            if nodes == max(sizes) and not rules:
                gate("one change", row[1], MAX_CHANGE_MS)
                gate("the worst tick", row[4], MAX_TICK_MS)
    print("\nA sidecar, ms: a change from its text on; a whole list beside requests")
    print(
        f"{'nodes':>7} {'change':>8} {'95 of 100':>10}  {'list':22} "
        f"{'held up':>8} {'drain told':>11} {'all told':>9}"
    )
    for nodes in sizes:
        run = Run(nodes, args.quick, collector)
        run.run()
        front = f"{nodes:7} {statistics.mean(run.changes):8.3f} {quantile(run.changes):10.3f}"
        for name, delay in run.lists.items():
            print(
                f"{front}  {name:22} {delay.request_delay_ms:8.2f} {delay.drain_ms:11.0f} {delay.all_ms:9.0f}"
            )
            front = " " * len(front)
            if nodes == max(sizes) and name != "none":
                gate(f"held up by a list ({name})", delay.request_delay_ms, MAX_DELAY_MS)
                gate(f"a drain told ({name})", delay.drain_ms, MAX_EFFECT_MS)
    most = max(sizes)
    print(f"\nMemory at {most} nodes, bytes a node (traced)")
    for name, operator in (("no features", b"{}"), ("status page", b"status: {port: 0, refresh_ms: 1000}")):
        print(f"{name:>14} {memory(most, operator):7.0f}")
    for line in missed:
        print(f"missed: {line}", file=sys.stderr)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
