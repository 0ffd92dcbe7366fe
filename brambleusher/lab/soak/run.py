"""Plays one soak: assembles its parts, carries out its plan, and inspects the final state."""

from __future__ import annotations

import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from pathlib import Path

from brambleusher.lab.soak.checks import check
from brambleusher.lab.soak.clients import Client, Clients, registry_addresses
from brambleusher.lab.soak.instances import PlatformList, SoakInstance
from brambleusher.lab.soak.operator import SERVICES, Operator
from brambleusher.lab.soak.plan import CHANGES, ActionKind, ScheduledAction, SoakPlanner
from brambleusher.lab.soak.processes import Processes
from brambleusher.lab.soak.records import (
    ChangeEvent,
    ClientAct,
    DrainStart,
    InstanceFaultInterval,
    RequestKind,
    RequestRecord,
    SoakRecord,
)
from brambleusher.lab.soak.settings import (
    CONTROL_PORT,
    FRONT_PORT,
    METRICS_PATH,
    METRICS_PORT,
    READY_PORT,
    SIDECAR_PORT,
    SoakSettings,
)
from brambleusher.lab.soak.sidecars import SidecarDiscovery
from brambleusher.lab.soak.violations import Violation
from brambleusher.lab.soak.wires import GatewayWire, SidecarWire
from brambleusher.runtime.http_client import HttpClient, HttpRequestError
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler, Task
from brambleusher.runtime.system import Address

START_TIMEOUT_S = 90.0  # how long processes may take to become ready, as many start at once on one machine
RECOVERY_TIMEOUT_S = 30.0  # how long all processes may take to be ready again after the last action
QUIET_PERIOD_S = 6.0  # the pause before the final state is inspected; longer than any request
REQUEST_TIMEOUT_S = 1.0
POLL_S = 0.1
STALL_CHECK_S = 0.02  # the interval of checks whether the soak itself stalled
LATENESS_MIN_S = 0.01
SIDECAR_CLIENTS = 6  # the number of clients of each sidecar
LAST_REQUESTS = 4  # the number of final requests to each gateway, after all faults have ended


class SoakError(Exception):
    """A soak could not be played."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of one soak."""

    settings: SoakSettings
    violations: list[Violation]
    record: SoakRecord
    actions: int
    took_s: float

    def _late_s(self) -> float:
        return sum(until_s - since_s for since_s, until_s in self.record.own_stalls)

    def summary(self) -> str:
        """Return the result as one line."""
        outcomes = Counter(request.outcome.value for request in self.record.requests)
        complete = [request for request in self.record.requests if request.status]
        served = sum(request.status == HTTPStatus.OK for request in complete)
        counts = ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items()))
        verdict = f"{len(self.violations)} broken" if self.violations else "no rule broken"
        return (
            f"seed {self.settings.seed}: {verdict}; {self.actions} actions, "
            f"{len(self.record.requests)} requests ({counts}), 200 for {served} of {len(complete)}, "
            f"{len(self.record.changes)} changes, {self.took_s:.0f} s, late itself for {self._late_s():.1f} s"
        )


