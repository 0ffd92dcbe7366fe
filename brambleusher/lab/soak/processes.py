"""The system's processes in a soak: starts them, sends them signals, and restarts them after they ended."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from brambleusher.deployment import interpreter
from brambleusher.lab.processes.parent import signal_on_parent_end
from brambleusher.lab.soak.mutated_process import SIDECAR, SYSTEM
from brambleusher.lab.soak.records import ProcessEvent, ProcessEventKind, ProcessUsage, SoakRecord
from brambleusher.lab.soak.settings import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    DISCOVERY_PORT,
    FRONT_PORT,
    GRACE_S,
    METRICS_PATH,
    METRICS_PORT,
    PEER_PORT,
    PLATFORM_PORT,
    READY_PORT,
    SIDECAR_PORT,
    ZONES,
    SoakSettings,
    grace_period_s,
)
from brambleusher.lab.soak.sidecars import sidecar_configuration
from brambleusher.runtime.scheduler import Scheduler, Timer

# Seconds from a restart to a reload signal, drawn from this range: while the process still starts.
RELOAD_AFTER_RESTART_S = (0.003, 0.1)
RESTART_DELAY_S = 0.3  # the time from the end of a process to its restart
POLL_INTERVAL_S = 0.05  # the interval of checks whether processes have ended
KIB_PER_MIB = 1024
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
# The shell line that starts a sidecar. Unlike `run` in deploy/balancer.toml it ignores signals at first.
SIDECAR_START = "trap '' HUP USR1; exec \"$@\""
# Environment variables with the path of the settings: of the system's programs, and of the sidecar.
SETTINGS_VARIABLES = ("BRAMBLEUSHER_SETTINGS", "NODE_CONFIG")
MUTATED_MODULE = "brambleusher.lab.soak.mutated_process"
FAULT_MARKERS = ("Traceback", "level=error", "task failed", "timer failed")

SETTINGS = """
node_name = "{name}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{peer_port}, {peer_port_last}]
seeds = {seeds}
bootstrap = {bootstrap}
data_dir = "{data_dir}"
[zones]
{zones}
[bind]
{bind}
[limits]
memory_mb = 300
fd_limit = 4100
[tolerance]
machines = 1
[bounds]
grace_s = {grace_s}
[cloud_api]
address = "{platform}:{platform_port}"
rate_per_s = 40.0
"""


def _prepare_child() -> Callable[[], None]:
    """Return a function for a child process before its exec.

    It ends with this process, and SIGHUP has its default action, also where this process inherited another.
    """
    end_with_parent = signal_on_parent_end(os.getpid(), signal.SIGKILL)

    def prepare() -> None:
        end_with_parent()
        signal.signal(signal.SIGHUP, signal.SIG_DFL)

    return prepare


class SoakProcess:
    """One process of the system, over all its restarts."""

    def __init__(
        self, name: str, ip: str, command: list[str], settings: Callable[[bool], str], folder: Path
    ) -> None:
        """`settings` returns the settings file's text; its argument tells whether this is the first start."""
        self.name, self.ip = name, ip
        self.command, self._settings = command, settings
        self.settings_path = folder / f"{name}.settings"
        self.grace_s = grace_period_s(name)
        self.log_path = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.kill_timer: Timer | None = None

    def start(self) -> None:
        """Start the process with its current settings."""
        self.write_settings()
        self.starts += 1
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command,
                env=self._environment(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_prepare_child(),
            )

    def _environment(self) -> dict[str, str]:
        """Return the environment, where another interpreter finds the packages that this one has."""
        paths = os.pathsep.join(path for path in sys.path if path)
        settings = dict.fromkeys(SETTINGS_VARIABLES, str(self.settings_path))
        return {**os.environ, "PYTHONPATH": paths, **settings}

    def write_settings(self) -> None:
        """Replace the settings file atomically."""
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(self._settings(self.starts == 0), encoding="utf-8")
        temporary.replace(self.settings_path)

    def measure_usage(self) -> ProcessUsage | None:
        """Return the memory and descriptors that the process uses, or None if it is not running."""
        if self.popen is None:
            return None
        try:
            folder = Path(f"/proc/{self.popen.pid}")
            pages = int((folder / "statm").read_text().split()[1])
            descriptors = len(list((folder / "fd").iterdir()))
        except OSError:
            return None
        return ProcessUsage(self.name, pages * PAGE_BYTES / KIB_PER_MIB / KIB_PER_MIB, descriptors)


