"""The disk writer: records are batched, snapshots are written in order, and failed jobs are retried."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from typing import Any, cast

import pytest

from brambleusher.controlplane.consensus.outputs import HardState, Record, Restore
from brambleusher.controlplane.disk_writer import RETRY_BACKOFF_S, DiskWriter
from brambleusher.controlplane.storage.storage import Storage
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.consensus_messages import Entry, EntryKind, Member
from tests.system.memory_disk import MemoryDisk

MEMBERS = (Member("a", "10.0.0.1:1", "10.0.0.1:2", "z", True),)


class ManualWorker:
    """A worker whose jobs the test runs explicitly."""

    lock: AbstractContextManager[None] = nullcontext()

    def __init__(self, due: Callable[[], bool], run_next: Callable[[], None]) -> None:
        self._due, self._run_next = due, run_next

    def wake(self) -> None:
        pass

    def run(self) -> int:
        """Run jobs while any is due; return how many were run."""
        runs = 0
        while self._due():
            self._run_next()
            runs += 1
        return runs


class ManualScheduler:
    """A scheduler whose callbacks the test runs explicitly."""

    def __init__(self) -> None:
        self.system = self
        self.calls: list[Callable[[], object]] = []
        self.timers: list[tuple[float, Callable[[], object]]] = []
        self.made_worker: ManualWorker | None = None

    def worker(self, name: str, due: Callable[[], bool], run_next: Callable[[], None]) -> ManualWorker:
        self.made_worker = ManualWorker(due, run_next)
        return self.made_worker

    def now(self) -> float:
        return 10.0

    def call_soon(self, call: Callable[[], object]) -> None:
        self.calls.append(call)

    def call_at(self, when: float, call: Callable[[], object]) -> None:
        self.timers.append((when, call))

    def run_calls(self) -> None:
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class Rig:
    """A disk writer with its disk, worker and scheduler, and the callbacks that it made."""

    def __init__(self) -> None:
        self.disk = MemoryDisk()
        storage = Storage(self.disk)
        storage.recover()
        storage.begin("a", MEMBERS)
        self.scheduler = ManualScheduler()
        self.synced: list[int] = []
        self.snapshots: list[int] = []
        self.writer = DiskWriter(
            cast(Scheduler, cast(Any, self.scheduler)),
            storage,
            "a",
            lambda: self.synced.append(self.writer.synced_number),
            self.snapshots.append,
        )
        assert self.scheduler.made_worker is not None
        self.worker = self.scheduler.made_worker

    def recovered_index(self) -> int:
        return Storage(self.disk).recover().log.last_index


@pytest.fixture
def rig() -> Rig:
    return Rig()


def entries(first: int, last: int) -> list[Record]:
    return [Entry(index, 1, EntryKind.COMMAND, {}) for index in range(first, last + 1)]


def test_consecutive_records_are_written_and_synced_together(rig: Rig) -> None:
    rig.writer.append(entries(1, 2))
    rig.writer.append(entries(3, 3))
    assert rig.writer.pending_jobs == 2
    assert rig.worker.run() == 1
    assert rig.synced == []  # the callback has not run on the serving thread yet
    rig.scheduler.run_calls()
    assert rig.synced == [3]
    assert rig.writer.pending_jobs == 0
    assert rig.recovered_index() == 3


def test_a_snapshot_is_written_between_the_records_before_and_after_it(rig: Rig) -> None:
    rig.writer.append(entries(1, 2))
    rig.writer.write_snapshot(Restore(1, 1, MEMBERS, {"revision": 1}), HardState(1, ""), [*_entry(2)])
    rig.writer.append(entries(3, 3))
    assert rig.worker.run() == 3
    rig.scheduler.run_calls()
    assert rig.snapshots == [1]
    assert rig.synced == [2, 3]
    recovered = Storage(rig.disk).recover()
    assert (recovered.log.base_index, recovered.log.last_index) == (1, 3)
    assert recovered.state == {"revision": 1}


def _entry(index: int) -> list[Entry]:
    return [Entry(index, 1, EntryKind.COMMAND, {})]


def test_observers_are_written_between_records_without_a_callback(rig: Rig) -> None:
    rig.writer.append(entries(1, 1))
    rig.writer.write_observers(("10.4.0.1:1",))
    rig.writer.append(entries(2, 2))
    assert rig.worker.run() == 3
    rig.scheduler.run_calls()
    assert (rig.synced, rig.snapshots) == ([1, 2], [])
    assert Storage(rig.disk).recover().observers == ("10.4.0.1:1",)
    assert rig.recovered_index() == 2


def test_a_failed_write_is_retried_after_a_backoff_and_loses_nothing(rig: Rig) -> None:
    rig.disk.full = True
    rig.writer.append(entries(1, 1))
    assert rig.worker.run() == 1
    rig.scheduler.run_calls()
    rig.writer.append(entries(2, 2))
    assert rig.worker.run() == 0  # the writer is backing off
    assert rig.synced == []
    rig.disk.full = False
    [(when, retry)] = rig.scheduler.timers
    assert when == 10.0 + RETRY_BACKOFF_S
    retry()
    assert rig.worker.run() == 1
    rig.scheduler.run_calls()
    assert rig.synced == [2]
    assert rig.recovered_index() == 2
