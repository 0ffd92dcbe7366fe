"""Data folders written by commit 49e18d4 are still read, continued, and written to the same bytes."""

from __future__ import annotations

import json
import zlib
from pathlib import Path
from typing import Any

import orjson
import pytest

from brambleusher.controlplane.configuration.commands import command_from_json
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.controlplane.consensus.outputs import HardState, Record, Restore, Truncate
from brambleusher.controlplane.storage.storage import Storage, inspect
from brambleusher.wire.consensus_messages import Entry, Member
from tests.system.memory_disk import MemoryDisk
from tests.system.virtual_deployment import VirtualDeployment

FOLDERS = Path(__file__).parent / "recorded" / "controller"
NAMES = ["all-records", "restored", "running", "snapshot", "torn-end"]


def files_of(name: str) -> dict[str, bytes]:
    """The recorded files of a data folder, by name."""
    return {path.name: path.read_bytes() for path in sorted((FOLDERS / name).iterdir())}


def disk_of(files: dict[str, bytes]) -> MemoryDisk:
    """A disk with the given files, which are durable."""
    disk = MemoryDisk()
    for name, data in files.items():
        disk.append(name, data)
        disk.sync(name)
    disk.sync_folder()
    return disk


def contents(disk: MemoryDisk) -> dict[str, bytes]:
    return {name: disk.read(name) for name in disk.names()}


def expected_of(name: str) -> dict[str, Any]:
    expected: dict[str, Any] = json.loads((FOLDERS / f"{name}.json").read_bytes())
    return expected


def parsed(line: bytes) -> dict[str, Any]:
    """The JSON object of a stored line, which has a checksum and a space before it."""
    data: dict[str, Any] = orjson.loads(line[9:])
    return data


def members_of(data: list[dict[str, Any]]) -> tuple[Member, ...]:
    return tuple(
        Member(each["id"], each["address"], each["control"], each["zone"], each["voter"]) for each in data
    )


def record_of(data: dict[str, Any]) -> Record:
    """The record of a stored JSON object, parsed without the code under test."""
    if data["t"] == "hard":
        return HardState(data["term"], data["vote"])
    if data["t"] == "cut":
        return Truncate(data["first"])
    if data["t"] == "restore":
        return Restore(data["index"], data["term"], members_of(data["members"]), data["state"])
    assert data["t"] == "entry"
    return Entry.from_json(data["entry"])


def test_every_kind_of_record_is_among_them() -> None:
    lines = [line for name in NAMES for data in files_of(name).values() for line in data.splitlines()]
    stored = [parsed(line) for line in lines if line.endswith(b"}")]
    kinds = {data["t"] for data in stored if "t" in data}
    assert kinds == {"identity", "founders", "hard", "cut", "restore", "entry"}
    entries = {data["entry"][2] for data in stored if data.get("t") == "entry"}
    assert entries == {"none", "command", "members"}
    assert any("t" not in data for data in stored)  # a snapshot file has no record kind


@pytest.mark.parametrize("name", NAMES)
def test_inspection_reports_the_same(name: str) -> None:
    files = files_of(name)
    disk = disk_of(files)
    assert json.dumps(inspect(disk)) == json.dumps(expected_of(name)["inspect"])
    assert contents(disk) == files


@pytest.mark.parametrize("name", NAMES)
def test_recovery_finds_the_same(name: str) -> None:
    expected = expected_of(name)
    found = Storage(disk_of(files_of(name))).recover()
    inspected = expected["inspect"]
    assert (found.identity, found.term, found.vote) == (
        inspected["identity"],
        inspected["term"],
        inspected["vote"],
    )
    assert (found.log.base_index, found.log.base_term) == (inspected["snapshot_index"], expected["base_term"])
    assert [entry.as_json() for entry in found.log.entries] == expected["entries"]
    assert [member.as_json() for member in found.log.members] == inspected["members"]
    assert found.log.members_index == expected["members_index"]
    assert found.state == expected["state"]


@pytest.mark.parametrize("name", NAMES)
def test_the_state_machine_comes_to_the_same_state(name: str) -> None:
    expected = expected_of(name)
    found = Storage(disk_of(files_of(name))).recover()
    state = SharedState.from_json(found.state)
    if expected["state"] is not None:
        assert orjson.dumps(state.as_json()) == orjson.dumps(expected["state"])
    commands = [(entry.index, entry.data) for entry in found.log.entries if entry.kind.value == "command"]
    verdicts = [state.apply(index, command_from_json(data)).value for index, data in commands]
    assert verdicts == expected["verdicts"]
    assert orjson.dumps(state.as_json()) == orjson.dumps(expected["state_after_all"])


