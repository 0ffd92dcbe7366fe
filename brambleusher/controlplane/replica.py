"""One replica of the configuration shard: joins agreement, disk and state machine; a task and a worker."""

from __future__ import annotations

import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from brambleusher.controlplane.configuration.commands import Command, Verdict, command_from_json
from brambleusher.controlplane.configuration.replicated_state import (
    IndexResult,
    NoLeaderError,
    ReadResult,
    SubmitResult,
)
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.controlplane.consensus.outputs import HardState, Outgoing, Record, Restore
from brambleusher.controlplane.consensus.replica_state import Consensus
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.storage.errors import CorruptStorageError
from brambleusher.controlplane.storage.recovery import RecoveredState
from brambleusher.controlplane.storage.storage import Storage
from brambleusher.runtime.disk import Disk
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

DISK_RETRY_S = 0.2
JOIN_EVERY_S = 0.5
FORWARD_S = 0.45  # for the leader to answer what was forwarded; then the way is looked for anew
LOOK_AGAIN_S = 0.03
LEAVE_EVERY_S = 0.1  # a replica that is about to end asks again for another to get its vote
LEAST_SLEEP_S = 0.005
WAITERS_MAX = 256
FOUNDER = "founder-"  # begins the identities of the first group, followed by the address


class PendingProposal:
    """A task that waits for an answer to what it proposed, forwarded or read."""

    __slots__ = ("answer", "event")

    def __init__(self) -> None:
        self.event = Event()
        self.answer: Any = None

    def done(self, answer: Any) -> None:
        """Wake it with an answer."""
        self.answer = answer
        self.event.set()


@dataclass(slots=True)
class SnapshotJob:
    """Work for the disk: a snapshot and the entries after it."""

    snapshot: Restore
    hard: HardState
    rest: list[Entry]


