"""Random schedules for the control service, and a checker of the assignments its subscribers receive.

A discovery service, two control instances and several proxies run in virtual time.  Streams delay, stall
and break, instances are killed, disks fill up, watches are disconnected, and discovery may return with an
older list.  The checker derives its state from the transmitted bytes alone: each version of the list has a
node whose port encodes that version, so that every assignment reveals the version it was made from.

    python -m brambleusher.lab.control.history --seeds 500
"""

from __future__ import annotations

import argparse
import heapq
import logging
import random
import sys
import tempfile
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import orjson
from envoy.config.endpoint.v3 import endpoint_pb2

from brambleusher.lab.control.xds import ASSIGNMENT, ProxyStandIn, endpoints_of
from brambleusher.loadbalancing.api import HostEntry, HostState
from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.xds.config import ControlConfig, parse_control_config
from brambleusher.xds.core import Core, Stream
from brambleusher.xds.discovered_endpoints import DiscoveredEndpoints
from brambleusher.xds.errors import ProtocolError
from brambleusher.xds.wire import decode_request

MS, SECOND = 1_000_000, 1_000_000_000
STAMP = "stamp"
PORT = 10_000  # the port of the stamp node is this number plus the version of the list
HEARTBEAT, DISCOVERY_TIMEOUT = 2 * SECOND, 3 * SECOND
NODES, PROXIES, INSTANCES = 6, 4, 2
# No instance may send a list superseded for longer than this time, in nanoseconds: it covers the discovery
# timeout, requests between instances, and network delays.
MAX_SUPERSEDED_TIME = 6 * SECOND
FAULTS_UNTIL, END = 40 * SECOND, 60 * SECOND
SETTINGS = {
    "zone": "z", "fleet_size": 1,
    "classes": [
        {"name": "look", "promise_ns": SECOND, "give_up_ns": 5 * SECOND, "effect": "read_like", "worth": 1}
    ],
    "safety": {"drain_grace_ns": 0, "cold_ns": 0, "start_capacity": 1, "fall_multiple": 1, "fall_ns": SECOND},
}  # fmt: skip


def configuration(name: str, folder: Path, **more: Any) -> ControlConfig:
    """Return the configuration of a control instance."""
    (folder / "secret").write_text("a secret of the schedules")
    return parse_control_config(
        orjson.dumps({
            "name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "secret_file": "secret",
            "store": {"file": "unused", "new_ms": 5000}, "settings": SETTINGS,
            "subscribers": [{"identity": "*", "zone": "z"}], "classes": [{"name": "look"}],
            "listeners": [{"name": "web", "address": "127.0.0.1:1"}], **more,
        }),
        folder,
    )  # fmt: skip


class Violation(AssertionError):
    """A consistency rule was broken."""


def stamp_of(assignment: Any) -> int | None:
    """Return the version of the list that an assignment was made from; None without a stamp node."""
    ports = [int(each.address.rpartition(":")[2]) for each in endpoints_of(assignment)]
    return next((port - PORT for port in ports if port >= PORT), None)


class ConsistencyChecker:
    """Checks the versions that proxies accept and instances send against the consistency rules."""

    def __init__(self) -> None:
        self.accepted: dict[tuple[str, int], int] = {}  # newest accepted version, by proxy and incarnation
        self.sent: dict[str, int] = {}  # newest sent version by instance, kept over the instance's restarts
        self.current = 0
        self.superseded: dict[int, int] = {}  # time at which each version stopped being the newest
        # Whether discovery has sent an older list, which instances can't recognize as outdated.
        self.older_list_sent = False
        self.check_count = 0

    def change(self, version: int, now: int) -> None:
        """Record that discovery has a new version."""
        self.superseded[self.current] = now
        self.current = version

    def check_sent(self, instance: str, data_stamp: int, now: int) -> None:
        """Check an assignment that an instance sends; raises `Violation`."""
        self.check_count += 1
        if data_stamp < self.sent.get(instance, 0):
            raise Violation(f"{instance} sent {data_stamp} after {self.sent[instance]}")
        self.sent[instance] = data_stamp
        if not self.older_list_sent and now - self.superseded.get(data_stamp, now) > MAX_SUPERSEDED_TIME:
            raise Violation(f"{instance} sent {data_stamp}, which was superseded for too long")

    def check_accepted(self, proxy: str, incarnation: int, stamp: int) -> None:
        """Check an assignment that a proxy accepts; raises `Violation`."""
        self.check_count += 1
        before = self.accepted.get((proxy, incarnation), 0)
        if stamp < before:
            raise Violation(f"{proxy} was given {stamp} after it had accepted {before}")
        self.accepted[proxy, incarnation] = stamp


