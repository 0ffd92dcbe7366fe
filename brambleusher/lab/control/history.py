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
HEARTBEAT, SILENCE = 2 * SECOND, 3 * SECOND
NODES, PROXIES, INSTANCES = 6, 4, 2
# No instance may send a list superseded for longer than this time, in nanoseconds: it covers the discovery
# timeout, requests between instances, and network delays.
LATE = 6 * SECOND
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


class Books:
    """Checks the versions that proxies accept and instances send against the consistency rules."""

    def __init__(self) -> None:
        self.accepted: dict[tuple[str, int], int] = {}  # newest accepted version, by proxy and incarnation
        self.sent: dict[str, int] = {}  # newest sent version by instance, kept over the instance's restarts
        self.current = 0
        self.superseded: dict[int, int] = {}  # time at which each version stopped being the newest
        self.older_told = False  # discovery sent an older list, which instances can't recognize as outdated
        self.judged = 0

    def change(self, version: int, now: int) -> None:
        """Record that discovery has a new version."""
        self.superseded[self.current] = now
        self.current = version

    def sends(self, instance: str, data_stamp: int, now: int) -> None:
        """Check an assignment that an instance sends; raises `Violation`."""
        self.judged += 1
        if data_stamp < self.sent.get(instance, 0):
            raise Violation(f"{instance} sent {data_stamp} after {self.sent[instance]}")
        self.sent[instance] = data_stamp
        if not self.older_told and now - self.superseded.get(data_stamp, now) > LATE:
            raise Violation(f"{instance} sent {data_stamp}, which was superseded for too long")

    def accepts(self, proxy: str, life: int, stamp: int) -> None:
        """Check an assignment that a proxy accepts; raises `Violation`."""
        self.judged += 1
        before = self.accepted.get((proxy, life), 0)
        if stamp < before:
            raise Violation(f"{proxy} was given {stamp} after it had accepted {before}")
        self.accepted[proxy, life] = stamp


@dataclass
class _Disk:
    """Disk contents of a control instance, which survive its restarts."""

    place: ViewPosition | None = None
    full: bool = False
    lost: bool = False


@dataclass
class _Instance:
    name: str
    config: ControlConfig
    disk: _Disk = field(default_factory=_Disk)
    core: Core | None = None
    life: int = 0
    watching: int = 0  # number of the open watch; 0 without one
    cut: bool = False  # partitioned from discovery
    apart: bool = False  # partitioned from the other instance
    heard: int = 0
    writing: bool = False


@dataclass
class _Link:
    """A stream between a proxy and a control instance."""

    instance: _Instance
    instance_life: int
    stream: Stream
    open: bool = True
    stalled: bool = False
    held: list[bytes] = field(default_factory=list)  # responses not yet read because the stream is stalled
    down_at: int = 0
    up_at: int = 0


class _Proxy:
    def __init__(self, name: str, incremental: bool, verdict: Callable[[str, list[Any]], str | None]) -> None:
        self.stand_in = ProxyStandIn(name, "z", incremental, verdict=verdict)
        self.name, self.life = name, 0
        self.link: _Link | None = None


def accepts_all(kind: str, resources: list[Any]) -> str | None:
    """Return the verdict of a proxy that accepts every response."""
    return None


def refuses_all(kind: str, resources: list[Any]) -> str | None:
    """Return the verdict of a proxy that rejects every response."""
    return "rejected unconditionally"


class _Forgetful(DiscoveredEndpoints):
    """Endpoint list of the `floor` breakage, which accepts older versions from discovery."""

    def update(self, update: EndpointListUpdate) -> Mapping[str, Endpoint | None] | None:
        self.version = None
        return super().update(update)


