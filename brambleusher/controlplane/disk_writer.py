"""Writes a replica's log records, snapshots and known observers to disk in order, on a worker thread."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from brambleusher.controlplane.consensus.outputs import HardState, Record, Restore
from brambleusher.controlplane.storage.storage import Storage
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire.consensus_messages import Entry

log = logging.getLogger(__name__)

RETRY_BACKOFF_S = 0.2  # delay before a failed write is retried


@dataclass(frozen=True, slots=True)
class RecordsJob:
    """Records to append and sync.

    `last_number` is the number of the last record; records are numbered from 1 since the start of the
    process.
    """

    records: list[Record]
    last_number: int


@dataclass(frozen=True, slots=True)
class SnapshotJob:
    """A snapshot to write, and the log entries that follow it."""

    snapshot: Restore
    hard_state: HardState
    entries: list[Entry]


@dataclass(frozen=True, slots=True)
class ObserversJob:
    """The addresses of all known observers."""

    addresses: tuple[str, ...]


Job = RecordsJob | SnapshotJob | ObserversJob


class DiskWriter:
    """Queue of write jobs for the disk's worker thread; a failed job is retried after `RETRY_BACKOFF_S`.

    Callbacks run on the serving thread.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        storage: Storage,
        identity: str,
        on_synced: Callable[[], None],
        on_snapshot_written: Callable[[int], None],
    ) -> None:
        """Start the worker thread.

        Args:
            scheduler: The scheduler of the serving thread.
            storage: The storage to write to; only the worker may use it from now on.
            identity: The identity of the replica, written at the start of each segment.
            on_synced: Called after `synced_number` has advanced.
            on_snapshot_written: Called with the index of a snapshot once the snapshot is durable.
        """
        self._scheduler, self._storage, self._identity = scheduler, storage, identity
        self._on_synced, self._on_snapshot_written = on_synced, on_snapshot_written
        self._jobs: deque[Job] = deque()  # guarded by the worker's lock, as is `_is_backing_off`
        self._appended_number = 0
        self.synced_number = 0  # number of the last record that is durable
        self._is_snapshot_pending = False
        self._is_backing_off = False
        self._worker = scheduler.system.worker("disk", self._is_due, self._run_next)

    @property
    def pending_jobs(self) -> int:
        """The number of jobs that are queued or running."""
        return len(self._jobs)

    @property
    def is_snapshot_due(self) -> bool:
        """Whether the segment is large enough for a snapshot, and no snapshot is pending."""
        return self._storage.is_snapshot_due and not self._is_snapshot_pending

    def append(self, records: list[Record]) -> None:
        """Queue records and assign them the next record numbers."""
        self._appended_number += len(records)
        self._queue(RecordsJob(records, self._appended_number))

    def write_snapshot(self, snapshot: Restore, hard_state: HardState, entries: list[Entry]) -> None:
        """Queue a snapshot with the log entries that follow it."""
        self._is_snapshot_pending = True
        self._queue(SnapshotJob(snapshot, hard_state, entries))

    def write_observers(self, addresses: tuple[str, ...]) -> None:
        """Queue the addresses of all known observers, which replace those on the disk."""
        self._queue(ObserversJob(addresses))

    def _queue(self, job: Job) -> None:
        with self._worker.lock:
            self._jobs.append(job)
            self._worker.wake()

    # --- on the worker thread --------------------------------------------------------------------

    def _is_due(self) -> bool:
        return bool(self._jobs) and not self._is_backing_off

    def _run_next(self) -> None:
        """Run the next job; consecutive record jobs are written and synced together."""
        with self._worker.lock:
            job, job_count = self._next_job()
        try:
            self._execute(job)
        except OSError as error:
            with self._worker.lock:
                self._is_backing_off = True
            reason = str(error)
            self._scheduler.call_soon(lambda: self._failed(reason))
            return
        with self._worker.lock:
            for _ in range(job_count):
                self._jobs.popleft()
        self._scheduler.call_soon(lambda: self._done(job))

    def _execute(self, job: Job) -> None:
        match job:
            case RecordsJob():
                self._storage.write(job.records)
            case SnapshotJob():
                self._storage.write_snapshot(job.snapshot, self._identity, job.hard_state, job.entries)
            case ObserversJob():
                self._storage.write_observers(job.addresses)

    def _next_job(self) -> tuple[Job, int]:
        """Return the next job, and how many queued jobs it combines."""
        first = self._jobs[0]
        if not isinstance(first, RecordsJob):
            return first, 1
        records, last_number, job_count = list(first.records), first.last_number, 1
        while job_count < len(self._jobs):
            following = self._jobs[job_count]
            if not isinstance(following, RecordsJob):
                break
            records += following.records
            last_number, job_count = following.last_number, job_count + 1
        return RecordsJob(records, last_number), job_count

    # --- on the serving thread -------------------------------------------------------------------

    def _failed(self, reason: str) -> None:
        log.warning("disk write failed", extra={"fields": {"reason": reason, "retry_s": RETRY_BACKOFF_S}})
        self._scheduler.call_at(self._scheduler.now() + RETRY_BACKOFF_S, self._retry)

    def _retry(self) -> None:
        with self._worker.lock:
            self._is_backing_off = False
            self._worker.wake()

    def _done(self, job: Job) -> None:
        match job:
            case RecordsJob():
                self.synced_number = max(self.synced_number, job.last_number)
                self._on_synced()
            case SnapshotJob():
                self._is_snapshot_pending = False
                self._on_snapshot_written(job.snapshot.index)
            case ObserversJob():
                pass