@dataclass
class _Disk:
    """Disk contents of a control instance, which survive its restarts."""

    position: ViewPosition | None = None
    full: bool = False
    wiped: bool = False


@dataclass
class _Instance:
    name: str
    config: ControlConfig
    disk: _Disk = field(default_factory=_Disk)
    core: Core | None = None
    incarnation: int = 0
    watching: int = 0  # number of the instance's open watch; 0 without an open watch
    cut: bool = False  # whether the instance is partitioned from discovery
    apart: bool = False  # whether the instance is partitioned from the other instance
    last_contact: int = 0
    writing: bool = False


@dataclass
class _Connection:
    """A stream between a proxy and a control instance."""

    instance: _Instance
    instance_incarnation: int
    stream: Stream
    open: bool = True
    stalled: bool = False
    unread: list[bytes] = field(default_factory=list)  # responses not yet read because the stream is stalled
    down_at: int = 0
    up_at: int = 0


class _Proxy:
    def __init__(self, name: str, incremental: bool, verdict: Callable[[str, list[Any]], str | None]) -> None:
        self.stand_in = ProxyStandIn(name, "z", incremental, verdict=verdict)
        self.name, self.incarnation = name, 0
        self.connection: _Connection | None = None


def accept_all(kind: str, resources: list[Any]) -> str | None:
    """Return the verdict of a proxy that accepts every response."""
    return None


def reject_all(kind: str, resources: list[Any]) -> str | None:
    """Return the verdict of a proxy that rejects every response."""
    return "rejected unconditionally"


class _VersionlessEndpoints(DiscoveredEndpoints):
    """Endpoint list of the `floor` mutation, which accepts older versions from discovery."""

    def update(self, update: EndpointListUpdate) -> Mapping[str, Endpoint | None] | None:
        self.version = None
        return super().update(update)