class Replica:
    """Serves commands and reads; `changed` is called whenever the state has a new version."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        disk: Disk,
        send: Callable[[str, dict[str, Any]], None],
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        self._scheduler, self._settings, self._send = scheduler, settings, send
        self._changed = changed
        self._rng = rng
        self._storage = Storage(disk)
        found = self._recover(disk)
        self.state = SharedState.from_json(found.state)
        self._applied = found.log.base_index  # up to which `state` holds everything
        self.identity = self._identity(found)
        self.consensus = Consensus(
            self.identity,
            found.log,
            found.term,
            found.vote,
            scheduler.now(),
            rng,
            max(3, settings.tolerance.machines * 2 + 1),
        )
        self._routes: dict[str, str] = {}  # identity: address, of replicas that are no members
        self._jobs: deque[tuple[int, list[Record] | SnapshotJob]] = deque()
        self._handed = self._synced = 0
        self._held: deque[Outgoing] = deque()
        self._waiting: dict[int, tuple[int, PendingProposal]] = {}
        self._forwarded: dict[int, tuple[str, PendingProposal]] = {}  # by number: who was asked, who waits
        self._forward_count = rng.randrange(1 << 40)
        self._snapshot_under_way = False
        self._joined_at = self._sleeps_until = 0.0
        self.seeds: tuple[str, ...] = settings.seed_peers()
        self.known_controllers: Callable[[], list[str]] = list
        self.consensus.zone_by_address = self._zones
        self.consensus.region_by_zone = settings.zones
        self.known_zones: Callable[[], dict[str, str]] = dict
        self._event = Event()
        self._resting = False  # after an error of the disk
        self._worker = scheduler.system.worker("disk", self._disk_due, self._disk_turn)
        self._pump()
        scheduler.spawn(self._run, name="replica")

    # --- start -----------------------------------------------------------------------------------

    def _recover(self, disk: Disk) -> RecoveredState:
        try:
            return self._storage.recover()
        except CorruptStorageError as error:
            # What can't be trusted is a lost disk: the replica comes back as a new member.
            log.error("the disk can't be read and is emptied", extra={"fields": {"why": str(error)}})
            for name in disk.names():
                disk.remove(name)
            disk.sync_folder()
            self._storage = Storage(disk)
            return self._storage.recover()

    def _identity(self, found: RecoveredState) -> Member:
        """Who this replica is: as the disk says, else anew; the seeds of the first start are known to all."""
        settings = self._settings
        identity = found.identity
        if not identity:
            seeds = dict(zip(settings.seed_peers(), settings.seeds, strict=True))
            founders: tuple[Member, ...] = ()
            identity = f"{self._rng.getrandbits(64):016x}"
            if settings.bootstrap and settings.peer_address in seeds:
                identity = FOUNDER + settings.peer_address
                founders = tuple(
                    Member(FOUNDER + peer, peer, seeds[peer], "", True) for peer in sorted(seeds)
                )
            self._begin(identity, founders)
            found.log = Log(0, 0, founders)
        return Member(identity, settings.peer_address, settings.bind.control, settings.zone, False)

    def _begin(self, identity: str, founders: tuple[Member, ...]) -> None:
        """Write the new identity before anything is said under it, however long the disk takes."""
        while True:
            try:
                self._storage.begin(identity, founders)
                return
            except OSError as error:
                log.warning("the disk refuses the first write", extra={"fields": {"why": str(error)}})
                self._scheduler.system.sleep(DISK_RETRY_S)

    # --- what callers ask ------------------------------------------------------------------------

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Have a command applied, here or by the leader; waits until the deadline at the latest."""
        while self._scheduler.now() < deadline:
            answer = (
                self._propose(command, deadline)
                if self.consensus.accepts_proposals()
                else self._forward({"command": command.as_json()}, deadline)
            )
            if isinstance(answer, Verdict):
                return Ok(answer)
            if isinstance(answer, str):
                return Ok(Verdict(answer))
        return Err(NoLeaderError())

    @property
    def applied_index(self) -> int:
        """The index up to which `state` holds everything."""
        return self._applied

    def read_applied_index(self, deadline: float) -> IndexResult:
        """The same, known at once here."""
        return Ok(self.applied_index)

    def read(self, deadline: float) -> ReadResult:
        """The state as a majority has it at this moment."""
        while self._scheduler.now() < deadline:
            if self.consensus.is_leader:
                if self._confirmed(min(deadline, self._scheduler.now() + FORWARD_S)):
                    return Ok(self.state)
                self._scheduler.sleep(LOOK_AGAIN_S)
                continue
            answer = self._forward({"read": True}, deadline)
            if isinstance(answer, dict):
                return Ok(SharedState.from_json(answer))
        return Err(NoLeaderError())

    def _confirmed(self, deadline: float) -> bool:
        """Whether a majority still follows this leader, so that its state is the newest."""
        waiter = PendingProposal()
        self.consensus.read(waiter.done)
        self._pump()
        return self._wait(waiter, deadline) is True

    def begin_graceful_shutdown(self) -> None:
        """This process is about to end: hand over the lead and the vote, where others can have them."""
        if not self.consensus.is_shutting_down:
            self.consensus.is_shutting_down = True
            self._scheduler.spawn(self._hand_over_vote, name="leave")

    def _hand_over_vote(self) -> None:
        """Tell all members, since whoever leads next has to know too."""
        request = wire.encode_message(wire.LeaveRequest(self.identity.id))
        while True:
            if self.consensus.accepts_proposals():
                self.consensus.transfer_leadership()
                self._pump()
            for member in self.consensus.log.members:
                if member.id != self.identity.id:
                    self._send(member.address, request)
            self._scheduler.sleep(LEAVE_EVERY_S)

    def has_vote(self) -> bool:
        """Whether a quorum may need this replica."""
        return self.consensus.has_vote()

    def voters(self) -> list[str]:
        """Addresses of those that have a vote."""
        return [member.address for member in self.consensus.voters]

    def status(self) -> dict[str, Any]:
        """The state as one JSON object."""
        return {
            **self.consensus.status(),
            "revision": self.state.revision,
            "version": self.state.index,
            "evacuated": self.state.evacuated_zones,
            "disk_jobs": len(self._jobs),
        }

    # --- messages of others ----------------------------------------------------------------------

    def handle(self, data: dict[str, Any], sender: str) -> None:
        """A message between replicas; raises `InvalidMessageError`."""
        kind = data.get("kind")
        if kind == "forward":
            self._scheduler.spawn(self._serve_forward, data, sender, name="forwarded")
            return
        if kind == "forwarded":
            self._take_forwarded(data, sender)
            return
        message = wire.decode_message(data)
        if isinstance(message, wire.JoinRequest):
            self._pass_join(message, sender)
        else:
            self._route(message.sender, sender)
        self.consensus.handle_message(message, self._scheduler.now())
        self._pump()

    def _pass_join(self, request: wire.JoinRequest, sender: str) -> None:
        """A newcomer may not know the leader: what it says itself is passed on, once."""
        leader = self.consensus.leader_member()
        itself = sender == request.member.address
        if itself and leader is not None and leader.address not in (sender, self.identity.address):
            self._send(leader.address, wire.encode_message(request))

    def _take_forwarded(self, data: dict[str, Any], sender: str) -> None:
        """An answer to what was forwarded: only from the replica that was asked."""
        number = data.get("number")
        asked, waiter = self._forwarded.get(number, ("", None)) if isinstance(number, int) else ("", None)
        if waiter is not None and asked == sender:
            waiter.done(data.get("answer"))

    def _zones(self) -> dict[str, str]:
        """Zones of replicas by address, as far as they told them."""
        return {**self.known_zones(), self.identity.address: self.identity.zone}

    def _route(self, identity: str, address: str) -> None:
        self._routes[identity] = address
        if len(self._routes) > WAITERS_MAX:
            del self._routes[next(iter(self._routes))]

    def _serve_forward(self, data: dict[str, Any], sender: str) -> None:
        deadline = self._scheduler.now() + FORWARD_S
        answer: Any = None
        if "command" in data and self.consensus.accepts_proposals():
            verdict = self._propose(command_from_json(data["command"]), deadline)
            answer = verdict.value if verdict is not None else None
        elif data.get("read") and self.consensus.is_leader and self._confirmed(deadline):
            answer = self.state.as_read_json()
        self._send(sender, {"kind": "forwarded", "number": data.get("number", -1), "answer": answer})

    def _propose(self, command: Command, deadline: float) -> Verdict | None:
        if len(self._waiting) >= WAITERS_MAX:
            self._scheduler.sleep(LOOK_AGAIN_S)
            return None
        place = self.consensus.propose(command.as_json())
        if place is None:
            return None
        index, term = place
        waiter = PendingProposal()
        _, earlier = self._waiting.get(index, (0, None))
        if earlier is not None:  # of a term in which this replica led before: its entry is gone
            earlier.done(None)
        self._waiting[index] = (term, waiter)
        self._pump()
        answer = self._wait(waiter, deadline)
        self._forget_place(index, waiter)
        return answer if isinstance(answer, Verdict) else None

    def _forget_place(self, index: int, waiter: PendingProposal) -> None:
        """Give up a place in the log, unless another caller's entry has come to have its index."""
        if self._waiting.get(index, (0, None))[1] is waiter:
            del self._waiting[index]

    def _forward(self, request: dict[str, Any], deadline: float) -> Any:
        leader = self.consensus.leader_member()
        if leader is None or leader.id == self.identity.id or len(self._forwarded) >= WAITERS_MAX:
            self._scheduler.sleep(LOOK_AGAIN_S)
            return None
        self._forward_count += 1
        number, waiter = self._forward_count, PendingProposal()
        self._forwarded[number] = (leader.address, waiter)
        self._send(leader.address, {"kind": "forward", "number": number, **request})
        answer = self._wait(waiter, min(deadline, self._scheduler.now() + FORWARD_S))
        del self._forwarded[number]
        if answer is None:
            self._scheduler.sleep(LOOK_AGAIN_S)
        return answer

    def _wait(self, waiter: PendingProposal, deadline: float) -> Any:
        try:
            self._scheduler.park(deadline, event=waiter.event)
        except TaskTimeoutError:
            return None
        return waiter.answer

    # --- the task --------------------------------------------------------------------------------

    def _run(self) -> None:
        while True:
            now = self._scheduler.now()
            self.consensus.tick(now)
            self._join(now)
            self._sleeps_until = 0.0
            self._pump()
            self._sleeps_until = max(self.consensus.next_tick_at(), now + LEAST_SLEEP_S)
            try:
                self._scheduler.park(self._sleeps_until, event=self._event)
            except TaskTimeoutError:
                continue

    def _join(self, now: float) -> None:
        if not self.consensus.should_request_membership(now):
            return
        if now - self._joined_at < JOIN_EVERY_S:
            return
        self._joined_at = now
        request = wire.encode_message(wire.JoinRequest(self.identity.id, self.identity))
        heard = self._routes.values()  # one that lost its disk is still spoken to, maybe by none of its seeds
        for address in {*self.seeds, *self.known_controllers(), *heard} - {self.identity.address}:
            self._send(address, request)

    def _pump(self) -> None:
        """Carry out what the agreement decided."""
        output = self.consensus.take_output()
        if output.records:
            self._handed += len(output.records)
            self._queue(self._handed, output.records)
        before = self.state.index
        for restore in output.restored:
            self.state, self._applied = SharedState.from_json(restore.state), restore.index
        for entry in output.committed:
            self._apply(entry)
        for message in output.messages:
            if message.after_record > self._synced:
                self._held.append(message)
            else:
                self._post(message)
        if self.consensus.next_tick_at() < self._sleeps_until:
            self._event.set()
        if self.state.index != before:
            self._changed()

    def _apply(self, entry: Entry) -> None:
        verdict = None
        self._applied = entry.index
        if entry.kind == "command":
            verdict = self.state.apply(entry.index, command_from_json(entry.data))
        term, waiter = self._waiting.pop(entry.index, (0, None))
        if waiter is not None:
            waiter.done(verdict if term == entry.term else None)

    def _post(self, outgoing: Outgoing) -> None:
        address = outgoing.recipient.address or self._routes.get(outgoing.recipient.id, "")
        if not address:
            return
        message = outgoing.message
        if isinstance(message, wire.InstallSnapshot):
            if not self.consensus.is_leader:
                return
            message = self.consensus.fill_snapshot(message, self._applied, self.state.as_json())
        self._send(address, wire.encode_message(message))

    # --- the disk --------------------------------------------------------------------------------

    def _queue(self, number: int, job: list[Record] | SnapshotJob) -> None:
        with self._worker.lock:
            self._jobs.append((number, job))
            self._worker.wake()

    def _disk_due(self) -> bool:
        return bool(self._jobs) and not self._resting

    def _disk_turn(self) -> None:
        """In the worker: write what is queued; a disk that refuses is asked again."""
        with self._worker.lock:
            number, job = self._jobs[0]
            records = list(job) if isinstance(job, list) else []
            taken = 1
            while isinstance(job, list) and taken < len(self._jobs):
                following, more = self._jobs[taken]
                if not isinstance(more, list):
                    break
                number, taken = following, taken + 1
                records += more
        try:
            if isinstance(job, SnapshotJob):
                self._storage.write_snapshot(job.snapshot, self.identity.id, job.hard, job.rest)
            else:
                self._storage.write(records)
        except OSError as error:
            with self._worker.lock:
                self._resting = True
            reason = str(error)
            self._scheduler.call_soon(lambda: self._disk_failed(reason))
            return
        with self._worker.lock:
            for _ in range(taken):
                self._jobs.popleft()
        self._scheduler.call_soon(lambda: self._disk_done(number, job))

    def _disk_failed(self, reason: str) -> None:
        log.warning("the disk refuses a write", extra={"fields": {"why": reason}})
        self._scheduler.call_at(self._scheduler.now() + DISK_RETRY_S, self._disk_again)

    def _disk_again(self) -> None:
        with self._worker.lock:
            self._resting = False
            self._worker.wake()

    def _disk_done(self, number: int, job: list[Record] | SnapshotJob) -> None:
        if isinstance(job, SnapshotJob):
            self._snapshot_under_way = False
            self.consensus.handle_snapshot_stored(job.snapshot.index)
            return
        self._synced = max(self._synced, number)
        self.consensus.handle_records_synced(self._synced)
        while self._held and self._held[0].after_record <= self._synced:
            self._post(self._held.popleft())
        self._pump()
        if self._storage.is_snapshot_due and not self._snapshot_under_way:
            self._begin_snapshot()

    def _begin_snapshot(self) -> None:
        consensus = self.consensus
        made = consensus.make_snapshot(self._applied, self.state.as_json())
        rest = consensus.log.entries_after(made.index, consensus.log.last_index - made.index)
        self._snapshot_under_way = True
        self._queue(self._handed, SnapshotJob(made, HardState(consensus.term, consensus.vote), rest))
