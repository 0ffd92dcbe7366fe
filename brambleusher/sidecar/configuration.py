"""Reads and validates the configuration of a sidecar and fills in defaults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import orjson

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.settings import SettingsError, parse_settings
from brambleusher.net.endpoint_list import EndpointListError, EndpointListUpdate, decode_update
from brambleusher.runtime.streams import parse_address

HEXADECIMAL = 16
FIRST_FREE_DESCRIPTOR, MAX_DESCRIPTOR = 3, 2**20  # descriptors below 3 are the standard streams


class ConfigError(ValueError):
    """Raised for an invalid configuration; the message names the key."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The resource limits that the platform sets for a sidecar."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a sidecar.

    Attributes:
        name: The name of the sidecar in the fleet.
        listen: The address on which clients connect.
        discovery: The address of the discovery service that provides the endpoint list.
        seed: The seed of the random number generators.
        limits: The resource limits that the platform sets.
        known: The initial endpoint list.
        settings: The settings of the load balancer.
        admin: The address of the admin endpoint, or None if there is no admin endpoint.
        listener_fd: The descriptor of an inherited socket that listens on `listen`, or None.
        shared_dir: The folder shared by all processes of this sidecar, or None.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    known: EndpointListUpdate
    settings: api.Settings
    admin: tuple[str, int] | None = None
    listener_fd: int | None = None
    shared_dir: str | None = None


def _text(raw: Mapping[str, object], key: str, fallback: str | None) -> str:
    value = raw.get(key, fallback)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key} is missing or not a text")
    return value


def _address(raw: Mapping[str, object], key: str, fallback: str | None) -> tuple[str, int]:
    try:
        return parse_address(_text(raw, key, fallback))
    except ConfigError:
        raise
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _at_least(raw: Mapping[str, object], key: str, default: float, low: float) -> float:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= low:
        raise ConfigError(f"limits.{key} is not a number of at least {low:g}")
    return value


def _limits(raw: object) -> Limits:
    if not isinstance(raw, dict):
        raise ConfigError("limits is not an object")
    usual = Limits()
    return Limits(
        cores=_at_least(raw, "cores", usual.cores, 0.001),
        memory_mb=int(_at_least(raw, "memory_mb", usual.memory_mb, 32)),
        sockets=int(_at_least(raw, "sockets", usual.sockets, 64)),
    )


def _seed(value: object) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        if isinstance(value, str):
            return int(value, HEXADECIMAL)
    except ValueError:
        pass  # raise the same error as for a value that is not a string
    raise ConfigError("seed is missing or not a hexadecimal number")


def _admin(raw: Mapping[str, object], env: Mapping[str, str]) -> tuple[str, int] | None:
    """Return the admin address; an error names the configuration key or variable that sets it."""
    if "admin_addr" in raw:
        return _address(raw, "admin_addr", None)
    return _address(env, "NODE_ADMIN_ADDR", None) if env.get("NODE_ADMIN_ADDR") else None


def _descriptor(env: Mapping[str, str]) -> int | None:
    """Return the descriptor of the listening socket inherited from the platform, or None."""
    if not (text := env.get("NODE_FD")):
        return None
    if not text.isascii() or not text.isdigit() or not FIRST_FREE_DESCRIPTOR <= int(text) < MAX_DESCRIPTOR:
        raise ConfigError("NODE_FD is not the number of a descriptor")
    return int(text)


def parse_config(text: bytes, env: Mapping[str, str]) -> Config:
    """Parse a configuration; the environment provides a name and addresses missing from the text.

    Raises:
        ConfigError: The configuration is invalid; the message names the key.
    """
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"NODE_CONFIG is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("NODE_CONFIG is not an object")
    try:
        settings = parse_settings(raw.get("settings"))
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        known = decode_update(raw.get("known", {"full": True, "version": 0, "servers": []}))
    except EndpointListError as error:
        raise ConfigError(f"known: {error}") from None
    return Config(
        name=_text(raw, "name", env.get("NODE_NAME")),
        listen=_address(raw, "listen", env.get("NODE_LISTEN")),
        discovery=_address(raw, "discovery", env.get("NODE_DISCOVERY")),
        seed=_seed(raw.get("seed")),
        limits=_limits(raw.get("limits", {})),
        known=known,
        settings=settings,
        listener_fd=_descriptor(env),
        shared_dir=env.get("TMPDIR") or None,
        admin=_admin(raw, env),
    )


def fixed_keys_changed(old: Config, new: Config) -> list[str]:
    """Return the changed keys that need a restart; a running sidecar can only change `discovery`."""
    keys = {"admin_addr": "admin"} | {
        name: name for name in ("name", "listen", "seed", "limits", "known", "settings")
    }
    return [key for key, name in keys.items() if getattr(old, name) != getattr(new, name)]


def load_config(env: Mapping[str, str]) -> Config:
    """Load the configuration file named by the environment.

    Raises:
        ConfigError: The configuration can't be read or is invalid.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"NODE_CONFIG can't be read: {error.strerror}") from None
    return parse_config(text, env)