class History:
    """A random schedule of events for the control service, drawn from a seed."""

    def __init__(self, seed: int, folder: Path, mutation: str = "") -> None:
        self.rng = random.Random(seed)
        self.checker, self.mutation = ConsistencyChecker(), mutation
        self.now = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._watches = 0
        self.lists: list[dict[str, Endpoint]] = []
        self.served_version: int | None = None  # older version sent by discovery; None for the newest
        self.down = False
        names = [f"control-{at}" for at in range(INSTANCES)]
        self.instances = [_Instance(name, configuration(name, folder)) for name in names]
        self.proxies = [
            _Proxy(f"proxy-{at}", bool(at % 2), reject_all if at == PROXIES - 1 else accept_all)
            for at in range(PROXIES)
        ]

    # --- time -----------------------------------------------------------------------------------

    def at(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedule a call after `delay` nanoseconds."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, callback))

    def run(self) -> ConsistencyChecker:
        """Run the whole schedule; raises `Violation`."""
        self._change_list()
        for instance in self.instances:
            self._start(instance)
        for proxy in self.proxies:
            self.at(self.rng.randrange(SECOND), partial(self._connect, proxy))
        self.at(self.rng.randrange(SECOND), self._inject_fault)
        self._repeat(300 * MS, self._maybe_change_list)
        self._repeat(250 * MS, self._tick_instances)
        self._repeat(500 * MS, self._exchange_peer_status)
        self._repeat(HEARTBEAT, self._send_heartbeats)
        while self._events and self._events[0][0] <= END:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self._check_recovery()
        return self.checker

    def _repeat(self, period: int, callback: Callable[[], None]) -> None:
        def repeat() -> None:
            callback()
            self.at(period, repeat)

        self.at(period, repeat)

    def _has_faults(self) -> bool:
        return self.now < FAULTS_UNTIL

    # --- discovery ------------------------------------------------------------------------------

    def _change_list(self) -> None:
        version = len(self.lists) + 1
        before = self.lists[-1] if self.lists else {}
        machines = {}
        flip = self.rng.randrange(NODES)
        for at in range(NODES):
            name = f"node-{at}"
            was = before.get(name)
            state = was.entry.state if was is not None else HostState.READY
            if was is not None and at == flip:
                state = HostState.DRAINING if state is HostState.READY else HostState.READY
            machines[name] = Endpoint(HostEntry(name, "z", "k", 0, state), ("10.0.0.1", 1 + at))
        stamp = HostEntry(STAMP, "z", "k", 0, HostState.DRAINING)
        machines[STAMP] = Endpoint(stamp, ("10.0.0.2", PORT + version))
        self.lists.append(machines)
        self.checker.change(version, self.now)

    def _maybe_change_list(self) -> None:
        if self.now < END - 10 * SECOND and self.rng.random() < 0.5:
            self._change_list()
            for instance in self.instances:
                self._send_list(instance, instance.watching)

    def _send_list(self, instance: _Instance, watch: int) -> None:
        """Send the whole newest list to one watch, even if unchanged."""
        if self.down or instance.cut or not watch:
            return
        version = self.served_version or len(self.lists)
        update = EndpointListUpdate(version, True, tuple(self.lists[version - 1].values()))

        def arrive() -> None:
            core = instance.core
            if core is not None and instance.watching == watch and not instance.cut:
                instance.last_contact = self.now
                core.record_endpoint_list(update, self.now)
                self._after_event(instance)

        self.at(self.rng.randrange(1, 50) * MS, arrive)

    def _send_heartbeats(self) -> None:
        for instance in self.instances:
            core = instance.core
            if core is None:
                continue
            if instance.watching and not instance.cut and not self.down:
                instance.last_contact = self.now
                core.record_discovery_contact(self.now)
                self._after_event(instance)
            elif not instance.watching and not instance.cut and not self.down:
                self._open_watch(instance)

    def _open_watch(self, instance: _Instance) -> None:
        self._watches += 1
        instance.watching, instance.last_contact = self._watches, self.now
        self._send_list(instance, instance.watching)

    # --- instances ------------------------------------------------------------------------------

    def _start(self, instance: _Instance) -> None:
        disk = instance.disk
        floor = None if disk.wiped or self.mutation == "store" else disk.position
        if disk.wiped:  # only its subscribers still know what the instance sent before
            self.checker.sent.pop(instance.name, None)
        disk.wiped = False
        instance.incarnation += 1
        instance.core = Core(
            instance.config,
            floor,
            self.now,
            seed=instance.incarnation,
            is_floor_certain=self.mutation == "store",
        )
        if self.mutation == "claims":
            instance.core.view_consistency.record_subscriber_position = lambda position: None  # type: ignore[method-assign]
        if self.mutation == "silence":
            instance.core.view_consistency.is_discovery_connected = lambda now: True  # type: ignore[method-assign]
        if self.mutation == "floor":
            instance.core.discovered = _VersionlessEndpoints()
            instance.core.view_consistency._raise_floor = lambda position: None  # type: ignore[method-assign]
        instance.writing = False
        self._open_watch(instance)

    def _kill(self, instance: _Instance) -> None:
        if instance.core is None:
            return
        instance.core, instance.watching = None, 0
        for proxy in self.proxies:
            if proxy.connection is not None and proxy.connection.instance is instance:
                self._disconnect(proxy)
        self.at(self.rng.randrange(100, 4000) * MS, lambda: self._start(instance))

    def _tick_instances(self) -> None:
        for instance in self.instances:
            core = instance.core
            if core is None:
                continue
            if instance.watching and self.now - instance.last_contact > DISCOVERY_TIMEOUT:
                instance.watching = 0
                core.record_discovery_disconnect()
            core.tick(self.now)
            self._after_event(instance)

    def _exchange_peer_status(self) -> None:
        one, other = self.instances
        for requester, responder in ((one, other), (other, one)):
            if requester.core is None or responder.core is None or requester.apart or responder.apart:
                continue
            asked_at, incarnation = self.now, requester.incarnation

            def arrive(
                requester: _Instance = requester,
                responder: _Instance = responder,
                asked_at: int = asked_at,
                incarnation: int = incarnation,
            ) -> None:
                if (
                    requester.core is not None
                    and requester.incarnation == incarnation
                    and responder.core is not None
                ):
                    requester.core.record_peer_status(
                        responder.name, responder.core.peer_status(self.now), asked_at
                    )
                    self._after_event(requester)

            self.at(self.rng.randrange(1, 100) * MS, arrive)

    def _after_event(self, instance: _Instance) -> None:
        """Write the position if due and send pending responses, as a core's owner does after each event."""
        core = instance.core
        if core is None:
            return
        position = core.position_to_write()
        if position is not None and not instance.writing:
            self._write(instance, position)
        for proxy in self.proxies:
            connection = proxy.connection
            if connection is not None and connection.instance is instance and connection.open:
                self._send_responses(proxy, connection)

    def _write(self, instance: _Instance, position: ViewPosition) -> None:
        instance.writing, incarnation = True, instance.incarnation

        def done() -> None:
            fails = instance.disk.full
            if not fails:  # a write from before a restart may still succeed
                instance.disk.position = max(position, instance.disk.position or position)
            if instance.incarnation == incarnation and instance.core is not None:
                instance.writing = False
                if fails:
                    instance.core.record_write_failure(self.now)
                    self.at(500 * MS, lambda: self._after_event(instance))
                else:
                    instance.core.record_written(position, self.now)
                self._after_event(instance)

        self.at(self.rng.randrange(1, 20) * MS, done)

    def _send_responses(self, proxy: _Proxy, connection: _Connection) -> None:
        core = connection.instance.core
        assert core is not None
        while (
            not connection.unread
            and (response := core.next_response(connection.stream, self.now)) is not None
        ):
            if response.kind == ASSIGNMENT:
                for resource in response.resources:
                    stamp = stamp_of(endpoint_pb2.ClusterLoadAssignment.FromString(resource.body))
                    # With a full disk, updates that only remove nodes are sent before they are written.
                    if stamp is not None and not connection.instance.disk.full:
                        self.checker.check_sent(connection.instance.name, stamp, self.now)
            connection.down_at = max(connection.down_at, self.now) + self.rng.randrange(1, 30) * MS
            self.at(
                connection.down_at - self.now,
                partial(self._deliver_response, proxy, connection, response.data),
            )

    # --- proxies --------------------------------------------------------------------------------

    def _connect(self, proxy: _Proxy) -> None:
        instance = self.rng.choice(self.instances)
        if instance.core is None:
            self.at(200 * MS, lambda: self._connect(proxy))
            return
        forget = proxy.incarnation == 0 or self.rng.random() < 0.2
        proxy.incarnation += forget
        stream = instance.core.open_stream(None, proxy.stand_in.incremental, self.now)
        proxy.connection = _Connection(instance, instance.incarnation, stream)
        self._send_requests(proxy, proxy.connection, proxy.stand_in.connect(forget))

    def _disconnect(self, proxy: _Proxy) -> None:
        connection = proxy.connection
        if connection is None or not connection.open:
            return
        connection.open = False
        if (
            connection.instance.core is not None
            and connection.instance.incarnation == connection.instance_incarnation
        ):
            connection.instance.core.close_stream(connection.stream)
        proxy.connection = None
        self.at(self.rng.randrange(10, 2000) * MS, lambda: self._connect(proxy))

    def _send_requests(self, proxy: _Proxy, connection: _Connection, requests: list[bytes]) -> None:
        for data in requests:
            connection.up_at = max(connection.up_at, self.now) + self.rng.randrange(1, 30) * MS
            self.at(connection.up_at - self.now, partial(self._handle_request, proxy, connection, data))

    def _handle_request(self, proxy: _Proxy, connection: _Connection, data: bytes) -> None:
        instance = connection.instance
        if (
            not connection.open
            or instance.core is None
            or instance.incarnation != connection.instance_incarnation
        ):
            return
        request, who = decode_request(data, proxy.stand_in.incremental)
        try:
            instance.core.handle_request(connection.stream, request, who, self.now)
        except ProtocolError as error:
            raise Violation(f"a valid request of a proxy was rejected: {error}") from None
        self._after_event(instance)

    def _deliver_response(self, proxy: _Proxy, connection: _Connection, data: bytes) -> None:
        if not connection.open:
            return
        if connection.stalled or connection.unread:
            connection.unread.append(data)
            return
        requests = proxy.stand_in.receive(data)
        subscription = proxy.stand_in.kinds.get(ASSIGNMENT)
        for each in subscription.resources.values() if subscription is not None else ():
            stamp = stamp_of(each)
            if stamp is not None:
                self.checker.check_accepted(proxy.name, proxy.incarnation, stamp)
        self._send_requests(proxy, connection, requests)

    def _resume_reading(self, proxy: _Proxy, connection: _Connection) -> None:
        connection.stalled = False
        unread, connection.unread = connection.unread, []
        for data in unread:
            self._deliver_response(proxy, connection, data)
        if connection.open:
            self._after_event(connection.instance)

    # --- faults ---------------------------------------------------------------------------------

    def _inject_fault(self) -> None:
        if not self._has_faults():
            self._end_faults()
            return
        rng = self.rng
        instance, proxy = rng.choice(self.instances), rng.choice(self.proxies)
        lasting = rng.randrange(100, 8000) * MS
        kind = rng.choice(
            ("reconnect", "reconnect", "stall", "kill", "cut", "apart", "full", "down", "older", "lost")
        )
        if kind == "reconnect":
            self._disconnect(proxy)
        elif kind == "stall" and proxy.connection is not None:
            connection = proxy.connection
            connection.stalled = True
            self.at(lasting, lambda: self._resume_reading(proxy, connection))
        elif kind == "kill":
            self._kill(instance)
        elif kind == "lost":
            instance.disk.wiped = rng.random() < 0.3 and self.mutation != "silence"
            self._kill(instance)
        elif kind in ("cut", "apart"):
            setattr(instance, kind, True)
            self.at(lasting, lambda: setattr(instance, kind, False))
        elif kind == "full":
            instance.disk.full = True
            self.at(lasting, lambda: setattr(instance.disk, "full", False))
        elif kind == "down":
            self._stop_discovery(lasting, None)
        elif kind == "older" and len(self.lists) > 5:
            self._stop_discovery(lasting, len(self.lists) - rng.randrange(1, 5))
            if rng.random() < 0.5:  # a power failure may affect discovery and an instance together
                self._kill(instance)
        self.at(rng.randrange(50, 1500) * MS, self._inject_fault)

    def _stop_discovery(self, lasting: int, older: int | None) -> None:
        """Have discovery close all watches and return later, at first with the `older` list if given."""
        self.down = True
        for instance in self.instances:
            if instance.watching and instance.core is not None:
                instance.watching = 0
                instance.core.record_discovery_disconnect()

        def back() -> None:
            self.down = False
            if older is not None:
                self.served_version = max(1, older)
                self.checker.older_list_sent = True
                self.at(3 * SECOND, caught_up)

        def caught_up() -> None:
            self.served_version = None
            for instance in self.instances:
                self._send_list(instance, instance.watching)

        self.at(lasting, back)

    def _end_faults(self) -> None:
        self.served_version, self.down = None, False
        for instance in self.instances:
            instance.cut = instance.apart = instance.disk.full = False
            self._send_list(instance, instance.watching)

    def _check_recovery(self) -> None:
        """Check that every proxy that accepts responses has the newest list after the faults."""
        for proxy in self.proxies[:-1]:
            for each in (
                proxy.stand_in.kinds[ASSIGNMENT].resources if ASSIGNMENT in proxy.stand_in.kinds else {}
            ).values():
                stamp = stamp_of(each)
                if stamp != len(self.lists):
                    raise Violation(f"{proxy.name} ended with {stamp}; the newest is {len(self.lists)}")
            if not proxy.stand_in.is_complete():
                raise Violation(f"{proxy.name} ended without routes or the clusters that routes refer to")


MUTATION_NAMES = ("store", "claims", "silence", "floor")


def run(seed: int, folder: Path, mutation: str = "") -> ConsistencyChecker:
    """Run one schedule; raises `Violation` with the seed in its text."""
    try:
        return History(seed, folder, mutation).run()
    except Violation as error:
        raise Violation(f"seed {seed}: {error}") from None


def main() -> int:
    """Run many schedules and return the exit status: 1 if any schedule breaks a rule, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--breakage", choices=MUTATION_NAMES, default="")
    args = parser.parse_args()
    logging.getLogger("brambleusher").setLevel(logging.CRITICAL)
    check_count = broken = 0
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(args.first, args.first + args.seeds):
            try:
                check_count += run(seed, Path(folder), args.breakage).check_count
            except Violation as error:
                broken += 1
                print(error)
    print(f"{args.seeds} schedules, {check_count} views checked, {broken} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
