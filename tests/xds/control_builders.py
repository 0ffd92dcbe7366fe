"""Builders of configurations, endpoint lists and cores for tests of the control service."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.xds.config import ControlConfig, parse_control_config
from brambleusher.xds.core import Core
from brambleusher.xds.versions import MacSigner
from tests.rig import SETTINGS

MS, SECOND = 1_000_000, 1_000_000_000
SECRET = b"a secret for the tests"
SIGNER = MacSigner(SECRET)
AT_FIVE = ViewPosition(1, 5)


def endpoint(
    name: str, state: api.HostState = api.HostState.READY, zone: str = "z", port: int = 0
) -> Endpoint:
    return Endpoint(api.HostEntry(name, zone, "k", 0, state), ("10.0.0.1", port or 9000 + int(name[1:])))


def update(version: int, *listed: Endpoint, full: bool = True) -> EndpointListUpdate:
    return EndpointListUpdate(version, full, listed)


def control_config(folder: Path, **more: Any) -> ControlConfig:
    return parse_control_config(config_text(folder, **more), folder)


def config_text(folder: Path, **more: Any) -> bytes:
    """Return a configuration file as JSON, which is valid YAML, and write the secret file it refers to."""
    (folder / "secret").write_bytes(SECRET)
    raw = {
        "name": "c1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "secret_file": "secret",
        "store": {"file": "store.db", "new_ms": 0}, "settings": SETTINGS, "zones": ["z", "y"],
        "subscribers": [{"identity": "*", "zone": "z"}],
        "listeners": [{"name": "web", "address": "127.0.0.1:10000"}, {"name": "grpc-web"}],
        "classes": [{"name": "look", "prefixes": ["/look", "/l"], "retries": 2}, {"name": "move"}],
        "status": "127.0.0.1:0", **more,
    }  # fmt: skip
    return json.dumps({key: value for key, value in raw.items() if value is not None}).encode()


def core_with(
    folder: Path, *listed: Endpoint, version: int = 1, floor: ViewPosition | None = None, **more: Any
) -> Core:
    core = Core(control_config(folder, **more), floor, 0, is_floor_certain=True)
    core.record_endpoint_list(update(version, *listed), 0)
    position = core.position_to_write()
    if position is not None:
        core.record_written(position, 0)
    return core
