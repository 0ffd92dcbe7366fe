"""Check that recorded files are read as commit 49e18d4 read them.

Guards against changes in the format of operator files, the xDS store and xDS resources: the same values must
result, and an error message must name the same key.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import shutil
import sqlite3
from collections.abc import Callable
from contextlib import closing
from enum import Enum
from pathlib import Path
from typing import Any

import pytest
from pydantic import BaseModel

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.operator_settings.configuration import parse_operator_file
from brambleusher.sidecar.configuration import parse_config
from brambleusher.wire import configuration, policy, settings
from brambleusher.xds.config import load_control_config
from brambleusher.xds.resources import build_static_resources
from brambleusher.xds.snapshot import Resource
from brambleusher.xds.store import Store
from brambleusher.xds.versions import MacSigner

RECORDED = Path(__file__).parent / "recorded"
FILES, XDS = RECORDED / "files", RECORDED / "xds"
VALUES: dict[str, Any] = json.loads((FILES / "values.json").read_bytes())
RESOURCES: dict[str, Any] = json.loads((XDS / "resources.json").read_bytes())
# By invalid file: the key that the error message must name, with the file's name where the reader adds it.
REFUSED = {
    "configuration-lacks.json": "routes.0.path_prefix",
    "configuration-twice.json": "body",
    "configuration-unknown-service.json": "routes.0",
    "operator-circle.yaml": "zones.neighbours.a",
    "operator-protected.yaml": "rewrites[0].drop",
    "operator-range.yaml": "figures.flush_ms",
    "operator-twice.yaml": "status",
    "operator-unknown.yaml": "sizes",
    "policy-unknown-key.toml": "policy-unknown-key.toml: subsets",
    "policy-wrong-type.toml": "policy-wrong-type.toml: subset",
    "settings-wrong.toml": "settings-wrong.toml: port_range.1",
    "sidecar-no-settings.json": "settings",
    "sidecar-wrong.json": "limits.cores",
}

READERS: dict[str, Callable[[Path], Any]] = {
    "policy": lambda path: policy.read(path.name),
    "settings": lambda path: settings.read(path.name),
    "configuration": lambda path: configuration.read(path.read_bytes()),
    "operator": lambda path: parse_operator_file(path.read_bytes()),
    "sidecar": lambda path: parse_config(path.read_bytes(), {"NODE_FD": "7", "TMPDIR": "/tmp"}),
    "control": lambda path: load_control_config(path.name),
}


def values_of(item: Any) -> Any:
    """Return a configuration object as nested JSON values, with fields in the order of their declaration."""
    if isinstance(item, Enum):
        return item.value
    if isinstance(item, BaseModel):
        return [values_of(getattr(item, name)) for name in type(item).model_fields]
    if dataclasses.is_dataclass(item):
        return [values_of(getattr(item, field.name)) for field in dataclasses.fields(item)]
    if isinstance(item, dict):
        return {str(key): values_of(value) for key, value in item.items()}
    if isinstance(item, list | tuple | set | frozenset):
        return [values_of(each) for each in item]
    return item.decode() if isinstance(item, bytes) else item


@pytest.fixture
def folder(monkeypatch: pytest.MonkeyPatch) -> Path:
    """Make the directory of recorded files the working directory, since messages contain relative paths."""
    monkeypatch.chdir(FILES)
    return FILES


def read(path: Path) -> Any:
    """Return the values of a recorded file, read by the reader for the prefix of its name."""
    return values_of(READERS[path.stem.split("-")[0]](path))


@pytest.mark.parametrize("name", sorted(VALUES.keys() - REFUSED.keys()))
def test_a_file_has_the_recorded_values(name: str, folder: Path) -> None:
    assert json.dumps(read(folder / name)) == json.dumps(VALUES[name])


@pytest.mark.parametrize("name", sorted(REFUSED))
def test_a_refusal_names_the_same_key(name: str, folder: Path) -> None:
    key = REFUSED[name]
    assert VALUES[name].startswith("refused: ") and key in VALUES[name]
    with pytest.raises(Exception) as caught:
        read(folder / name)
    assert key in str(caught.value)


def test_the_keys_of_a_policy_and_their_defaults_are_the_recorded_ones() -> None:
    keys = [
        "own_region_first", "subset", "prefix_keepers", "spare_weights", "latency_index", "health", "silence",
        "room_above_share", "fleet_figures", "reported_load", "cold_budget", "retry_budget",
        "rest_after_failure", "zone_rests", "resume", "idle_trust",
    ]  # fmt: skip
    assert [(key, default) for key, default, _ in policy.key_descriptions()] == [
        (key, "true") for key in keys
    ]


# --- the xDS service -------------------------------------------------------------------------------

SIGNER = MacSigner((FILES / "control.secret").read_bytes())


def row_of(path: Path) -> bytes:
    with closing(sqlite3.connect(path)) as db:
        return bytes(db.execute("SELECT row FROM place WHERE id = 1").fetchone()[0])


def test_the_store_is_read_and_written_alike(tmp_path: Path) -> None:
    for name in ("control.db", "control.db-journal"):
        shutil.copy(XDS / name, tmp_path)
    with closing(Store(str(tmp_path / "control.db"), SIGNER)) as old:
        assert (old.floor, old.starts, old.had_corrupt_file) == (ViewPosition(3, 41), 2, False)
        old.record_start()
        old.write(ViewPosition(3, 42))
    with closing(Store(str(tmp_path / "control.db"), SIGNER)) as again:
        assert (again.floor, again.starts, again.had_corrupt_file) == (ViewPosition(3, 42), 3, False)
    with closing(Store(str(tmp_path / "new.db"), SIGNER)) as new:
        new.record_start()
        new.write(ViewPosition(3, 41))
        new.record_start()
    assert row_of(tmp_path / "new.db") == row_of(XDS / "control.db")


def test_versions_and_resources_have_the_recorded_bytes(folder: Path) -> None:
    assert SIGNER.version(ViewPosition(3, 41), "0123456789abcdef") == RESOURCES["version"]
    claim = SIGNER.parse(RESOURCES["version"])
    assert claim is not None and (claim.position, claim.digest) == (ViewPosition(3, 41), "0123456789abcdef")
    config = load_control_config("control.yaml")
    made: dict[str, list[Any]] = {}
    for group in config.groups:
        for kind, drafts in build_static_resources(config, group).items():
            for draft in drafts:
                resource = Resource.make(
                    kind, draft.name, draft.body, SIGNER, ViewPosition(3, 41), draft.refers
                )
                entries = hashlib.sha256(resource.state_entry + resource.delta_entry).hexdigest()
                name = f"{group.identity} {kind} {draft.name}"
                made[name] = [resource.version, entries, sorted(resource.refers)]
    assert made == RESOURCES["resources"]
