"""What only a leader keeps: Raft's volatile state on leaders, made anew after each election."""

from __future__ import annotations

from dataclasses import dataclass, field

from brambleusher.controlplane.consensus.pending_reads import PendingReads
from brambleusher.controlplane.consensus.progress import ReplicationProgress


@dataclass(slots=True)
class LeaderState:
    """The state of one leadership; times are seconds of the replica's clock."""

    since_s: float
    last_quorum_contact_s: float
    heartbeat_due_s: float
    progress: ReplicationProgress = field(default_factory=ReplicationProgress)
    pending_reads: PendingReads = field(default_factory=PendingReads)
    successor_id: str = ""  # of a planned transfer of leadership
    transfer_until_s: float = 0.0  # until then no proposals are accepted