class Processes:
    """All processes of the system; a process that ends is restarted after a short delay."""

    def __init__(
        self,
        scheduler: Scheduler,
        now: Callable[[], float],
        record: SoakRecord,
        settings: SoakSettings,
        folder: Path,
    ) -> None:
        self._scheduler, self._now, self._record = scheduler, now, record
        self._settings, self._folder = settings, folder
        self.platform_ip = settings.ip(4, 1)
        self._rng = random.Random(f"{settings.seed} reloads")
        self.by_name: dict[str, SoakProcess] = {}
        self.is_stopped = False
        self._interpreter = folder / "python3"  # as the build makes it for the deployment
        interpreter.build(self._interpreter)
        self.seed_shift = 0  # the index of the controller that the settings name first
        for number, name in enumerate(settings.controller_names, 1):
            self._add(name, settings.ip(1, number), settings.zone_of(number), is_controller=True)
        for number, name in enumerate(settings.gateway_names, 1):
            self._add(name, settings.ip(2, number), settings.zone_of(number), is_controller=False)
        for number, name in enumerate(settings.sidecar_names, 1):
            self._add_sidecar(name, settings.ip(5, number))

    def _command(self, program: str, module: str) -> list[str]:
        """Return the command that starts a program, with the soak's mutation if it has one."""
        words = [str(self._interpreter), "-m", module]
        if self._settings.mutation:
            words = [str(self._interpreter), "-m", MUTATED_MODULE, self._settings.mutation, program]
        if program == SIDECAR:
            return ["/bin/sh", "-c", SIDECAR_START, "sh", sys.executable, *words[1:]]
        return words

    def _add_sidecar(self, name: str, ip: str) -> None:
        discovery = f"{self._settings.ip(7, 1)}:{DISCOVERY_PORT}"

        def configuration(_is_first: bool) -> str:
            return sidecar_configuration(name, f"{ip}:{SIDECAR_PORT}", discovery)

        command = self._command(SIDECAR, "brambleusher")
        process = SoakProcess(name, ip, command, configuration, self._folder)
        self.by_name[name] = process

    def _add(self, name: str, ip: str, zone: str, is_controller: bool) -> None:
        command = self._command(SYSTEM, "brambleusher.system_main")
        if is_controller:
            command += ["controller"]
        else:
            command += ["gateway", "--metrics", f"{METRICS_PORT}{METRICS_PATH}"]

        def settings(is_first: bool) -> str:
            return self._settings_text(name, ip, zone, is_controller, is_first)

        self.by_name[name] = SoakProcess(name, ip, command, settings, self._folder)

    def _seeds(self) -> list[str]:
        ips = [self._settings.ip(1, number) for number in range(1, self._settings.controllers + 1)]
        shift = self.seed_shift % len(ips)
        return [f"{ip}:{CONTROL_PORT}" for ip in (ips[shift:] + ips[:shift])[:3]]

    def _settings_text(self, name: str, ip: str, zone: str, is_controller: bool, is_first: bool) -> str:
        data_dir = self._folder / f"{name}.data"
        if is_controller:
            data_dir.mkdir(exist_ok=True)
            bind = f'control = "{ip}:{CONTROL_PORT}"\ndirectory = "{ip}:{DIRECTORY_PORT}"'
        else:
            bind = f'front = "{ip}:{FRONT_PORT}"\nready = "{ip}:{READY_PORT}"'
        return SETTINGS.format(
            name=name,
            serves='["controller", "registry"]' if is_controller else '["edge"]',
            ip=ip,
            zone=zone,
            region=ZONES[zone],
            peer_port=PEER_PORT,
            peer_port_last=PEER_PORT + 15,
            seeds=json.dumps(self._seeds()),
            bootstrap=str(is_first).lower(),
            data_dir=data_dir if is_controller else "",
            zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            bind=bind,
            grace_s=GRACE_S,
            platform=self.platform_ip,
            platform_port=PLATFORM_PORT,
        )

    # --- starts and restarts ----------------------------------------------------------------------

    def start(self) -> None:
        """Start all processes and the task that restarts those that end."""
        for process in self.by_name.values():
            self._start(process)
        self._scheduler.spawn(self._supervise, name="processes")

    def _start(self, process: SoakProcess) -> None:
        process.start()
        self._record_event(process, ProcessEventKind.STARTED)

    def _record_event(self, process: SoakProcess, kind: ProcessEventKind, status: int = 0) -> None:
        self._record.processes.append(ProcessEvent(process.name, self._now(), kind, status))

    def _supervise(self) -> None:
        while not self.is_stopped:
            for process in self.by_name.values():
                self._reap(process)
            self._scheduler.sleep(POLL_INTERVAL_S)

    def _reap(self, process: SoakProcess) -> None:
        status = process.popen.poll() if process.popen is not None else None
        if status is None:
            return
        process.popen = None
        if process.kill_timer is not None:
            process.kill_timer.cancel()
            process.kill_timer = None
        self._record_event(process, ProcessEventKind.EXITED, status)
        self._scheduler.call_at(self._scheduler.now() + RESTART_DELAY_S, lambda: self._restart(process))

    def _restart(self, process: SoakProcess) -> None:
        if not self.is_stopped:
            self._start(process)
            reload_at = self._scheduler.now() + self._rng.uniform(*RELOAD_AFTER_RESTART_S)
            self._scheduler.call_at(reload_at, lambda: self.reload(process.name))

    # --- signals ----------------------------------------------------------------------------------

    def terminate(self, name: str) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period; later calls repeat only SIGTERM."""
        process = self.by_name[name]
        if process.popen is None:
            return
        process.popen.send_signal(signal.SIGTERM)
        self._record_event(process, ProcessEventKind.TERMINATED)
        if process.kill_timer is None:
            deadline = self._scheduler.now() + process.grace_s
            process.kill_timer = self._scheduler.call_at(deadline, lambda: self._kill_overdue(name))

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process."""
        process = self.by_name[name]
        if process.popen is not None:
            self._record_event(process, ProcessEventKind.KILLED)
            process.popen.kill()

    def _kill_overdue(self, name: str) -> None:
        process = self.by_name[name]
        if process.popen is not None and process.popen.poll() is None:
            self._record_event(process, ProcessEventKind.OVERDUE)
            process.popen.kill()

    def reload(self, name: str) -> None:
        """Change the seeds in a process's settings and send SIGHUP to it."""
        process = self.by_name[name]
        self.seed_shift += 1
        process.write_settings()
        if process.popen is not None:
            process.popen.send_signal(signal.SIGHUP)
            self._record_event(process, ProcessEventKind.RELOADED)

    def stop(self) -> None:
        """Kill all processes and wait until they have ended."""
        self.is_stopped = True
        for process in self.by_name.values():
            if process.popen is not None:
                process.popen.kill()
                process.popen.wait()

    def faulty_log_lines(self) -> list[str]:
        """Return the lines of all logs that report a fault of the program."""
        found = []
        for process in self.by_name.values():
            text = process.log_path.read_text(encoding="utf-8", errors="replace") if process.starts else ""
            found += [
                f"{process.name}: {line}"
                for line in text.splitlines()
                if any(marker in line for marker in FAULT_MARKERS)
            ]
        return found
