"""Randomized fault injection for the control plane in virtual time, with operators that race and repeat.

The checker uses only the requests and responses of operators, and the configuration in force at gateways.
Faults stay within the deployment's tolerance: by default one machine fails at a time, and the next fails at
least `sync_s` after the last one or its successor is running. In addition, all machines may lose power at
once and keep their disks.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

from brambleusher.controlplane.storage import segments
from tests.controlplane.consensus.cluster import SafetyViolationError
from tests.system.control_plane_operators import (
    APPLY_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    OperatorRequest,
    Operators,
    content_of,
)
from tests.system.memory_disk import MemoryDisk
from tests.system.virtual_deployment import SECOND, VirtualDeployment, configuration

STEP_S = 0.05
SYNC_S = 4.0
RECOVERY_TIMEOUT_S = 12.0
GRACE_S = 8.0
SHORT_SEGMENT_BYTES = 6 * 1024  # at this segment size a snapshot is written after about five changes


class Day:
    """One randomized run: the system, its operators, and a sequence of faults."""

    def __init__(
        self, seed: int, cores: int = 3, tolerated: int = 1, zones: dict[str, str] | None = None
    ) -> None:
        self.rng = random.Random(f"faults {seed}")
        self.deployment = VirtualDeployment(seed, cores=cores, gateways=2, tolerated=tolerated, zones=zones)
        self.tolerated = tolerated
        self.names = [f"c{at + 1}" for at in range(cores)]
        self.removed: list[str] = []
        self.log: list[str] = []
        self.operators = Operators(self.deployment, self.rng, self._addresses)
        self.next_loss_at = 0.0  # the time from which the deployment must tolerate the next fault
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self._added = cores

    def _addresses(self) -> list[str]:
        """Return the operators' list of controllers, which still contains the last removed controller."""
        return [self.deployment.world.machines[name].ip for name in [*self.names, *self.removed[-1:]]]

    def schedule(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a callback of a fault, after a delay in seconds."""
        self._scheduled.append((self.deployment.now + seconds, call))

    def log_event(self, text: str) -> None:
        """Log an event for the report of a run that violates a safety property."""
        self.log.append(f"{self.deployment.now:7.2f} {text} (leader {self.deployment.leader()})")

    # --- the run ---------------------------------------------------------------------------------

    def run(self, seconds: float = 45.0) -> None:
        """Execute the run; raises `SafetyViolationError`."""
        deployment = self.deployment
        body = configuration(1)
        history, content = self.operators.history, content_of(body)
        history.sent[content] = 1
        deployment.served(body)
        history.acknowledged[1] = history.content_by_revision[1] = content
        self.operators.history.newest = 1
        self.defer_next_loss(0.0)  # machines that have just started do not count as recovered yet
        end = deployment.now + seconds
        while deployment.now < end:
            if deployment.now >= self.next_loss_at:
                self.inject_fault()
            if self.rng.random() < 0.08:
                self.operators.start_random_request()
            self._step()
        self._finish()

    def _step(self) -> None:
        self.deployment.sleep(STEP_S)
        due = [plan for plan in self._scheduled if plan[0] <= self.deployment.now]
        self._scheduled = [plan for plan in self._scheduled if plan[0] > self.deployment.now]
        for _, call in due:
            call()
        self.operators.step()

    def _finish(self) -> None:
        """End all faults, and check that all acknowledged changes are in force everywhere."""
        ends_with_disk_losses = self.rng.random() < 0.6
        while self._scheduled or self.deployment.now < self.next_loss_at - (
            0.0 if ends_with_disk_losses else SYNC_S
        ):
            self._step()
        if ends_with_disk_losses:
            self._lose_disks_after_an_acknowledgement()
        self.log_event("the end")
        back = self.deployment.now
        reads: list[OperatorRequest] = []
        while not any(read.status == 200 for read in reads):
            if self.deployment.now - back > RECOVERY_TIMEOUT_S + REQUEST_TIMEOUT_S:
                raise SafetyViolationError("reads fail after all faults have ended")
            if not reads or reads[-1].status:
                reads.append(self.operators.begin(OperatorRequest("GET", "/api/config")))
            self._step()
        self._check_changes_are_accepted()
        while self.operators.in_progress:
            self._step()
        self.deployment.sleep(max(APPLY_TIMEOUT_S, back + SYNC_S - self.deployment.now))
        for zone in ("n1", "n2"):
            self.operators.check_zone(zone)
        self._check_gateways()

    def _lose_disks_after_an_acknowledgement(self) -> None:
        """Lose the tolerated number of disks right after a response, sometimes with power lost everywhere."""
        base = self.operators.history.newest
        request = self.operators.begin(self.operators.random_change(base, base + 1))
        while not request.status:
            self.deployment.sleep(0.002)
            self.operators.step()
        lost = self.rng.sample(self.names, self.tolerated)
        powered_off = self.names if self.rng.random() < 0.6 else lost
        self.log_event(
            f"{request.status} for {request.revision}, then the disks of {lost}, power of {powered_off}"
        )
        for name in powered_off:
            self._off(name)
        for name in lost:
            self.deployment.disks[name] = MemoryDisk()
        for name in powered_off:
            self.schedule(self.rng.uniform(0.05, 3.0), partial(self._on, name))
        while self._scheduled:
            self._step()

    def _check_changes_are_accepted(self) -> None:
        begun = self.deployment.now
        while True:
            base = self.operators.history.newest
            request = self.operators.begin(self.operators.random_change(base, base + 1))
            while not request.status:
                self._step()
            if request.status == 200:
                return
            if self.deployment.now - begun > RECOVERY_TIMEOUT_S:
                raise SafetyViolationError("change requests fail after all faults have ended")

    def _check_gateways(self) -> None:
        leader = self.deployment.leader()
        if leader is None:
            raise SafetyViolationError("there is no leader after all faults have ended")
        state = self.deployment.controllers[leader].replica.state
        for name, gateway in self.deployment.gateways.items():
            table = gateway.routes
            if table is None or table.revision != state.revision:
                raise SafetyViolationError(f"{name} has another configuration after all faults have ended")
            if gateway.instances.evacuated_zones != frozenset(state.evacuated_zones):
                raise SafetyViolationError(f"{name} has other evacuated zones after all faults have ended")
        for name in self.names:
            other = self.deployment.controllers[name].replica
            if other.state.index != state.index:
                raise SafetyViolationError(f"{name} has not caught up after all faults have ended")

    # --- faults ----------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        """Inject a fault at one random machine or at the tolerated number of machines; prefer the leader."""
        leader = self.deployment.leader()
        names = self.rng.sample(self.names, self.tolerated if self.rng.random() < 0.5 else 1)
        if leader in self.names and leader not in names and self.rng.random() < 0.3:
            names[0] = leader
        kinds = (
            self.faults_of_one_machine()
            if len(names) > 1
            else [*self.faults_of_one_machine(), *self.faults_of_all_machines()]
        )
        for name in names:
            call = self.rng.choice(kinds)
            self.log_event(f"{call.__name__} {name}")
            call(name)

    def faults_of_one_machine(self) -> list[Callable[[str], None]]:
        """Return faults that several machines may have at once."""
        return [
            self.partition,
            self.one_way,
            self.freeze,
            self.power,
            self.lose_disk,
            self.fill_disk,
            self.restart,
            self.reset_connections,
            self.partition_operators,
            self.sudden_replacement,
            self.slow_down_links,
            self.step_clock,
        ]

    def faults_of_all_machines(self) -> list[Callable[[str], None]]:
        """Return faults that are not combined with other faults."""
        return [
            self.planned_replacement,
            self.power_off_all,
            self.partition_halves,
            self.partition_zone,
            self.kill_processes,
        ]

    def defer_next_loss(self, seconds: float) -> None:
        """Allow no further fault for a time in seconds and for `sync_s` after it."""
        self.next_loss_at = max(self.next_loss_at, self.deployment.now + seconds + SYNC_S)

    def partition(self, name: str) -> None:
        """Partition a controller from the others, or from all except operators, for at most 20 seconds."""
        seconds = self.rng.uniform(0.5, 20.0)
        includes_gateways = self.rng.random() < 0.3
        others = [each for each in self.deployment.world.machines if each not in (name, "caller")]
        peers = others if includes_gateways else [each for each in self.names if each != name]
        self._partition([(name, other) for other in peers], seconds)

    def _partition(self, pairs: list[tuple[str, str]], seconds: float, one_way: bool = False) -> None:
        """Partition pairs of machines from each other for a time in seconds."""
        network = self.deployment.world.network
        for one, other in pairs:
            network.partition(one, other, one_way)

        def end_fault() -> None:
            self.log_event("a partition ends")
            for one, other in pairs:
                network.heal(one, other, one_way)

        self.schedule(seconds, end_fault)
        self.defer_next_loss(seconds)

    def one_way(self, name: str) -> None:
        """Partition a controller in one direction: it can only send, or only receive."""
        seconds = self.rng.uniform(0.5, 10.0)
        outwards = self.rng.random() < 0.5
        pairs = [(name, each) if outwards else (each, name) for each in self.names if each != name]
        self._partition(pairs, seconds, one_way=True)

    def freeze(self, name: str) -> None:
        """Freeze the process for a while; it then continues without a restart."""
        seconds = self.rng.uniform(0.2, 20.0)
        self.deployment.process(name).stall(int(seconds * SECOND))
        self.defer_next_loss(seconds)

    def power(self, name: str) -> None:
        """Power off the machine for a while; its disk is kept."""
        seconds = self.rng.uniform(0.1, 6.0)
        self._off(name)
        self.schedule(seconds, partial(self._on, name))
        self.defer_next_loss(seconds)

    def _off(self, name: str) -> None:
        if not self.deployment.world.machines[name].has_vanished:
            self.deployment.power_off(name, nothing_unsynced=self.rng.random() < 0.5)

    def _on(self, name: str) -> None:
        if name in self.names and self.deployment.world.machines[name].has_vanished:
            self.deployment.power_on(name)

    def lose_disk(self, name: str) -> None:
        """Lose the disk of a machine; sometimes all other machines lose power at the same time."""
        seconds = self.rng.uniform(0.1, 3.0)
        self._off(name)
        self.deployment.disks[name] = MemoryDisk()
        others_lose_power = self.tolerated == 1 and self.rng.random() < 0.3
        others = [each for each in self.names if each != name] if others_lose_power else []
        for other in others:
            self._off(other)
        for each in [name, *others]:
            self.schedule(self.rng.uniform(0.1, seconds + 0.1), partial(self._on, each))
        self.defer_next_loss(seconds + 0.1)

    def fill_disk(self, name: str) -> None:
        """Make the disk full for a while."""
        seconds = self.rng.uniform(0.5, 8.0)
        disk = self.deployment.disks[name]
        disk.full = True

        def free() -> None:
            disk.full = False

        self.schedule(seconds, free)
        self.defer_next_loss(seconds)

    def restart(self, name: str) -> None:
        """Send SIGTERM, and start the process again once it has ended."""
        self.deployment.process(name).signal(15)

        def start() -> None:
            if name in self.names and not self.deployment.process(name).dead:
                self.schedule(0.1, start)
            else:
                self._start_again(name)

        self.schedule(0.5, start)
        self.defer_next_loss(GRACE_S)

    def _add(self) -> str:
        self._added += 1
        name = f"c{self._added}"
        self.deployment.seeds = [f"{self.deployment.world.machines[each].ip}:8166" for each in self.names[:3]]
        self.deployment.add_core(name, f"10.1.0.{self._added}")
        self.names.append(name)
        return name

    def planned_replacement(self, name: str) -> None:
        """Add the successor first, then send SIGTERM; remove the machine once the process has ended.

        The machine counts as a fault only until the successor is synced; the next fault may follow
        immediately.
        """
        self._add()
        begun = self.deployment.now
        seconds = self.rng.uniform(0.5, 6.0)

        def send_sigterm() -> None:
            self.log_event(f"{name} gets SIGTERM")
            if name in self.deployment.controllers and not self.deployment.process(name).dead:
                self.deployment.process(name).signal(15)
            self.schedule(0.1, remove)

        def remove() -> None:
            if self.deployment.process(name).dead or self.deployment.now > begun + seconds + GRACE_S:
                self.log_event(f"{name} is removed")
                self._remove(name)
            else:
                self.schedule(0.05, remove)

        self.schedule(seconds, send_sigterm)
        self.next_loss_at = max(begun + SYNC_S, begun + seconds) + self.rng.uniform(0.02, 2.0)

    def _remove(self, name: str) -> None:
        self.deployment.power_off(name)
        if name in self.names:
            self.names.remove(name)
            self.removed.append(name)

    def sudden_replacement(self, name: str) -> None:
        """Remove a machine without notice, and add a successor a second later."""
        self._remove(name)
        self.schedule(1.0, lambda: self.log_event(f"{self._add()} is added"))
        self.defer_next_loss(1.0)

    def slow_down_links(self, name: str) -> None:
        """Delay messages, so that later messages over new connections overtake them."""
        seconds = self.rng.uniform(0.5, 8.0)
        network = self.deployment.world.network
        others = [each for each in self.names if each != name]
        for other in others:
            network.set_link_latency(name, other, int(self.rng.uniform(0.05, 1.5) * SECOND))

        def end_fault() -> None:
            for other in others:
                network.set_link_latency(name, other, 0)

        self.schedule(seconds, end_fault)
        self.reset_connections(name)
        self.defer_next_loss(seconds)

    def step_clock(self, name: str) -> None:
        """Step the wall clock and later step it back; the process is killed in between."""
        machine = self.deployment.world.machines[name]
        by_ns = int(self.rng.uniform(-8.0, 8.0) * SECOND)
        machine.shift_wall(by_ns)
        self.schedule(1.0, partial(self._kill, name))
        self.schedule(3.0, lambda: machine.shift_wall(-by_ns))
        self.defer_next_loss(3.0)

    def _kill(self, name: str) -> None:
        if name in self.names and not self.deployment.process(name).dead:
            self.deployment.process(name).kill()
            self.schedule(self.rng.uniform(0.1, 1.0), partial(self._start_again, name))

    def power_off_all(self, name: str) -> None:
        """Power off all controllers at once, for at most two seconds."""
        for each in self.names:
            self._off(each)
            self.schedule(self.rng.uniform(0.1, 2.0), partial(self._on, each))
        self.defer_next_loss(2.0)

    def reset_connections(self, name: str) -> None:
        """Reset all connections of a machine, from one to four times."""
        machine = self.deployment.world.machines[name]

        def reset() -> None:
            for connection in self.deployment.world.network.connections(machine):
                self.deployment.world.network.reset(connection)

        for _ in range(self.rng.randrange(1, 5)):
            self.schedule(self.rng.uniform(0.0, 2.0), reset)
        self.defer_next_loss(2.0)

    def partition_operators(self, name: str) -> None:
        """Delay operators' requests to a machine until the operators have retried at others."""
        seconds = self.rng.uniform(0.5, 6.0)
        network = self.deployment.world.network
        network.partition("caller", name)
        self.schedule(seconds, lambda: network.heal("caller", name))
        self.defer_next_loss(0.0)

    def partition_zone(self, name: str) -> None:
        """Partition a controller and the gateways of its zone from all others, but not from clients."""
        seconds = self.rng.uniform(0.5, 12.0)
        zone = self.deployment.controllers[name].settings.zone
        inside = [
            name,
            *(each for each, gateway in self.deployment.gateways.items() if gateway.settings.zone == zone),
        ]
        outside = [each for each in self.deployment.world.machines if each not in (*inside, "caller")]
        self._partition([(one, other) for one in inside for other in outside], seconds)

    def kill_processes(self, name: str) -> None:
        """Kill and restart one or all controller processes; their disks keep all written data."""
        for each in self.names if self.rng.random() < 0.5 else [name]:
            self._kill(each)
        self.defer_next_loss(1.0)

    def _start_again(self, name: str) -> None:
        if (
            name in self.names
            and not self.deployment.world.machines[name].has_vanished
            and self.deployment.process(name).dead
        ):
            self.deployment.start_core(name)

    def partition_halves(self, name: str) -> None:
        """Partition the controllers into two halves for a time."""
        seconds = self.rng.uniform(0.5, 10.0)
        half = self.rng.sample(self.names, len(self.names) // 2)
        self._partition([(one, other) for one in half for other in self.names if other not in half], seconds)


@contextmanager
def short_segments(size: int) -> Iterator[None]:
    """Reduce the segment size, so that snapshots are written after a few changes instead of hundreds."""
    original_size, segments.SEGMENT_BYTES = segments.SEGMENT_BYTES, size
    try:
        yield
    finally:
        segments.SEGMENT_BYTES = original_size


def play(seed: int, cores: int = 3, tolerated: int = 1, zones: dict[str, str] | None = None) -> None:
    """Execute one run, for odd seeds with short segments; raises `SafetyViolationError` with the log."""
    with short_segments(SHORT_SEGMENT_BYTES if seed % 2 else segments.SEGMENT_BYTES):
        day = Day(seed, cores, tolerated, zones)
        try:
            day.run()
        except SafetyViolationError as error:
            raise SafetyViolationError(f"seed {seed}: {error}\n" + "\n".join(day.log)) from error
        finally:
            day.deployment.close()
