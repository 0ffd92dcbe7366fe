"""Raft's volatile state on leaders, created anew after each election."""

from __future__ import annotations

from dataclasses import dataclass, field

from brambleusher.controlplane.consensus.pending_reads import PendingReads
from brambleusher.controlplane.consensus.progress import ReplicationProgress


@dataclass(slots=True)
class LeaderState:
    """Volatile state of a leader during one term; times are in seconds of the replica's clock.

    Attributes:
        since_s: The time when this replica became the leader.
        last_quorum_contact_s: The time of the last known contact with a quorum.
        heartbeat_due_s: The time when the next heartbeat is due.
        progress: The replication progress of each other member.
        pending_reads: Reads that wait for a quorum to confirm the leadership.
        successor_id: The identity of the member that leadership is being transferred to, or "".
        transfer_until_s: The time until which proposals are rejected because of a leadership transfer.
    """

    since_s: float
    last_quorum_contact_s: float
    heartbeat_due_s: float
    progress: ReplicationProgress = field(default_factory=ReplicationProgress)
    pending_reads: PendingReads = field(default_factory=PendingReads)
    successor_id: str = ""
    transfer_until_s: float = 0.0