class History:
    """A random schedule of events for the control service, drawn from a seed."""

    def __init__(self, seed: int, folder: Path, breakage: str = "") -> None:
        self.rng = random.Random(seed)
        self.books, self.breakage = Books(), breakage
        self.now = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._watches = 0
        self.lists: list[dict[str, Endpoint]] = []
        self.serves: int | None = None  # older version sent by discovery; None for the newest
        self.down = False
        names = [f"control-{at}" for at in range(INSTANCES)]
        self.instances = [_Instance(name, configuration(name, folder)) for name in names]
        self.proxies = [
            _Proxy(f"proxy-{at}", bool(at % 2), refuses_all if at == PROXIES - 1 else accepts_all)
            for at in range(PROXIES)
        ]

    # --- time -----------------------------------------------------------------------------------

    def at(self, delay: int, call: Callable[[], None]) -> None:
        """Schedule a call after `delay` nanoseconds."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, call))

    def run(self) -> Books:
        """Run the whole schedule; raises `Violation`."""
        self._change()
        for instance in self.instances:
            self._start(instance)
        for proxy in self.proxies:
            self.at(self.rng.randrange(SECOND), partial(self._connect, proxy))
        self.at(self.rng.randrange(SECOND), self._trouble)
        self._every(300 * MS, self._changes)
        self._every(250 * MS, self._ticks)
        self._every(500 * MS, self._words)
        self._every(HEARTBEAT, self._heartbeats)
        while self._events and self._events[0][0] <= END:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self._well_again()
        return self.books

    def _every(self, period: int, call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.at(period, again)

        self.at(period, again)

    def _faulty(self) -> bool:
        return self.now < FAULTS_UNTIL

    # --- discovery ------------------------------------------------------------------------------

    def _change(self) -> None:
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
        self.books.change(version, self.now)

    def _changes(self) -> None:
        if self.now < END - 10 * SECOND and self.rng.random() < 0.5:
            self._change()
            for instance in self.instances:
                self._tell(instance, instance.watching)

    def _tell(self, instance: _Instance, watch: int) -> None:
        """Send the whole newest list to one watch, even if unchanged."""
        if self.down or instance.cut or not watch:
            return
        version = self.serves or len(self.lists)
        update = EndpointListUpdate(version, True, tuple(self.lists[version - 1].values()))

        def arrive() -> None:
            core = instance.core
            if core is not None and instance.watching == watch and not instance.cut:
                instance.heard = self.now
                core.record_endpoint_list(update, self.now)
                self._after(instance)

        self.at(self.rng.randrange(1, 50) * MS, arrive)

    def _heartbeats(self) -> None:
        for instance in self.instances:
            core = instance.core
            if core is None:
                continue
            if instance.watching and not instance.cut and not self.down:
                instance.heard = self.now
                core.record_discovery_contact(self.now)
                self._after(instance)
            elif not instance.watching and not instance.cut and not self.down:
                self._watch(instance)

    def _watch(self, instance: _Instance) -> None:
        self._watches += 1
        instance.watching, instance.heard = self._watches, self.now
        self._tell(instance, instance.watching)

    # --- instances ------------------------------------------------------------------------------

    def _start(self, instance: _Instance) -> None:
        disk = instance.disk
        floor = None if disk.lost or self.breakage == "store" else disk.place
        if disk.lost:  # only its subscribers still know what the instance sent before
            self.books.sent.pop(instance.name, None)
        disk.lost = False
        instance.life += 1
        instance.core = Core(
            instance.config, floor, self.now, seed=instance.life, is_floor_certain=self.breakage == "store"
        )
        if self.breakage == "claims":
            instance.core.view_consistency.record_subscriber_position = lambda position: None  # type: ignore[method-assign]
        if self.breakage == "silence":
            instance.core.view_consistency.is_discovery_connected = lambda now: True  # type: ignore[method-assign]
        if self.breakage == "floor":
            instance.core.discovered = _Forgetful()
            instance.core.view_consistency._raise_floor = lambda position: None  # type: ignore[method-assign]
        instance.writing = False
        self._watch(instance)

    def _kill(self, instance: _Instance) -> None:
        if instance.core is None:
            return
        instance.core, instance.watching = None, 0
        for proxy in self.proxies:
            if proxy.link is not None and proxy.link.instance is instance:
                self._disconnect(proxy)
        self.at(self.rng.randrange(100, 4000) * MS, lambda: self._start(instance))

    def _ticks(self) -> None:
        for instance in self.instances:
            core = instance.core
            if core is None:
                continue
            if instance.watching and self.now - instance.heard > SILENCE:
                instance.watching = 0
                core.record_discovery_disconnect()
            core.tick(self.now)
            self._after(instance)

    def _words(self) -> None:
        one, other = self.instances
        for asks, told in ((one, other), (other, one)):
            if asks.core is None or told.core is None or asks.apart or told.apart:
                continue
            asked, life = self.now, asks.life

            def arrive(
                asks: _Instance = asks, told: _Instance = told, asked: int = asked, life: int = life
            ) -> None:
                if asks.core is not None and asks.life == life and told.core is not None:
                    asks.core.record_peer_status(told.name, told.core.peer_status(self.now), asked)
                    self._after(asks)

            self.at(self.rng.randrange(1, 100) * MS, arrive)

    def _after(self, instance: _Instance) -> None:
        """Write the position if due and send pending responses, as a core's owner does after each event."""
        core = instance.core
        if core is None:
            return
        place = core.position_to_write()
        if place is not None and not instance.writing:
            self._write(instance, place)
        for proxy in self.proxies:
            link = proxy.link
            if link is not None and link.instance is instance and link.open:
                self._send(proxy, link)

    def _write(self, instance: _Instance, place: ViewPosition) -> None:
        instance.writing, life = True, instance.life

        def done() -> None:
            fails = instance.disk.full
            if not fails:  # a write from before a restart may still succeed
                instance.disk.place = max(place, instance.disk.place or place)
            if instance.life == life and instance.core is not None:
                instance.writing = False
                if fails:
                    instance.core.record_write_failure(self.now)
                    self.at(500 * MS, lambda: self._after(instance))
                else:
                    instance.core.record_written(place, self.now)
                self._after(instance)

        self.at(self.rng.randrange(1, 20) * MS, done)

    def _send(self, proxy: _Proxy, link: _Link) -> None:
        core = link.instance.core
        assert core is not None
        while not link.held and (response := core.next_response(link.stream, self.now)) is not None:
            if response.kind == ASSIGNMENT:
                for resource in response.resources:
                    stamp = stamp_of(endpoint_pb2.ClusterLoadAssignment.FromString(resource.body))
                    # With a full disk, updates that only remove nodes are sent before they are written.
                    if stamp is not None and not link.instance.disk.full:
                        self.books.sends(link.instance.name, stamp, self.now)
            link.down_at = max(link.down_at, self.now) + self.rng.randrange(1, 30) * MS
            self.at(link.down_at - self.now, partial(self._deliver, proxy, link, response.data))

    # --- proxies --------------------------------------------------------------------------------

    def _connect(self, proxy: _Proxy) -> None:
        instance = self.rng.choice(self.instances)
        if instance.core is None:
            self.at(200 * MS, lambda: self._connect(proxy))
            return
        forget = proxy.life == 0 or self.rng.random() < 0.2
        proxy.life += forget
        stream = instance.core.open_stream(None, proxy.stand_in.incremental, self.now)
        proxy.link = _Link(instance, instance.life, stream)
        self._ask(proxy, proxy.link, proxy.stand_in.connect(forget))

    def _disconnect(self, proxy: _Proxy) -> None:
        link = proxy.link
        if link is None or not link.open:
            return
        link.open = False
        if link.instance.core is not None and link.instance.life == link.instance_life:
            link.instance.core.close_stream(link.stream)
        proxy.link = None
        self.at(self.rng.randrange(10, 2000) * MS, lambda: self._connect(proxy))

    def _ask(self, proxy: _Proxy, link: _Link, requests: list[bytes]) -> None:
        for data in requests:
            link.up_at = max(link.up_at, self.now) + self.rng.randrange(1, 30) * MS
            self.at(link.up_at - self.now, partial(self._arrive, proxy, link, data))

    def _arrive(self, proxy: _Proxy, link: _Link, data: bytes) -> None:
        instance = link.instance
        if not link.open or instance.core is None or instance.life != link.instance_life:
            return
        request, who = decode_request(data, proxy.stand_in.incremental)
        try:
            instance.core.handle_request(link.stream, request, who, self.now)
        except ProtocolError as error:
            raise Violation(f"a valid request of a proxy was rejected: {error}") from None
        self._after(instance)

    def _deliver(self, proxy: _Proxy, link: _Link, data: bytes) -> None:
        if not link.open:
            return
        if link.stalled or link.held:
            link.held.append(data)
            return
        requests = proxy.stand_in.receive(data)
        held = proxy.stand_in.kinds.get(ASSIGNMENT)
        for each in held.resources.values() if held is not None else ():
            stamp = stamp_of(each)
            if stamp is not None:
                self.books.accepts(proxy.name, proxy.life, stamp)
        self._ask(proxy, link, requests)

    def _resume(self, proxy: _Proxy, link: _Link) -> None:
        link.stalled = False
        held, link.held = link.held, []
        for data in held:
            self._deliver(proxy, link, data)
        if link.open:
            self._after(link.instance)

    # --- faults ---------------------------------------------------------------------------------

    def _trouble(self) -> None:
        if not self._faulty():
            self._mend()
            return
        rng = self.rng
        instance, proxy = rng.choice(self.instances), rng.choice(self.proxies)
        lasting = rng.randrange(100, 8000) * MS
        kind = rng.choice(
            ("reconnect", "reconnect", "stall", "kill", "cut", "apart", "full", "down", "older", "lost")
        )
        if kind == "reconnect":
            self._disconnect(proxy)
        elif kind == "stall" and proxy.link is not None:
            link = proxy.link
            link.stalled = True
            self.at(lasting, lambda: self._resume(proxy, link))
        elif kind == "kill":
            self._kill(instance)
        elif kind == "lost":
            instance.disk.lost = rng.random() < 0.3 and self.breakage != "silence"
            self._kill(instance)
        elif kind in ("cut", "apart"):
            setattr(instance, kind, True)
            self.at(lasting, lambda: setattr(instance, kind, False))
        elif kind == "full":
            instance.disk.full = True
            self.at(lasting, lambda: setattr(instance.disk, "full", False))
        elif kind == "down":
            self._down(lasting, None)
        elif kind == "older" and len(self.lists) > 5:
            self._down(lasting, len(self.lists) - rng.randrange(1, 5))
            if rng.random() < 0.5:  # as in a power failure that affects both discovery and an instance
                self._kill(instance)
        self.at(rng.randrange(50, 1500) * MS, self._trouble)

    def _down(self, lasting: int, older: int | None) -> None:
        """Have discovery close all watches and return later, at first with the `older` list if given."""
        self.down = True
        for instance in self.instances:
            if instance.watching and instance.core is not None:
                instance.watching = 0
                instance.core.record_discovery_disconnect()

        def back() -> None:
            self.down = False
            if older is not None:
                self.serves = max(1, older)
                self.books.older_told = True
                self.at(3 * SECOND, caught_up)

        def caught_up() -> None:
            self.serves = None
            for instance in self.instances:
                self._tell(instance, instance.watching)

        self.at(lasting, back)

    def _mend(self) -> None:
        self.serves, self.down = None, False
        for instance in self.instances:
            instance.cut = instance.apart = instance.disk.full = False
            self._tell(instance, instance.watching)

    def _well_again(self) -> None:
        """Check that every proxy that accepts responses has the newest list after the faults."""
        for proxy in self.proxies[:-1]:
            for each in (
                proxy.stand_in.kinds[ASSIGNMENT].resources if ASSIGNMENT in proxy.stand_in.kinds else {}
            ).values():
                stamp = stamp_of(each)
                if stamp != len(self.lists):
                    raise Violation(f"{proxy.name} ended with {stamp}; the newest is {len(self.lists)}")
            if not proxy.stand_in.complete():
                raise Violation(f"{proxy.name} ended without routes or the clusters that routes refer to")


BREAKAGES = ("store", "claims", "silence", "floor")


def run(seed: int, folder: Path, breakage: str = "") -> Books:
    """Run one schedule; raises `Violation` with the seed in its text."""
    try:
        return History(seed, folder, breakage).run()
    except Violation as error:
        raise Violation(f"seed {seed}: {error}") from None


def main() -> int:
    """Run many schedules and return the exit status: 1 if any schedule breaks a rule, else 0."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--seeds", type=int, default=200)
    words.add_argument("--first", type=int, default=0)
    words.add_argument("--breakage", choices=BREAKAGES, default="")
    given = words.parse_args()
    logging.getLogger("brambleusher").setLevel(logging.CRITICAL)
    judged = broken = 0
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(given.first, given.first + given.seeds):
            try:
                judged += run(seed, Path(folder), given.breakage).judged
            except Violation as error:
                broken += 1
                print(error)
    print(f"{given.seeds} schedules, {judged} views checked, {broken} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