def play(settings: SoakSettings, folder: Path | None = None) -> SoakResult:
    """Play one soak; `folder` receives the settings and logs of its processes.

    Raises:
        SoakError: The system did not start or recover in time, or the folder is not empty.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise SoakError(f"{folder} is not empty")
        return _SoakRun(settings, folder).play()
    with tempfile.TemporaryDirectory(prefix="brambleusher-soak-") as temporary:
        return _SoakRun(settings, Path(temporary)).play()


class _SoakRun:
    """The parts and the state of one soak in progress."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self._settings = settings
        self._scheduler = Scheduler(RealSystem())
        self._begun_s = time.monotonic()
        self._record = SoakRecord()
        rng = random.Random(f"traffic {settings.seed}")
        self._processes = Processes(self._scheduler, self._now, self._record, settings, folder)
        self._instances = self._make_instances(settings.instance_names, 3)
        self._endpoints = self._make_instances(settings.endpoint_names, 6)
        # Services get the instances in turn; sorting these by zone gives each service some in every zone.
        listed = sorted(self._instances.values(), key=lambda instance: instance.zone)
        self._platform = PlatformList(self._scheduler, self._processes.platform_ip, listed, list(SERVICES))
        self._discovery = SidecarDiscovery(self._scheduler, settings.ip(7, 1), list(self._endpoints.values()))
        ips = {name: process.ip for name, process in self._processes.by_name.items()}
        controllers = {name: ips[name] for name in settings.controller_names}
        self._gateways = {name: ips[name] for name in settings.gateway_names}
        fronts = {f"{ip}:{FRONT_PORT}": name for name, ip in self._gateways.items()}
        registries = registry_addresses(list(controllers.values()))
        self._clients = Clients(self._scheduler, self._now, self._record, rng, registries, fronts)
        addresses: dict[str, Address] = {name: (ip, CONTROL_PORT) for name, ip in controllers.items()}
        self._operator = Operator(self._scheduler, self._now, self._record, rng, addresses)
        self._changes: list[Task] = []
        self._failure: Exception | None = None
        self._handlers: dict[ActionKind, Callable[[ScheduledAction], None]] = {
            ActionKind.TERMINATE: lambda action: self._processes.terminate(action.target),
            ActionKind.KILL: lambda action: self._processes.kill(action.target),
            ActionKind.RELOAD: lambda action: self._processes.reload(action.target),
            ActionKind.CHANGE_CONFIGURATION: lambda _action: self._begin_change(self._operator.change),
            ActionKind.RACE_CONFIGURATION: lambda _action: self._begin_change(self._operator.race),
            ActionKind.EVACUATE_ZONE: lambda action: self._evacuate(action, is_restored=False),
            ActionKind.RESTORE_ZONE: lambda action: self._evacuate(action, is_restored=True),
            ActionKind.HOLD_UP_RESTORE: lambda action: self._begin_change(
                lambda: self._operator.restore_over_held_up_link(action.target, action.duration_s)
            ),
            ActionKind.DISCONNECT_CLIENTS: self._disconnect_clients,
        }

    def _now(self) -> float:
        return time.monotonic() - self._begun_s

    def _make_instances(self, names: list[str], machine_class: int) -> dict[str, SoakInstance]:
        settings = self._settings
        instances = {}
        for number, name in enumerate(names, 1):
            zone, ip = settings.zone_of(number), settings.ip(machine_class, number)
            instances[name] = SoakInstance(self._scheduler, self._now, self._record, name, zone, ip)
        return instances

    def play(self) -> SoakResult:
        """Play the soak to its end and return its result."""
        actions = SoakPlanner(self._settings).plan()
        self._scheduler.spawn(self._play, actions, name="soak")
        try:
            self._scheduler.run()
        finally:
            self._processes.stop()
            self._platform.close()
            self._discovery.close()
            for instance in (*self._instances.values(), *self._endpoints.values()):
                instance.close()
            self._scheduler.close()
        if self._failure is not None:
            raise self._failure
        self._record.faulty_log_lines = self._processes.faulty_log_lines()
        violations = check(self._record, self._settings.departed_s)
        return SoakResult(self._settings, violations, self._record, len(actions), self._now())

    def _play(self, actions: list[ScheduledAction]) -> None:
        try:
            self._start()
            self._execute_plan(actions)
            self._await_recovery()
            self._inspect_final_state()
        except Exception as error:
            self._failure = error
        finally:
            self._scheduler.stop()

    # --- phases of the soak -----------------------------------------------------------------------

    def _start(self) -> None:
        self._processes.start()
        self._scheduler.spawn(self._record_own_stalls, name="own lateness")
        if not self._operator.change():
            self._wait(
                self._operator.change, START_TIMEOUT_S, "no controller acknowledged the first configuration"
            )
        self._wait(self._are_all_ready, START_TIMEOUT_S, "not all gateways are ready")
        self._clients.start(self._settings.clients)
        for name in self._settings.sidecar_names:
            address = f"{self._processes.by_name[name].ip}:{SIDECAR_PORT}"
            self._clients.start_sidecar_clients(address, name, SIDECAR_CLIENTS, SidecarWire())

    def _record_own_stalls(self) -> None:
        """Record when this process stalled, since it observed events late at those times."""
        while True:
            since_s = self._now()
            self._scheduler.sleep(STALL_CHECK_S)
            if self._now() - since_s > STALL_CHECK_S + LATENESS_MIN_S:
                self._record.own_stalls.append((since_s + STALL_CHECK_S, self._now()))

    def _execute_plan(self, actions: list[ScheduledAction]) -> None:
        begun_s = self._scheduler.now()
        for action in actions:
            self._scheduler.sleep(max(0.0, begun_s + action.at_s - self._scheduler.now()))
            handler = self._handlers.get(action.kind, self._fail_instance)
            if action.kind in CHANGES:
                self._record.change_events.append(ChangeEvent(action.kind.value, self._now()))
            handler(action)
        self._scheduler.sleep(max(0.0, begun_s + self._settings.duration_s - self._scheduler.now()))

    def _await_recovery(self) -> None:
        """Wait until all changes have ended and all processes are ready, then end the traffic."""
        self._await_changes()
        for zone in self._settings.zone_names:
            self._begin_change(partial(self._operator.evacuate, zone, is_restored=True))
        self._await_changes()
        self._wait(
            self._are_all_ready, RECOVERY_TIMEOUT_S, "not all gateways were ready after the last action"
        )
        self._clients.is_stopped = True
        self._wait(lambda: not self._clients.running, RECOVERY_TIMEOUT_S, "clients did not end")
        self._scheduler.sleep(QUIET_PERIOD_S)

    def _await_changes(self) -> None:
        self._wait(
            lambda: all(task.done for task in self._changes), RECOVERY_TIMEOUT_S, "changes did not end"
        )

    def _inspect_final_state(self) -> None:
        record = self._record
        for name in self._settings.controller_names:
            self._wait(
                partial(self._answers_read, name),
                RECOVERY_TIMEOUT_S,
                f"{name} did not return its configuration",
            )
        record.final_usages = [
            use for process in self._processes.by_name.values() if (use := process.measure_usage())
        ]
        for name, ip in self._gateways.items():
            record.final_statuses[name] = [self._last_request(name, ip) for _ in range(LAST_REQUESTS)]
            record.final_metrics[name] = self._metrics(ip)

    def _answers_read(self, controller: str) -> bool:
        return self._operator.read(controller) is not None

    def _last_request(self, name: str, ip: str) -> int:
        request = RequestRecord(f"last {name}", RequestKind.READ, name, self._now())
        client = Client(self._scheduler, self._now, random.Random(0), GatewayWire())
        if client.connect((ip, FRONT_PORT), name):
            client.request(request, None)
        client.close()
        return request.status

    # --- actions ----------------------------------------------------------------------------------

    def _begin_change(self, change: Callable[[], object]) -> None:
        self._changes.append(self._scheduler.spawn(change, name="change"))

    def _evacuate(self, action: ScheduledAction, is_restored: bool) -> None:
        self._begin_change(lambda: self._operator.evacuate(action.target, is_restored))

    def _disconnect_clients(self, action: ScheduledAction) -> None:
        self._clients.disconnects_until_s = self._now() + action.duration_s
        self._clients.act = ClientAct(action.target) if action.target else None

    def _fail_instance(self, action: ScheduledAction) -> None:
        target = self._instances.get(action.target) or self._endpoints[action.target]
        names = {
            ActionKind.HANG_INSTANCE: "hangs",
            ActionKind.RESET_INSTANCE: "resets",
            ActionKind.BREAK_STREAMS: "breaks_streams",
            ActionKind.REJECT_INSTANCE: "rejects",
            ActionKind.SLOW_INSTANCE: "is_slow",
            ActionKind.DRAIN_INSTANCE: "drains",
        }
        name = names[action.kind]
        self._set_fault(target, name, True)
        since_s = self._now()
        interval = InstanceFaultInterval(target.name, action.kind.value, since_s, since_s + action.duration_s)
        self._record.fault_intervals.append(interval)
        until = self._scheduler.now() + action.duration_s
        self._scheduler.call_at(until, lambda: self._set_fault(target, name, False))

    def _set_fault(self, instance: SoakInstance, name: str, value: bool) -> None:
        setattr(instance.faults, name, value)
        if name == "drains" and value:
            self._record.drains.append(DrainStart(instance.id, self._now()))
        elif name == "drains":
            instance.restart()
        self._discovery.update()

    # --- requests to the system -------------------------------------------------------------------

    def _wait(self, condition: Callable[[], bool], seconds: float, what: str) -> None:
        until = self._scheduler.now() + seconds
        while not condition():
            if self._scheduler.now() > until:
                raise SoakError(f"{what} within {seconds:g} s")
            self._scheduler.sleep(POLL_S)

    def _get(self, address: Address, path: str) -> tuple[int, bytes]:
        client = HttpClient(self._scheduler, address)
        try:
            return client.get(path, REQUEST_TIMEOUT_S)
        except HttpRequestError:
            return 0, b""
        finally:
            client.close()

    def _are_all_ready(self) -> bool:
        addresses = [(ip, READY_PORT, "/api/readiness") for ip in self._gateways.values()]
        for name in self._settings.sidecar_names:
            addresses.append((self._processes.by_name[name].ip, SIDECAR_PORT, "/ready"))
        return all(self._get((ip, port), path)[0] == HTTPStatus.OK for ip, port, path in addresses)

    def _metrics(self, ip: str) -> dict[str, float]:
        status, body = self._get((ip, METRICS_PORT), METRICS_PATH)
        if status != HTTPStatus.OK:
            return {}
        lines = [line for line in body.decode().splitlines() if not line.startswith("#")]
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}
