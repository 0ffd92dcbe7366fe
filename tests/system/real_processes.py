"""Real processes of the system's roles on loopback, started as deploy/system.toml starts them."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from brambleusher.deployment import interpreter

ROOT = Path(__file__).resolve().parents[2]
WAIT_S = 30.0  # upper bound of a wait for something that takes milliseconds on an idle machine
POLL_S = 0.002
FIRST_OWN_NETWORK = 216  # second octet of the first network
MEMORY_LIMIT_MB = 100  # of each process: `memory_mb` of the settings
OWN_NETWORKS = 1 << 13  # each process of tests has a network 127.x.y.0 for its machines
MACHINES_MAX = 254  # of one process of tests; then their addresses come again

_machine_numbers = itertools.cycle(range(1, MACHINES_MAX + 1))

SETTINGS = """
node_name = "{role}-1"
ip = "{ip}"
zone = "north"
region = "r"
port_range = [{peer}, {peer_last}]
seeds = ["{seed}:{control}"]
bootstrap = true
data_dir = {data_dir}
[zones]
north = "r"
[bind]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
memory_mb = {memory_mb}
fd_limit = 4100
[tolerance]
machines = 0
[cloud_api]
address = "{platform}"
"""


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; fail if it doesn't."""
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until, f"not within {WAIT_S} s: {what}"
        time.sleep(POLL_S)


def own_loopback_address() -> str:
    """Return a loopback address that no other test uses, so that none takes the ports of its machine.

    The ports of other tests, of their clients too, are those of 127.0.0.1.
    """
    network = os.getpid() % OWN_NETWORKS
    return f"127.{FIRST_OWN_NETWORK + (network >> 8)}.{network & 255}.{next(_machine_numbers)}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address at which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [int(each.getsockname()[1]) for each in sockets]
    finally:
        for each in sockets:
            each.close()


def signal_mask(pid: int, *names: str) -> int:
    """Return the union of masks in a process's status, such as `SigBlk`; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    mask = 0
    for line in lines:
        name, _, value = line.partition(":")
        if name in names:
            mask |= int(value, 16)
    return mask


def is_protected(pid: int, number: int) -> bool:
    """Whether a signal can't end a process by its default action now."""
    return bool(signal_mask(pid, "SigBlk", "SigCgt", "SigIgn") >> (number - 1) & 1)


def run_command(role: str) -> list[str]:
    """Return the words of a role's `run` line."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    return str(deploy["roles"][role]["run"]).split(" ")


def environment_of_tests() -> dict[str, str]:
    """Return an environment in which another interpreter finds the packages that the tests have."""
    return {**os.environ, "PYTHONPATH": os.pathsep.join(each for each in sys.path if each)}


def restore_reload_signal() -> None:
    """Give SIGHUP its default action in a child process; under `nohup`, for one, it is ignored."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


class RoleMachine:
    """The settings, the ports and the process of one role."""

    def __init__(
        self, folder: Path, role: str, seed: RoleMachine | None = None, platform: str | None = None
    ) -> None:
        """Write the settings; the ports are those of `seed`, as the ports of all machines are the same."""
        self.role, self.ip = role, own_loopback_address()
        self.log_path = folder / "log"
        self.settings_path = folder / "settings.toml"
        names = ("peer", "front", "ready", "control", "directory")
        self.ports: dict[str, int] = (
            dict(zip(names, free_ports(self.ip, len(names)), strict=True)) if seed is None else seed.ports
        )
        data_dir = folder / "data"
        data_dir.mkdir()
        self.settings_path.write_text(
            SETTINGS.format(
                role=role,
                ip=self.ip,
                memory_mb=MEMORY_LIMIT_MB,
                seed=self.ip if seed is None else seed.ip,
                platform=platform or f"{self.ip}:9",
                data_dir=json.dumps(str(data_dir) if role == "controller" else ""),
                peer_last=self.ports["peer"] + 15,
                **self.ports,
            )
        )
        self.program = folder / "python3"
        interpreter.build(self.program)
        self.process: subprocess.Popen[bytes] | None = None

    def command(self) -> list[str]:
        """Return the role's command, with the interpreter of this test in place of the deployment's."""
        words = run_command(self.role)
        assert words[0] == "target/bin/python3"
        if "--metrics" in words:
            at = words.index("--metrics")
            words = words[:at] + words[at + 2 :]  # its port is the same for all processes of a machine
        return [str(self.program), *words[1:]]

    def start(self, output: int | None = None) -> subprocess.Popen[bytes]:
        """Start the process; `output` is a descriptor for its log, by default a file."""
        with self.log_path.open("ab") as log:
            target = log if output is None else output
            self.process = subprocess.Popen(
                self.command(),
                cwd=ROOT,
                env={**environment_of_tests(), "BRAMBLEUSHER_SETTINGS": str(self.settings_path)},
                stdin=subprocess.DEVNULL,
                stdout=target,
                stderr=target,
                preexec_fn=restore_reload_signal,
            )
        return self.process

    def log(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text() if self.log_path.exists() else ""

    def listens(self, name: str) -> bool:
        """Whether a connection to one of the ports is accepted."""
        try:
            socket.create_connection((self.ip, self.ports[name]), 1.0).close()
        except OSError:
            return False
        return True

    def close(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
