"""Days of faults for a replica group, drawn from a seed; a broken rule raises `SafetyViolationError`."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.wire import consensus_messages as wire
from tests.controlplane.consensus.cluster import Cluster, Fate, Node, SafetyViolationError

MUTATIONS = (Fate.DROP, Fate.DOUBLE, Fate.DELAY, Fate.FIRST)
# Large messages wait longest, and in more than one connection.
SNAPSHOT_FATES = (Fate.DELIVER, Fate.DELAY, Fate.AGAIN)
STEPS = 500
RECOVERED_STEPS = 200  # 4 s: `sync_s`, after which a replica that came back counts again
SHUTDOWN_STEPS = 150  # for another to get the vote of one that leaves, before it is stopped


@dataclass
class Day:
    """One day: a cluster, what happens to it, and what callers wait for."""

    cluster: Cluster
    rng: random.Random
    names: list[str]
    pending: list[tuple[str, int, int, Any]] = field(default_factory=list)
    disturbed_at: int = 0  # the last step at which a disk or a member was lost
    shutting_down: dict[str, int] = field(default_factory=dict)  # when each asked to leave
    started: int = 0  # identities given to empty disks

    # --- faults that keep the disks --------------------------------------------------------------

    def plain_fault(self, roll: float) -> None:
        """Cuts, crashes, slow disks and standstills, by the thresholds of a roll from 0 to 1."""
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
        """A command at whoever believes to lead."""
        for node in self.cluster.nodes.values():
            if node.up and node.consensus.is_leader:
                content = self.cluster.steps
                position = node.consensus.propose(content)
                self.cluster.pump(node)
                if position is not None:
                    self.pending.append((node.name, position.index, position.term, content))

    def acknowledge(self) -> None:
        """Notify callers whose command is applied at the replica that they wait at."""
        for waiting in list(self.pending):
            name, index, term, content = waiting
            node = self.cluster.nodes.get(name)
            applied = None if node is None else node.state.get(index)
            if node is not None and node.up and applied is not None:
                self.pending.remove(waiting)
                if applied == (term, "command", content):
                    self.cluster.checker.saw_acknowledged(index, applied)

    # --- losses ----------------------------------------------------------------------------------

    def loss(self, roll: float) -> None:
        """Snapshots, lost disks, members that shut down or are replaced, by the thresholds of a roll."""
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
        """The leader keeps no entries that others still lack: they need a snapshot."""
        leader = self.cluster.leader()
        if leader is not None and leader.consensus.state.leader_state is not None:
            self.cluster.compact(leader)
            for known in leader.consensus.state.leader_state.progress.followers.values():
                known.snapshot_sent_s = -10.0

    def recovered(self) -> bool:
        """Whether all that was lost has had its time and all have their votes: one more loss is borne."""
        leader = self.cluster.leader()
        if leader is None or self.cluster.steps - self.disturbed_at < RECOVERED_STEPS or self.shutting_down:
            return False
        consensus = leader.consensus
        voters = {member.id for member in consensus.voters}
        all_there = all(
            node.up and node.frozen_until <= self.cluster.steps for node in self.cluster.nodes.values()
        )
        held = {node.consensus.identity.id for node in self.cluster.nodes.values()}
        return all_there and voters == held and consensus.log.members_index <= consensus.commit_index

    def lose_disk(self, name: str, power_of_all: bool) -> None:
        """A replica comes back empty; the others may lose power at that moment."""
        self.disturbed_at = self.cluster.steps
        self.started += 1
        self.cluster.wipe(name, f"{name}{self.started}")
        for other in self.names if power_of_all else ():
            if other != name:
                self.cluster.crash(other)
                self.cluster.restart(other)

    def replace(self, name: str) -> None:
        """A machine is gone for good, an empty one comes at another address."""
        self.disturbed_at = self.cluster.steps
        self.cluster.crash(name)
        del self.cluster.nodes[name]
        self.names.remove(name)
        self.add()

    def add(self) -> Node:
        """One more machine, with an empty disk."""
        self.started += 1
        name = f"new{self.started}"
        self.names.append(name)
        return self.cluster.start(name, None)

    def start_shutdown(self, name: str) -> None:
        """The successor first, then SIGTERM; the one that leaves asks for another to get its vote."""
        self.disturbed_at = self.cluster.steps
        self.shutting_down[name] = self.cluster.steps + self.rng.randrange(20, 100)
        self.add()

    def continue_shutdowns(self) -> None:
        """Those that leave ask again and again, and end once they have no vote, or are stopped."""
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
        """All faults are over: everything acknowledged has to be everywhere."""
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
    """A day of crashes, cuts, slow syncs and lost messages, with `losses` also of disks and members."""
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
