"""Randomized fault injection for a replica group, from a seed; violations raise `SafetyViolationError`."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.wire import consensus_messages as wire
from tests.controlplane.consensus.cluster import Cluster, Fate, Node, SafetyViolationError

MUTATIONS = (Fate.DROP, Fate.DOUBLE, Fate.DELAY, Fate.FIRST)
# Snapshots are large messages, so they are the most likely to be delayed, or delivered twice over two
# connections.
SNAPSHOT_FATES = (Fate.DELIVER, Fate.DELAY, Fate.AGAIN)
STEPS = 500
RECOVERED_STEPS = 200  # 4 s (`sync_s`), after which a replica that came back counts as recovered
SHUTDOWN_STEPS = 150  # time to hand over the vote of a replica that shuts down before it is stopped


@dataclass
class Day:
    """One randomized run: a cluster, the faults injected into it, and the proposals that clients wait for."""

    cluster: Cluster
    rng: random.Random
    names: list[str]
    pending: list[tuple[str, int, int, Any]] = field(default_factory=list)
    disturbed_at: int = 0  # the last step at which a disk or a member was lost
    shutting_down: dict[str, int] = field(default_factory=dict)  # step at which each shutdown begins
    started: int = 0  # the number of replicas started with an empty disk

    # --- faults that keep the disks --------------------------------------------------------------

    def plain_fault(self, roll: float) -> None:
        """Inject a partition, crash, slow disk or pause, or propose, depending on a random number."""
        cluster, rng = self.cluster, self.rng
        down = [node.name for node in cluster.nodes.values() if not node.up]
        if roll < 0.02:
            cluster.partitioned = {frozenset(rng.sample(self.names, 2)) for _ in range(rng.randrange(3))}
        elif roll < 0.04 and not down:
            cluster.crash(rng.choice(self.names))
        elif roll < 0.09 and down:
            cluster.restart(down[0])
        elif roll < 0.11:
            node = rng.choice(list(cluster.nodes.values()))
            node.slow_disk = not node.slow_disk
        elif roll < 0.13:
            frozen = cluster.leader() or rng.choice(list(cluster.nodes.values()))
            frozen.frozen_until = cluster.steps + rng.randrange(20, 120)
        elif roll < 0.14:
            for name in self.names:
                cluster.crash(name)
            for name in self.names:
                cluster.restart(name)
        elif roll < 0.3:
            self.propose()

    def propose(self) -> None:
        """Propose a command at each replica that considers itself the leader."""
        for node in self.cluster.nodes.values():
            if node.up and node.consensus.is_leader:
                content = self.cluster.steps
                position = node.consensus.propose(content)
                self.cluster.pump(node)
                if position is not None:
                    self.pending.append((node.name, position.index, position.term, content))

    def acknowledge(self) -> None:
        """Record the proposals as acknowledged that were applied at the replica where they were made."""
        for waiting in list(self.pending):
            name, index, term, content = waiting
            node = self.cluster.nodes.get(name)
            applied = None if node is None else node.state.get(index)
            if node is not None and node.up and applied is not None:
                self.pending.remove(waiting)
                if applied == (term, "command", content):
                    self.cluster.checker.record_acknowledged(index, applied)

    # --- losses ----------------------------------------------------------------------------------

    def loss(self, roll: float) -> None:
        """Write a snapshot, lose a disk, or replace or shut down a member, depending on a random number."""
        cluster, rng = self.cluster, self.rng
        up = [node for node in cluster.nodes.values() if node.up]
        if roll < 0.04 and up:
            cluster.compact(rng.choice(up))
        elif roll < 0.05 and cluster.leader() is not None:
            self.shorten()
        elif roll < 0.06 and self.recovered():
            self.lose_disk(rng.choice(self.names), rng.random() < 0.5)
        elif roll < 0.07 and self.recovered():
            self.replace(rng.choice(self.names))
        elif roll < 0.08 and self.recovered():
            self.start_shutdown(rng.choice(self.names))

    def shorten(self) -> None:
        """Compact the leader's log up to its last applied entry, so that slower followers need a snapshot."""
        leader = self.cluster.leader()
        if leader is not None and leader.consensus.state.leader_state is not None:
            self.cluster.compact(leader)
            for progress in leader.consensus.state.leader_state.progress.followers.values():
                progress.snapshot_sent_s = -10.0

    def recovered(self) -> bool:
        """Whether the group has recovered from the last loss, so that it must tolerate one more."""
        leader = self.cluster.leader()
        if leader is None or self.cluster.steps - self.disturbed_at < RECOVERED_STEPS or self.shutting_down:
            return False
        consensus = leader.consensus
        voters = {member.id for member in consensus.voters}
        all_there = all(
            node.up and node.frozen_until <= self.cluster.steps for node in self.cluster.nodes.values()
        )
        identities = {node.consensus.identity.id for node in self.cluster.nodes.values()}
        return all_there and voters == identities and consensus.log.members_index <= consensus.commit_index

    def lose_disk(self, name: str, power_of_all: bool) -> None:
        """Restart a replica with an empty disk; with `power_of_all`, the other replicas restart as well."""
        self.disturbed_at = self.cluster.steps
        self.started += 1
        self.cluster.wipe(name, f"{name}{self.started}")
        for other in self.names if power_of_all else ():
            if other != name:
                self.cluster.crash(other)
                self.cluster.restart(other)

    def replace(self, name: str) -> None:
        """Remove a machine permanently, and add an empty machine at another address."""
        self.disturbed_at = self.cluster.steps
        self.cluster.crash(name)
        del self.cluster.nodes[name]
        self.names.remove(name)
        self.add()

    def add(self) -> Node:
        """Add a machine with an empty disk."""
        self.started += 1
        name = f"new{self.started}"
        self.names.append(name)
        return self.cluster.start(name, None)

    def start_shutdown(self, name: str) -> None:
        """Schedule a graceful shutdown, and start the replacement before it begins."""
        self.disturbed_at = self.cluster.steps
        self.shutting_down[name] = self.cluster.steps + self.rng.randrange(20, 100)
        self.add()

    def continue_shutdowns(self) -> None:
        """Let replicas that shut down repeat their notices, and end once they have no vote or time is up."""
        cluster = self.cluster
        for name, begin in list(self.shutting_down.items()):
            node = cluster.nodes[name]
            if cluster.steps < begin:
                continue
            node.consensus.begin_graceful_shutdown()
            if node.up and cluster.steps % 5 == 0:
                self._send_shutdown_notices(node)
            without_vote = not node.consensus.has_vote() and bool(node.consensus.log.members)
            if (node.up and without_vote) or cluster.steps > begin + SHUTDOWN_STEPS:
                cluster.crash(name)
                del cluster.nodes[name]
                self.names.remove(name)
                del self.shutting_down[name]
                self.disturbed_at = cluster.steps

    def _send_shutdown_notices(self, node: Node) -> None:
        if node.consensus.is_leader:
            node.consensus.transfer_leadership()
            self.cluster.pump(node)
        request = wire.ShutdownNotice(node.consensus.identity.id)
        for other in self.cluster.nodes.values():
            if other is not node:
                self.cluster.post(node.name, other.name, request)

    def end(self) -> None:
        """End all faults, and check that every replica has every acknowledged entry."""
        cluster = self.cluster
        cluster.partitioned = set()
        cluster.mutate = lambda *_: Fate.DELIVER
        for node in list(cluster.nodes.values()):
            node.slow_disk = False
            node.frozen_until = 0
            node.consensus.state.is_shutting_down = False
            if not node.up:
                cluster.restart(node.name)
        cluster.check()


def explore(
    make: type[Consensus],
    seed: int,
    names: Sequence[str] = "abc",
    cluster_type: type[Cluster] = Cluster,
    losses: bool = False,
) -> None:
    """Run random crashes, partitions, slow syncs and message faults, and losses of disks and members."""
    cluster = cluster_type(names, seed)
    cluster.make = make
    for name in names:
        cluster.start(name, [])
    rng = random.Random(f"faults {seed}")
    day = Day(cluster, rng, list(names))

    def fate(number: int, sender: str, to: str, message: wire.Message) -> Fate:
        if losses and isinstance(message, wire.InstallSnapshot):
            return rng.choice(SNAPSHOT_FATES)
        return rng.choice((Fate.DELIVER,) * 12 + MUTATIONS)

    cluster.mutate = fate
    cluster.delay_steps = lambda: rng.randrange(20, 200)
    for _ in range(STEPS * (2 if losses else 1)):
        day.plain_fault(rng.random())
        if losses:
            day.loss(rng.random())
            day.continue_shutdowns()
        cluster.step()
        day.acknowledge()
    day.end()


__all__ = ["MUTATIONS", "Day", "SafetyViolationError", "explore"]
