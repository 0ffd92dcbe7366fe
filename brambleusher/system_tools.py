"""Command-line tools of the whole serving system, which check files and show state and status."""

from __future__ import annotations

import json
import re
import sys
import tomllib
from collections.abc import Callable, Sequence
from http import HTTPStatus
from pathlib import Path

from result import Err, Ok, Result

from brambleusher.controlplane.storage.errors import CorruptStorageError
from brambleusher.controlplane.storage.storage import inspect
from brambleusher.runtime.disk import FolderDisk
from brambleusher.runtime.http_client import HttpClient, HttpRequestError
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire import configuration
from brambleusher.wire import policy as policy_reader
from brambleusher.wire import settings as settings_reader
from brambleusher.wire.errors import InvalidConfigurationError, InvalidPolicyError, InvalidSettingsError

CALL_TIMEOUT_S = 3.0
SERVED_PARTIES = frozenset({"edge", "controller", "registry"})
FAULT_EXIT_STATUS = 1
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")  # a Debian package name (Debian Policy, section 5.6.1)


class ToolError(Exception):
    """Raised when a tool finds an error; the message is one line."""


def check_settings(path: str) -> str:
    """Validate a settings file in the same way as a starting process."""
    try:
        settings = settings_reader.read(path)
    except InvalidSettingsError as error:
        raise ToolError(str(error)) from error
    return f"{path}: {settings.node_name} serves {', '.join(settings.serves) or 'nothing'}"


def check_configuration(path: str) -> str:
    """Validate a configuration in the same way as a controller."""
    try:
        checked = configuration.read(Path(path).read_bytes())
    except (OSError, InvalidConfigurationError) as error:
        raise ToolError(f"{path}: {error}") from error
    return f"{path}: revision {checked.revision}, {len(checked.routes)} routes"


def check_deploy(path: str = "deploy/system.toml") -> str:
    """Validate a deploy file, which needs a build line and roles for clients, operators and the registry."""
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ToolError(f"{path}: {error}") from error
    if not isinstance(data.get("build"), str):
        raise ToolError(f"{path}: build: the key is missing")
    _check_packages(path, data.get("packages"))
    served: set[str] = set()
    for name, role in data.get("roles", {}).items():
        for key in ("run", "on"):
            if not isinstance(role.get(key), str):
                raise ToolError(f"{path}: roles.{name}.{key}: the key is missing")
        unknown = set(role.get("serves", [])) - SERVED_PARTIES
        if unknown:
            raise ToolError(f"{path}: roles.{name}.serves: {', '.join(sorted(unknown))} is unknown")
        served |= set(role.get("serves", []))
    if served != SERVED_PARTIES:
        raise ToolError(f"{path}: roles: no role serves {', '.join(sorted(SERVED_PARTIES - served))}")
    return f"{path}: {len(data['roles'])} roles"


def _check_packages(path: str, packages: object) -> None:
    """Validate a list of system packages; raise `ToolError` if it is invalid."""
    if not isinstance(packages, list) or not packages:
        raise ToolError(f"{path}: packages: the list is empty, but a clean machine needs system packages")
    for package in packages:
        if not isinstance(package, str) or not PACKAGE_NAME.fullmatch(package):
            raise ToolError(f"{path}: packages: {package!r} is not a package name")


def check_policy(path: str) -> str:
    """Validate a policy file in the same way as a starting gateway."""
    try:
        checked = policy_reader.read(path)
    except InvalidPolicyError as error:
        raise ToolError(str(error)) from error
    off = policy_reader.disabled_keys(checked)
    return f"{path}: switched off: {', '.join(off) or 'nothing'}"


def policy() -> str:
    """List the keys of a policy file with their defaults and meanings."""
    return "\n".join(
        f"{name} = {default}  # {meaning}" for name, default, meaning in policy_reader.key_descriptions()
    )


def state(folder: str) -> str:
    """Verify a controller's data folder without changing it, and return its content as a JSON object."""
    if not Path(folder).is_dir():
        raise ToolError(f"{folder}: not a folder")
    try:
        found = inspect(FolderDisk(folder))
    except CorruptStorageError as error:
        raise ToolError(f"{folder}: {error}") from error
    return json.dumps(found, indent=2)


def status(address: str) -> str:
    """Return the status of a gateway (at its `ready` address) or controller (at its `control` address)."""
    try:
        status_code, body = _get(address, "/api/status")
    except (HttpRequestError, ValueError) as error:
        raise ToolError(f"{address}: {error}") from error
    if status_code != HTTPStatus.OK:
        raise ToolError(f"{address}: the response status is {status_code}")
    return json.dumps(json.loads(body), indent=2)


def _get(address: str, path: str) -> tuple[int, bytes]:
    """Return status and body of a GET; raise `HttpRequestError`, or `ValueError` for an invalid address."""
    server = parse_address(address)
    scheduler = Scheduler(RealSystem())
    outcomes: list[Result[tuple[int, bytes], HttpRequestError]] = []

    def call() -> None:
        try:
            outcomes.append(Ok(HttpClient(scheduler, server).get(path, CALL_TIMEOUT_S)))
        except HttpRequestError as error:
            outcomes.append(Err(error))

    scheduler.spawn(call, name="status")
    scheduler.run(lambda: bool(outcomes))
    scheduler.close()
    outcome = outcomes[0]
    if isinstance(outcome, Err):
        raise outcome.err_value
    return outcome.ok_value


TOOLS: dict[str, Callable[..., str]] = {
    "check-settings": check_settings,
    "check-configuration": check_configuration,
    "check-deploy": check_deploy,
    "check-policy": check_policy,
    "policy": policy,
    "state": state,
    "status": status,
}


def run(words: Sequence[str]) -> int:
    """Run one tool; return 0 if it found no error, 1 if it found one, 2 for invalid arguments."""
    import fire

    try:
        fire.Fire(TOOLS, command=list(words), name="brambleusher-system")
    except ToolError as error:
        print(error, file=sys.stderr)
        return FAULT_EXIT_STATUS
    except fire.core.FireExit as exit_request:
        return int(exit_request.code or 0)
    return 0
