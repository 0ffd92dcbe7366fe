"""One replica of the configuration group: drives consensus, disk and state machine.

Consensus does no I/O: this driver passes it messages, clock readings and completed disk writes, and carries
out its output.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from result import Err, Ok

from brambleusher.controlplane import forwarding
from brambleusher.controlplane.applied_index_history import AppliedIndexHistory
from brambleusher.controlplane.bootstrap import Bootstrap
from brambleusher.controlplane.configuration.acknowledged_evacuations import AcknowledgedEvacuations
from brambleusher.controlplane.configuration.commands import (
    Command,
    SetEvacuation,
    Verdict,
    command_from_json,
)
from brambleusher.controlplane.configuration.replicated_state import (
    IndexResult,
    NoLeaderError,
    ReadResult,
    SubmitResult,
)
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.controlplane.consensus.outputs import HardState, Outgoing
from brambleusher.controlplane.consensus.raft import Consensus, InitialGrowth
from brambleusher.controlplane.disk_writer import DiskWriter
from brambleusher.controlplane.forwarding import ForwardedRequest, LeaderForwarding, SendMessage
from brambleusher.controlplane.known_observers import KnownObservers
from brambleusher.controlplane.outbox import Outbox, ReplicaAddresses
from brambleusher.controlplane.pending_proposals import PendingProposals, PendingResult
from brambleusher.controlplane.startup import establish_identity, recover_storage
from brambleusher.controlplane.storage.recovery import RecoveredState
from brambleusher.runtime.disk import Disk
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.bootstrap_messages import BootstrapAnswer
from brambleusher.wire.consensus_messages import Entry, EntryKind
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

JOIN_INTERVAL_S = 0.5  # minimum time between two requests to become a member
VOTE_HANDOVER_INTERVAL_S = 0.1  # time between two shutdown notices of a replica that hands over its vote
TICK_MIN_S = 0.005
RETRY_BACKOFF_S = 0.03
VOTERS_MIN = 3
INITIAL_GROWTH_TIMEOUT_S = 4.0  # a first group that stays smaller for this time accepts commands all the same
FORWARD_NUMBER_MAX = 1 << 40


def _tolerant_voters(settings: Settings) -> int:
    """Return how many voters keep a majority when the tolerated number of machines fails."""
    return settings.tolerance.machines * 2 + 1


def _initial_growth(settings: Settings) -> InitialGrowth:
    """Return how far the first group grows: to the size that it has at once if all seeds are controllers."""
    voters = min(len(settings.seeds), _tolerant_voters(settings))
    return InitialGrowth(voters, INITIAL_GROWTH_TIMEOUT_S)


class Replica:
    """Serves commands and linearizable reads of the replicated state.

    Args:
        scheduler: The scheduler of the serving thread.
        settings: The settings of this process.
        disk: The disk with the log and snapshots; it is recovered before the constructor returns.
        send: Sends a message to an address; messages may be lost.
        rng: The source of all randomness.
        on_state_changed: Called whenever the version of the state has changed.
        known_controllers: Returns the addresses of the other controllers, for requests to join.
        known_zones: Returns the zones of the other controllers by address, for the placement of voters.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        disk: Disk,
        send: SendMessage,
        rng: random.Random,
        on_state_changed: Callable[[], None],
        known_controllers: Callable[[], list[str]] = list,
        known_zones: Callable[[], dict[str, str]] = dict,
    ) -> None:
        self._scheduler, self._send = scheduler, send
        self._on_state_changed = on_state_changed
        self._known_controllers, self._known_zones = known_controllers, known_zones
        storage, recovered = recover_storage(scheduler.system, disk)
        self.state = SharedState.from_json(recovered.state)
        self._applied_index = recovered.log.base_index
        self._applied_index_history = AppliedIndexHistory(scheduler.now(), self._applied_index)
        self.identity = establish_identity(scheduler.system, settings, storage, recovered, rng)
        self.observers = KnownObservers(recovered.observers)
        self.bootstrap = Bootstrap(self.identity, recovered.log.members, recovered.bootstrap_seeds)
        self.consensus = self._start_consensus(settings, recovered, rng)
        self._addresses = ReplicaAddresses()
        self._outbox = Outbox(self._deliver)
        self._proposals = PendingProposals()
        self._evacuations = AcknowledgedEvacuations()
        first_number = rng.randrange(FORWARD_NUMBER_MAX)
        self._forwarding = LeaderForwarding(scheduler, send, self._leader_address, first_number)
        self._forwarded_commands: set[tuple[str, int]] = set()  # in progress: sender and number of each
        self._last_join_at = self._wake_at = 0.0
        self.seeds: tuple[str, ...] = settings.seed_peers()
        self._wake_up = Event()
        self._disk_writer = DiskWriter(
            scheduler, storage, self.identity.id, self._records_synced, self.consensus.handle_snapshot_stored
        )
        self._process_output()
        scheduler.spawn(self._run, name="replica")

    def _start_consensus(
        self, settings: Settings, recovered: RecoveredState, rng: random.Random
    ) -> Consensus:
        return Consensus(
            self.identity,
            recovered.log,
            recovered.term,
            recovered.vote,
            self._scheduler.now(),
            rng,
            max(VOTERS_MIN, _tolerant_voters(settings)),
            self._zones,
            settings.zones,
            _initial_growth(settings),
        )

    # --- client requests -------------------------------------------------------------------------

    def submit(self, command: Command, deadline: float) -> SubmitResult:
        """Commit and apply a command, either here or by forwarding it to the leader."""
        while self._scheduler.now() < deadline:
            if self.consensus.accepts_proposals():
                verdict = self._propose(command, deadline)
            else:
                verdict = self._forward_command(command, deadline)
            if verdict is not None:
                return Ok(verdict)
        return Err(NoLeaderError())

    def read(self, deadline: float) -> ReadResult:
        """Return the current state by a linearizable read."""
        while self._scheduler.now() < deadline:
            if self.consensus.is_leader:
                if self._confirm_leadership(min(deadline, self._read_deadline())):
                    return Ok(self.state)
                self._scheduler.sleep(RETRY_BACKOFF_S)
                continue
            answer = self._forwarding.forward(None, deadline)
            if isinstance(answer, dict):
                return Ok(SharedState.from_json(answer))
        return Err(NoLeaderError())

    def read_applied_index(self, at: float, _deadline: float, /) -> IndexResult:
        """Return the index up to which the log was applied to `state` at a time."""
        return Ok(self._applied_index_history.index_at(at))

    def has_vote(self) -> bool:
        """Return whether a quorum may need this replica's vote."""
        return self.consensus.has_vote()

    def voters(self) -> list[str]:
        """Return the addresses of the voting members."""
        return [member.address for member in self.consensus.voters]

    def evacuation_fields(self, zone: str, /) -> dict[str, object]:
        """Return what this replica knows of a zone's order and of the group, as fields of a log record."""
        return {
            "zone_change_index": self.state.zone_change_index.get(zone, 0),
            "applied_index": self._applied_index,
            "term": self.consensus.term,
            "leader": self.consensus.status().leader_id,
        }

    def status(self) -> dict[str, object]:
        """Return the status of this replica as a JSON object."""
        return {
            **self.consensus.status().as_json(),
            "revision": self.state.revision,
            "version": self.state.index,
            "evacuated": self.state.evacuated_zones,
            "disk_jobs": self._disk_writer.pending_jobs,
        }

    # --- the first start of the system -----------------------------------------------------------

    @property
    def is_bootstrapping(self) -> bool:
        """Whether this replica has no log yet, and may have to form the first group with other seeds."""
        return self.consensus.has_empty_log() and bool(self.bootstrap.other_seeds)

    def record_bootstrap_answer(self, seed: str, answer: BootstrapAnswer) -> None:
        """Record a seed's answer, and adopt the initial members that follow from it."""
        self.bootstrap.record_answer(seed, answer)
        members = self.bootstrap.initial_members()
        if members:
            self.consensus.replace_bootstrap_members(members)
            self._process_output()

    # --- observers -------------------------------------------------------------------------------

    def record_observer(self, address: str) -> None:
        """Record that an observer introduced itself, and store the addresses of all if it was not known."""
        if self.observers.record_introduction(address, self._scheduler.now()):
            self._disk_writer.write_observers(self.observers.addresses())

    # --- graceful shutdown -----------------------------------------------------------------------

    def begin_graceful_shutdown(self) -> None:
        """Start handing over leadership and vote to other replicas, if any can take them."""
        if not self.consensus.is_shutting_down:
            self.consensus.begin_graceful_shutdown()
            self._scheduler.spawn(self._hand_over_vote, name="leave")

    def _hand_over_vote(self) -> None:
        """Send shutdown notices to all members periodically, so that the next leader gets one too."""
        request = wire.encode_message(wire.ShutdownNotice(self.identity.id))
        while True:
            if self.consensus.accepts_proposals():
                self.consensus.transfer_leadership()
                self._process_output()
            for member in self.consensus.log.members:
                if member.id != self.identity.id:
                    self._send(member.address, request)
            self._scheduler.sleep(VOTE_HANDOVER_INTERVAL_S)

    # --- messages from other replicas ------------------------------------------------------------

    def handle(self, data: dict[str, object], sender: str) -> None:
        """Handle a message from another replica.

        Raises:
            InvalidMessageError: The message is invalid.
        """
        kind = data.get("kind")
        if kind == forwarding.REQUEST:
            request = ForwardedRequest.from_json(data)
            self._scheduler.spawn(self._serve_forwarded, request, sender, name="forwarded")
        elif kind == forwarding.REPLY:
            self._forwarding.handle_reply(data, sender)
        else:
            self._handle_consensus_message(wire.decode_message(data), sender)

    def _handle_consensus_message(self, message: wire.Message, sender: str) -> None:
        if isinstance(message, wire.JoinRequest):
            self._relay_join_request(message, sender)
        else:
            self._addresses.record(message.sender, sender)
        self.consensus.handle_message(message, self._scheduler.now())
        self._process_output()

    def _relay_join_request(self, request: wire.JoinRequest, sender: str) -> None:
        """Relay a join request to the leader, which the joining replica may not know.

        Only a request that came directly from the joining replica is relayed, so that it is relayed once.
        """
        leader = self.consensus.leader_member()
        is_own_request = sender == request.member.address
        if is_own_request and leader is not None and leader.address not in (sender, self.identity.address):
            self._send(leader.address, wire.encode_message(request))

    def _serve_forwarded(self, request: ForwardedRequest, sender: str) -> None:
        answer: object = None
        if request.command is None:
            if self.consensus.is_leader and self._confirm_leadership(self._read_deadline()):
                answer = self.state.as_read_json()
        elif self.consensus.accepts_proposals():
            key = (sender, request.number)
            if key in self._forwarded_commands:
                return  # sent again while it is in progress
            self._forwarded_commands.add(key)
            answer = self._propose_forwarded(request.command)
            self._forwarded_commands.discard(key)
        self._send(sender, forwarding.reply_to_json(request.number, answer))

    def _propose_forwarded(self, command: Command) -> str | None:
        verdict = self._propose(command, self._scheduler.now() + forwarding.COMMAND_TIMEOUT_S)
        return verdict.value if verdict is not None else None

    # --- proposals and reads ---------------------------------------------------------------------

    def _read_deadline(self) -> float:
        return self._scheduler.now() + forwarding.RESEND_INTERVAL_S

    def _propose(self, command: Command, deadline: float) -> Verdict | None:
        """Append a command to the log and wait until it is applied.

        Returns:
            The command's outcome, or None if the command was not appended, or was not applied in time.
        """
        if self._proposals.is_full:
            self._scheduler.sleep(RETRY_BACKOFF_S)
            return None
        self._evacuations.begin_term(self.consensus.term, self.consensus.log.last_index)
        if isinstance(command, SetEvacuation) and self._evacuations.is_overtaken(command, self.state):
            log.info("evacuation overtaken", extra={"fields": self._evacuations.log_fields(command)})
            return Verdict.OUTDATED
        position = self.consensus.propose(command.as_json())
        if position is None:
            return None
        pending = self._proposals.add(position.index, position.term)
        self._process_output()
        verdict = pending.wait(self._scheduler, deadline)
        self._proposals.discard(position.index, pending)
        if isinstance(command, SetEvacuation) and verdict is Verdict.REPEATED:
            self._evacuations.record_repeated(command.zone, position.index)
        return verdict

    def _forward_command(self, command: Command, deadline: float) -> Verdict | None:
        answer = self._forwarding.forward(command, deadline)
        return Verdict(answer) if isinstance(answer, str) else None

    def _leader_address(self) -> str | None:
        """Return the leader's address, or None if no leader is known or this replica is the leader."""
        leader = self.consensus.leader_member()
        return None if leader is None or leader.id == self.identity.id else leader.address

    def _confirm_leadership(self, deadline: float) -> bool:
        """Return whether a majority confirmed that this replica still leads, so that its state is current."""
        confirmed: PendingResult[bool] = PendingResult()
        self.consensus.read(confirmed.resolve)
        self._process_output()
        return confirmed.wait(self._scheduler, deadline) is True

    # --- the task that drives consensus ----------------------------------------------------------

    def _run(self) -> None:
        while True:
            now = self._scheduler.now()
            self.consensus.tick(now)
            self._request_to_join(now)
            self._wake_at = 0.0
            self._process_output()
            self._wake_at = max(self.consensus.next_tick_at(), now + TICK_MIN_S)
            try:
                self._scheduler.park(self._wake_at, event=self._wake_up)
            except TaskTimeoutError:
                continue

    def _request_to_join(self, now: float) -> None:
        if not self.consensus.should_request_membership(now) or now - self._last_join_at < JOIN_INTERVAL_S:
            return
        self._last_join_at = now
        request = wire.encode_message(wire.JoinRequest(self.identity.id, self.identity))
        # Include addresses that sent messages: if this replica lost its disk, members may still send messages
        # to it, even if no seed does.
        known = {*self.seeds, *self._known_controllers(), *self._addresses.addresses()}
        for address in known - {self.identity.address}:
            self._send(address, request)

    def _zones(self) -> dict[str, str]:
        """Return the known zones of replicas by address."""
        return {**self._known_zones(), self.identity.address: self.identity.zone}

    def _process_output(self) -> None:
        """Carry out the output of consensus: store records, apply committed entries, send messages."""
        output = self.consensus.take_output()
        if output.records:
            self._disk_writer.append(output.records)
        version = self.state.index
        for restore in output.restored:
            self.state, self._applied_index = SharedState.from_json(restore.state), restore.index
        for entry in output.committed:
            self._apply(entry)
        self._applied_index_history.record(self._scheduler.now(), self._applied_index)
        for message in output.messages:
            self._outbox.post(message, self._disk_writer.synced_number)
        if self.consensus.next_tick_at() < self._wake_at:
            self._wake_up.set()
        if self.state.index != version:
            self._on_state_changed()

    def _apply(self, entry: Entry) -> None:
        verdict = None
        self._applied_index = entry.index
        if entry.kind is EntryKind.COMMAND:
            verdict = self.state.apply(entry.index, command_from_json(entry.data))
        self._proposals.resolve_applied(entry.index, entry.term, verdict)

    def _deliver(self, outgoing: Outgoing) -> None:
        address = self._addresses.address_of(outgoing.recipient)
        if not address:
            return
        message = outgoing.message
        if isinstance(message, wire.InstallSnapshot):
            if not self.consensus.is_leader:
                return
            message = self.consensus.fill_snapshot(message, self._applied_index, self.state.as_json())
        self._send(address, wire.encode_message(message))

    # --- completed disk writes -------------------------------------------------------------------

    def _records_synced(self) -> None:
        synced_number = self._disk_writer.synced_number
        self.consensus.handle_records_synced(synced_number)
        self._outbox.deliver_synced(synced_number)
        self._process_output()
        if self._disk_writer.is_snapshot_due:
            self._begin_snapshot()

    def _begin_snapshot(self) -> None:
        consensus = self.consensus
        snapshot = consensus.make_snapshot(self._applied_index, self.state.as_json())
        entries = consensus.log.entries_after(snapshot.index, consensus.log.last_index - snapshot.index)
        self._disk_writer.write_snapshot(snapshot, HardState(consensus.term, consensus.vote), entries)
