"""A fleet whose sidecars are real processes of the program; all else stands in the rig's own process."""

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
from brambleusher.lab.processes.parent import tied_to
from brambleusher.lab.processes.stage import RealStage
from brambleusher.lab.stand_ins.client import reports_ready
from brambleusher.lab.stand_ins.discovery import Entry
from brambleusher.net.http import HttpError
from brambleusher.runtime.scheduler import TaskTimeoutError
from brambleusher.runtime.streams import Stream, parse_address
from brambleusher.runtime.system import Address

READY_SECONDS = 60.0
ASK_SECONDS = 1.0
LOOK_SECONDS = 0.03
STANDARD = 3
TICKS, PAGE_BYTES = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGESIZE")
END_SECONDS = 5.0
LINGER_SECONDS = 0.5  # of clients past their time, so that an answer that is late can be seen


class SidecarProcess:
    """One process of the program."""

    def __init__(self, place: RealSidecarPlace, command: list[str], environment: dict[str, str]) -> None:
        self.place, stage = place, place.stage
        self.stage = stage
        self.log = stage.folder / f"{place.spec.name}.{place.starts}.log"
        with open(self.log, "wb") as log:
            self._popen = subprocess.Popen(
                command, env={**os.environ, **environment}, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True, preexec_fn=tied_to(os.getpid(), signal.SIGKILL),
            )  # fmt: skip
        self.pid = self._popen.pid
        self.ended: int | None = None
        self.rss_kb = 0  # the most seen
        self.cpu_s = 0.0
        self._stops = 0
        self._killed = False
        self._fd = os.pidfd_open(self.pid)
        stage.tell("process", place.machine, "started")
        stage.scheduler.spawn(self._wait, name="sidecar's end")

    def fileno(self) -> int:
        """Readable when it has ended."""
        return self._fd

    def _wait(self) -> None:
        self.stage.scheduler.park(sock=self)  # type: ignore[arg-type]
        os.close(self._fd)
        # The relays may still have its last bytes: they come first, and only then another process may.
        self.stage.scheduler.sleep(LOOK_SECONDS)
        self._over()

    def _over(self) -> None:
        """It has ended."""
        if self.ended is not None:
            return
        self.ended = self._popen.wait()
        self.place.has_ended(self)
        if not self._killed:
            what = "killed" if self.ended < 0 else "exited"
            self.stage.tell("process", self.place.machine, what)

    @property
    def dead(self) -> bool:
        """Whether it has ended."""
        return self.ended is not None

    @property
    def descriptors(self) -> int:
        """How many are open, the three standard ones not counted; 0 once it has ended."""
        try:
            return len(os.listdir(f"/proc/{self.pid}/fd")) - STANDARD
        except OSError:
            return 0

    @property
    def limit(self) -> int:
        """The highest number of descriptors."""
        return resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[0]

    @limit.setter
    def limit(self, most: int) -> None:
        if not self.dead:
            hard = resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[1]
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (most, hard))

    @property
    def stderr(self) -> bytes:
        """Its log."""
        return self.log.read_bytes()

    @property
    def resident_mb(self) -> float:
        """Memory that it has now; 0 once it has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * PAGE_BYTES / 2**20

    def look(self) -> None:
        """Note its memory and its processor time."""
        try:
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.rss_kb = max(self.rss_kb, int(line.split()[1]))
            words = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
            self.cpu_s = (int(words[11]) + int(words[12])) / TICKS
        except (OSError, IndexError):
            return

    # --- what is done to it ---------------------------------------------------------------------

    def signal(self, number: int) -> None:
        """Send it one."""
        if self.dead:
            return
        if number == signal.SIGKILL:
            self.kill()
            return
        if number == signal.SIGHUP:
            self.place.write_files()
        self.stage.tell("process", self.place.machine, f"signal {int(number)}")
        self._popen.send_signal(number)

    def kill(self, reset: bool = False) -> None:
        """SIGKILL, and wait for its end."""
        if self.dead:
            return
        self.look()
        self.stage.tell("process", self.place.machine, "killed")
        self._killed = True
        self._popen.kill()
        self._over()

    def stop(self, on: bool) -> None:
        """SIGSTOP, or SIGCONT once nobody stops it any more."""
        self._stops += 1 if on else -1
        if not self.dead and (self._stops == 1 if on else self._stops == 0):
            self._popen.send_signal(signal.SIGSTOP if on else signal.SIGCONT)
            self.place.paused(on)


class RealSidecarPlace(SidecarInstance):
    """Where a sidecar stands whose process is real."""

    fleet: RealFleet

    def __init__(self, fleet: RealFleet, number: int, spec: SidecarSpec) -> None:
        super().__init__(fleet, number, spec)
        self.stage = fleet.stage
        self.real = self.stage.machines[spec.name]
        self.ready = False
        self.at_rest = 0  # descriptors beside its connections
        self._config = self.stage.folder / f"{spec.name}.json"
        self._operator_path = self.stage.folder / f"{spec.name}.operator.yaml"

    def write_files(self) -> None:
        """Its configuration and its operator file, as they are meant to be there now."""
        self._config.write_bytes(self.file)
        self._operator_path.write_bytes(self.operator)

    def _launch(self) -> SidecarProcess:
        self.write_files()
        self.ready = False
        command = [
            sys.executable, "-m", "brambleusher.lab.processes.child", str(self.real.wall_file),
            *(["--operator", str(self._operator_path)] if self.operator else []),
            *(["--breakage", self.fleet.breakage] if self.fleet.breakage else []),
        ]  # fmt: skip
        environment = {"NODE_CONFIG": str(self._config), "PYTHONPATH": os.pathsep.join(sys.path)}
        if self.fleet.has_operators:
            environment["NODE_ADMIN_ADDR"] = "{}:{}".format(*self.admin)
        process = SidecarProcess(self, command, environment)
        self.real.process = process
        self.stage.scheduler.spawn(self._await, process, name="sidecar ready")
        return process

    def _await(self, process: SidecarProcess) -> None:
        """Let clients come as soon as it listens; note when it is ready."""
        scheduler = self.stage.scheduler
        while not process.dead and not self.ready:
            deadline = scheduler.now() + ASK_SECONDS
            try:
                stream = Stream.connect(scheduler, self.address, deadline)
            except (OSError, TaskTimeoutError):
                scheduler.sleep(LOOK_SECONDS)
                continue
            try:
                if process.dead:
                    return
                self.stage.network.heard(self.address, True)
                if self.fleet.has_operators:
                    self.stage.network.heard(self.admin, True)
                self.ready = reports_ready(stream, deadline)
            except (OSError, TaskTimeoutError, HttpError):
                pass
            finally:
                stream.close()
            if not self.ready:
                scheduler.sleep(LOOK_SECONDS)
        scheduler.sleep(LOOK_SECONDS)
        if self.at_rest == 0 and not process.dead:
            self.at_rest = process.descriptors - self.stage.network.open_at(self.real)

    def has_ended(self, process: SidecarProcess) -> None:
        """Nobody listens there any more."""
        if process is self.process:
            self.ready = False
            self.stage.network.heard(self.address, False)
            self.stage.network.heard(self.admin, False)

    def pause(self, wait_ns: int) -> None:
        """Its process is stopped for a while."""
        self.real.stall(wait_ns)

    def paused(self, on: bool) -> None:
        """Its process has been stopped, or goes on."""
        self.fleet.monitor.paused(self.stage.now_ns, self.machine.name, on)

    def _apply_descriptor_limit(self) -> None:
        if self.process is not None:
            # As many as it may hold, and what the interpreter has open beside.
            usual = self.spec.sockets + 2 * STANDARD
            self.process.limit = min([usual, *(limit for _, limit in self._descriptor_limits)])
        self.real.squeezed = bool(self._descriptor_limits)
        self.fleet.monitor.starved(self.stage.now_ns, self.machine.name, bool(self._descriptor_limits))

    def state(self) -> SidecarResources:
        """What can be seen of it from outside: descriptors beyond its connections are left over."""
        process, name = self.process, self.spec.name
        if process is None or process.dead:
            return SidecarResources(name, False, 0, 0, 0, 0, 0, 0, 0, 0, self.stderr)
        relays = self.stage.network.relays.values()
        asked = sum(each.way.server is self.real for each in relays)
        return SidecarResources(
            name=name, up=True, pending_requests=0, clients=asked, open_attempts=0,
            node_connections=0, node_idle=0,
            timers=0, descriptors=process.descriptors,
            descriptors_expected=self.at_rest + self.stage.network.open_at(self.real), stderr=b"",
        )  # fmt: skip

    @property
    def lives(self) -> list[SidecarProcess]:
        """All its processes, in the order in which they were started."""
        return [each for each in (*self.ended, self.process) if isinstance(each, SidecarProcess)]


class PairAudience:
    """Tells an audience of nodes and discoveries at every address that a sidecar has of them."""

    def __init__(self, fleet: RealFleet, monitor: FleetMonitor) -> None:
        self._fleet, self._audience = fleet, monitor

    def __getattr__(self, name: str) -> Any:
        """What has no address is passed on."""
        return getattr(self._audience, name)

    def _ways(self, address: Address) -> list[Address]:
        network = self._fleet.stage.network
        return [network.seen_from(place.real, address) for place in self._fleet.real_places]

    def discovery(self, address: Address) -> None:
        """Discovery can be had here too."""
        for each in self._ways(address):
            self._audience.discovery(each)

    def node(self, now: int, name: str, address: Address, started_ms: int) -> None:
        """A node's process is about to take connections."""
        for each in self._ways(address):
            self._audience.node(now, name, each, started_ms)


