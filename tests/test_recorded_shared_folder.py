"""Tests that the shared folder of a sidecar, written by commit 49e18d4, is read and written unchanged."""

from __future__ import annotations

import fcntl
import shutil
from pathlib import Path

import orjson
import pytest

from brambleusher.handover.process_registry import ProcessRegistry, ProcessStage
from brambleusher.handover.shared_folder import SharedFolder, folder_path
from brambleusher.handover.shared_settings import SharedSettings, SharedSettingsStore
from brambleusher.handover.state_transfer import StateTransfer, TransferredState
from brambleusher.loadbalancing.host_bans import Ban
from brambleusher.net.endpoint_list import decode_update

RECORDED = Path(__file__).parent / "recorded" / "shared-folder"
STATES = {4321: "learnt-4321.json", 4322: "learnt-4322.json"}


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return the path of a copy of the recorded folder."""
    return Path(shutil.copytree(RECORDED, tmp_path / "folder"))


def received_by(folder: Path, pid: int) -> TransferredState:
    state = StateTransfer(SharedFolder(folder, pid)).receive(lambda _: None, lambda: 0.0)
    assert state is not None
    return state


def test_what_operators_said_is_read_and_written_alike(folder: Path) -> None:
    store = SharedSettingsStore(SharedFolder(folder, 1))
    settings = store.read()
    assert settings is not None
    assert dict(settings.bans) == {
        "h0": Ban(1700000000000000001),
        "h1": Ban(1700000000000000002, 1700000000000000003),
    }
    assert (settings.is_in_service, settings.service_changed_ns) == (False, 1700000000000000004)
    store.update(lambda _: settings)
    assert (folder / "shared.json").read_bytes() == (RECORDED / "shared.json").read_bytes()


@pytest.mark.parametrize("pid", sorted(STATES))
def test_a_state_is_received_and_offered_alike(folder: Path, pid: int) -> None:
    state = received_by(folder, pid)
    assert not (folder / STATES[pid]).exists()  # the file is removed after it was read
    StateTransfer(SharedFolder(folder, 1), lambda: state).send(pid)
    assert (folder / STATES[pid]).read_bytes() == (RECORDED / STATES[pid]).read_bytes()


@pytest.mark.parametrize("pid", sorted(STATES))
def test_the_transferred_list_is_the_recorded_one(folder: Path, pid: int) -> None:
    raw = orjson.loads((RECORDED / STATES[pid]).read_bytes())
    state = received_by(folder, pid)
    assert state.discovery == raw["discovery"] == "127.0.0.1:9000"
    update = decode_update(dict(state.endpoint_list))
    assert (update.version, update.full) == (7, True)
    listed = [
        (endpoint.entry.host, endpoint.address, endpoint.entry.zone, endpoint.entry.cell)
        for endpoint in update.endpoints
    ]
    assert listed == [
        (server["id"], (f"10.0.0.{at + 1}", 80), server["zone"], server["cell"])
        for at, server in enumerate(raw["list"]["servers"])
    ]


def test_files_of_processes_are_named_alike(tmp_path: Path) -> None:
    """Processes of commit 49e18d4 and of the current version find each other by these file names."""
    assert folder_path("/tmp", "n/0") == Path("/tmp/brambleusher-n_0")
    registry = ProcessRegistry(SharedFolder(tmp_path, 7))
    seen = []
    assert not registry.register()
    seen.append([path.name for path in tmp_path.iterdir()])
    for stage in (ProcessStage.SERVING, ProcessStage.DRAINING):
        registry.set_stage(stage)
        seen.append([path.name for path in tmp_path.iterdir()])
    assert seen == [["starting-7"], ["serving-7"], ["leaving-7"]]
    SharedSettingsStore(SharedFolder(tmp_path, 7)).update(lambda _: SharedSettings({}))
    assert sorted(path.name for path in tmp_path.iterdir()) == ["leaving-7", "lock", "shared.json"]
    registry.unregister()


@pytest.mark.parametrize("name", ["starting-99", "serving-99", "leaving-99", "joining-99"])
def test_a_process_of_the_recorded_version_is_seen(name: str, tmp_path: Path) -> None:
    registry = ProcessRegistry(SharedFolder(tmp_path, 7))
    with (tmp_path / name).open("w") as other:
        fcntl.flock(other, fcntl.LOCK_EX)
        assert registry.register() is (name == "serving-99")
        assert registry.process_count == (1 if name == "joining-99" else 2)
    registry.unregister()
