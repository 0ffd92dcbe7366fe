"""The durable log: incomplete records, corruption, full disks, and a power loss at every disk operation."""

from __future__ import annotations

import contextlib
import random

import pytest

from brambleusher.controlplane.consensus.outputs import (
    BootstrapMembersRecord,
    HardState,
    Record,
    Restore,
    Truncate,
)
from brambleusher.controlplane.storage.errors import CorruptStorageError
from brambleusher.controlplane.storage.observers_file import OBSERVERS_FILE
from brambleusher.controlplane.storage.storage import Storage, inspect, recover_read_only
from brambleusher.wire.consensus_messages import Entry, EntryKind, Member
from tests.system.memory_disk import MemoryDisk, PowerLossError

MEMBERS = tuple(Member(name, f"10.0.0.{at}:1", f"10.0.0.{at}:2", "z", True) for at, name in enumerate("abc"))


def entry(index: int, term: int = 1) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, {"op": "evacuate", "zone": f"z{index}", "evacuated": True})


def begun(disk: MemoryDisk) -> Storage:
    storage = Storage(disk)
    storage.recover()
    storage.begin("a", MEMBERS)
    return storage


def test_written_records_are_recovered() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([HardState(3, "b"), entry(1), entry(2)])
    storage.write([Truncate(2), entry(2, term=3), HardState(4, "")])
    found = Storage(disk).recover()
    assert (found.identity, found.term, found.vote) == ("a", 4, "")
    assert [(each.index, each.term) for each in found.log.entries] == [(1, 1), (2, 3)]
    assert found.log.members == MEMBERS


def test_records_of_the_first_start_are_recovered() -> None:
    disk = MemoryDisk()
    begun(disk).write([HardState(1, "a"), BootstrapMembersRecord(MEMBERS[:1]), entry(1)])
    found = Storage(disk).recover()
    assert (found.log.members, found.log.last_index, found.bootstrap_seeds) == (MEMBERS[:1], 1, ())
    disk = MemoryDisk()
    storage = Storage(disk)
    storage.recover()
    storage.begin("a", bootstrap_seeds=("10.0.0.1:1", "10.0.0.2:1"))
    found = Storage(disk).recover()
    assert (found.identity, found.log.members) == ("a", ())
    assert found.bootstrap_seeds == ("10.0.0.1:1", "10.0.0.2:1")


def test_a_restored_snapshot_replaces_earlier_entries() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([entry(1), Restore(7, 2, MEMBERS[:2], {"revision": 5}), entry(8, 2)])
    found = Storage(disk).recover()
    assert (found.log.base_index, found.log.last_index, found.state) == (7, 8, {"revision": 5})
    assert found.log.members == MEMBERS[:2]


def test_a_torn_end_is_truncated_at_every_byte() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([entry(1)])
    name = disk.names()[-1]
    complete_bytes = len(disk.files[name].data)
    storage.write([entry(2)])
    full = bytes(disk.files[name].data)
    for size in range(complete_bytes, len(full)):
        disk.files[name].data = bytearray(full[:size])
        found = Storage(disk).recover()
        assert found.log.last_index == 1
        assert len(disk.files[name].data) == complete_bytes


def test_a_changed_byte_ends_the_log_before_it() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([entry(1)])
    name = disk.names()[-1]
    before = len(disk.files[name].data)
    storage.write([entry(2)])
    for at in range(before, len(disk.files[name].data)):
        original = disk.files[name].data[at]
        disk.files[name].data[at] = original ^ 1
        assert recover_read_only(disk).log.last_index == 1
        disk.files[name].data[at] = original


def test_corruption_before_the_last_segment_is_an_error() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([entry(1), entry(2)])
    first = disk.names()[-1]
    old = bytes(disk.files[first].data)
    storage.write_snapshot(snapshot(1), "a", HardState(1, ""), [entry(2)])
    disk.append(first, old[:-4])
    with pytest.raises(CorruptStorageError, match=first):
        Storage(disk).recover()


def snapshot(index: int) -> Restore:
    return Restore(index, 1, MEMBERS, {"revision": index})


def test_a_snapshot_leaves_one_segment_with_the_entries_after_it() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([HardState(2, "c"), entry(1), entry(2), entry(3)])
    storage.write_snapshot(snapshot(2), "a", HardState(2, "c"), [entry(3)])
    storage.write([entry(4)])
    assert len(disk.names()) == 2
    found = Storage(disk).recover()
    assert (found.identity, found.term, found.vote, found.state) == ("a", 2, "c", {"revision": 2})
    assert (found.log.base_index, found.log.last_index) == (2, 4)