@pytest.mark.parametrize("name", NAMES)
def test_commands_are_written_as_they_were_read(name: str) -> None:
    for entry in Storage(disk_of(files_of(name))).recover().log.entries:
        if entry.kind.value == "command":
            assert isinstance(entry.data, dict)
            # Earlier versions did not write the key `seen`; now it is always written, possibly as null.
            seen = {"seen": None} if entry.data["op"] == "evacuate" else {}
            expected = {**entry.data, **{key: entry.data.get(key) for key in seen}}
            assert orjson.dumps(command_from_json(entry.data).as_json()) == orjson.dumps(expected)


@pytest.mark.parametrize("name", NAMES)
def test_the_same_records_are_written_as_the_same_bytes(name: str) -> None:
    files = files_of("all-records" if name == "torn-end" else name)
    segments = [each for each in files if each.startswith("log-")]
    stored = [parsed(line) for line in files[segments[-1]].splitlines()]
    disk = MemoryDisk()
    storage = Storage(disk)
    storage.recover()
    assert stored[0]["t"] == "identity"
    if segments[-1] == "log-0000000000000001":
        bootstrap_members = stored[1]["members"] if stored[1]["t"] == "founders" else []
        storage.begin(stored[0]["id"], members_of(bootstrap_members))
        storage.write([record_of(data) for data in stored[1 + bool(bootstrap_members) :]])
    else:  # a snapshot, and a segment that begins with the entries after it
        (snapshot,) = [parsed(data) for each, data in files.items() if each.startswith("snapshot-")]
        storage.begin("somebody")
        storage.write_snapshot(
            Restore(snapshot["index"], snapshot["term"], members_of(snapshot["members"]), snapshot["state"]),
            snapshot["identity"],
            HardState(snapshot["hard_term"], snapshot["vote"]),
            [],
        )
        assert stored[1] == {"t": "hard", "term": snapshot["hard_term"], "vote": snapshot["vote"]}
        storage.write([record_of(data) for data in stored[2:]])
    assert contents(disk) == files


def test_a_torn_end_is_cut_and_the_log_goes_on_after_it() -> None:
    deployment, torn = files_of("all-records"), files_of("torn-end")
    disk = disk_of(torn)
    storage = Storage(disk)
    storage.recover()
    (segment,) = torn
    last = deployment[segment].splitlines(keepends=True)[-1]
    assert disk.read(segment) == deployment[segment].removesuffix(last)
    storage.write([record_of(parsed(last))])
    assert contents(disk) == deployment


def test_controllers_start_from_the_recorded_folder() -> None:
    """The recorded group had three members, each of which starts from the recorded folder."""
    system = VirtualDeployment(seed=11, cores=3, gateways=0)
    try:
        for name in ("c1", "c2", "c3"):
            system.power_off(name)
        files = files_of("running")
        for name, address in (("c1", "10.1.0.1"), ("c2", "10.1.0.2"), ("c3", "10.1.0.3")):
            own = f"founder-{address}:7720".encode()
            system.disks[name] = disk_of(files if name == "c2" else renamed(files, own))
            system.power_on(name)
        system.wait(lambda: system.control("c1", "GET", "/api/config").status == 200)
        answer = system.control("c3", "GET", "/api/config").json()
        assert answer["revision"] == 8
        assert [route["name"] for route in answer["routes"]] == ["/s/", "/n7/"]
        assert system.control("c1", "POST", "/api/evacuations/n2").status == 200
    finally:
        system.close()


def renamed(files: dict[str, bytes], identity: bytes) -> dict[str, bytes]:
    """The same folder for another member of the group, with its identity and matching checksums."""
    forms = (b'{"t":"identity","id":"%b"}', b'"identity":"%b"')
    other: dict[str, bytes] = {}
    for name, data in files.items():
        other[name] = b""
        for line in data.splitlines():
            text = line[9:]
            for form in forms:
                text = text.replace(form % b"founder-10.1.0.2:7720", form % identity)
            other[name] += b"%08x %b\n" % (zlib.crc32(text), text)
    return other
