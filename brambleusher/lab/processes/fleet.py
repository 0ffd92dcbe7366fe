"""A fleet whose sidecars are real processes; its nodes and discovery are stand-ins in the test rig."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from brambleusher.lab.fleets.figures import SidecarSpec
from brambleusher.lab.fleets.fleet import BaseFleet, FleetMonitor, SidecarInstance, SidecarResources
from brambleusher.lab.fleets.scenario import Scenario
from brambleusher.lab.processes.parent import signal_on_parent_end
from brambleusher.lab.processes.stage import RealStage
from brambleusher.lab.stand_ins.client import reports_ready
from brambleusher.lab.stand_ins.discovery import Entry
from brambleusher.net.http import HttpError
from brambleusher.runtime.scheduler import TaskTimeoutError
from brambleusher.runtime.streams import Stream, parse_address
from brambleusher.runtime.system import Address

READY_TIMEOUT_SECONDS = 60.0
READINESS_REQUEST_SECONDS = 1.0
POLL_SECONDS = 0.03
STANDARD_DESCRIPTORS = 3
TICKS_PER_SECOND, PAGE_BYTES = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGESIZE")
TERMINATION_TIMEOUT_SECONDS = 5.0
LINGER_SECONDS = 0.5  # how long clients wait past their deadline, so that late answers are observed


class SidecarProcess:
    """One sidecar process, from its start to its end."""

    def __init__(
        self, instance: ProcessSidecarInstance, command: list[str], environment: dict[str, str]
    ) -> None:
        self.instance, stage = instance, instance.stage
        self.stage = stage
        self.log = stage.folder / f"{instance.spec.name}.{instance.starts}.log"
        with open(self.log, "wb") as log:
            self._popen = subprocess.Popen(
                command, env={**os.environ, **environment}, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True, preexec_fn=signal_on_parent_end(os.getpid(), signal.SIGKILL),
            )  # fmt: skip
        self.pid = self._popen.pid
        self.ended: int | None = None
        self.rss_kb = 0  # the highest peak of resident memory seen, in KiB
        self.cpu_s = 0.0
        self._stops = 0
        self._killed = False
        self._fd = os.pidfd_open(self.pid)
        stage.notify_taps("process", instance.machine, "started")
        stage.scheduler.spawn(self._wait, name="sidecar's end")

    def fileno(self) -> int:
        """Return the process's pidfd, which becomes readable when the process has ended."""
        return self._fd

    def _wait(self) -> None:
        self.stage.scheduler.park(sock=self)  # type: ignore[arg-type]
        os.close(self._fd)
        # Relays may still hold the last bytes of the process; these must arrive before its successor starts.
        self.stage.scheduler.sleep(POLL_SECONDS)
        self._record_end()

    def _record_end(self) -> None:
        """Record the end of the process and report it to the taps, once."""
        if self.ended is not None:
            return
        self.ended = self._popen.wait()
        self.instance.process_ended(self)
        if not self._killed:
            what = "killed" if self.ended < 0 else "exited"
            self.stage.notify_taps("process", self.instance.machine, what)

    @property
    def dead(self) -> bool:
        """Whether the process has ended."""
        return self.ended is not None

    @property
    def descriptors(self) -> int:
        """The number of open descriptors without the three standard streams; 0 once the process has ended."""
        try:
            return len(os.listdir(f"/proc/{self.pid}/fd")) - STANDARD_DESCRIPTORS
        except OSError:
            return 0

    @property
    def limit(self) -> int:
        """The process's soft limit of open descriptors."""
        return resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[0]

    @limit.setter
    def limit(self, most: int) -> None:
        if not self.dead:
            hard = resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[1]
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (most, hard))

    @property
    def stderr(self) -> bytes:
        """The contents of the process's log, which has its standard output and standard error."""
        return self.log.read_bytes()

    @property
    def resident_mb(self) -> float:
        """The resident memory of the process at this moment; 0 once the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * PAGE_BYTES / 2**20

    def record_usage(self) -> None:
        """Update the recorded peak of memory and the processor time of the process."""
        try:
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.rss_kb = max(self.rss_kb, int(line.split()[1]))
            words = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
            self.cpu_s = (int(words[11]) + int(words[12])) / TICKS_PER_SECOND
        except (OSError, IndexError):
            return

    # --- signals --------------------------------------------------------------------------------

    def signal(self, number: int) -> None:
        """Send a signal to the process; its files are rewritten before SIGHUP."""
        if self.dead:
            return
        if number == signal.SIGKILL:
            self.kill()
            return
        if number == signal.SIGHUP:
            self.instance.write_files()
        self.stage.notify_taps("process", self.instance.machine, f"signal {int(number)}")
        self._popen.send_signal(number)

    def kill(self, reset: bool = False) -> None:
        """Send SIGKILL and wait until the process has ended."""
        if self.dead:
            return
        self.record_usage()
        self.stage.notify_taps("process", self.instance.machine, "killed")
        self._killed = True
        self._popen.kill()
        self._record_end()

    def stop(self, on: bool) -> None:
        """Send SIGSTOP at the first of overlapping stops, and SIGCONT when the last of them ends."""
        self._stops += 1 if on else -1
        if not self.dead and (self._stops == 1 if on else self._stops == 0):
            self._popen.send_signal(signal.SIGSTOP if on else signal.SIGCONT)
            self.instance.paused(on)


class ProcessSidecarInstance(SidecarInstance):
    """The machine, the files and the real process of one sidecar."""

    fleet: RealFleet

    def __init__(self, fleet: RealFleet, number: int, spec: SidecarSpec) -> None:
        super().__init__(fleet, number, spec)
        self.stage = fleet.stage
        self.machine_on_rig = self.stage.machines[spec.name]
        self.ready = False
        self.idle_descriptors = 0  # the number of open descriptors of an idle process, without connections
        self._config = self.stage.folder / f"{spec.name}.json"
        self._operator_path = self.stage.folder / f"{spec.name}.operator.yaml"

    def write_files(self) -> None:
        """Write the sidecar's configuration file and operator file with their current contents."""
        self._config.write_bytes(self.file)
        self._operator_path.write_bytes(self.operator)

    def _launch(self) -> SidecarProcess:
        self.write_files()
        self.ready = False
        command = [
            sys.executable, "-m", "brambleusher.lab.processes.child", str(self.machine_on_rig.wall_file),
            *(["--operator", str(self._operator_path)] if self.operator else []),
            *(["--breakage", self.fleet.mutation] if self.fleet.mutation else []),
        ]  # fmt: skip
        environment = {"NODE_CONFIG": str(self._config), "PYTHONPATH": os.pathsep.join(sys.path)}
        if self.fleet.has_operators:
            environment["NODE_ADMIN_ADDR"] = "{}:{}".format(*self.admin)
        process = SidecarProcess(self, command, environment)
        self.machine_on_rig.process = process
        self.stage.scheduler.spawn(self._wait_until_ready, process, name="sidecar ready")
        return process

    def _wait_until_ready(self, process: SidecarProcess) -> None:
        """Admit clients as soon as the process listens, and set `ready` when it reports that it is ready."""
        scheduler = self.stage.scheduler
        while not process.dead and not self.ready:
            deadline = scheduler.now() + READINESS_REQUEST_SECONDS
            try:
                stream = Stream.connect(scheduler, self.address, deadline)
            except (OSError, TaskTimeoutError):
                scheduler.sleep(POLL_SECONDS)
                continue
            try:
                if process.dead:
                    return
                self.stage.network.set_listening(self.address, True)
                if self.fleet.has_operators:
                    self.stage.network.set_listening(self.admin, True)
                self.ready = reports_ready(stream, deadline)
            except (OSError, TaskTimeoutError, HttpError):
                pass
            finally:
                stream.close()
            if not self.ready:
                scheduler.sleep(POLL_SECONDS)
        scheduler.sleep(POLL_SECONDS)
        if self.idle_descriptors == 0 and not process.dead:
            self.idle_descriptors = process.descriptors - self.stage.network.open_connections(
                self.machine_on_rig
            )

    def process_ended(self, process: SidecarProcess) -> None:
        """Mark the sidecar's addresses as no longer listening after its process has ended."""
        if process is self.process:
            self.ready = False
            self.stage.network.set_listening(self.address, False)
            self.stage.network.set_listening(self.admin, False)

    def pause(self, wait_ns: int) -> None:
        """Stop the sidecar's process for `wait_ns` nanoseconds."""
        self.machine_on_rig.stall(wait_ns)

    def paused(self, on: bool) -> None:
        """Report to the monitor that the process was stopped or continued."""
        self.fleet.monitor.paused(self.stage.now_ns, self.machine.name, on)

    def _apply_descriptor_limit(self) -> None:
        if self.process is not None:
            # The configured number of sockets, plus the descriptors that the interpreter itself has open.
            usual = self.spec.sockets + 2 * STANDARD_DESCRIPTORS
            self.process.limit = min([usual, *(limit for _, limit in self._descriptor_limits)])
        self.machine_on_rig.descriptors_limited = bool(self._descriptor_limits)
        self.fleet.monitor.descriptors_short(
            self.stage.now_ns, self.machine.name, bool(self._descriptor_limits)
        )

    def state(self) -> SidecarResources:
        """Return the process's state as seen from outside; descriptors beyond those due are leaked."""
        process, name = self.process, self.spec.name
        if process is None or process.dead:
            return SidecarResources(name, False, 0, 0, 0, 0, 0, 0, 0, 0, self.stderr)
        relays = self.stage.network.relays.values()
        asked = sum(each.route.server is self.machine_on_rig for each in relays)
        return SidecarResources(
            name=name, up=True, pending_requests=0, clients=asked, open_attempts=0, node_connections=0,
            node_idle=0, timers=0, descriptors=process.descriptors, descriptors_expected=self.idle_descriptors
            + self.stage.network.open_connections(self.machine_on_rig), stderr=b"",
        )  # fmt: skip

    @property
    def all_processes(self) -> list[SidecarProcess]:
        """All processes of this sidecar, in the order in which they were started."""
        return [each for each in (*self.ended, self.process) if isinstance(each, SidecarProcess)]


