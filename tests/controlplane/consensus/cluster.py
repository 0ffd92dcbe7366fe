"""A simulated replica group without sockets or disks: a test controls the fate of each message and each sync.

The checker is given the entries that each replica applied and that were acknowledged; it uses no code under
test.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from brambleusher.controlplane.consensus.outputs import (
    BootstrapMembersRecord,
    HardState,
    LogPosition,
    Outgoing,
    Restore,
    Truncate,
)
from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member

STEP_S = 0.02
# How many steps a message is delayed: longer than a heartbeat interval and half an election timeout.
DELAY_STEPS = 40


def member(name: str, voter: bool = True) -> Member:
    return Member(name, f"at-{name}", f"control-{name}", "z", voter)


def machine_state(snapshot: Restore) -> dict[int, Any]:
    """The applied entries by index, as stored in a snapshot."""
    assert isinstance(snapshot.state, dict)
    return dict(snapshot.state)


class Fate(Enum):
    """What the simulated network does with one message."""

    DELIVER = "deliver"
    DROP = "drop"
    DOUBLE = "double"
    DELAY = "delay"
    FIRST = "first"  # delivered before all messages in transit
    AGAIN = "again"  # delivered now, and a second time after a delay


class SafetyViolationError(AssertionError):
    """The checker found a violation of a safety property."""


class Checker:
    """Checks that no acknowledged entry is lost, replicas apply the same, and each term has one leader."""

    def __init__(self) -> None:
        self.applied: dict[int, Any] = {}
        self.leaders: dict[int, str] = {}
        self.acknowledged: dict[int, Any] = {}

    def record_applied(self, index: int, content: Any) -> None:
        if self.applied.setdefault(index, content) != content:
            raise SafetyViolationError(f"two different entries were applied at index {index}")

    def record_leader(self, term: int, name: str) -> None:
        if self.leaders.setdefault(term, name) != name:
            raise SafetyViolationError(f"two leaders in term {term}")

    def record_acknowledged(self, index: int, content: Any) -> None:
        self.acknowledged[index] = content

    def check_end(self, states: Sequence[dict[int, Any]]) -> None:
        for state in states:
            for index, content in self.acknowledged.items():
                if state.get(index) != content:
                    raise SafetyViolationError(f"the entry acknowledged at index {index} is lost")


@dataclass
class Node:
    """A replica, and its disk as a list of records, of which the first `synced` records are durable."""

    name: str
    consensus: Consensus
    records: list[Any] = field(default_factory=list)
    synced: int = 0
    applied: int = 0  # index up to which all entries are applied
    base: int = 0  # the number of a record is its position in `records` plus this
    unsent: deque[Outgoing] = field(default_factory=deque)
    state: dict[int, Any] = field(default_factory=dict)
    up: bool = True
    is_bootstrap_member: bool = True  # whether its disk says that it is a member of the initial group
    slow_disk: bool = False
    frozen_until: int = 0  # the step at which the frozen replica resumes


class Cluster:
    """A group of replicas, and the messages in transit between them."""

    make: type[Consensus] = Consensus

    def __init__(self, names: Sequence[str], seed: int, bootstrap_members: str | None = None) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.checker = Checker()
        self.messages: list[tuple[str, str, wire.Message]] = []
        self.delayed: list[tuple[int, tuple[str, str, wire.Message]]] = []
        self.steps = 0
        self.sent = 0
        self.mutate: Callable[[int, str, str, wire.Message], Fate] = lambda *_: Fate.DELIVER
        self.delay_steps: Callable[[], int] = lambda: DELAY_STEPS
        self.partitioned: set[frozenset[str]] = set()
        self.bootstrap_members = tuple(member(name) for name in bootstrap_members or names)
        self.nodes: dict[str, Node] = {}
        for name in names:
            self.start(name, [] if name in (bootstrap_members or names) else None)

    # --- nodes -----------------------------------------------------------------------------------

    def start(
        self,
        name: str,
        records: list[Any] | None,
        identity: str = "",
        is_bootstrap_member: bool | None = None,
    ) -> Node:
        """Start a replica from its durable records; None means an empty disk and no bootstrap member."""
        is_bootstrap_member = records is not None if is_bootstrap_member is None else is_bootstrap_member
        log = Log(0, 0, self.bootstrap_members) if is_bootstrap_member else Log()
        term, vote, state = 0, "", dict[int, Any]()
        for record in records or []:
            if isinstance(record, HardState):
                term, vote = record.term, record.vote
            elif isinstance(record, Truncate):
                log.truncate(record.first)
            elif isinstance(record, BootstrapMembersRecord):
                log = Log(0, 0, record.members)
            elif isinstance(record, Restore):
                log = Log(record.index, record.term, record.members)
                state = machine_state(record)
            else:
                log.append(record)
        own = member(identity or name, voter=False)
        own = Member(own.id, f"at-{name}", own.admin_address, own.zone, False)
        consensus = self.make(
            own,
            log,
            term,
            vote,
            self.now,
            random.Random(self.rng.random()),
            max(3, len(self.bootstrap_members)),
        )
        node = Node(
            name,
            consensus,
            list(records or []),
            len(records or []),
            state=state,
            is_bootstrap_member=is_bootstrap_member,
        )
        node.applied = log.base_index
        node.base = -len(node.records)  # record numbers restart at 1
        self.nodes[name] = node
        return node

    def crash(self, name: str, keep_unsynced: bool = False) -> None:
        node = self.nodes[name]
        node.up = False
        if not keep_unsynced:
            del node.records[node.synced :]
        self.messages = [message for message in self.messages if message[1] != name]

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        self.start(name, node.records, node.consensus.identity.id, node.is_bootstrap_member)

    def wipe(self, name: str, identity: str) -> None:
        """Restart a replica with an empty disk and another identity."""
        self.crash(name)
        self.start(name, None, identity)

    def compact(self, node: Node) -> None:
        """Write a snapshot of the applied state, and compact the log on disk and in memory."""
        if node.synced < len(node.records):
            return  # a snapshot is written only after the records before it are synced
        consensus, log = node.consensus, node.consensus.log
        snapshot = consensus.make_snapshot(node.applied, dict(node.state))
        remaining = log.entries_after(node.applied, log.last_index - node.applied)
        records = [snapshot, HardState(consensus.term, consensus.vote), *remaining]
        node.base += len(node.records) - len(records)
        node.records, node.synced = records, len(records)
        consensus.handle_snapshot_stored(node.applied)

    def leader(self) -> Node | None:
        leaders = [node for node in self.nodes.values() if node.up and node.consensus.is_leader]
        return max(leaders, key=lambda node: node.consensus.term, default=None)

    # --- steps -----------------------------------------------------------------------------------

    def step(self, sync: bool = True) -> None:
        """Advance time by `STEP_S`: run ticks, join requests and syncs, and deliver all due messages."""
        self.steps += 1
        self.now += STEP_S
        self._deliver_delayed()
        for node in list(self.nodes.values()):
            if node.up and node.frozen_until <= self.steps:
                node.consensus.tick(self.now)
                self._join(node)
                self.pump(node)
                if sync and not node.slow_disk:
                    self.sync(node)
        queue, self.messages = self.messages, []
        for sender, to, message in queue:
            self.deliver(sender, to, message)

    def _deliver_delayed(self) -> None:
        """Deliver delayed messages before the ticks: a replica that was frozen gets old messages first."""
        due = [message for at, message in self.delayed if at <= self.steps]
        self.delayed = [(at, message) for at, message in self.delayed if at > self.steps]
        for sender, to, message in due:
            self.deliver(sender, to, message)

    def _join(self, node: Node) -> None:
        if node.consensus.should_request_membership(self.now) and self.steps % 10 == 0:
            request = wire.JoinRequest(node.consensus.identity.id, node.consensus.identity)
            for other in self.nodes.values():
                if other.up and other is not node:
                    self.post(node.name, other.name, request)

    def deliver(self, sender: str, to: str, message: wire.Message) -> None:
        node = self.nodes.get(to)
        if node is None or not node.up or frozenset((sender, to)) in self.partitioned:
            return
        if node.frozen_until > self.steps:
            self.delayed.append((node.frozen_until, (sender, to, message)))
            return
        copy = wire.decode_message(wire.encode_message(message))
        node.consensus.handle_message(copy, self.now)
        self.pump(node)

    def post(self, sender: str, to: str, message: wire.Message) -> None:
        self.sent += 1
        fate = self.mutate(self.sent, sender, to, message)
        if fate == Fate.DROP:
            return
        if fate in (Fate.DELAY, Fate.AGAIN):
            self.delayed.append((self.steps + self.delay_steps(), (sender, to, message)))
        if fate == Fate.DELAY:
            return
        if fate == Fate.FIRST:
            self.messages.insert(0, (sender, to, message))
            return
        self.messages.append((sender, to, message))
        if fate == Fate.DOUBLE:
            self.messages.append((sender, to, message))

    def pump(self, node: Node) -> None:
        output = node.consensus.take_output()
        node.records += output.records
        for restore in output.restored:
            node.state, node.applied = machine_state(restore), restore.index
        for entry in output.committed:
            self._apply(node, entry)
        for outgoing in output.messages:
            if self._waits(node, outgoing):
                node.unsent.append(outgoing)
            else:
                self._post(node, outgoing)
        if node.consensus.is_leader:
            self.checker.record_leader(node.consensus.term, node.consensus.identity.id)

    @staticmethod
    def _waits(node: Node, outgoing: Outgoing) -> bool:
        return outgoing.after_record > node.synced + node.base

    def _apply(self, node: Node, entry: Entry) -> None:
        content = (entry.term, entry.kind.value, entry.data)
        if entry.index != node.applied + 1:
            raise SafetyViolationError(f"entry {entry.index} is applied after {node.applied}")
        node.state[entry.index], node.applied = content, entry.index
        self.checker.record_applied(entry.index, content)

    def _post(self, node: Node, outgoing: Outgoing) -> None:
        message = outgoing.message
        if isinstance(message, wire.InstallSnapshot):
            if not node.consensus.is_leader:
                return
            message = node.consensus.fill_snapshot(message, node.applied, dict(node.state))
        to = next(
            (
                other.name
                for other in self.nodes.values()
                if other.consensus.identity.id == outgoing.recipient.id
            ),
            None,
        )
        if to is not None:
            self.post(node.name, to, message)

    def sync(self, node: Node) -> None:
        """Make all records that the replica has output durable."""
        node.synced = len(node.records)
        node.consensus.handle_records_synced(node.synced + node.base)
        while node.unsent and not self._waits(node, node.unsent[0]):
            self._post(node, node.unsent.popleft())
        self.pump(node)

    # --- operations for tests --------------------------------------------------------------------

    def run(self, until: Callable[[], bool], steps: int = 600) -> bool:
        for _ in range(steps):
            if until():
                return True
            self.step()
        return until()

    def propose(self, content: Any) -> LogPosition | None:
        """Propose a command at the leader; return its position in the log, or None if there is no leader."""
        leader = self.leader()
        if leader is None:
            return None
        position = leader.consensus.propose(content)
        self.pump(leader)
        return position

    def commit(self, content: Any, steps: int = 600) -> bool:
        """Propose a command repeatedly, as clients do, until the leader that proposed it has applied it."""
        for _ in range(steps):
            leader, position = self.leader(), self.propose(content)
            if leader is not None and position is not None:
                index, term = position.index, position.term
                for _ in range(60):
                    self.step()
                    applied = leader.state.get(index)
                    if applied is not None:
                        if applied == (term, "command", content):
                            self.checker.record_acknowledged(index, applied)
                            return True
                        break
                    if not leader.up:
                        break
            self.step()
        return False

    def converges(self) -> bool:
        """Whether all live replicas converge to the same log."""

        def same() -> bool:
            live = [node for node in self.nodes.values() if node.up]
            commits = {node.consensus.commit_index for node in live}
            leader = self.leader()
            return leader is not None and commits == {leader.consensus.log.last_index}

        return self.run(same)

    def check(self) -> None:
        """Check that the replicas converge and every live replica has every acknowledged entry."""
        if not self.converges():
            raise SafetyViolationError("the replicas do not converge")
        self.checker.check_end([node.state for node in self.nodes.values() if node.up])