def test_a_full_disk_loses_nothing_and_recovers_once_it_has_capacity() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([entry(1)])
    disk.full = True
    for _ in range(3):
        with pytest.raises(OSError, match="No space"):
            storage.write([entry(2)])
    disk.full = False
    storage.write([entry(2)])
    assert Storage(disk).recover().log.last_index == 2


def play(disk: MemoryDisk, acknowledged: list[int]) -> None:
    """Write entries with snapshots in between, and add the indexes of synced entries to `acknowledged`."""
    storage = Storage(disk)
    found = storage.recover()
    if not found.identity:
        storage.begin("a", MEMBERS)
    index = found.log.last_index
    for step in range(1, 14):
        index += 1
        records: list[Record] = [entry(index)]
        storage.write(records)
        acknowledged.append(index)
        if step % 3 == 0:
            storage.write_snapshot(snapshot(index - 1), "a", HardState(1, ""), [entry(index)])


def play_until(disk: MemoryDisk, at: int, acknowledged: list[int]) -> None:
    """Run `play` until power is lost at change number `at` of the disk."""

    def lose(change: int, what: str) -> None:
        if change == at:
            raise PowerLossError

    disk.before = lose
    with pytest.raises(PowerLossError):
        play(disk, acknowledged)
    disk.before = None


def test_power_lost_at_every_change_loses_nothing_that_was_synced() -> None:
    undisturbed = MemoryDisk()
    play(undisturbed, [])
    assert undisturbed.changes > 60
    for at in range(1, undisturbed.changes + 1):
        for seed in range(12):
            disk, acknowledged = MemoryDisk(), list[int]()
            play_until(disk, at, acknowledged)
            disk.lose_power(random.Random(seed), nothing_unsynced=seed == 0)
            found = Storage(disk).recover()
            assert found.log.last_index >= (acknowledged or [0])[-1], (at, seed)
            assert found.identity in ("", "a")
            assert found.identity or not acknowledged
            play(disk, [])  # the recovered storage can be written again


def test_a_forgotten_sync_of_the_folder_is_found() -> None:
    """Without syncs of the folder, some power loss loses a synced entry, so the test above can detect it."""
    lost = 0
    undisturbed = MemoryDisk()
    play(undisturbed, [])
    for at in range(1, undisturbed.changes + 1):
        for seed in range(4):
            disk, acknowledged = MemoryDisk(), list[int]()
            disk.folder_syncs = False
            play_until(disk, at, acknowledged)
            disk.lose_power(random.Random(seed))
            try:
                lost += Storage(disk).recover().log.last_index < (acknowledged or [0])[-1]
            except CorruptStorageError:
                lost += 1
    assert lost


def test_inspecting_a_folder_does_not_change_it() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write([entry(1)])
    disk.append(disk.names()[-1], b"torn")
    before = {name: disk.read(name) for name in disk.names()}
    shown = inspect(disk)
    assert (shown["identity"], shown["last_index"]) == ("a", 1)
    assert {name: disk.read(name) for name in disk.names()} == before


OLD_OBSERVERS, NEW_OBSERVERS = ("10.4.0.1:1",), ("10.4.0.1:1", "10.4.0.2:1")


def test_observers_are_recovered_beside_the_log_and_outlive_a_snapshot() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    assert Storage(disk).recover().observers == ()
    storage.write_observers(NEW_OBSERVERS)
    storage.write([entry(1), entry(2)])
    storage.write_snapshot(snapshot(1), "a", HardState(1, ""), [entry(2)])
    found = Storage(disk).recover()
    assert (found.observers, found.log.last_index) == (NEW_OBSERVERS, 2)


def test_power_lost_at_every_change_leaves_the_old_or_the_new_observers() -> None:
    for at in range(1, 6):
        for seed in range(12):
            disk = MemoryDisk()
            storage = begun(disk)
            storage.write_observers(OLD_OBSERVERS)
            last_change = disk.changes + at

            def lose(change: int, what: str, last_change: int = last_change) -> None:
                if change == last_change:
                    raise PowerLossError

            disk.before = lose
            with contextlib.suppress(PowerLossError):
                storage.write_observers(NEW_OBSERVERS)
            disk.before = None
            disk.lose_power(random.Random(seed), nothing_unsynced=seed == 0)
            assert Storage(disk).recover().observers in (OLD_OBSERVERS, NEW_OBSERVERS), (at, seed)


def test_unreadable_observers_are_dropped_and_the_log_is_kept() -> None:
    disk = MemoryDisk()
    storage = begun(disk)
    storage.write_observers(NEW_OBSERVERS)
    storage.write([entry(1)])
    disk.files[OBSERVERS_FILE].data[-4] ^= 1
    found = Storage(disk).recover()
    assert (found.observers, found.log.last_index) == ((), 1)
