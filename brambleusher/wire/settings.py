"""The settings file of a process (TOML), parsed and validated; unknown keys are ignored."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brambleusher.wire.errors import InvalidSettingsError


class _Section(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)


class Bind(_Section):
    """Addresses (`host:port`) to listen on; the process's role determines which are set."""

    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class MachineLimits(_Section):
    """Limits on the resources of the machine."""

    memory_mb: int = 256
    fd_limit: int = 1024


class Tolerance(_Section):
    """The numbers of machines and zones whose simultaneous failure must be tolerated."""

    machines: int = 1
    zones: int = 1


class Bounds(_Section):
    """Bounds on the behavior of the system; names ending in `_ms` are in milliseconds, in `_s` in seconds."""

    ack_ms: float = 5000
    drain_ms: float = 4000
    grace_s: float = 8
    apply_ms: float = 2500
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50
    warm_up_overshoot: float = Field(default=1.5, alias="cold_overshoot")
    warm_up_slack: float = Field(default=5, alias="cold_slack")
    ttl_max_s: float = 5
    reuse_s: float = 2


class Platform(_Section):
    """The platform API that serves the instance list: its address, and its rate limit for all processes."""

    address: str = ""
    rate_per_s: float = 10
    lag_ms: float = 1000


class Settings(_Section):
    """All settings of a process."""

    node_name: str
    serves: tuple[str, ...] = ()
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str = ""
    in_force: tuple[str, ...] = ()
    zones: dict[str, str] = Field(default_factory=dict)
    bind: Bind = Bind()
    limits: MachineLimits = MachineLimits()
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    cloud_api: Platform = Platform()

    @property
    def peer_address(self) -> str:
        """The address (`host:port`) where this process receives messages from other processes."""
        return f"{self.ip}:{self.port_range[0]}"

    def seed_peers(self) -> tuple[str, ...]:
        """Return the peer addresses of the seeds: the host of each, with the first port of the port range."""
        return tuple(f"{seed.rpartition(':')[0]}:{self.port_range[0]}" for seed in self.seeds)


def read(path: str) -> Settings:
    """Read the settings in a file.

    Raises:
        InvalidSettingsError: The file cannot be read or is invalid; the error names the file and the key.
    """
    try:
        return parse(Path(path).read_text(encoding="utf-8"), path)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettingsError(path, "file", str(error)) from error


def parse(text: str, path: str) -> Settings:
    """Parse settings from TOML text; errors name `path` as the file."""
    try:
        return Settings.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise InvalidSettingsError(path, "file", f"invalid TOML: {error}") from error
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(step) for step in first["loc"]) or "file"
        raise InvalidSettingsError(path, key, f"{first['msg']}, not {first.get('input')!r}") from error