class PerSidecarAudience:
    """Reports each node and discovery to an audience at every address at which a sidecar reaches it."""

    def __init__(self, fleet: RealFleet, monitor: FleetMonitor) -> None:
        self._fleet, self._audience = fleet, monitor

    def __getattr__(self, name: str) -> Any:
        """Pass on all notifications that carry no address."""
        return getattr(self._audience, name)

    def _addresses_seen(self, address: Address) -> list[Address]:
        network = self._fleet.stage.network
        return [
            network.reachable_address(instance.machine_on_rig, address)
            for instance in self._fleet.process_instances
        ]

    def discovery(self, address: Address) -> None:
        """Report the discovery at the address that each sidecar has for it."""
        for each in self._addresses_seen(address):
            self._audience.discovery(each)

    def node(self, now: int, name: str, address: Address, started_ms: int) -> None:
        """Report, for each sidecar's address of a node, that the node is about to accept connections."""
        for each in self._addresses_seen(address):
            self._audience.node(now, name, each, started_ms)


class RealFleet(BaseFleet):
    """A fleet with real sidecars; `mutation` names a deliberate fault to apply in each of them."""

    stage: RealStage
    linger_s = LINGER_SECONDS

    def __init__(
        self, scenario: Scenario, stage: RealStage, monitor: FleetMonitor | None = None, mutation: str = ""
    ) -> None:
        self.stage, self.mutation = stage, mutation
        super().__init__(scenario, stage, monitor)
        self._by_ip = {
            instance.machine_on_rig.ip: instance.machine_on_rig for instance in self.process_instances
        }

    @property
    def process_instances(self) -> list[ProcessSidecarInstance]:
        """Instances of all sidecars."""
        return [instance for instance in self.sidecars if isinstance(instance, ProcessSidecarInstance)]

    def new_sidecar(self, number: int, spec: SidecarSpec) -> SidecarInstance:
        """Return a new sidecar instance with a real process."""
        return ProcessSidecarInstance(self, number, spec)

    def seen_by(self, ip: str, entry: Entry) -> Entry:
        """Return a node's entry with the address at which the sidecar at `ip` reaches the node."""
        machine, address = self._by_ip.get(ip), parse_address(entry.addr)
        if machine is None or address not in self.stage.network.owners:
            return entry
        host, port = self.stage.network.reachable_address(machine, address)
        return msgspec.structs.replace(entry, addr=f"{host}:{port}")

    def admit(self) -> None:
        """Wait until all sidecars are ready, then admit clients.

        Raises:
            RuntimeError: A sidecar is not ready in time.
        """
        limit = self.stage.now_ns + int(READY_TIMEOUT_SECONDS * 1e9)
        if not self.stage.run(limit, lambda: all(instance.ready for instance in self.process_instances)):
            late = [instance.spec.name for instance in self.process_instances if not instance.ready]
            raise RuntimeError(f"sidecars not ready within {READY_TIMEOUT_SECONDS:g} s: {', '.join(late)}")
        length = self.ends_ns - self.begins_ns
        self.begins_ns = self.stage.now_ns + 200_000_000
        self.ends_ns = self.begins_ns + length
        super().admit()

    def close(self) -> None:
        """Send SIGTERM to all sidecars, and SIGKILL to those that still run some seconds later."""
        self.end(TERMINATION_TIMEOUT_SECONDS)
        for instance in self.process_instances:
            for process in instance.all_processes:
                process.kill()


def raise_descriptor_limit() -> None:
    """Raise this process's descriptor limit to its hard limit, as relays use three for each connection."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
