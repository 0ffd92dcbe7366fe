"""Tools of the whole serving system on the command line, by `fire`: checks, a state folder, a status."""

from __future__ import annotations

import json
import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from brambleusher.controlplane.storage.errors import CorruptStorageError
from brambleusher.controlplane.storage.storage import inspect
from brambleusher.runtime.disk import FolderDisk
from brambleusher.runtime.http_client import HttpCallError, HttpClient
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire import configuration
from brambleusher.wire import policy as policy_reader
from brambleusher.wire import settings as settings_reader
from brambleusher.wire.errors import InvalidConfigurationError, InvalidPolicyError, InvalidSettingsError

CALL_S = 3.0
SERVES = frozenset({"edge", "controller", "registry"})
FAULT_STATUS = 1


class Fault(Exception):
    """What a tool found wrong, in one line."""


def check_settings(path: str) -> str:
    """Read a settings file as a process would at its start."""
    try:
        settings = settings_reader.read(path)
    except InvalidSettingsError as error:
        raise Fault(str(error)) from error
    return f"{path}: {settings.node_name} serves {', '.join(settings.serves) or 'nothing'}"


def check_configuration(path: str) -> str:
    """Read a configuration as a controller would."""
    try:
        checked = configuration.read(Path(path).read_bytes())
    except (OSError, InvalidConfigurationError) as error:
        raise Fault(f"{path}: {error}") from error
    return f"{path}: revision {checked.revision}, {len(checked.routes)} routes"


def check_deploy(path: str = "deploy/system.toml") -> str:
    """Check a deploy file: a build line, and roles that together serve clients, operators and questions."""
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise Fault(f"{path}: {error}") from error
    if not isinstance(data.get("build"), str):
        raise Fault(f"{path}: build: it is missing")
    served: set[str] = set()
    for name, role in data.get("roles", {}).items():
        for key in ("run", "on"):
            if not isinstance(role.get(key), str):
                raise Fault(f"{path}: roles.{name}.{key}: it is missing")
        unknown = set(role.get("serves", [])) - SERVES
        if unknown:
            raise Fault(f"{path}: roles.{name}.serves: {', '.join(sorted(unknown))} is unknown")
        served |= set(role.get("serves", []))
    if served != SERVES:
        raise Fault(f"{path}: roles: nobody serves {', '.join(sorted(SERVES - served))}")
    return f"{path}: {len(data['roles'])} roles"


def check_policy(path: str) -> str:
    """Read a policy file as a gateway would at its start."""
    try:
        held = policy_reader.read(path)
    except InvalidPolicyError as error:
        raise Fault(str(error)) from error
    off = [name for name, _, _ in policy_reader.described() if not getattr(held, name)]
    return f"{path}: switched off: {', '.join(off) or 'nothing'}"


def policy() -> str:
    """List the keys of a policy file with their defaults and meanings."""
    return "\n".join(
        f"{name} = {default}  # {meaning}" for name, default, meaning in policy_reader.described()
    )


def state(folder: str) -> str:
    """Verify a controller's state folder, changing nothing, and show what it holds as one JSON object."""
    if not Path(folder).is_dir():
        raise Fault(f"{folder}: it is no folder")
    try:
        found = inspect(FolderDisk(folder))
    except CorruptStorageError as error:
        raise Fault(f"{folder}: {error}") from error
    return json.dumps(found, indent=2)


def status(address: str) -> str:
    """Ask a running gateway (its `ready` address) or controller (its `control` address) for its state."""
    scheduler = Scheduler(RealSystem())
    answers: list[tuple[int, bytes] | str] = []

    def ask() -> None:
        try:
            answers.append(HttpClient(scheduler, parse_address(address)).get("/api/status", CALL_S))
        except (HttpCallError, ValueError) as error:
            answers.append(str(error))

    scheduler.spawn(ask, name="status")
    scheduler.run(lambda: bool(answers))
    scheduler.close()
    answer = answers[0]
    if isinstance(answer, str):
        raise Fault(f"{address}: {answer}")
    if answer[0] != 200:
        raise Fault(f"{address}: it answers {answer[0]}")
    return json.dumps(json.loads(answer[1]), indent=2)


TOOLS: dict[str, Any] = {
    "check-settings": check_settings,
    "check-configuration": check_configuration,
    "check-deploy": check_deploy,
    "check-policy": check_policy,
    "policy": policy,
    "state": state,
    "status": status,
}


def run(words: Sequence[str]) -> int:
    """One tool; 0 where all is well, 1 for a fault it found, 2 for a wrong call."""
    import fire

    try:
        fire.Fire(TOOLS, command=list(words), name="brambleusher-system")
    except Fault as fault:
        print(fault, file=sys.stderr)
        return FAULT_STATUS
    except fire.core.FireExit as leaving:
        return int(leaving.code or 0)
    return 0