class RealFleet(BaseFleet):
    """The fleet; `breakage` names a fault that is put into every sidecar."""

    stage: RealStage
    linger_s = LINGER_SECONDS

    def __init__(
        self, scenario: Scenario, stage: RealStage, monitor: FleetMonitor | None = None, breakage: str = ""
    ) -> None:
        self.stage, self.breakage = stage, breakage
        super().__init__(scenario, stage, monitor)
        self._by_ip = {place.real.ip: place.real for place in self.real_places}

    @property
    def real_places(self) -> list[RealSidecarPlace]:
        """All sidecars' places."""
        return [place for place in self.sidecars if isinstance(place, RealSidecarPlace)]

    def new_sidecar(self, number: int, spec: SidecarSpec) -> SidecarInstance:
        """A place for a real process."""
        return RealSidecarPlace(self, number, spec)

    def seen_by(self, ip: str, entry: Entry) -> Entry:
        """A node's entry with the address at which one sidecar reaches it."""
        machine, address = self._by_ip.get(ip), parse_address(entry.addr)
        if machine is None or address not in self.stage.network.known:
            return entry
        host, port = self.stage.network.seen_from(machine, address)
        return msgspec.structs.replace(entry, addr=f"{host}:{port}")

    def admit(self) -> None:
        """Wait until all sidecars are ready, then begin."""
        limit = self.stage.now_ns + int(READY_SECONDS * 1e9)
        if not self.stage.run(limit, lambda: all(place.ready for place in self.real_places)):
            late = [place.spec.name for place in self.real_places if not place.ready]
            raise RuntimeError(f"not ready within {READY_SECONDS:g} s: {', '.join(late)}")
        length = self.ends_ns - self.begins_ns
        self.begins_ns = self.stage.now_ns + 200_000_000
        self.ends_ns = self.begins_ns + length
        super().admit()

    def close(self) -> None:
        """End all sidecars: SIGTERM to all, SIGKILL to those that are there some seconds later."""
        self.end(END_SECONDS)
        for place in self.real_places:
            for process in place.lives:
                process.kill()


def raise_limit() -> None:
    """As many descriptors as this process may have: a relay takes three a connection."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
